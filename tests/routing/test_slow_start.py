"""Warming-up replicas under the load of all dispatchers together.

Many seeded routers each get an uneven part of one stream of requests, and some of them are restarted during the slow
start. The requests that each replica gets are counted in every overload window.
"""

import math
import random
from bisect import bisect_left
from collections.abc import Callable

import pytest

from pearhill.routing.actions import SendAttempt
from pearhill.routing.events import EndpointsUpdated
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint, Phase
from tests.driver import RouterDriver, S, endpoint, of_type, settings

READERS, WRITERS, RATE = 8, 6, 80  # requests per second over all dispatchers
WARM, RAMP = 30 * S, 14 * S


MIXED = 4
SHORT, LONG, SHORT_SHARE = 300, 8_000, 0.75  # prompts of the scenario with mixed replicas
PAD = 500  # cost of one batch step even for the shortest prompt, in tokens


class Fleet:
    """`count` dispatchers, of which one in four gets several times the requests of the others."""

    def __init__(self, count: int, seed: int) -> None:
        self.rng, self.count, self.now, self.next = random.Random(seed), count, 100 * S, 0
        self.listed = {n: endpoint(n, 0, cell=n % 2) for n in range(1, READERS + 1)} | {
            n: endpoint(n, 1, cell=n % 2) for n in range(11, 11 + WRITERS)
        }
        self.shares = [4.0 if n % 4 == 0 else 1.0 for n in range(count)]
        self.nodes = [self.fresh() for _ in range(count)]
        self.sent: dict[int, list[int]] = {}
        self.cut: set[int] = set()  # replicas that cannot be connected to

    def fresh(self) -> RouterDriver:
        self.next += 1
        drive = RouterDriver(
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
            r, out = node.arrive(prompt_tokens=3000, session=self.rng.randrange(1, 1 << 60))
            while of_type(SendAttempt, out) and node.sent[r].replica in self.cut:
                out = node.end(r, Outcome.UNREACHABLE)
            if of_type(SendAttempt, out):
                self.sent.setdefault(node.sent[r].replica, []).append(self.now)
                node.serve(r)


def chance(bears: float) -> float:
    """Return how many requests above this number may be due to chance."""
    return 2 * math.sqrt(bears) + 2


def chance_by_the_page(bears: float) -> float:
    """Return the same by the platform's rule, which allows more for small numbers."""
    return 3 * math.sqrt(bears) + 3 if bears < 30 else chance(bears)


def breaches(
    fleet: Fleet, engine: int, started: int, capacity: float, chance: Callable[[float], float] = chance
) -> tuple[int, float]:
    """Return the number of windows in which a replica got more than its capacity and chance explain.

    `capacity` is in requests per microsecond of the warm replica. Also returns the requests in the fullest window as a
    multiple of the limit at that time.
    """
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
    ("day", "least"), [("one", 0.1), ("release", 0.1), ("restarts", 0.02), ("late", 0.3), ("cut", 0.3)]
)
def test_a_cold_server_stays_under_what_it_bears_in_every_window_and_gets_work(count: int, day: str, least: float):
    """Each scenario restarts prefill replicas.

    One of eight restarts; or five of them within 5 s; or one, while every other dispatcher is restarted; or one, and
    soon after all warm ones start draining, or become unreachable without an update of the endpoint list.
    """
    seed = count * 1000 + len(day)
    print(f"seed {seed}")
    fleet = Fleet(count, seed)
    start = fleet.now + WARM
    fleet.run(start)
    capacity = RATE / READERS / S
    cold = {1: start}
    fleet.change(endpoint(1, 0, cell=1, started_at=start))
    if day == "release":
        for n in range(2, 6):
            fleet.run(start + n * S)
            cold[n] = fleet.now
            fleet.change(endpoint(n, 0, cell=n % 2, started_at=fleet.now))
    if day == "restarts":
        for n in range(0, count, 2):
            fleet.run(start + 6 * S * n // count)
            fleet.nodes[n] = fleet.fresh()
    if day == "late":
        fleet.run(start + 5 * S)
        fleet.change(*(endpoint(n, 0, cell=n % 2, phase=Phase.DRAINING) for n in range(2, READERS + 1)))
    if day == "cut":
        fleet.run(start + 5 * S)
        fleet.cut = set(range(2, READERS + 1))
    fleet.run(start + RAMP)
    found = {n: breaches(fleet, n, at, capacity) for n, at in cold.items()}
    assert not any(over for over, _ in found.values()), found
    # A warm replica would have got `capacity` all the time. A restarted dispatcher has no rate of warm replicas, and
    # sends one request in a window together with all others.
    assert len([at for at in fleet.sent[1] if start <= at < start + RAMP]) > least * capacity * RAMP


class MixedFleet(Fleet):
    """A fleet whose mixed replicas mostly get the short prompts, which are less work than the mean of their class."""

    def __init__(self, count: int, seed: int) -> None:
        super().__init__(count, seed)
        self.work: dict[int, float] = {}  # by replica, in tokens
        self.all_work, self.requests = 0.0, 0
        self.change(*(endpoint(n, 2, cell=n % 2) for n in range(21, 21 + MIXED)))

    def run(self, until: int) -> None:
        while self.now < until:
            self.now += int(self.rng.expovariate(RATE) * S)
            node = self.rng.choices(self.nodes, self.shares)[0]
            node.wait(self.now - node.now)
            prompt = SHORT if self.rng.random() < SHORT_SHARE else LONG
            r, out = node.arrive(prompt_tokens=prompt, session=self.rng.randrange(1, 1 << 60))
            self.all_work, self.requests = self.all_work + prompt + PAD, self.requests + 1
            if of_type(SendAttempt, out):
                engine = node.sent[r].replica
                self.sent.setdefault(engine, []).append(self.now)
                self.work[engine] = self.work.get(engine, 0.0) + prompt + PAD
                node.serve(r)

    def capacity(self, span: int) -> float:
        """Return the requests of mean work per microsecond that a warm mixed replica has served over the span."""
        mean = self.all_work / self.requests
        return sum(self.work.get(n, 0.0) for n in range(21, 21 + MIXED)) / MIXED / mean / span


@pytest.mark.parametrize("count", [3, 32])
def test_a_cold_server_bears_so_many_requests_of_mean_work_though_its_peers_get_lighter_ones(count: int):
    """At a warming-up replica, each request counts as the mean of its class.

    The fault was seen in the benchmark souss-helpdesk, throng, 506155874871.
    """
    seed = count * 1000 + 7
    print(f"seed {seed}")
    fleet = MixedFleet(count, seed)
    start = fleet.now + WARM
    fleet.run(start)
    capacity = fleet.capacity(WARM)
    fleet.change(endpoint(21, 2, cell=1, started_at=start))
    fleet.run(start + RAMP)
    over, fullest = breaches(fleet, 21, start, capacity, chance_by_the_page)
    assert not over, (over, fullest)
    assert len([at for at in fleet.sent[21] if start <= at < start + RAMP]) > 0.1 * capacity * RAMP


@pytest.mark.parametrize(("kind", "first"), [(1, 11), (2, 21)], ids=["writers", "mixed"])
def test_answers_that_have_only_begun_tell_nothing_of_what_a_cold_server_bears(kind: int, first: int):
    """Idle replicas begin answers far faster than they finish them.

    The fault was seen in the benchmark souss-helpdesk, throng, 506155874871, whose burst falls into the first seconds.
    """
    fleet = (*(endpoint(n, 0) for n in range(1, 4)), *(endpoint(n, kind) for n in range(first, first + 3)))
    node = RouterDriver(
        settings(instances=1, local_prefill=True, overload_window=1_500_000, slow_start_window=RAMP), fleet, seed=5
    )
    role, open_still = node.router.settings.kinds[kind].role, []
    for n in range(200):
        r, out = node.arrive(prompt_tokens=300, session=n + 1)
        if of_type(SendAttempt, out) and node.sent[r].replica < 11:
            node.end(r, Outcome.PREFILLED)
        if r in node.sent and node.sent[r].replica >= 11:
            node.response_started(r)
            open_still.append(r)
        node.wait(20_000)
    assert open_still
    assert node.router.slow_start.answer_rate[role] == 0
    for r in open_still:
        node.end(r, Outcome.ANSWERED, answered=True)
    node.wait(2 * S)
    assert node.router.slow_start.answer_rate[role] > 0
