"""An event loop with a virtual clock, which advances only while all tasks wait: tests are fast and repeatable."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class _NonBlockingSelector:
    """A selector that never blocks: without a ready socket it advances the clock by the time-out."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop, self._selector = loop, selectors.DefaultSelector()

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = self._selector.select(0)
        if not ready:
            assert timeout is not None, "deadlock: all tasks wait, and no timer is scheduled"
            self._loop.now += max(0.0, timeout)
        return ready

    def __getattr__(self, name: str) -> Any:
        return getattr(self._selector, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.now = 1_000.0
        super().__init__(_NonBlockingSelector(self))  # type: ignore[arg-type]

    def time(self) -> float:
        return self.now

    def micros(self) -> int:
        return round(self.now * 1_000_000)
