"""Measures the traffic of reports to aggregators by running the program's protocol code without I/O or loss."""

from __future__ import annotations

import functools
import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from pearhill.core.replica_ids import replica_id
from pearhill.lab.capacity.units import MICROSECONDS_PER_S, in_seconds
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import AggregationCodec, AggregationMessage, PartialSum
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, Aggregator
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.byte_budget import HEADER_BYTES
from pearhill.membership.reporter import Reporter
from pearhill.membership.snapshots import SNAPSHOT_INTERVAL_PER_SLOT_US, SNAPSHOT_INTERVAL_US

# Times of the simulation, in microseconds of its simulated clock.
START_US = 1_796_187_600 * MICROSECONDS_PER_S
WARM_UP_US = 15 * MICROSECONDS_PER_S
COUNTED_US = 6 * MICROSECONDS_PER_S
STEP_US = MICROSECONDS_PER_S // 100
TOKENS_PER_REQUEST = 2_400
FLEET_REQUESTS_PER_REPLICA = 128.0  # summed over all dispatchers
KEY = b"k" * 32
REGION = "r1"
COUNTED_DISPATCHER, OTHER_DISPATCHER = "dispatcher-123", "dispatcher-321"
COUNTED_AGGREGATOR, OTHER_AGGREGATOR = "control-1", "control-2"


@dataclass(frozen=True, slots=True)
class ReportTraffic:
    """Traffic of one dispatcher and of one aggregator, including IP and UDP headers.

    Of the dispatcher: reports per second, datagrams per second in both directions, and bytes of a report and of the
    sums that answer it. Of the aggregator: datagrams and bytes of one partial sum that it sends to another aggregator.
    """

    reports_s: float
    datagrams_s: float
    report_bytes: float
    sums_bytes: float
    partial_sum_datagrams: float
    partial_sum_bytes: float

    @property
    def bytes_s(self) -> float:
        """Bytes per second of one dispatcher, in both directions."""
        return self.reports_s * (self.report_bytes + self.sums_bytes)


class ReportSimulation:
    """Simulates two dispatchers that report to two aggregators, and counts the traffic of one of each.

    `own_loads` is the load of the counted dispatcher. `other_loads` is that of the other one, which is as large
    as the load of the whole fleet.
    """

    def __init__(self, own_loads: list[ReplicaLoad], other_loads: list[ReplicaLoad]) -> None:
        sites = [AggregatorSite(COUNTED_AGGREGATOR, REGION), AggregatorSite(OTHER_AGGREGATOR, REGION)]
        names = [site.name for site in sites]
        self.codec = AggregationCodec([KEY])
        self.aggregators = {name: Aggregator(name, names, START_US, random.Random(2)) for name in names}
        self.reporters = {
            name: Reporter(name, REGION, sites, START_US, random.Random(seed), loads)
            for name, seed, loads in (
                (COUNTED_DISPATCHER, 3, lambda: own_loads),
                (OTHER_DISPATCHER, 4, lambda: other_loads),
            )
        }
        self.datagrams: Counter[str] = Counter()  # by type of message
        self.messages: Counter[str] = Counter()  # by type of message; a message of several datagrams counts once
        self.bytes: Counter[str] = Counter()

    def run(self) -> None:
        """Simulate the warm-up and the period in which traffic is counted."""
        for now in range(START_US, START_US + WARM_UP_US + COUNTED_US, STEP_US):
            for reporter in self.reporters.values():
                if reporter.next_tick(now) <= now:
                    self._deliver(now, reporter.tick(now))
            if (now - START_US) % AGGREGATOR_TICK_US == 0:
                for aggregator in self.aggregators.values():
                    self._deliver(now, aggregator.tick(now))

    def known_replicas(self) -> int:
        """Returns the number of replicas in the slot table of the counted aggregator."""
        replicas: int = self.aggregators[COUNTED_AGGREGATOR].figures(START_US + WARM_UP_US)["engines"]
        return replicas

    def traffic(self) -> ReportTraffic:
        """Returns the mean traffic over the counted period."""
        reports, partial_sums = self.messages["Report"], self.messages["PartialSum"]
        counted_s = in_seconds(COUNTED_US)
        return ReportTraffic(
            reports_s=reports / counted_s,
            datagrams_s=(self.datagrams["Report"] + self.datagrams["Sums"]) / counted_s,
            report_bytes=self.bytes["Report"] / reports,
            sums_bytes=self.bytes["Sums"] / reports,
            partial_sum_datagrams=self.datagrams["PartialSum"] / partial_sums,
            partial_sum_bytes=self.bytes["PartialSum"] / partial_sums,
        )

    def _deliver(self, now: int, messages: Iterable[AggregationMessage]) -> None:
        for message in messages:
            size = len(self.codec.pack(message))
            if message.sender in self.reporters:
                self.reporters[message.sender].record_sent(size)
            if now >= START_US + WARM_UP_US and self._is_counted(message):
                self._count(message, size)
            if message.to in self.aggregators:
                answers = self.aggregators[message.to].receive(now, message)
            else:
                answers = self.reporters[message.to].receive(now, message, size)
            self._deliver(now, answers)

    def _is_counted(self, message: AggregationMessage) -> bool:
        if COUNTED_DISPATCHER in (message.sender, message.to):
            return True
        return message.sender == COUNTED_AGGREGATOR and isinstance(message, PartialSum)

    def _count(self, message: AggregationMessage, size: int) -> None:
        kind = type(message).__name__
        self.datagrams[kind] += 1
        self.messages[kind] += not getattr(message, "part", 0)
        self.bytes[kind] += size + HEADER_BYTES


def _random_loads(rng: random.Random, replicas: int, prefilling: int, requests: float) -> list[ReplicaLoad]:
    """Returns random loads of `replicas` replicas, with about `requests` requests at each. The first `prefilling` of
    them also have prompt tokens waiting for prefill.

    The loads are random because equal ones would be compressed to almost nothing.
    """
    loads = [
        sum(rng.uniform(0.6, 1.4) for _ in range(max(1, round(rng.gauss(requests, requests**0.5)))))
        * TOKENS_PER_REQUEST
        for _ in range(replicas)
    ]
    return [
        ReplicaLoad(replica_id(f"s-{k}"), int(load) if k < prefilling else 0, int(load)) for k, load in enumerate(loads)
    ]


@functools.cache
def count_report_traffic(replicas: int, prefill_replicas: int, busy: int, prefilling: int) -> ReportTraffic:
    """Returns the traffic of a dispatcher that has work at `busy` replicas, with prompts waiting for prefill at
    `prefilling` of them, in a fleet with work at all replicas. Traffic is counted after the warm-up, when the slot
    table is complete."""
    rng = random.Random(1)
    own_loads = _random_loads(rng, busy, prefilling, 1.0)
    fleet_loads = _random_loads(rng, replicas, prefill_replicas, FLEET_REQUESTS_PER_REPLICA)
    simulation = ReportSimulation(own_loads, fleet_loads)
    simulation.run()
    assert simulation.known_replicas() == replicas, "the slot table is incomplete after the warm-up"
    return simulation.traffic()


def snapshot_interval_s(replicas: int) -> float:
    """Returns the seconds for which an aggregator sends the same snapshot of the sums."""
    return max(SNAPSHOT_INTERVAL_US, SNAPSHOT_INTERVAL_PER_SLOT_US * replicas) / MICROSECONDS_PER_S
