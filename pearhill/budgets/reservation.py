"""The records of a request's way through the budgets: decision, reservation, usage."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.budgets.level import BudgetLevel
from pearhill.routing.events import AdmissionStatus


@dataclass(slots=True)
class AdmissionDecision:
    """Whether an arrival is admitted.

    `retry_after`: microseconds until it would be, as far as is known. `reason`: the level and the limit that speak
    against it. `quota_exhausted`: a quota is used up, and coming back soon is of no use.
    `reservation`: None where it is not admitted.
    """

    status: AdmissionStatus
    retry_after: int = 0
    reason: str = ""
    quota_exhausted: bool = False
    reservation: Reservation | None = None


@dataclass(frozen=True, slots=True)
class Usage:
    """What a run has used, in tokens. `cached` are among the prompt's."""

    prompt: int = 0
    cached: int = 0
    answer: int = 0


@dataclass(slots=True)
class Reservation:
    """What is held for one request until it is settled.

    `amount` and `worst` (what it could cost) are milli; `day` and `month` are the period that it belongs to, whenever
    it ends. `is_burst`: it is out of burst capacity, not out of the tenant's own bucket. `levels`: the tenant's first.
    """

    number: int
    tenant: str
    key: str
    account: str
    amount: int
    worst: int
    is_burst: bool
    day: int
    month: int
    levels: tuple[BudgetLevel, ...] = ()
    settled: bool = False
