"""The router: passes events and timers to the modules that decide, and connects these modules.

The router takes events and returns actions. `replica_registry` keeps the replicas, `request_flow` the requests.
`attempt_accounting` counts the load of attempts, and `attempt_feedback` updates the estimates from their course. The
decisions depend on these and on the time alone: `placement`, `retry_policy`, `permissions`, `outlier_detection`,
`slow_start`, `admission`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from pearhill.routing.actions import Action, CancelAttempt, RejectRequest, SetTimer
from pearhill.routing.admission import Admission, is_over_budget
from pearhill.routing.attempt_accounting import AttemptAccounting
from pearhill.routing.attempt_feedback import AttemptFeedback
from pearhill.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    LoadKnown,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.load_estimates import LoadEstimates
from pearhill.routing.local_prefill import LocalPrefill
from pearhill.routing.outcomes import Reason
from pearhill.routing.outlier_detection import OutlierDetector
from pearhill.routing.placement import Placement
from pearhill.routing.prefix_affinity import PrefixAffinity
from pearhill.routing.replica_registry import ReplicaRegistry
from pearhill.routing.request_flow import RequestFlow
from pearhill.routing.retry_policy import RetryBudget
from pearhill.routing.settings import RouterSettings
from pearhill.routing.slow_start import SlowStart
from pearhill.routing.statistics import STEP_INTERVAL_US

DEADLINE_MARGIN_TICKS = 4  # the final answer is given this many ticks before the client's deadline

STEP_TIMER = -1  # purpose of the periodic step's timer; other timers have a request's number
UNKNOWN_TIMER = -2


class Router:
    """One dispatcher's router.

    The caller passes each event with its time in microseconds, and carries out the returned actions in order.
    """

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.settings = settings
        self.now = 0
        self.timers: dict[int, int] = {}  # purpose of each timer: a request's number, or the periodic step
        self._last_timer = 0

        rng = random.Random(seed)
        self._registry = ReplicaRegistry(settings, rng)
        self.replicas = self._registry.replicas
        self.ready = self._registry.ready
        self.slow_start = SlowStart(settings, tuple(self.ready))
        self.affinity = PrefixAffinity()
        self.loads = LoadEstimates(settings, self.affinity)
        self.outliers = OutlierDetector()
        self.admission = Admission(settings)
        self.local_prefill = LocalPrefill()
        self.accounting = AttemptAccounting(settings, self.ready, self.affinity, self.loads)
        self.feedback = AttemptFeedback(
            self.ready, self.slow_start, self.outliers, self.affinity, self.loads, self.local_prefill
        )
        self.retry_budget = RetryBudget()
        self.placement = Placement(
            settings,
            rng,
            self.ready,
            self.slow_start,
            self.outliers,
            self.affinity,
            self.loads,
            self.admission,
            self.local_prefill,
        )
        self._flow = RequestFlow(
            settings, self.placement, self.accounting, self.loads, self.local_prefill, self.retry_budget
        )
        self.pending = self._flow.pending
        self._handlers: dict[type, Callable[[Any], list[Action]]] = {
            EndpointsUpdated: self._endpoints_updated,
            RequestArrived: self._request_arrived,
            ResponseStarted: self._response_started,
            AttemptEnded: self._attempt_ended,
            ClientDisconnected: self._client_disconnected,
            TimerFired: self._timer_fired,
            LoadKnown: self._load_known,
        }

    def reconfigure(self, settings: RouterSettings) -> None:
        """Use other settings from now on, for the same classes, kinds and zones."""
        self.settings = settings
        self._registry.settings = settings
        self.slow_start.settings = settings
        self.placement.settings = settings
        self.accounting.settings = settings
        self._flow.settings = settings
        self.admission.reconfigure(settings)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event, and return the actions that it causes."""
        self.now = now
        if self._last_timer:
            return self._handlers[type(event)](event)
        first_step = self._set_timer(STEP_TIMER, STEP_INTERVAL_US)
        return [first_step, *self._handlers[type(event)](event)]

    # Events.

    def _endpoints_updated(self, event: EndpointsUpdated) -> list[Action]:
        unanswered = self._registry.update(event)
        if not self.settings.may_cancel:
            return []
        # Attempts at an unlisted replica would otherwise wait for their whole time-out.
        return [CancelAttempt(attempt.request, attempt.attempt) for attempt in unanswered]

    def _request_arrived(self, request: RequestArrived) -> list[Action]:
        if is_over_budget(request):
            retry_after = request.retry_after if self.settings.retry_hints else 0
            return [RejectRequest(request.request, retry_after, Reason.OVER_BUDGET)]
        pending = self._flow.accept(self.now, request)
        self.affinity.record_arrival(self.now, request)
        self.admission.record_arrival(request)
        self.local_prefill.record_arrival(request.prompt_tokens)
        self.retry_budget.record_arrival()
        margin = DEADLINE_MARGIN_TICKS * self.settings.tick
        deadline = self._set_timer(request.request, max(1, request.timeout - margin))
        return [deadline, *self._flow.place(self.now, pending)]

    def _load_known(self, event: LoadKnown) -> list[Action]:
        for report in event.reports:
            replica = self.replicas.get(report.replica)
            if replica is not None:
                self.loads.record_report(self.now, replica, report)
        return self._flow.place_after_query(self.now, event.request)

    def _response_started(self, event: ResponseStarted) -> list[Action]:
        in_flight = self._flow.in_flight_at(event.request, event.replica)
        if in_flight is None:
            return []
        pending, replica = in_flight
        self.accounting.start_response(pending, replica)
        return self.feedback.response_started(self.now, pending, replica, event.elapsed)

    def _attempt_ended(self, event: AttemptEnded) -> list[Action]:
        in_flight = self._flow.in_flight_at(event.request, event.replica)
        if in_flight is None:
            return []
        pending, replica = in_flight
        self.accounting.end(self.now, event, pending, replica)
        log_lines = self.feedback.attempt_ended(self.now, event, pending, replica)
        return [*log_lines, *self._flow.continue_after(self.now, event, pending)]

    def _client_disconnected(self, event: ClientDisconnected) -> list[Action]:
        return self._flow.disconnect(event.request)

    # Timers.

    def _set_timer(self, purpose: int, delay: int) -> SetTimer:
        self._last_timer += 1
        self.timers[self._last_timer] = purpose
        return SetTimer(self._last_timer, delay)

    def _timer_fired(self, event: TimerFired) -> list[Action]:
        purpose = self.timers.pop(event.timer, UNKNOWN_TIMER)
        if purpose == STEP_TIMER:
            return [self._step()]
        return self._flow.deadline_reached(purpose)

    def _step(self) -> SetTimer:
        """Update the estimates every `STEP_INTERVAL_US`, and let them decay. Returns the timer of the next step."""
        self.feedback.record_unfinished_prefills(self.now)
        self.local_prefill.step()
        self.affinity.step()
        self.admission.step()
        self.slow_start.step()
        return self._set_timer(STEP_TIMER, STEP_INTERVAL_US)
