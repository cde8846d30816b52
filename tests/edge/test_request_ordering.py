"""The conflicts that keep requests of a session from running concurrently."""

import asyncio

import pytest

from rushmux.edge.request_ordering import Access, AccessKind, RequestOrder, conflict

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


TIME_LIMIT = 0.02
CONFLICTING = [
    (one, other)
    for one in AccessKind
    for other in AccessKind
    if conflict(Access(one, (FILE,)), Access(other, (FILE,)))
]


@pytest.mark.parametrize("kinds", CONFLICTING, ids=lambda kinds: "-".join(kind.name for kind in kinds))
def test_requests_whose_time_limits_end_together_are_all_completed(kinds):
    """Guards against a request that is never answered, as one that waited for it was cancelled.

    A flush and the CLOSE behind it reached their time limits in one turn of the event loop. The CLOSE awaited
    the flush's future and so cancelled it, and the flush ended with InvalidStateError before its reply.
    """

    async def run():
        order, completed = RequestOrder(), []
        deadline = asyncio.get_running_loop().time() + TIME_LIMIT

        async def answer(admission):
            try:
                async with asyncio.timeout_at(deadline):
                    for predecessor in admission.predecessors:
                        await predecessor.wait()
                    await asyncio.sleep(10 * TIME_LIMIT)
            except TimeoutError:
                pass
            finally:
                order.complete(admission.number)
            completed.append(admission.number)

        admissions = [order.admit(Access(kind, (FILE,))) for kind in (*kinds, kinds[0])]
        await asyncio.gather(*map(answer, admissions))
        return completed, len(order)

    assert asyncio.run(run()) == ([1, 2, 3], 0)
