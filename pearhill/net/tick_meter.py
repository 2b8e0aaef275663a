"""Measures the ticks of the event loop: how long other work waits while one tick runs its callbacks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pearhill.counters import Counters

MICROSECONDS = 1_000_000


class TickMeter:
    """Measures ticks while the loop has work, and keeps the longest in `Counters.longest_tick_us`.

    Between two ticks with work, a callback of the next tick is always scheduled, so the loop does not wait for sockets
    or timers in the time that is measured. `clock` returns seconds.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, counters: Counters, clock: Callable[[], float] = time.perf_counter
    ) -> None:
        self._loop = loop
        self._counters = counters
        self._clock = clock
        self._measuring = False
        self._has_work = False  # reported since the tick began
        self._began = 0.0

    def record_work(self) -> None:
        """Report that the present tick has work: a readable socket or a due timer. The first report begins the
        measurement, so it belongs in the callback that the loop calls first."""
        self._has_work = True
        if not self._measuring:
            self._measuring = True
            self._began = self._clock()
            self._loop.call_soon(self._end_tick)

    def _end_tick(self) -> None:
        now = self._clock()
        elapsed_us = int((now - self._began) * MICROSECONDS)
        self._counters.longest_tick_us = max(self._counters.longest_tick_us, elapsed_us)
        self._began = now
        self._measuring = self._has_work
        self._has_work = False
        if self._measuring:
            self._loop.call_soon(self._end_tick)
