"""Slow start: how many requests a warming-up replica may get from this process. Free of I/O; times are microseconds.

All processes together overload a warming-up replica, and none of them knows what the others send. So each takes its own
part of what the replica bears, by what warm replicas of the role have finished for it, as the rate of a token bucket.
Each bucket begins with a random part of a token: of many processes with too little for one request, as many send as
all may.

What a replica bears is counted in requests of the mean work of their class, whatever each of them weighs.
"""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.routing.settings import RouterSettings
from pearhill.routing.statistics import STEP_INTERVAL_US
from pearhill.routing.topology import Endpoint

SAFE_SHARE = 0.9  # of this process's part of what a warming-up replica bears
COUNT_DECAY = 0.8  # what a step leaves of the answers counted before it
FALLING_RATE_DECAY = 0.95  # what a step leaves at least of a rate that falls
MIN_NEW_WEIGHT = 0.3  # the least weight of the latest answers in the rate


@dataclass(slots=True)
class TokenBucket:
    """What may be sent to one replica while it warms up, in requests of mean work."""

    tokens: float
    filled_at: int = 0


class SlowStart:
    """One process's part in the slow start of replicas."""

    def __init__(self, settings: RouterSettings, roles: tuple[str, ...]) -> None:
        self.settings = settings
        # By role: requests of mean work a microsecond that a unit of a warm replica's weight has finished.
        self.answer_rate = dict.fromkeys(roles, 0.0)
        self._answered = dict.fromkeys(roles, 0.0)
        self._steps = 0

    def share(self, endpoint: Endpoint, now: int) -> float:
        """The share of its capacity that a replica has surely reached; 1 once it is warm."""
        initial = self.settings.slow_start_initial_share
        warmth = 1.0
        if endpoint.started_at:
            warmth = max(0, now - endpoint.started_at) / self.settings.slow_start_window
        return min(1.0, initial + (1 - initial) * warmth)

    def is_warm(self, endpoint: Endpoint, now: int) -> bool:
        """Whether the replica has reached its whole capacity."""
        return self.share(endpoint, now) >= 1

    def admits(self, endpoint: Endpoint, role: str, bucket: TokenBucket, now: int) -> bool:
        """Whether the replica may get one request more, after filling its bucket up to now.

        It takes nothing: who sends the request takes a token out of the bucket.
        """
        share = self.share(endpoint, now)
        if share >= 1:
            return True
        rate = self._rate(endpoint, role, share)
        age = max(0, now - max(bucket.filled_at, endpoint.started_at))
        max_tokens = max(rate * self.settings.overload_window / 2, 1)
        bucket.tokens = min(max_tokens, bucket.tokens + rate * age)
        bucket.filled_at = now
        return bucket.tokens >= 1

    def _rate(self, endpoint: Endpoint, role: str, share: float) -> float:
        """Requests a microsecond that this process may send to a replica with this share of its capacity.

        Where no answer has shown a rate yet, all processes together send one request in an overload window.
        """
        settings = self.settings
        weight = endpoint.weight or 1
        borne = settings.overload_multiple * share * self.answer_rate[role] * weight * SAFE_SHARE
        return max(borne, SAFE_SHARE / settings.overload_window / settings.instances)

    def answered(self, role: str, warm_weight: float, requests: float) -> None:
        """A warm replica has finished so many requests of mean work.

        `warm_weight`: of all warm replicas of its role now. Shared out later, over the few that a release leaves warm,
        past answers would overrate each.
        """
        self._answered[role] += requests * (1 - COUNT_DECAY) / STEP_INTERVAL_US / max(1, warm_weight)

    def step(self) -> None:
        """Every `STEP_INTERVAL_US`. A rate that falls is forgotten slowly: a quiet moment makes no replica weaker."""
        self._steps += 1
        new_weight = max(MIN_NEW_WEIGHT, 1 / self._steps)
        for role, answered in self._answered.items():
            seen = answered / (1 - COUNT_DECAY**self._steps)
            before = self.answer_rate[role]
            updated = (1 - new_weight) * before + new_weight * seen
            self.answer_rate[role] = max(FALLING_RATE_DECAY * before, updated)
            self._answered[role] *= COUNT_DECAY
