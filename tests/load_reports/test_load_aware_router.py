"""Which replicas a dispatcher queries for their load, and how the answers affect its choices."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import pytest

from pearhill.load_reports.load_aware_router import LoadAwareRouter
from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.load_reports.reports import REFRESH_INTERVAL_US
from pearhill.load_reports.unanswered_checks import FIRST_EJECTION_US, MAX_EJECTION_US
from pearhill.routing.actions import Action, SendHealthCheck
from pearhill.routing.events import ClientDisconnected, EndpointsUpdated, Event, HealthCheckEnded, ReportedLoad
from pearhill.routing.outcomes import Outcome
from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Phase
from tests.driver import SETTINGS, RouterDriver, S, endpoint

MANY_DISPATCHERS = replace(SETTINGS, instances=60, health_checks=True, health_check_price=0.0039)
WITHOUT_REPORTS = replace(SETTINGS, instances=60)
PREFILL = (1, 2)
DECODE = (11, 12)
FLEET = tuple(endpoint(replica, 0) for replica in PREFILL) + tuple(endpoint(replica, 1) for replica in DECODE)
MS = 1000


class LoadAwareDriver(RouterDriver):
    """Drives a load-aware router with two prefill and two decode replicas. `checks`: the health checks in flight."""

    def __init__(self, settings: RouterSettings = MANY_DISPATCHERS, seed: int = 1) -> None:
        self.checks: list[int] = []
        super().__init__(settings, FLEET, seed)
        # Replaces the driver's own router; the endpoint list is fed to the new one.
        self.router: Any = LoadAwareRouter(settings, seed)
        self.timers.clear()
        self.feed(EndpointsUpdated(True, FLEET))

    def feed(self, event: Event) -> list[Action]:
        actions = super().feed(event)
        self.checks += [action.replica for action in actions if isinstance(action, SendHealthCheck)]
        return actions

    def answer(self, replica: int, memory_used: float = 0.1, queued_ktokens: float = 0.0) -> None:
        """Ends the replica's health check with a report."""
        self.checks.remove(replica)
        self.feed(HealthCheckEnded(replica, Outcome.ANSWERED, MS, ReportedLoad(memory_used, queued_ktokens)))

    def end_check(self, replica: int, outcome: Outcome) -> None:
        """Ends the replica's health check without an answer."""
        self.checks.remove(replica)
        self.feed(HealthCheckEnded(replica, outcome, MS, None))

    def answer_all(self) -> None:
        """Ends every health check in flight with a report of an empty queue."""
        for replica in list(self.checks):
            self.answer(replica)

    def prefill_replica(self, queued_ktokens: dict[int, float], session: int = 5) -> int:
        """Returns the replica that prefills a new request if the checked replicas report these queues."""
        request, _ = self.arrive(session=session)
        for replica in list(self.checks):
            self.answer(replica, queued_ktokens=queued_ktokens[replica])
        return self.disconnect(request)

    def disconnect(self, request: int) -> int:
        """Disconnects the client and cancels its attempt. Returns the replica of that attempt."""
        self.feed(ClientDisconnected(request))
        self.end(request, Outcome.CANCELLED, answered=True)
        return self.sent[request].replica


class FixedPeers:
    """A source of peer load: these tokens at each replica, all of them queued, with this confidence."""

    def __init__(self, tokens: dict[int, float], confidence: float) -> None:
        self.tokens = tokens
        self.confidence = confidence

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        tokens = self.tokens.get(replica, 0.0)
        return PeerLoadEstimate(tokens, tokens, self.confidence)


@pytest.fixture
def driver() -> LoadAwareDriver:
    return LoadAwareDriver()


# Effects of reports on a choice.


@pytest.mark.parametrize(("empty", "full"), [(1, 2), (2, 1)])
def test_the_replica_with_the_shorter_reported_queue_prefills(driver: LoadAwareDriver, empty: int, full: int) -> None:
    assert driver.prefill_replica({empty: 0.0, full: 40.0}) == empty


@pytest.mark.parametrize(("emptier", "full"), [(11, 12), (12, 11)])
def test_the_replica_that_reports_more_free_memory_decodes(driver: LoadAwareDriver, emptier: int, full: int) -> None:
    driver.arrive()
    driver.answer(1)
    driver.answer(2)
    driver.end(1, Outcome.PREFILLED)
    driver.answer(emptier, memory_used=0.2)
    driver.answer(full, memory_used=0.9)
    assert driver.sent[1].replica == emptier


@pytest.mark.parametrize("busy", PREFILL)
@pytest.mark.parametrize("confidence", [1.0, 0.3])
def test_peer_load_changes_a_choice_without_health_checks_if_replicas_report_nothing(
    busy: int, confidence: float
) -> None:
    driver = LoadAwareDriver(WITHOUT_REPORTS)
    driver.router.set_peer_load_source(FixedPeers({busy: 9000.0, busy + 10: 9000.0}, confidence))
    request, _ = driver.arrive(session=5)
    assert driver.checks == []
    assert driver.sent[request].replica == 3 - busy
    driver.end(request, Outcome.PREFILLED)
    assert driver.sent[request].replica == 23 - (busy + 10)


