"""The figures of one measurement window: costs of hollow dispatchers and discovery, and evenness of the work."""

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

HostReport = dict[str, Any]  # the reply of a process of hollow dispatchers to the command "end"


@dataclass(frozen=True, slots=True)
class FleetMeasurement:
    """The measurements of one window, in the form of the results file.

    `hollow` and `real` are the points of these kinds of dispatcher. `alone` are the figures of the hollow dispatchers
    that have a process each. `evenness` is only measured with requests through the Router.
    """

    hollow: dict[str, Any]
    real: dict[str, Any] | None = None
    alone: dict[str, Any] | None = None
    evenness: dict[str, Any] | None = None


def hollow_figures(hosts: Sequence[HostReport]) -> dict[str, Any]:
    """Returns the figures of one dispatcher. The CPU time of the ticks of the processes is subtracted."""
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
    """Returns calls and bytes per second of all dispatchers together, between two replies of discovery to "counts"."""
    seconds = after["at"] - before["at"]
    counts = Counter(after["counts"]) - Counter(before["counts"])
    return {
        "calls_s": round(counts["calls"] / seconds, 3),
        "bytes_s": round((counts["bytes_in"] + counts["bytes_out"]) / seconds, 1),
    }


def evenness_of(hosts: Iterable[HostReport]) -> dict[str, Any]:
    """Returns the evenness of the work at decode and prefill replicas, and the number of requests by result.

    The evenness is the work at the replica with the most work, divided by the mean over the replicas. The work of all
    dispatchers is added up in windows of one second. The first and the last window are incomplete and left out.
    Requests are counted since the fleet's start.
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
    """Returns the mean and the worst peak over mean of all windows, or None if there are no windows."""
    peaks = [evenness({name: float(work[name]) for name in replicas}).peak for work in windows]
    if not peaks:
        return None
    return {"mean": round(statistics.mean(peaks), 3), "worst": round(max(peaks), 3)}
