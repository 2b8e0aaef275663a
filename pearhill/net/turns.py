"""Measures the turns of the event loop: how long other work waits while one turn runs its callbacks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from pearhill.counters import Counters

MICROSECONDS = 1_000_000


class TurnMeter:
    """Measures turns while the loop has work, and keeps the longest in `Counters.longest_turn_us`.

    Between two turns with work, a callback of the next turn is always scheduled, so the loop does not wait for sockets
    or timers in the time that is measured. `clock` returns seconds.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, counters: Counters, clock: Callable[[], float] = time.perf_counter
    ) -> None:
        self._loop = loop
        self._counters = counters
        self._clock = clock
        self._measuring = False
        self._has_work = False  # reported since the turn began
        self._began = 0.0

    def record_work(self) -> None:
        """Report that the present turn has work: a readable socket or a due timer. The first report begins the
        measurement, so it belongs in the callback that the loop calls first."""
        self._has_work = True
        if not self._measuring:
            self._measuring = True
            self._began = self._clock()
            self._loop.call_soon(self._end_turn)

    def _end_turn(self) -> None:
        now = self._clock()
        elapsed_us = int((now - self._began) * MICROSECONDS)
        self._counters.longest_turn_us = max(self._counters.longest_turn_us, elapsed_us)
        self._began = now
        self._measuring = self._has_work
        self._has_work = False
        if self._measuring:
            self._loop.call_soon(self._end_turn)
