"""Stand-ins for what surrounds the program, fleets of them, fault injection, and checkers of recordings."""
