"""Every deadline of the process in one sorted structure, swept each turn."""

from __future__ import annotations

from collections.abc import Callable

from sortedcontainers import SortedDict

Clock = Callable[[], int]
Key = tuple[int, int]


class Deadlines:
    """Callbacks by due time, in microseconds of the clock passed in."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._due: SortedDict[Key, Callable[[], None]] = SortedDict()
        self._count = 0
        self.on_sooner: Callable[[int], None] = lambda at: None  # told when the earliest deadline moves forward

    def __len__(self) -> int:
        return len(self._due)

    @property
    def earliest(self) -> int | None:
        return self._due.peekitem(0)[0][0] if self._due else None

    def at(self, when: int, callback: Callable[[], None]) -> Key:
        self._count += 1
        key = (when, self._count)
        self._due[key] = callback
        if self._due.peekitem(0)[0] == key:
            self.on_sooner(when)
        return key

    def after(self, wait: int, callback: Callable[[], None]) -> Key:
        return self.at(self.clock() + wait, callback)

    def cancel(self, key: Key | None) -> None:
        """Forget a deadline; one that has passed already is no matter."""
        if key is not None:
            self._due.pop(key, None)

    def sweep(self) -> None:
        """Run what is due. What a callback adds for now or the past waits for the next turn."""
        now, last = self.clock(), self._count
        while self._due:
            key, callback = self._due.peekitem(0)
            if key[0] > now or key[1] > last:
                break
            del self._due[key]
            callback()
