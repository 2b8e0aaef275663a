"""Cold servers under the sum of all processes: many seeded Routers, each with its own uneven part of one stream of
requests, some of them started anew during the ramp. What is counted is what the servers get, in every window."""

import math
import random
from bisect import bisect_left

import pytest

from pearhill import interface as i
from tests.driver import Drive, S, entry, of, settings

READERS, WRITERS, RATE = 8, 6, 80  # requests a second at the fleet
WARM, RAMP = 30 * S, 14 * S


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
            settings(instances=self.count, local_read=False, fall=1_500_000, cold=RAMP),
            tuple(self.listed.values()),
            seed=self.rng.randrange(1 << 30),
        )
        drive.now = self.now
        return drive

    def change(self, *entries: i.Entry) -> None:
        self.listed |= {e.engine: e for e in entries}
        for node in self.nodes:
            node.wait(self.now - node.now)
            node.feed(i.Listed(False, entries))

    def run(self, until: int) -> None:
        while self.now < until:
            self.now += int(self.rng.expovariate(RATE) * S)
            node = self.rng.choices(self.nodes, self.shares)[0]
            node.wait(self.now - node.now)
            r, out = node.arrive(prompt=3000, session=self.rng.randrange(1, 1 << 60))
            while of(i.Send, out) and node.sent[r].engine in self.cut:
                out = node.end(r, i.UNREACHABLE)
            if of(i.Send, out):
                self.sent.setdefault(node.sent[r].engine, []).append(self.now)
                node.serve(r)


def breaches(fleet: Fleet, engine: int, started: int, capacity: float) -> tuple[int, float]:
    """Windows in which a server that can do so many requests a microsecond once it is warm got more than chance
    explains, and the fullest one, of what it bears then."""
    s = fleet.nodes[0].router.s
    sent, over, fullest = [at for at in fleet.sent.get(engine, []) if started <= at < started + RAMP], 0, 0.0
    for k, at in enumerate(sent):
        end = at + s.fall
        part = min(1.0, s.cold_from + (1 - s.cold_from) * (at - started) / s.cold)
        bears = s.fall_multiple * part * capacity * s.fall
        got = bisect_left(sent, end) - k
        over += got > bears + 2 * math.sqrt(bears) + 2
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
        fleet.change(*(entry(n, 0, cell=n % 2, phase=i.DRAINING) for n in range(2, READERS + 1)))
    if day == "cut":
        fleet.run(start + 5 * S)
        fleet.cut = set(range(2, READERS + 1))
    fleet.run(start + RAMP)
    found = {n: breaches(fleet, n, at, capacity) for n, at in cold.items()}
    assert not any(over for over, _ in found.values()), found
    # A warm one would have had `capacity` all the while. A process started anew knows of no peers' work, and lends one
    # request a window with all others together.
    assert len([at for at in fleet.sent[1] if start <= at < start + RAMP]) > least * capacity * RAMP
