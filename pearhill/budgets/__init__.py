"""Token budgets: who may spend how much, counted and enforced. No I/O; every call is told the time."""

from pearhill.budgets.budgets import Budgets
from pearhill.budgets.limits import (
    AdmissionDecision,
    AdmissionStatus,
    Limit,
    Plan,
    Prices,
    Reservation,
    TenantPlan,
    Usage,
)

__all__ = [
    "AdmissionStatus",
    "Budgets",
    "Limit",
    "Plan",
    "Prices",
    "Reservation",
    "AdmissionDecision",
    "TenantPlan",
    "Usage",
]
