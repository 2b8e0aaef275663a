"""The router: events in, actions out. It keeps the state that the decisions of one dispatcher rest on.

Where a request goes is decided in `placement`, whether it is tried again in `retry_policy` and `permissions`, which
replicas are left out in `outlier_detection` and `slow_start`, what is shed in `admission`. Each of them reads what is
known and a clock; only the router changes the state of requests and replicas, and appends actions.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    QueryLoad,
    RejectRequest,
    ReleaseState,
    SendAttempt,
    SetTimer,
)
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
from pearhill.routing.outcomes import Outcome, Reason
from pearhill.routing.outlier_detection import OutlierDetector
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.placement import Assign, Decision, Decline, Placement, QueryFirst
from pearhill.routing.prefix_affinity import PrefixAffinity
from pearhill.routing.replica_registry import ReplicaRegistry
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.retry_policy import (
    RetryBudget,
    attempt_timeout,
    final_answer,
    has_attempts_left,
    holds_state,
    release_time,
    send_deadline,
)
from pearhill.routing.settings import RouterSettings
from pearhill.routing.slow_start import SlowStart
from pearhill.routing.statistics import STEP_INTERVAL_US

DEADLINE_MARGIN_TICKS = 4  # the final answer comes so many ticks before the client's time is over

STEP_TIMER = -1  # what the timer of the periodic step is for; any other is for a request
UNKNOWN_TIMER = -2


class Router:
    """One dispatcher's router: feed it each event with its time in microseconds, carry out its actions in order."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.settings = settings
        self.now = 0
        self.actions: list[Action] = []
        self.pending: dict[int, PendingRequest] = {}
        self.timers: dict[int, int] = {}  # what each timer is for: a request, or the periodic step
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
        self._handlers: dict[type, Callable[[Any], None]] = {
            EndpointsUpdated: self._endpoints_updated,
            RequestArrived: self._request_arrived,
            ResponseStarted: self._response_started,
            AttemptEnded: self._attempt_ended,
            ClientDisconnected: self._client_disconnected,
            TimerFired: self._timer_fired,
            LoadKnown: self._load_known,
        }

    def reconfigure(self, settings: RouterSettings) -> None:
        """Other settings for the same classes, kinds and zones."""
        self.settings = settings
        self._registry.settings = settings
        self.slow_start.settings = settings
        self.placement.settings = settings
        self.accounting.settings = settings
        self.admission.reconfigure(settings)

    def handle(self, now: int, event: Event) -> list[Action]:
        """One event in, the actions it asks for out."""
        self.now = now
        self.actions = []
        if not self._last_timer:
            self._set_timer(STEP_TIMER, STEP_INTERVAL_US)
        self._handlers[type(event)](event)
        return self.actions

    # The endpoint list.

    def _endpoints_updated(self, event: EndpointsUpdated) -> None:
        lost = self._registry.update(event)
        if not self.settings.may_cancel:
            return
        for attempt in lost:  # at a lost replica each would wait for its whole time-out
            self.actions.append(CancelAttempt(attempt.request, attempt.attempt))

    # A request's life.

    def _request_arrived(self, request: RequestArrived) -> None:
        if is_over_budget(request):
            retry_after = request.retry_after if self.settings.retry_hints else 0
            self.actions.append(RejectRequest(request.request, retry_after, Reason.OVER_BUDGET))
            return
        spec = self.settings.classes[request.request_class]
        per_token = spec.latency_objective_per_1000_tokens * request.prompt_tokens / 1000
        objective_at = int(self.now + (spec.latency_objective + per_token))
        pending = PendingRequest(request, self.now + request.timeout, objective_at)
        self.pending[request.request] = pending
        self.affinity.record_arrival(self.now, request)
        margin = DEADLINE_MARGIN_TICKS * self.settings.tick
        self._set_timer(request.request, max(1, request.timeout - margin))
        self.admission.record_arrival(request)
        self.local_prefill.record_arrival(request.prompt_tokens)
        self.retry_budget.record_arrival()
        self._place_prompt(pending)

    def _place_prompt(self, pending: PendingRequest) -> None:
        self._carry_out(pending, self.placement.place_prompt(self.now, pending))

    def _place_prefilled(self, pending: PendingRequest) -> None:
        self._carry_out(pending, self.placement.place_prefilled(self.now, pending))

    def _carry_out(self, pending: PendingRequest, decision: Decision) -> None:
        match decision:
            case Assign():
                pending.home = decision.home
                self.local_prefill.spend(decision.local_tokens)
                self._send(pending, decision.replica)
            case QueryFirst():
                pending.last_query = pending.query_key
                pending.queried_replicas = decision.replicas
                replicas = tuple(replica.id for replica in decision.replicas)
                self.actions.append(QueryLoad(pending.request.request, replicas))
            case Decline():
                self._give_up(pending, decision.reason)

    def _load_known(self, event: LoadKnown) -> None:
        for report in event.reports:
            replica = self.replicas.get(report.replica)
            if replica is not None:
                self.loads.record_report(self.now, replica, report)
        pending = self.pending.get(event.request)
        if pending is None or pending.answered or pending.in_flight:
            return
        if pending.state_holder is not None:
            self._place_prefilled(pending)
        else:
            self._place_prompt(pending)

    def _send(self, pending: PendingRequest, replica: ReplicaState) -> None:
        self.accounting.begin(self.now, pending, replica)
        expected = self.loads.expected_time(self.now, replica, pending.service_tokens, not pending.fetches_state)
        release_at = release_time(pending, self.settings)
        timeout = attempt_timeout(pending, self.settings, self.now, expected)
        send_before = send_deadline(pending, self.settings, release_at)
        self.actions.append(SendAttempt(pending.request.request, replica.id, timeout, send_before, release_at))

    def _in_flight_at(self, request: int, replica: int) -> PendingRequest | None:
        """The request, if its attempt at this replica is in flight."""
        pending = self.pending.get(request)
        if pending is None or not pending.in_flight or pending.replica is None or pending.replica.id != replica:
            return None
        return pending

    def _response_started(self, event: ResponseStarted) -> None:
        pending = self._in_flight_at(event.request, event.replica)
        if pending is None:
            return
        assert pending.replica is not None
        self.accounting.start_response(pending, pending.replica)
        self.actions += self.feedback.response_started(self.now, pending, pending.replica, event.elapsed)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        pending = self._in_flight_at(event.request, event.replica)
        if pending is None:
            return
        assert pending.replica is not None
        replica = pending.replica
        self.accounting.end(self.now, event, pending, replica)
        self.actions += self.feedback.attempt_ended(self.now, event, pending, replica)
        self._continue(event, pending)

    def _continue(self, event: AttemptEnded, pending: PendingRequest) -> None:
        """After an attempt: the end of the request, its decode stage, or a retry."""
        if event.answered or pending.answered:
            self.actions.append(ReleaseState(event.request))
            del self.pending[event.request]
            return
        if event.outcome == Outcome.PREFILLED:
            self._place_prefilled(pending)
            return
        if event.outcome == Outcome.WITHDRAWN:  # never begun: it counts neither as an attempt nor as a retry
            pending.attempt -= 1
            self.retry_budget.refund()
        self._retry(pending)

    def _retry(self, pending: PendingRequest) -> None:
        """An attempt has failed: try elsewhere while that is allowed and of use."""
        if not has_attempts_left(pending, self.settings):
            self._give_up(pending, Reason.ATTEMPTS_USED)
            return
        if not self.retry_budget.take():
            self._give_up(pending, Reason.RETRY_BUDGET_EMPTY)
            return
        if holds_state(pending, self.settings, self.now):
            self._place_prefilled(pending)
            return
        # A state may wait at a replica that was cut off, or while no decode replica's connection comes up.
        pending.state_holder = None
        self.actions.append(ReleaseState(pending.request.request))
        self._place_prompt(pending)

    def _give_up(self, pending: PendingRequest, reason: Reason) -> None:
        """The final answer; whatever is held for the request is released."""
        self.actions.append(final_answer(pending, self.settings, reason))
        self._close(pending)

    def _client_disconnected(self, event: ClientDisconnected) -> None:
        pending = self.pending.get(event.request)
        if pending is not None:
            self._close(pending)

    def _close(self, pending: PendingRequest) -> None:
        """No answer is owed any more. A state would stay held: neither an answer nor a disconnect releases it."""
        pending.answered = True
        number = pending.request.request
        if not pending.in_flight:
            del self.pending[number]
            self.actions.append(ReleaseState(number))
        elif self.settings.may_cancel and not pending.response_started:
            self.actions.append(CancelAttempt(number, pending.attempt))

    # Timers.

    def _set_timer(self, purpose: int, delay: int) -> None:
        self._last_timer += 1
        self.timers[self._last_timer] = purpose
        self.actions.append(SetTimer(self._last_timer, delay))

    def _timer_fired(self, event: TimerFired) -> None:
        purpose = self.timers.pop(event.timer, UNKNOWN_TIMER)
        if purpose == STEP_TIMER:
            self._step()
            return
        pending = self.pending.get(purpose)
        if pending is not None and not pending.answered and not pending.response_started:
            self._give_up(pending, Reason.DEADLINE_EXCEEDED)

    def _step(self) -> None:
        """Every `STEP_INTERVAL_US`: estimates are updated and decay."""
        self._set_timer(STEP_TIMER, STEP_INTERVAL_US)
        self.feedback.record_waiting(self.now)
        self.local_prefill.step()
        self.affinity.step()
        self.admission.step()
        self.slow_start.step()
