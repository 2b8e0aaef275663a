"""Attempts from the router's choice to their end: at most one of a request is out, and none without permission."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pearhill.core.backend import Backend
from pearhill.core.deadlines import Deadlines
from pearhill.core.endpoint_list import EndpointList
from pearhill.core.request import Attempt, Request
from pearhill.core.request_lifecycle import RequestLifecycle
from pearhill.core.request_log import log_attempt_ended, log_state, log_unconfirmed_fetch
from pearhill.counters import Counters
from pearhill.routing.actions import SendAttempt
from pearhill.routing.events import AttemptEnded, Event, ResponseStarted
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome
from pearhill.routing.permissions import Denied, Execution, attempt_denial, retry_denial, send_denial
from pearhill.routing.topology import Role
from pearhill.settings import Deployment

# A router that requests these has lost count. The other reasons arise where events cross, and are no fault.
VIOLATIONS = (Denied.ATTEMPT_IN_FLIGHT, Denied.MAY_HAVE_EXECUTED, Denied.OUT_OF_SCOPE)


class AttemptLifecycle:
    """Sends attempts, and ends each of them once; the owner of every `Attempt`."""

    def __init__(
        self,
        deployment: Deployment,
        deadlines: Deadlines,
        counters: Counters,
        endpoints: EndpointList,
        requests: RequestLifecycle,
        backend: Callable[[], Backend],
        feed: Callable[[Event], None],
    ) -> None:
        self.deployment = deployment
        self.deadlines = deadlines
        self._clock = deadlines.clock
        self._counters = counters
        self._endpoints = endpoints
        self._requests = requests
        self._backend = backend
        self._feed = feed

    # From the router.

    def send(self, request: Request, action: SendAttempt) -> None:
        """Make an attempt, unless it is denied: then it ends as NOT_SENT."""
        now = self._clock()
        if not request.answered and request.client.has_disconnected():  # No connection is opened for it then.
            self._requests.handle_disconnect(request)
        attempt = self._next_attempt(request, action, now)
        denied = self._denied(attempt)
        if denied:
            if denied in VIOLATIONS:
                self._requests.record_violation(request, denied)
            self._end_unsent(attempt)
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

    def _denied(self, attempt: Attempt) -> Denied | None:
        """Why an attempt may not be made, whatever the router chose; None: it may.

        What is not under way when a later endpoint list takes its replica away is withdrawn then.
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
        """Whether the replica answers the request: a prefill has no effect."""
        if attempt.endpoint is None:
            return False
        return self.deployment.router.kinds[attempt.endpoint.kind].role != Role.PREFILL

    def _end_unsent(self, attempt: Attempt) -> None:
        """Not sent: the request is answered, has another attempt out, or has no attempt left."""
        attempt.ended = True
        attempt.cancel_timers()
        request = attempt.request
        self._feed(
            AttemptEnded(request.number, attempt.index, attempt.replica, Outcome.NOT_SENT, request.answered, 0, 0, None)
        )

    # From the backend.

    def may_start(self, attempt: Attempt) -> bool:
        """The last check before the first byte; False: the attempt is over.

        While its connection came up the client may have gone, or the time may have ended by which it has to be
        written; and in a busy event loop neither may have been noticed yet.
        """
        if not attempt.ended and attempt.request.client.has_disconnected():
            self._requests.handle_disconnect(attempt.request)
        if send_denial(self._clock(), attempt.send_before):
            self.withdraw(attempt)
        return not attempt.ended

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt that no longer may be written.

        Its last byte may have gone out in this very tick of the event loop, before the writer was notified: one that
        has begun to be written may have been executed, so it ends as TIMEOUT.
        """
        if attempt.ended:
            return
        sent = self._backend().cancel(attempt)
        self.end(attempt, Outcome.TIMEOUT if sent else Outcome.WITHDRAWN, may_hold_state=sent)

    def start_response(self, attempt: Attempt) -> bool:
        """The first event of the answer is here: its attempt and its request have no deadline any more."""
        request = attempt.request
        if attempt.ended or request.answered:
            return False
        if attempt.response_started:
            return True
        attempt.response_started = True
        attempt.cancel_timers()
        self._requests.stop_deadline(request)
        request.state_holders.clear()  # The state was fetched: with the first event its holders release it themselves.
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
        """The attempt is over: answer the client if this was the answer, and pass the end on to the router."""
        if attempt.ended:
            return
        elapsed = self._close(attempt, outcome)
        self._note_effects(attempt, outcome, may_hold_state)
        self._answer(attempt, outcome, replica_error)
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

    def _close(self, attempt: Attempt, outcome: Outcome) -> int:
        """Take the attempt off its request, and count it; the microseconds since it was sent."""
        attempt.ended = True
        attempt.cancel_timers()
        attempt.request.current_attempt = None
        if outcome == Outcome.WITHDRAWN:
            attempt.request.attempts -= 1  # It does not count among those that are allowed.
        self._counters.outcomes[outcome] += 1
        elapsed = self._clock() - attempt.sent_at
        log_attempt_ended(attempt, outcome, elapsed)
        return elapsed

    def _note_effects(self, attempt: Attempt, outcome: Outcome, may_hold_state: bool) -> None:
        """Record on the request what the attempt may have left behind: a state, or the request's effect."""
        request = attempt.request
        if may_hold_state and not attempt.response_started:
            request.state_holders.add(attempt.replica)
            request.interrupted = request.interrupted or outcome not in (Outcome.PREFILLED, Outcome.ERROR)
        if outcome == Outcome.PREFILLED:
            request.prefill_replica = attempt.replica
        endpoint = attempt.endpoint
        if outcome not in NOT_EXECUTED and endpoint and self._has_effect(attempt) and request.execution is None:
            request.execution = Execution(endpoint.zone, endpoint.cell, attempt.sent_at)
        request.last_outcome = outcome

    def _answer(self, attempt: Attempt, outcome: Outcome, replica_error: Any) -> None:
        """Give the client its final answer, if the end of this attempt is one."""
        request = attempt.request
        if request.answered:
            return
        if outcome == Outcome.ANSWERED:
            self._requests.complete(request)
        elif attempt.response_started:
            self._requests.cut(attempt, outcome)
        elif replica_error is not None:
            self._requests.decline(request, replica_error)

    # From the deadlines, the endpoint list, and a client that has gone.

    def expire(self, attempt: Attempt) -> None:
        """Its time is over. The connection is closed first: otherwise the next attempt would be a second one out."""
        self._stop(attempt, Outcome.TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        """Its answer is not wanted any more."""
        self._stop(attempt, Outcome.CANCELLED)

    def stop_unlisted(self, attempt: Attempt) -> None:
        """The endpoint list has taken its replica away before its first byte was written."""
        self._stop(attempt, Outcome.WITHDRAWN)

    def release_unless_fetched(self, attempt: Attempt) -> None:
        """Release what the attempt fetches, unless it has arrived.

        Its replica has shown no sign. What was written on a connection that has fallen silent may never arrive, and the
        time by which the state has to be released runs on. Where the attempt did arrive, holders ignore the release.
        """
        request = attempt.request
        if attempt.ended or not request.state_holders or not self._backend().may_have_been_sent(attempt):
            return
        self._counters.unconfirmed += 1
        log_unconfirmed_fetch(attempt)
        self._backend().release_unless_fetched(request, set(request.state_holders))

    def _stop(self, attempt: Attempt, outcome: Outcome) -> None:
        """Close the attempt's connection, and end the attempt unless closing has shown how it ended."""
        if attempt.ended:
            return
        sent = self._backend().cancel(attempt)
        if not sent:
            outcome = self._unsent_outcome(attempt)
        # A prefill may have ended well at the very moment of its closing, and its state stays pinned.
        self.end(attempt, outcome, may_hold_state=sent)

    def _unsent_outcome(self, attempt: Attempt) -> Outcome:
        """How an attempt ends that was never sent: a fault of its replica only if it is listed and had a client."""
        if not self._endpoints.accepts_requests(attempt.replica):
            return Outcome.WITHDRAWN
        if attempt.request.client_disconnected:
            return Outcome.NOT_SENT
        return Outcome.UNREACHABLE
