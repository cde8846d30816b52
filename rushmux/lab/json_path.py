"""Values in nested JSON by their path, such as `/fleet/tick_ms`."""

from typing import Any


def set_value(document: dict[str, Any], path: str, value: Any) -> None:
    """Sets a value in place; objects that are missing on the way are made.

    Raises:
        IndexError: A list on the way is too short.
        ValueError: A step into a list is no number.
    """
    *steps, last = path.strip("/").split("/")
    parent: Any = document
    for step in steps:
        parent = parent[int(step)] if isinstance(parent, list) else parent.setdefault(step, {})
    parent[int(last) if isinstance(parent, list) else last] = value
