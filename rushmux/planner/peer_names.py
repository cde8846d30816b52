"""Names that a planner's peers give in their greetings on the wire."""

OPERATOR = "people"
EDGE_PREFIX = "edge"
PLANNER_PREFIX = "planner "


def is_edge(name: str) -> bool:
    """Whether a peer of this name is an edge."""
    return name.startswith(EDGE_PREFIX)


def is_planner(name: str) -> bool:
    """Whether a peer of this name is a planner."""
    return name.startswith(PLANNER_PREFIX)


def planner_member_id(name: str) -> str:
    """Returns the Raft member id in a planner's peer name."""
    return name.removeprefix(PLANNER_PREFIX)
