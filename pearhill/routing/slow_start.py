"""How many requests a cold replica may get from this process. Free of I/O; times are microseconds.

All processes together push a cold replica over, and none of them knows what the others send. So each takes its own
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

RATE = 0.9  # of my part of what a cold replica bears
FADES, KEEPS = 0.8, 0.95  # what a step leaves of the answers counted before it, and of a rate that has fallen
NEW_AT_LEAST = 0.3  # the weight of the latest answers in the rate


@dataclass(slots=True)
class TokenBucket:
    """What may be sent to one replica while it is cold."""

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

    def share(self, entry: Endpoint, now: int) -> float:
        """The share of its capacity that a replica has surely reached; 1 once it is warm."""
        age = max(0, now - entry.started_at) / self.settings.slow_start_window if entry.started_at else 1.0
        return min(1.0, self.settings.slow_start_initial_share + (1 - self.settings.slow_start_initial_share) * age)

    def is_warm(self, entry: Endpoint, now: int) -> bool:
        return self.share(entry, now) >= 1

    def admits(self, entry: Endpoint, role: str, bucket: TokenBucket, now: int) -> bool:
        """Whether the replica may get one request more; where no answer tells a rate, all processes together send one
        in a window."""
        share, settings = self.share(entry, now), self.settings
        if share >= 1:
            return True
        rate = max(
            settings.overload_multiple * share * self.answer_rate[role] * (entry.weight or 1) * RATE,
            RATE / settings.overload_window / settings.instances,
        )
        age = max(0, now - max(bucket.filled_at, entry.started_at))
        most = max(rate * settings.overload_window / 2, 1)
        bucket.tokens, bucket.filled_at = min(most, bucket.tokens + rate * age), now
        return bucket.tokens >= 1

    def answered(self, role: str, warm_weight: float, requests: float) -> None:
        """A warm replica has finished so many requests of mean work. `warm_weight`: of all warm ones of its role now;
        shared out later, over the few that a release leaves warm, past answers would overrate each."""
        self._answered[role] += requests * (1 - FADES) / STEP_INTERVAL_US / max(1, warm_weight)

    def step(self) -> None:
        """Every `STEP_INTERVAL_US`. A rate that falls is forgotten slowly: a quiet moment makes no replica weaker."""
        self._steps += 1
        new = max(NEW_AT_LEAST, 1 / self._steps)
        for role, answered in self._answered.items():
            seen, before = answered / (1 - FADES**self._steps), self.answer_rate[role]
            self.answer_rate[role] = max(KEEPS * before, (1 - new) * before + new * seen)
            self._answered[role] *= FADES
