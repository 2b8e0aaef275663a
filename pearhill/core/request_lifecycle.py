"""Requests from their acceptance to their one final answer, and the release of what replicas hold for them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pearhill.core.backend import Backend
from pearhill.core.client import Client
from pearhill.core.deadlines import Deadlines
from pearhill.core.event_queue import FeedEvent
from pearhill.core.request import Attempt, Request, RequestSpec
from pearhill.core.request_log import log_cut_answer, log_missed_deadline, log_state, log_violation
from pearhill.counters import BUSY, FAILURE, SUCCESS, Calls, Counters
from pearhill.routing.events import ClientDisconnected, RequestArrived
from pearhill.routing.outcomes import Outcome
from pearhill.routing.permissions import may_reject
from pearhill.settings import Deployment

# Reason codes, as they are counted under `refusals`, `failures` and `violations`.
TOO_MANY_OPEN = "too-many-open"
EXPIRED = "expired"  # the request's time was over before its turn
DEADLINE_EXCEEDED = "overdue"  # the router has not answered in time
REJECTED_AFTER_EXECUTION = "refused-after-effect"


class RequestLifecycle:
    """Accepts requests, and ends each of them once: rejected, failed, answered, cut, or left by its client.

    `open_requests` are those that are not answered or have an attempt out, by number. `calls_by_class` counts how
    requests ended. `inflight` counts the requests that were accepted and have not ended.
    """

    def __init__(
        self,
        deployment: Deployment,
        deadlines: Deadlines,
        counters: Counters,
        backend: Callable[[], Backend],
        feed: FeedEvent,
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
        self._next_number = 1

    def accept(self, spec: RequestSpec, client: Client, payload: Any, arrived: int | None) -> Request:
        """Accept a request; its deadline runs from `arrived`, the time of its last byte, or from now."""
        now = self._clock()
        deadline = (now if arrived is None else arrived) + spec.timeout
        request = Request(self._next_number, spec.request_class, client, payload, deadline, spec.id)
        self._next_number += 1
        self.open_requests[request.number] = request
        self._counters.taken += 1
        self.inflight += 1
        if deadline <= now:  # It was read long before its turn: an answer to it would come too late.
            self.reject(request, 0, EXPIRED)
            del self.open_requests[request.number]
            return request
        request.deadline_timer = self._deadlines.schedule_at(deadline, lambda: self._deadline_exceeded(request))
        self._feed(_arrival(request.number, spec, max(1, deadline - now)), now)
        return request

    def record_rejection(self, request_class: int, reason: str) -> None:
        """Count a request that a front end has rejected and not passed on."""
        self._counters.refusals[reason] += 1
        self._counters.refused += 1
        self._count(request_class, BUSY)

    def handle_disconnect(self, request: Request) -> None:
        """The client has gone: nothing more is owed, and the attempt is cancelled, even one that is being answered."""
        if request.answered:
            return
        request.client_disconnected = True
        self._close(request)
        self._counters.left += 1
        attempt = request.current_attempt
        log_state(request, "left", "")
        if attempt and attempt.response_started:
            self._counters.left_in_answer += 1
            log_cut_answer(attempt, "client-left", self._clock())
        self._feed(ClientDisconnected(request.number))
        if attempt and not attempt.ended:
            attempt.cancel()

    def reject(self, request: Request, retry_after: int, reason: str) -> None:
        """Reject the request, after which a retry is harmless; where it may have been executed, fail it instead."""
        may_have_executed = request.execution is not None or request.current_attempt is not None
        if not may_reject(self.deployment.router.classes[request.request_class], may_have_executed):
            self.record_violation(request, REJECTED_AFTER_EXECUTION)
            self.fail(request, reason)
            return
        self._finish(request, BUSY)
        self._counters.refused += 1
        self._counters.refusals[reason] += 1
        log_state(request, "refused", reason)
        request.client.reject(retry_after)

    def fail(self, request: Request, reason: str) -> None:
        """End the request with a failure as its final answer."""
        self._finish(request, FAILURE)
        self._counters.failed += 1
        self._counters.failures[reason] += 1
        log_state(request, "failed", reason)
        request.client.fail()

    def complete(self, request: Request) -> None:
        """The answer has reached its end."""
        self._finish(request, SUCCESS)
        self._counters.served += 1
        request.client.finish()

    def cut(self, attempt: Attempt, outcome: Outcome) -> None:
        """The answer has begun and will not be complete: ended in good order, it would pass for a complete one."""
        self._finish(attempt.request, FAILURE)
        self._counters.broken += 1
        log_cut_answer(attempt, outcome, self._clock())
        attempt.request.client.abort()

    def decline(self, request: Request, replica_error: Any) -> None:
        """Pass a replica's error on to the client: the request itself is at fault."""
        self._finish(request, FAILURE)
        self._counters.declined += 1
        request.client.decline(replica_error)

    def stop_deadline(self, request: Request) -> None:
        """The answer has begun: its length is no longer bounded by the request's deadline."""
        self._deadlines.cancel(request.deadline_timer)

    def record_violation(self, request: Request, rule: str) -> None:
        """The router requested what no rule allows. It is not done, and both are counted and logged."""
        self._counters.violations[rule] += 1
        log_violation(request, rule)

    def release(self, request: Request) -> None:
        """Release what replicas may hold for the request."""
        replicas = request.state_holders
        request.state_holders = set()
        if replicas:
            self._counters.released += len(replicas)
            self._backend().release(request, replicas)

    def forget_if_over(self, number: int) -> None:
        """Drop a request that is answered and has no attempt out."""
        request = self.open_requests.get(number)
        if request is None or not request.answered or request.current_attempt is not None:
            return
        del self.open_requests[number]
        if request.state_holders:  # Whatever led here, no state may stay pinned at a replica.
            self.release(request)

    def _finish(self, request: Request, result: str) -> None:
        self._close(request)
        self._count(request.request_class, result)

    def _close(self, request: Request) -> None:
        """The one place where a request ends."""
        request.answered = True
        self.inflight -= 1
        self._deadlines.cancel(request.deadline_timer)

    def _count(self, request_class: int, result: str) -> None:
        calls = self.calls_by_class[request_class]
        setattr(calls, result, getattr(calls, result) + 1)

    def _deadline_exceeded(self, request: Request) -> None:
        """Answer in the router's place: its fault must not leave a client without an answer.

        To the router this is a client that has gone, since nothing is owed any more.
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
