"""The router decides well whether a dispatcher sees most of the traffic or one request in two hundred.

Many seeded routers share one stream of requests, or one router runs for long while replicas come and go.
"""

import gc
import random
import sys
import weakref
from dataclasses import replace

import pytest

from pearhill.routing.actions import RejectRequest, SendAttempt
from pearhill.routing.events import EndpointsUpdated, ReportedLoad, RequestArrived
from pearhill.routing.local_prefill import INITIAL_RATIO
from pearhill.routing.outcomes import Outcome
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.topology import Endpoint, Phase, Role
from tests.driver import CLASS, FLEET, RouterDriver, S, endpoint, of_type, settings


def create_drivers(count: int, fleet: tuple[Endpoint, ...] = FLEET) -> list[RouterDriver]:
    return [RouterDriver(settings(instances=count), fleet, seed=n) for n in range(count)]


@pytest.mark.parametrize("count", [2, 200])
def test_idle_replicas_neither_count_as_full_nor_reject_after_one_request(count):
    for driver in create_drivers(count)[:20]:
        driver.serve(driver.arrive(prompt_tokens=5000, session=1)[0])
        assert all(
            driver.router.loads.memory_utilization(driver.router.now, replica, 5000) < 0.2
            for replica in driver.router.replicas.values()
        )
        request, actions = driver.arrive(prompt_tokens=5000, session=2)
        assert request in driver.sent
        assert not of_type(RejectRequest, actions)


@pytest.mark.parametrize("count", [2, 200])
def test_a_cached_prompt_still_counts_as_cached_after_another_request(count):
    driver = create_drivers(count)[0]
    request, _ = driver.arrive(prompt_tokens=5000, session=7)
    replica = driver.router.replicas[driver.sent[request].replica]
    driver.serve(request)
    arrival = RequestArrived(99, 0, 0, 7, 0, 0, 5400, 100, 4 * S, False, False)
    driver.serve(driver.arrive(prompt_tokens=5000, session=8)[0])
    assert driver.router.affinity.cached_tokens(driver.router.now, replica, arrival) == 5000


@pytest.mark.parametrize("count", [2, 200])
def test_all_routers_together_prefill_about_the_ratio_at_decode_replicas(count):
    rng, drivers = random.Random(5), create_drivers(count)
    at_decode_replicas = total = 0
    for n in range(3000):
        driver = drivers[rng.randrange(count)]
        request, _ = driver.arrive(prompt_tokens=1000, session=n + 1)
        total += 1000
        at_decode_replicas += 1000 * (driver.sent[request].replica > 10)
        driver.serve(request)
    assert 0.6 * INITIAL_RATIO * total < at_decode_replicas <= INITIAL_RATIO * total


@pytest.mark.parametrize("count", [2, 200])
def test_all_routers_together_stay_within_a_warming_up_replicas_limit_and_use_it(count):
    rng, drivers, sent = random.Random(6), create_drivers(count), 0
    start = drivers[0].now
    served = 0
    for n in range(9000):  # 100 requests a second for 90 s; one prefill replica restarts at 60 s
        at = start + n * 10_000
        driver = drivers[rng.randrange(count)]
        driver.wait(max(0, at - driver.now))
        if n == 6000:
            for each in drivers:
                each.wait(max(0, at - each.now))
                each.feed(EndpointsUpdated(False, (endpoint(3, 0, cell=1, started_at=at),)))
        request, _ = driver.arrive(prompt_tokens=3000, session=n + 1)
        if request in driver.sent:
            served += driver.sent[request].replica < 11
            sent += n >= 6000 and driver.sent[request].replica == 3 and at < start + 61 * S + 3 * S
            driver.serve(request)
    # In four seconds. A warm prefill replica gets a sixth of all prefills; the warming-up one may get 2.5 times a
    # quarter of that.
    share = served / 90 / 6
    assert 1 <= sent <= 4 * 2.5 * 0.25 * share * 1.4


@pytest.mark.parametrize("count", [2, 200])
def test_an_attempt_at_an_unresponsive_replica_leaves_time_for_a_second_one(count):
    for driver in create_drivers(count)[:10]:
        for n in range(3):
            driver.serve(driver.arrive(prompt_tokens=3000, session=n + 1)[0])
        _, actions = driver.arrive(prompt_tokens=3000, session=99)
        # The latency objective is 1.12 s; a prefill takes 50 ms.
        assert of_type(SendAttempt, actions)[0].attempt_timeout <= 0.6 * S


MANY_PREFILL_REPLICAS = tuple(endpoint(n, 0, cell=n % 2) for n in range(1, 11)) + FLEET[6:]


