"""The router alone keeps the platform's five rules.

The tests cover cases that the random scenarios of `test_deployments` do not.
"""

import pytest

from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    QueryLoad,
    RejectRequest,
    ReleaseState,
    SendAttempt,
)
from pearhill.routing.events import ClientDisconnected, EndpointsUpdated, LoadKnown, LoadReport
from pearhill.routing.outcomes import Outcome
from pearhill.routing.settings import Idempotency
from pearhill.routing.topology import Phase, Role
from tests.driver import FLEET, RouterDriver, S, endpoint, of_type, settings


def final_answers(actions):
    return of_type(RejectRequest, actions) + of_type(FailRequest, actions)


def test_a_request_that_no_replica_answers_gets_one_final_answer_in_time():
    driver = RouterDriver()
    request, _ = driver.arrive(timeout=2 * S)
    actions = driver.wait(2 * S - 1)
    assert len(final_answers(actions)) == 1
    driver.end(request, Outcome.CANCELLED)
    assert not final_answers(driver.wait(5 * S))


def test_a_stream_that_has_begun_continues_past_the_deadline():
    driver = RouterDriver()
    request, _ = driver.arrive(timeout=2 * S)
    driver.end(request, Outcome.PREFILLED)
    driver.response_started(request)
    assert not final_answers(driver.wait(5 * S))


@pytest.mark.parametrize(
    ("effect", "group", "answer"),
    [
        (Idempotency.UNSAFE, "all", FailRequest),
        (Idempotency.KEYED, "cell", FailRequest),
        (Idempotency.KEYED, "all", RejectRequest),
        (Idempotency.IDEMPOTENT, "all", RejectRequest),
    ],
)
def test_a_request_is_rejected_only_if_a_retry_is_harmless(effect, group, answer):
    driver = RouterDriver(settings(effect, group, max_attempts=2))
    request, _ = driver.arrive()
    driver.end(request, Outcome.PREFILLED)
    actions = driver.end(request, Outcome.TIMEOUT)
    assert [type(action) for action in final_answers(actions)] == [answer]


def test_an_attempt_at_an_unlisted_replica_is_cancelled():
    driver = RouterDriver()
    request, _ = driver.arrive()
    replica = driver.sent[request].replica
    actions = driver.feed(EndpointsUpdated(False, (endpoint(replica, 0, phase=Phase.GONE),)))
    assert of_type(CancelAttempt, actions) == [CancelAttempt(request, 0)]


def test_a_warming_up_replica_gets_no_more_than_its_part():
    driver = RouterDriver()
    for n in range(200):
        driver.serve(driver.arrive(prompt_tokens=3000, session=n + 1)[0])
        driver.wait(50_000)
    driver.feed(EndpointsUpdated(False, (endpoint(3, 0, cell=1, started_at=driver.now),)))
    to_warming_up = 0
    for n in range(100):
        request, _ = driver.arrive(prompt_tokens=3000, session=1000 + n)
        to_warming_up += driver.sent[request].replica == 3
        driver.serve(request)
        driver.wait(10_000)
    # 100 prompts in a second over six prefill replicas; a warm one would get about 17.
    assert to_warming_up <= 8


def test_a_release_that_leaves_few_warm_replicas_and_a_long_prompt_do_not_raise_the_limit():
    driver = RouterDriver()
    for n in range(120):
        driver.serve(driver.arrive(prompt_tokens=3000, session=n + 1)[0])
        driver.wait(50_000)
    driver.feed(EndpointsUpdated(False, tuple(endpoint(n, 0, cell=n % 2, started_at=driver.now) for n in range(1, 6))))
    driver.arrive(prompt_tokens=60_000, session=500)
    to_warming_up = 0
    for n in range(100):
        request, actions = driver.arrive(prompt_tokens=3000, session=1000 + n)
        to_warming_up += sum(action.replica < 6 for action in of_type(SendAttempt, actions))
        if request in driver.sent:
            driver.serve(request)
        driver.wait(10_000)
    # Before, 20 requests a second went to six prefill replicas. In a second, each of the five warming-up ones may get
    # 2.5 times a quarter of a sixth of that, some two requests; this dispatcher is one of two.
    assert to_warming_up <= 5 * 2


def test_with_all_replicas_warming_up_and_no_history_all_routers_send_one_request_per_window():
    now = 100 * S
    driver = RouterDriver(
        settings(instances=2), fleet=tuple(endpoint(n, 0, started_at=now) for n in (1, 2)) + (endpoint(11, 1),)
    )
    sent = 0
    for n in range(100):
        request, actions = driver.arrive(prompt_tokens=3000, session=n + 1)
        to_prefill = [action for action in of_type(SendAttempt, actions) if action.replica < 11]
        sent += len(to_prefill)
        driver.serve(request)
        driver.wait(40_000)
    # In four seconds, each of two prefill replicas gets half a request per window. The decode replica prefills no
    # prompt of 3,000 tokens.
    assert 2 <= sent <= 6


def test_unanswered_attempts_do_not_count_towards_the_rate_of_warm_replicas():
    answering, timing_out = RouterDriver(), RouterDriver()
    for n in range(100):
        answering.serve(answering.arrive(session=n + 1)[0])
        request, _ = timing_out.arrive(session=n + 1)
        if request in timing_out.sent:
            timing_out.end(request, Outcome.TIMEOUT)
            timing_out.feed(ClientDisconnected(request))
        answering.wait(50_000)
        timing_out.wait(50_000)
    assert answering.router.slow_start.answer_rate[Role.PREFILL] > 0
    assert timing_out.router.slow_start.answer_rate[Role.PREFILL] == 0


