"""Encoding and decoding of SFTP packets, including malformed ones."""

import contextlib

import pytest
from hypothesis import given, strategies

from rushmux.sftp import packets as sftp

U32, U64 = strategies.integers(0, 2**32 - 1), strategies.integers(0, 2**64 - 1)
TEXT = strategies.text(max_size=40)


@strategies.composite
def attributes(draw):
    owner, times = draw(strategies.booleans()), draw(strategies.booleans())
    return sftp.Attributes(
        draw(strategies.none() | U64),
        *(draw(strategies.tuples(U32, U32)) if owner else (None, None)),
        draw(strategies.none() | U32),
        *(draw(strategies.tuples(U32, U32)) if times else (None, None)),
    )


FIELDS = {
    "u32": U32,
    "u64": U64,
    "text": TEXT,
    "raw": strategies.binary(max_size=60),
    "rest": strategies.binary(max_size=60),
    "attributes": attributes(),
    "names": strategies.lists(strategies.builds(sftp.Name, TEXT, TEXT, attributes()), max_size=4).map(tuple),
    "pairs": strategies.lists(strategies.tuples(TEXT, strategies.binary(max_size=9)), max_size=3).map(tuple),
}
PACKETS = strategies.one_of(
    [
        strategies.builds(packet_type, **{name: FIELDS[kind] for name, kind in layout.fields})
        for packet_type, layout in sftp.LAYOUTS.items()
    ]
)


@given(strategies.lists(PACKETS, max_size=5), strategies.integers(1, 50))
def test_packets_are_decoded_however_the_stream_is_split(packets, step):
    stream, splitter, found = b"".join(map(sftp.encode, packets)), sftp.PacketSplitter(), []
    for offset in range(0, len(stream), step):
        found += splitter.feed(stream[offset : offset + step])
    assert [sftp.decode(body) for body in found] == packets and not splitter.has_partial_packet


@given(strategies.binary(max_size=200))
def test_no_body_raises_anything_but_a_protocol_error(body):
    try:
        packet = sftp.decode(body)
    except sftp.ProtocolError:
        return
    assert isinstance(packet, tuple)


@given(PACKETS, strategies.data())
def test_a_truncated_or_altered_packet_raises_only_a_protocol_error(packet, data):
    body = bytearray(sftp.encode(packet)[4:])
    offset = data.draw(strategies.integers(0, len(body) - 1))
    body[offset] ^= data.draw(strategies.integers(1, 255))
    for malformed in (bytes(body), bytes(body[:offset])):
        with contextlib.suppress(sftp.ProtocolError):
            sftp.decode(malformed)


@pytest.mark.parametrize("length", [0, sftp.MAX_PACKET_BYTES + 1, 2**32 - 1])
def test_an_invalid_length_ends_the_stream(length):
    with pytest.raises(sftp.ProtocolError) as error:
        sftp.PacketSplitter().feed(length.to_bytes(4, "big") + b"x")
    assert error.value.ends_stream


def test_an_error_in_a_field_carries_the_request_id():
    body = bytes([3]) + (7).to_bytes(4, "big") + (99).to_bytes(4, "big") + b"short"
    with pytest.raises(sftp.ProtocolError) as error:
        sftp.decode(body)
    assert error.value.request_id == 7 and "Open" in str(error.value)


def test_a_packet_of_an_unknown_type_keeps_its_request_id():
    body = bytes([sftp.SYMLINK]) + (9).to_bytes(4, "big") + b"junk"
    assert sftp.decode(body) == sftp.Unknown(9, sftp.SYMLINK)
