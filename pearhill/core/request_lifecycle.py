"""The lifecycle of requests, from acceptance to their one final answer, and the release of state held for them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pearhill.core.backend import Backend
from pearhill.core.client import Client
from pearhill.core.deadlines import Deadlines
from pearhill.core.event_queue import FeedEvent
from pearhill.core.request import Attempt, Request, RequestSpec
from pearhill.core.request_ids import RequestIds
from pearhill.core.request_log import log_fault, log_incomplete_answer, log_missed_deadline, log_state, log_violation
from pearhill.core.supervised_client import SupervisedClient
from pearhill.counters import BUSY, FAILURE, SUCCESS, Calls, Counters
from pearhill.routing.events import ClientDisconnected, RequestArrived
from pearhill.routing.outcomes import Outcome
from pearhill.routing.permissions import may_reject
from pearhill.settings import Deployment

# Reason codes, counted under `refusals`, `failures` and `violations`.
TOO_MANY_OPEN = "too-many-open"
EXPIRED = "expired"  # the deadline passed before the request was processed
DEADLINE_EXCEEDED = "overdue"  # the router did not answer the request by its deadline
REJECTED_AFTER_EXECUTION = "refused-after-effect"
FAULT = "fault"  # an exception was raised on the way of the request


class RequestLifecycle:
    """Accepts requests and ends each exactly once: rejected, failed, answered, cut short, or left by its client.

    `open_requests` holds the requests that are not answered or have an attempt in flight, by number. `calls_by_class`
    counts how requests ended. `inflight` counts the requests that were accepted and have not ended.
    """

    def __init__(
        self,
        deployment: Deployment,
        deadlines: Deadlines,
        counters: Counters,
        backend: Callable[[], Backend],
        feed: FeedEvent,
        request_ids: RequestIds,
    ) -> None:
        self.deployment = deployment
        self.open_requests: dict[int, Request] = {}
        self.calls_by_class = [Calls() for _ in deployment.class_names]
        self.inflight = 0
        self._clock = deadlines.clock
        self._deadlines = deadlines
        self._counters = counters
        self._backend = backend
        self._feed = feed
        self._request_ids = request_ids
        self._next_number = 1

    def accept(self, spec: RequestSpec, client: Client, payload: Any, arrived: int | None) -> Request:
        """Accept a request. Its deadline runs from `arrived`, the time of its last byte; None means now."""
        now = self._clock()
        deadline = (now if arrived is None else arrived) + spec.timeout
        supervised = SupervisedClient(client, self._counters, spec.id)
        request = Request(self._next_number, spec.request_class, supervised, payload, deadline, spec.id)
        self._next_number += 1
        self.open_requests[request.number] = request
        self._counters.taken += 1
        self.inflight += 1
        if deadline <= now:  # It waited too long after it was read; an answer would come too late.
            self.reject(request, 0, EXPIRED)
            self._remove(request)
            return request
        request.deadline_timer = self._deadlines.schedule_at(
            deadline, lambda: self._deadline_exceeded(request), lambda error: self.abandon(request, error)
        )
        self._feed(_arrival(request.number, spec, max(1, deadline - now)), now)
        return request

    def record_rejection(self, request_class: int, reason: str) -> None:
        """Count a request that a front end rejected without passing it to `accept`."""
        self._counters.record_refusal(reason)
        self._count_result(request_class, BUSY)

    def handle_disconnect(self, request: Request) -> None:
        """End a request whose client has disconnected.

        No answer is pending any more. The attempt is cancelled, even one that is being answered.
        """
        if request.answered:
            return
        request.client_disconnected = True
        self._mark_ended(request)
        self._counters.left += 1
        attempt = request.current_attempt
        log_state(request, "left", "")
        if attempt and attempt.response_started:
            self._counters.left_in_answer += 1
            log_incomplete_answer(attempt, "client-left", self._clock())
        self._feed(ClientDisconnected(request.number))
        if attempt and not attempt.ended:
            attempt.cancel()

    def reject(self, request: Request, retry_after: int, reason: str) -> None:
        """Reject the request, after which a retry is safe.

        A request that may have been executed is failed instead.
        """
        may_have_executed = request.execution is not None or request.current_attempt is not None
        if not may_reject(self.deployment.router.classes[request.request_class], may_have_executed):
            self.record_violation(request, REJECTED_AFTER_EXECUTION)
            self.fail(request, reason)
            return
        self._finish(request, BUSY)
        self._counters.record_refusal(reason)
        log_state(request, "refused", reason)
        request.client.reject(retry_after)

    def fail(self, request: Request, reason: str) -> None:
        """End the request with a failure as its final answer."""
        self._finish(request, FAILURE)
        self._counters.failed += 1
        self._counters.failures[reason] += 1
        log_state(request, "failed", reason)
        request.client.fail()

    def abandon(self, request: Request, error: Exception) -> None:
        """End a request on whose way an exception was raised, whatever raised it: its answer and its attempt.

        What replicas hold for it is released once the router has been told.
        """
        self._counters.faults += 1
        log_fault(request, error)
        if not request.answered:
            self._finish(request, FAILURE)
            self._counters.failed += 1
            self._counters.failures[FAULT] += 1
            request.client.abandon()
            self._feed(ClientDisconnected(request.number))
        attempt = request.current_attempt
        if attempt and not attempt.ended:
            attempt.cancel()

    def complete(self, request: Request) -> None:
        """End the request, whose answer is complete."""
        self._finish(request, SUCCESS)
        self._counters.served += 1
        request.client.finish()

    def abort_answer(self, attempt: Attempt, outcome: Outcome) -> None:
        """Abort an answer that has begun and will not be completed.

        Ended normally, the partial answer would look complete to the client.
        """
        self._finish(attempt.request, FAILURE)
        self._counters.broken += 1
        log_incomplete_answer(attempt, outcome, self._clock())
        attempt.request.client.abort()

    def decline(self, request: Request, replica_error: Any) -> None:
        """Forward a replica's error to the client, because the request itself is invalid."""
        self._finish(request, FAILURE)
        self._counters.declined += 1
        request.client.decline(replica_error)

    def cancel_deadline(self, request: Request) -> None:
        """Cancel the request's deadline, which does not limit an answer that has begun."""
        self._deadlines.cancel(request.deadline_timer)

    def record_violation(self, request: Request, rule: str) -> None:
        """Count and log an action of the router that a rule forbids and that was not performed."""
        self._counters.violations[rule] += 1
        log_violation(request, rule)

    def release(self, request: Request) -> None:
        """Release the state that replicas may hold for the request."""
        replicas = request.state_holders
        request.state_holders = set()
        if replicas:
            self._counters.released += len(replicas)
            self._backend().release(request, replicas)

    def remove_if_ended(self, number: int) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        request = self.open_requests.get(number)
        if request is None or not request.answered or request.current_attempt is not None:
            return
        self._remove(request)
        if request.state_holders:  # However the request ended, no replica may keep holding its state.
            self.release(request)

    def _remove(self, request: Request) -> None:
        del self.open_requests[request.number]
        self._request_ids.release(request.id, may_have_executed=request.execution is not None)

    def _finish(self, request: Request, result: str) -> None:
        self._mark_ended(request)
        self._count_result(request.request_class, result)

    def _mark_ended(self, request: Request) -> None:
        """Mark the request as ended. Every request ends here."""
        request.answered = True
        self.inflight -= 1
        self._deadlines.cancel(request.deadline_timer)

    def _count_result(self, request_class: int, result: str) -> None:
        calls = self.calls_by_class[request_class]
        setattr(calls, result, getattr(calls, result) + 1)

    def _deadline_exceeded(self, request: Request) -> None:
        """Fail the request in place of the router, whose faults must not leave a client without an answer.

        The router receives a ClientDisconnected event, since no answer is pending any more.
        """
        if request.answered:
            return
        log_missed_deadline(request)
        self.fail(request, DEADLINE_EXCEEDED)
        self._feed(ClientDisconnected(request.number))


def _arrival(number: int, spec: RequestSpec, timeout: int) -> RequestArrived:
    return RequestArrived(
        number,
        spec.request_class,
        spec.tenant,
        spec.session,
        spec.prefix,
        spec.prefix_tokens,
        spec.prompt_tokens,
        spec.max_output_tokens,
        timeout,
        spec.is_retry,
        spec.resumed,
        spec.allowed_kinds,
        spec.admission,
        spec.retry_after,
    )
