"""Token budgets: counts and limits what each tenant may use. Performs no I/O; every call is given the time."""

from pearhill.budgets.budgets import Budgets
from pearhill.budgets.limits import Limit, Plan, Prices, TenantPlan
from pearhill.budgets.reservation import AdmissionDecision, Reservation, Usage
from pearhill.routing.events import AdmissionStatus

__all__ = [
    "AdmissionDecision",
    "AdmissionStatus",
    "Budgets",
    "Limit",
    "Plan",
    "Prices",
    "Reservation",
    "TenantPlan",
    "Usage",
]
