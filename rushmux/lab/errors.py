"""The base class of the lab's errors."""


class LabError(Exception):
    """An input cannot be used; the text says which and why."""
