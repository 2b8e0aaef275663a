"""A router that queries the load of the candidate replicas before it chooses one.

The router names the candidates of a choice (`QueryLoad`). This module decides which of them to check, and for how long
the request may wait for that. The router then receives the load that is known (`LoadKnown`) and chooses. One health
check of a replica serves all requests that wait for it.

A replica that does not answer a health check is ejected. The load report passes this to the router, which chooses
another replica, so that no request is lost at the ejected one. Whether that replica has recovered is tested by health
checks, never by requests.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from pearhill.load_reports.peer_load_source import PeerLoadSource
from pearhill.load_reports.pending_queries import FIRST_QUERY_TIMER, PendingQueries
from pearhill.load_reports.query_policy import roles_worth_querying
from pearhill.load_reports.reports import LoadReports
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

QUERY_TIMEOUT_FRACTION = 1 / 40  # of the shortest latency objective: how long a request waits for its query
HOLD_TIME_DIVISOR = 4  # a query also waits no longer than the state hold time divided by this
CHECK_LOST_AFTER_US = 2_000_000  # a check that has not ended by then is sent again; the backend ends each much sooner
MIN_REPORT_CONFIDENCE = 0.5  # of a replica's own report; at or below it, the sum over all dispatchers is used
MIN_PEER_CONFIDENCE = 0.1  # of that sum; at or below it, the replica's own report is used after all
JITTER_SEED = 0x5C007  # separates the jitter's random draws from the router's own
ALL_ROLES = frozenset((Role.PREFILL, Role.DECODE, Role.MIXED))


class OwnLoad(NamedTuple):
    """This dispatcher's tokens at one replica.

    `queued_tokens` are yet to be prefilled there. `total_tokens` are all that are in flight there.
    """

    replica: int
    queued_tokens: int
    total_tokens: int


class ReplicaStatus(NamedTuple):
    """This dispatcher's tokens at one replica, as in `OwnLoad`, and whether it sends no new requests there now."""

    queued_tokens: int
    total_tokens: int
    avoided: bool


