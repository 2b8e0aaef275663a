"""Retries: the retry budget, the time an attempt gets, until when it may be sent, and the final answer.

`permissions.retry_denial` decides whether a request that may have been executed may be sent again at all.
"""

from __future__ import annotations

from pearhill.routing.actions import FailRequest, RejectRequest
from pearhill.routing.load_estimates import MAX_SERVICE_TIME_RATIO
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.permissions import may_reject
from pearhill.routing.settings import Idempotency, RouterSettings

RETRIES_PER_REQUEST = 0.2  # retries that each arrival adds to the budget
MAX_SAVED_RETRIES = 2


class RetryBudget:
    """How many retries this dispatcher may make: attempts that fail under load would otherwise add to the load."""

    def __init__(self) -> None:
        self.tokens = float(MAX_SAVED_RETRIES)

    def record_arrival(self) -> None:
        """A request has arrived, and pays for a part of a retry."""
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + RETRIES_PER_REQUEST)

    def refund(self) -> None:
        """An attempt was never begun: the next one is no retry."""
        self.tokens += 1

    def take(self) -> bool:
        """Spend one retry. False: there is none left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def has_attempts_left(pending: PendingRequest, settings: RouterSettings) -> bool:
    """Whether the number of attempts allows another one."""
    return pending.attempt + 1 < settings.max_attempts


def attempt_timeout(pending: PendingRequest, settings: RouterSettings, now: int, expected_time: float) -> int:
    """Microseconds after which the attempt ends as TIMEOUT.

    A silent replica would use up the client's whole time, so that time is left for another attempt; but not where the
    client's time is too short, since many short attempts would all be in vain.
    """
    time_left = pending.deadline - now
    objective_share = pending.latency_objective / (2 - pending.fetches_state)
    patience = max(MAX_SERVICE_TIME_RATIO * expected_time, objective_share)
    if not has_attempts_left(pending, settings) or patience > time_left:
        return max(1, int(time_left))
    return max(1, int(min(patience, time_left / 2)))


def release_time(pending: PendingRequest, settings: RouterSettings) -> int:
    """When the state that an attempt fetches has to be released; 0 where it fetches none."""
    return pending.state_held_since + settings.state_hold_time if pending.state_holder else 0


def send_deadline(pending: PendingRequest, settings: RouterSettings, release_at: int) -> int:
    """When the attempt's last byte has to be written, since its connection may come up late; 0: whenever."""
    spec = settings.classes[pending.request.request_class]
    limits = [release_at] if release_at else []
    if pending.execution and spec.idempotency == Idempotency.KEYED and not pending.is_prefilling:
        limits.append(pending.execution.sent_at + spec.idempotency_window)
    return min(limits, default=0)


def holds_state(pending: PendingRequest, settings: RouterSettings, now: int) -> bool:
    """Whether a prefill replica still holds the state of the prompt."""
    return pending.state_holder is not None and now < pending.state_held_since + settings.state_hold_time


def final_answer(pending: PendingRequest, settings: RouterSettings, reason: str) -> RejectRequest | FailRequest:
    """The answer to a request that no replica answers: a rejection only where a retry is harmless.

    Even a prefilling attempt counts as one that may be executed until it has ended. A rejection's Retry-After is
    as long as clients heed: those that come back at once add to the load that they were rejected for.
    """
    spec = settings.classes[pending.request.request_class]
    if not may_reject(spec, pending.execution is not None or pending.in_flight):
        return FailRequest(pending.request.request, reason)
    retry_after = settings.max_retry_after if settings.retry_hints else 0
    return RejectRequest(pending.request.request, retry_after, reason)
