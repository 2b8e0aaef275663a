"""The records of a request in the budgets: the admission decision, the reservation and the usage."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.budgets.level import BudgetLevel
from pearhill.routing.events import AdmissionStatus


@dataclass(slots=True)
class AdmissionDecision:
    """Whether an arriving request is admitted.

    `retry_after` is the time in microseconds after which it may be admitted, 0 if none is known. `reason` names the
    level and the limit that reject it. `quota_exhausted` is true where a retry soon would be rejected too: a quota of
    the day or month is used up, or the request exceeds burst and debt. `reservation` is None for a rejected request.
    """

    status: AdmissionStatus
    retry_after: int = 0
    reason: str = ""
    quota_exhausted: bool = False
    reservation: Reservation | None = None


@dataclass(frozen=True, slots=True)
class Usage:
    """The tokens that a request used. `cached` tokens are part of `prompt`."""

    prompt: int = 0
    cached: int = 0
    answer: int = 0


@dataclass(slots=True)
class Reservation:
    """The amount reserved for one request until it is settled.

    `amount` and `max_cost` (the highest possible cost) are in milli. `day` and `month` are the period in which the
    request was admitted; its charge counts there, whenever it ends. `is_burst` is true if the amount was borrowed from
    burst capacity, not subtracted from the tenant's own bucket. The first of `levels` is the tenant's.
    """

    number: int
    tenant: str
    key: str
    account: str
    amount: int
    max_cost: int
    is_burst: bool
    day: int
    month: int
    levels: tuple[BudgetLevel, ...] = ()
    settled: bool = False
