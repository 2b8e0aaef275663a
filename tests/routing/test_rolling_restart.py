"""Forty routers, each deciding alone; the requests are counted over all of them."""

import random

from pearhill.routing.events import EndpointsUpdated
from pearhill.routing.topology import Phase
from tests.driver import RouterDriver, S, endpoint, settings

NODES, RATE = 40, 60  # routers, and requests per second over all of them


def test_a_mass_replacement_finds_its_share_of_work_and_stays_within_what_it_bears():
    """Ten of sixteen prefill replicas are replaced at once.

    If the new ones got no requests, the remaining six would be overloaded.
    """
    old = tuple(endpoint(n, 0, cell=n % 4) for n in range(1, 17)) + tuple(
        endpoint(n, 1, cell=n % 4) for n in range(31, 49)
    )
    fleet = [
        RouterDriver(settings(instances=NODES, slow_start_window=13 * S, overload_window=1_500_000), old, seed=n)
        for n in range(NODES)
    ]
    rng, start = random.Random(3), fleet[0].now
    sent: dict[bool, list[tuple[int, int]]] = {False: [], True: []}
    for n in range(RATE * 40):
        at = start + n * S // RATE
        if n == RATE * 30:  # warm until then
            fresh = tuple(endpoint(100 + k, 0, cell=k % 4, started_at=at - S) for k in range(10))
            gone = tuple(endpoint(k, 0, cell=k % 4, phase=Phase.DRAINING) for k in range(1, 11))
            for each in fleet:
                each.wait(max(0, at - each.now))
                each.feed(EndpointsUpdated(False, fresh + gone))
        d = fleet[rng.randrange(NODES)]
        d.wait(max(0, at - d.now))
        r, _ = d.arrive(prompt_tokens=3000, session=n + 1)
        if r not in d.sent:
            continue
        engine = d.sent[r].replica
        if n >= RATE * 30 and (engine < 17 or engine >= 100):
            sent[engine >= 100].append((at, engine))
        d.serve(r)
    cold = sum(at < start + 36 * S for at, _ in sent[True])
    share = cold / (cold + sum(at < start + 36 * S for at, _ in sent[False]))
    # Meanwhile they have 35 to 60% of a warm replica's capacity, some 45% of the whole prefill capacity at that time.
    assert 0.28 < share < 0.6, share
    # A warm prefill replica had a sixteenth of the work. The limit is 2.5 times the warming-up replica's share of its
    # capacity, which is half as much again as that work, since a third of it was idle.
    each_warm = RATE / 16
    for at, engine in sent[True]:
        inside = sum(e == engine and at <= other < at + 1_500_000 for other, e in sent[True])
        part = 0.25 + 0.75 * (at - start - 29 * S) / (13 * S)
        assert inside <= 2.5 * min(1.0, part) * each_warm * 1.5 * 1.5 + 1, (inside, part)
