"""A fleet of dispatchers and aggregators on a simulated clock and network, for the tests of both."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from typing import Any

from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import (
    LEASE_US,
    PARTIAL_SUM_LEASE_US,
    AggregationCodec,
    AggregationMessage,
    Report,
)
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, Aggregator
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.reporter import Reporter

S = 1_000_000
KEY = b"k" * 32
ROUNDING_ERROR = 1.07**1.5  # rounded to the nearest code three times: the report, a partial sum, the sums
# No sums include work that was reported longer ago.
MAX_COUNTED_AGE_US = LEASE_US + PARTIAL_SUM_LEASE_US + MAX_SUMS_AGE_US + 2 * S
SITES = [AggregatorSite(f"a{k}", f"r{k}") for k in range(3)]


class SimulatedDispatcher:
    """A dispatcher with work at a replica of its own, so that the sums there show whose work they include."""

    def __init__(self, world: FleetSimulation, name: str, region: str, replica: int, incarnation: int) -> None:
        self.world, self.name, self.region, self.replica, self.load = world, name, region, replica, 10_000
        self.reported: list[tuple[int, int]] = []
        self.reporter = Reporter(name, region, SITES, incarnation, random.Random(world.rng.random()), self.rows)
        self.reporter._due = world.now + world.rng.randrange(500_000)
        self.received: list[tuple[AggregationMessage, object]] = []  # while it is stalled
        self.up, self.stalled, self.known = True, False, set[object]()

    def rows(self) -> list[ReplicaLoad]:
        self.reported.append((self.world.now, self.load))
        return [ReplicaLoad(self.replica, self.load // 2, self.load)]

    def max_recent_load(self, now: int) -> int:
        return max((load for at, load in self.reported if now - at < MAX_COUNTED_AGE_US), default=0)


class FleetSimulation:
    def __init__(self, count: int, seed: int, size: int = 300) -> None:
        print(f"seed {seed}")
        self.rng, self.now, self.events, self.size = random.Random(seed), 1_000 * S, 0, size
        self.heap: list[tuple[int, int, str, Any]] = []
        self.drop = self.duplicate = 0.0
        self.delay, self.blocked_paths, self.codec = 2_000, set[tuple[str, str]](), AggregationCodec([KEY])
        self.processes: list[SimulatedDispatcher] = []
        self.aggregators: dict[str, Aggregator] = {}
        self.stalled: dict[
            str, list[tuple[AggregationMessage, object]]
        ] = {}  # stalled aggregators and the messages waiting in their sockets
        # By names of an aggregator and a dispatcher: the process that the aggregator answers.
        self.addresses: dict[tuple[str, str], SimulatedDispatcher] = {}
        self.replayable: list[tuple[object, AggregationMessage, object]] = []
        self.arrivals: list[tuple[int, str]] = []
        self.moves_per_window = Counter[int]()
        for site in SITES:
            self.start_aggregator(site.name)
        for k in range(count):
            self.start(f"d{k}", f"r{k % 3}")

    def schedule(self, wait: int, kind: str, subject: object) -> None:
        self.events += 1
        heapq.heappush(self.heap, (self.now + wait, self.events, kind, subject))

    def start(self, name: str, region: str, incarnation: int | None = None) -> SimulatedDispatcher:
        n = 1 + len(self.processes)  # no two processes start within the same microsecond
        process = SimulatedDispatcher(self, name, region, n, n + (self.now if incarnation is None else incarnation))
        self.processes.append(process)
        self.schedule(0, "report", process)
        return process

    def start_aggregator(self, name: str) -> None:
        self.stalled.pop(name, None)
        self.aggregators[name] = aggregator = Aggregator(name, [s.name for s in SITES], self.now, random.Random(1))
        self.schedule(self.rng.randrange(AGGREGATOR_TICK_US), "tick", (name, aggregator))

    def running(self, name: str = "") -> list[SimulatedDispatcher]:
        return [p for p in self.processes if p.up and name in ("", p.name)]

    def region_of(self, subject: object) -> str:
        return subject.region if isinstance(subject, SimulatedDispatcher) else "r" + str(subject)[1:]

    def send(self, sender: object, messages: list[AggregationMessage]) -> None:
        for message in messages:
            if isinstance(sender, SimulatedDispatcher):
                sender.reporter.record_sent(self.size)
                to: object = message.to
            else:
                to = self.addresses.get((str(sender), message.to), message.to)
            self.replayable = [*self.replayable[-200:], (to, message, sender)]
            if (self.region_of(sender), self.region_of(to)) in self.blocked_paths or self.rng.random() < self.drop:
                continue
            for _ in range(1 + (self.rng.random() < self.duplicate)):
                self.schedule(self.rng.randrange(1, 2 * self.delay), "frame", (to, message, sender))

    def deliver(self, to: Any, message: AggregationMessage, sender: object) -> None:
        if isinstance(to, SimulatedDispatcher):
            if to.up and to.stalled:
                to.received.append((message, sender))
            elif to.up:
                self.send(to, to.reporter.receive(self.now, message, self.size))
        elif to in self.stalled:
            self.stalled[to].append((message, sender))
        elif to in self.aggregators:
            answers = self.aggregators[to].receive(self.now, message)
            if answers and isinstance(sender, SimulatedDispatcher):
                self.addresses[to, message.sender] = sender
            self.arrivals += [(self.now, to)] * isinstance(message, Report)
            self.send(to, answers)

    def run(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.heap and self.heap[0][0] <= end:
            self.now, _, kind, subject = heapq.heappop(self.heap)
            if kind == "tick":
                name, aggregator = subject
                if self.aggregators.get(name) is aggregator:
                    if name not in self.stalled:
                        self.send(name, aggregator.tick(self.now))
                    self.schedule(AGGREGATOR_TICK_US, "tick", subject)
            elif kind == "report":
                if subject.up:
                    if not subject.stalled and self.now >= subject.reporter.next_tick(self.now):
                        moves = subject.reporter.moves
                        self.send(subject, subject.reporter.tick(self.now))
                        self.moves_per_window[self.now // 250_000] += subject.reporter.moves - moves
                    self.schedule(
                        max(1_000, min(AGGREGATOR_TICK_US, subject.reporter.next_tick(self.now) - self.now)),
                        "report",
                        subject,
                    )
            else:
                self.deliver(*subject)
        self.now = end

    def end_stalls(self) -> None:
        """Ends all stalls. Messages that waited in a socket are read before the next tick."""
        stalled, self.stalled = self.stalled, {}
        for name, waiting in stalled.items():
            for message, sender in waiting:
                self.deliver(name, message, sender)
        for process in self.processes:
            process.stalled, waiting = False, process.received
            process.received = []
            for message, sender in waiting:
                self.deliver(process, message, sender)

    def heal(self) -> None:
        self.drop, self.duplicate, self.delay = 0.0, 0.0, 2_000
        self.blocked_paths.clear()
        self.end_stalls()

    def partition(self, *sides: str) -> None:
        self.blocked_paths |= {
            (a, b) for a in ("r0", "r1", "r2") for b in ("r0", "r1", "r2") if (a in sides) != (b in sides)
        }

    def counts(self) -> set[int | None]:
        return {p.reporter.count(self.now) for p in self.running()}

    def incorrect_views(self) -> list[str]:
        """Returns the dispatchers whose sums lack work of another one or include work that no dispatcher has."""
        wrong = []
        for p in self.running():
            for other in self.processes:
                known_load = p.reporter.peer_load(self.now, other.replica)
                load = other.load if other.up and other is not p else 0
                if known_load is None or not load / ROUNDING_ERROR <= known_load.total_tokens <= load * ROUNDING_ERROR:
                    wrong.append(
                        f"{p.name} {p.reporter.figures(self.now)}: has {known_load} of {other.name}, load {load}"
                    )
        return wrong

    def check(self) -> None:
        for p in self.running():
            for other in self.processes:
                known_load = p.reporter.peer_load(self.now, other.replica)
                if known_load is not None:
                    max_load = other.max_recent_load(self.now) if other is not p else 0
                    detail = (
                        f"{p.name} at {p.reporter.current}: has {known_load} of {other.name}, which reported {max_load}"
                    )
                    assert known_load.total_tokens <= max_load * ROUNDING_ERROR, detail
                    assert known_load.queued_tokens <= max_load / 2 * ROUNDING_ERROR, detail
        named = {p.name for p in self.processes}
        for a in self.aggregators.values():
            assert a.count(self.now) <= len(named)

    def run_checked(self, duration_us: int) -> None:
        end = self.now + duration_us
        while self.now < end:
            self.run(min(100_000, end - self.now))
            self.check()
