"""The rules of admission: what is reserved for a request, and which limit rejects it. Nothing is taken here."""

from __future__ import annotations

from pearhill.budgets.level import BudgetLevel
from pearhill.budgets.limits import GRAINS_PER_MILLI, MILLI_PER_TOKEN
from pearhill.budgets.periods import DAY_S
from pearhill.budgets.reservation import AdmissionDecision
from pearhill.routing.events import AdmissionStatus

OPEN_REQUEST_RETRY_US = 1_000_000  # after which an open request may have ended

Path = tuple[BudgetLevel, ...]  # all levels that bound a request: the tenant's first


def refill_and_bound(path: Path, now: int, day: int, month: int, amount: int, worst: int) -> int:
    """Bring the levels up to date, and return the amount to reserve.

    That is `amount`, or as much more as keeps what open requests may cost beyond their reservations within each debt.
    The refill is written out: each arrival comes here, where a call costs as much as what it does.
    """
    for level in path:
        if now > level.refilled_at:
            if level.rate:
                balance = level.balance + level.rate * (now - level.refilled_at)
                level.balance = balance if balance < level.max_balance else level.max_balance
            level.refilled_at = now
        if day != level.day:
            level.enter_period(day, month)
        if level.rate and worst - amount > level.max_debt - level.exposure:
            amount = worst - max(0, level.max_debt - level.exposure)
    return amount


def rejection(path: Path, amount: int, worst: int, wall: int, day: int) -> AdmissionDecision | None:
    """Why a request is rejected whatever burst capacity there is. None: at most the tenant's own bucket is short."""
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
            decision = _exhausted(level, amount, worst, wall, day)
            if decision:
                return decision
        if is_short and level is not own:
            wait = level.time_until(amount)
            if wait:
                return over_rate(level, wait)
    return None


def over_rate(level: BudgetLevel, wait: int, reason: str = "tokens a minute") -> AdmissionDecision:
    """A rejection by the rate of a level; `wait` is microseconds."""
    return AdmissionDecision(AdmissionStatus.OVER_LIMIT, wait, f"{level.name}: {reason}")


def _exhausted(level: BudgetLevel, amount: int, worst: int, wall: int, day: int) -> AdmissionDecision | None:
    """Why a level admits nothing more, whatever burst capacity there is."""
    limit = level.limit
    if limit.open and level.open_requests >= limit.open:
        reason = f"{level.name}: requests open at once"
        return AdmissionDecision(AdmissionStatus.OVER_LIMIT, OPEN_REQUEST_RETRY_US, reason)
    if level.rate and level.balance < 0:
        reason = f"{level.name}: a debt is to be paid off"
        return AdmissionDecision(AdmissionStatus.OVERDRAWN, level.time_until(amount), reason)
    if limit.day and level.day_used + amount > limit.day * MILLI_PER_TOKEN:
        return _quota_used_up(f"{level.name}: tokens a day", wall, day)
    if limit.month and level.month_used + amount > limit.month * MILLI_PER_TOKEN:
        return _quota_used_up(f"{level.name}: tokens a month", wall, day)
    if level.rate and amount * GRAINS_PER_MILLI > level.max_balance:
        return _beyond_burst(level, worst)
    return None


def _quota_used_up(reason: str, wall: int, day: int) -> AdmissionDecision:
    """It may be asked for again the next day."""
    until_next_day = max(1, (day + 1) * DAY_S - wall) * 1_000_000
    return AdmissionDecision(AdmissionStatus.OVER_LIMIT, until_next_day, reason, True)


def _beyond_burst(level: BudgetLevel, worst: int) -> AdmissionDecision | None:
    """What is larger than the burst is admitted on a full bucket, as far as the debt allows."""
    if worst + level.exposure <= level.limit.burst * MILLI_PER_TOKEN + level.max_debt:
        return None
    reason = f"{level.name}: more than the burst and the debt allow"
    if level.exposure:
        return AdmissionDecision(AdmissionStatus.OVER_LIMIT, OPEN_REQUEST_RETRY_US, reason)
    return AdmissionDecision(AdmissionStatus.OVER_LIMIT, 0, reason, True)
