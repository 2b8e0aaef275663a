"""Drives one router: requests come in from a front end, attempts go out to a backend, outcomes come back.

The router decides. The core passes events on to it (`event_queue`), performs its actions, and keeps what must hold
whatever the router decides: one final answer for each request (`request_lifecycle`), at most one attempt out and none
without permission (`attempt_lifecycle`).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from loguru import logger

from pearhill.core.attempt_lifecycle import AttemptLifecycle
from pearhill.core.backend import Backend
from pearhill.core.client import Client
from pearhill.core.deadlines import Deadlines
from pearhill.core.endpoint_list import EndpointList
from pearhill.core.event_queue import EventQueue
from pearhill.core.request import Request, RequestSpec
from pearhill.core.request_lifecycle import TOO_MANY_OPEN, RequestLifecycle
from pearhill.counters import Counters
from pearhill.load_reports.load_aware_router import LoadAwareRouter
from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    MigrateStream,
    RejectRequest,
    ReleaseState,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
)
from pearhill.routing.events import EndpointsUpdated, Event, HealthCheckEnded, ReportedLoad, TimerFired
from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint
from pearhill.settings import Deployment


class Dispatcher:
    """The requests of one process, its router and its endpoint list. `backend` is set before the first event.

    `requests`: those that are not answered or have an attempt out, by number. `calls_by_class`: how requests ended.
    """

    def __init__(self, deployment: Deployment, seed: int, deadlines: Deadlines, counters: Counters) -> None:
        self.deployment = deployment
        self.deadlines = deadlines
        self.counters = counters
        self.clock = deadlines.clock
        self.router = LoadAwareRouter(deployment.router, seed)
        self.backend: Backend | None = None
        self._events = EventQueue(self.router, self.clock, counters, self._perform)
        self._endpoints = EndpointList()
        self._health_checks_since: dict[int, int] = {}  # by replica, of those that are out
        self._requests = RequestLifecycle(deployment, deadlines, counters, self._required_backend, self._events.feed)
        self._attempts = AttemptLifecycle(
            deployment,
            deadlines,
            counters,
            self._endpoints,
            self._requests,
            self._required_backend,
            self._events.feed,
        )
        self.requests = self._requests.open_requests
        self.calls_by_class = self._requests.calls_by_class

    def _required_backend(self) -> Backend:
        assert self.backend is not None, "a dispatcher needs its backend before its first event"
        return self.backend

    @property
    def inflight(self) -> int:
        """The requests that were accepted and have not ended."""
        return self._requests.inflight

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """The endpoint list, by replica."""
        return self._endpoints.by_replica

    @property
    def has_ready_decoder(self) -> bool:
        """Whether a replica that decodes is listed as ready."""
        return self._endpoints.has_ready_decoder(self.deployment.router.kinds)

    # From a front end.

    def accept(self, spec: RequestSpec, client: Client, payload: Any, arrived: int | None = None) -> Request:
        """Accept a request. `arrived`: the time of its last byte, from which its deadline runs; None: now."""
        return self._requests.accept(spec, client, payload, arrived)

    def record_rejection(self, request_class: int, reason: str = TOO_MANY_OPEN) -> None:
        """Count a request that a front end has rejected and not passed on."""
        self._requests.record_rejection(request_class, reason)

    def handle_disconnect(self, request: Request) -> None:
        """The client has gone. Its attempt is cancelled, even one that is being answered."""
        self._requests.handle_disconnect(request)

    # From the endpoint list and the configuration.

    def update_endpoints(self, full: bool, endpoints: tuple[Endpoint, ...]) -> None:
        """Apply an endpoint list: all of it (`full`), or the endpoints that changed.

        Attempts that wait for a connection to a replica that no longer takes requests are withdrawn: they would be sent
        long after the list.
        """
        self._endpoints.update(full, endpoints)
        unlisted = [
            attempt
            for request in self.requests.values()
            if (attempt := request.current_attempt)
            and not self._endpoints.accepts_requests(attempt.replica)
            and not self._required_backend().may_have_been_sent(attempt)
        ]
        self._events.feed(EndpointsUpdated(full, endpoints))
        for attempt in unlisted:
            self._attempts.stop_unlisted(attempt)

    def reconfigure(self, deployment: Deployment) -> None:
        """Apply other settings for the same classes, kinds and zones; requests, attempts and statistics stay."""
        self.deployment = deployment
        self._requests.deployment = deployment
        self._attempts.deployment = deployment
        self.router.reconfigure(deployment.router)

    # From the backend.

    def health_check_ended(self, replica: int, outcome: Outcome, load: ReportedLoad | None) -> None:
        """A health check has ended; `load` as in `HealthCheckEnded`."""
        self.counters.probes[outcome] += 1
        now = self.clock()
        since = self._health_checks_since.pop(replica, now)
        self._events.feed(HealthCheckEnded(replica, outcome, now - since, load))

    # From the router.

    def _perform(self, event: Event, actions: Iterable[Action]) -> None:
        for action in actions:
            self._perform_action(action)
        if not isinstance(event, EndpointsUpdated | TimerFired | HealthCheckEnded):
            self._requests.forget_if_over(event.request)

    def _perform_action(self, action: Action) -> None:
        match action:
            case SetTimer(timer, delay):
                # From now on it would run out later than the router reckons, after a stall behind the core's deadline.
                self.deadlines.schedule_at(
                    self._events.event_time + delay, lambda: self._events.feed(TimerFired(timer))
                )
            case LogMessage(text):
                logger.info("router: {text}", text=text)
            case SendHealthCheck(replica):
                self._health_checks_since[replica] = self.clock()
                self._required_backend().check_health(replica)
            case _:
                request = self.requests.get(action.request)
                if request:
                    self._perform_on_request(request, action)

    def _perform_on_request(self, request: Request, action: Action) -> None:
        match action:
            case SendAttempt():
                self._attempts.send(request, action)
            case CancelAttempt(_, index):
                attempt = request.current_attempt
                if attempt and attempt.index == index and not attempt.response_started:
                    attempt.cancel()
            case RejectRequest(_, retry_after, reason) if not request.answered:
                self._requests.reject(request, retry_after, reason)
            case FailRequest(_, reason) if not request.answered:
                self._requests.fail(request, reason)
            case ReleaseState():
                self._requests.release(request)
            case MigrateStream():
                logger.warning("request {request}: streams are not migrated here", request=request.number)
