"""The process's clock: microseconds that never go back, counted so that they read as Unix time at the start."""

from __future__ import annotations

import time
from collections.abc import Callable


def start_clock() -> Callable[[], int]:
    """A clock that reads as Unix time now, in microseconds, and then follows the monotonic clock: the wall clock may be
    stepped later, and every deadline is a span of real time. Start times that an endpoint list reports in wall-clock
    time are placed on this clock by `pearhill.routing.start_times`."""
    offset_ns = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + offset_ns) // 1000


def wall_clock() -> int:
    """The system's wall clock, in microseconds of Unix time. It may be stepped at any moment."""
    return time.time_ns() // 1000


def monotonic_offset(clock: Callable[[], int]) -> int:
    """Microseconds by which a clock of `start_clock` is ahead of the system's monotonic clock, which all processes
    share."""
    return clock() - time.monotonic_ns() // 1000
