"""When replicas were started, on the process's own clock.

A list tells starts in wall-clock time, and the wall clock may be stepped, by an operator or a time server, while the
process's own clock runs on. Slow start is a span of real time, so each start is placed on the own clock, once, when it
is first told, and keeps that place. A start that would be possible before a step and after it counts as the later one:
taken for older than it is, a cold replica would be pushed over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from pearhill.routing.topology import Endpoint, Phase

STEP = 50_000  # microseconds between two observations past which the wall clock was stepped, and not merely adjusted
MOST_EPOCHS = 8  # steps that are remembered; a start before them is long past


@dataclass(slots=True)
class Epoch:
    """A span without steps: the wall clock is `offset` ahead of the own one since `first`, in microseconds."""

    offset: int
    first: int


class StartTimes:
    """Feed it the wall clock now and then, and every list; it places the starts that the list tells."""

    def __init__(self, now: int, wall: int) -> None:
        self._epochs = [Epoch(wall - now, now)]
        self._placed: dict[int, tuple[int, int]] = {}  # by replica: its start as it was told, and its place

    def observe(self, now: int, wall: int) -> int:
        """Both clocks, read together. By how much the wall clock was stepped since the last time; 0: not at all."""
        offset, last = wall - now, self._epochs[-1]
        step = offset - last.offset
        if abs(step) <= STEP:
            last.offset = offset
            return 0
        self._epochs.append(Epoch(offset, now))
        del self._epochs[:-MOST_EPOCHS]
        return step

    def place(self, now: int, full: bool, entries: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """The entries of a list with their starts on the own clock. `full`: all replicas are in it."""
        if full:
            before, self._placed = self._placed, {}
        else:
            before = self._placed
        placed = []
        for entry in entries:
            told, at = before.get(entry.replica, (0, 0))
            if entry.started_at != told:
                at = self._start(now, entry.started_at)
            if entry.phase == Phase.GONE:
                self._placed.pop(entry.replica, None)
            elif entry.started_at:
                self._placed[entry.replica] = entry.started_at, at
            placed.append(replace(entry, started_at=at if entry.started_at else 0))
        return tuple(placed)

    def _start(self, now: int, told: int) -> int:
        """The latest moment that the wall clock can have shown this time at. One that is still to come by every
        reckoning is now: whoever is told of a start is told of one that has happened."""
        ends = [epoch.first for epoch in self._epochs[1:]] + [now]
        possible = [
            told - epoch.offset for epoch, end in zip(self._epochs, ends, strict=True) if told - epoch.offset <= end
        ]
        return max(1, *possible) if possible else now
