"""The lifecycle of attempts, from the router's choice of a replica to the end of the attempt.

A request has at most one attempt in flight, and no attempt is sent without permission.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pearhill.core.backend import Backend
from pearhill.core.deadlines import Deadlines
from pearhill.core.endpoint_list import EndpointList
from pearhill.core.request import Attempt, Request
from pearhill.core.request_ids import RequestIds
from pearhill.core.request_lifecycle import RequestLifecycle
from pearhill.core.request_log import log_attempt_ended, log_fault, log_state, log_unconfirmed_fetch
from pearhill.counters import Counters
from pearhill.routing.actions import SendAttempt
from pearhill.routing.events import AttemptEnded, Event, ResponseStarted
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome
from pearhill.routing.permissions import Denied, Execution, attempt_denial, retry_denial, send_denial
from pearhill.routing.settings import Idempotency
from pearhill.routing.topology import Role
from pearhill.settings import Deployment

# A router that requests one of these has a fault in its bookkeeping. The other reasons arise without any fault, when an
# event occurs while the action for an earlier one is on its way.
VIOLATIONS = (Denied.ATTEMPT_IN_FLIGHT, Denied.MAY_HAVE_EXECUTED, Denied.OUT_OF_SCOPE)


class AttemptLifecycle:
    """Sends attempts and ends each of them exactly once. It owns every `Attempt`."""

    def __init__(
        self,
        deployment: Deployment,
        deadlines: Deadlines,
        counters: Counters,
        endpoints: EndpointList,
        requests: RequestLifecycle,
        backend: Callable[[], Backend],
        feed: Callable[[Event], None],
        request_ids: RequestIds,
    ) -> None:
        self.deployment = deployment
        self.deadlines = deadlines
        self._clock = deadlines.clock
        self._counters = counters
        self._endpoints = endpoints
        self._requests = requests
        self._backend = backend
        self._feed = feed
        self._request_ids = request_ids

    # Calls for the router's actions.

    def send(self, request: Request, action: SendAttempt) -> None:
        """Send an attempt. An attempt that a rule denies ends as NOT_SENT instead."""
        now = self._clock()
        if not request.answered and request.client.has_disconnected():  # Checked before a connection is opened.
            self._requests.handle_disconnect(request)
        attempt = self._next_attempt(request, action, now)
        denied = self._denial(attempt)
        if denied:
            if denied in VIOLATIONS:
                self._requests.record_violation(request, denied)
            self._end_denied(attempt)
            return
        request.current_attempt = attempt
        self._counters.sent += 1
        if attempt.index:
            self._counters.retries[request.last_outcome] += 1
        after = request.last_outcome or "arrival"
        log_state(request, "sent", f"n={attempt.index} replica={attempt.replica} after={after}")
        self._backend().send(attempt)

    def _next_attempt(self, request: Request, action: SendAttempt, now: int) -> Attempt:
        index = request.attempts
        request.attempts += 1
        return Attempt(
            self,
            request,
            index,
            action.replica,
            now,
            min(now + action.attempt_timeout, request.deadline),
            action.send_before,
            action.release_at,
            self._endpoints.by_replica.get(action.replica),
        )

    def _denial(self, attempt: Attempt) -> Denied | None:
        """Return the rule that denies an attempt, whatever the router chose, or None if the attempt may be sent.

        The endpoint list is checked as it is now. If a later list removes the replica before the first byte of the
        attempt is written, the attempt is withdrawn at that time.
        """
        request = attempt.request
        settings = self.deployment.router
        denied = attempt_denial(
            request.answered,
            request.current_attempt is not None,
            self._endpoints.accepts_requests(attempt.replica),
            settings.max_attempts - attempt.index,
        )
        if denied:
            return denied
        endpoint = attempt.endpoint
        if endpoint is None or not self._has_effect(attempt):
            return None
        request_class = settings.classes[request.request_class]
        return retry_denial(request_class, request.execution, endpoint.zone, endpoint.cell, self._clock())

    def _has_effect(self, attempt: Attempt) -> bool:
        """Return whether the replica executes the request. A prefill has no effect."""
        if attempt.endpoint is None:
            return False
        return self.deployment.router.kinds[attempt.endpoint.kind].role != Role.PREFILL

    def _must_not_repeat(self, attempt: Attempt) -> bool:
        """Return whether the replica executes the request, and another execution would not be harmless."""
        request_class = self.deployment.router.classes[attempt.request.request_class]
        return request_class.idempotency != Idempotency.IDEMPOTENT and self._has_effect(attempt)

    def may_have_executed(self, request: Request) -> bool:
        """Return whether a replica may have executed the request, or may be executing it."""
        attempt = request.current_attempt
        if request.execution is not None or attempt is None:
            return request.execution is not None
        return self._has_effect(attempt) and self._backend().may_have_been_sent(attempt)

    def _end_denied(self, attempt: Attempt) -> None:
        """End an attempt that was denied.

        Its request is answered, has another attempt in flight or no attempt left, or may not be sent to the replica.
        """
        attempt.ended = True
        attempt.cancel_timers()
        request = attempt.request
        self._feed(
            AttemptEnded(request.number, attempt.index, attempt.replica, Outcome.NOT_SENT, request.answered, 0, 0, None)
        )

    # Calls from the backend.

    def may_start(self, attempt: Attempt) -> bool:
        """Check for the last time, before the first byte is written, whether the attempt may be sent.

        While the connection was being opened, the client may have disconnected, or the time limit for writing the
        attempt may have passed. A busy event loop may not have processed either of them yet. Returns False if the
        attempt has ended.
        """
        if not attempt.ended and attempt.request.client.has_disconnected():
            self._requests.handle_disconnect(attempt.request)
        if send_denial(self._clock(), attempt.send_before):
            self.withdraw(attempt)
        if attempt.ended:
            return False
        if self._must_not_repeat(attempt):
            self._request_ids.record_execution(attempt.request.id)
        return True

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt that may no longer be written.

        Its last byte may have been sent in this same tick of the event loop, before the writer was notified. An
        attempt that is at least partly written may have been executed, so it ends as TIMEOUT.
        """
        if attempt.ended:
            return
        sent = self._backend().cancel(attempt)
        self.end(attempt, Outcome.TIMEOUT if sent else Outcome.WITHDRAWN, may_hold_state=sent)

    def start_response(self, attempt: Attempt) -> bool:
        """Record the first event of the answer, which ends the deadlines of the attempt and of its request.

        Returns False if the attempt has ended or its request is answered.
        """
        request = attempt.request
        if attempt.ended or request.answered:
            return False
        if attempt.response_started:
            return True
        attempt.response_started = True
        attempt.cancel_timers()
        self._requests.cancel_deadline(request)
        request.state_holders.clear()  # The state was fetched; its holders release it with the first event.
        elapsed = self._clock() - attempt.sent_at
        self._feed(ResponseStarted(request.number, attempt.index, attempt.replica, elapsed))
        return True

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cached_tokens: int = 0,
        may_hold_state: bool = False,
        retry_after: int = 0,
        replica_error: Any = None,
    ) -> None:
        """End the attempt. Answer the client if this is its final answer, and pass the outcome to the router."""
        if attempt.ended:
            return
        elapsed = self._detach(attempt, outcome)
        self._record_effects(attempt, outcome, may_hold_state)
        self._answer_client(attempt, outcome, replica_error)
        request = attempt.request
        self._feed(
            AttemptEnded(
                request.number,
                attempt.index,
                attempt.replica,
                outcome,
                request.answered,
                cached_tokens,
                elapsed,
                None,
                retry_after,
            )
        )

    def _detach(self, attempt: Attempt, outcome: Outcome) -> int:
        """Detach the attempt from its request and count it. Returns the microseconds since it was sent."""
        attempt.ended = True
        attempt.cancel_timers()
        attempt.request.current_attempt = None
        if outcome == Outcome.WITHDRAWN:
            attempt.request.attempts -= 1  # It does not count towards the limit of attempts.
        self._counters.outcomes[outcome] += 1
        elapsed = self._clock() - attempt.sent_at
        log_attempt_ended(attempt, outcome, elapsed)
        return elapsed

    def _record_effects(self, attempt: Attempt, outcome: Outcome, may_hold_state: bool) -> None:
        """Record on the request what the attempt may have caused: state at its replica, or the request's execution."""
        request = attempt.request
        if may_hold_state and not attempt.response_started:
            request.state_holders.add(attempt.replica)
        if outcome == Outcome.PREFILLED:
            request.prefill_replica = attempt.replica
        endpoint = attempt.endpoint
        if outcome not in NOT_EXECUTED and endpoint and self._has_effect(attempt) and request.execution is None:
            request.execution = Execution(endpoint.zone, endpoint.cell, attempt.sent_at)
        request.last_outcome = outcome

    def _answer_client(self, attempt: Attempt, outcome: Outcome, replica_error: Any) -> None:
        """Send the client its final answer, if the end of this attempt is one."""
        request = attempt.request
        if request.answered:
            return
        if outcome == Outcome.ANSWERED:
            self._requests.complete(request)
        elif attempt.response_started:
            self._requests.abort_answer(attempt, outcome)
        elif replica_error is not None:
            self._requests.decline(request, replica_error)

    def abandon(self, attempt: Attempt, error: Exception) -> None:
        """End the attempt's request after an exception. If the attempt has ended before, another may be in flight."""
        if attempt.ended:
            log_fault(attempt.request, error)
            self._counters.faults += 1
        else:
            self._requests.abandon(attempt.request, error)

    # Calls from timers, from the endpoint list, and for a client that has disconnected.

    def expire(self, attempt: Attempt) -> None:
        """Time out the attempt.

        Its connection is closed first: otherwise the next attempt would be a second one in flight.
        """
        self._close_and_end(attempt, Outcome.TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel the attempt, because its answer is no longer needed."""
        self._close_and_end(attempt, Outcome.CANCELLED)

    def withdraw_unlisted(self, attempt: Attempt) -> None:
        """Withdraw an attempt whose replica was removed from the endpoint list before the first byte was written."""
        self._close_and_end(attempt, Outcome.WITHDRAWN)

    def release_unless_fetched(self, attempt: Attempt) -> None:
        """Release the state that the attempt fetches, unless the attempt has arrived at its replica.

        The replica has not responded yet. Data written to an unresponsive connection may never arrive, and the state
        has to be released by a fixed time. If the attempt did arrive, the holders of the state ignore the release.
        """
        request = attempt.request
        if attempt.ended or not request.state_holders or not self._backend().may_have_been_sent(attempt):
            return
        self._counters.unconfirmed += 1
        log_unconfirmed_fetch(attempt)
        self._backend().release_unless_fetched(request, set(request.state_holders))

    def _close_and_end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Close the attempt's connection, and end the attempt unless its outcome was found while closing."""
        if attempt.ended:
            return
        sent = self._backend().cancel(attempt)
        if not sent:
            outcome = self._unsent_outcome(attempt)
        # A prefill may have succeeded just as its connection was closed; its replica then still holds the state.
        self.end(attempt, outcome, may_hold_state=sent)

    def _unsent_outcome(self, attempt: Attempt) -> Outcome:
        """Return the outcome of an attempt that was never sent completely.

        It counts as a fault of the replica only if the replica is listed and the client is still connected.
        """
        if not self._endpoints.accepts_requests(attempt.replica):
            return Outcome.WITHDRAWN
        if attempt.request.client_disconnected:
            return Outcome.NOT_SENT
        return Outcome.UNREACHABLE
