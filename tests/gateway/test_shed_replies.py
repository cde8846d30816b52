"""`-BUSY` promises that nothing was done: no command that a node has taken is ever answered with it.

The edge once answered writes as shed that another request's change had made visible (see
`tests/edge/test_group_commit.py`).  The gateway runs each command as an operation of its own, and this is the
same rule on its path.
"""

import asyncio

import pytest

from rushmux.standins.platform import write_command

BUSY = ("-", b"BUSY")
COMMANDS = 30
TIME_LEFT = 400  # milliseconds


@pytest.mark.parametrize("idempotency", ["unsafe", "keyed"])
@pytest.mark.parametrize(
    "outcome",
    [[9.0], [0.05, "close"], [0.05, b"-ERR failed\r\n"], [0.05, b":1\r\n"]],
    ids=["hung", "closed", "failed", "spoilt"],
)
def test_a_command_that_a_node_has_taken_is_not_answered_with_busy(with_fleet, idempotency, outcome):
    taken = set()

    def script(arguments):
        taken.add(arguments[2])
        return outcome

    async def scenario(fleet):
        for node in fleet.nodes:
            node.script = script
        client = await fleet.client()
        commands = [
            write_command(number, time_left=TIME_LEFT, is_keyed=idempotency == "keyed")
            for number in range(1, COMMANDS + 1)
        ]
        for command in commands:
            client.send(*command)
        replies = [await client.reply() for _ in commands]
        await asyncio.sleep(0.1)  # attempts that are still under way
        return [command[2] for command, reply in zip(commands, replies, strict=True) if reply == BUSY]

    refused = with_fleet(scenario, nodes=2, write_idempotency=idempotency)
    assert taken and not taken & set(refused)
