"""The SFTP gateway: client sessions, operations on storage nodes, and clients of the control plane.

`edge.Edge` is the program.  `session.Session` serves one client connection, `driver.EdgeDriver` runs its
operations through the scheduler over `node_connections.NodeConnections`, and `planner_client.PlannerClient`
receives the endpoint list and exchanges quota and policy messages.
"""
