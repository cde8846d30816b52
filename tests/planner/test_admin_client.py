"""The admin client: a rejection is final; if a planner does not know the outcome, the next one is asked."""

import pytest

from rushmux import log
from rushmux.nodewire import WireError, messages
from rushmux.planner import admin_client
from rushmux.planner.errors import CommandRejectedError, PlannerUnavailableError
from rushmux.planner.server import PeerServer
from rushmux.simulation.loop import run

HOST = "127.0.0.1"


class StubPlanner(PeerServer):
    """Gives the same answer to each command, or closes the connection if the answer is None."""

    def __init__(self, answer):
        super().__init__("planner", "1", log.to_list([]))
        self.answer = answer
        self.received = 0

    def on_message(self, peer, kind, body):
        self.received += 1
        if self.answer is None:
            raise WireError("closed")
        peer.send(ordered=self.answer)


def send(*answers, single=False):
    """Returns a command's result at planners with these answers, and how often each received it."""

    async def main(loop):
        planners = [StubPlanner(answer) for answer in answers]
        addresses = [(HOST, await planner.listen(HOST, 0)) for planner in planners]
        try:
            result = await admin_client.send_fleet_command(addresses[0] if single else addresses, "show")
        except CommandRejectedError as error:
            result = error
        for planner in planners:
            await planner.close_server()
        return result, [planner.received for planner in planners]

    return run(main, 1)


ANSWER = messages.Ordered(term=3)
REJECTED = messages.Ordered(fault="there is no node 'n'")
NOT_LEADING = messages.Ordered(fault="b/1 leads", elsewhere=True)


def test_the_planner_that_leads_answers():
    assert send(NOT_LEADING, None, ANSWER) == (ANSWER, [1, 1, 1])


def test_a_rejection_is_final():
    result, received = send(NOT_LEADING, REJECTED, ANSWER)
    assert type(result) is CommandRejectedError and result.reason == "there is no node 'n'"
    assert received == [1, 1, 0]


def test_all_planners_are_tried_in_each_round():
    result, received = send(NOT_LEADING, None)
    assert type(result) is PlannerUnavailableError
    assert "b/1 leads" in str(result) and "closed the connection" in str(result)
    assert received == [admin_client.MAX_ROUNDS] * 2


@pytest.mark.parametrize("answer, reason", [(NOT_LEADING, "b/1 leads"), (None, "closed the connection")])
def test_a_single_planner_is_asked_once(answer, reason):
    result, received = send(answer, single=True)
    assert type(result) is CommandRejectedError and reason in result.reason
    assert received == [1]


def test_the_fleet_is_shown_as_a_table():
    row = messages.Known(
        member="n0", kind="node", condition="ready", reason="start 1", cell=2, zone="z1", out=3
    )
    lines = admin_client.format_fleet(messages.Ordered(term=3, version=7, members=[row]))
    assert lines[0] == "term 3, list 7"
    assert lines[2].split() == ["n0", "node", "2", "z1", "ready", "3", "start", "1"]
