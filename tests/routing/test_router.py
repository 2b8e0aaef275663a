"""The router's usual path: local prefills, prefix affinity, decode replicas and mixed replicas."""

from dataclasses import replace

from pearhill.routing.actions import RejectRequest, SendAttempt
from pearhill.routing.events import EndpointsUpdated, RequestArrived
from pearhill.routing.local_prefill import INITIAL_RATIO, MAX_RATIO
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import Router
from pearhill.routing.topology import Phase, Role
from tests.driver import FLEET, SETTINGS, RouterDriver, S, endpoint, of_type, settings


def prefill_for(driver, share, prompt=3000):
    """Prefill prompts for one step of the ratio, each within this share of the latency objective."""
    objective = 1 * S + 40 * prompt
    for n in range(6):
        request, _ = driver.arrive(prompt_tokens=prompt, session=900 + n)
        if driver.sent[request].replica > 10:
            driver.serve(request)
            continue
        driver.end(request, Outcome.PREFILLED, elapsed=int(share * objective))
        driver.response_started(request)
        driver.end(request, Outcome.ANSWERED, answered=True)
    driver.wait(2 * S)


def test_the_ratio_starts_at_its_initial_value_and_falls_to_zero_while_prefills_are_fast():
    driver = RouterDriver()
    assert driver.router.local_prefill.ratio == INITIAL_RATIO
    for _ in range(4):
        prefill_for(driver, 0.05)
    assert driver.router.local_prefill.ratio == 0


def test_the_ratio_rises_to_its_maximum_while_prefills_are_slow_and_stays_in_between():
    driver = RouterDriver()
    prefill_for(driver, 0.4)
    assert driver.router.local_prefill.ratio == INITIAL_RATIO
    driver.router.local_prefill.latency_share.add(
        driver.now, 0.9, 100.0
    )  # load is shed from half the objective on, so few prefills are slower
    for _ in range(4):
        driver.router.local_prefill.latency_share.add(driver.now, 0.9, 100.0)
        driver.wait(2 * S)
    assert driver.router.local_prefill.ratio == MAX_RATIO


def test_unfinished_prefills_count_towards_the_ratio():
    driver = RouterDriver()
    driver.arrive(prompt_tokens=5000, timeout=20 * S)
    driver.wait(2 * S)
    assert driver.router.local_prefill.ratio > INITIAL_RATIO


def test_short_prompts_are_prefilled_at_decode_replicas_up_to_the_ratio():
    driver = RouterDriver()
    at_decode_replicas = total = 0
    for n in range(100):
        request, _ = driver.arrive(prompt_tokens=1000, session=n + 1)
        total += 1000
        at_decode_replicas += 1000 * (driver.sent[request].replica >= 11)
        assert at_decode_replicas <= INITIAL_RATIO * total
        driver.serve(request)
    assert at_decode_replicas > 0.1 * total


def test_long_uncached_prompts_go_to_prefill_replicas():
    driver = RouterDriver()
    for n in range(1, 20):
        request, _ = driver.arrive(prompt_tokens=5000, session=n)
        assert driver.sent[request].replica < 11
        driver.serve(request)


def test_a_cached_prompt_goes_to_its_decode_replica_until_the_cache_is_lost():
    driver = RouterDriver()
    for n in range(20):
        driver.serve(driver.arrive(prompt_tokens=9000, session=50 + n)[0])
    first, _ = driver.arrive(prompt_tokens=1500, session=7)
    driver.serve(first)
    home = driver.sent[first].replica
    assert home >= 11
    second, _ = driver.arrive(prompt_tokens=2900, session=7)
    assert driver.sent[second].replica == home
    driver.end(second, Outcome.ANSWERED, answered=True, cached_tokens=0)
    assert driver.sent[driver.arrive(prompt_tokens=5600, session=7)[0]].replica < 11


def test_a_prompt_whose_state_was_fetched_does_not_count_as_cached_at_the_decode_replica():
    driver = RouterDriver()
    request, _ = driver.arrive(prompt_tokens=5000, session=7)
    driver.serve(request)
    assert driver.sent[request].replica > 10
    assert driver.sent[driver.arrive(prompt_tokens=5400, session=7)[0]].replica < 11


def test_local_prefills_need_the_setting_and_free_memory():
    off = RouterDriver(replace(SETTINGS, local_prefill=False))
    assert all(off.sent[off.arrive(prompt_tokens=500, session=n)[0]].replica < 11 for n in range(1, 20))
    full = RouterDriver()
    decode_replicas = [replica for replica in full.router.replicas.values() if replica.role == Role.DECODE]
    full.router.loads._kinds[1].memory_used.add(full.now, 0.97)  # a deployment with load reports
    for replica in decode_replicas:
        replica.memory_used.add(full.now, 0.97, 4)
    _, actions = full.arrive(prompt_tokens=500, session=99)
    assert of_type(RejectRequest, actions)
    assert not of_type(SendAttempt, actions)
    decode_replicas[0].memory_used.value = 0.5
    request, _ = full.arrive(prompt_tokens=6000, session=99)
    full.end(request, Outcome.PREFILLED)
    assert full.sent[request].replica == decode_replicas[0].id


def test_a_prefix_has_the_same_home_pair_at_every_router_whatever_the_seed():
    seen: dict[int, set[int]] = {}
    for seed in range(8):
        driver = RouterDriver(seed=seed)
        for prefix in range(1, 30):
            both = [driver.arrive(prompt_tokens=6000, prefix=prefix, prefix_tokens=3000)[0] for _ in range(2)]
            seen.setdefault(prefix, set()).update(driver.sent[request].replica for request in both)
            for request in both:
                driver.serve(request)
    assert all(len(pair) <= 2 for pair in seen.values())
    assert sum(len(pair) == 2 for pair in seen.values()) > 10
    assert len({min(p) for p in seen.values()}) > 2


