"""Messages between dispatchers and aggregators, encoded as datagrams of version 2, one message per datagram.

Fields may be renamed, but the order and types of fields and the tags of messages must never change: processes of
different versions run side by side during a rolling upgrade.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple, TypedDict

import msgspec
from msgspec import Meta

from pearhill.membership import gauges
from pearhill.membership.message_authenticator import MAX_COUNT, MessageAuthenticator, MessageRejectedError

VERSION = 2
SLOTS_PER_PART = 512  # the two gauges of each fit one datagram with the other fields, even uncompressed
MAX_PACKED_GAUGE_BYTES = 1050  # per part
MAX_SLOTS = 8192
MAX_PARTS = 32
MAX_TABLE_ENTRIES = 48  # per message
MAX_UNASSIGNED = 64  # replicas without a slot, per report
MAX_MEMBER_LIST_BYTES = 1100  # of entries, per part of a member list
LEASE_US = 2_000_000  # how long a dispatcher's work counts after the answer that its report echoes
PARTIAL_SUM_LEASE_US = 1_500_000  # how long another aggregator's sums count after the message that they echo
# This long after a dispatcher's last report to an aggregator, no sums include the work reported there any more.
COMBINED_LEASE_US = LEASE_US + PARTIAL_SUM_LEASE_US

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
OptionalCount = Annotated[int, Meta(ge=-1, le=MAX_COUNT)]  # -1 means none
Name = Annotated[str, Meta(min_length=1, max_length=96)]
PartNumber = Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
PartCount = Annotated[int, Meta(ge=1, le=MAX_PARTS)]
Slot = Annotated[int, Meta(ge=0, lt=MAX_SLOTS)]
SlotCount = Annotated[int, Meta(ge=0, le=MAX_SLOTS)]
GaugeCode = Annotated[int, Meta(ge=0, lt=gauges.CODES)]
ReplicaId = Annotated[int, Meta(ge=0)]
TableEntry = tuple[Slot, ReplicaId, Count]  # slot, replica, table version that assigned the slot to it
TableEntries = Annotated[tuple[TableEntry, ...], Meta(max_length=MAX_TABLE_ENTRIES)]
UnassignedLoad = tuple[ReplicaId, GaugeCode, GaugeCode]  # replica, queued tokens, all tokens
UnassignedLoads = Annotated[tuple[UnassignedLoad, ...], Meta(max_length=MAX_UNASSIGNED)]
MemberEntry = tuple[Name, Count, Count, OptionalCount]  # name, incarnation, attach, silence in ms (-1: left)


class Header(NamedTuple):
    """The fields that every message begins with, for code that builds messages."""

    sender: str
    to: str
    incarnation: int
    sequence: int


class SumsPart(TypedDict):
    """The fields that `Sums` and `PartialSum` share, for code that builds them.

    An answer consists of `parts` messages, numbered from 0. Each contains the gauges of a range of slots; only the
    first contains `entries`, the changes of the slot table up to `version`.
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
    """The fields of every message. `sequence` increases with each message of a sender, across all recipients."""

    sender: Name
    to: Name
    incarnation: Count
    sequence: Count


class Report(AggregationMessage, frozen=True, tag=0):
    """A dispatcher's work: packed gauges of the slots from `first_slot` on, and gauges of replicas without a slot.

    `echo` is the newest of the sender's reports whose answer it has received; with it, the aggregator bounds the age
    of this report. `quiet_ms` is how long no other aggregator has received a report under the sender's name.
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
    """The answer to a report: the summed work of `reporting` dispatchers out of `counted`.

    `included_report` is the recipient's report that the sums include, or -1 if they include none. `settled` says
    whether the aggregator has run long enough to have received a report or member entry of every dispatcher.
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
    """The summed work of the dispatchers that report to one aggregator, for another aggregator.

    `echo` is the newest message received from the recipient, identified by the sequence of its first part.
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
    """The members that one aggregator counts, for another aggregator."""

    part: PartNumber
    parts: PartCount
    members: tuple[MemberEntry, ...]


class Hello(AggregationMessage, frozen=True, tag=4):
    """A check whether an aggregator is up; it is answered by a HelloAck with the same number."""

    number: Count


class HelloAck(AggregationMessage, frozen=True, tag=5):
    """The answer to the Hello with the same number."""

    number: Count


class Superseded(AggregationMessage, frozen=True, tag=6):
    """Notifies a dispatcher that a newer incarnation of its name reports, or has reported, to the aggregator."""

    known_incarnation: Count


_AnyMessage = Report | Sums | PartialSum | MemberList | Hello | HelloAck | Superseded
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_AnyMessage] = msgspec.msgpack.Decoder(_AnyMessage)


class AggregationCodec(MessageAuthenticator):
    """Encodes messages as datagrams and decodes them."""

    version = VERSION

    def pack(self, message: AggregationMessage) -> bytes:
        """Returns the datagram of a message.

        Raises ValueError if the message is too large; code that builds messages keeps them within the limit.
        """
        body = _encoder.encode(message)
        if not self.fits(body):
            raise ValueError(f"{type(message).__name__} to {message.to} is too large for a datagram: {len(body)} bytes")
        return self.sign(body)

    def unpack(self, data: bytes, me: str) -> AggregationMessage:
        """Returns the message of a datagram.

        Raises MessageRejectedError if the datagram is foreign, forged, truncated or not addressed to `me`.
        """
        try:
            message = _decoder.decode(self.verify(data))
        except (msgspec.DecodeError, RecursionError):
            raise MessageRejectedError("malformed") from None
        if message.to != me:
            # Without this check, a report replayed to another aggregator would be counted twice.
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
