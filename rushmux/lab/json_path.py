"""Sets values in nested JSON by path, such as `/fleet/tick_ms`."""

from typing import Any


def set_value(document: dict[str, Any], path: str, value: Any) -> None:
    """Sets a value in place; missing objects on the path are created.

    Raises:
        IndexError: A list on the path is too short.
        ValueError: A step into a list is not a number.
    """
    *steps, last = path.strip("/").split("/")
    parent: Any = document
    for step in steps:
        parent = parent[int(step)] if isinstance(parent, list) else parent.setdefault(step, {})
    parent[int(last) if isinstance(parent, list) else last] = value
