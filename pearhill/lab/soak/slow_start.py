"""What a cold replica bears: requests in any window of the settings, by its age."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from pearhill.lab.soak.records import SECOND


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits that the settings name, in microseconds; `warm_rate`: requests a second that a warm replica bears."""

    release_within: int
    drain_grace: int
    cold: int
    cold_from: float
    fall: int
    fall_multiple: float
    warm_rate: float

    def slow_start_limit(self, age: int) -> float:
        """Requests that a replica started so long ago bears within one window."""
        share = min(1.0, self.cold_from + (1 - self.cold_from) * max(0, age) / self.cold)
        calls = self.fall_multiple * share * self.warm_rate * self.fall / SECOND
        root = math.sqrt(calls)
        return calls + (3 * root + 3 if calls < 30 else 2 * root + 2)


@dataclass(slots=True)
class _Cold:
    started: int
    arrivals: deque[int] = field(default_factory=deque)


class ColdReplicas:
    """Those whose cold start discovery has told everybody."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self._cold: dict[str, _Cold] = {}

    def started(self, at: int, replica: str) -> None:
        self._cold[replica] = _Cold(at)

    def is_cold(self, replica: str) -> bool:
        return replica in self._cold

    def arrived(self, at: int, replica: str) -> str:
        """One request more. What is wrong with it; empty: nothing."""
        cold = self._cold.get(replica)
        if cold is None:
            return ""
        if at > cold.started + self.rules.cold + self.rules.fall:
            del self._cold[replica]
            return ""
        cold.arrivals.append(at)
        while cold.arrivals[0] < at - self.rules.fall:
            cold.arrivals.popleft()
        age, count = at - cold.started, len(cold.arrivals)
        limit = self.rules.slow_start_limit(age)
        if count <= limit:
            return ""
        cold.arrivals.clear()
        return f"{count} requests in a window at {replica}, {age // 1000} ms old, which bears {limit:.1f}"
