"""Messages between dispatchers and aggregators survive encoding; foreign and forged datagrams are rejected."""

from __future__ import annotations

import random

import pytest

from pearhill.membership import gauges
from pearhill.membership.aggregation_messages import (
    MAX_SLOTS,
    MAX_TABLE_ENTRIES,
    AggregationCodec,
    Hello,
    HelloAck,
    MemberList,
    PartialSum,
    Sums,
    Superseded,
)
from pearhill.membership.message_authenticator import MAX_DATAGRAM_BYTES, MessageRejectedError
from tests.membership.samples import report
from tests.membership.simulated_fleet import KEY

ONE, TWO = gauges.pack(bytes((9,) * 40)), gauges.pack(bytes((0, 3) * 20))
MESSAGES = (
    report(3, loads=ONE, waits=TWO, slot_count=40, unassigned=(((1 << 64) - 1, 1, 255),)),
    Sums("a0", "d0", 1 << 50, 7, 3, -1, 330, 330, 9, 8, 0, 2, 512, ONE, TWO, ((0, 1 << 63, 9),), 40, False),
    PartialSum("a0", "a1", 1 << 50, 8, 110, 110, 1 << 50, 3, 9, 8, 1, 2, 512, ONE, TWO, (), 40, 6),
    MemberList("a0", "a1", 5, 9, 0, 1, (("d0", 1 << 50, 2, -1),)),
    Hello("d0", "a0", 5, 1, 77),
    HelloAck("a0", "d0", 5, 2, 77),
    Superseded("a0", "d0", 5, 3, 1 << 50),
)
CODEC = AggregationCodec([KEY])
VALID_DATAGRAM = CODEC.pack(report())


def signed(body: bytes) -> bytes:
    return b"\x02" + AggregationCodec.tag(KEY, body) + body


MALFORMED = (
    report(loads=b"\0x"),
    report(slot_count=3),
    report(loads=b"\x01\xff", slot_count=8),
    report(loads=b"\x07"),
    report(loads=b"\x02\xff\xff", slot_count=8),
    report(part=1),
    report(parts=33),
    report(number=-1),
    report(incarnation=1 << 63),
    report(first_slot=MAX_SLOTS),
    report(first_slot=MAX_SLOTS - 1, slot_count=2, loads=b"\0xx", waits=b"\0xx"),
    report(unassigned=((1, 256, 0),)),
    report(unassigned=((-1, 2, 0),)),
    report(sender=""),
    report(echo=-2),
)
REJECTED = (
    (b"", "size"),
    (VALID_DATAGRAM[:17], "size"),
    (VALID_DATAGRAM + b"x" * MAX_DATAGRAM_BYTES, "size"),
    (b"\x01" + VALID_DATAGRAM[1:], "version"),
    (VALID_DATAGRAM[:-1], "forged"),
    (VALID_DATAGRAM + b"\0", "forged"),
    (AggregationCodec([b"j" * 32]).pack(report()), "forged"),
    (signed(b"\xc1" * 9), "malformed"),
    (signed(b"\x93\x01\x02\x03"), "malformed"),
    (signed(b"\x91" * 900), "malformed"),
    (CODEC.pack(report(to="a1")), "not-for-me"),
    *((CODEC.pack(message), "malformed") for message in MALFORMED),
)


def test_messages_survive_encoding_and_the_largest_fit_one_datagram() -> None:
    codec, noise = AggregationCodec([KEY]), random.Random(1).randbytes(512)
    a, b, version = "x" * 96, "y" * 96, 1 << 40
    entries = tuple((MAX_SLOTS - 1, (1 << 64) - 1 - k, version) for k in range(MAX_TABLE_ENTRIES))
    raw = gauges.pack(noise)
    max_count = 1 << 31
    largest = (
        PartialSum(
            a,
            b,
            1 << 60,
            version,
            999,
            999,
            1 << 60,
            version,
            version,
            version,
            0,
            3,
            0,
            raw,
            raw,
            (),
            512,
            version,
        ),
        Sums(a, b, 1 << 60, version, max_count, max_count, 999, 999, version, version, 0, 3, 0, b"\0", b"\0", entries),
    )
    for message in (*MESSAGES, *largest):
        assert codec.unpack(codec.pack(message), message.to) == message
    with pytest.raises(ValueError, match="is too large for a datagram"):
        codec.pack(report(loads=bytes(1_400)))


@pytest.mark.parametrize(("data", "reason"), REJECTED, ids=[f"{n}-{reason}" for n, (_, reason) in enumerate(REJECTED)])
def test_a_foreign_forged_truncated_or_misaddressed_datagram_is_rejected(data: bytes, reason: str) -> None:
    with pytest.raises(MessageRejectedError, match=f"^{reason}$"):
        CODEC.unpack(data, "a0")


def test_a_datagram_with_any_changed_byte_is_rejected() -> None:
    for n in range(len(VALID_DATAGRAM)):
        changed = VALID_DATAGRAM[:n] + bytes((VALID_DATAGRAM[n] ^ 0x20,)) + VALID_DATAGRAM[n + 1 :]
        with pytest.raises(MessageRejectedError):
            CODEC.unpack(changed, "a0")


def test_a_datagram_signed_with_any_of_the_keys_is_accepted() -> None:
    assert AggregationCodec([b"new" * 9, KEY]).unpack(VALID_DATAGRAM, "a0") == report()


@pytest.mark.parametrize("keys", [[], [b"short"]])
def test_a_codec_without_a_key_of_16_bytes_raises_value_error(keys: list[bytes]) -> None:
    with pytest.raises(ValueError, match="at least 16 bytes"):
        AggregationCodec(keys)
