"""The other dispatchers' load at each replica, derived from an aggregator's sums.

Sums include this dispatcher's own work as of an earlier report, which is subtracted. The weight of sums decreases with
age. The estimate then approaches not zero but this dispatcher's own load for each of the others, because a dispatcher
that cannot be reached presumably still sends requests. Times are microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.membership.aggregation_messages import Sums
from pearhill.membership.gauges import TOKENS, unpack
from pearhill.membership.known_table import KnownTable
from pearhill.membership.sent_reports import NO_GAUGE, OwnGauges

MAX_SUMS_AGE_US = 2_500_000  # older sums are not used
SUMS_HALF_LIFE_US = 2_000_000  # age at which sums have half their weight


class PeerLoad(NamedTuple):
    """The other dispatchers' tokens at a replica, how many of them reported, and when."""

    queued_tokens: float
    total_tokens: float
    reporting: int
    reported_at: int


@dataclass(slots=True)
class SumsRange:
    """Sums over the slots from `first_slot` on. `own` are this dispatcher's gauges that the sums include."""

    requested_at: int  # when the report that these sums answer was sent
    version: int
    first_slot: int
    loads: bytes
    waits: bytes
    reporting: int  # dispatchers other than this one
    own: OwnGauges

    @property
    def end_slot(self) -> int:
        """The slot after the last one."""
        return self.first_slot + len(self.loads)

    def overlaps(self, other: SumsRange) -> bool:
        """Returns whether any slot is in both ranges."""
        return self.first_slot < other.end_slot and other.first_slot < self.end_slot


class PeerSums:
    """The newest sums over each range of slots. `source` is the aggregator that sent them."""

    def __init__(self) -> None:
        self.source = ""
        self.ranges: list[SumsRange] = []
        self.counted: int | None = None  # dispatchers that share the work, as last received
        self.reporting = 0
        self.received_at = -1  # when the report that the newest sums answer was sent
        self._settled = False

    def clear(self, source: str) -> None:
        """Drops all sums, because the next ones come from another aggregator or another start of it."""
        self.source = source
        self.ranges.clear()

    def update_counts(self, sums: Sums, requested_at: int) -> None:
        """Stores the counts of dispatchers unless newer ones are stored."""
        if requested_at < self.received_at:
            return
        self.reporting = sums.reporting
        self.received_at = requested_at
        self.counted = sums.counted if sums.settled else max(self.counted or 0, sums.counted)
        self._settled = self._settled or sums.settled

    def update_range(self, sums: Sums, requested_at: int, own: OwnGauges) -> None:
        """Stores the gauges. They replace older ones of the same slots; newer ones are retained."""
        new = SumsRange(
            requested_at=requested_at,
            version=sums.version,
            first_slot=sums.first_slot,
            loads=unpack(sums.loads, sums.slot_count),
            waits=unpack(sums.waits, sums.slot_count),
            reporting=max(0, sums.reporting - (sums.included_report >= 0)),
            own=own,
        )
        self.ranges = [r for r in self.ranges if r.loads and (r.requested_at > new.requested_at or not r.overlaps(new))]
        # Parts of one answer do not overlap.
        if not any(r.overlaps(new) for r in self.ranges):
            self.ranges.append(new)

    def count(self) -> int | None:
        """Returns how many dispatchers share the work, including this one.

        Returns None until a settled aggregator has answered. An aggregator that has just started counts few
        dispatchers; with that count, this dispatcher would claim nearly all of a cold replica's share.
        """
        return self.counted if self._settled else None

    def estimate_peer_load(
        self, now: int, table: KnownTable | None, replica: int, queued_tokens: int, total_tokens: int
    ) -> PeerLoadEstimate:
        """Returns the estimated load of the other dispatchers at a replica.

        `table` is that of the aggregator that sent the sums. `queued_tokens` and `total_tokens` are this dispatcher's
        own tokens at the replica.
        """
        others = (self.counted or 1) - 1
        if others <= 0:
            return PeerLoadEstimate(0.0, 0.0, 1.0 if self.counted else 0.0)
        peer_load = self.peer_load(now, table, replica)
        if peer_load is None:
            return PeerLoadEstimate(float(others * queued_tokens), float(others * total_tokens), 0.0)
        # A dispatcher without known load counts as the mean of those with known load, this one included.
        weight = 0.5 ** (max(0, now - peer_load.reported_at) / SUMS_HALF_LIFE_US)
        known = weight * min(peer_load.reporting, others)
        scale = (1 + others) / (1 + known)
        return PeerLoadEstimate(
            max(0.0, (queued_tokens + weight * peer_load.queued_tokens) * scale - queued_tokens),
            max(0.0, (total_tokens + weight * peer_load.total_tokens) * scale - total_tokens),
            known / others,
        )

    def peer_load(self, now: int, table: KnownTable | None, replica: int) -> PeerLoad | None:
        """Returns what the other dispatchers reported at a replica, or None if no recent sums include the replica.

        `table` is that of the aggregator that sent the sums. Returns None until that table has been complete once:
        replicas that are still missing from it would look idle to every dispatcher.
        """
        if table is None or not table.has_been_complete:
            return None
        slot = table.slot_of.get(replica)
        sums = self._range_of(slot)
        if sums is None or now - sums.requested_at >= MAX_SUMS_AGE_US:
            return None
        if slot is None:
            is_current = table.version >= table.latest_version
            return PeerLoad(0.0, 0.0, sums.reporting, sums.requested_at) if is_current else None
        if table.assigned_version[slot] > sums.version:
            return None  # the sums are those of the replica that had the slot before
        own = sums.own.get(replica, NO_GAUGE)
        waiting = TOKENS[sums.waits[slot - sums.first_slot]] - TOKENS[own.waiting]
        load = TOKENS[sums.loads[slot - sums.first_slot]] - TOKENS[own.load]
        return PeerLoad(max(0.0, waiting), max(0.0, load), sums.reporting, sums.requested_at)

    def _range_of(self, slot: int | None) -> SumsRange | None:
        """Returns the range with the slot, or any range if `slot` is None; None if there is no such range."""
        for sums in self.ranges:
            if slot is None or sums.first_slot <= slot < sums.end_slot:
                return sums
        return None
