"""The conflicts that keep requests of a session from running concurrently."""

import pytest

from rushmux.edge.request_ordering import Access, AccessKind, conflict

FILE, OTHER_FILE, BELOW_FILE = ("f", "a"), ("f", "b"), ("f", "a", "c")
LOOKUP, MODIFY, READ, WRITE = AccessKind.LOOKUP, AccessKind.MODIFY, AccessKind.READ, AccessKind.WRITE


@pytest.mark.parametrize(
    "one, other, waits",
    [
        (Access(LOOKUP, (FILE,)), Access(LOOKUP, (FILE,)), False),
        (Access(READ, (FILE,)), Access(LOOKUP, (FILE,)), False),
        (Access(MODIFY, (FILE,)), Access(MODIFY, (OTHER_FILE,)), False),
        (Access(MODIFY, (FILE,)), Access(MODIFY, (BELOW_FILE,)), True),
        (Access(LOOKUP, (BELOW_FILE,)), Access(MODIFY, (FILE,)), True),
        (Access(LOOKUP, (("f",),)), Access(WRITE, (FILE,)), True),
        (Access(READ, (FILE,), 0, 10), Access(WRITE, (FILE,), 10, 20), False),
        (Access(READ, (FILE,), 0, 11), Access(WRITE, (FILE,), 10, 20), True),
        (Access(WRITE, (FILE,), 0, 11), Access(WRITE, (FILE,), 10, 20), True),
        (Access(WRITE, (FILE,)), Access(WRITE, (OTHER_FILE,)), False),
        (Access(MODIFY, (FILE, OTHER_FILE)), Access(READ, (OTHER_FILE,)), True),
        (Access(MODIFY), Access(MODIFY, (FILE,)), False),
    ],
)
def test_conflicting_accesses_wait_for_each_other(one, other, waits):
    assert conflict(one, other) is conflict(other, one) is waits
