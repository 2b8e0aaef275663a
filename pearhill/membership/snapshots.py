"""The sums of all reported work at one moment, which many answers share."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from pearhill.membership.gauge_ranges import GaugeRange, single_range, split_into_ranges
from pearhill.membership.gauges import encode
from pearhill.membership.peer_aggregator import PeerAggregator
from pearhill.membership.reported_work import ReportedWork

SNAPSHOT_INTERVAL_US = 10_000  # minimum age before sums are computed again
SNAPSHOT_INTERVAL_PER_SLOT_US = 50  # the same, per slot, for large tables


@dataclass(slots=True)
class Snapshot:
    """Sums over all slots, computed at `taken_at` microseconds from the work of `reporting` dispatchers."""

    taken_at: int
    reporting: int
    included: dict[str, tuple[int, int]]  # by dispatcher that reports here: its start and the report's number
    ranges: list[GaugeRange]

    def is_due(self, now: int, slot_count: int) -> bool:
        """Returns whether the sums must be computed again."""
        return now - self.taken_at >= max(SNAPSHOT_INTERVAL_US, SNAPSHOT_INTERVAL_PER_SLOT_US * slot_count)

    def included_report(self, name: str, incarnation: int) -> int:
        """Returns the number of the dispatcher's report that the sums include, or -1 if there is none of that start."""
        started, number = self.included.get(name, (-1, -1))
        return number if started == incarnation else -1


def take_snapshot(now: int, work: ReportedWork, peers: Iterable[PeerAggregator]) -> Snapshot:
    """Adds up the work that is reported here and the fresh sums of the other aggregators."""
    work.expire(now)
    loads = list(work.totals.loads)
    waits = list(work.totals.waits)
    reporting = 0
    for peer in peers:
        if peer.is_fresh(now):
            reporting += peer.reporting
            loads[: len(peer.loads)] = map(float.__add__, loads, peer.loads)
            waits[: len(peer.waits)] = map(float.__add__, waits, peer.waits)
    included = work.counted_reports()
    return Snapshot(now, reporting + len(included), included, gauge_ranges(loads, waits))


def gauge_ranges(loads: list[float], waits: list[float]) -> list[GaugeRange]:
    """Returns tokens by slot as gauges, in one range if it fits one datagram; no range if there are no slots."""
    if not loads:
        return []
    load_codes = bytes(map(encode, loads))
    wait_codes = bytes(map(encode, waits))
    full_range = single_range(load_codes, wait_codes)
    return [full_range] if full_range else split_into_ranges(load_codes, wait_codes)