class LoadAwareRouter:
    """A `Router` with load queries. Feed it every event with its time, and perform the returned actions in order."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.router = Router(settings, seed)
        self.peers: PeerLoadSource | None = None
        self.pending_queries = PendingQueries()
        self._reports = LoadReports()
        self._unanswered = UnansweredChecks(random.Random(seed ^ JITTER_SEED))
        self._checks_sent_at: dict[int, int] = {}  # by replica: when its health check in flight was sent
        self.reconfigure(settings)

    def reconfigure(self, settings: RouterSettings) -> None:
        """Apply new settings for the same classes, kinds and zones."""
        self.router.reconfigure(settings)
        self._checked_roles = roles_worth_querying(settings)
        self._query_timeout = _query_timeout(settings)
        self._update_query_roles()

    def set_peer_load_source(self, peers: PeerLoadSource | None) -> None:
        """Set the source of the other dispatchers' load, or None for no source.

        Reading the source costs nothing further, so with a source the load is queried before every choice.
        """
        self.peers = peers
        self._update_query_roles()

    def _update_query_roles(self) -> None:
        self.router.placement.query_roles = ALL_ROLES if self.peers else self._checked_roles

    # Read by other dispatchers and by operators.

    def own_loads(self) -> list[OwnLoad]:
        """Return this dispatcher's tokens at each replica where it has any."""
        return [
            OwnLoad(replica.id, replica.tokens_queued, replica.tokens_in_flight)
            for replica in self.router.replicas.values()
            if replica.tokens_queued or replica.tokens_in_flight
        ]

    def replica_statuses(self, now: int) -> dict[int, ReplicaStatus]:
        """Return the status of each listed replica."""
        ejected = self._unavailable_to_router(now)
        return {
            replica.id: ReplicaStatus(
                replica.tokens_queued,
                replica.tokens_in_flight,
                replica.id in ejected or self._unanswered.ejected_until(now, replica.id) > 0,
            )
            for replica in self.router.replicas.values()
        }

    def avoided_count(self, now: int) -> int:
        """Return the number of listed replicas to which this dispatcher currently sends no new requests."""
        return sum(status.avoided for status in self.replica_statuses(now).values())

    def _unavailable_to_router(self, now: int) -> set[int]:
        """Return the listed replicas that currently get no new requests from the router.

        The reason is their phase in the list, or the router's outlier detection.
        """
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
        """Handle one event. Returns the actions to perform."""
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
            self._discard_unlisted()
        return actions

    def _discard_unlisted(self) -> None:
        listed = self.router.replicas.keys()
        self._reports.keep(listed)
        self._unanswered.keep(listed)
        for unlisted in self._checks_sent_at.keys() - listed:  # The check may still end; no request waits for it.
            del self._checks_sent_at[unlisted]

    def _answer_queries(self, now: int, actions: list[Action]) -> list[Action]:
        """Return the router's actions, with each query replaced by its health checks.

        A query that can be answered at once is replaced by the actions that follow from the answer.
        """
        if not any(isinstance(action, QueryLoad) for action in actions):
            return actions
        result: list[Action] = []
        for action in actions:
            if isinstance(action, QueryLoad):
                result += self._query(now, action)
            else:
                result.append(action)
        return result

    def _query(self, now: int, query: QueryLoad) -> list[Action]:
        missing = {replica for replica in query.replicas if self._needs_check(now, replica)}
        if not missing:
            return self._report_load(now, query.request, query.replicas)
        checks: list[Action] = []
        for replica in sorted(missing):
            if self._is_check_in_flight(now, replica):
                continue
            self._checks_sent_at[replica] = now
            checks.append(SendHealthCheck(replica))
        timer = self.pending_queries.add(query.request, query.replicas, missing)
        return [*checks, SetTimer(timer, self._query_timeout)]

    def _needs_check(self, now: int, replica: int) -> bool:
        if self.router.replicas[replica].role not in self._checked_roles:
            return False
        return not self._reports.is_fresh(now, replica) and not self._unanswered.ejected_until(now, replica)

    def _is_check_in_flight(self, now: int, replica: int) -> bool:
        sent_at = self._checks_sent_at.get(replica)
        return sent_at is not None and now - sent_at < CHECK_LOST_AFTER_US

    def _end_check(self, now: int, event: HealthCheckEnded) -> list[Action]:
        replica = event.replica
        self._checks_sent_at.pop(replica, None)
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
        """End the wait of a request. The router chooses by the load that is known now."""
        query = self.pending_queries.close(request)
        # The load of a replica that has not answered in time is unknown. If it were not ejected, it would look emptier
        # than the others and get the request.
        for late in query.missing:
            self._unanswered.record_delay(now, late, self._query_timeout)
        return self._report_load(now, request, query.replicas)

    def _report_load(self, now: int, request: int, replicas: Iterable[int]) -> list[Action]:
        reports = tuple(self._report(now, replica) for replica in replicas)
        return self._answer_queries(now, self.router.handle(now, LoadKnown(request, reports)))

    def _report(self, now: int, replica_id: int) -> LoadReport:
        """Return the replica's own report or, if that is old, the sum of all dispatchers' load there."""
        report = self._reports.report(now, replica_id, self._unanswered.ejected_until(now, replica_id))
        replica = self.router.replicas.get(replica_id)
        if self.peers is None or replica is None or report.confidence > MIN_REPORT_CONFIDENCE:
            return report
        peer_load = self.peers.estimate_peer_load(now, replica_id, replica.tokens_queued, replica.tokens_in_flight)
        # With hundreds of dispatchers, most of the sum is never fresh. The rest is assumed to be the mean of the fresh
        # part, so that even a small fresh part is as informative as a sample.
        if peer_load.confidence <= MIN_PEER_CONFIDENCE:
            return report
        return LoadReport(
            replica_id,
            min(1.0, (replica.tokens_in_flight + peer_load.total_tokens) / replica.memory_tokens),
            replica.tokens_queued + peer_load.queued_tokens,
            1.0,
            report.ejected_until,
        )


def _query_timeout(settings: RouterSettings) -> int:
    """Return how long a request waits for its query. State held meanwhile must still be fetched in time."""
    shortest = min(request_class.latency_objective for request_class in settings.classes)
    timeout = int(shortest * QUERY_TIMEOUT_FRACTION)
    return max(settings.tick, min(timeout, settings.state_hold_time // HOLD_TIME_DIVISOR))
