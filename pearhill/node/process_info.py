"""Reads from the system this process's age and the id of the machine's current boot (`man 5 proc`)."""

from __future__ import annotations

import os
import pathlib
import sys
import time

_START_TIME_FIELD = 19  # of /proc/self/stat, counted from the field after the command's name


def process_age() -> int:
    """Returns the microseconds since the platform started this process.

    The time includes the start of the interpreter, which takes seconds on a fraction of a core. The system gives the
    start in ticks of 10 ms, rounded down. The process may have started at any time in that tick, so the age is
    counted from the end of the tick and is never too high. Returns `sys.maxsize` if the system does not report it.
    """
    try:
        with open("/proc/self/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        tick = int(fields[_START_TIME_FIELD])
        latest_start = (tick + 1) / os.sysconf("SC_CLK_TCK")
        return max(0, int((time.clock_gettime(time.CLOCK_BOOTTIME) - latest_start) * 1e6))
    except (OSError, ValueError, IndexError):
        return sys.maxsize


def boot_id() -> str:
    """Returns the id of the machine's current boot, or an empty string if the system does not report it."""
    try:
        return pathlib.Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""