def drivers_after_traffic(share: float, count: int = 20, seed: int = 3) -> tuple[list[RouterDriver], random.Random]:
    """Return routers that have each seen some 60 requests, of which this share has prefix 5.

    The other requests have one of 200 other prefixes. Returns the random generator as well.
    """
    rng, drivers = (
        random.Random(seed),
        [
            RouterDriver(settings(instances=count, local_prefill=False), MANY_PREFILL_REPLICAS, seed=n)
            for n in range(count)
        ],
    )
    for _ in range(60 * count):
        driver, prefix = rng.choice(drivers), 5 if rng.random() < share else rng.randrange(100, 300)
        request, _ = driver.arrive(
            prompt_tokens=5000, session=rng.randrange(1, 1 << 60), prefix=prefix, prefix_tokens=3000
        )
        driver.serve(request, cached_tokens=3000)
        driver.now += 200_000
        driver.wait(0)
    return drivers, rng


def prefill_replicas(drivers: list[RouterDriver], session: int, prefix: int = 5) -> list[int]:
    """Return the replica at which each router has a prompt of this session and prefix prefilled."""
    replicas = []
    for driver in drivers:
        request, _ = driver.arrive(prompt_tokens=5000, session=session, prefix=prefix, prefix_tokens=3000)
        replicas.append(driver.sent[request].replica)
        driver.serve(request, cached_tokens=3000)
    return replicas


@pytest.mark.parametrize(("share", "least", "most"), [(0.01, 2, 2), (0.2, 3, 6), (0.45, 7, 10)])
def test_a_prefix_has_more_home_replicas_the_larger_its_share_of_the_load(share, least, most):
    drivers, rng = drivers_after_traffic(share)
    arrival = RequestArrived(0, 0, 0, 1, 5, 3000, 5000, 100, S, False, False)
    assert least <= sum(driver.router.affinity.home_count(arrival, 10) for driver in drivers) / len(drivers) <= most
    used = {replica for driver in drivers for replica in prefill_replicas([driver], rng.randrange(1, 1 << 60))}
    assert least <= len(used) <= most


def test_nearly_all_routers_prefill_a_session_of_a_hot_prefix_at_the_same_replica():
    drivers, rng = drivers_after_traffic(0.3)
    same = [
        max(map(replicas.count, replicas)) / len(replicas)
        for replicas in (prefill_replicas(drivers, rng.randrange(1, 1 << 60)) for _ in range(20))
    ]
    assert sum(same) / len(same) > 0.8  # their counts differ a little: most of a session's homes are the same


def test_a_prefix_stated_longer_than_its_prompt_raises_nothing_and_has_two_homes():
    driver = RouterDriver()
    for stated_tokens in (1_000, 2**31):
        arrival = RequestArrived(0, 0, 0, 1, 5, stated_tokens, 500, 100, S, False, False)
        driver.router.affinity.total_load = 10.0 * (stated_tokens - 1_000)
        assert driver.router.affinity.home_count(arrival, 10) == 2


def test_a_prefix_that_is_no_longer_hot_returns_to_two_home_replicas():
    drivers, rng = drivers_after_traffic(0.4, count=2)
    for driver in drivers:
        for _ in range(150):
            request, _ = driver.arrive(
                prompt_tokens=5000,
                session=rng.randrange(1, 1 << 60),
                prefix=rng.randrange(100, 300),
                prefix_tokens=3000,
            )
            driver.serve(request, cached_tokens=3000)
            driver.wait(400_000)
    assert all(
        driver.router.affinity.home_count(RequestArrived(0, 0, 0, 1, 5, 3000, 5000, 100, S, False, False), 10) == 2
        for driver in drivers
    )


def test_without_a_hot_prefix_all_routers_use_one_replica_for_a_session_and_two_for_a_prefix():
    drivers, rng = drivers_after_traffic(0.01)
    used = [set(prefill_replicas(drivers, rng.randrange(1, 1 << 60))) for _ in range(4)]
    assert all(len(replicas) == 1 for replicas in used)
    assert len(set.union(*used)) == 2


def test_an_overload_estimate_decays_while_all_requests_are_rejected():
    driver = RouterDriver()
    for n in range(60):
        request, _ = driver.arrive(prompt_tokens=5000, session=n + 1)
        if request in driver.sent:
            driver.serve(request, elapsed=900_000)
    assert of_type(RejectRequest, driver.arrive(prompt_tokens=5000, session=98)[1])
    driver.wait(30 * S)
    assert of_type(SendAttempt, driver.arrive(prompt_tokens=5000, session=99)[1])


def start_fetches(driver: RouterDriver, count: int, prompt: int = 5000) -> list[int]:
    """Start this many requests, whose states are then to be fetched by a decode replica."""
    requests = [driver.arrive(prompt_tokens=prompt, session=driver.next_request)[0] for _ in range(count)]
    for request in requests:
        driver.end(request, Outcome.PREFILLED)
    return requests


