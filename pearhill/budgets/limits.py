"""The limits in force and the prices, as the configuration has them.

Amounts are thousandths of a token ("milli"), so that a cached token may cost a tenth. Balances are kept in grains: a
rate in milli a minute times microseconds is a whole number of them, so that nothing is lost by rounding.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

MILLI_PER_TOKEN = 1_000
GRAINS_PER_MILLI = 60_000_000


@dataclass(frozen=True, slots=True)
class Limit:
    """The limits of one level, in tokens and requests; 0: no limit of that sort.

    `debt` bounds what answers may outgrow their reservations by, those of all open requests together.
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
                raise ValueError(f"{name}: must not be below 0")
        if self.tokens_per_min and not self.burst:
            raise ValueError("burst: a rate needs one")


NO_LIMIT = Limit()


@dataclass(frozen=True, slots=True)
class TenantPlan:
    """A tenant's guarantee, its weight in sharing burst capacity (0: it gets none), and the limits of each key."""

    limit: Limit = NO_LIMIT
    account: str = ""
    weight: float = 1.0
    key_limit: Limit = NO_LIMIT


@dataclass(frozen=True, slots=True)
class Prices:
    """What tokens cost, in thousandths of the price of a prompt's token."""

    cached: int = MILLI_PER_TOKEN
    answer: int = MILLI_PER_TOKEN

    def cost(self, prompt: int, cached: int, answer: int) -> int:
        """What a run costs, in milli. `cached` tokens are among the prompt's."""
        cached = min(cached, prompt)
        return (prompt - cached) * MILLI_PER_TOKEN + cached * self.cached + answer * self.answer


@dataclass(frozen=True, slots=True)
class Plan:
    """All limits in force. `capacity`: tokens a minute that the fleet bears; 0: there is no burst capacity."""

    tenants: Mapping[str, TenantPlan] = field(default_factory=dict)
    accounts: Mapping[str, Limit] = field(default_factory=dict)
    default: TenantPlan = TenantPlan()
    prices: Prices = Prices()
    capacity: int = 0
    capacity_burst: int = 0

    def __post_init__(self) -> None:
        for name, tenant in self.tenants.items():
            if tenant.account and tenant.account not in self.accounts:
                raise ValueError(f"tenant {name!r}: there is no account {tenant.account!r}")
        if self.capacity and not self.capacity_burst:
            raise ValueError("capacity_burst: a capacity needs one")

    def tenant(self, name: str) -> TenantPlan:
        """A tenant's plan, or the default one."""
        return self.tenants.get(name, self.default)
