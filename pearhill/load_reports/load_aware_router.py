"""A router that knows the load: before a choice it queries the replicas between which it lies.

The router says between which replicas it is to choose (`QueryLoad`). Here it is decided which of them to check, and for
how long the request may wait for that; the router gets what is known as facts (`LoadKnown`) and chooses. One health
check of a replica serves all requests that wait for it. A replica that answers no check is ejected: the router learns
that from its report and chooses another, without a request having been lost there; and it is a check, never a request,
that finds out when it is back.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from pearhill.load_reports.peer_load_source import PeerLoadSource
from pearhill.load_reports.pending_queries import FIRST_QUERY_TIMER, PendingQueries
from pearhill.load_reports.query_policy import roles_worth_querying
from pearhill.load_reports.reports import Reports
from pearhill.load_reports.unanswered_checks import UnansweredChecks
from pearhill.routing.actions import Action, QueryLoad, SendHealthCheck, SetTimer
from pearhill.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    LoadKnown,
    LoadReport,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import Router
from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Phase, Role

QUERY_TIMEOUT_SHARE = 1 / 40  # of the shortest latency objective: for so long a request waits for its query
MAX_HOLD_TIME_DIVISOR = 4  # and for no more than this part of the time for which a state is held
CHECK_LOST_AFTER_US = 2_000_000  # a check whose end never arrived; the driver ends each much sooner
MIN_REPORT_CONFIDENCE = 0.5  # of a replica's own report; below it the sum over all dispatchers counts
MIN_PEER_CONFIDENCE = 0.1  # of that sum
JITTER_SEED = 0x5C007  # keeps these draws apart from the router's own
ALL_ROLES = frozenset((Role.PREFILL, Role.DECODE, Role.MIXED))


class OwnLoad(NamedTuple):
    """This dispatcher's tokens at one replica: yet to be prefilled there, and in flight there in all."""

    replica: int
    queued_tokens: int
    total_tokens: int


class ReplicaStatus(NamedTuple):
    """This dispatcher's tokens at one replica, as in `OwnLoad`, and whether the replica gets no new requests now."""

    queued_tokens: int
    total_tokens: int
    avoided: bool


