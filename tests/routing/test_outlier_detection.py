"""Outlier ejection, attempt time-outs, the retry budget and load shedding."""

from pearhill.routing.actions import CancelAttempt, LogMessage, RejectRequest, SendAttempt
from pearhill.routing.events import RequestArrived
from pearhill.routing.outcomes import Outcome
from pearhill.routing.outlier_detection import MAX_EXCESS_FAILURE_RATE
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.topology import Role
from tests.driver import RouterDriver, S, endpoint, of_type, settings


def fail(d, engine, times=2):
    """Record this many failed attempts at a replica. Returns the actions of the last one."""
    actions = []
    for _ in range(times):
        actions = d.router.feedback.record_health(d.router.now, d.router.replicas[engine], failed=True, outcome="test")
    return actions


def test_a_silent_reader_is_left_and_comes_back_by_a_real_request():
    d = RouterDriver(fleet=(endpoint(1, 0), endpoint(2, 0), endpoint(3, 0), endpoint(11, 1)))
    for n in range(20):
        d.serve(d.arrive(prompt_tokens=3000, session=n + 1)[0])
    for _ in range(3):
        fail(d, 1, times=1)
        for other in (2, 3):
            d.router.feedback.record_health(d.router.now, d.router.replicas[other], failed=False)
    assert all(d.sent[d.arrive(prompt_tokens=3000, session=s)[0]].replica != 1 for s in range(1, 9))
    d.wait(12 * S)
    hits = [r for r in (d.arrive(prompt_tokens=3000, session=s)[0] for s in range(1, 30)) if d.sent[r].replica == 1]
    assert hits
    d.end(hits[0], Outcome.PREFILLED)
    assert d.router.replicas[1].failure_rate.value < MAX_EXCESS_FAILURE_RATE


def test_one_failure_at_an_engine_that_is_hardly_known_is_enough_and_with_a_good_record_it_is_not():
    # Each of 200 dispatchers uses a replica once a minute, so none would ever see two failures in a row.
    new, known = RouterDriver(settings(instances=200)), RouterDriver()
    for n in range(40):
        known.serve(known.arrive(prompt_tokens=3000, session=n + 1)[0])
    for engine in (2, 3):
        new.router.now = new.now
        new.router.feedback.record_health(new.router.now, new.router.replicas[engine], failed=False)
    for d in (new, known):
        fail(d, 1, times=1)
    job = PendingRequest(RequestArrived(9, 0, 0, 9, 0, 0, 3000, 100, 4 * S, False, False), new.now + 4 * S, new.now + S)
    assert 1 not in [e.id for e in new.router.placement.eligible(new.router.now, new.router.ready[Role.PREFILL], job)]
    assert 1 in [e.id for e in known.router.placement.eligible(known.router.now, known.router.ready[Role.PREFILL], job)]


def test_engines_of_a_zone_that_is_cut_are_left_together():
    fleet = tuple(endpoint(n, 0, zone=n % 2) for n in range(1, 9)) + (endpoint(11, 1), endpoint(12, 1))
    d = RouterDriver(fleet=fleet)
    d.router.now = d.now
    for n in (1, 3):  # two failures in zone 1, one success in zone 0; 5 and 7 were never tried
        fail(d, n, times=1)
    d.router.feedback.record_health(d.router.now, d.router.replicas[2], failed=False)
    assert all(d.sent[d.arrive(prompt_tokens=3000, session=s)[0]].replica % 2 == 0 for s in range(1, 20))


def test_panic_threshold_never_leaves_most_of_a_role():
    d = RouterDriver(fleet=(endpoint(1, 0), endpoint(2, 0), endpoint(3, 0), endpoint(4, 0), endpoint(11, 1)))
    d.router.now = d.now
    for n in (1, 2, 3):
        fail(d, n)
    used = {
        d.sent[r].replica for r in (d.arrive(prompt_tokens=3000, session=s)[0] for s in range(1, 40)) if r in d.sent
    }
    assert used & {1, 2, 3}


def test_a_slow_engine_that_answers_others_is_not_silent():
    d = RouterDriver(fleet=(endpoint(1, 0), endpoint(2, 0), endpoint(11, 1)))
    slow = [r for r in (d.arrive(prompt_tokens=300, session=s)[0] for s in range(1, 30)) if d.sent[r].replica == 1]
    d.wait(10_000)
    d.end(slow[0], Outcome.PREFILLED)
    for r in slow[1:4]:
        d.end(r, Outcome.TIMEOUT)
    assert d.router.replicas[1].failure_rate.value == 0


def test_an_attempt_leaves_time_for_another():
    d = RouterDriver()
    _, out = d.arrive(timeout=2 * S)
    assert of_type(SendAttempt, out)[0].attempt_timeout <= S


def test_the_retry_budget_ends_a_storm():
    d = RouterDriver()
    sends = 0
    for n in range(100):
        r, _ = d.arrive(prompt_tokens=5000, session=n + 1)
        while r in d.router.pending:
            sends += len(of_type(SendAttempt, d.end(r, Outcome.FULL)))
    assert sends < 40


def test_past_a_jammed_pair_the_quickest_reader_and_refusal_only_when_none_is_quick():
    d = RouterDriver()
    for n in range(60):
        d.serve(d.arrive(prompt_tokens=5000, session=n + 1)[0], elapsed=150_000)
    first, _ = d.arrive(prompt_tokens=5000, prefix=77, prefix_tokens=2000)
    d.serve(first)
    used, refused = set(), 0
    for n in range(200):
        r, out = d.arrive(prompt_tokens=5000, session=500 + n, prefix=77, prefix_tokens=2000)
        refused += len(of_type(RejectRequest, out))
        used |= {a.replica for a in of_type(SendAttempt, out)}
        assert len(used) > 2 or not of_type(RejectRequest, out)
    assert used >= {1, 2, 3, 4, 5, 6}
    assert refused > 100


def test_leaving_an_engine_calls_nothing_off():
    d = RouterDriver()
    r, _ = d.arrive(prompt_tokens=5000, session=1)
    out = fail(d, d.sent[r].replica, times=1)
    assert of_type(LogMessage, out)
    assert not of_type(CancelAttempt, out)


def test_a_hasty_clients_time_is_not_cut_into_attempts_that_are_all_in_vain():
    d = RouterDriver()
    _, out = d.arrive(timeout=240_000)
    assert of_type(SendAttempt, out)[0].attempt_timeout == 240_000


def test_refused_at_once_when_the_clients_time_is_shorter_than_the_read():
    d = RouterDriver()
    for n in range(60):
        d.serve(d.arrive(prompt_tokens=5000, session=n + 1)[0], elapsed=400_000)
    _, out = d.arrive(prompt_tokens=5000, session=99, timeout=300_000)
    assert of_type(RejectRequest, out)
    assert not of_type(SendAttempt, out)
