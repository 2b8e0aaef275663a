"""What engines have told of their load, and how far that can still be believed.

A report is old when it comes (an engine writes it a few times a second, and it travels), and work comes and goes:
what it says of the queue is worth half after `FADE`. Of engines that have told nothing there is no guess here; the
Router has its own evidence of those.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from pearhill.routing.events import LoadReport

FADE = 400_000  # microseconds after which half of a report still holds: reads take 0.1 to 0.5 s each
FRESH = 300_000  # engines renew their reports about so often: asked again sooner, they would say the same
MOST_WAITING = 10_000.0  # thousands of tokens; a report that says more is not believed


class Reports:
    """The last report of each engine."""

    def __init__(self) -> None:
        self._last: dict[int, tuple[int, float, float]] = {}  # when it came, memory share, tokens waiting

    def __len__(self) -> int:
        return len(self._last)

    def receive(self, now: int, engine: int, load: tuple[float, float] | None) -> bool:
        """A report has come. False: it tells nothing that can be so, and what was known stays."""
        # Danger: a figure that is no number compares as neither more nor less, and would win every choice.
        if load is None or not all(math.isfinite(x) and x >= 0 for x in load) or load[1] > MOST_WAITING:
            return False
        self._last[engine] = now, min(1.0, load[0]), load[1] * 1000
        return True

    def fresh(self, now: int, engine: int) -> bool:
        """Whether asking again would bring nothing new."""
        last = self._last.get(engine)
        return last is not None and now - last[0] < FRESH

    def report(self, now: int, engine: int, ejected_until: int = 0) -> LoadReport:
        at, held, waiting = self._last.get(engine, (now, 0.0, 0.0))
        # Beyond a few halvings it is as good as nothing, and says so: an old word must not outvote fresh evidence.
        sure = 0.5 ** ((now - at) / FADE) if engine in self._last and now - at < 5 * FADE else 0.0
        return LoadReport(engine, held, waiting * sure, sure, ejected_until)

    def keep(self, engines: Collection[int]) -> None:
        """Danger: where machines come and go under new names, what is kept of each fills the memory."""
        for gone in self._last.keys() - set(engines):
            del self._last[gone]
