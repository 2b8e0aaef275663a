"""The results of runs in docs/capacity/*.json as typed records, and their reading.

Whatever does not fit a record is an error: a result that was written by another schema would fill the page with wrong
figures. Keys that no record has are passed over.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from pearhill.config import ConfigError, typed

RESULTS_FOLDER = "docs/capacity"
# Values in the files: how dispatchers learn each other's work, and which dispatchers were measured.
GOSSIP, AGGREGATORS = "talk", "aggregators"
HOLLOW = "hollow"


class Percentiles(msgspec.Struct):
    """Median, 99th percentile and maximum of a measured distribution."""

    p50: float
    p99: float
    max: float


class Cost(msgspec.Struct):
    """What one dispatcher or one aggregator costs. `memory_bytes`: what one more takes in its process."""

    cpu_cores: float | None = None
    bytes_in_s: float | None = None
    bytes_out_s: float | None = None
    messages_in_s: float | None = None
    messages_out_s: float | None = None
    memory_bytes: float | None = None
    beat_late_ms: Percentiles | None = None
    news_age_ms: Percentiles | None = None

    def quantity_value(self, quantity: str) -> float | None:
        """A quantity by its key; `bytes_s` and `messages_s` are the sums of both ways."""
        if quantity not in ("bytes_s", "messages_s"):
            return getattr(self, quantity, None)
        kind = quantity.removesuffix("_s")
        ways = [getattr(self, f"{kind}_{way}_s") for way in ("in", "out")]
        return None if None in ways else sum(ways)


class DiscoveryCalls(msgspec.Struct):
    """Calls at the discovery service by all dispatchers together."""

    calls_s: float | None = None
    bytes_s: float | None = None


class MeasuredPoint(msgspec.Struct):
    """One fleet that was measured. `kind`: hollow or real dispatchers; `work`: where their load came from; `busy`: the
    machine was too busy for the point to count."""

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
    """One quantity of hollow dispatchers beside that of real ones. `difference`: relative to the real ones."""

    what: str
    quantity: str
    real: float | None
    hollow: float | None
    difference: float | None
    within: bool
    carried_as_error: float | None = None


class FittedSlope(msgspec.Struct):
    """One quantity as a function of dispatchers and replicas. `low`, `high`: the 95% interval of `at_size`;
    `stretched`: how far the size lies beyond the largest that was measured."""

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
    """Processor time of one request's two choices among so many replicas, and what the router remembers of it."""

    replicas: int
    ms: float
    remembered_bytes: float | None = None


class InjectedFault(msgspec.Struct):
    """A fault in a standing fleet. `for_s`: the longest time without right counts and sums; `factor`: how many times
    faster than real the events came."""

    kind: str
    lost: str = ""
    for_s: float | None = None
    carried_by: str = ""
    factor: float = 1.0
    figures: dict[str, Any] = {}


class PeakOverMean(msgspec.Struct):
    """Peak over mean of work by replica in windows of a second."""

    mean: float
    worst: float


class FleetEvenness(msgspec.Struct):
    """How evenly one fleet's work lay on its decode replicas (`writers`) and prefill replicas (`readers`)."""

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
    """A part of a plan that was left out, and the reason."""

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
    """All results of a folder by file name, the oldest run first. ConfigError names file, key, found and allowed."""
    found = {}
    for path in sorted(folder.glob("*.json")):
        try:
            found[path.stem] = typed.convert(json.loads(path.read_text(encoding="utf-8")), RunResult)
        except (OSError, ValueError, ConfigError) as e:
            raise ConfigError(f"{path}: {e}") from None
    return dict(sorted(found.items(), key=lambda item: (item[1].started, item[0])))