ONE_DECODE_REPLICA = (endpoint(1, 0), endpoint(2, 0), endpoint(11, 1))


@pytest.mark.parametrize("late", ["timeout", "slow fetch"])
def test_a_late_fetch_limits_the_load_at_its_decode_replica_until_that_load_has_ended(late):
    driver = RouterDriver(fleet=ONE_DECODE_REPLICA)
    requests = start_fetches(driver, 4)
    if late == "timeout":
        driver.end(requests[0], Outcome.TIMEOUT)
    else:
        driver.response_started(requests[0], elapsed=900_000)
    assert of_type(RejectRequest, driver.arrive(prompt_tokens=5000, session=98)[1])
    for request in requests[1:]:  # the other attempts there end and nothing is reported: the limit is lifted at once
        driver.response_started(request)
        driver.end(request, Outcome.ANSWERED, answered=True)
    assert of_type(SendAttempt, driver.arrive(prompt_tokens=5000, session=99)[1])


def test_a_load_limit_grows_back_without_reports_and_does_not_overflow():
    driver = RouterDriver(fleet=ONE_DECODE_REPLICA)
    requests = start_fetches(driver, 4)
    driver.response_started(requests[0], elapsed=900_000)
    replica = driver.router.replicas[11]
    utilization = driver.router.loads.memory_utilization(driver.router.now, replica, 0)
    driver.router.now += 8 * S
    assert abs(driver.router.loads.memory_utilization(driver.router.now, replica, 0) - utilization / 2) < 0.01
    driver.router.now += 30 * 86_400 * S  # a month: the power of two must not overflow
    assert driver.router.loads.memory_utilization(driver.router.now, replica, 0) < 0.01


def test_a_late_fetch_counts_in_addition_to_load_reports():
    driver = RouterDriver()
    request, _ = driver.arrive(prompt_tokens=5000, session=1)
    driver.end(request, Outcome.PREFILLED, load=ReportedLoad(0.2, 0.0))
    driver.router.loads._kinds[1].memory_used.add(driver.now, 0.2)
    replica = driver.router.replicas[driver.sent[request].replica]
    driver.end(request, Outcome.TIMEOUT)
    assert driver.router.loads.memory_utilization(driver.router.now, replica, 0) > 0.9
    assert driver.sent[request].replica != replica.id


def test_a_mixed_replica_with_free_memory_decodes_if_the_decode_replica_is_full():
    fleet = (endpoint(1, 0), endpoint(2, 0), endpoint(11, 1), endpoint(21, 2))
    driver = RouterDriver(settings(local_prefill=False), fleet)
    driver.router.loads._kinds[1].memory_used.add(driver.now, 0.97)
    driver.router.replicas[11].memory_used.add(driver.now, 0.97, 4)
    request, _ = driver.arrive(prompt_tokens=5000, session=1)
    assert driver.sent[request].replica < 3
    driver.end(request, Outcome.PREFILLED)
    assert driver.sent[request].replica == 21


def test_replacing_all_replicas_in_turn_keeps_serving_and_frees_their_records():
    driver, rejected, total = RouterDriver(), 0, 0
    listed = {e.replica: e for e in FLEET}
    newest = 100
    request, _ = driver.arrive(prompt_tokens=3000, session=1)
    replica = driver.router.replicas[driver.sent[request].replica]
    driver.serve(request)
    assert (False, 1) in replica.cached_prefixes
    table = weakref.ref(replica.cached_prefixes)
    del replica
    for wave in range(120):
        for n in range(12):
            request, actions = driver.arrive(prompt_tokens=3000, session=wave * 20 + n + 1)
            total += 1
            rejected += bool(of_type(RejectRequest, actions))
            if request in driver.sent:
                kind = listed[driver.sent[request].replica].kind
                if kind == 0:
                    driver.end(request, Outcome.PREFILLED)
                if request in driver.router.pending:
                    driver.response_started(request)
                    driver.end(request, Outcome.ANSWERED, answered=True)
            driver.wait(300_000)
        if wave < 100:
            old = min(listed)
            e = listed.pop(old)
            newest += 1
            listed[newest] = endpoint(newest, e.kind, cell=e.cell, started_at=driver.now)
            driver.feed(EndpointsUpdated(False, (endpoint(old, e.kind, phase=Phase.GONE), listed[newest])))
    assert rejected < 0.2 * total
    driver.wait(700 * S)
    driver.serve(driver.arrive(prompt_tokens=3000, session=1)[0]) if driver.arrive(prompt_tokens=3000, session=1)[
        0
    ] in driver.sent else None
    router = driver.router
    assert set(router.replicas) == set(listed)
    assert len(router.timers) < 10
    gc.collect()
    assert table() is None  # the cache table of an unlisted replica is freed


