"""The lifecycle of requests: placed, sent, continued after each attempt, and finally answered.

Each step returns the actions that carry it out. `placement` chooses the replica of a request, `retry_policy` decides
whether it is retried, and `attempt_accounting` counts the load that attempts add to replicas.
"""

from __future__ import annotations

from pearhill.routing.actions import Action, CancelAttempt, QueryLoad, ReleaseState, SendAttempt
from pearhill.routing.attempt_accounting import AttemptAccounting
from pearhill.routing.events import AttemptEnded, RequestArrived
from pearhill.routing.load_estimates import LoadEstimates
from pearhill.routing.local_prefill import LocalPrefill
from pearhill.routing.outcomes import Outcome, Reason
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.placement import Assign, Decision, Decline, Placement, QueryFirst
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


class RequestFlow:
    """Takes requests from their arrival to their final answer. Times are in microseconds.

    `pending` has the requests by number, each until its final answer and the end of its last attempt.
    """

    def __init__(
        self,
        settings: RouterSettings,
        placement: Placement,
        accounting: AttemptAccounting,
        loads: LoadEstimates,
        local_prefill: LocalPrefill,
        retry_budget: RetryBudget,
    ) -> None:
        self.settings = settings
        self.pending: dict[int, PendingRequest] = {}
        self._placement = placement
        self._accounting = accounting
        self._loads = loads
        self._local_prefill = local_prefill
        self._retry_budget = retry_budget

    def accept(self, now: int, request: RequestArrived) -> PendingRequest:
        """Create the record of a request, which needs a final answer from now on."""
        spec = self.settings.classes[request.request_class]
        per_token = spec.latency_objective_per_1000_tokens * request.prompt_tokens / 1000
        objective_at = int(now + (spec.latency_objective + per_token))
        pending = PendingRequest(request, now + request.timeout, objective_at)
        self.pending[request.request] = pending
        return pending

    def in_flight_at(self, request: int, replica: int) -> tuple[PendingRequest, ReplicaState] | None:
        """Return the request and the replica if the request's attempt there is in flight, else None."""
        pending = self.pending.get(request)
        if pending is None or not pending.in_flight or pending.replica is None or pending.replica.id != replica:
            return None
        return pending, pending.replica

    # Placement.

    def place(self, now: int, pending: PendingRequest) -> list[Action]:
        """Place the request's next stage: decoding if a replica holds its state, else prefilling."""
        if pending.state_holder is not None:
            decision = self._placement.place_prefilled(now, pending)
        else:
            decision = self._placement.place_prompt(now, pending)
        return self._carry_out(now, pending, decision)

    def place_after_query(self, now: int, request: int) -> list[Action]:
        """Place a request whose load query was answered, if it still needs a replica."""
        pending = self.pending.get(request)
        if pending is None or pending.answered or pending.in_flight:
            return []
        return self.place(now, pending)

    def _carry_out(self, now: int, pending: PendingRequest, decision: Decision) -> list[Action]:
        match decision:
            case Assign():
                pending.home = decision.home
                self._local_prefill.spend(decision.local_tokens)
                return [self._send(now, pending, decision.replica)]
            case QueryFirst():
                pending.last_query = pending.query_key
                pending.queried_replicas = decision.replicas
                replicas = tuple(replica.id for replica in decision.replicas)
                return [QueryLoad(pending.request.request, replicas)]
            case Decline():
                return self._end_unanswered(pending, decision.reason)

    def _send(self, now: int, pending: PendingRequest, replica: ReplicaState) -> SendAttempt:
        self._accounting.begin(now, pending, replica)
        expected = self._loads.expected_time(now, replica, pending.service_tokens, not pending.fetches_state)
        release_at = release_time(pending, self.settings)
        timeout = attempt_timeout(pending, self.settings, now, expected)
        send_before = send_deadline(pending, self.settings, release_at)
        return SendAttempt(pending.request.request, replica.id, timeout, send_before, release_at)

    # After an attempt.

    def continue_after(self, now: int, event: AttemptEnded, pending: PendingRequest) -> list[Action]:
        """Continue after the end of an attempt: end the request, start its decode stage, or retry.

        The attempt's load must have been taken off its replica before.
        """
        if event.answered or pending.answered:
            del self.pending[event.request]
            return [ReleaseState(event.request)]
        if event.outcome == Outcome.PREFILLED:
            return self.place(now, pending)
        if event.outcome == Outcome.WITHDRAWN:  # never begun, so it counts neither as an attempt nor as a retry
            pending.attempt -= 1
            self._retry_budget.refund()
        return self._retry(now, pending)

    def _retry(self, now: int, pending: PendingRequest) -> list[Action]:
        """Retry after a failed attempt if that is allowed, else give the final answer."""
        if not has_attempts_left(pending, self.settings):
            return self._end_unanswered(pending, Reason.ATTEMPTS_USED)
        if not self._retry_budget.take():
            return self._end_unanswered(pending, Reason.RETRY_BUDGET_EMPTY)
        if holds_state(pending, self.settings, now):
            return self.place(now, pending)
        # A state may still be held: its replica became unreachable, or no decode replica could be connected to.
        pending.state_holder = None
        return [ReleaseState(pending.request.request), *self.place(now, pending)]

    # The end.

    def deadline_reached(self, request: int) -> list[Action]:
        """Give the final answer shortly before the client's deadline, unless a replica's answer has begun."""
        pending = self.pending.get(request)
        if pending is None or pending.answered or pending.response_started:
            return []
        return self._end_unanswered(pending, Reason.DEADLINE_EXCEEDED)

    def disconnect(self, request: int) -> list[Action]:
        """End a request whose client has disconnected. It needs no answer any more."""
        pending = self.pending.get(request)
        return [] if pending is None else self._finish(pending)

    def _end_unanswered(self, pending: PendingRequest, reason: Reason) -> list[Action]:
        """Give the final answer, and release the state held for the request."""
        answer = final_answer(pending, self.settings, reason)
        return [answer, *self._finish(pending)]

    def _finish(self, pending: PendingRequest) -> list[Action]:
        """Mark the request as answered, and cancel its attempt or release its state.

        Neither an answer nor a disconnect releases a state, so it would otherwise stay held.
        """
        pending.answered = True
        number = pending.request.request
        if not pending.in_flight:
            del self.pending[number]
            return [ReleaseState(number)]
        if self.settings.may_cancel and not pending.response_started:
            return [CancelAttempt(number, pending.attempt)]
        return []
