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


def final(actions):
    return of_type(RejectRequest, actions) + of_type(FailRequest, actions)


def test_a_request_that_nobody_answers_gets_one_final_answer_in_time():
    d = RouterDriver()
    r, _ = d.arrive(timeout=2 * S)
    out = d.wait(2 * S - 1)
    assert len(final(out)) == 1
    d.end(r, Outcome.CANCELLED)
    assert not final(d.wait(5 * S))


def test_a_stream_that_began_outlives_the_deadline():
    d = RouterDriver()
    r, _ = d.arrive(timeout=2 * S)
    d.end(r, Outcome.PREFILLED)
    d.response_started(r)
    assert not final(d.wait(5 * S))


@pytest.mark.parametrize(
    ("effect", "group", "answer"),
    [
        (Idempotency.UNSAFE, "all", FailRequest),
        (Idempotency.KEYED, "cell", FailRequest),
        (Idempotency.KEYED, "all", RejectRequest),
        (Idempotency.IDEMPOTENT, "all", RejectRequest),
    ],
)
def test_refused_only_where_trying_again_is_harmless(effect, group, answer):
    d = RouterDriver(settings(effect, group, max_attempts=2))
    r, _ = d.arrive()
    d.end(r, Outcome.PREFILLED)
    out = d.end(r, Outcome.TIMEOUT)
    assert [type(a) for a in final(out)] == [answer]


def test_waiting_work_at_a_lost_engine_is_called_off():
    d = RouterDriver()
    r, _ = d.arrive()
    lost = d.sent[r].replica
    out = d.feed(EndpointsUpdated(False, (endpoint(lost, 0, phase=Phase.GONE),)))
    assert of_type(CancelAttempt, out) == [CancelAttempt(r, 0)]


def test_cold_engine_gets_no_more_than_its_part():
    d = RouterDriver()
    for n in range(200):
        d.serve(d.arrive(prompt_tokens=3000, session=n + 1)[0])
        d.wait(50_000)
    d.feed(EndpointsUpdated(False, (endpoint(3, 0, cell=1, started_at=d.now),)))
    to_cold = 0
    for n in range(100):
        r, _ = d.arrive(prompt_tokens=3000, session=1000 + n)
        to_cold += d.sent[r].replica == 3
        d.serve(r)
        d.wait(10_000)
    # 100 prompts in a second over six prefill replicas; a warm one would get about 17.
    assert to_cold <= 8


def test_a_deploy_that_leaves_few_warm_does_not_overrate_them_and_a_giant_saves_no_credit():
    d = RouterDriver()
    for n in range(120):
        d.serve(d.arrive(prompt_tokens=3000, session=n + 1)[0])
        d.wait(50_000)
    d.feed(EndpointsUpdated(False, tuple(endpoint(n, 0, cell=n % 2, started_at=d.now) for n in range(1, 6))))
    d.arrive(prompt_tokens=60_000, session=500)
    to_cold = 0
    for n in range(100):
        r, out = d.arrive(prompt_tokens=3000, session=1000 + n)
        to_cold += sum(a.replica < 6 for a in of_type(SendAttempt, out))
        if r in d.sent:
            d.serve(r)
        d.wait(10_000)
    # Before, 20 requests a second went to six prefill replicas. In a second, each of the five warming-up ones may get
    # 2.5 times a quarter of a sixth of that, some two requests; this dispatcher is one of two.
    assert to_cold <= 5 * 2


def test_with_every_engine_cold_and_no_history_all_nodes_together_send_one_request_a_window():
    now = 100 * S
    d = RouterDriver(
        settings(instances=2), fleet=tuple(endpoint(n, 0, started_at=now) for n in (1, 2)) + (endpoint(11, 1),)
    )
    sent = 0
    for n in range(100):
        r, out = d.arrive(prompt_tokens=3000, session=n + 1)
        to_reader = [a for a in of_type(SendAttempt, out) if a.replica < 11]
        sent += len(to_reader)
        d.serve(r)
        d.wait(40_000)
    # In four seconds, each of two prefill replicas gets half a request per window. The decode replica prefills no
    # prompt of 3,000 tokens.
    assert 2 <= sent <= 6


def test_attempts_that_are_not_answered_do_not_make_a_warm_peer_look_able():
    able, storm = RouterDriver(), RouterDriver()
    for n in range(100):
        able.serve(able.arrive(session=n + 1)[0])
        r, _ = storm.arrive(session=n + 1)
        if r in storm.sent:
            storm.end(r, Outcome.TIMEOUT)
            storm.feed(ClientDisconnected(r))
        able.wait(50_000)
        storm.wait(50_000)
    assert able.router.slow_start.answer_rate[Role.PREFILL] > 0
    assert storm.router.slow_start.answer_rate[Role.PREFILL] == 0


