"""Stand-ins for clients, nodes and list sources, test fleets, fault injection, and checkers of recordings."""
