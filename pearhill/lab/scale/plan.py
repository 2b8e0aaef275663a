"""A scale run's plan, and the bounds within which it may run."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pearhill.config import ConfigError, typed

MOST_PROCESSES = 300
MOST_MEMORY = 0.5  # of the machine's
MOST_SECONDS = 3 * 3600  # a plan that takes longer is refused; one that hangs is stopped well before
# Bytes that a process takes, and a dispatcher within one for each replica and each other dispatcher. Rounded up from
# trials: they refuse a plan before it starts, and nothing is reported from them.
PROCESS, DISPATCHER, FOR_REPLICA, FOR_PEER = 80 << 20, 4 << 20, 5_000, 3_000
START_S, OVER_START = 0.25, 10.0  # to bring one dispatcher up on a busy core; and the rest of a fleet

Whole = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Share = Annotated[float, Meta(ge=0, le=1)]
Way = Literal["talk", "aggregators"]
AnyWay = Literal["own", "talk", "aggregators"]  # own: each goes by its own work alone
Work = Literal["none", "drawn", "router"]
Kind = Literal[
    "churn", "rack", "zone", "region_cut", "aggregator_lost", "aggregators_lost_2", "readers_share", "settings"
]


class SizeTable(Struct, forbid_unknown_fields=True):
    """The size that is planned for, and what a dispatcher's control may cost there, both ways together."""

    dispatchers: Whole = 330
    replicas: Whole = 940
    cpu_cores: float = 0.011
    bytes_s: float = 7_000.0
    memory_bytes: float = 32e6


class ScaleTable(Struct, forbid_unknown_fields=True):
    """What holds for the whole run. `fetch_s`: how often a dispatcher asks for the list; a window holds whole periods
    of it, or else it would hold one whole list more or less by chance."""

    seed: int = 1
    warm_s: Seconds = 10.0  # at least; a point begins when every dispatcher counts them all
    seconds: Seconds = 30.0
    fetch_s: Whole = 30
    per_process: Annotated[int, Meta(ge=2, le=200)] = 40
    regions: Annotated[int, Meta(ge=1, le=16)] = 3
    zones_per_region: Annotated[int, Meta(ge=1, le=16)] = 2
    readers: Share = 0.29
    tenants: Annotated[int, Meta(ge=0, le=10_000)] = 760
    rate_per_s: Annotated[float, Meta(gt=0, le=10_000)] = 45.0  # requests of a dispatcher of mean traffic
    streams: Annotated[float, Meta(ge=0, le=100_000)] = 260.0  # that it has open
    heavy: Annotated[float, Meta(gt=0, le=100)] = 10.0  # times as much, for every twentieth
    heavy_every: Whole = 20


class GridTable(Struct, forbid_unknown_fields=True):
    """Points: every count of dispatchers with every count of replicas."""

    way: Way
    dispatchers: Annotated[list[Whole], Meta(min_length=1)]
    replicas: Annotated[list[Whole], Meta(min_length=1)]
    work: Work = "drawn"
    aggregators: Whole = 3


class CheckTable(Struct, forbid_unknown_fields=True):
    """So many hollow and so many real dispatchers in one fleet, without work, and some hollow ones that have a process
    each: what they take less or more for sharing one. `load_per_s`: then once more, with so many requests a second at
    each real one; 0: not that."""

    way: Way
    dispatchers: Annotated[int, Meta(ge=2, le=40)]
    replicas: Whole
    aggregators: Whole = 3
    alone: Annotated[int, Meta(ge=0, le=40)] = 4
    load_per_s: Annotated[float, Meta(ge=0, le=200)] = 0.0


class ChoiceTable(Struct, forbid_unknown_fields=True):
    """The Router's choice by itself, at so many servers."""

    replicas: Annotated[list[Annotated[int, Meta(ge=4, le=5000)]], Meta(min_length=1)]
    arrivals: Annotated[int, Meta(ge=20, le=100_000)] = 400


