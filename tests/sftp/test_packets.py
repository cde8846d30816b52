"""The codec: what is encoded comes back, and no bytes make it do anything but say so."""

import pytest
from hypothesis import given
from hypothesis import strategies as some

from rushmux.sftp import packets as sftp

U32, U64 = some.integers(0, 2**32 - 1), some.integers(0, 2**64 - 1)
TEXT = some.text(max_size=40)


@some.composite
def attributes(draw):
    owner, times = draw(some.booleans()), draw(some.booleans())
    return sftp.Attributes(
        draw(some.none() | U64),
        *(draw(some.tuples(U32, U32)) if owner else (None, None)),
        draw(some.none() | U32),
        *(draw(some.tuples(U32, U32)) if times else (None, None)),
    )


FIELDS = {
    "u32": U32,
    "u64": U64,
    "text": TEXT,
    "raw": some.binary(max_size=60),
    "rest": some.binary(max_size=60),
    "attributes": attributes(),
    "names": some.lists(some.builds(sftp.Name, TEXT, TEXT, attributes()), max_size=4).map(tuple),
    "pairs": some.lists(some.tuples(TEXT, some.binary(max_size=9)), max_size=3).map(tuple),
}
PACKETS = some.one_of(
    [
        some.builds(kind, **{name: FIELDS[reader] for name, reader in fields})
        for kind, (_, fields) in sftp.TYPES.items()
    ]
)


@given(some.lists(PACKETS, max_size=5), some.integers(1, 50))
def test_packets_come_back_however_the_stream_is_cut(packets, step):
    stream, cutter, found = b"".join(map(sftp.encode, packets)), sftp.Packets(), []
    for at in range(0, len(stream), step):
        found += cutter.feed(stream[at : at + step])
    assert [sftp.decode(body) for body in found] == packets and not cutter.begun


@given(some.binary(max_size=200))
def test_no_body_makes_the_codec_fail_otherwise(body):
    try:
        packet = sftp.decode(body)
    except sftp.BadPacket:
        return
    assert isinstance(packet, tuple)


@given(PACKETS, some.data())
def test_a_packet_cut_or_changed_is_told_or_is_another_packet(packet, data):
    body = bytearray(sftp.encode(packet)[4:])
    place = data.draw(some.integers(0, len(body) - 1))
    body[place] ^= data.draw(some.integers(1, 255))
    for text in (bytes(body), bytes(body[:place])):
        try:
            sftp.decode(text)
        except sftp.BadPacket:
            pass


@pytest.mark.parametrize("length", [0, sftp.MOST + 1, 2**32 - 1])
def test_a_length_that_cannot_be_ends_the_stream(length):
    with pytest.raises(sftp.BadPacket) as fault:
        sftp.Packets().feed(length.to_bytes(4, "big") + b"x")
    assert fault.value.ends


def test_a_bad_field_names_its_request():
    body = bytes([3]) + (7).to_bytes(4, "big") + (99).to_bytes(4, "big") + b"short"
    with pytest.raises(sftp.BadPacket) as fault:
        sftp.decode(body)
    assert fault.value.request == 7 and "Open" in str(fault.value)


def test_an_unknown_type_keeps_its_request():
    body = bytes([sftp.SYMLINK]) + (9).to_bytes(4, "big") + b"junk"
    assert sftp.decode(body) == sftp.Unknown(9, sftp.SYMLINK)
