"""Load shedding, by the token budget's decision and, while prefills are slow, by priority weight and tenant quota."""

from __future__ import annotations

from pearhill.routing.events import AdmissionStatus, RequestArrived
from pearhill.routing.settings import RouterSettings
from pearhill.routing.statistics import STEP_INTERVAL_US

LATENCY_SHARE_FOR_PREFILL = 0.35  # of the time left at the lowest priority; twice that at the highest
USAGE_DECAY = 0.8  # factor applied to each tenant's request count at each step
USAGE_PRIOR = 5  # requests; fewer from one tenant are too few to estimate its usage from


def is_over_budget(request: RequestArrived) -> bool:
    """Return whether the token budget rejects the request."""
    return request.admission in (AdmissionStatus.OVER_LIMIT, AdmissionStatus.OVERDRAWN)


class Admission:
    """Counts requests by tenant against their quotas, and limits how long the prefill of a request may take."""

    def __init__(self, settings: RouterSettings) -> None:
        self.usage: dict[int, float] = {}  # requests by tenant, over about five steps
        self.reconfigure(settings)

    def reconfigure(self, settings: RouterSettings) -> None:
        """Use other settings from now on."""
        self._settings = settings
        self._highest_priority = max(spec.priority_weight for spec in settings.classes) or 1

    def record_arrival(self, request: RequestArrived) -> None:
        """Count the request against its tenant's quota. A client's retry is not counted again."""
        self.usage[request.tenant] = self.usage.get(request.tenant, 0.0) + (not request.is_retry)

    def prefill_time_limit(self, request: RequestArrived, time_left: int) -> float:
        """Return how many microseconds the prefill may take: a share of the time left that grows with the priority."""
        priority = self._priority_weight(request) / self._highest_priority
        return time_left * LATENCY_SHARE_FOR_PREFILL * (1 + priority)

    def _priority_weight(self, request: RequestArrived) -> float:
        """Return the class's priority weight, reduced by the share of the tenant's requests that exceed its quota."""
        weight = self._settings.classes[request.request_class].priority_weight
        return weight * (1 - self._share_over_quota(request) * (1 - self._settings.over_quota_weight))

    def _share_over_quota(self, request: RequestArrived) -> float:
        settings = self._settings
        # Requests admitted out of other tenants' unused capacity must not displace guaranteed ones.
        if request.admission == AdmissionStatus.BURST:
            return 1.0
        if request.tenant >= len(settings.quotas):
            return 0.0
        quota = settings.quotas[request.tenant] / settings.instances * 5 * STEP_INTERVAL_US / 1_000_000
        return max(0.0, 1 - (quota + USAGE_PRIOR) / (self.usage.get(request.tenant, 0.0) + USAGE_PRIOR))

    def step(self) -> None:
        """Let the request counts decay. Called every `STEP_INTERVAL_US`."""
        self.usage = {tenant: requests * USAGE_DECAY for tenant, requests in self.usage.items()}
