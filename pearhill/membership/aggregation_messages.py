"""Messages between dispatchers and aggregators as datagrams: version 2 of what `datagram` writes as version 1. One byte
of version, a keyed checksum, MessagePack; one message is one datagram that fits any path without being split."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from pearhill.membership import gauges
from pearhill.membership.gossip_messages import (
    MAX_COUNT,
    MAX_DATAGRAM_BYTES,
    TAG_BYTES,
    MessageAuthenticator,
    MessageRejectedError,
)

VERSION = 2
SLOTS_PER_PART = 512  # slots of one part: two gauges each, and the rest of the frame, fit a datagram at the worst
MAX_PACKED_GAUGE_BYTES = 1050  # bytes of packed gauges that fit one
MAX_SLOTS, MAX_PARTS = 8192, 32
MAX_TABLE_ENTRIES = 48  # of a table, in one frame
MAX_UNASSIGNED = 64  # engines without a slot, in one report
MAX_MEMBER_LIST_BYTES = 1100  # of members in one part of a roster
LEASE_US = 2_000_000  # microseconds for which a dispatcher's work is held
PARTIAL_SUM_LEASE_US = 1_500_000  # and another aggregator's sums
COMBINED_LEASE_US = (
    LEASE_US + PARTIAL_SUM_LEASE_US
)  # after its last report to one, a dispatcher's work is in nobody's sums by way of it

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
OptionalCount = Annotated[int, Meta(ge=-1, le=MAX_COUNT)]  # -1: none
Name = Annotated[str, Meta(min_length=1, max_length=96)]
PartNumber = Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
PartCount = Annotated[int, Meta(ge=1, le=MAX_PARTS)]
Slot = Annotated[int, Meta(ge=0, lt=MAX_SLOTS)]
SlotCount = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
GaugeCode = Annotated[int, Meta(ge=0, lt=gauges.CODES)]
ReplicaId = Annotated[int, Meta(ge=0)]
TableEntry = tuple[Slot, ReplicaId, Count]  # slot, engine, version of the table at which it got it
TableEntries = Annotated[tuple[TableEntry, ...], Meta(max_length=MAX_TABLE_ENTRIES)]
UnassignedLoads = Annotated[
    tuple[tuple[ReplicaId, GaugeCode, GaugeCode], ...], Meta(max_length=MAX_UNASSIGNED)
]  # engine, waiting, load
MemberEntry = tuple[Name, Count, Count, OptionalCount]  # name, incarnation, attach, silent_ms (-1: it left)


class AggregationMessage(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What all have; `sequence` grows with each frame of a sender, whoever it is for."""

    sender: Name
    to: Name
    incarnation: Count
    sequence: Count


class Report(AggregationMessage, frozen=True, tag=0):
    """A dispatcher's work, whole: packed gauges of the slots from `first` on, and engines that have none. `echo`: the
    newest of its reports to which this aggregator's answer has come, by which the aggregator knows how old this is."""

    number: Count
    part: PartNumber
    parts: PartCount
    attach: Count
    quiet_ms: OptionalCount
    leaving: bool
    known_incarnation: Count
    known_version: Count
    first_slot: Slot
    loads: bytes
    waits: bytes
    unassigned: UnassignedLoads
    slot_count: SlotCount = 0
    echo: OptionalCount = -1


class Sums(AggregationMessage, frozen=True, tag=1):
    """The answer to a report: the work of `heard` dispatchers of the `counted`. `settled`: that is no fresh start's."""

    report_number: Count
    included_report: OptionalCount
    reporting: Count
    counted: Count
    version: Count
    reused_version: Count
    part: PartNumber
    parts: PartCount
    first_slot: Slot
    loads: bytes
    waits: bytes
    entries: TableEntries
    slot_count: SlotCount = 0
    settled: bool = True


class PartialSum(AggregationMessage, frozen=True, tag=2):
    """The work of an aggregator's own dispatchers, to another aggregator. `echo`: the newest of the addressee's that
    has come, by the sequence of its first frame."""

    reporting: Count
    counted: Count
    known_incarnation: Count
    known_version: Count
    version: Count
    reused_version: Count
    part: PartNumber
    parts: PartCount
    first_slot: Slot
    loads: bytes
    waits: bytes
    entries: TableEntries
    slot_count: SlotCount = 0
    echo: OptionalCount = -1


class MemberList(AggregationMessage, frozen=True, tag=3):
    """Whom an aggregator counts of its own."""

    part: PartNumber
    parts: PartCount
    members: tuple[MemberEntry, ...]


class Hello(AggregationMessage, frozen=True, tag=4):
    """Are you there? Answered by a HelloAck of the same number."""

    number: Count


class HelloAck(AggregationMessage, frozen=True, tag=5):
    number: Count


class Superseded(AggregationMessage, frozen=True, tag=6):
    """A newer incarnation of the addressee's name is, or was, here."""

    known_incarnation: Count


_Any = Report | Sums | PartialSum | MemberList | Hello | HelloAck | Superseded
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Any] = msgspec.msgpack.Decoder(_Any)


class AggregationCodec(MessageAuthenticator):
    version = VERSION

    def pack(self, message: AggregationMessage) -> bytes:
        """ValueError: it does not fit a datagram (who makes frames bounds them)."""
        body = _encoder.encode(message)
        if len(body) + 1 + TAG_BYTES > MAX_DATAGRAM_BYTES:
            raise ValueError(f"{type(message).__name__} to {message.to}: {len(body)} bytes are too many")
        return self._seal(body)

    def unpack(self, data: bytes, me: str) -> AggregationMessage:
        """Rejected: it is foreign, forged, torn, or for somebody else."""
        try:
            frame = _decoder.decode(self._open(data))
        except (msgspec.DecodeError, RecursionError):
            raise MessageRejectedError("malformed") from None
        if frame.to != me:
            raise MessageRejectedError("not-for-me")  # Danger: replayed to another, a report would be counted twice.
        if isinstance(frame, Report | Sums | PartialSum | MemberList) and frame.part >= frame.parts:
            raise MessageRejectedError("malformed")
        if isinstance(frame, Report | Sums | PartialSum):
            try:
                gauges.unpack(frame.loads, frame.slot_count), gauges.unpack(frame.waits, frame.slot_count)
            except ValueError:
                raise MessageRejectedError("malformed") from None
            if frame.first_slot + frame.slot_count > MAX_SLOTS:
                raise MessageRejectedError("malformed")
        return frame
