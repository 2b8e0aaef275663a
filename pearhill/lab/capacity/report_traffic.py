"""The traffic of reports to control machines, counted from the program's own protocol code."""

from __future__ import annotations

import functools
import random
from collections import Counter
from dataclasses import dataclass

from pearhill.core.replica_ids import replica_id
from pearhill.lab.capacity.units import MICROSECONDS_PER_S, in_seconds
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import (
    AggregationCodec,
    AggregationMessage,
    PartialSum,
)
from pearhill.membership.aggregator import (
    AGGREGATOR_TICK_US,
    Aggregator,
)
from pearhill.membership.aggregator_choice import (
    AggregatorSite,
)
from pearhill.membership.byte_budget import HEADER_BYTES
from pearhill.membership.reporter import Reporter
from pearhill.membership.snapshots import SNAPSHOT_INTERVAL_PER_SLOT_US, SNAPSHOT_INTERVAL_US

# The play of the protocol, in microseconds of its own clock.
WARM_UP_US = 15 * MICROSECONDS_PER_S
COUNTED_US = 6 * MICROSECONDS_PER_S
STEP_US = MICROSECONDS_PER_S // 100
TOKENS_PER_REQUEST = 2_400
FLEET_REQUESTS_PER_REPLICA = 128.0  # of all dispatchers


@dataclass(frozen=True, slots=True)
class ReportTraffic:
    """Of one dispatcher: reports a second, datagrams a second both ways, and bytes of a report and of the sums that
    answer it; of one control machine: datagrams and bytes of its sums to another. IP and UDP headers are in."""

    reports_s: float
    datagrams_s: float
    report_bytes: float
    sums_bytes: float
    partial_sum_datagrams: float
    partial_sum_bytes: float

    @property
    def bytes_s(self) -> float:
        return self.reports_s * (self.report_bytes + self.sums_bytes)


@functools.cache
def count_report_traffic(engines: int, readers: int, work: int, reads: int) -> ReportTraffic:
    """The reporters' and aggregators' own code, free of I/O, nothing lost: one dispatcher with work at so many engines,
    prompts to be read at some of them, and another one whose work is as the fleet's, if requests fall anywhere alike.
    Counted once the table is told."""
    sites = [AggregatorSite("control-1", "r1"), AggregatorSite("control-2", "r2")]
    start, codec, rng = 1_796_187_600 * MICROSECONDS_PER_S, AggregationCodec([b"k" * 32]), random.Random(1)
    hubs = {site.name: Aggregator(site.name, [s.name for s in sites], start, random.Random(2)) for site in sites}

    def rows(count: int, reading: int, each: float) -> list[ReplicaLoad]:
        """`each`: requests at one engine. Danger: alike to the token, gauges would be packed into nothing."""
        drawn = [
            sum(rng.uniform(0.6, 1.4) for _ in range(max(1, round(rng.gauss(each, each**0.5))))) * TOKENS_PER_REQUEST
            for _ in range(count)
        ]
        return [
            ReplicaLoad(replica_id(f"s-{k}"), int(load) if k < reading else 0, int(load))
            for k, load in enumerate(drawn)
        ]

    mine, all_ = rows(work, reads, 1.0), rows(engines, readers, FLEET_REQUESTS_PER_REPLICA)
    me, control = "dispatcher-123", "control-1"
    reporters = {
        me: Reporter(me, "r1", sites, start, random.Random(3), lambda: mine),
        "dispatcher-321": Reporter("dispatcher-321", "r1", sites, start, random.Random(4), lambda: all_),
    }
    sent: Counter[str] = Counter()
    sizes: Counter[str] = Counter()

    def pass_on(now: int, frames: list[AggregationMessage]) -> None:
        for frame in frames:
            size = len(codec.pack(frame))
            if frame.sender in reporters:
                reporters[frame.sender].sent(size)
            if now >= start + WARM_UP_US and (
                me in (frame.sender, frame.to) or (frame.sender == control and isinstance(frame, PartialSum))
            ):
                kind = type(frame).__name__
                sent[kind] += 1
                sent[f"{kind}s"] += not getattr(frame, "part", 0)
                sizes[kind] += size + HEADER_BYTES
            pass_on(
                now,
                hubs[frame.to].receive(now, frame)
                if frame.to in hubs
                else reporters[frame.to].receive(now, frame, size),
            )

    for now in range(start, start + WARM_UP_US + COUNTED_US, STEP_US):
        for reporter in reporters.values():
            if reporter.next_tick(now) <= now:
                pass_on(now, reporter.tick(now))
        for hub in hubs.values() if not (now - start) % AGGREGATOR_TICK_US else ():
            pass_on(now, hub.tick(now))
    assert hubs[control].figures(start + WARM_UP_US)["engines"] == engines, "the table is not told yet"
    reports, seconds_ = sent["Reports"], in_seconds(COUNTED_US)
    return ReportTraffic(
        reports / seconds_,
        (sent["Report"] + sent["Sums"]) / seconds_,
        sizes["Report"] / reports,
        sizes["Sums"] / reports,
        sent["PartialSum"] / sent["PartialSums"],
        sizes["PartialSum"] / sent["PartialSums"],
    )


def snapshot_interval_s(replicas: int) -> float:
    """Seconds for which a control machine hands out the same sums."""
    return max(SNAPSHOT_INTERVAL_US, SNAPSHOT_INTERVAL_PER_SLOT_US * replicas) / MICROSECONDS_PER_S