def test_nothing_is_read_with_no_writer_in_sight():
    d = RouterDriver(fleet=FLEET[:6])
    _, out = d.arrive()
    assert final(out)
    assert not of_type(SendAttempt, out)


def test_state_is_released_when_the_client_leaves_or_is_refused():
    d = RouterDriver()
    r, _ = d.arrive()
    d.end(r, Outcome.PREFILLED)
    d.feed(ClientDisconnected(r))
    assert of_type(ReleaseState, d.end(r, Outcome.CANCELLED)) == [ReleaseState(r)]
    q, _ = d.arrive()
    d.feed(ClientDisconnected(q))
    assert of_type(ReleaseState, d.end(q, Outcome.PREFILLED)) == [ReleaseState(q)]


def test_state_at_a_reader_that_was_cut_off_is_released_before_the_next_read():
    d = RouterDriver()
    r, _ = d.arrive()
    d.end(r, Outcome.PREFILLED)
    out = d.end(r, Outcome.STATE_LOST)
    assert of_type(ReleaseState, out)
    assert of_type(SendAttempt, out)


def test_a_read_state_is_taken_at_once_or_let_go():
    d = RouterDriver()
    r, _ = d.arrive()
    assert of_type(SendAttempt, d.end(r, Outcome.PREFILLED))
    q, _ = d.arrive(prompt_tokens=9000)
    d.feed(EndpointsUpdated(True, FLEET[:6]))
    out = d.end(q, Outcome.PREFILLED)
    assert of_type(ReleaseState, out)
    assert final(out)


def test_an_unsafe_request_is_not_refused_while_its_read_is_still_out():
    d = RouterDriver(settings(Idempotency.UNSAFE))
    r, _ = d.arrive(prompt_tokens=5000)
    out = d.wait(4 * S)
    assert r in d.sent
    assert d.sent[r].replica < 11
    assert of_type(FailRequest, out)
    assert not of_type(RejectRequest, out)


def test_a_state_is_let_go_in_time_while_one_writer_after_another_cannot_be_reached():
    """Each attempt takes the whole connection time-out.

    An attempt that reaches a decode replica, even a full one, restarts the hold time.
    """
    for outcome, least in ((Outcome.UNREACHABLE, 0), (Outcome.FULL, 3)):
        d = RouterDriver(settings(local_prefill=False))
        r, _ = d.arrive(prompt_tokens=5000)
        d.end(r, Outcome.PREFILLED)
        held, writers = d.now, 0
        while d.sent[r].replica > 10 and writers < 3:
            writers += 1
            d.now += 250_000
            actions = d.end(r, outcome, elapsed=250_000)
        if outcome == Outcome.UNREACHABLE:
            assert of_type(ReleaseState, actions)
            assert d.now <= held + d.router.settings.state_hold_time + 300_000
        assert writers >= least


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.UNSAFE])
def test_what_was_withdrawn_spends_no_attempt_no_retry_and_blames_nobody(effect):
    d = RouterDriver(settings(effect))
    r, _ = d.arrive()
    for _ in range(d.router.settings.max_attempts + 1):
        at, retries = d.sent[r].replica, d.router.retry_budget.tokens
        actions = d.end(r, Outcome.WITHDRAWN)
        d.attempt[r] -= 1  # the next attempt has the same index
        assert [a.replica for a in of_type(SendAttempt, actions)] == [d.sent[r].replica]
        assert d.sent[r].replica != at
        assert d.router.retry_budget.tokens == retries
        assert not d.router.replicas[at].failure_rate.weight
        assert d.router.pending[r].execution is None
        assert d.router.pending[r].attempt == 0


@pytest.mark.parametrize(("waiting", "idle"), [(0, True), (60_000, False)])
def test_what_waits_at_a_server_by_its_own_word_is_not_taken_for_slow_reading(waiting, idle):
    """Queues of other dispatchers made prefills late.

    A replica that then reports an empty queue is idle, and one that reports a long queue is not, however fast prefills
    were before: the report alone tells a few overloaded replicas from idle ones that joined since.
    """
    d = RouterDriver(settings(local_prefill=False, instances=200, health_checks=True), seed=3)
    d.router.placement.query_roles = frozenset((Role.PREFILL,))

    def ask(tokens: float) -> tuple[int, list[Action]]:
        r, out = d.arrive(prompt_tokens=3000)
        (look,) = of_type(QueryLoad, out)
        return r, d.feed(LoadKnown(r, tuple(LoadReport(e, 0.1, tokens, 1.0, 0) for e in look.replicas)))

    before = 40_000 if idle else 0
    for _ in range(20):
        r, _ = ask(before)
        if r in d.sent:
            d.wait(100_000)
            d.serve(r, elapsed=(before + 3500) * 50)  # 20,000 tokens a second
    r, out = ask(waiting)
    assert bool(of_type(SendAttempt, out)) is idle
    assert len(final(out)) == (not idle)
