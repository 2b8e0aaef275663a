"""Outlier ejection: replicas and zones whose attempts fail much more often than their peers' get no requests."""

from __future__ import annotations

from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean

MAX_EXCESS_FAILURE_RATE = 1 / 3  # an outlier's failure rate exceeds that of its peers by this much
ZONE_MAX_SAMPLES = 4  # maximum weight of the evidence on a zone


class OutlierDetector:
    """Detects outliers by the failure rates of replicas and of whole zones."""

    def __init__(self) -> None:
        self.zones: dict[int, DecayingMean] = {}  # share of failed attempts, by zone

    def zone_failure_rates(self, now: int) -> dict[int, float]:
        """Return the share of failed attempts by zone."""
        return {zone: rate.value_with_prior(now, 0.0) for zone, rate in self.zones.items()}

    def ejection_threshold(self, now: int) -> float:
        """Return the failure rate from which a replica or zone is an outlier, relative to the zone that fails least."""
        return self._threshold(self.zone_failure_rates(now))

    @staticmethod
    def _threshold(zone_rates: dict[int, float]) -> float:
        return min(zone_rates.values(), default=0.0) + MAX_EXCESS_FAILURE_RATE

    def healthy(self, now: int, candidates: list[ReplicaState]) -> list[ReplicaState]:
        """Return the candidates that are not ejected, or all in healthy zones if most would be (panic threshold)."""
        zone_rates = self.zone_failure_rates(now)
        threshold = self._threshold(zone_rates)
        # In a disconnected zone, each replica has had too few attempts to be detected alone; all of them together have
        # had enough.
        reachable = [r for r in candidates if zone_rates.get(r.endpoint.zone, 0.0) < threshold] or candidates
        healthy = [
            replica
            for replica in reachable
            if replica.ejected_until <= now
            and replica.failure_rate.value_with_prior(now, zone_rates.get(replica.endpoint.zone, 0.0)) < threshold
        ]
        # If most replicas look unhealthy, the detection is likely wrong, and ejecting them would overload the rest.
        return healthy if 2 * len(healthy) >= len(reachable) else reachable

    def record(self, now: int, replica: ReplicaState, failed: bool) -> bool:
        """Record a failed or successful attempt. Returns whether the replica became or ceased to be an outlier."""
        was_outlier = is_outlier(replica)
        sample = 1.0 if failed else 0.0
        replica.failure_rate.add(now, sample)
        self.zones.setdefault(replica.endpoint.zone, DecayingMean(STEP_INTERVAL_US, ZONE_MAX_SAMPLES)).add(now, sample)
        return was_outlier != is_outlier(replica)


def is_outlier(replica: ReplicaState) -> bool:
    """Return whether the replica's own attempts fail too often, regardless of its peers."""
    return replica.failure_rate.value > MAX_EXCESS_FAILURE_RATE
