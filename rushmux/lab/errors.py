"""The base of all errors of the laboratory."""


class LabError(Exception):
    """Something that the laboratory was given cannot be used; the text says what and why."""