class EvennessTable(Struct, forbid_unknown_fields=True):
    """How evenly the work lies on replicas when hollow dispatchers of mean traffic get so many requests a second each,
    through Router and Scout, with engines that answer by a clock: once for each way."""

    ways: Annotated[list[AnyWay], Meta(min_length=1)]
    dispatchers: Annotated[int, Meta(ge=2)]
    replicas: Whole
    rate_per_s: Annotated[float, Meta(gt=0, le=1000)]
    aggregators: Whole = 3


class EventTable(Struct, forbid_unknown_fields=True):
    """One trouble, from `from_s` for `for_s` of the fleet's time, `factor` times as fast as in ordinary days; then
    `settle_s` to come right again. `burst`: changes of settings all at once."""

    kind: Kind
    from_s: Annotated[float, Meta(ge=0)]
    for_s: Seconds = 10.0
    settle_s: Seconds = 20.0
    factor: Annotated[float, Meta(gt=0, le=100_000)] = 1.0
    burst: Annotated[int, Meta(ge=0, le=50)] = 0


class TroublesTable(Struct, forbid_unknown_fields=True):
    """One fleet that lives through all of them."""

    way: Way
    dispatchers: Whole
    replicas: Whole
    event: Annotated[list[EventTable], Meta(min_length=1)]
    aggregators: Whole = 3


class NotRunTable(Struct, forbid_unknown_fields=True):
    what: str
    why: str


class Plan(Struct, forbid_unknown_fields=True):
    scale: ScaleTable = field(default_factory=ScaleTable)
    size: SizeTable = field(default_factory=SizeTable)
    grid: list[GridTable] = []
    check: list[CheckTable] = []
    choice: ChoiceTable | None = None
    evenness: list[EvennessTable] = []
    troubles: list[TroublesTable] = []
    not_run: list[NotRunTable] = []


class FleetSize(Struct, frozen=True):
    """One fleet to bring up: hollow and real dispatchers, replicas, control machines."""

    way: AnyWay
    hollow: int
    replicas: int
    real: int = 0
    aggregators: int = 0
    alone: int = 0  # hollow ones that have a process each
    work: Work = "drawn"
    rate_per_s: float = 45.0

    @property
    def dispatchers(self) -> int:
        return self.hollow + self.real + self.alone

    def hosts(self, most: int) -> list[int]:
        """Hollow dispatchers of each process. Small and large ones, so that memory shows as a slope over the count."""
        processes = max(min(2, self.hollow), math.ceil(self.hollow / (0.75 * most)))
        weights = [1 + k % 2 for k in range(processes)]
        counts, left = [], self.hollow
        for k, weight in enumerate(weights):
            counts.append(max(1, round(left * weight / sum(weights[k:]))))
            left -= counts[-1]
        return counts

    def estimate(self, most: int) -> tuple[int, float]:
        """Processes and bytes that it takes, roughly and rather too much; the command's own among them."""
        processes = len(self.hosts(most)) + self.real + self.alone + self.aggregators + 2
        each = DISPATCHER + FOR_REPLICA * self.replicas + FOR_PEER * self.dispatchers
        return processes, processes * PROCESS + self.dispatchers * float(each)


def _grid(g: GridTable, scale: ScaleTable) -> list[FleetSize]:
    aggregators = g.aggregators if g.way == "aggregators" else 0
    return [
        FleetSize(g.way, d, r, 0, aggregators, 0, g.work, scale.rate_per_s) for r in g.replicas for d in g.dispatchers
    ]


def points(plan: Plan) -> list[FleetSize]:
    return [size for table in plan.grid for size in _grid(table, plan.scale)]


def checks(plan: Plan) -> list[tuple[FleetSize, float]]:
    return [
        (
            FleetSize(
                c.way,
                c.dispatchers,
                c.replicas,
                c.dispatchers,
                c.aggregators if c.way == "aggregators" else 0,
                c.alone,
                "none",
            ),
            c.load_per_s,
        )
        for c in plan.check
    ]


def evenness(plan: Plan) -> list[FleetSize]:
    return [size for table in plan.evenness for size in _evenness(table)]


def _evenness(e: EvennessTable) -> list[FleetSize]:
    return [
        FleetSize(
            way, e.dispatchers, e.replicas, 0, e.aggregators if way == "aggregators" else 0, 0, "router", e.rate_per_s
        )
        for way in e.ways
    ]