def test_a_replica_that_restarts_under_its_number_has_nothing_cached():
    driver = RouterDriver()
    request, _ = driver.arrive(prompt_tokens=5000, session=7)
    driver.serve(request)
    home = driver.sent[request].replica
    driver.feed(EndpointsUpdated(False, (endpoint(home, 1 if home > 10 else 0, phase=Phase.GONE),)))
    driver.feed(EndpointsUpdated(False, (endpoint(home, 1 if home > 10 else 0, started_at=driver.now),)))
    assert (
        driver.router.affinity.cached_tokens(
            driver.router.now, driver.router.replicas[home], RequestArrived(9, 0, 0, 7, 0, 0, 5400, 9, S, False, False)
        )
        == 0
    )
    assert isinstance(
        PendingRequest(RequestArrived(9, 0, 0, 7, 0, 0, 5400, 9, S, False, False), driver.now, driver.now),
        PendingRequest,
    )


@pytest.mark.parametrize("count", [2, 200])
def test_low_priority_and_over_quota_are_rejected_first_under_overload_and_never_without(count):
    high, low = replace(CLASS, priority_weight=2.0), CLASS
    s = replace(settings(instances=count), classes=(high, low), quotas=(2.0 * count,) * 2, over_quota_weight=0.05)

    def is_rejected(driver: RouterDriver, n: int, cls: int, tenant: int, elapsed: int) -> bool:
        request, actions = driver.arrive(prompt_tokens=5000, session=n, request_class=cls, tenant=tenant)
        if request in driver.sent:
            driver.serve(request, elapsed=elapsed)
        return bool(of_type(RejectRequest, actions))

    idle, overloaded = RouterDriver(s), RouterDriver(s)
    # Tenant 1 sends five times as many requests as tenant 0.
    assert not any(is_rejected(idle, n, n % 2, n % 6 > 0, 50_000) for n in range(200))
    rejected = {(cls, tenant): 0 for cls in (0, 1) for tenant in (0, 1)}
    for n in range(1200):
        cls, tenant = n % 2, int(n % 12 > 1)
        rejected[cls, tenant] += is_rejected(overloaded, n, cls, tenant, 500_000) * (5 if tenant == 0 else 1)
        overloaded.wait(20_000)
    assert rejected[0, 0] < rejected[1, 0]
    assert rejected[0, 0] < rejected[0, 1]


def test_the_cost_of_a_choice_grows_linearly_with_the_number_of_replicas():
    """The cost is counted in function calls, whose number is the same every time."""

    def calls(replicas: int) -> int:
        driver = RouterDriver(
            settings(instances=200), tuple(endpoint(k, k % 2, cell=k // 8) for k in range(1, replicas + 1))
        )
        count = 0

        def counted(frame, event, argument):
            nonlocal count
            count += event == "call" or event == "c_call"

        sys.setprofile(counted)
        try:
            for n in range(20):
                request, _ = driver.arrive(prompt_tokens=3000, session=n + 1)
                if driver.router.replicas[driver.sent[request].replica].role == Role.PREFILL:
                    driver.end(request, Outcome.PREFILLED)
                driver.response_started(request)
                driver.end(request, Outcome.ANSWERED, answered=True)
        finally:
            sys.setprofile(None)
        return count

    assert calls(1024) < 6 * calls(256)


@pytest.mark.parametrize("count", [2, 200])
def test_a_long_prompt_is_admitted_where_a_usual_one_is(count):
    """Judged by its own prefill time, a long prompt was rejected even by idle prefill replicas."""
    driver = RouterDriver(settings(instances=count))
    for n in range(40):  # a usual prompt is prefilled in 0.4 s; the latency objective is 1.12 s
        request, actions = driver.arrive(prompt_tokens=3000, session=n + 1)
        if request in driver.sent:
            driver.serve(request, elapsed=400_000)
        driver.wait(500_000)
    for prompt in (3000, 12_000):
        request, actions = driver.arrive(prompt_tokens=prompt, session=100 + prompt)
        assert not of_type(RejectRequest, actions)
        assert request in driver.sent
        driver.serve(request, elapsed=400_000)


@pytest.mark.parametrize("count", [2, 200])
def test_a_long_prompt_is_admitted_at_a_load_limited_replica_where_a_usual_one_is(count):
    driver = RouterDriver(settings(instances=count), ONE_DECODE_REPLICA)
    requests = start_fetches(driver, 6, prompt=3000)
    driver.response_started(requests[0], elapsed=900_000)  # a late fetch limits the replica to four fifths of its load
    for request in requests[1:4]:
        driver.response_started(request)
        driver.end(request, Outcome.ANSWERED, answered=True)
    admitted = [
        not of_type(RejectRequest, driver.arrive(prompt_tokens=prompt, session=prompt)[1]) for prompt in (3000, 9000)
    ]
    assert admitted == [True, True]
