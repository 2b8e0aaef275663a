"""What budgets are told, and what they answer.

Amounts are thousandths of a token ("milli"), so that a cached token may cost a tenth. Balances are kept in grains: a
rate in milli a minute times microseconds is a whole number of them, so that nothing is lost by rounding.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from pearhill.routing.events import AdmissionStatus

MILLI = 1_000
GRAINS = 60_000_000  # in a milli
DAY = 86_400  # seconds


@dataclass(frozen=True, slots=True)
class Limit:
    """One level's limits. 0: no limit of that sort. Tokens; `debt` bounds what answers may outgrow their
    reservations by, all open ones together."""

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


@dataclass(frozen=True, slots=True)
class TenantPlan:
    """A tenant's guarantee, its part of what is spare (`weight`; 0: it gets none), and each of its keys' limits."""

    limit: Limit = Limit()
    account: str = ""
    weight: float = 1.0
    key_limit: Limit = Limit()


@dataclass(frozen=True, slots=True)
class Prices:
    """In thousandths of what a prompt's token costs."""

    cached: int = MILLI
    answer: int = MILLI

    def of(self, prompt: int, cached: int, answer: int) -> int:
        """What a run costs, in milli. `cached` tokens are among the prompt's."""
        cached = min(cached, prompt)
        return (prompt - cached) * MILLI + cached * self.cached + answer * self.answer


@dataclass(frozen=True, slots=True)
class Plan:
    """All limits in force. `capacity`: tokens a minute that the fleet bears; 0: nothing spare is given out."""

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
        return self.tenants.get(name, self.default)


@dataclass(slots=True)
class AdmissionDecision:
    """How an arrival stands. `wait`: microseconds until it would be let in, as far as can be told. `why`: the level
    and the limit that speak against it. `lasting`: a quota is used up, and coming back soon is of no use."""

    status: AdmissionStatus
    retry_after: int = 0
    reason: str = ""
    quota_exhausted: bool = False
    reservation: Reservation | None = None

    @property
    def admitted(self) -> bool:
        return self.reservation is not None


@dataclass(frozen=True, slots=True)
class Usage:
    """What a run has used, in tokens. `cached` are among the prompt's."""

    prompt: int = 0
    cached: int = 0
    answer: int = 0


@dataclass(slots=True)
class Reservation:
    """What is held for one request until it is settled. `amount` and `worst` are milli; `day` and `month` are the
    period that it belongs to, whenever it ends."""

    number: int
    tenant: str
    key: str
    account: str
    amount: int
    worst: int
    spare: bool
    day: int
    month: int
    nodes: tuple[object, ...] = ()
    settled: bool = False


def periods(wall: int) -> tuple[int, int]:
    """The day and the month (both counted since 1970, in UTC) of a time in seconds. Source: H. Hinnant's
    "chrono-compatible low-level date algorithms", civil_from_days."""
    day = wall // DAY
    z = day + 719_468
    era = z // 146_097
    doe = z - era * 146_097
    yoe = (doe - doe // 1_460 + doe // 36_524 - doe // 146_096) // 365
    doy = doe - (365 * yoe + yoe // 4 - yoe // 100)
    mp = (5 * doy + 2) // 153
    month = mp + 3 if mp < 10 else mp - 9
    return day, (yoe + era * 400 + (month <= 2) - 1970) * 12 + month - 1


def month_name(month: int) -> str:
    return f"{1970 + month // 12}-{month % 12 + 1:02}"


def month_of(name: str) -> int:
    """The number of a month given as YYYY-MM. ValueError: it is none."""
    year, dash, month = name.partition("-")
    if not (
        dash
        and len(year) == 4
        and len(month) == 2
        and year.isdecimal()
        and month.isdecimal()
        and 1 <= int(month) <= 12
        and int(year) >= 1970
    ):
        raise ValueError(f"{name!r} is no month as in 2026-12")
    return (int(year) - 1970) * 12 + int(month) - 1


__all__ = [
    "DAY",
    "AdmissionStatus",
    "GRAINS",
    "MILLI",
    "AdmissionStatus",
    "Limit",
    "Plan",
    "Prices",
    "Reservation",
    "AdmissionDecision",
    "TenantPlan",
    "Usage",
    "month_name",
    "month_of",
    "periods",
]
