"""Drives one router: requests arrive from a front end, attempts go to a backend, and outcomes return from it.

The router makes the decisions. The core passes events to it (`event_queue`), performs its actions, and enforces what
must hold whatever the router decides: each request has one final answer (`request_lifecycle`) and at most one attempt
in flight, and no attempt is sent without permission (`attempt_lifecycle`).
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
from pearhill.core.request_ids import ClaimResult, RequestIds
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
from pearhill.routing.settings import Idempotency
from pearhill.routing.topology import Endpoint
from pearhill.settings import Deployment


class Dispatcher:
    """The requests of one process, its router and its endpoint list. `backend` must be set before the first event.

    `requests` holds the requests that are not answered or have an attempt in flight, by number. `calls_by_class` counts
    how requests ended.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        deadlines: Deadlines,
        counters: Counters,
        request_ids: RequestIds | None = None,
    ) -> None:
        self.deployment = deployment
        self.deadlines = deadlines
        self.counters = counters
        self.clock = deadlines.clock
        self.router = LoadAwareRouter(deployment.router, seed)
        self.backend: Backend | None = None
        self._events = EventQueue(self.router, self.clock, counters, self._perform)
        self._endpoints = EndpointList()
        self._health_checks_sent_at: dict[int, int] = {}  # by replica: when its health check in flight was sent
        self._request_ids = request_ids or RequestIds()
        self._requests = RequestLifecycle(
            deployment, deadlines, counters, self._required_backend, self._events.feed, self._request_ids
        )
        self._attempts = AttemptLifecycle(
            deployment,
            deadlines,
            counters,
            self._endpoints,
            self._requests,
            self._required_backend,
            self._events.feed,
            self._request_ids,
        )
        self.requests = self._requests.open_requests
        self.calls_by_class = self._requests.calls_by_class

    def _required_backend(self) -> Backend:
        assert self.backend is not None, "dispatcher: the backend must be set before the first event"
        return self.backend

    @property
    def inflight(self) -> int:
        """The number of requests that were accepted and have not ended."""
        return self._requests.inflight

    @property
    def endpoints(self) -> dict[int, Endpoint]:
        """The endpoint list, by replica."""
        return self._endpoints.by_replica

    @property
    def has_ready_decoder(self) -> bool:
        """Whether a decode or mixed replica is listed as ready."""
        return self._endpoints.has_ready_decoder(self.deployment.router.kinds)

    # Calls from a front end.

    def claim_id(self, spec: RequestSpec) -> ClaimResult:
        """Claim the id of a request, which `accept` must follow at once if it is granted. The end of the request
        releases it. A front end whose clients give their requests no ids does not call this."""
        request_class = self.deployment.router.classes[spec.request_class]
        return self._request_ids.claim(spec.id, request_class.idempotency == Idempotency.IDEMPOTENT)

    def accept(self, spec: RequestSpec, client: Client, payload: Any, arrived: int | None = None) -> Request:
        """Accept a request. Its deadline runs from `arrived`, the time of its last byte; None means now."""
        return self._requests.accept(spec, client, payload, arrived)

    def record_rejection(self, request_class: int, reason: str = TOO_MANY_OPEN) -> None:
        """Count a request that a front end rejected without passing it to `accept`."""
        self._requests.record_rejection(request_class, reason)

    def may_have_executed(self, request: Request) -> bool:
        """Return whether a replica may have executed the request, or may be executing it."""
        return self._attempts.may_have_executed(request)

    def handle_disconnect(self, request: Request) -> None:
        """Handle the client's disconnection. Its attempt is cancelled, even one that is being answered."""
        self._requests.handle_disconnect(request)

    # Updates of the endpoint list and the configuration.

    def update_endpoints(self, full: bool, endpoints: tuple[Endpoint, ...]) -> None:
        """Apply an endpoint list: the complete list (`full`), or the endpoints that changed.

        Attempts that wait for a connection to a replica that no longer accepts requests are withdrawn. Otherwise they
        would be sent long after the list was received.
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
            self._attempts.withdraw_unlisted(attempt)

    def reconfigure(self, deployment: Deployment) -> None:
        """Apply new settings for the same classes, kinds and zones. Requests, attempts and statistics are kept."""
        self.deployment = deployment
        self._requests.deployment = deployment
        self._attempts.deployment = deployment
        self.router.reconfigure(deployment.router)

    # Calls from the backend.

    def health_check_ended(self, replica: int, outcome: Outcome, load: ReportedLoad | None) -> None:
        """Record the end of a health check. `load` is as in `HealthCheckEnded`."""
        self.counters.probes[outcome] += 1
        now = self.clock()
        sent_at = self._health_checks_sent_at.pop(replica, now)
        self._events.feed(HealthCheckEnded(replica, outcome, now - sent_at, load))

    # Actions of the router.

    def _perform(self, event: Event, actions: Iterable[Action]) -> None:
        for action in actions:
            self._perform_action(action)
        if not isinstance(event, EndpointsUpdated | TimerFired | HealthCheckEnded):
            self._requests.remove_if_ended(event.request)

    def _perform_action(self, action: Action) -> None:
        match action:
            case SetTimer(timer, delay):
                # Counted from now, the timer would fire later than the router expects; after a stall, it could fire
                # later than the request's deadline, at which the core fails the request.
                self.deadlines.schedule_at(
                    self._events.event_time + delay, lambda: self._events.feed(TimerFired(timer))
                )
            case LogMessage(text):
                logger.info("router: {text}", text=text)
            case SendHealthCheck(replica):
                self._health_checks_sent_at[replica] = self.clock()
                self._required_backend().check_health(replica)
            case _:
                request = self.requests.get(action.request)
                if request:
                    self._perform_supervised(request, action)

    def _perform_supervised(self, request: Request, action: Action) -> None:
        """Perform an action. An exception ends its request, and none of the router's other actions."""
        try:
            self._perform_on_request(request, action)
        except Exception as error:
            self._requests.abandon(request, error)

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
                logger.warning("request {request}: MigrateStream is not supported; ignored", request=request.number)
