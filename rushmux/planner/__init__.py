"""The control plane: membership, endpoint lists, quotas and the replicated policy of a fleet.

`planner.Planner` is the server that nodes, edges, other planners and operators connect to.  `rushmux.fleet`
makes the decisions; this package adds the clock, the network and the disk.  `admin_client` is the operators'
client.
"""
