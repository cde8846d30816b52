"""Commands are stored byte for byte as in the logs of earlier versions."""

import orjson
import pytest

from rushmux.planner import stored_commands
from rushmux.planner.stored_commands import Origin, PolicyDocument

DOCUMENT = PolicyDocument("{}", [("caribe", 20.0, 40.0)])
ORIGIN = Origin("c1", 3, "ana")


@pytest.mark.parametrize(
    "command, stored",
    [
        (
            stored_commands.bootstrap(["edge0"], DOCUMENT),
            b'{"kind":"found","members":["edge0"],"by":"the deployment file","text":"{}",'
            b'"rows":[["caribe",20.0,40.0]]}',
        ),
        (
            stored_commands.propose(DOCUMENT, 2, ORIGIN),
            b'{"kind":"propose","base":2,"text":"{}","rows":[["caribe",20.0,40.0]],'
            b'"client":"c1","n":3,"by":"ana"}',
        ),
        (
            stored_commands.revert(2, ORIGIN),
            b'{"kind":"revert","number":2,"client":"c1","n":3,"by":"ana"}',
        ),
        (
            stored_commands.withdraw(2, ORIGIN),
            b'{"kind":"withdraw","number":2,"client":"c1","n":3,"by":"ana"}',
        ),
        (
            stored_commands.forget("edge1", ORIGIN),
            b'{"kind":"forget","member":"edge1","client":"c1","n":3,"by":"ana"}',
        ),
        (
            stored_commands.drain("node1"),
            b'{"kind":"drain","member":"node1","by":"people"}',
        ),
        (
            stored_commands.undrain("node1"),
            b'{"kind":"undrain","member":"node1","by":"people"}',
        ),
    ],
)
def test_a_command_is_stored_as_before(command, stored):
    assert orjson.dumps(command) == stored


def test_the_origin_of_a_stored_command_is_its_idempotency_key():
    assert stored_commands.origin_of(stored_commands.withdraw(2, ORIGIN)) == ORIGIN
    assert stored_commands.origin_of(stored_commands.drain("node1")) is None
