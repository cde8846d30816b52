"""Random well-formed messages with values that no program of the fleet would send.

Each field is drawn by its type from values at and beyond the limits of what is allowed: not a number,
infinities, negative and huge numbers, empty and overlong names, names of other members.
"""

import random
from collections.abc import Sequence

from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from rushmux.nodewire import VERSION, frame, messages

MAX_REPEATED = 3
FIELD_PROBABILITY = 0.8
"""Probability that a field is set."""
TRUNCATION_PROBABILITY = 0.1
"""Probability that a frame is truncated, as by the death of a peer."""
MAX_MESSAGES = 8
"""Messages on one connection."""
FLOATS = (float("nan"), float("inf"), float("-inf"), -1.0, -0.0, 1e-320, 0.5, 1e308)
TEXTS = ("", "x", "edge0", "edge7", "node0", "planner x", "x/1", "caribe", "\0", "kind", "é" * 40_000)
COMMANDS = (
    b"",
    b"{",
    b"[]",
    b'{"client":"c","n":1e999,"by":"b","number":1,"text":"{}","member":"edge7"}',
    b'{"client":"c","n":-1,"by":"b","number":-5,"text":"{}","member":""}',
    b'{"client":"c","n":1e30,"by":"b","number":1e30,"text":"{}","member":"m"}',
    b'{"client":"c","n":1,"by":"b","base":{"a":[]},"number":2,"text":"{}","member":"m"}',
    b'{"client":"c","n":2,"by":"b","base":"x","number":null,"text":5,"member":7}',
    b'{"client":{},"n":true,"by":[],"text":"{\\"plans\\": 7}","number":[]}',
    b'{"client":"d","n":3,"by":"b","member":"' + b"\\u0001" * 70_000 + b'"}',
)
VERBS = ("propose", "revert", "withdraw", "forget", "drain", "undrain", "show", "words")
KINDS = ("ask", "vote", "append", "appended", "install", "order", "members", "begin")
MAX_UNSIGNED = {FieldDescriptor.TYPE_UINT32: 2**32 - 1, FieldDescriptor.TYPE_FIXED32: 2**32 - 1}


def random_message(rng: random.Random, bodies: Sequence[str]) -> Message:
    """A message with one of `bodies` and random fields."""
    message = messages.Message()
    field = messages.Message.DESCRIPTOR.fields_by_name[rng.choice(bodies)]
    _fill_randomly(rng, getattr(message, field.name))
    getattr(message, field.name).SetInParent()
    return message


def random_session(rng: random.Random, peer: str, bodies: Sequence[str]) -> bytes:
    """The bytes that a hostile peer sends on one connection: a hello with this name and random messages."""
    data = bytearray(frame(messages.Message(hello=messages.Hello(version=VERSION, peer=peer, start="1"))))
    for _ in range(rng.randint(1, MAX_MESSAGES)):
        encoded = frame(random_message(rng, bodies))
        if rng.random() < TRUNCATION_PROBABILITY:
            return bytes(data + encoded[: rng.randrange(len(encoded))])
        data += encoded * rng.choice((1, 1, 2))
    return bytes(data)


def _fill_randomly(rng: random.Random, message: Message) -> None:
    for field in message.DESCRIPTOR.fields:
        if rng.random() > FIELD_PROBABILITY:
            continue
        if field.is_repeated:
            for _ in range(rng.randint(0, MAX_REPEATED)):
                _append(rng, message, field)
        elif field.type == FieldDescriptor.TYPE_MESSAGE:
            _fill_randomly(rng, getattr(message, field.name))
        else:
            setattr(message, field.name, _random_value(rng, field))


def _append(rng: random.Random, message: Message, field: FieldDescriptor) -> None:
    values = getattr(message, field.name)
    if field.type == FieldDescriptor.TYPE_MESSAGE:
        _fill_randomly(rng, values.add())
    else:
        values.append(_random_value(rng, field))


def _random_value(rng: random.Random, field: FieldDescriptor) -> float | int | str | bytes | bool:
    if field.type == FieldDescriptor.TYPE_DOUBLE:
        return rng.choice(FLOATS)
    if field.type == FieldDescriptor.TYPE_BOOL:
        return rng.random() < 1 / 2
    if field.type == FieldDescriptor.TYPE_STRING:
        return rng.choice({"verb": VERBS, "kind": KINDS}.get(field.name, TEXTS))
    if field.type == FieldDescriptor.TYPE_BYTES:
        return rng.choice(COMMANDS)
    if field.type == FieldDescriptor.TYPE_ENUM:
        return rng.choice(field.enum_type.values).number
    largest = MAX_UNSIGNED.get(field.type, 2**64 - 1)
    return rng.choice((0, 1, 2, 7, 2**31, largest - 1, largest))