def test_nothing_is_prefilled_without_a_decode_replica():
    driver = RouterDriver(fleet=FLEET[:6])
    _, actions = driver.arrive()
    assert final_answers(actions)
    assert not of_type(SendAttempt, actions)


def test_a_state_is_released_if_the_client_disconnects_after_or_during_the_prefill():
    driver = RouterDriver()
    first, _ = driver.arrive()
    driver.end(first, Outcome.PREFILLED)
    driver.feed(ClientDisconnected(first))
    assert of_type(ReleaseState, driver.end(first, Outcome.CANCELLED)) == [ReleaseState(first)]
    second, _ = driver.arrive()
    driver.feed(ClientDisconnected(second))
    assert of_type(ReleaseState, driver.end(second, Outcome.PREFILLED)) == [ReleaseState(second)]


def test_a_lost_state_is_released_before_the_next_prefill():
    driver = RouterDriver()
    request, _ = driver.arrive()
    driver.end(request, Outcome.PREFILLED)
    actions = driver.end(request, Outcome.STATE_LOST)
    assert of_type(ReleaseState, actions)
    assert of_type(SendAttempt, actions)


def test_a_prefilled_state_is_fetched_immediately_or_released():
    driver = RouterDriver()
    first, _ = driver.arrive()
    assert of_type(SendAttempt, driver.end(first, Outcome.PREFILLED))
    second, _ = driver.arrive(prompt_tokens=9000)
    driver.feed(EndpointsUpdated(True, FLEET[:6]))
    actions = driver.end(second, Outcome.PREFILLED)
    assert of_type(ReleaseState, actions)
    assert final_answers(actions)


def test_an_unsafe_request_fails_and_is_not_rejected_while_its_prefill_is_in_flight():
    driver = RouterDriver(settings(Idempotency.UNSAFE))
    request, _ = driver.arrive(prompt_tokens=5000)
    actions = driver.wait(4 * S)
    assert request in driver.sent
    assert driver.sent[request].replica < 11
    assert of_type(FailRequest, actions)
    assert not of_type(RejectRequest, actions)


def test_a_state_is_released_in_time_while_decode_replicas_are_unreachable():
    """Each attempt takes the whole connection time-out.

    An attempt that reaches a decode replica, even a full one, restarts the hold time.
    """
    for outcome, least in ((Outcome.UNREACHABLE, 0), (Outcome.FULL, 3)):
        driver = RouterDriver(settings(local_prefill=False))
        request, _ = driver.arrive(prompt_tokens=5000)
        driver.end(request, Outcome.PREFILLED)
        held_since, attempts = driver.now, 0
        while driver.sent[request].replica > 10 and attempts < 3:
            attempts += 1
            driver.now += 250_000
            actions = driver.end(request, outcome, elapsed=250_000)
        if outcome == Outcome.UNREACHABLE:
            assert of_type(ReleaseState, actions)
            assert driver.now <= held_since + driver.router.settings.state_hold_time + 300_000
        assert attempts >= least


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.UNSAFE])
def test_a_withdrawn_attempt_spends_no_attempt_and_no_retry_and_is_no_failure(effect):
    driver = RouterDriver(settings(effect))
    request, _ = driver.arrive()
    for _ in range(driver.router.settings.max_attempts + 1):
        replica, retries = driver.sent[request].replica, driver.router.retry_budget.tokens
        actions = driver.end(request, Outcome.WITHDRAWN)
        driver.attempt[request] -= 1  # the next attempt has the same index
        assert [action.replica for action in of_type(SendAttempt, actions)] == [driver.sent[request].replica]
        assert driver.sent[request].replica != replica
        assert driver.router.retry_budget.tokens == retries
        assert not driver.router.replicas[replica].failure_rate.weight
        assert driver.router.pending[request].execution is None
        assert driver.router.pending[request].attempt == 0


@pytest.mark.parametrize(("waiting", "idle"), [(0, True), (60_000, False)])
def test_a_reported_queue_is_not_mistaken_for_slow_prefills(waiting, idle):
    """Queues of other dispatchers made prefills late.

    A replica that then reports an empty queue is idle, and one that reports a long queue is not, however fast prefills
    were before: the report alone tells a few overloaded replicas from idle ones that joined since.
    """
    driver = RouterDriver(settings(local_prefill=False, instances=200, health_checks=True), seed=3)
    driver.router.placement.query_roles = frozenset((Role.PREFILL,))

    def arrive_with_reports(tokens: float) -> tuple[int, list[Action]]:
        request, actions = driver.arrive(prompt_tokens=3000)
        (query,) = of_type(QueryLoad, actions)
        return request, driver.feed(
            LoadKnown(request, tuple(LoadReport(replica, 0.1, tokens, 1.0, 0) for replica in query.replicas))
        )

    queued_before = 40_000 if idle else 0
    for _ in range(20):
        request, _ = arrive_with_reports(queued_before)
        if request in driver.sent:
            driver.wait(100_000)
            driver.serve(request, elapsed=(queued_before + 3500) * 50)  # 20,000 tokens a second
    request, actions = arrive_with_reports(waiting)
    assert bool(of_type(SendAttempt, actions)) is idle
    assert len(final_answers(actions)) == (not idle)
