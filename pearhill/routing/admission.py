"""Load shedding: by the token budget's verdict, and by priority weight and quota when prefilling takes too long."""

from __future__ import annotations

from pearhill.routing.events import AdmissionStatus, RequestArrived
from pearhill.routing.settings import RouterSettings
from pearhill.routing.statistics import STEP_INTERVAL_US

LATENCY_SHARE_FOR_PREFILL = 0.35  # of the latency objective, for the lowest priority; twice that for the highest
USAGE_DECAY = 0.8  # what a step leaves of the requests counted by tenant
USAGE_PRIOR = 5  # requests; fewer than that from one tenant are too few to judge its share by


def is_over_budget(request: RequestArrived) -> bool:
    """Whether the token budget speaks against the request."""
    return request.admission in (AdmissionStatus.OVER_LIMIT, AdmissionStatus.OVERDRAWN)


class Admission:
    """Requests by tenant against their quotas, and how long prefilling may take before a request is rejected."""

    def __init__(self, settings: RouterSettings) -> None:
        self.usage: dict[int, float] = {}  # requests by tenant, over some five steps
        self.reconfigure(settings)

    def reconfigure(self, settings: RouterSettings) -> None:
        """Other settings from now on."""
        self._settings = settings
        self._highest_priority = max(spec.priority_weight for spec in settings.classes) or 1

    def record_arrival(self, request: RequestArrived) -> None:
        """Count the request against its tenant's quota; a retry counts once."""
        self.usage[request.tenant] = self.usage.get(request.tenant, 0.0) + (not request.is_retry)

    def prefill_time_limit(self, request: RequestArrived, time_left: int) -> float:
        """Microseconds that prefilling may take: a share of the time left, the larger the higher the priority."""
        priority = self._priority_weight(request) / self._highest_priority
        return time_left * LATENCY_SHARE_FOR_PREFILL * (1 + priority)

    def _priority_weight(self, request: RequestArrived) -> float:
        """The class's priority weight, less for the part of its tenant's requests that are beyond its quota."""
        weight = self._settings.classes[request.request_class].priority_weight
        return weight * (1 - self._share_over_quota(request) * (1 - self._settings.over_quota_weight))

    def _share_over_quota(self, request: RequestArrived) -> float:
        settings = self._settings
        # What is admitted out of others' unused capacity must not displace what is guaranteed.
        if request.admission == AdmissionStatus.BURST:
            return 1.0
        if request.tenant >= len(settings.quotas):
            return 0.0
        quota = settings.quotas[request.tenant] / settings.instances * 5 * STEP_INTERVAL_US / 1_000_000
        return max(0.0, 1 - (quota + USAGE_PRIOR) / (self.usage.get(request.tenant, 0.0) + USAGE_PRIOR))

    def step(self) -> None:
        """Every `STEP_INTERVAL_US`: what was counted decays."""
        self.usage = {tenant: requests * USAGE_DECAY for tenant, requests in self.usage.items()}
