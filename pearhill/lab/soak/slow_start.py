"""What a cold replica bears: requests in any window of the settings, by its age, of what warm ones are seen to bear."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from pearhill.lab.soak.records import SECOND

PEERS_WINDOWS = 4  # of the settings' window: over so many what warm peers get is looked at


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """The limits that the settings name, in microseconds; `warm_rate`: requests a second that a warm replica bears at
    the least."""

    release_within: int
    drain_grace: int
    warm_up_time: int
    initial_share: float
    window: int
    window_multiple: float
    warm_rate: float

    def slow_start_limit(self, age: int, warm_rate: float) -> float:
        """Requests that a replica started so long ago bears within one window, if warm ones bear so many a second."""
        share = min(1.0, self.initial_share + (1 - self.initial_share) * max(0, age) / self.warm_up_time)
        calls = self.window_multiple * share * warm_rate * self.window / SECOND
        root = math.sqrt(calls)
        return calls + (3 * root + 3 if calls < 30 else 2 * root + 2)


@dataclass(slots=True)
class _ColdReplica:
    started: int
    arrivals: deque[int] = field(default_factory=deque)


class ColdReplicas:
    """Those whose cold start discovery has told everybody, and what their warm peers get meanwhile."""

    def __init__(self, rules: PlatformLimits) -> None:
        self.rules = rules
        self._cold: dict[str, _ColdReplica] = {}
        self._warm: dict[str, dict[str, deque[int]]] = {}  # by role and replica: its arrivals of late

    def replica_started(self, at: int, replica: str) -> None:
        """The replica has started cold."""
        self._cold[replica] = _ColdReplica(at)
        for peers in self._warm.values():
            peers.pop(replica, None)

    def is_cold(self, replica: str) -> bool:
        """Whether the replica is still warming up, as far as it has been looked at."""
        return replica in self._cold

    def attempt_arrived(self, at: int, replica: str, role: str) -> str:
        """One request more. What is wrong with it; empty: nothing."""
        cold = self._cold.get(replica)
        if cold and at > cold.started + self.rules.warm_up_time:  # a warm one does not fall
            del self._cold[replica]
            cold = None
        if cold is None:
            _add_arrival(
                self._warm.setdefault(role, {}).setdefault(replica, deque()), at, PEERS_WINDOWS * self.rules.window
            )
            return ""
        _add_arrival(cold.arrivals, at, self.rules.window)
        age, count = at - cold.started, len(cold.arrivals)
        limit = self.rules.slow_start_limit(age, self._warm_rate(at, role))
        if count <= limit:
            return ""
        cold.arrivals.clear()
        return f"{count} requests in a window at {replica}, {age // 1000} ms old, which bears {limit:.1f}"

    def _warm_rate(self, at: int, role: str) -> float:
        """Requests a second that some warm peer is seen to bear: all replicas of a role are alike."""
        span = PEERS_WINDOWS * self.rules.window
        seen = max((sum(each >= at - span for each in got) for got in self._warm.get(role, {}).values()), default=0)
        return max(self.rules.warm_rate, seen * SECOND / span)


def _add_arrival(arrivals: deque[int], at: int, span: int) -> None:
    arrivals.append(at)
    while arrivals[0] < at - span:
        arrivals.popleft()
