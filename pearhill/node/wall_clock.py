"""Detects steps of the wall clock within half a second, so that replicas' start times stay correct."""

from __future__ import annotations

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.clock import wall_clock
from pearhill.routing.start_times import StartTimes
from pearhill.routing.topology import Endpoint

WALL_CLOCK_CHECK_INTERVAL_US = 500_000


class WallClockObserver:
    """Compares the wall clock with the dispatcher's monotonic clock, and translates start times to the latter."""

    def __init__(self, deadlines: Deadlines, counters: Counters) -> None:
        self._deadlines = deadlines
        self._counters = counters
        self._start_times = StartTimes(deadlines.clock(), wall_clock())
        self._check_periodically()

    def translate_start_times(self, full: bool, entries: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Returns endpoints with start times by the dispatcher's clock. With `full`, they replace all earlier ones."""
        self._check()
        return self._start_times.translate(self._deadlines.clock(), full, entries)

    def _check_periodically(self) -> None:
        self._check()
        self._deadlines.schedule_after(WALL_CLOCK_CHECK_INTERVAL_US, self._check_periodically)

    def _check(self) -> None:
        step = self._start_times.observe(self._deadlines.clock(), wall_clock())
        if step:
            self._counters.clock_steps += 1
            logger.warning("clock: the wall clock was stepped by {ms} ms", ms=step // 1000)
