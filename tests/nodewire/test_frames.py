"""Frames between gateways and nodes."""

import contextlib

import pytest
from hypothesis import given, strategies

from rushmux.nodewire import MAX_FRAME, FrameReader, WireError, frame, messages


@given(strategies.lists(strategies.binary(max_size=300), max_size=6), strategies.integers(1, 200))
def test_messages_are_decoded_however_the_stream_is_split(payloads, step):
    sent = [
        messages.Message(outcome=messages.Outcome(corr=number, data=data))
        for number, data in enumerate(payloads)
    ]
    stream, frames, found = b"".join(map(frame, sent)), FrameReader(), []
    for offset in range(0, len(stream), step):
        found += frames.feed(stream[offset : offset + step])
    assert found == sent


@given(strategies.binary(max_size=200))
def test_arbitrary_data_raises_only_a_wire_error(data):
    with contextlib.suppress(WireError):
        FrameReader().feed(data)


def test_an_excessive_length_is_rejected_before_the_frame_is_buffered():
    frames = FrameReader()
    with pytest.raises(WireError, match="2147483648"):
        frames.feed(b"\x80\0\0\0")
    with pytest.raises(WireError):
        frame(messages.Message(outcome=messages.Outcome(data=bytes(MAX_FRAME))))


def test_a_message_of_an_unknown_kind_is_rejected():
    with pytest.raises(WireError, match="message of an unknown kind"):
        FrameReader().feed(b"\0\0\0\0")
