"""Every timer of the process in one sorted structure. The event loop runs the callbacks that are due."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

Clock = Callable[[], int]  # microseconds
Key = tuple[int, int]  # due time, and a sequence number that orders callbacks of the same due time


class Deadlines:
    """Callbacks by due time, in microseconds of `clock`.

    `on_sooner` is called with the earliest due time whenever a new callback makes it earlier.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.on_sooner: Callable[[int], None] = lambda at: None
        self._due: SortedDict[Key, Callable[[], None]] = SortedDict()
        self._count = 0

    def __len__(self) -> int:
        return len(self._due)

    @property
    def earliest(self) -> int | None:
        """The due time of the next callback, or None if there is none."""
        return self._due.peekitem(0)[0][0] if self._due else None

    def at(self, when: int, callback: Callable[[], None]) -> Key:
        """Run a callback at time `when`, or in the next sweep if that has passed. Returns a key for `cancel`."""
        self._count += 1
        key = (when, self._count)
        self._due[key] = callback
        if self._due.peekitem(0)[0] == key:
            self.on_sooner(when)
        return key

    def after(self, wait: int, callback: Callable[[], None]) -> Key:
        """Run a callback in `wait` microseconds. Returns a key for `cancel`."""
        return self.at(self.clock() + wait, callback)

    def cancel(self, key: Key | None) -> None:
        """Remove a callback. A key whose callback has already run, or None, has no effect."""
        if key is not None:
            self._due.pop(key, None)

    def sweep(self) -> None:
        """Run the callbacks that are due. Callbacks added meanwhile wait for the next sweep, even if already due."""
        now = self.clock()
        last = self._count
        while self._due:
            key, callback = self._due.peekitem(0)
            when, number = key
            if when > now or number > last:
                break
            del self._due[key]
            callback()
