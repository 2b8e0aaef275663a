"""Every deadline of the process in one sorted structure, swept in each tick of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

Clock = Callable[[], int]  # microseconds
TimerKey = tuple[int, int]  # when a deadline is due, and its place among those of that time


class Deadlines:
    """Callbacks by due time, in microseconds of the clock passed in.

    `on_earlier_due` is called with the earliest due time whenever that moves forward.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.on_earlier_due: Callable[[int], None] = lambda at: None
        self._due: SortedDict[TimerKey, Callable[[], None]] = SortedDict()
        self._count = 0

    def __len__(self) -> int:
        return len(self._due)

    @property
    def earliest(self) -> int | None:
        """When the next callback is due; None: there is none."""
        return self._due.peekitem(0)[0][0] if self._due else None

    def schedule_at(self, when: int, callback: Callable[[], None]) -> TimerKey:
        """Call back at a time, or in the next sweep if that has passed; the key cancels it."""
        self._count += 1
        key = (when, self._count)
        self._due[key] = callback
        if self._due.peekitem(0)[0] == key:
            self.on_earlier_due(when)
        return key

    def schedule_after(self, wait: int, callback: Callable[[], None]) -> TimerKey:
        """Call back in `wait` microseconds; the key cancels it."""
        return self.schedule_at(self.clock() + wait, callback)

    def cancel(self, key: TimerKey | None) -> None:
        """Remove a deadline; nothing happens if it has passed already, or for None."""
        if key is not None:
            self._due.pop(key, None)

    def run_due(self) -> None:
        """Run what is due. What a callback adds, for now or for the past, waits for the next sweep."""
        now = self.clock()
        last = self._count
        while self._due:
            key, callback = self._due.peekitem(0)
            when, number = key
            if when > now or number > last:
                break
            del self._due[key]
            callback()
