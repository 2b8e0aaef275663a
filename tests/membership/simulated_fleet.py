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
STEP = 1.07**1.5  # rounded to the nearest code three times: the report, a partial sum, the sums
LATELY = LEASE_US + PARTIAL_SUM_LEASE_US + MAX_SUMS_AGE_US + 2 * S  # no sums include work that was reported longer ago
SITES = [AggregatorSite(f"a{k}", f"r{k}") for k in range(3)]


class Process:
    """A dispatcher with work at a replica of its own, so that the sums there show whose work they include."""

    def __init__(self, world: World, name: str, region: str, replica: int, incarnation: int) -> None:
        self.world, self.name, self.region, self.replica, self.load = world, name, region, replica, 10_000
        self.reported: list[tuple[int, int]] = []
        self.reporter = Reporter(name, region, SITES, incarnation, random.Random(world.rng.random()), self.rows)
        self.reporter._due = world.now + world.rng.randrange(500_000)
        self.received: list[tuple[AggregationMessage, object]] = []  # while it is stalled
        self.up, self.stalled, self.known = True, False, set[object]()

    def rows(self) -> list[ReplicaLoad]:
        self.reported.append((self.world.now, self.load))
        return [ReplicaLoad(self.replica, self.load // 2, self.load)]

    def most_lately(self, now: int) -> int:
        return max((load for at, load in self.reported if now - at < LATELY), default=0)


class World:
    def __init__(self, count: int, seed: int, size: int = 300) -> None:
        print(f"seed {seed}")
        self.rng, self.now, self.events, self.size = random.Random(seed), 1_000 * S, 0, size
        self.heap: list[tuple[int, int, str, Any]] = []
        self.drop = self.double = 0.0
        self.delay, self.cuts, self.codec = 2_000, set[tuple[str, str]](), AggregationCodec([KEY])
        self.processes: list[Process] = []
        self.aggregators: dict[str, Aggregator] = {}
        self.stalled: dict[
            str, list[tuple[AggregationMessage, object]]
        ] = {}  # stalled aggregators and the messages waiting in their sockets
        self.addresses: dict[tuple[str, str], Process] = {}  # by aggregator and dispatcher name: whom to answer
        self.replayable: list[tuple[object, AggregationMessage, object]] = []
        self.arrivals: list[tuple[int, str]] = []
        self.most_moves = Counter[int]()
        for site in SITES:
            self.start_aggregator(site.name)
        for k in range(count):
            self.start(f"d{k}", f"r{k % 3}")

    def at(self, wait: int, what: str, thing: object) -> None:
        self.events += 1
        heapq.heappush(self.heap, (self.now + wait, self.events, what, thing))

    def start(self, name: str, region: str, incarnation: int | None = None) -> Process:
        n = 1 + len(self.processes)  # no two processes start within the same microsecond
        process = Process(self, name, region, n, n + (self.now if incarnation is None else incarnation))
        self.processes.append(process)
        self.at(0, "report", process)
        return process

    def start_aggregator(self, name: str) -> None:
        self.stalled.pop(name, None)
        self.aggregators[name] = made = Aggregator(name, [s.name for s in SITES], self.now, random.Random(1))
        self.at(self.rng.randrange(AGGREGATOR_TICK_US), "tick", (name, made))

    def up(self, name: str = "") -> list[Process]:
        return [p for p in self.processes if p.up and name in ("", p.name)]

    def side(self, thing: object) -> str:
        return thing.region if isinstance(thing, Process) else "r" + str(thing)[1:]

    def send(self, sender: object, frames: list[AggregationMessage]) -> None:
        for f in frames:
            if isinstance(sender, Process):
                sender.reporter.sent(self.size)
                to: object = f.to
            else:
                to = self.addresses.get((str(sender), f.to), f.to)
            self.replayable = [*self.replayable[-200:], (to, f, sender)]
            if (self.side(sender), self.side(to)) in self.cuts or self.rng.random() < self.drop:
                continue
            for _ in range(1 + (self.rng.random() < self.double)):
                self.at(self.rng.randrange(1, 2 * self.delay), "frame", (to, f, sender))

    def deliver(self, to: Any, f: AggregationMessage, sender: object) -> None:
        if isinstance(to, Process):
            if to.up and to.stalled:
                to.received.append((f, sender))
            elif to.up:
                self.send(to, to.reporter.receive(self.now, f, self.size))
        elif to in self.stalled:
            self.stalled[to].append((f, sender))
        elif to in self.aggregators:
            answers = self.aggregators[to].receive(self.now, f)
            if answers and isinstance(sender, Process):
                self.addresses[to, f.sender] = sender
            self.arrivals += [(self.now, to)] * isinstance(f, Report)
            self.send(to, answers)

    def run(self, micros: int) -> None:
        end = self.now + micros
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what, thing = heapq.heappop(self.heap)
            if what == "tick":
                name, made = thing
                if self.aggregators.get(name) is made:
                    if name not in self.stalled:
                        self.send(name, made.tick(self.now))
                    self.at(AGGREGATOR_TICK_US, "tick", thing)
            elif what == "report":
                if thing.up:
                    if not thing.stalled and self.now >= thing.reporter.next_tick(self.now):
                        moves = thing.reporter.moves
                        self.send(thing, thing.reporter.tick(self.now))
                        self.most_moves[self.now // 250_000] += thing.reporter.moves - moves
                    self.at(
                        max(1_000, min(AGGREGATOR_TICK_US, thing.reporter.next_tick(self.now) - self.now)),
                        "report",
                        thing,
                    )
            else:
                self.deliver(*thing)
        self.now = end

    def wake(self) -> None:
        """Ends all stalls. Messages that waited in a socket are read before the next tick."""
        stalled, self.stalled = self.stalled, {}
        for name, waiting in stalled.items():
            for f, sender in waiting:
                self.deliver(name, f, sender)
        for process in self.processes:
            process.stalled, waiting = False, process.received
            process.received = []
            for f, sender in waiting:
                self.deliver(process, f, sender)

    def heal(self) -> None:
        self.drop, self.double, self.delay = 0.0, 0.0, 2_000
        self.cuts.clear()
        self.wake()

    def cut(self, *sides: str) -> None:
        self.cuts |= {(a, b) for a in ("r0", "r1", "r2") for b in ("r0", "r1", "r2") if (a in sides) != (b in sides)}

    def counts(self) -> set[int | None]:
        return {p.reporter.count(self.now) for p in self.up()}

    def wrong_views(self) -> list[str]:
        """Returns the dispatchers whose sums lack work of another one or include work that no dispatcher has."""
        wrong = []
        for p in self.up():
            for other in self.processes:
                told = p.reporter.peer_load(self.now, other.replica)
                load = other.load if other.up and other is not p else 0
                if told is None or not load / STEP <= told.total_tokens <= load * STEP:
                    wrong.append(f"{p.name} {p.reporter.figures(self.now)}: has {told} of {other.name}, load {load}")
        return wrong

    def check(self) -> None:
        for p in self.up():
            for other in self.processes:
                told = p.reporter.peer_load(self.now, other.replica)
                if told is not None:
                    most = other.most_lately(self.now) if other is not p else 0
                    detail = f"{p.name} at {p.reporter.current}: has {told} of {other.name}, which reported {most}"
                    assert told.total_tokens <= most * STEP, detail
                    assert told.queued_tokens <= most / 2 * STEP, detail
        named = {p.name for p in self.processes}
        for a in self.aggregators.values():
            assert a.count(self.now) <= len(named)

    def checked(self, micros: int) -> None:
        end = self.now + micros
        while self.now < end:
            self.run(min(100_000, end - self.now))
            self.check()
