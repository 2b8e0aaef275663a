"""Forty routers, each deciding alone; the requests are counted over all of them."""

import random

from pearhill.routing.events import EndpointsUpdated
from pearhill.routing.topology import Phase
from tests.driver import RouterDriver, S, endpoint, settings

ROUTERS, RATE = 40, 60  # routers, and requests per second over all of them


def test_new_replicas_of_a_mass_replacement_get_their_share_of_requests_within_their_limit():
    """Ten of sixteen prefill replicas are replaced at once.

    If the new ones got no requests, the remaining six would be overloaded.
    """
    old = tuple(endpoint(n, 0, cell=n % 4) for n in range(1, 17)) + tuple(
        endpoint(n, 1, cell=n % 4) for n in range(31, 49)
    )
    drivers = [
        RouterDriver(settings(instances=ROUTERS, slow_start_window=13 * S, overload_window=1_500_000), old, seed=n)
        for n in range(ROUTERS)
    ]
    rng, start = random.Random(3), drivers[0].now
    sent: dict[bool, list[tuple[int, int]]] = {False: [], True: []}
    for n in range(RATE * 40):
        at = start + n * S // RATE
        if n == RATE * 30:  # warm until then
            started = tuple(endpoint(100 + k, 0, cell=k % 4, started_at=at - S) for k in range(10))
            draining = tuple(endpoint(k, 0, cell=k % 4, phase=Phase.DRAINING) for k in range(1, 11))
            for each in drivers:
                each.wait(max(0, at - each.now))
                each.feed(EndpointsUpdated(False, started + draining))
        driver = drivers[rng.randrange(ROUTERS)]
        driver.wait(max(0, at - driver.now))
        request, _ = driver.arrive(prompt_tokens=3000, session=n + 1)
        if request not in driver.sent:
            continue
        replica = driver.sent[request].replica
        if n >= RATE * 30 and (replica < 17 or replica >= 100):
            sent[replica >= 100].append((at, replica))
        driver.serve(request)
    to_started = sum(at < start + 36 * S for at, _ in sent[True])
    share = to_started / (to_started + sum(at < start + 36 * S for at, _ in sent[False]))
    # Meanwhile they have 35 to 60% of a warm replica's capacity, some 45% of the whole prefill capacity at that time.
    assert 0.28 < share < 0.6, share
    # A warm prefill replica had a sixteenth of the work. The limit is 2.5 times the warming-up replica's share of its
    # capacity, which is half as much again as that work, since a third of it was idle.
    warm_rate = RATE / 16
    for at, replica in sent[True]:
        in_window = sum(
            other_replica == replica and at <= other < at + 1_500_000 for other, other_replica in sent[True]
        )
        part = 0.25 + 0.75 * (at - start - 29 * S) / (13 * S)
        assert in_window <= 2.5 * min(1.0, part) * warm_rate * 1.5 * 1.5 + 1, (in_window, part)
