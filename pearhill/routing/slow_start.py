"""Slow start: limits the requests that this dispatcher sends to a warming-up replica.

The module does no I/O; times are in microseconds. All dispatchers together can overload a warming-up replica, and none
of them knows what the others send. So each uses its own part of the replica's capacity as the rate of a token bucket,
and estimates that part from the work that warm replicas of the role have finished for it. Each bucket begins with a
random part of a token: if each of many dispatchers may send less than one request, the number of them that do send one
is then about the sum of their parts.

Capacity is counted in requests of their class's mean work, whatever the work of each of them.
"""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.routing.settings import RouterSettings
from pearhill.routing.statistics import STEP_INTERVAL_US
from pearhill.routing.topology import Endpoint

SAFETY_FACTOR = 0.9  # of this dispatcher's part of a warming-up replica's capacity
COUNT_DECAY = 0.8  # factor applied to the answer counts at each step
FALLING_RATE_DECAY = 0.95  # minimum share of a rate that is kept at each step
MIN_NEW_WEIGHT = 0.3  # minimum weight of the latest answers in the rate


@dataclass(slots=True)
class TokenBucket:
    """The requests that may be sent to one replica while it warms up, as tokens of one mean request each."""

    tokens: float
    filled_at: int = 0


class SlowStart:
    """One dispatcher's part in the slow start of replicas."""

    def __init__(self, settings: RouterSettings, roles: tuple[str, ...]) -> None:
        self.settings = settings
        # By role: requests of mean work per microsecond that warm replicas finished per unit of weight.
        self.answer_rate = dict.fromkeys(roles, 0.0)
        self._finished = dict.fromkeys(roles, 0.0)
        self._steps = 0

    def capacity_share(self, endpoint: Endpoint, now: int) -> float:
        """Return the share of its capacity that a replica is certain to have reached; 1 once it is warm."""
        initial = self.settings.slow_start_initial_share
        progress = 1.0
        if endpoint.started_at:
            progress = max(0, now - endpoint.started_at) / self.settings.slow_start_window
        return min(1.0, initial + (1 - initial) * progress)

    def is_warm(self, endpoint: Endpoint, now: int) -> bool:
        """Return whether the replica has reached its full capacity."""
        return self.capacity_share(endpoint, now) >= 1

    def admits(self, endpoint: Endpoint, role: str, bucket: TokenBucket, now: int) -> bool:
        """Return whether the replica may get one more request, after filling its bucket up to now.

        No token is taken here: `AttemptAccounting.begin` takes it when the request is sent.
        """
        share = self.capacity_share(endpoint, now)
        if share >= 1:
            return True
        rate = self._rate(endpoint, role, share)
        age = max(0, now - max(bucket.filled_at, endpoint.started_at))
        max_tokens = max(rate * self.settings.overload_window / 2, 1)
        bucket.tokens = min(max_tokens, bucket.tokens + rate * age)
        bucket.filled_at = now
        return bucket.tokens >= 1

    def _rate(self, endpoint: Endpoint, role: str, share: float) -> float:
        """Return the requests per microsecond that this dispatcher may send to a replica at this share of its capacity.

        The minimum rate, which also applies before an answer has shown a rate, lets all dispatchers together send one
        request in an overload window.
        """
        settings = self.settings
        weight = endpoint.weight or 1
        estimated_rate = settings.overload_multiple * share * self.answer_rate[role] * weight * SAFETY_FACTOR
        return max(estimated_rate, SAFETY_FACTOR / settings.overload_window / settings.instances)

    def record_finished(self, role: str, warm_weight: float, requests: float) -> None:
        """Record that a warm replica has finished `requests` requests of mean work.

        `warm_weight` is the weight of all warm replicas of its role now. If it were applied later, when a release has
        left few replicas warm, earlier answers would overstate the rate of each.
        """
        self._finished[role] += requests * (1 - COUNT_DECAY) / STEP_INTERVAL_US / max(1, warm_weight)

    def step(self) -> None:
        """Update the rates. Called every `STEP_INTERVAL_US`.

        A rate falls slowly, because a moment of little traffic does not lower the capacity of replicas.
        """
        self._steps += 1
        new_weight = max(MIN_NEW_WEIGHT, 1 / self._steps)
        for role, finished in self._finished.items():
            observed_rate = finished / (1 - COUNT_DECAY**self._steps)
            previous_rate = self.answer_rate[role]
            updated_rate = (1 - new_weight) * previous_rate + new_weight * observed_rate
            self.answer_rate[role] = max(FALLING_RATE_DECAY * previous_rate, updated_rate)
            self._finished[role] *= COUNT_DECAY
