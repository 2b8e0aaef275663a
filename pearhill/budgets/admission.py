"""The rules of admission: how much is reserved for a request, and which limit rejects it.

The functions refill the levels but subtract nothing from them; `Budgets` makes the reservation.
"""

from __future__ import annotations

from pearhill.budgets.level import BudgetLevel
from pearhill.budgets.limits import GRAINS_PER_MILLI, MILLI_PER_TOKEN
from pearhill.budgets.periods import DAY_S
from pearhill.budgets.reservation import AdmissionDecision
from pearhill.routing.events import AdmissionStatus

OPEN_REQUEST_RETRY_US = 1_000_000  # retry hint where only the end of an open request makes capacity available

LevelPath = tuple[BudgetLevel, ...]  # all levels that limit a request; the tenant's is the first


def refill_and_size(path: LevelPath, now: int, day: int, month: int, amount: int, max_cost: int) -> int:
    """Refill the levels, enter the current period, and return the amount to reserve, in milli.

    The result is `amount`, increased where needed so that the exposure (the cost of open requests beyond their
    reservations) stays within the maximum debt of each level. The refill is inlined because each arriving request
    runs this function, and a method call costs as much as the refill itself.
    """
    for level in path:
        if now > level.refilled_at:
            if level.rate:
                balance = level.balance + level.rate * (now - level.refilled_at)
                level.balance = balance if balance < level.max_balance else level.max_balance
            level.refilled_at = now
        if day != level.day:
            level.enter_period(day, month)
        if level.rate and max_cost - amount > level.max_debt - level.exposure:
            amount = max_cost - max(0, level.max_debt - level.exposure)
    return amount


def find_rejection(path: LevelPath, amount: int, max_cost: int, wall_s: int, day: int) -> AdmissionDecision | None:
    """Returns the rejection of a request that burst capacity cannot admit.

    Returns None if the request can be admitted, or if only the balance of the tenant's own bucket is too low, in which
    case the request may still borrow burst capacity.
    """
    grains = amount * GRAINS_PER_MILLI
    own = path[0]
    for level in path:
        is_short = level.rate and level.balance < grains
        if (
            is_short
            or level.open_requests >= level.max_open_requests
            or level.day_used + amount > level.max_day_used
            or level.month_used + amount > level.max_month_used
        ):
            rejection = _limit_rejection(level, amount, max_cost, wall_s, day)
            if rejection:
                return rejection
        if is_short and level is not own:
            wait = level.time_until_available(amount)
            if wait:
                return rate_rejection(level, wait)
    return None


def rate_rejection(level: BudgetLevel, wait: int, reason: str = "tokens a minute") -> AdmissionDecision:
    """Returns a rejection by the rate limit of a level; `wait` is in microseconds."""
    return AdmissionDecision(AdmissionStatus.OVER_LIMIT, wait, f"{level.name}: {reason}")


def _limit_rejection(level: BudgetLevel, amount: int, max_cost: int, wall_s: int, day: int) -> AdmissionDecision | None:
    """Returns the rejection by a limit of this level that burst capacity does not lift, or None if there is none."""
    limit = level.limit
    if limit.open and level.open_requests >= limit.open:
        reason = f"{level.name}: requests open at once"
        return AdmissionDecision(AdmissionStatus.OVER_LIMIT, OPEN_REQUEST_RETRY_US, reason)
    if level.rate and level.balance < 0:
        reason = f"{level.name}: a debt is to be paid off"
        return AdmissionDecision(AdmissionStatus.OVERDRAWN, level.time_until_available(amount), reason)
    if limit.day and level.day_used + amount > limit.day * MILLI_PER_TOKEN:
        return _quota_rejection(f"{level.name}: tokens a day", wall_s, day)
    if limit.month and level.month_used + amount > limit.month * MILLI_PER_TOKEN:
        return _quota_rejection(f"{level.name}: tokens a month", wall_s, day)
    if level.rate and amount * GRAINS_PER_MILLI > level.max_balance:
        return _burst_rejection(level, max_cost)
    return None


def _quota_rejection(reason: str, wall_s: int, day: int) -> AdmissionDecision:
    """Returns a rejection by a daily or monthly quota, with the start of the next day in UTC as the time to retry."""
    until_next_day = max(1, (day + 1) * DAY_S - wall_s) * 1_000_000
    return AdmissionDecision(AdmissionStatus.OVER_LIMIT, until_next_day, reason, True)


def _burst_rejection(level: BudgetLevel, max_cost: int) -> AdmissionDecision | None:
    """Returns the rejection of a request larger than the burst, or None if burst and debt together cover it.

    Such a request is admitted once the bucket is full. The rejection carries no retry hint where the request exceeds
    burst and debt on its own, because waiting does not help.
    """
    if max_cost + level.exposure <= level.limit.burst * MILLI_PER_TOKEN + level.max_debt:
        return None
    reason = f"{level.name}: more than the burst and the debt allow"
    if level.exposure:
        return AdmissionDecision(AdmissionStatus.OVER_LIMIT, OPEN_REQUEST_RETRY_US, reason)
    return AdmissionDecision(AdmissionStatus.OVER_LIMIT, 0, reason, True)
