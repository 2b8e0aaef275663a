"""Which replicas a dispatcher that sees little queries, and what it does with the answers."""

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
    """A load-aware router before two prefill and two decode replicas. `checks`: the health checks that are out."""

    def __init__(self, settings: RouterSettings = MANY_DISPATCHERS, seed: int = 1) -> None:
        self.checks: list[int] = []
        super().__init__(settings, FLEET, seed)
        # In place of the driver's own router, which takes the list anew.
        self.router: Any = LoadAwareRouter(settings, seed)
        self.timers.clear()
        self.feed(EndpointsUpdated(True, FLEET))

    def feed(self, event: Event) -> list[Action]:
        actions = super().feed(event)
        self.checks += [action.replica for action in actions if isinstance(action, SendHealthCheck)]
        return actions

    def answer(self, replica: int, memory_used: float = 0.1, queued_ktokens: float = 0.0) -> None:
        """The replica answers its health check with a report."""
        self.checks.remove(replica)
        self.feed(HealthCheckEnded(replica, Outcome.ANSWERED, MS, ReportedLoad(memory_used, queued_ktokens)))

    def end_check(self, replica: int, outcome: Outcome) -> None:
        """The replica's health check ends without an answer."""
        self.checks.remove(replica)
        self.feed(HealthCheckEnded(replica, outcome, MS, None))

    def answer_all(self) -> None:
        """Every replica that is checked reports an empty queue."""
        for replica in list(self.checks):
            self.answer(replica)

    def prefill_replica(self, queued_ktokens: dict[int, float], session: int = 5) -> int:
        """Where a request is prefilled when the replicas that are checked report these queues."""
        request, _ = self.arrive(session=session)
        for replica in list(self.checks):
            self.answer(replica, queued_ktokens=queued_ktokens[replica])
        return self.disconnect(request)

    def disconnect(self, request: int) -> int:
        """The client goes, and its work with it; the replica that had it."""
        self.feed(ClientDisconnected(request))
        self.end(request, Outcome.CANCELLED, answered=True)
        return self.sent[request].replica


class FixedPeers:
    """Other dispatchers with these tokens at each replica, queued and in all, of which so much is fresh."""

    def __init__(self, tokens: dict[int, float], confidence: float) -> None:
        self.tokens = tokens
        self.confidence = confidence

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        tokens = self.tokens.get(replica, 0.0)
        return PeerLoadEstimate(tokens, tokens, self.confidence)


@pytest.fixture
def drive() -> LoadAwareDriver:
    return LoadAwareDriver()


# What reports do to a choice.


@pytest.mark.parametrize(("empty", "full"), [(1, 2), (2, 1)])
def test_the_replica_with_the_shorter_reported_queue_prefills(drive: LoadAwareDriver, empty: int, full: int) -> None:
    assert drive.prefill_replica({empty: 0.0, full: 40.0}) == empty


@pytest.mark.parametrize(("roomy", "full"), [(11, 12), (12, 11)])
def test_the_replica_that_reports_memory_to_spare_decodes(drive: LoadAwareDriver, roomy: int, full: int) -> None:
    drive.arrive()
    drive.answer(1)
    drive.answer(2)
    drive.end(1, Outcome.PREFILLED)
    drive.answer(roomy, memory_used=0.2)
    drive.answer(full, memory_used=0.9)
    assert drive.sent[1].replica == roomy


@pytest.mark.parametrize("busy", PREFILL)
@pytest.mark.parametrize("confidence", [1.0, 0.3])
def test_the_peers_load_moves_a_choice_without_health_checks_where_replicas_report_nothing(
    busy: int, confidence: float
) -> None:
    drive = LoadAwareDriver(WITHOUT_REPORTS)
    drive.router.set_peer_load_source(FixedPeers({busy: 9000.0, busy + 10: 9000.0}, confidence))
    request, _ = drive.arrive(session=5)
    assert drive.checks == []
    assert drive.sent[request].replica == 3 - busy
    drive.end(request, Outcome.PREFILLED)
    assert drive.sent[request].replica == 23 - (busy + 10)


@pytest.mark.parametrize("busy", PREFILL)
def test_the_peers_load_changes_nothing_where_hardly_any_of_it_is_fresh(busy: int) -> None:
    without_peers = LoadAwareDriver(WITHOUT_REPORTS).prefill_replica({})
    drive = LoadAwareDriver(WITHOUT_REPORTS)
    drive.router.set_peer_load_source(FixedPeers({busy: 9000.0, busy + 10: 9000.0}, 0.05))
    request, _ = drive.arrive(session=5)
    assert drive.checks == []
    assert drive.sent[request].replica == without_peers


# Health checks.


