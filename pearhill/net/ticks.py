"""Binds the deadlines to the event loop: they are swept once in each turn in which one is due."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from pearhill.core.deadlines import Deadlines


class EventLoopTicks:
    def __init__(self, loop: asyncio.AbstractEventLoop, deadlines: Deadlines) -> None:
        self._loop, self._deadlines = loop, deadlines
        self._handle: asyncio.TimerHandle | None = None
        deadlines.on_sooner = self._arm
        if (earliest := deadlines.earliest) is not None:
            self._arm(earliest)

    def _arm(self, when: int) -> None:
        if self._handle:
            self._handle.cancel()
        wait = max(0, when - self._deadlines.clock())
        # The loop's timers count whole milliseconds: rounded up, a sweep does not come before its deadline.
        self._handle = self._loop.call_later((wait + 999) // 1000 / 1000, self._sweep)

    def _sweep(self) -> None:
        self._handle = None
        try:
            self._deadlines.sweep()
        finally:
            if (earliest := self._deadlines.earliest) is not None:
                self._arm(earliest)

    def close(self) -> None:
        if self._handle:
            self._handle.cancel()
        self._deadlines.on_sooner = lambda at: None


@asynccontextmanager
async def time_limit(deadlines: Deadlines, micros: int) -> AsyncIterator[None]:
    """TimeoutError for the body once the time is over; the deadline stands among all others."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as scope:
        key = deadlines.after(micros, lambda: scope.reschedule(loop.time()))
        try:
            yield
        finally:
            deadlines.cancel(key)


async def pause(deadlines: Deadlines, micros: int) -> None:
    over = asyncio.get_running_loop().create_future()
    key = deadlines.after(micros, lambda: None if over.done() else over.set_result(None))
    try:
        await over
    finally:
        deadlines.cancel(key)