def test_the_next_prefill_replica_in_hash_order_takes_over_from_a_draining_one():
    driver = RouterDriver()
    first, _ = driver.arrive(prompt_tokens=6000, prefix=5, prefix_tokens=3000)
    home = driver.sent[first].replica
    driver.feed(EndpointsUpdated(False, (endpoint(home, 0, phase=Phase.DRAINING),)))
    second, _ = driver.arrive(prompt_tokens=6000, prefix=5, prefix_tokens=3000)
    assert driver.sent[second].replica != home


def test_the_decode_replica_is_in_the_cell_of_the_prefill_replica_else_in_its_zone_else_anywhere():
    fleet = (endpoint(1, 0, cell=1), endpoint(11, 1, cell=1), endpoint(12, 1, cell=2), endpoint(13, 1, cell=3, zone=1))
    driver = RouterDriver(fleet=fleet)
    for unlisted, expected in ((None, 11), (11, 12), (12, 13)):
        if unlisted:
            driver.feed(EndpointsUpdated(False, (replace(fleet[unlisted - 10], phase=Phase.GONE),)))
        request, _ = driver.arrive(prompt_tokens=6000)
        driver.end(request, Outcome.PREFILLED)
        assert driver.sent[request].replica == expected


def test_mixed_replicas_prefill_and_decode_their_share_of_requests():
    fleet = FLEET + (endpoint(21, 2, cell=0), endpoint(22, 2, cell=1))
    driver = RouterDriver(fleet=fleet)
    replicas = []
    for n in range(1, 41):
        request, _ = driver.arrive(prompt_tokens=1500, session=n)
        replicas.append(driver.sent[request].replica)
        if replicas[-1] < 11:
            driver.end(request, Outcome.PREFILLED)
    assert driver.sent[driver.arrive(prompt_tokens=9000)[0]].replica < 11
    at_mixed = sum(replica > 20 for replica in replicas)
    assert 0 < at_mixed < 40
    request = next(n for n, replica in enumerate(replicas, 1) if replica > 20)
    driver.response_started(request)
    assert not of_type(SendAttempt, driver.end(request, Outcome.ANSWERED, answered=True))


def test_identical_events_give_identical_actions():
    first, second = RouterDriver(seed=3), RouterDriver(seed=3)
    for n in range(50):
        assert first.arrive(prompt_tokens=500 + 90 * n, session=n, prefix=n % 5, prefix_tokens=400) == second.arrive(
            prompt_tokens=500 + 90 * n, session=n, prefix=n % 5, prefix_tokens=400
        )
    assert isinstance(first.router, Router)


def test_a_rejection_states_a_retry_after_within_the_maximum_if_hints_are_enabled():
    for hints, maximum, expected in ((True, 2 * S, 2 * S), (True, 300_000, 300_000), (False, 2 * S, 0)):
        driver = RouterDriver(settings(retry_hints=hints, max_retry_after=maximum), fleet=())
        _, actions = driver.arrive()
        assert [action.retry_after for action in of_type(RejectRequest, actions)] == [expected]


def test_a_very_long_prompt_does_not_count_as_cached_as_usual_ones_do():
    driver = RouterDriver()
    for n in range(20):  # prefills find nearly all of each prompt cached
        request, _ = driver.arrive(prompt_tokens=5000, session=n + 1, prefix=7, prefix_tokens=4000)
        driver.end(request, Outcome.PREFILLED, cached_tokens=4500)
        driver.response_started(request)
        driver.end(request, Outcome.ANSWERED, answered=True)
    replica = driver.router.replicas[1]
    usual, long = (RequestArrived(99, 0, 0, 77, 8, 0, prompt, 100, 4 * S, False, False) for prompt in (5000, 60_000))
    assert driver.router.affinity.cached_tokens(driver.router.now, replica, usual, 1) > 3000
    assert driver.router.affinity.cached_tokens(driver.router.now, replica, long, 1) < 12_000


def test_the_one_decode_replica_left_in_a_cell_is_not_overloaded():
    """A release removed the other decode replicas of the cell.

    Judged only by the time of its finished answers, the remaining one would get all requests that the cell prefills.
    """
    fleet = (
        tuple(endpoint(n, 0, cell=0) for n in range(1, 4))
        + (endpoint(11, 1, cell=0),)
        + tuple(endpoint(n, 1, cell=1) for n in range(12, 16))
    )
    driver = RouterDriver(SETTINGS, fleet)
    replicas = []
    for n in range(40):
        request, _ = driver.arrive(prompt_tokens=3000, session=n + 1)
        if driver.sent[request].replica < 10:
            driver.end(request, Outcome.PREFILLED)
        driver.response_started(request)  # and the stream goes on
        replicas.append(driver.sent[request].replica)
    assert replicas[0] == 11  # the nearest is preferred while its load is not above the others'
    assert 8 <= replicas.count(11) <= 16, replicas  # of 40 requests, among five decode replicas


def test_a_mixed_replica_gets_its_share_of_the_load_and_not_all_of_it():
    fleet = (*FLEET, endpoint(21, 2), endpoint(22, 2, phase=Phase.DRAINING))
    driver = RouterDriver(SETTINGS, fleet)
    for n in range(60):
        request, _ = driver.arrive(prompt_tokens=1000, session=n + 1)
        if driver.sent[request].replica < 10:
            driver.end(request, Outcome.PREFILLED)
        driver.response_started(request)
    loads = {
        replica.id: replica.tokens_in_flight
        for replica in driver.router.replicas.values()
        if replica.role != Role.PREFILL
    }
    assert loads[21] <= 2 * sum(loads.values()) / (len(loads) - 1) + 1050, loads
