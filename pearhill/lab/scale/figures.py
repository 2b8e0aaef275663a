"""The figures of one measurement window: of hollow dispatchers, of discovery, and how even the work was."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from pearhill.lab.scale.daemon import traffic_rates
from pearhill.lab.scale.measure import percentiles_ms, slope
from pearhill.lab.scale.work import RequestResult
from pearhill.load_reports.evenness import evenness
from pearhill.routing.topology import Role

HostReport = dict[str, Any]  # a hollow process's answer to the order "end"


@dataclass(frozen=True, slots=True)
class FleetMeasurement:
    """One window, in the results' form. `hollow` and `real`: points of those dispatchers.

    `alone`: the figures of the hollow dispatchers that have a process each. `evenness`: with requests through the
    Router.
    """

    hollow: dict[str, Any]
    real: dict[str, Any] | None = None
    alone: dict[str, Any] | None = None
    evenness: dict[str, Any] | None = None


def hollow_figures(hosts: Sequence[HostReport]) -> dict[str, Any]:
    """The figures of one dispatcher. The processor time of the processes' own ticks is subtracted."""
    count = sum(host["count"] for host in hosts)
    seconds = statistics.mean(host["seconds"] for host in hosts)
    totals: Counter[str] = Counter()
    for host in hosts:
        totals.update(host["counts"])
    cpu_s = sum(host["cpu_s"] - host["own_s"] for host in hosts)
    memory_bytes = slope([host["count"] for host in hosts], [host["uss"] for host in hosts])
    return {
        "cpu_cores": round(cpu_s / seconds / count, 6),
        **traffic_rates(totals, seconds, count),
        "memory_bytes": None if math.isnan(memory_bytes) else round(memory_bytes),
        "beat_late_ms": percentiles_ms(host["late"] for host in hosts),
        "news_age_ms": None,
    }


def discovery_figures(before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    """Calls and bytes a second of all dispatchers together, between two of discovery's answers to "counts"."""
    seconds = after["at"] - before["at"]
    counts = Counter(after["counts"]) - Counter(before["counts"])
    return {
        "calls_s": round(counts["calls"] / seconds, 3),
        "bytes_s": round((counts["bytes_in"] + counts["bytes_out"]) / seconds, 1),
    }


def evenness_of(hosts: Iterable[HostReport]) -> dict[str, Any]:
    """How even the work was in windows of a second, for decode and prefill replicas, and the requests' results.

    It is the peak over the mean of all dispatchers' work by replica. The first and the last window are not whole and
    left out; results count since the fleet came up.
    """
    roles: dict[str, str] = {}
    results: Counter[str] = Counter()
    work_by_second: dict[str, Counter[str]] = {}
    for host in hosts:
        roles.update(host["roles"])
        results.update(host["ended"])
        for second, work in host["work"].items():
            work_by_second.setdefault(second, Counter()).update(work)
    windows = [work_by_second[second] for second in sorted(work_by_second, key=int)[1:-1]]
    return {
        "windows": len(windows),
        **{str(result): results[result] for result in RequestResult},
        "writers": _peak_over_mean(windows, [name for name, role in roles.items() if role == Role.DECODE]),
        "readers": _peak_over_mean(windows, [name for name, role in roles.items() if role == Role.PREFILL]),
    }


def _peak_over_mean(windows: Sequence[Counter[str]], replicas: Sequence[str]) -> dict[str, float] | None:
    """Over all windows; None: there are none."""
    peaks = [evenness({name: float(work[name]) for name in replicas}).peak for work in windows]
    if not peaks:
        return None
    return {"mean": round(statistics.mean(peaks), 3), "worst": round(max(peaks), 3)}