def test_one_health_check_serves_all_that_wait_and_a_fresh_report_is_not_queried_again(drive: LoadAwareDriver) -> None:
    first, _ = drive.arrive(session=5)
    second, _ = drive.arrive(session=6)
    assert sorted(drive.checks) == [1, 2]
    drive.answer_all()
    assert {first, second} <= drive.sent.keys()
    assert drive.checks == []
    drive.arrive(session=7)
    assert drive.checks == []  # both have reported just now
    drive.wait(REFRESH_INTERVAL_US + 1)
    drive.arrive(session=8)
    assert sorted(drive.checks) == [1, 2]


@pytest.mark.parametrize(("silent", "answering"), [(1, 2), (2, 1)])
def test_no_request_waits_long_for_an_answer_and_the_replica_that_gave_one_is_preferred(
    drive: LoadAwareDriver, silent: int, answering: int
) -> None:
    request, _ = drive.arrive()
    drive.answer(answering, queued_ktokens=3.0)
    assert request not in drive.sent
    drive.wait(30 * MS)
    assert drive.sent[request].replica == answering  # a replica that reports nothing does not count as empty
    drive.end_check(silent, Outcome.TIMEOUT)
    for n in range(8):
        assert drive.prefill_replica({1: 9.0, 2: 9.0}, session=20 + n) == answering


def test_a_silent_replica_is_tried_by_health_checks_and_not_by_requests(drive: LoadAwareDriver) -> None:
    checks = 0
    eject_first_replica(drive)
    for n in range(200):  # ten seconds of sessions, each with its own home replica
        drive.wait(50 * MS)
        request, _ = drive.arrive(session=100 + n)
        if 2 in drive.checks:
            drive.answer(2)
        if 1 in drive.checks:
            checks += 1
            drive.end_check(1, Outcome.TIMEOUT)
        assert drive.disconnect(request) == 2
    doublings = math.log2(MAX_EJECTION_US / FIRST_EJECTION_US)
    assert 4 <= checks <= 2 + doublings + 10 * S / (0.75 * MAX_EJECTION_US)


def test_a_silent_replica_that_answers_again_is_used_within_an_ejection(drive: LoadAwareDriver) -> None:
    eject_first_replica(drive)
    for n in range(200):
        drive.wait(50 * MS)
        request, _ = drive.arrive(session=100 + n)
        if 2 in drive.checks:
            drive.answer(2)
        if 1 in drive.checks:
            drive.end_check(1, Outcome.TIMEOUT)
        assert drive.disconnect(request) == 2
    periods = 0
    for n in range(200):
        drive.wait(50 * MS)
        request, _ = drive.arrive(session=400 + n)
        periods += 1
        drive.answer_all()
        if drive.disconnect(request) == 1:
            break
    assert periods * 50 * MS < 1.3 * MAX_EJECTION_US


def eject_first_replica(drive: LoadAwareDriver) -> None:
    drive.arrive()
    drive.answer(2)
    drive.end_check(1, Outcome.UNREACHABLE)


def test_a_health_check_that_was_never_sent_says_nothing_of_its_replica(drive: LoadAwareDriver) -> None:
    request, _ = drive.arrive()
    drive.end_check(1, Outcome.NOT_SENT)
    drive.end_check(2, Outcome.NOT_SENT)
    drive.disconnect(request)
    assert {drive.prefill_replica({1: 0.0, 2: 0.0}, session=n) for n in range(30)} == {1, 2}


def test_a_health_check_whose_end_never_arrives_is_sent_again(drive: LoadAwareDriver) -> None:
    drive.arrive(session=50)
    assert sorted(drive.checks) == [1, 2]
    drive.wait(3 * S)
    drive.arrive(session=51)
    assert sorted(drive.checks) == [1, 1, 2, 2]


def test_a_replica_that_leaves_while_it_is_checked_is_not_chosen(drive: LoadAwareDriver) -> None:
    request, _ = drive.arrive()
    drive.feed(EndpointsUpdated(False, (replace(FLEET[0], phase=Phase.GONE),)))
    drive.answer(1)
    drive.answer(2)
    assert drive.sent[request].replica == 2


def test_a_client_that_goes_while_its_query_is_out_leaves_nothing_behind(drive: LoadAwareDriver) -> None:
    """Nor do the health checks of a replica that has left and come back."""
    drive.arrive()
    drive.feed(EndpointsUpdated(False, (replace(FLEET[0], phase=Phase.GONE),)))
    drive.answer_all()
    drive.wait(REFRESH_INTERVAL_US + 1)
    drive.feed(EndpointsUpdated(False, (FLEET[0],)))
    request, _ = drive.arrive(session=9)
    assert sorted(drive.checks) == [1, 2]
    drive.feed(ClientDisconnected(request))
    drive.answer_all()
    drive.wait(S)
    assert request not in drive.sent
    assert len(drive.router.pending_queries) == 0
