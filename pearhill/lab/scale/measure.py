"""Figures of a measurement window: histograms that can be merged, usage of processes, and the machine."""

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

MAX_RECORDED_US = 3_600_000_000  # an hour; what is longer is recorded as this
SIGNIFICANT_DIGITS = 3  # of a histogram's values
PROCESS_CPU_CLOCK = 2  # Linux's CPUCLOCK_SCHED
MAX_LATE_P99_US = 100_000  # ticks of the run's own that are later show a machine too busy for the rest to be read


def encode_histogram(values: array[int]) -> str:
    """Microseconds as an HdrHistogram in its base64 form, which processes send and `percentiles_ms` merges."""
    histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(min(MAX_RECORDED_US, max(1, value)))
    return str(histogram.encode().decode())


def percentiles_ms(histograms: Iterable[str]) -> dict[str, float] | None:
    """Median, 99th percentile and maximum of several processes' histograms together, in milliseconds.

    None: they are all empty.
    """
    total = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    for histogram in histograms:
        total.decode_and_add(histogram)
    if not total.get_total_count():
        return None
    return {
        "p50": round(total.get_value_at_percentile(50) / 1000, 3),
        "p99": round(total.get_value_at_percentile(99) / 1000, 3),
        "max": round(total.get_max_value() / 1000, 3),
    }


def slope(counts: list[int], used: list[float]) -> float:
    """What one more in a process uses, by least squares over unlike counts; NaN: they are all alike."""
    if len(set(counts)) < 2:
        return float("nan")
    return float(numpy.polyfit(counts, used, 1)[0])


def describe_machine() -> dict[str, Any]:
    """The machine that the run is on, in the results' form."""
    return {
        "processor": _processor_model(),
        "cores": os.cpu_count() or 1,
        "memory_bytes": psutil.virtual_memory().total,
        "python": platform.python_version(),
    }


def _processor_model() -> str:
    fallback = platform.processor() or platform.machine()
    try:
        with open("/proc/cpuinfo", encoding="ascii", errors="replace") as file:
            return next((line.partition(":")[2].strip() for line in file if line.startswith("model name")), fallback)
    except OSError:
        return fallback


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What a process has used so far: seconds of processor time, and bytes that it shares with no other process."""

    cpu_s: float
    unshared_bytes: float


def cpu_seconds_of(pid: int) -> float:
    """Processor time of all threads of a process.

    It is read from the process's own clock where the system has one: psutil's has hundredths of a second, and control
    takes a few of them in a window.
    """
    clock_id = (~pid << 3) | PROCESS_CPU_CLOCK  # as clock_getcpuclockid(3) makes it
    try:
        return time.clock_gettime_ns(clock_id) / 1e9
    except OSError:
        times = psutil.Process(pid).cpu_times()
        return times.user + times.system


def usage_of(pid: int) -> ProcessUsage:
    """The usage of a running process."""
    return ProcessUsage(cpu_seconds_of(pid), float(psutil.Process(pid).memory_full_info().uss))


def resident_bytes(pids: Iterable[int]) -> int:
    """Resident memory of all these processes together; one that has ended has none."""
    total = 0
    for pid in pids:
        try:
            total += psutil.Process(pid).memory_info().rss
        except psutil.NoSuchProcess:
            continue
    return total
