"""Translates the start times of replicas from the wall clock to the process's monotonic clock.

An endpoint list states start times in wall-clock time. The wall clock may be stepped, by an operator or a time server,
while the monotonic clock keeps running. Slow start is a span of real time, so each start time is translated once, when
it is first received, and keeps that value. A start time that would be possible both before and after a step counts as
the later one: a warming-up replica that is taken for older than it is would be overloaded.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from pearhill.routing.topology import Endpoint, Phase

MIN_STEP_US = 50_000  # a larger change between two observations is a step, a smaller one an adjustment
MAX_EPOCHS = 8  # number of epochs kept; a start before them is long past


@dataclass(frozen=True, slots=True)
class Epoch:
    """A span without steps. The wall clock is `offset` microseconds ahead of the monotonic one since `first`."""

    offset: int
    first: int


@dataclass(frozen=True, slots=True)
class _TranslatedStart:
    """A start time as listed, in wall-clock time, and its translation to the monotonic clock."""

    wall_start: int
    monotonic_start: int


class StartTimes:
    """Translates the start times of endpoint lists, given regular readings of both clocks.

    `earlier`: the epochs that earlier processes of this dispatcher have seen, oldest first, by this one's clock.
    """

    def __init__(self, now: int, wall: int, earlier: Sequence[Epoch] = ()) -> None:
        self._epochs = [epoch for epoch in earlier if epoch.first <= now] or [Epoch(wall - now, now)]
        self._translated: dict[int, _TranslatedStart] = {}  # by replica
        self.observe(now, wall)

    @property
    def epochs(self) -> Sequence[Epoch]:
        """The epochs that are known, oldest first."""
        return self._epochs

    def observe(self, now: int, wall: int) -> int:
        """Compare both clocks, which have to be read together.

        Returns by how many microseconds the wall clock was stepped since the last call, or 0 if it was not stepped.
        """
        offset = wall - now
        last = self._epochs[-1]
        step = offset - last.offset
        if abs(step) <= MIN_STEP_US:
            self._epochs[-1] = Epoch(offset, last.first)
            return 0
        self._epochs.append(Epoch(offset, now))
        del self._epochs[:-MAX_EPOCHS]
        return step

    def translate(self, now: int, full: bool, endpoints: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """Return the endpoints with their start times on the monotonic clock.

        `full` tells whether they are all replicas, so that earlier start times of others can be dropped.
        """
        before = self._translated
        if full:
            self._translated = {}
        return tuple(self._translate(now, endpoint, before.get(endpoint.replica)) for endpoint in endpoints)

    def _translate(self, now: int, endpoint: Endpoint, before: _TranslatedStart | None) -> Endpoint:
        wall_start = endpoint.started_at
        if endpoint.phase == Phase.GONE:
            self._translated.pop(endpoint.replica, None)
        if not wall_start:
            return endpoint
        monotonic_start = (
            before.monotonic_start
            if before and before.wall_start == wall_start
            else self._to_monotonic(now, wall_start)
        )
        if endpoint.phase != Phase.GONE:
            self._translated[endpoint.replica] = _TranslatedStart(wall_start, monotonic_start)
        return replace(endpoint, started_at=monotonic_start)

    def _to_monotonic(self, now: int, wall_start: int) -> int:
        """Return the latest time at which the wall clock can have shown this start time.

        If it is in the future by every epoch, the result is now, since a start is reported after it has happened.
        """
        ends = [epoch.first for epoch in self._epochs[1:]] + [now]
        candidates = [
            wall_start - epoch.offset
            for epoch, end in zip(self._epochs, ends, strict=True)
            if wall_start - epoch.offset <= end
        ]
        return max(1, *candidates) if candidates else now
