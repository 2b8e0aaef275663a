"""Measurement tools: histograms that can be merged, resource usage of processes, and facts about the machine."""

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

MAX_RECORDED_US = 3_600_000_000  # an hour; longer times are recorded as an hour
SIGNIFICANT_DIGITS = 3  # precision of a histogram's values
PROCESS_CPU_CLOCK = 2  # Linux's CPUCLOCK_SCHED
MAX_TICK_DELAY_P99_US = 100_000  # if ticks are later than this, the machine is too busy for valid measurements


def encode_histogram(values: array[int]) -> str:
    """Encode microseconds as a base64 HdrHistogram, which processes send and `percentiles_ms` merges."""
    histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(min(MAX_RECORDED_US, max(1, value)))
    return str(histogram.encode().decode())


def percentiles_ms(histograms: Iterable[str]) -> dict[str, float] | None:
    """Returns median, 99th percentile and maximum of the merged histograms of several processes, in milliseconds.

    Returns None if all histograms are empty.
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


def slope(counts: list[int], memory_bytes: list[float]) -> float:
    """Returns the usage of one more dispatcher in a process, by least squares, or NaN if all counts are the same."""
    if len(set(counts)) < 2:
        return float("nan")
    return float(numpy.polyfit(counts, memory_bytes, 1)[0])


def describe_machine() -> dict[str, Any]:
    """Returns facts about the machine on which the run takes place, in the form of the results file."""
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
    """Usage of a process: CPU seconds so far, and the bytes of memory that it does not share with another process."""

    cpu_s: float
    unshared_bytes: float


def cpu_seconds_of(pid: int) -> float:
    """Returns the CPU time of all threads of a process in seconds.

    It is read from the CPU-time clock of the process if the system has one. psutil's resolution is a hundredth of a
    second, which is too coarse: control traffic takes a few hundredths in a window.
    """
    clock_id = (~pid << 3) | PROCESS_CPU_CLOCK  # the encoding of clock_getcpuclockid(3)
    try:
        return time.clock_gettime_ns(clock_id) / 1e9
    except OSError:
        times = psutil.Process(pid).cpu_times()
        return times.user + times.system


def usage_of(pid: int) -> ProcessUsage:
    """Returns the usage of a running process."""
    return ProcessUsage(cpu_seconds_of(pid), float(psutil.Process(pid).memory_full_info().uss))


def resident_bytes(pids: Iterable[int]) -> int:
    """Returns the total resident memory of these processes in bytes. A process that has exited counts as 0."""
    total = 0
    for pid in pids:
        try:
            total += psutil.Process(pid).memory_info().rss
        except psutil.NoSuchProcess:
            continue
    return total
