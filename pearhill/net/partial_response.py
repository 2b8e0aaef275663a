"""Counts the incomplete chunk and event of one response, once they are large, towards the limit for all responses."""

from __future__ import annotations

from collections.abc import Callable

from pearhill.net.memory_limit import MemoryLimit

UNCOUNTED_BYTES = 8 * 1024  # as small as nearly all of them are: they are not worth the work of counting


class PartialResponse:
    """What is buffered of one response: a `MemoryHolder`. `on_discard` is called if it has to be given up, because it
    is the largest of too many, and calls `release`."""

    def __init__(self, memory: MemoryLimit, on_discard: Callable[[], None]) -> None:
        self.held_bytes = 0
        self._memory = memory
        self._on_discard = on_discard

    @property
    def discardable_bytes(self) -> int:
        """All that is held: a response without its end must not displace the others."""
        return self.held_bytes

    def discard_newest(self) -> None:
        """Give up the response."""
        self._on_discard()

    def record(self, size: int) -> None:
        """Count `size` bytes from now on, if they are many. A response may be given up then, maybe this one."""
        if not self.held_bytes and size <= UNCOUNTED_BYTES:
            return
        self.held_bytes = size
        self._memory.update(self)
        self._memory.reclaim()

    def release(self) -> None:
        """Count it no longer, as it has ended. The callback is dropped: otherwise its owner, and with it the request's
        body, would stay in memory until the garbage collector runs."""
        self._on_discard = _do_nothing
        if self.held_bytes:
            self.held_bytes = 0
            self._memory.update(self)


def _do_nothing() -> None:
    """Replaces the callback of a response that has ended."""