class LoadAwareRouter:
    """Feed it every event with its time, as one would a `Router`; do what it returns, in order."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.router = Router(settings, seed)
        self.peers: PeerLoadSource | None = None
        self.pending_queries = PendingQueries()
        self._reports = Reports()
        self._unanswered = UnansweredChecks(random.Random(seed ^ JITTER_SEED))
        self._checks_since: dict[int, int] = {}  # by replica, of the health checks that are out
        self.reconfigure(settings)

    def reconfigure(self, settings: RouterSettings) -> None:
        """Apply other settings for the same classes, kinds and zones."""
        self.router.reconfigure(settings)
        self._checked_roles = roles_worth_querying(settings)
        self._query_timeout = _query_timeout(settings)
        self._set_query_roles()

    def set_peer_load_source(self, peers: PeerLoadSource | None) -> None:
        """Take the other dispatchers' load from this source; None: from no one.

        What they share costs nothing more, so that every choice is queried.
        """
        self.peers = peers
        self._set_query_roles()

    def _set_query_roles(self) -> None:
        self.router.placement.query_roles = ALL_ROLES if self.peers else self._checked_roles

    # For the other dispatchers, and for operators.

    def own_loads(self) -> list[OwnLoad]:
        """This dispatcher's tokens at each replica where it has any."""
        return [
            OwnLoad(replica.id, replica.tokens_queued, replica.tokens_in_flight)
            for replica in self.router.replicas.values()
            if replica.tokens_queued or replica.tokens_in_flight
        ]

    def replica_statuses(self, now: int) -> dict[int, ReplicaStatus]:
        """The status of each listed replica."""
        ejected = self._ejected_by_router(now)
        return {
            replica.id: ReplicaStatus(
                replica.tokens_queued,
                replica.tokens_in_flight,
                replica.id in ejected or self._unanswered.ejected_until(now, replica.id) > 0,
            )
            for replica in self.router.replicas.values()
        }

    def avoided_count(self, now: int) -> int:
        """How many listed replicas get no new requests now."""
        return sum(status.avoided for status in self.replica_statuses(now).values())

    def _ejected_by_router(self, now: int) -> set[int]:
        """Listed replicas that get nothing new for now, by the list's phase or by the router's outlier detection."""
        threshold = self.router.outliers.ejection_threshold(now)
        return {
            replica.id
            for replica in self.router.replicas.values()
            if replica.endpoint.phase != Phase.READY
            or replica.unavailable_until > now
            or replica.failure_rate.value_with_prior(now, 0.0) >= threshold
        }

    # Events.

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take in one event; the actions that it asks for."""
        match event:
            case HealthCheckEnded():
                return self._end_check(now, event)
            case TimerFired() if event.timer >= FIRST_QUERY_TIMER:
                request = self.pending_queries.timed_out(event.timer)
                return [] if request is None else self._end_query(now, request)
            case AttemptEnded() if event.load is not None:
                self._reports.receive(now, event.replica, event.load)
            case ClientDisconnected():
                self.pending_queries.drop(event.request)
        actions = self._answer_queries(now, self.router.handle(now, event))
        if isinstance(event, EndpointsUpdated):
            self._forget_unlisted()
        return actions

    def _forget_unlisted(self) -> None:
        listed = self.router.replicas.keys()
        self._reports.keep(listed)
        self._unanswered.keep(listed)
        for gone in self._checks_since.keys() - listed:  # The end of its check may still come: no request waits for it.
            del self._checks_since[gone]

    def _answer_queries(self, now: int, actions: list[Action]) -> list[Action]:
        """The router's actions, each query replaced by its health checks, or by what follows if it is answered now."""
        if not any(isinstance(action, QueryLoad) for action in actions):
            return actions
        out: list[Action] = []
        for action in actions:
            if isinstance(action, QueryLoad):
                out += self._query(now, action)
            else:
                out.append(action)
        return out

    def _query(self, now: int, query: QueryLoad) -> list[Action]:
        missing = {replica for replica in query.replicas if self._needs_check(now, replica)}
        if not missing:
            return self._report_load(now, query.request, query.replicas)
        checks: list[Action] = []
        for replica in sorted(missing):
            if self._is_check_out(now, replica):
                continue
            self._checks_since[replica] = now
            checks.append(SendHealthCheck(replica))
        timer = self.pending_queries.add(query.request, query.replicas, missing)
        return [*checks, SetTimer(timer, self._query_timeout)]

    def _needs_check(self, now: int, replica: int) -> bool:
        if self.router.replicas[replica].role not in self._checked_roles:
            return False
        return not self._reports.fresh(now, replica) and not self._unanswered.ejected_until(now, replica)

    def _is_check_out(self, now: int, replica: int) -> bool:
        since = self._checks_since.get(replica)
        return since is not None and now - since < CHECK_LOST_AFTER_US

    def _end_check(self, now: int, event: HealthCheckEnded) -> list[Action]:
        replica = event.replica
        self._checks_since.pop(replica, None)
        if event.outcome == Outcome.ANSWERED:
            self._unanswered.record_answer(replica)
            self._reports.receive(now, replica, event.load)
        elif event.outcome != Outcome.NOT_SENT and replica in self.router.replicas:
            self._unanswered.record_failure(now, replica)
        actions: list[Action] = []
        for request in self.pending_queries.waiting_for(replica):
            if self.pending_queries.record_answer(request, replica):
                actions += self._end_query(now, request)
        return actions

    def _end_query(self, now: int, request: int) -> list[Action]:
        """The request waits no longer: the router chooses by what is known now."""
        query = self.pending_queries.close(request)
        # Of a replica that has not answered in time nothing is known: it would look emptier, and get the request.
        for late in query.missing:
            self._unanswered.record_delay(now, late, self._query_timeout)
        return self._report_load(now, request, query.replicas)

    def _report_load(self, now: int, request: int, replicas: Iterable[int]) -> list[Action]:
        reports = tuple(self._report(now, replica) for replica in replicas)
        return self._answer_queries(now, self.router.handle(now, LoadKnown(request, reports)))

    def _report(self, now: int, number: int) -> LoadReport:
        """The replica's own report, or, where that is old, the sum of what all dispatchers have there."""
        report = self._reports.report(now, number, self._unanswered.ejected_until(now, number))
        replica = self.router.replicas.get(number)
        if self.peers is None or replica is None or report.confidence > MIN_REPORT_CONFIDENCE:
            return report
        others = self.peers.estimate_peer_load(now, number, replica.tokens_queued, replica.tokens_in_flight)
        # In a fleet of hundreds most of the sum is never fresh. What is not is assumed to be the mean of what is, so
        # that a small part says as much as a sample does.
        if others.confidence <= MIN_PEER_CONFIDENCE:
            return report
        return LoadReport(
            number,
            min(1.0, (replica.tokens_in_flight + others.total_tokens) / replica.memory_tokens),
            replica.tokens_queued + others.queued_tokens,
            1.0,
            report.ejected_until,
        )


def _query_timeout(settings: RouterSettings) -> int:
    """For how long a request waits for its query: a state that is held meanwhile has to be fetched in time."""
    shortest = min(request_class.latency_objective for request_class in settings.classes)
    share = int(shortest * QUERY_TIMEOUT_SHARE)
    return max(settings.tick, min(share, settings.state_hold_time // MAX_HOLD_TIME_DIVISOR))
