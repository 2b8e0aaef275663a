"""One level of a budget: an account, a tenant or a key. Looked at only when asked, so a silent one costs nothing."""

from __future__ import annotations

from pearhill.budgets.limits import GRAINS, MILLI, Limit

NEVER = 1 << 62


class BudgetLevel:
    """Its bucket, its counts by period, and what is open. Amounts are milli, the bucket's level is grains."""

    __slots__ = (
        "name",
        "limit",
        "rate",
        "cap",
        "debt",
        "level",
        "at",
        "open",
        "exposure",
        "day",
        "day_used",
        "month",
        "month_used",
        "max_open",
        "day_cap",
        "month_cap",
    )

    def __init__(self, name: str, limit: Limit, now: int) -> None:
        self.name = name
        self.open = self.exposure = 0  # requests; what they could cost beyond their reservations, in milli
        self.day = self.day_used = self.month = self.month_used = 0
        self.level, self.at = 0, now
        self.limit, self.rate, self.cap, self.debt = limit, 0, 0, 0
        self.set_limit(limit)
        self.level = self.cap

    def set_limit(self, limit: Limit) -> None:
        """Other limits from now on. What is reserved, owed and used stays."""
        self.limit = limit
        self.rate, self.cap, self.debt = limit.tokens_per_min * MILLI, limit.burst * MILLI * GRAINS, limit.debt * MILLI
        self.level = min(self.level, self.cap)
        self.max_open = limit.open or NEVER  # as figures that are always there: they are looked at by every arrival
        self.day_cap, self.month_cap = limit.day * MILLI or NEVER, limit.month * MILLI or NEVER

    def refill(self, now: int) -> None:
        """Danger: a clock that went back would take away what was given, or give it twice."""
        if now > self.at:
            if self.rate:
                self.level = min(self.cap, self.level + self.rate * (now - self.at))
            self.at = now

    def turn(self, day: int, month: int) -> None:
        """The period in force. Danger: a clock that steps back must not open a closed period again."""
        if day > self.day:
            self.day, self.day_used = day, 0
        if month > self.month:
            self.month, self.month_used = month, 0

    @property
    def neutral(self) -> bool:
        """As good as new: it may be forgotten."""
        return self.level >= self.cap and not (self.open or self.day_used or self.month_used)

    def give_back(self, amount: int, worst: int, used: int, day: int, month: int) -> None:
        """A reservation becomes what was used. A period that has ended meanwhile keeps it: it was counted there."""
        if self.rate:
            level = self.level + (amount - used) * GRAINS
            self.level = level if level < self.cap else self.cap
        self.exposure -= worst - amount
        self.open -= 1
        if day == self.day:
            self.day_used += used - amount
        if month == self.month:
            self.month_used += used - amount

    def wait_for(self, amount: int) -> int:
        """Microseconds until the bucket holds so many milli, or all that it can hold."""
        lacking = min(amount * GRAINS, self.cap) - self.level
        return -(-lacking // self.rate) if lacking > 0 else 0
