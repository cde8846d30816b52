"""What may run side by side in a session."""

import pytest

from rushmux.edge.request_ordering import ALTER, LOOK, READ, WRITE, Claim, conflict

A, B, BELOW = ("f", "a"), ("f", "b"), ("f", "a", "c")


@pytest.mark.parametrize(
    "one, other, waits",
    [
        (Claim(LOOK, (A,)), Claim(LOOK, (A,)), False),
        (Claim(READ, (A,)), Claim(LOOK, (A,)), False),
        (Claim(ALTER, (A,)), Claim(ALTER, (B,)), False),
        (Claim(ALTER, (A,)), Claim(ALTER, (BELOW,)), True),
        (Claim(LOOK, (BELOW,)), Claim(ALTER, (A,)), True),
        (Claim(LOOK, (("f",),)), Claim(WRITE, (A,)), True),
        (Claim(READ, (A,), 0, 10), Claim(WRITE, (A,), 10, 20), False),
        (Claim(READ, (A,), 0, 11), Claim(WRITE, (A,), 10, 20), True),
        (Claim(WRITE, (A,), 0, 11), Claim(WRITE, (A,), 10, 20), True),
        (Claim(WRITE, (A,)), Claim(WRITE, (B,)), False),
        (Claim(ALTER, (A, B)), Claim(READ, (B,)), True),
        (Claim(ALTER), Claim(ALTER, (A,)), False),
    ],
)
def test_what_waits(one, other, waits):
    assert conflict(one, other) is conflict(other, one) is waits
