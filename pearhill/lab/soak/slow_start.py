"""The slow-start rule: a limit on the requests that a cold replica receives within a window, by its age.

The limit grows to the rate that warm replicas of the same role are observed to receive.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from pearhill.lab.soak.records import SECOND

PEERS_WINDOWS = 4  # the rate of warm peers is taken over so many windows of the settings


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """The limits of the settings; times are in microseconds.

    `warm_rate`: requests per second that a warm replica can serve at least.
    """

    release_within: int
    drain_grace: int
    warm_up_time: int
    initial_share: float
    window: int
    window_multiple: float
    warm_rate: float

    def slow_start_limit(self, age: int, warm_rate: float) -> float:
        """Returns the limit of requests within one window for a replica of this age.

        `warm_rate`: the requests per second that a warm replica receives.
        """
        share = min(1.0, self.initial_share + (1 - self.initial_share) * max(0, age) / self.warm_up_time)
        expected = self.window_multiple * share * warm_rate * self.window / SECOND
        deviation = math.sqrt(expected)
        return expected + (3 * deviation + 3 if expected < 30 else 2 * deviation + 2)


@dataclass(slots=True)
class _ColdReplica:
    started_at: int
    arrivals: deque[int] = field(default_factory=deque)


class ColdReplicas:
    """The replicas whose cold start was published to all dispatchers, and the arrivals at their warm peers."""

    def __init__(self, limits: PlatformLimits) -> None:
        self.limits = limits
        self._cold: dict[str, _ColdReplica] = {}
        self._warm: dict[str, dict[str, deque[int]]] = {}  # recent arrivals by role and replica

    def replica_started(self, at: int, replica: str) -> None:
        """Record that the replica has started cold."""
        self._cold[replica] = _ColdReplica(at)
        for peers in self._warm.values():
            peers.pop(replica, None)

    def is_cold(self, replica: str) -> bool:
        """Returns whether the replica was still warming up at its last arrival."""
        return replica in self._cold

    def attempt_arrived(self, at: int, replica: str, role: str) -> str:
        """Record the arrival of a request. Returns a description of the violation, or "" if there is none."""
        cold = self._cold.get(replica)
        if cold and at > cold.started_at + self.limits.warm_up_time:  # the rule does not apply to a warm replica
            del self._cold[replica]
            cold = None
        if cold is None:
            _add_arrival(
                self._warm.setdefault(role, {}).setdefault(replica, deque()), at, PEERS_WINDOWS * self.limits.window
            )
            return ""
        _add_arrival(cold.arrivals, at, self.limits.window)
        age, count = at - cold.started_at, len(cold.arrivals)
        limit = self.limits.slow_start_limit(age, self._warm_rate(at, role))
        if count <= limit:
            return ""
        cold.arrivals.clear()
        return f"{count} requests in a window at {replica}, {age // 1000} ms old, whose limit is {limit:.1f}"

    def _warm_rate(self, at: int, role: str) -> float:
        """Returns the highest rate of requests per second at a warm peer: all replicas of a role are alike."""
        span = PEERS_WINDOWS * self.limits.window
        seen = max((sum(each >= at - span for each in times) for times in self._warm.get(role, {}).values()), default=0)
        return max(self.limits.warm_rate, seen * SECOND / span)


def _add_arrival(arrivals: deque[int], at: int, span: int) -> None:
    arrivals.append(at)
    while arrivals[0] < at - span:
        arrivals.popleft()
