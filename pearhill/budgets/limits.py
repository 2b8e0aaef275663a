"""The limits and prices of the configuration.

Amounts are in thousandths of a token ("milli"), so that a cached token may cost a tenth. Balances are in grains:
a milli is 60,000,000 grains, one for each microsecond of a minute, so that a rate in milli a minute times microseconds
is a whole number of grains and no refill is rounded.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MILLI_PER_TOKEN = 1_000
GRAINS_PER_MILLI = 60_000_000


@dataclass(frozen=True, slots=True)
class Limit:
    """The limits of one level, in tokens and requests; 0 means no limit of that kind.

    `debt` limits the tokens that the answers of all open requests together may use beyond their reservations.
    """

    tokens_per_min: int = 0
    burst: int = 0
    day: int = 0
    month: int = 0
    open: int = 0
    debt: int = 0

    def __post_init__(self) -> None:
        for name in ("tokens_per_min", "burst", "day", "month", "open", "debt"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name}: must be 0 or more")
        if self.tokens_per_min and not self.burst:
            raise ValueError("burst: must be above 0 where tokens_per_min is set")


NO_LIMIT = Limit()


@dataclass(frozen=True, slots=True)
class TenantPlan:
    """A tenant's guaranteed limits, its weight for burst capacity (0 excludes it), and the limits of each key."""

    limit: Limit = NO_LIMIT
    account: str = ""
    weight: float = 1.0
    key_limit: Limit = NO_LIMIT


@dataclass(frozen=True, slots=True)
class Prices:
    """The prices of tokens, in thousandths of the price of a prompt token."""

    cached: int = MILLI_PER_TOKEN
    answer: int = MILLI_PER_TOKEN

    def cost(self, prompt: int, cached: int, answer: int) -> int:
        """Returns the cost of a request in milli. The `cached` tokens are part of the `prompt` tokens."""
        cached = min(cached, prompt)
        return (prompt - cached) * MILLI_PER_TOKEN + cached * self.cached + answer * self.answer


@dataclass(frozen=True, slots=True)
class Plan:
    """All limits in force. `capacity` is what the fleet can serve in tokens a minute; 0 disables burst capacity."""

    tenants: Mapping[str, TenantPlan] = field(default_factory=dict)
    accounts: Mapping[str, Limit] = field(default_factory=dict)
    default: TenantPlan = TenantPlan()
    prices: Prices = Prices()
    capacity: int = 0
    capacity_burst: int = 0

    def __post_init__(self) -> None:
        for name, tenant in self.tenants.items():
            if tenant.account and tenant.account not in self.accounts:
                raise ValueError(f"tenant {name!r}: account {tenant.account!r} is not declared")
        if self.capacity and not self.capacity_burst:
            raise ValueError("capacity_burst: must be above 0 where capacity is set")

    def tenant(self, name: str) -> TenantPlan:
        """Returns the plan of a tenant, or the default plan."""
        return self.tenants.get(name, self.default)
