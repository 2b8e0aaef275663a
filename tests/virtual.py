"""An event loop on which time passes only while everybody waits: days of deadlines in milliseconds, always alike."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class _Jumps:
    """Selects what is there, and moves the clock on instead of waiting for what is not."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop, self._real = loop, selectors.DefaultSelector()

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = self._real.select(0)
        if not ready:
            assert timeout is not None, "everybody waits, and nothing is due"
            self._loop.now += max(0.0, timeout)
        return ready

    def __getattr__(self, name: str) -> Any:
        return getattr(self._real, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.now = 1_000.0
        super().__init__(_Jumps(self))  # type: ignore[arg-type]

    def time(self) -> float:
        return self.now

    def micros(self) -> int:
        return round(self.now * 1_000_000)
