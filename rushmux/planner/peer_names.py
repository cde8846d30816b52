"""What peers of a planner call themselves in their greeting; the values are those of the wire."""

OPERATOR = "people"
EDGE_PREFIX = "edge"
PLANNER_PREFIX = "planner "


def is_edge(name: str) -> bool:
    """Whether a peer of this name is an edge."""
    return name.startswith(EDGE_PREFIX)


def is_planner(name: str) -> bool:
    """Whether a peer of this name is another planner."""
    return name.startswith(PLANNER_PREFIX)


def planner_member_id(name: str) -> str:
    """The Raft member id in another planner's name."""
    return name.removeprefix(PLANNER_PREFIX)