@pytest.mark.parametrize("busy", PREFILL)
def test_peer_load_is_ignored_if_hardly_any_of_it_is_fresh(busy: int) -> None:
    without_peers = LoadAwareDriver(WITHOUT_REPORTS).prefill_replica({})
    driver = LoadAwareDriver(WITHOUT_REPORTS)
    driver.router.set_peer_load_source(FixedPeers({busy: 9000.0, busy + 10: 9000.0}, 0.05))
    request, _ = driver.arrive(session=5)
    assert driver.checks == []
    assert driver.sent[request].replica == without_peers


# Health checks.


def test_one_health_check_serves_all_waiting_requests_and_a_fresh_report_is_not_queried_again(
    driver: LoadAwareDriver,
) -> None:
    first, _ = driver.arrive(session=5)
    second, _ = driver.arrive(session=6)
    assert sorted(driver.checks) == [1, 2]
    driver.answer_all()
    assert {first, second} <= driver.sent.keys()
    assert driver.checks == []
    driver.arrive(session=7)
    assert driver.checks == []  # both have reported just now
    driver.wait(REFRESH_INTERVAL_US + 1)
    driver.arrive(session=8)
    assert sorted(driver.checks) == [1, 2]


@pytest.mark.parametrize(("silent", "answering"), [(1, 2), (2, 1)])
def test_a_query_times_out_and_the_replica_that_answered_it_is_preferred(
    driver: LoadAwareDriver, silent: int, answering: int
) -> None:
    request, _ = driver.arrive()
    driver.answer(answering, queued_ktokens=3.0)
    assert request not in driver.sent
    driver.wait(30 * MS)
    assert driver.sent[request].replica == answering  # a replica without a report does not count as empty
    driver.end_check(silent, Outcome.TIMEOUT)
    for n in range(8):
        assert driver.prefill_replica({1: 9.0, 2: 9.0}, session=20 + n) == answering


def test_an_unresponsive_replica_gets_health_checks_and_no_requests(driver: LoadAwareDriver) -> None:
    checks = 0
    eject_first_replica(driver)
    for n in range(200):  # ten seconds of sessions, each with its own home replica
        driver.wait(50 * MS)
        request, _ = driver.arrive(session=100 + n)
        if 2 in driver.checks:
            driver.answer(2)
        if 1 in driver.checks:
            checks += 1
            driver.end_check(1, Outcome.TIMEOUT)
        assert driver.disconnect(request) == 2
    doublings = math.log2(MAX_EJECTION_US / FIRST_EJECTION_US)
    assert 4 <= checks <= 2 + doublings + 10 * S / (0.75 * MAX_EJECTION_US)


def test_an_unresponsive_replica_that_answers_again_is_used_within_one_ejection_period(driver: LoadAwareDriver) -> None:
    eject_first_replica(driver)
    for n in range(200):
        driver.wait(50 * MS)
        request, _ = driver.arrive(session=100 + n)
        if 2 in driver.checks:
            driver.answer(2)
        if 1 in driver.checks:
            driver.end_check(1, Outcome.TIMEOUT)
        assert driver.disconnect(request) == 2
    periods = 0
    for n in range(200):
        driver.wait(50 * MS)
        request, _ = driver.arrive(session=400 + n)
        periods += 1
        driver.answer_all()
        if driver.disconnect(request) == 1:
            break
    assert periods * 50 * MS < 1.3 * MAX_EJECTION_US


def eject_first_replica(driver: LoadAwareDriver) -> None:
    driver.arrive()
    driver.answer(2)
    driver.end_check(1, Outcome.UNREACHABLE)


def test_a_health_check_that_was_never_sent_does_not_eject_its_replica(driver: LoadAwareDriver) -> None:
    request, _ = driver.arrive()
    driver.end_check(1, Outcome.NOT_SENT)
    driver.end_check(2, Outcome.NOT_SENT)
    driver.disconnect(request)
    assert {driver.prefill_replica({1: 0.0, 2: 0.0}, session=n) for n in range(30)} == {1, 2}


def test_a_health_check_without_a_result_is_sent_again(driver: LoadAwareDriver) -> None:
    driver.arrive(session=50)
    assert sorted(driver.checks) == [1, 2]
    driver.wait(3 * S)
    driver.arrive(session=51)
    assert sorted(driver.checks) == [1, 1, 2, 2]


def test_a_replica_that_is_unlisted_during_its_health_check_is_not_chosen(driver: LoadAwareDriver) -> None:
    request, _ = driver.arrive()
    driver.feed(EndpointsUpdated(False, (replace(FLEET[0], phase=Phase.GONE),)))
    driver.answer(1)
    driver.answer(2)
    assert driver.sent[request].replica == 2


def test_a_client_that_disconnects_during_its_query_leaves_no_pending_query(driver: LoadAwareDriver) -> None:
    """The health check of a replica that was unlisted and listed again leaves nothing behind either."""
    driver.arrive()
    driver.feed(EndpointsUpdated(False, (replace(FLEET[0], phase=Phase.GONE),)))
    driver.answer_all()
    driver.wait(REFRESH_INTERVAL_US + 1)
    driver.feed(EndpointsUpdated(False, (FLEET[0],)))
    request, _ = driver.arrive(session=9)
    assert sorted(driver.checks) == [1, 2]
    driver.feed(ClientDisconnected(request))
    driver.answer_all()
    driver.wait(S)
    assert request not in driver.sent
    assert len(driver.router.pending_queries) == 0
