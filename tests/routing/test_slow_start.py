"""Cold servers under the sum of all processes: many seeded Routers, each with its own uneven part of one stream of
requests, some of them started anew during the ramp. What is counted is what the servers get, in every window."""

import math
import random
from bisect import bisect_left
from collections.abc import Callable

import pytest

from pearhill.routing.actions import SendAttempt
from pearhill.routing.events import EndpointsUpdated
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint, Phase
from tests.driver import Drive, S, entry, of, settings

READERS, WRITERS, RATE = 8, 6, 80  # requests a second at the fleet
WARM, RAMP = 30 * S, 14 * S


MIXED = 4
SHORT, LONG, SHORT_SHARE = 300, 8_000, 0.75  # prompts of the days with mixed servers
PAD = 500  # tokens that a step costs even for the shortest prompt


class Fleet:
    """`count` processes; one of four gets several times what the others do."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng, self.count, self.now, self.next = random.Random(seed), count, 100 * S, 0
        self.listed = {n: entry(n, 0, cell=n % 2) for n in range(1, READERS + 1)} | {
            n: entry(n, 1, cell=n % 2) for n in range(11, 11 + WRITERS)
        }
        self.shares = [4.0 if n % 4 == 0 else 1.0 for n in range(count)]
        self.nodes = [self.fresh() for _ in range(count)]
        self.sent: dict[int, list[int]] = {}
        self.cut: set[int] = set()  # no connection to these comes up

    def fresh(self) -> Drive:
        self.next += 1
        drive = Drive(
            settings(instances=self.count, local_prefill=False, overload_window=1_500_000, slow_start_window=RAMP),
            tuple(self.listed.values()),
            seed=self.rng.randrange(1 << 30),
        )
        drive.now = self.now
        return drive

    def change(self, *entries: Endpoint) -> None:
        self.listed |= {e.replica: e for e in entries}
        for node in self.nodes:
            node.wait(self.now - node.now)
            node.feed(EndpointsUpdated(False, entries))

    def run(self, until: int) -> None:
        while self.now < until:
            self.now += int(self.rng.expovariate(RATE) * S)
            node = self.rng.choices(self.nodes, self.shares)[0]
            node.wait(self.now - node.now)
            r, out = node.arrive(prompt=3000, session=self.rng.randrange(1, 1 << 60))
            while of(SendAttempt, out) and node.sent[r].replica in self.cut:
                out = node.end(r, Outcome.UNREACHABLE)
            if of(SendAttempt, out):
                self.sent.setdefault(node.sent[r].replica, []).append(self.now)
                node.serve(r)


def chance(bears: float) -> float:
    """What may come on top of that by chance."""
    return 2 * math.sqrt(bears) + 2


def chance_by_the_page(bears: float) -> float:
    """The same, as the platform's page has it: more room where there are few."""
    return 3 * math.sqrt(bears) + 3 if bears < 30 else chance(bears)


def breaches(
    fleet: Fleet, engine: int, started: int, capacity: float, chance: Callable[[float], float] = chance
) -> tuple[int, float]:
    """Windows in which a server that can do so many requests a microsecond once it is warm got more than chance
    explains, and the fullest one, of what it bears then."""
    s = fleet.nodes[0].router.settings
    sent, over, fullest = [at for at in fleet.sent.get(engine, []) if started <= at < started + RAMP], 0, 0.0
    for k, at in enumerate(sent):
        end = at + s.overload_window
        part = min(
            1.0, s.slow_start_initial_share + (1 - s.slow_start_initial_share) * (at - started) / s.slow_start_window
        )
        bears = s.overload_multiple * part * capacity * s.overload_window
        got = bisect_left(sent, end) - k
        over += got > bears + chance(bears)
        fullest = max(fullest, got / bears)
    return over, fullest


