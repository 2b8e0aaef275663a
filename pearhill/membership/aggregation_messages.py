"""Messages between dispatchers and aggregators as datagrams of version 2: one message is one datagram.

Fields may change their names, but never their order or types, nor messages their tags: processes of different versions
work side by side in a roll.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple, TypedDict

import msgspec
from msgspec import Meta

from pearhill.membership import gauges
from pearhill.membership.message_authenticator import MAX_COUNT, MessageAuthenticator, MessageRejectedError

VERSION = 2
SLOTS_PER_PART = 512  # two gauges of each, however little they can be packed, and the rest of the message fit
MAX_PACKED_GAUGE_BYTES = 1050  # in one part
MAX_SLOTS = 8192
MAX_PARTS = 32
MAX_TABLE_ENTRIES = 48  # in one message
MAX_UNASSIGNED = 64  # replicas without a slot, in one report
MAX_MEMBER_LIST_BYTES = 1100  # of entries in one part of a member list
LEASE_US = 2_000_000  # a dispatcher's work is held for so long
PARTIAL_SUM_LEASE_US = 1_500_000  # and another aggregator's sums
# So long after its last report to an aggregator, a dispatcher's work is in nobody's sums by way of that one.
COMBINED_LEASE_US = LEASE_US + PARTIAL_SUM_LEASE_US

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
OptionalCount = Annotated[int, Meta(ge=-1, le=MAX_COUNT)]  # -1: none
Name = Annotated[str, Meta(min_length=1, max_length=96)]
PartNumber = Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
PartCount = Annotated[int, Meta(ge=1, le=MAX_PARTS)]
Slot = Annotated[int, Meta(ge=0, lt=MAX_SLOTS)]
SlotCount = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
GaugeCode = Annotated[int, Meta(ge=0, lt=gauges.CODES)]
ReplicaId = Annotated[int, Meta(ge=0)]
TableEntry = tuple[Slot, ReplicaId, Count]  # slot, replica, version of the table at which it got it
TableEntries = Annotated[tuple[TableEntry, ...], Meta(max_length=MAX_TABLE_ENTRIES)]
UnassignedLoad = tuple[ReplicaId, GaugeCode, GaugeCode]  # replica, queued tokens, all tokens
UnassignedLoads = Annotated[tuple[UnassignedLoad, ...], Meta(max_length=MAX_UNASSIGNED)]
MemberEntry = tuple[Name, Count, Count, OptionalCount]  # name, incarnation, attach, silence in ms (-1: it left)


class Header(NamedTuple):
    """The fields of every message, for whoever makes one."""

    sender: str
    to: str
    incarnation: int
    sequence: int


class SumsPart(TypedDict):
    """The fields that `Sums` and `PartialSum` share, for whoever makes one.

    An answer has `parts` of them, numbered from 0. Each has the gauges of a range of slots; `entries`, the changes of
    the slot table up to `version`, are in the first one.
    """

    version: int
    reused_version: int
    part: int
    parts: int
    first_slot: int
    loads: bytes
    waits: bytes
    entries: tuple[TableEntry, ...]
    slot_count: int


class AggregationMessage(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The fields of every message; `sequence` grows with each message of a sender, whoever it is for."""

    sender: Name
    to: Name
    incarnation: Count
    sequence: Count


class Report(AggregationMessage, frozen=True, tag=0):
    """A dispatcher's work: packed gauges of the slots from `first_slot` on, and of replicas that have none.

    `echo`: the newest of its reports to which this aggregator's answer came, by which the aggregator bounds the age of
    this one. `quiet_ms`: for how long no other aggregator had a report of this name.
    """

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
    """The answer to a report: the work of `reporting` dispatchers of the `counted`.

    `included_report`: the addressee's report that is in the sums, -1 for none. `settled`: the aggregator started long
    enough ago to know all dispatchers.
    """

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
    """The work of the dispatchers that report to an aggregator, for another aggregator.

    `echo`: the addressee's newest message that came, by the sequence of its first part.
    """

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
    """The members that an aggregator counts, for another aggregator."""

    part: PartNumber
    parts: PartCount
    members: tuple[MemberEntry, ...]


class Hello(AggregationMessage, frozen=True, tag=4):
    """A check whether an aggregator is up. Answered by a HelloAck of the same number."""

    number: Count


class HelloAck(AggregationMessage, frozen=True, tag=5):
    """The answer to a Hello of the same number."""

    number: Count


class Superseded(AggregationMessage, frozen=True, tag=6):
    """Sent to a dispatcher of whose name a newer incarnation reports, or reported, here."""

    known_incarnation: Count


_AnyMessage = Report | Sums | PartialSum | MemberList | Hello | HelloAck | Superseded
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_AnyMessage] = msgspec.msgpack.Decoder(_AnyMessage)


class AggregationCodec(MessageAuthenticator):
    """Messages to datagrams and back."""

    version = VERSION

    def pack(self, message: AggregationMessage) -> bytes:
        """The datagram of a message. ValueError: it does not fit; whoever makes messages bounds them."""
        body = _encoder.encode(message)
        if not self.fits(body):
            raise ValueError(f"{type(message).__name__} to {message.to}: {len(body)} bytes are too many")
        return self.seal(body)

    def unpack(self, data: bytes, me: str) -> AggregationMessage:
        """The message of a datagram. MessageRejectedError: it is foreign, forged, torn, or not for `me`."""
        try:
            message = _decoder.decode(self.unseal(data))
        except (msgspec.DecodeError, RecursionError):
            raise MessageRejectedError("malformed") from None
        if message.to != me:
            # Replayed to another aggregator, a report would be counted twice.
            raise MessageRejectedError("not-for-me")
        if isinstance(message, Report | Sums | PartialSum | MemberList) and message.part >= message.parts:
            raise MessageRejectedError("malformed")
        if isinstance(message, Report | Sums | PartialSum) and not _has_valid_gauges(message):
            raise MessageRejectedError("malformed")
        return message


def _has_valid_gauges(message: Report | Sums | PartialSum) -> bool:
    try:
        gauges.unpack(message.loads, message.slot_count)
        gauges.unpack(message.waits, message.slot_count)
    except ValueError:
        return False
    return message.first_slot + message.slot_count <= MAX_SLOTS
