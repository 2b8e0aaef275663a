"""Runs deadlines on the event loop: they are swept once in each tick of the loop in which one is due."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from pearhill.core.deadlines import Deadlines
from pearhill.net.tick_meter import TickMeter


class EventLoopTicks:
    """Sweeps `deadlines` from the loop's timers until `close`. `tick_meter` measures the ticks with a sweep."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, deadlines: Deadlines, tick_meter: TickMeter | None = None
    ) -> None:
        self._loop = loop
        self._tick_meter = tick_meter
        self._deadlines = deadlines
        self._handle: asyncio.TimerHandle | None = None
        deadlines.on_earlier_due = self._arm
        self._arm_earliest()

    def _arm_earliest(self) -> None:
        earliest = self._deadlines.earliest
        if earliest is not None:
            self._arm(earliest)

    def _arm(self, when: int) -> None:
        """Schedule the next sweep at this time of the deadlines' clock, in microseconds."""
        if self._handle:
            self._handle.cancel()
        wait_us = max(0, when - self._deadlines.clock())
        # The loop's timers count whole milliseconds. Rounding up prevents a sweep before its deadline.
        wait_ms = (wait_us + 999) // 1000
        self._handle = self._loop.call_later(wait_ms / 1000, self._sweep)

    def _sweep(self) -> None:
        self._handle = None
        if self._tick_meter:
            self._tick_meter.record_work()
        try:
            self._deadlines.run_due()
        finally:
            self._arm_earliest()

    def close(self) -> None:
        """Stop sweeping."""
        if self._handle:
            self._handle.cancel()
        self._deadlines.on_earlier_due = lambda at: None


@asynccontextmanager
async def time_limit(deadlines: Deadlines, micros: int) -> AsyncIterator[None]:
    """Raise TimeoutError in the body after this many microseconds."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        key = deadlines.schedule_after(micros, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            deadlines.cancel(key)


async def pause(deadlines: Deadlines, micros: int) -> None:
    """Wait for this many microseconds."""
    elapsed = asyncio.get_running_loop().create_future()
    key = deadlines.schedule_after(
        micros,
        lambda: None if elapsed.done() else elapsed.set_result(None),
        lambda error: None if elapsed.done() else elapsed.set_exception(error),
    )
    try:
        await elapsed
    finally:
        deadlines.cancel(key)
