r"""A client never gets anything for a value that no storage node made for its request.

Of 498 replies with noise over the line that states the value's length, 5 were served. Where the noise began
with `+`, `-` or `:`, it and the value made one line of an array of three, `*3 -D\xf0Ikvalue-of-...`, and the
parser dropped the elements' types: any bytes in the first place counted as the value, an error line too.
"""

import random

from hypothesis import example, given, strategies

from rushmux.gateway import replies
from rushmux.resp import ProtocolError, ReplyReader, encode_bulk
from rushmux.scheduling.interface import AttemptResult
from rushmux.standins.platform import read_command, success_reply

ARRAY_HEADER = b"*3\r\n"
REQUESTS = 400
SPOILT_SHARE = 0.5

noise_bytes = strategies.builds(
    bytes.__add__,
    strategies.sampled_from([bytes([first]) for first in b"+-:$*0123456789\r\n"]),
    strategies.binary(max_size=9),
)


def interpret(data):
    """Returns the outcome of a reply, or None if it is malformed or incomplete."""
    reader = ReplyReader()
    reader.receive_data(data)
    try:
        reply = reader.next_reply()
    except ProtocolError:
        return None
    return reply and replies.interpret(reply)


@given(
    value=strategies.binary(max_size=40).filter(lambda value: b"\r" not in value and b"\n" not in value),
    used=strategies.sampled_from([b"$-1\r\n", b"$7\r\nused=37\r\n"]),
    load=strategies.sampled_from([b"$-1\r\n", b"$10\r\ninflight=1\r\n"]),
    place=strategies.floats(0, 1),
    noise=noise_bytes,
)
@example(b"value", b"$-1\r\n", b"$10\r\ninflight=1\r\n", 0.15, b"-D\xf0I")
@example(b"value", b"$-1\r\n", b"$10\r\ninflight=1\r\n", 0.15, b"+D\xf0I")
@example(b"value", b"$-1\r\n", b"$10\r\ninflight=1\r\n", 0.15, b":D\xf0I")
def test_noise_over_any_byte_but_the_values_own_is_never_served(value, used, load, place, noise):
    reply = success_reply(value, used, load)
    value_start = len(ARRAY_HEADER) + len(encode_bulk(value)) - len(value) - 2
    start = min(int(place * len(reply)), len(reply) - 1)
    if start < value_start:
        noise = noise[: value_start - start]
    elif start < value_start + len(value):
        start = value_start + len(value)
    spoilt = reply[:start] + noise + reply[start + len(noise) :]
    outcome = interpret(spoilt)
    assert outcome is None or outcome.value in (None, value)
    assert outcome is None or outcome.value == value or outcome.result is not AttemptResult.SUCCEEDED


def test_clients_of_a_node_that_spoils_replies_get_values_or_errors(with_fleet):
    """Guards against spoilt replies that are served, with a real connection and its retries."""
    rng = random.Random(1)

    def spoil_some(arguments):
        reply = success_reply(b"value-of-" + arguments[2])
        if rng.random() < SPOILT_SHARE:
            end = reply.index(b"\r\n", len(ARRAY_HEADER)) + 2
            first = bytes([rng.choice(b"+-:")])
            noise = first + rng.randbytes(end - len(ARRAY_HEADER) - 1)
            reply = reply[: len(ARRAY_HEADER)] + noise + reply[end:]
        return [reply]

    async def scenario(fleet):
        fleet.nodes[0].script = spoil_some
        client = await fleet.client()
        found = []
        for number in range(REQUESTS):
            kind, value = await client.request(*read_command(number))
            found.append((kind, value == b"value-of-%016x" % number))
        return found

    found = with_fleet(scenario)
    assert ("$", False) not in found
    assert found.count(("$", True)) > REQUESTS / 4  # healthy replies are served, and retries help
