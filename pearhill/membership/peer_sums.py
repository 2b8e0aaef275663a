"""What the other dispatchers have at each replica, made of an aggregator's sums.

Sums hold this dispatcher's own work as of some earlier report; it is taken off again. They fade with age, not to
nothing but to what this dispatcher itself has, for each of the others: one that cannot be heard still sends requests,
as far as anybody knows. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.membership.aggregation_messages import Sums
from pearhill.membership.gauges import TOKENS, unpack
from pearhill.membership.known_table import KnownTable
from pearhill.membership.sent_reports import NO_GAUGE, OwnGauges

MAX_SUMS_AGE_US = 2_500_000  # older sums are not used at all
SUMS_HALF_LIFE_US = 2_000_000  # after which half of them still holds


class PeerLoad(NamedTuple):
    """Others' tokens at a replica, of how many of them, and as of when."""

    queued_tokens: float
    total_tokens: float
    reporting: int
    reported_at: int


@dataclass(slots=True)
class SumsRange:
    """Sums over the slots from `first_slot` on. `own`: this dispatcher's gauges that are in them."""

    asked_at: int  # when the report was sent that they answer
    version: int
    first_slot: int
    loads: bytes
    waits: bytes
    reporting: int  # others, without this dispatcher
    own: OwnGauges

    @property
    def end_slot(self) -> int:
        """The slot after the last one."""
        return self.first_slot + len(self.loads)

    def overlaps(self, other: SumsRange) -> bool:
        """Whether any slot is in both."""
        return self.first_slot < other.end_slot and other.first_slot < self.end_slot


class PeerSums:
    """The newest sums over each range of slots. `source`: the aggregator they come from."""

    def __init__(self) -> None:
        self.source = ""
        self.ranges: list[SumsRange] = []
        self.counted: int | None = None  # dispatchers that share the work, as last received
        self.reporting = 0
        self.received_at = -1  # when the report was sent that the newest sums answer
        self._settled = False

    def clear(self, source: str) -> None:
        """From now on sums come from another aggregator, or from another start of it."""
        self.source = source
        self.ranges.clear()

    def update_counts(self, sums: Sums, asked_at: int) -> None:
        """Take the counts of dispatchers unless newer ones are known."""
        if asked_at < self.received_at:
            return
        self.reporting = sums.reporting
        self.received_at = asked_at
        self.counted = sums.counted if sums.settled else max(self.counted or 0, sums.counted)
        self._settled = self._settled or sums.settled

    def update_range(self, sums: Sums, asked_at: int, own: OwnGauges) -> None:
        """Take the gauges. They replace older ones of the same slots; newer ones stay."""
        new = SumsRange(
            asked_at=asked_at,
            version=sums.version,
            first_slot=sums.first_slot,
            loads=unpack(sums.loads, sums.slot_count),
            waits=unpack(sums.waits, sums.slot_count),
            reporting=max(0, sums.reporting - (sums.included_report >= 0)),
            own=own,
        )
        self.ranges = [r for r in self.ranges if r.loads and (r.asked_at > new.asked_at or not r.overlaps(new))]
        # Parts of one answer do not overlap.
        if not any(r.overlaps(new) for r in self.ranges):
            self.ranges.append(new)

    def count(self) -> int | None:
        """Dispatchers that share the work, this one among them. None: no aggregator that surely knew has reported.

        By the first answer of an aggregator that has just started this dispatcher would be one of few, and take
        nearly all of a cold replica's share.
        """
        return self.counted if self._settled else None

    def estimate_peer_load(
        self, now: int, table: KnownTable | None, replica: int, queued_tokens: int, total_tokens: int
    ) -> PeerLoadEstimate:
        """What the others have at a replica where this dispatcher has so many queued tokens, and in all.

        `table`: of the aggregator the sums come from.
        """
        others = (self.counted or 1) - 1
        if others <= 0:
            return PeerLoadEstimate(0.0, 0.0, 1.0 if self.counted else 0.0)
        peer_load = self.peer_load(now, table, replica)
        if peer_load is None:
            return PeerLoadEstimate(float(others * queued_tokens), float(others * total_tokens), 0.0)
        # Each of whom nothing is known counts as the mean of all of whom something is, this dispatcher among them.
        weight = 0.5 ** (max(0, now - peer_load.reported_at) / SUMS_HALF_LIFE_US)
        known = weight * min(peer_load.reporting, others)
        scale = (1 + others) / (1 + known)
        return PeerLoadEstimate(
            max(0.0, (queued_tokens + weight * peer_load.queued_tokens) * scale - queued_tokens),
            max(0.0, (total_tokens + weight * peer_load.total_tokens) * scale - total_tokens),
            known / others,
        )

    def peer_load(self, now: int, table: KnownTable | None, replica: int) -> PeerLoad | None:
        """What the others reported at a replica. None: no sums of it are known, or they are too old.

        `table`: of the aggregator the sums come from. Before all of it is known, replicas that are not in it yet would
        look empty to every dispatcher.
        """
        if table is None or not table.was_complete:
            return None
        slot = table.slot_of.get(replica)
        sums = self._range_of(slot)
        if sums is None or now - sums.asked_at >= MAX_SUMS_AGE_US:
            return None
        if slot is None:
            is_current = table.version >= table.latest
            return PeerLoad(0.0, 0.0, sums.reporting, sums.asked_at) if is_current else None
        if table.assigned_version[slot] > sums.version:
            return None  # these are sums of the replica that had the slot before
        own = sums.own.get(replica, NO_GAUGE)
        waiting = TOKENS[sums.waits[slot - sums.first_slot]] - TOKENS[own.waiting]
        load = TOKENS[sums.loads[slot - sums.first_slot]] - TOKENS[own.load]
        return PeerLoad(max(0.0, waiting), max(0.0, load), sums.reporting, sums.asked_at)

    def _range_of(self, slot: int | None) -> SumsRange | None:
        """The range with the slot; any range for a replica without a slot."""
        for sums in self.ranges:
            if slot is None or sums.first_slot <= slot < sums.end_slot:
                return sums
        return None
