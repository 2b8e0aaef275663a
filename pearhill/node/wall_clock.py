"""Detects steps of the wall clock, so that replicas' start times stay correct, also for the process that comes next."""

from __future__ import annotations

import asyncio

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.durable.clock_file import ClockFile, ClockFileError
from pearhill.net.clock import monotonic_offset, wall_clock
from pearhill.routing.start_times import Epoch, StartTimes
from pearhill.routing.topology import Endpoint

WALL_CLOCK_CHECK_INTERVAL_US = 500_000


class WallClockObserver:
    """Compares the wall clock with the dispatcher's monotonic clock, and translates start times to the latter.

    With a `file`, it knows the steps that earlier processes have seen, and stores what it sees itself.
    """

    def __init__(self, deadlines: Deadlines, counters: Counters, file: ClockFile | None = None) -> None:
        self._deadlines = deadlines
        self._counters = counters
        self._file = file
        self._start_times = StartTimes(deadlines.clock(), wall_clock(), self._read_epochs())
        self._write_begun: asyncio.Future[None] | None = None
        self._write_epochs()
        self._check_periodically()

    def translate_start_times(self, full: bool, entries: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Returns endpoints with start times by the dispatcher's clock. With `full`, they replace all earlier ones."""
        self._check()
        return self._start_times.translate(self._deadlines.clock(), full, entries)

    def _check_periodically(self) -> None:
        self._deadlines.schedule_after(WALL_CLOCK_CHECK_INTERVAL_US, self._check_periodically)
        self._check()

    def _check(self) -> None:
        step = self._start_times.observe(self._deadlines.clock(), wall_clock())
        if step:
            self._counters.clock_steps += 1
            logger.warning("clock: the wall clock was stepped by {ms} ms", ms=step // 1000)
            self._write_epochs()

    def _read_epochs(self) -> list[Epoch]:
        """Return the epochs of earlier processes by this one's clock."""
        if self._file is None:
            return []
        try:
            stored = self._file.read()
        except (OSError, ClockFileError) as e:
            logger.warning("clock: steps that earlier processes saw are not known: {e}", e=e)
            return []
        ahead = monotonic_offset(self._deadlines.clock)
        return [Epoch(epoch.offset - ahead, epoch.first + ahead) for epoch in stored]

    def _write_epochs(self) -> None:
        """Store the epochs by the system's clock, which all processes share.

        A thread writes them, after those before, since a disk may take a second for a small file.
        """
        if self._file is None:
            return
        ahead = monotonic_offset(self._deadlines.clock)
        epochs = [Epoch(epoch.offset + ahead, epoch.first - ahead) for epoch in self._start_times.epochs]
        self._write_begun = asyncio.ensure_future(_write_after(self._write_begun, self._file, epochs))


async def _write_after(earlier: asyncio.Future[None] | None, file: ClockFile, epochs: list[Epoch]) -> None:
    if earlier is not None:
        await earlier
    try:
        await asyncio.to_thread(file.write, epochs)
    except OSError as e:
        logger.warning("clock: steps cannot be stored for the next process: {e}", e=e)
