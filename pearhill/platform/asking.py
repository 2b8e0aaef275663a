"""When discovery is asked: for what, and how soon again. Free of I/O; times are microseconds."""

from __future__ import annotations

import random

SHARE = 150_000  # of one service's time for each dispatcher: by so much are their calls spread
LEAST, LONGEST = 100_000, 20_000_000  # between a failed call and the next, where all ask one service
LONGEST_OWN = 1_000_000  # and where each asks an agent of its own, which costs nobody anything


class Asking:
    """`shared`: discovery is one service that all dispatchers ask in turn (`on_request`), not a push to each.

    Danger: asked at once after every failure, such a service answers nobody. Forty dispatchers that started together
    and came back every 100 ms kept it full, and none of them heard of a change for as long as the day lasted. So each
    draws its first call and every further one at random from a span that all have room in (full jitter), twice as
    long after each failure."""

    def __init__(self, shared: bool, instances: int, rng: random.Random) -> None:
        self.rng, self.failures = rng, 0
        self.reconfigure(shared, instances)
        self._last = LEAST

    def reconfigure(self, shared: bool, instances: int) -> None:
        """In force from the next call on."""
        self.shared, self.span = shared, SHARE * max(1, instances)

    def first(self) -> int:
        """How long after the start the first call is made."""
        return int(self.rng.uniform(0, self.span)) if self.shared else 0

    def answered(self) -> None:
        self.failures, self._last = 0, LEAST

    def failed(self) -> int:
        """How long to wait after a call that failed."""
        self.failures += 1
        if self.shared:
            most = min(LONGEST, self.span * 2 ** min(self.failures, 16))
            return LEAST + int(self.rng.uniform(0, most))
        # Decorrelated jitter: soon again, for a watch goes on only within 200 ms, and never in step.
        self._last = min(LONGEST_OWN, int(self.rng.uniform(LEAST / 2, 3 * self._last)))
        return self._last
