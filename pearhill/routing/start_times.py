"""When replicas were started, on the process's own clock.

An endpoint list has starts in wall-clock time, and the wall clock may be stepped, by an operator or a time server,
while the process's own clock runs on. Slow start is a span of real time, so each start is placed on the own clock,
once, when it is first received, and keeps that place. A start that would be possible before a step and after it counts
as the later one: taken for older than it is, a warming-up replica would be overloaded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from pearhill.routing.topology import Endpoint, Phase

MIN_STEP_US = 50_000  # between two observations; the wall clock is stepped by more, and merely adjusted by less
MAX_EPOCHS = 8  # steps that are remembered; a start before them is long past


@dataclass(slots=True)
class Epoch:
    """A span without steps: the wall clock is `offset` microseconds ahead of the own one since `first`."""

    offset: int
    first: int


@dataclass(frozen=True, slots=True)
class _PlacedStart:
    """A start as the list has it in wall-clock time, and its place on the own clock."""

    listed: int
    placed: int


class StartTimes:
    """Feed it both clocks now and then, and every endpoint list; it places the starts that the list has."""

    def __init__(self, now: int, wall: int) -> None:
        self._epochs = [Epoch(wall - now, now)]
        self._placed: dict[int, _PlacedStart] = {}  # by replica

    def observe(self, now: int, wall: int) -> int:
        """Both clocks, read together. By how much the wall clock was stepped since the last time; 0: not at all."""
        offset = wall - now
        last = self._epochs[-1]
        step = offset - last.offset
        if abs(step) <= MIN_STEP_US:
            last.offset = offset
            return 0
        self._epochs.append(Epoch(offset, now))
        del self._epochs[:-MAX_EPOCHS]
        return step

    def translate(self, now: int, full: bool, endpoints: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """The endpoints with their starts on the own clock. `full`: all replicas are among them."""
        before = self._placed
        if full:
            self._placed = {}
        return tuple(self._place(now, endpoint, before.get(endpoint.replica)) for endpoint in endpoints)

    def _place(self, now: int, endpoint: Endpoint, before: _PlacedStart | None) -> Endpoint:
        listed = endpoint.started_at
        if endpoint.phase == Phase.GONE:
            self._placed.pop(endpoint.replica, None)
        if not listed:
            return endpoint
        placed = before.placed if before and before.listed == listed else self._start(now, listed)
        if endpoint.phase != Phase.GONE:
            self._placed[endpoint.replica] = _PlacedStart(listed, placed)
        return replace(endpoint, started_at=placed)

    def _start(self, now: int, listed: int) -> int:
        """The latest moment at which the wall clock can have shown this time.

        One that is still to come by every reckoning is now: a start is reported after it has happened.
        """
        ends = [epoch.first for epoch in self._epochs[1:]] + [now]
        possible = [
            listed - epoch.offset for epoch, end in zip(self._epochs, ends, strict=True) if listed - epoch.offset <= end
        ]
        return max(1, *possible) if possible else now