def troubled(table: TroublesTable) -> FleetSize:
    return FleetSize(
        table.way, table.dispatchers, table.replicas, 0, table.aggregators if table.way == "aggregators" else 0
    )


def _fleets(plan: Plan) -> Iterator[tuple[str, FleetSize, float]]:
    """Each fleet of the plan: its path, and the seconds for which it is watched."""
    once = plan.scale.warm_s + plan.scale.seconds
    for k, table in enumerate(plan.grid):
        for size in _grid(table, plan.scale):
            yield f"grid[{k}]", size, once
    for k, (fleet, load) in enumerate(checks(plan)):
        yield f"check[{k}]", fleet, once * (2 if load else 1)
    for k, even in enumerate(plan.evenness):
        for size in _evenness(even):
            yield f"evenness[{k}]", size, once
    for k, troubles in enumerate(plan.troubles):
        last = troubles.event[-1]
        yield f"troubles[{k}]", troubled(troubles), plan.scale.warm_s + last.from_s + last.for_s + last.settle_s


def seconds(plan: Plan) -> float:
    """How long it should take, roughly."""
    choice = sum(plan.choice.replicas) * plan.choice.arrivals * 2e-5 if plan.choice else 0.0
    return choice + sum(
        for_s + OVER_START + max(plan.scale.fetch_s, START_S * fleet.dispatchers / 4) + fleet.real * START_S
        for _, fleet, for_s in _fleets(plan)
    )


def bounded(plan: Plan, memory: int) -> None:
    """ConfigError: a fleet of the plan takes more than a machine with so much memory may give."""
    for path, fleet, _ in _fleets(plan):
        processes, taken = fleet.estimate(plan.scale.per_process)
        what = f"{fleet.dispatchers} dispatchers before {fleet.replicas} replicas"
        if processes > MOST_PROCESSES:
            raise ConfigError(f"{path}: found {what}, {processes} processes; allowed: {MOST_PROCESSES}")
        if taken > MOST_MEMORY * memory:
            raise ConfigError(
                f"{path}: found {what}, some {taken / 1e9:.1f} GB; allowed: {MOST_MEMORY:.0%} of the "
                f"machine's memory, {MOST_MEMORY * memory / 1e9:.1f} GB"
            )
    if (long := seconds(plan)) > MOST_SECONDS:
        raise ConfigError(f"grid: found a plan of some {long / 3600:.1f} h; allowed: {MOST_SECONDS / 3600:.0f} h")


def judged(plan: Plan) -> Plan:
    """ConfigError: something in it cannot be, by its path."""
    s = plan.scale
    if s.seconds % s.fetch_s:
        raise ConfigError(f"scale.seconds: found {s.seconds}; allowed: a multiple of fetch_s, {s.fetch_s}")
    if not (plan.grid or plan.check or plan.choice or plan.evenness or plan.troubles):
        raise ConfigError(
            "grid: found nothing to run; allowed: at least one of grid, check, choice, evenness and " "troubles"
        )
    for k, table in enumerate(plan.troubles):
        free = 0.0
        for n, event in enumerate(table.event):
            at = f"troubles[{k}].event[{n}]"
            if event.from_s < free:
                raise ConfigError(
                    f"{at}.from_s: found {event.from_s}; allowed: {free} or later, when the one before " "has settled"
                )
            free = event.from_s + event.for_s + event.settle_s
            if event.kind.startswith("aggregator"):
                lost = 2 if event.kind == "aggregators_lost_2" else 1
                if table.way != "aggregators" or table.aggregators <= lost:
                    raise ConfigError(
                        f"{at}.kind: found {event.kind!r}; allowed: where more than {lost} aggregators "
                        "are, way 'aggregators'"
                    )
            if event.kind in ("region_cut", "zone") and s.regions < 2:
                raise ConfigError(f"{at}.kind: found {event.kind!r}; allowed: where scale.regions is 2 or more")
    return plan


def load(path: str) -> Plan:
    """ConfigError names the file, the key's path, what was found and what is allowed."""
    plan, _ = typed.load(path, Plan)
    try:
        return judged(plan)
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None
