"""One level of a budget: an account, a tenant or a key.

Its token bucket is refilled lazily, on access, so an inactive level costs no computation.
"""

from __future__ import annotations

from pearhill.budgets.limits import GRAINS_PER_MILLI, MILLI_PER_TOKEN, Limit

UNLIMITED = 1 << 62  # replaces an absent limit, so that the check of an arrival needs no special case


class BudgetLevel:
    """A token bucket, the use in the current day and month, and the open requests.

    Amounts are in milli; `balance` and `max_balance` are in grains. `exposure` is the cost that open requests could
    reach beyond their reservations.
    """

    __slots__ = (
        "name",
        "limit",
        "rate",
        "max_balance",
        "max_debt",
        "balance",
        "refilled_at",
        "open_requests",
        "exposure",
        "day",
        "day_used",
        "month",
        "month_used",
        "max_open_requests",
        "max_day_used",
        "max_month_used",
    )

    def __init__(self, name: str, limit: Limit, now: int) -> None:
        self.name = name
        self.open_requests = 0
        self.exposure = 0
        self.day = 0
        self.day_used = 0
        self.month = 0
        self.month_used = 0
        self.balance = 0
        self.refilled_at = now
        self.set_limit(limit)
        self.balance = self.max_balance

    def set_limit(self, limit: Limit) -> None:
        """Apply other limits. Reservations, debts and use so far remain."""
        self.limit = limit
        self.rate = limit.tokens_per_min * MILLI_PER_TOKEN
        self.max_balance = limit.burst * MILLI_PER_TOKEN * GRAINS_PER_MILLI
        self.max_debt = limit.debt * MILLI_PER_TOKEN
        self.balance = min(self.balance, self.max_balance)
        self.max_open_requests = limit.open or UNLIMITED
        self.max_day_used = limit.day * MILLI_PER_TOKEN or UNLIMITED
        self.max_month_used = limit.month * MILLI_PER_TOKEN or UNLIMITED

    def refill(self, now: int) -> None:
        """Add the tokens accrued since the last refill.

        A `now` before the last refill changes nothing: it would remove tokens that were added, or add them twice.
        """
        if now <= self.refilled_at:
            return
        if self.rate:
            self.balance = min(self.max_balance, self.balance + self.rate * (now - self.refilled_at))
        self.refilled_at = now

    def enter_period(self, day: int, month: int) -> None:
        """Start the counts of a later day or month. A clock that steps back does not reopen an earlier period."""
        if day > self.day:
            self.day = day
            self.day_used = 0
        if month > self.month:
            self.month = month
            self.month_used = 0

    @property
    def is_unused(self) -> bool:
        """Whether the level equals a new one, so that it may be removed from memory."""
        return self.balance >= self.max_balance and not (self.open_requests or self.day_used or self.month_used)

    def settle(self, amount: int, max_cost: int, used: int, day: int, month: int) -> None:
        """Replace a reservation by what was used.

        The count of a day or month that has ended meanwhile is not corrected: the reservation was counted there.
        """
        if self.rate:
            balance = self.balance + (amount - used) * GRAINS_PER_MILLI
            self.balance = balance if balance < self.max_balance else self.max_balance
        self.exposure -= max_cost - amount
        self.open_requests -= 1
        if day == self.day:
            self.day_used += used - amount
        if month == self.month:
            self.month_used += used - amount

    def time_until_available(self, amount: int) -> int:
        """Returns the microseconds until the bucket holds `amount` milli, or is full if `amount` exceeds its size."""
        missing = min(amount * GRAINS_PER_MILLI, self.max_balance) - self.balance
        return -(-missing // self.rate) if missing > 0 else 0
