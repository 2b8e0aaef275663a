"""Figures of a window: histograms that processes can add up, the machine, processor time by process."""

from __future__ import annotations

import os
import platform
import time
from array import array
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import numpy
import psutil
from hdrh.histogram import HdrHistogram

MOST_US = 3_600_000_000
DIGITS = 3
PROCESS_CLOCK = 2  # Linux's CPUCLOCK_SCHED
LATE_P99_US = 100_000  # own ticks this late: the machine was too busy for the rest to be read


def encoded(values: array[int]) -> str:
    made = HdrHistogram(1, MOST_US, DIGITS)
    for value in values:
        made.record_value(min(MOST_US, max(1, value)))
    return str(made.encode().decode())


def spread_ms(told: Iterable[str]) -> dict[str, float] | None:
    """Median, 99th percentile and worst of several processes' histograms, in milliseconds. None: nothing was seen."""
    total = HdrHistogram(1, MOST_US, DIGITS)
    for one in told:
        total.decode_and_add(one)
    if not total.get_total_count():
        return None
    p50, p99 = (total.get_value_at_percentile(p) / 1000 for p in (50, 99))
    return {"p50": round(p50, 3), "p99": round(p99, 3), "max": round(total.get_max_value() / 1000, 3)}


def slope(counts: list[int], taken: list[float]) -> float:
    """What one more in a process takes, out of processes with unlike counts. They are weighed alike."""
    if len(set(counts)) < 2:
        return float("nan")
    return float(numpy.polyfit(counts, taken, 1)[0])


def machine() -> dict[str, Any]:
    model = platform.processor() or platform.machine()
    try:
        with open("/proc/cpuinfo", encoding="ascii", errors="replace") as file:
            model = next((line.partition(":")[2].strip() for line in file if line.startswith("model name")), model)
    except OSError:
        pass
    return {
        "processor": model,
        "cores": os.cpu_count() or 1,
        "memory_bytes": psutil.virtual_memory().total,
        "python": platform.python_version(),
    }


@dataclass(frozen=True, slots=True)
class Taken:
    """What a process has had of the machine so far."""

    cpu_s: float
    uss: float


def cpu_of(pid: int) -> float:
    """Seconds of processor time of all its threads. By the process's own clock, where the system has one: psutil's
    has hundredths of a second, and control takes a few of them in a window."""
    try:
        return time.clock_gettime_ns((~pid << 3) | PROCESS_CLOCK) / 1e9  # as clock_getcpuclockid(3) makes its number
    except OSError:
        times = psutil.Process(pid).cpu_times()
        return times.user + times.system


def taken(pid: int) -> Taken:
    return Taken(cpu_of(pid), float(psutil.Process(pid).memory_full_info().uss))


def memory_of(pids: Iterable[int]) -> int:
    """Resident bytes of all of them together; one that is gone has none."""
    total = 0
    for pid in pids:
        try:
            total += psutil.Process(pid).memory_info().rss
        except psutil.NoSuchProcess:
            continue
    return total
