"""The base class of all errors of the laboratory."""


class LabError(Exception):
    """An input of the laboratory cannot be used; the text says which and why."""