@pytest.mark.parametrize("count", [3, 20, 30, 200])
@pytest.mark.parametrize(
    "day, least", [("one", 0.1), ("release", 0.1), ("restarts", 0.02), ("late", 0.3), ("cut", 0.3)]
)
def test_a_cold_server_stays_under_what_it_bears_in_every_window_and_gets_work(count: int, day: str, least: float):
    """One of eight starts anew; or five of them within 5 s; or one, and every other process is started anew; or all
    warm ones leave when it has hardly been used, or are cut off, which no list tells."""
    seed = count * 1000 + len(day)
    print(f"seed {seed}")
    fleet = Fleet(count, seed)
    start = fleet.now + WARM
    fleet.run(start)
    capacity = RATE / READERS / S
    cold = {1: start}
    fleet.change(entry(1, 0, cell=1, started=start))
    if day == "release":
        for n in range(2, 6):
            fleet.run(start + n * S)
            cold[n] = fleet.now
            fleet.change(entry(n, 0, cell=n % 2, started=fleet.now))
    if day == "restarts":
        for n in range(0, count, 2):
            fleet.run(start + 6 * S * n // count)
            fleet.nodes[n] = fleet.fresh()
    if day == "late":
        fleet.run(start + 5 * S)
        fleet.change(*(entry(n, 0, cell=n % 2, phase=Phase.DRAINING) for n in range(2, READERS + 1)))
    if day == "cut":
        fleet.run(start + 5 * S)
        fleet.cut = set(range(2, READERS + 1))
    fleet.run(start + RAMP)
    found = {n: breaches(fleet, n, at, capacity) for n, at in cold.items()}
    assert not any(over for over, _ in found.values()), found
    # A warm one would have had `capacity` all the while. A process started anew knows of no peers' work, and lends one
    # request a window with all others together.
    assert len([at for at in fleet.sent[1] if start <= at < start + RAMP]) > least * capacity * RAMP


class MixedFleet(Fleet):
    """Mixed servers get the short prompts above all, which are lighter than the mean of their class."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(count, seed)
        self.work: dict[int, float] = {}  # of each server, in tokens
        self.all_work, self.requests = 0.0, 0
        self.change(*(entry(n, 2, cell=n % 2) for n in range(21, 21 + MIXED)))

    def run(self, until: int) -> None:
        while self.now < until:
            self.now += int(self.rng.expovariate(RATE) * S)
            node = self.rng.choices(self.nodes, self.shares)[0]
            node.wait(self.now - node.now)
            prompt = SHORT if self.rng.random() < SHORT_SHARE else LONG
            r, out = node.arrive(prompt=prompt, session=self.rng.randrange(1, 1 << 60))
            self.all_work, self.requests = self.all_work + prompt + PAD, self.requests + 1
            if of(SendAttempt, out):
                engine = node.sent[r].replica
                self.sent.setdefault(engine, []).append(self.now)
                self.work[engine] = self.work.get(engine, 0.0) + prompt + PAD
                node.serve(r)

    def capacity(self, span: int) -> float:
        """Requests of mean work a microsecond that a warm mixed server has borne through the whole span so far."""
        mean = self.all_work / self.requests
        return sum(self.work.get(n, 0.0) for n in range(21, 21 + MIXED)) / MIXED / mean / span


@pytest.mark.parametrize("count", [3, 32])
def test_a_cold_server_bears_so_many_requests_of_mean_work_though_its_peers_get_lighter_ones(count: int):
    """On a cold server each request weighs as the mean of its class (bench souss-helpdesk, throng, 506155874871)."""
    seed = count * 1000 + 7
    print(f"seed {seed}")
    fleet = MixedFleet(count, seed)
    start = fleet.now + WARM
    fleet.run(start)
    capacity = fleet.capacity(WARM)
    fleet.change(entry(21, 2, cell=1, started=start))
    fleet.run(start + RAMP)
    over, fullest = breaches(fleet, 21, start, capacity, chance_by_the_page)
    assert not over, (over, fullest)
    assert len([at for at in fleet.sent[21] if start <= at < start + RAMP]) > 0.1 * capacity * RAMP


@pytest.mark.parametrize("kind, first", [(1, 11), (2, 21)], ids=["writers", "mixed"])
def test_answers_that_have_only_begun_tell_nothing_of_what_a_cold_server_bears(kind: int, first: int):
    """Servers that were empty begin answers far faster than they finish them (bench souss-helpdesk, throng,
    506155874871, whose burst falls into the first seconds)."""
    fleet = (*(entry(n, 0) for n in range(1, 4)), *(entry(n, kind) for n in range(first, first + 3)))
    node = Drive(
        settings(instances=1, local_prefill=True, overload_window=1_500_000, slow_start_window=RAMP), fleet, seed=5
    )
    role, open_still = node.router.settings.kinds[kind].role, []
    for n in range(200):
        r, out = node.arrive(prompt=300, session=n + 1)
        if of(SendAttempt, out) and node.sent[r].replica < 11:
            node.end(r, Outcome.PREFILLED)
        if r in node.sent and node.sent[r].replica >= 11:
            node.began(r)
            open_still.append(r)
        node.wait(20_000)
    assert open_still and node.router.slow_start.answer_rate[role] == 0
    for r in open_still:
        node.end(r, Outcome.ANSWERED, settled=True)
    node.wait(2 * S)
    assert node.router.slow_start.answer_rate[role] > 0
