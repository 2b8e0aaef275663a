"""Every timer of the process in one sorted structure. The event loop runs the callbacks that are due."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger
from sortedcontainers import SortedDict

Clock = Callable[[], int]  # microseconds
FaultHandler = Callable[[Exception], None]
TimerKey = tuple[int, int]  # due time, and a sequence number that orders callbacks of the same due time


def _log_fault(error: Exception) -> None:
    logger.opt(exception=error).error("a timer failed")


@dataclass(slots=True, eq=False)  # Not frozen: several are created for each request, and a frozen one is slower.
class _Timer:
    callback: Callable[[], None]
    on_fault: FaultHandler

    def run(self) -> None:
        try:
            self.callback()
        except Exception as error:
            self.on_fault(error)


class Deadlines:
    """Callbacks by due time, in microseconds of `clock`.

    `on_earlier_due` is called with the earliest due time whenever a new callback makes it earlier.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.on_earlier_due: Callable[[int], None] = lambda at: None
        self._timers: SortedDict[TimerKey, _Timer] = SortedDict()
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._timers)

    @property
    def earliest(self) -> int | None:
        """The due time of the next callback, or None if there is none."""
        return self._timers.peekitem(0)[0][0] if self._timers else None

    def schedule_at(self, when: int, callback: Callable[[], None], on_fault: FaultHandler = _log_fault) -> TimerKey:
        """Run a callback at time `when`, or in the next `run_due` if that has passed. Returns a key for `cancel`.

        `on_fault` is called with an exception of the callback, and must not raise any.
        """
        self._last_sequence += 1
        key = (when, self._last_sequence)
        self._timers[key] = _Timer(callback, on_fault)
        if self._timers.peekitem(0)[0] == key:
            self.on_earlier_due(when)
        return key

    def schedule_after(self, wait: int, callback: Callable[[], None], on_fault: FaultHandler = _log_fault) -> TimerKey:
        """Run a callback in `wait` microseconds, as `schedule_at` does. Returns a key for `cancel`."""
        return self.schedule_at(self.clock() + wait, callback, on_fault)

    def cancel(self, key: TimerKey | None) -> None:
        """Remove a callback. A key whose callback has already run, or None, has no effect."""
        if key is not None:
            self._timers.pop(key, None)

    def run_due(self) -> None:
        """Run the callbacks that are due. Callbacks added meanwhile wait for the next call, even if already due."""
        now = self.clock()
        last = self._last_sequence
        while self._timers:
            key, timer = self._timers.peekitem(0)
            when, sequence = key
            if when > now or sequence > last:
                break
            del self._timers[key]
            timer.run()
