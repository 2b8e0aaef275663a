"""Retries: the retry budget, the time-out and send deadline of an attempt, and the final answer.

`permissions.retry_denial` decides whether a request that may have been executed may be sent again.
"""

from __future__ import annotations

from pearhill.routing.actions import FailRequest, RejectRequest
from pearhill.routing.load_estimates import MAX_SERVICE_TIME_RATIO
from pearhill.routing.pending_request import PendingRequest
from pearhill.routing.permissions import may_reject
from pearhill.routing.settings import Idempotency, RouterSettings

RETRIES_PER_REQUEST = 0.2  # retries that each arrival adds to the budget
MAX_RETRY_TOKENS = 2


class RetryBudget:
    """Limits this dispatcher's retries, because retries of attempts that fail under load add to the load."""

    def __init__(self) -> None:
        self.tokens = float(MAX_RETRY_TOKENS)

    def record_arrival(self) -> None:
        """Add the part of a retry that each arriving request allows."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRIES_PER_REQUEST)

    def refund(self) -> None:
        """Return the retry of an attempt that was never begun."""
        self.tokens += 1

    def take(self) -> bool:
        """Spend one retry. Returns False if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def has_attempts_left(pending: PendingRequest, settings: RouterSettings) -> bool:
    """Return whether the limit on attempts allows another one."""
    return pending.attempt + 1 < settings.max_attempts


def attempt_timeout(pending: PendingRequest, settings: RouterSettings, now: int, expected_time: float) -> int:
    """Return the microseconds after which the attempt ends as TIMEOUT.

    An unresponsive replica would use up the client's whole time, so time is kept for another attempt. If the client's
    time is shorter than one attempt needs, the attempt gets all of it: several shorter ones would all fail.
    """
    time_left = pending.deadline - now
    objective_share = pending.latency_objective / (2 - pending.fetches_state)
    desired_timeout = max(MAX_SERVICE_TIME_RATIO * expected_time, objective_share)
    if not has_attempts_left(pending, settings) or desired_timeout > time_left:
        return max(1, int(time_left))
    return max(1, int(min(desired_timeout, time_left / 2)))


def release_time(pending: PendingRequest, settings: RouterSettings) -> int:
    """Return when the state that an attempt fetches has to be released, or 0 if it fetches none."""
    return pending.state_held_since + settings.state_hold_time if pending.state_holder else 0


def send_deadline(pending: PendingRequest, settings: RouterSettings, release_at: int) -> int:
    """Return the time by which the attempt's last byte has to be written, or 0 if there is no limit.

    The attempt's connection may be established late.
    """
    spec = settings.classes[pending.request.request_class]
    limits = [release_at] if release_at else []
    if pending.execution and spec.idempotency == Idempotency.KEYED and not pending.is_prefilling:
        limits.append(pending.execution.sent_at + spec.idempotency_window)
    return min(limits, default=0)


def holds_state(pending: PendingRequest, settings: RouterSettings, now: int) -> bool:
    """Return whether a prefill replica still holds the state of the prompt."""
    return pending.state_holder is not None and now < pending.state_held_since + settings.state_hold_time


def final_answer(pending: PendingRequest, settings: RouterSettings, reason: str) -> RejectRequest | FailRequest:
    """Return the answer to a request that no replica answers: a rejection only if a retry is harmless.

    Until it has ended, even a prefill counts as an attempt that may be executed. The Retry-After of a rejection is as
    long as clients respect, since clients that retry immediately add to the load for which they were rejected.
    """
    spec = settings.classes[pending.request.request_class]
    if not may_reject(spec, pending.execution is not None or pending.in_flight):
        return FailRequest(pending.request.request, reason)
    retry_after = settings.max_retry_after if settings.retry_hints else 0
    return RejectRequest(pending.request.request, retry_after, reason)
