"""The SFTP gateway: client sessions, operations on storage nodes, and the clients of the control plane.

`edge.Edge` is the program.  `session.Session` serves one client connection, `driver.EdgeDriver` runs its
operations through the scheduler over `node_connections.NodeConnections`, and `planner_client.PlannerClient`
follows the endpoint list and carries quota and policy requests.
"""
