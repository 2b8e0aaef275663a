"""Every timer of the process in one sorted structure. The event loop runs the callbacks that are due."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

Clock = Callable[[], int]  # microseconds
TimerKey = tuple[int, int]  # due time, and a sequence number that orders callbacks of the same due time


class Deadlines:
    """Callbacks by due time, in microseconds of `clock`.

    `on_earlier_due` is called with the earliest due time whenever a new callback makes it earlier.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.on_earlier_due: Callable[[int], None] = lambda at: None
        self._callbacks: SortedDict[TimerKey, Callable[[], None]] = SortedDict()
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._callbacks)

    @property
    def earliest(self) -> int | None:
        """The due time of the next callback, or None if there is none."""
        return self._callbacks.peekitem(0)[0][0] if self._callbacks else None

    def schedule_at(self, when: int, callback: Callable[[], None]) -> TimerKey:
        """Run a callback at time `when`, or in the next `run_due` if that has passed. Returns a key for `cancel`."""
        self._last_sequence += 1
        key = (when, self._last_sequence)
        self._callbacks[key] = callback
        if self._callbacks.peekitem(0)[0] == key:
            self.on_earlier_due(when)
        return key

    def schedule_after(self, wait: int, callback: Callable[[], None]) -> TimerKey:
        """Run a callback in `wait` microseconds. Returns a key for `cancel`."""
        return self.schedule_at(self.clock() + wait, callback)

    def cancel(self, key: TimerKey | None) -> None:
        """Remove a callback. A key whose callback has already run, or None, has no effect."""
        if key is not None:
            self._callbacks.pop(key, None)

    def run_due(self) -> None:
        """Run the callbacks that are due. Callbacks added meanwhile wait for the next call, even if already due."""
        now = self.clock()
        last = self._last_sequence
        while self._callbacks:
            key, callback = self._callbacks.peekitem(0)
            when, sequence = key
            if when > now or sequence > last:
                break
            del self._callbacks[key]
            callback()
