"""Outlier ejection, attempt time-outs, the retry budget and load shedding."""

from pearhill.routing.actions import CancelAttempt, LogMessage, RejectRequest, SendAttempt
from pearhill.routing.events import RequestArrived
from pearhill.routing.outcomes import Outcome
from pearhill.routing.outlier_detection import MAX_EXCESS_FAILURE_RATE
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.topology import Role
from tests.driver import RouterDriver, S, endpoint, of_type, settings


def record_failures(driver, replica, times=2):
    """Record this many failed attempts at a replica. Returns the actions of the last one."""
    actions = []
    for _ in range(times):
        actions = driver.router.feedback.record_health(
            driver.router.now, driver.router.replicas[replica], failed=True, outcome="test"
        )
    return actions


def test_an_unresponsive_prefill_replica_is_ejected_and_recovers_by_a_request():
    driver = RouterDriver(fleet=(endpoint(1, 0), endpoint(2, 0), endpoint(3, 0), endpoint(11, 1)))
    for n in range(20):
        driver.serve(driver.arrive(prompt_tokens=3000, session=n + 1)[0])
    for _ in range(3):
        record_failures(driver, 1, times=1)
        for other in (2, 3):
            driver.router.feedback.record_health(driver.router.now, driver.router.replicas[other], failed=False)
    assert all(driver.sent[driver.arrive(prompt_tokens=3000, session=s)[0]].replica != 1 for s in range(1, 9))
    driver.wait(12 * S)
    hits = [
        request
        for request in (driver.arrive(prompt_tokens=3000, session=s)[0] for s in range(1, 30))
        if driver.sent[request].replica == 1
    ]
    assert hits
    driver.end(hits[0], Outcome.PREFILLED)
    assert driver.router.replicas[1].failure_rate.value < MAX_EXCESS_FAILURE_RATE


def test_one_failure_ejects_a_replica_with_little_evidence_but_not_one_with_many_successes():
    # Each of 200 dispatchers uses a replica once a minute, so none would ever see two failures in a row.
    new, proven = RouterDriver(settings(instances=200)), RouterDriver()
    for n in range(40):
        proven.serve(proven.arrive(prompt_tokens=3000, session=n + 1)[0])
    for other in (2, 3):
        new.router.now = new.now
        new.router.feedback.record_health(new.router.now, new.router.replicas[other], failed=False)
    for driver in (new, proven):
        record_failures(driver, 1, times=1)
    pending = PendingRequest(
        RequestArrived(9, 0, 0, 9, 0, 0, 3000, 100, 4 * S, False, False), new.now + 4 * S, new.now + S
    )
    assert 1 not in [
        replica.id for replica in new.router.placement.eligible(new.router.now, new.router.ready[Role.PREFILL], pending)
    ]
    assert 1 in [
        replica.id
        for replica in proven.router.placement.eligible(proven.router.now, proven.router.ready[Role.PREFILL], pending)
    ]


def test_all_replicas_of_a_disconnected_zone_are_ejected_together():
    fleet = tuple(endpoint(n, 0, zone=n % 2) for n in range(1, 9)) + (endpoint(11, 1), endpoint(12, 1))
    driver = RouterDriver(fleet=fleet)
    driver.router.now = driver.now
    for n in (1, 3):  # two failures in zone 1, one success in zone 0; 5 and 7 were never tried
        record_failures(driver, n, times=1)
    driver.router.feedback.record_health(driver.router.now, driver.router.replicas[2], failed=False)
    assert all(driver.sent[driver.arrive(prompt_tokens=3000, session=s)[0]].replica % 2 == 0 for s in range(1, 20))


def test_the_panic_threshold_keeps_replicas_in_use_if_most_of_a_role_fail():
    driver = RouterDriver(fleet=(endpoint(1, 0), endpoint(2, 0), endpoint(3, 0), endpoint(4, 0), endpoint(11, 1)))
    driver.router.now = driver.now
    for n in (1, 2, 3):
        record_failures(driver, n)
    used = {
        driver.sent[request].replica
        for request in (driver.arrive(prompt_tokens=3000, session=s)[0] for s in range(1, 40))
        if request in driver.sent
    }
    assert used & {1, 2, 3}


def test_time_outs_at_a_replica_that_answers_other_requests_are_no_failures():
    driver = RouterDriver(fleet=(endpoint(1, 0), endpoint(2, 0), endpoint(11, 1)))
    slow = [
        request
        for request in (driver.arrive(prompt_tokens=300, session=s)[0] for s in range(1, 30))
        if driver.sent[request].replica == 1
    ]
    driver.wait(10_000)
    driver.end(slow[0], Outcome.PREFILLED)
    for request in slow[1:4]:
        driver.end(request, Outcome.TIMEOUT)
    assert driver.router.replicas[1].failure_rate.value == 0


def test_an_attempt_leaves_time_for_another():
    driver = RouterDriver()
    _, actions = driver.arrive(timeout=2 * S)
    assert of_type(SendAttempt, actions)[0].attempt_timeout <= S


def test_the_retry_budget_limits_a_retry_storm():
    driver = RouterDriver()
    sends = 0
    for n in range(100):
        request, _ = driver.arrive(prompt_tokens=5000, session=n + 1)
        while request in driver.router.pending:
            sends += len(of_type(SendAttempt, driver.end(request, Outcome.FULL)))
    assert sends < 40


def test_other_replicas_relieve_an_overloaded_home_pair_before_requests_are_rejected():
    driver = RouterDriver()
    for n in range(60):
        driver.serve(driver.arrive(prompt_tokens=5000, session=n + 1)[0], elapsed=150_000)
    first, _ = driver.arrive(prompt_tokens=5000, prefix=77, prefix_tokens=2000)
    driver.serve(first)
    used, rejected = set(), 0
    for n in range(200):
        request, actions = driver.arrive(prompt_tokens=5000, session=500 + n, prefix=77, prefix_tokens=2000)
        rejected += len(of_type(RejectRequest, actions))
        used |= {action.replica for action in of_type(SendAttempt, actions)}
        assert len(used) > 2 or not of_type(RejectRequest, actions)
    assert used >= {1, 2, 3, 4, 5, 6}
    assert rejected > 100


def test_ejecting_a_replica_cancels_no_attempt():
    driver = RouterDriver()
    request, _ = driver.arrive(prompt_tokens=5000, session=1)
    actions = record_failures(driver, driver.sent[request].replica, times=1)
    assert of_type(LogMessage, actions)
    assert not of_type(CancelAttempt, actions)


def test_a_short_deadline_is_not_split_into_several_attempts():
    driver = RouterDriver()
    _, actions = driver.arrive(timeout=240_000)
    assert of_type(SendAttempt, actions)[0].attempt_timeout == 240_000


def test_a_request_whose_deadline_is_shorter_than_its_prefill_is_rejected_immediately():
    driver = RouterDriver()
    for n in range(60):
        driver.serve(driver.arrive(prompt_tokens=5000, session=n + 1)[0], elapsed=400_000)
    _, actions = driver.arrive(prompt_tokens=5000, session=99, timeout=300_000)
    assert of_type(RejectRequest, actions)
    assert not of_type(SendAttempt, actions)
