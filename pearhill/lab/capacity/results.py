"""Typed records for the results of runs in docs/capacity/*.json, and the function that reads them.

A value that does not match its record is an error, because a result written with another schema would put wrong figures
into the page. Unknown keys are ignored.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from pearhill.config import ConfigError, typed

RESULTS_FOLDER = "docs/capacity"
# Values in the result files: how dispatchers exchange load, and the kind of the measured dispatchers.
GOSSIP, AGGREGATORS = "talk", "aggregators"
HOLLOW = "hollow"


class Percentiles(msgspec.Struct):
    """Median, 99th percentile and maximum of a measured distribution."""

    p50: float
    p99: float
    max: float


class Cost(msgspec.Struct):
    """Resource usage of one dispatcher or one aggregator. `memory_bytes` is what each further one adds to its
    process."""

    cpu_cores: float | None = None
    bytes_in_s: float | None = None
    bytes_out_s: float | None = None
    messages_in_s: float | None = None
    messages_out_s: float | None = None
    memory_bytes: float | None = None
    beat_late_ms: Percentiles | None = None
    news_age_ms: Percentiles | None = None

    def quantity_value(self, quantity: str) -> float | None:
        """Returns a quantity by its key, or None if it was not measured or does not exist. `bytes_s` and `messages_s`
        are the sums of both directions."""
        if quantity not in ("bytes_s", "messages_s"):
            return getattr(self, quantity, None)
        kind = quantity.removesuffix("_s")
        values = [getattr(self, f"{kind}_{direction}_s") for direction in ("in", "out")]
        return None if None in values else sum(values)


class DiscoveryCalls(msgspec.Struct):
    """Calls from all dispatchers to the discovery service."""

    calls_s: float | None = None
    bytes_s: float | None = None


class MeasuredPoint(msgspec.Struct):
    """Measurement of one fleet. `kind` says whether dispatchers were hollow or real, `work` how their load was
    generated. `busy` means that the machine was too busy for a valid measurement; the point is not used."""

    way: str
    kind: str
    dispatchers: int
    replicas: int
    dispatcher: Cost
    work: str = "none"
    aggregators: int = 0
    seconds: float = 0.0
    rate_per_dispatcher: float = 0.0
    processes: int = 0
    busy: bool = False
    aggregator: Cost | None = None
    discovery: DiscoveryCalls | None = None
    list_age_ms: Percentiles | None = None


class HollowCheck(msgspec.Struct):
    """Comparison of one quantity between hollow and real dispatchers. `difference` is relative to the real ones."""

    what: str
    quantity: str
    real: float | None
    hollow: float | None
    difference: float | None
    within: bool
    carried_as_error: float | None = None


class FittedSlope(msgspec.Struct):
    """One quantity fitted as a function of dispatchers and replicas. `low` and `high` are the 95% confidence interval
    of `at_size`. `stretched` is the factor by which the planned size exceeds the largest measured one."""

    way: str
    role: str
    quantity: str
    form: str
    coefficients: dict[str, float]
    low: float | None = None
    high: float | None = None
    fitted_over: dict[str, list[float]] = {}
    stretched: float | None = None
    at_size: float | None = None
    bound: float | None = None
    need_over_bound: float | None = None


class ChoiceCost(msgspec.Struct):
    """Processor time of one request's two choices among `replicas` replicas, and the bytes that the router retains for
    it."""

    replicas: int
    ms: float
    remembered_bytes: float | None = None


class InjectedFault(msgspec.Struct):
    """A fault injected into a running fleet. `for_s` is the longest time in which counts or sums were wrong. `factor`
    is the speed-up of events relative to real time."""

    kind: str
    lost: str = ""
    for_s: float | None = None
    carried_by: str = ""
    factor: float = 1.0
    figures: dict[str, Any] = {}


class PeakOverMean(msgspec.Struct):
    """Peak-to-mean ratio of the load per replica, in windows of one second."""

    mean: float
    worst: float


class FleetEvenness(msgspec.Struct):
    """How evenly the load of one fleet was distributed over its decode replicas (`writers`) and its prefill replicas
    (`readers`)."""

    way: str
    dispatchers: int
    replicas: int
    rate_per_dispatcher: float
    writers: PeakOverMean
    readers: PeakOverMean
    served: int = 0
    refused: int = 0
    failed: int = 0
    busy: bool = False


class NotRun(msgspec.Struct):
    """A part of a plan that was not run, and the reason."""

    what: str
    why: str


class RunResult(msgspec.Struct):
    """One result file of `pearhill lab scale`."""

    version: str
    commit: str
    seed: int
    plan: str
    started: str
    machine: dict[str, Any]
    load_1m: list[float]
    points: list[MeasuredPoint] = []
    checks: list[HollowCheck] = []
    slopes: list[FittedSlope] = []
    choice: list[ChoiceCost] = []
    troubles: list[InjectedFault] = []
    evenness: list[FleetEvenness] = []
    not_run: list[NotRun] = []


def read_results(folder: Path) -> dict[str, RunResult]:
    """Returns all results in a folder by file name, the oldest run first.

    Raises ConfigError if a result is invalid, with the file, the key, the value found and what is allowed.
    """
    found = {}
    for path in sorted(folder.glob("*.json")):
        try:
            found[path.stem] = typed.convert(json.loads(path.read_text(encoding="utf-8")), RunResult)
        except (OSError, ValueError, ConfigError) as e:
            raise ConfigError(f"{path}: {e}") from None
    return dict(sorted(found.items(), key=lambda item: (item[1].started, item[0])))
