"""What the system knows of this process: its age, and which boot of the machine it runs in (`man 5 proc`)."""

from __future__ import annotations

import os
import pathlib
import sys
import time

_START_TIME_FIELD = 19  # of /proc/self/stat, counted from the field after the command's name


def process_age() -> int:
    """Microseconds since the platform started this process, which an interpreter on a part of a core takes seconds to
    load. The system counts in ticks of 10 ms, rounded down: the process started in the course of that tick, and is
    taken for as young as it may be. Where the system does not report it, the age is the greatest there is."""
    try:
        with open("/proc/self/stat", "rb") as file:
            fields = file.read().rpartition(b")")[2].split()
        tick = int(fields[_START_TIME_FIELD])
        latest_start = (tick + 1) / os.sysconf("SC_CLK_TCK")
        return max(0, int((time.clock_gettime(time.CLOCK_BOOTTIME) - latest_start) * 1e6))
    except (OSError, ValueError, IndexError):
        return sys.maxsize


def boot_id() -> str:
    """Which boot of the machine this is; empty where the system does not report it."""
    try:
        return pathlib.Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""
