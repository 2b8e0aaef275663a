"""The process's clock: monotonic microseconds that equal Unix time when the process starts."""

from __future__ import annotations

import time
from collections.abc import Callable


def start_clock() -> Callable[[], int]:
    """Return a clock in microseconds that equals Unix time now and then follows the monotonic clock, because the wall
    clock may be stepped later, whereas deadlines are spans of real time. `pearhill.routing.start_times` converts start
    times that an endpoint list reports in wall-clock time to this clock."""
    offset_ns = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + offset_ns) // 1000


def wall_clock() -> int:
    """Return the system's wall-clock time, in microseconds of Unix time. It may be stepped at any moment."""
    return time.time_ns() // 1000


def monotonic_offset(clock: Callable[[], int]) -> int:
    """Return the microseconds by which a clock of `start_clock` is ahead of the system's monotonic clock, which all
    processes share."""
    return clock() - time.monotonic_ns() // 1000
