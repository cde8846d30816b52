"""Frames between gateways and nodes."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as some

from rushmux.nodewire import MAX_FRAME, FrameReader, WireError, frame, messages


@given(some.lists(some.binary(max_size=300), max_size=6), some.integers(1, 200))
def test_messages_come_back_however_the_stream_is_cut(datas, step):
    sent = [
        messages.Message(outcome=messages.Outcome(corr=place, data=data)) for place, data in enumerate(datas)
    ]
    stream, frames, found = b"".join(map(frame, sent)), FrameReader(), []
    for at in range(0, len(stream), step):
        found += frames.feed(stream[at : at + step])
    assert found == sent


@given(some.binary(max_size=200))
def test_no_bytes_make_the_frames_fail_otherwise(data):
    with contextlib.suppress(WireError):
        FrameReader().feed(data)


def test_a_length_that_cannot_be_is_refused_before_it_is_held():
    frames = FrameReader()
    with pytest.raises(WireError, match="2147483648"):
        frames.feed(b"\x80\0\0\0")
    with pytest.raises(WireError):
        frame(messages.Message(outcome=messages.Outcome(data=bytes(MAX_FRAME))))


def test_a_message_of_no_kind_is_refused():
    with pytest.raises(WireError, match="message of an unknown kind"):
        FrameReader().feed(b"\0\0\0\0")
