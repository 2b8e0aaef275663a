"""A scale run's plan, and the bounds within which it may run."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pearhill.config import ConfigError, typed

MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # of the machine's memory
MAX_PLAN_SECONDS = 3 * 3600  # a plan that takes longer is refused; one that hangs is stopped well before
# Estimates of memory, rounded up from trials: they refuse a plan before it starts, and nothing is reported from them.
PROCESS_BYTES = 80 << 20
DISPATCHER_BYTES = 4 << 20
BYTES_PER_REPLICA = 5_000  # within a dispatcher, for each replica in its endpoint list
BYTES_PER_PEER = 3_000  # within a dispatcher, for each other dispatcher
# Estimates of time, in seconds.
DISPATCHER_START_S = 0.25  # to bring one dispatcher up on a busy core
FLEET_START_S = 10.0  # to bring up the rest of a fleet
PARALLEL_STARTS = 4  # dispatchers that come up at the same time
CHOICE_S_PER_REPLICA = 2e-5  # of one arrival, by the Router alone
PROCESS_FILL = 0.75  # mean count of dispatchers in a process, of the most that it may hold

PositiveInt = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class LoadExchange(StrEnum):
    """How dispatchers learn of each other's load. The values stand in plan files and results."""

    OWN = "own"  # not at all: each goes by its own load alone
    GOSSIP = "talk"
    AGGREGATORS = "aggregators"


class Workload(StrEnum):
    """What hollow dispatchers have in flight. The values stand in plan files and results."""

    NONE = "none"
    DRAWN = "drawn"  # gauges drawn anew each quarter of a second
    ROUTER = "router"  # requests through the Router, with replicas that answer by a clock


class FaultKind(StrEnum):
    """What happens to a fleet. The values stand in plan files and results."""

    CHURN = "churn"
    RACK = "rack"
    ZONE = "zone"
    REGION_CUT = "region_cut"
    AGGREGATOR_LOST = "aggregator_lost"
    TWO_AGGREGATORS_LOST = "aggregators_lost_2"
    PREFILL_SHARE = "readers_share"
    SETTINGS = "settings"


# The same values as the enums', for tables: an error names the values of a literal that are allowed.
ExchangeKey = Literal["talk", "aggregators"]
AnyExchangeKey = Literal["own", "talk", "aggregators"]
WorkloadKey = Literal["none", "drawn", "router"]
FaultKey = Literal[
    "churn", "rack", "zone", "region_cut", "aggregator_lost", "aggregators_lost_2", "readers_share", "settings"
]

# How many aggregators a fault takes away.
AGGREGATORS_LOST = {FaultKind.AGGREGATOR_LOST: 1, FaultKind.TWO_AGGREGATORS_LOST: 2}


class SizeTable(Struct, forbid_unknown_fields=True):
    """The size that is planned for, and what a dispatcher's control may cost there, both directions together."""

    dispatchers: PositiveInt = 330
    replicas: PositiveInt = 940
    cpu_cores: float = 0.011
    bytes_s: float = 7_000.0
    memory_bytes: float = 32e6


class ScaleTable(Struct, forbid_unknown_fields=True):
    """What holds for the whole run.

    `warm_s` is a minimum: a point begins when every dispatcher counts the whole fleet. `fetch_s` is how often a
    dispatcher fetches the endpoint list. A window of `seconds` holds whole periods of it; otherwise it would hold one
    whole list more or less by chance. A dispatcher of mean traffic has `rate_per_s` requests and `streams` open
    streams; every `heavy_every`th has `heavy_weight` times as much.
    """

    seed: int = 1
    warm_s: Seconds = 10.0
    seconds: Seconds = 30.0
    fetch_s: PositiveInt = 30
    per_process: Annotated[int, Meta(ge=2, le=200)] = 40
    regions: Annotated[int, Meta(ge=1, le=16)] = 3
    zones_per_region: Annotated[int, Meta(ge=1, le=16)] = 2
    prefill_share: Fraction = field(default=0.29, name="readers")  # of the replicas
    tenants: Annotated[int, Meta(ge=0, le=10_000)] = 760
    rate_per_s: Annotated[float, Meta(gt=0, le=10_000)] = 45.0
    streams: Annotated[float, Meta(ge=0, le=100_000)] = 260.0
    heavy_weight: Annotated[float, Meta(gt=0, le=100)] = field(default=10.0, name="heavy")
    heavy_every: PositiveInt = 20


class GridTable(Struct, forbid_unknown_fields=True):
    """Points: every count of dispatchers with every count of replicas."""

    exchange: ExchangeKey = field(name="way")
    dispatchers: Annotated[list[PositiveInt], Meta(min_length=1)]
    replicas: Annotated[list[PositiveInt], Meta(min_length=1)]
    workload: WorkloadKey = field(default="drawn", name="work")
    aggregators: PositiveInt = 3


class CheckTable(Struct, forbid_unknown_fields=True):
    """As many hollow as real dispatchers in one fleet without work, and `alone` hollow ones with a process each.

    The latter show what dispatchers take less or more for sharing a process. With `load_per_s` there is one more
    window, with so many requests a second at each real dispatcher; 0: there is none.
    """

    exchange: ExchangeKey = field(name="way")
    dispatchers: Annotated[int, Meta(ge=2, le=40)]
    replicas: PositiveInt
    aggregators: PositiveInt = 3
    alone: Annotated[int, Meta(ge=0, le=40)] = 4
    load_per_s: Annotated[float, Meta(ge=0, le=200)] = 0.0


class ChoiceTable(Struct, forbid_unknown_fields=True):
    """The Router's choice by itself, among so many replicas."""

    replicas: Annotated[list[Annotated[int, Meta(ge=4, le=5000)]], Meta(min_length=1)]
    arrivals: Annotated[int, Meta(ge=20, le=100_000)] = 400


class EvennessTable(Struct, forbid_unknown_fields=True):
    """How evenly work lies on replicas that answer by a clock, once for each load exchange.

    Hollow dispatchers of mean traffic get `rate_per_s` requests each, through Dispatcher, LoadAwareRouter and Router.
    """

    exchanges: Annotated[list[AnyExchangeKey], Meta(min_length=1)] = field(name="ways")
    dispatchers: Annotated[int, Meta(ge=2)]
    replicas: PositiveInt
    rate_per_s: Annotated[float, Meta(gt=0, le=1000)]
    aggregators: PositiveInt = 3


class FaultEventTable(Struct, forbid_unknown_fields=True):
    """One fault, from `from_s` of the fleet's time for `for_s`, then `settle_s` to recover.

    Rates are `factor` times those of an ordinary day. `burst`: changes of settings all at once.
    """

    kind: FaultKey
    from_s: Annotated[float, Meta(ge=0)]
    for_s: Seconds = 10.0
    settle_s: Seconds = 20.0
    factor: Annotated[float, Meta(gt=0, le=100_000)] = 1.0
    burst: Annotated[int, Meta(ge=0, le=50)] = 0

    @property
    def fault(self) -> FaultKind:
        """What happens."""
        return FaultKind(self.kind)

    @property
    def settled_s(self) -> float:
        """When the fleet is expected to have recovered."""
        return self.from_s + self.for_s + self.settle_s


class FaultsTable(Struct, forbid_unknown_fields=True):
    """One fleet that goes through all of the faults, one after the other."""

    exchange: ExchangeKey = field(name="way")
    dispatchers: PositiveInt
    replicas: PositiveInt
    event: Annotated[list[FaultEventTable], Meta(min_length=1)]
    aggregators: PositiveInt = 3


class NotRunTable(Struct, forbid_unknown_fields=True):
    """A part of which the results say that it was not run, and why."""

    what: str
    why: str


class Plan(Struct, forbid_unknown_fields=True):
    """A plan file. The parts are run in the order check, grid, evenness, faults, after the choice."""

    scale: ScaleTable = field(default_factory=ScaleTable)
    size: SizeTable = field(default_factory=SizeTable)
    grid: list[GridTable] = []
    check: list[CheckTable] = []
    choice: ChoiceTable | None = None
    evenness: list[EvennessTable] = []
    faults: list[FaultsTable] = field(default_factory=list, name="troubles")
    not_run: list[NotRunTable] = []


@dataclass(frozen=True, slots=True)
class ResourceEstimate:
    """What a fleet takes of the machine, roughly and rather too much; the command's own process is included."""

    processes: int
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class FleetSize:
    """One fleet to bring up: hollow and real dispatchers, replicas, aggregators.

    `hollow` dispatchers share processes; the `alone` ones are hollow too and have a process each.
    """

    exchange: LoadExchange
    hollow: int
    replicas: int
    real: int = 0
    aggregators: int = 0
    alone: int = 0
    workload: Workload = Workload.DRAWN
    rate_per_s: float = 45.0

    @property
    def dispatchers(self) -> int:
        """All of them: hollow, real and alone."""
        return self.hollow + self.real + self.alone

    def hosts(self, max_per_process: int) -> list[int]:
        """Hollow dispatchers of each process: unlike counts, so that memory shows as a slope over the count."""
        process_count = max(min(2, self.hollow), math.ceil(self.hollow / (PROCESS_FILL * max_per_process)))
        weights = [1 + k % 2 for k in range(process_count)]
        counts: list[int] = []
        left = self.hollow
        for k, weight in enumerate(weights):
            count = max(1, round(left * weight / sum(weights[k:])))
            counts.append(count)
            left -= count
        return counts

    def estimate(self, max_per_process: int) -> ResourceEstimate:
        """Processes and bytes that the fleet takes."""
        processes = len(self.hosts(max_per_process)) + self.real + self.alone + self.aggregators + 2
        per_dispatcher = DISPATCHER_BYTES + BYTES_PER_REPLICA * self.replicas + BYTES_PER_PEER * self.dispatchers
        memory_bytes = processes * PROCESS_BYTES + self.dispatchers * float(per_dispatcher)
        return ResourceEstimate(processes, memory_bytes)


@dataclass(frozen=True, slots=True)
class PlannedFleet:
    """One fleet of a plan: its path in the file, and the seconds for which it is watched."""

    path: str
    size: FleetSize
    watched_s: float


def grid_fleets(plan: Plan) -> list[FleetSize]:
    """The points of all grids, in the order in which they are run."""
    return [size for table in plan.grid for size in _grid_fleets(table, plan.scale)]


def _grid_fleets(grid: GridTable, scale: ScaleTable) -> list[FleetSize]:
    exchange = LoadExchange(grid.exchange)
    return [
        FleetSize(
            exchange,
            dispatchers,
            replicas,
            aggregators=_aggregators_of(exchange, grid.aggregators),
            workload=Workload(grid.workload),
            rate_per_s=scale.rate_per_s,
        )
        for replicas in grid.replicas
        for dispatchers in grid.dispatchers
    ]


def _aggregators_of(exchange: LoadExchange, count: int) -> int:
    return count if exchange is LoadExchange.AGGREGATORS else 0


def check_fleets(plan: Plan) -> list[tuple[FleetSize, float]]:
    """The fleet of each check, and the requests a second of each real dispatcher in its last window (0: no such)."""
    return [(_check_fleet(table), table.load_per_s) for table in plan.check]


def _check_fleet(check: CheckTable) -> FleetSize:
    exchange = LoadExchange(check.exchange)
    return FleetSize(
        exchange,
        check.dispatchers,
        check.replicas,
        real=check.dispatchers,
        aggregators=_aggregators_of(exchange, check.aggregators),
        alone=check.alone,
        workload=Workload.NONE,
    )


def evenness_fleets(plan: Plan) -> list[FleetSize]:
    """The fleets whose evenness is measured, one for each load exchange of each table."""
    return [size for table in plan.evenness for size in _evenness_fleets(table)]


def _evenness_fleets(evenness: EvennessTable) -> list[FleetSize]:
    return [
        FleetSize(
            exchange,
            evenness.dispatchers,
            evenness.replicas,
            aggregators=_aggregators_of(exchange, evenness.aggregators),
            workload=Workload.ROUTER,
            rate_per_s=evenness.rate_per_s,
        )
        for exchange in map(LoadExchange, evenness.exchanges)
    ]


def fault_fleet(table: FaultsTable) -> FleetSize:
    """The fleet that goes through the table's faults."""
    exchange = LoadExchange(table.exchange)
    aggregators = _aggregators_of(exchange, table.aggregators)
    return FleetSize(exchange, table.dispatchers, table.replicas, aggregators=aggregators)


def _planned_fleets(plan: Plan) -> Iterator[PlannedFleet]:
    """Every fleet of the plan."""
    window_s = plan.scale.warm_s + plan.scale.seconds
    for k, grid in enumerate(plan.grid):
        for size in _grid_fleets(grid, plan.scale):
            yield PlannedFleet(f"grid[{k}]", size, window_s)
    for k, (size, load_per_s) in enumerate(check_fleets(plan)):
        windows = 2 if load_per_s else 1
        yield PlannedFleet(f"check[{k}]", size, window_s * windows)
    for k, evenness in enumerate(plan.evenness):
        for size in _evenness_fleets(evenness):
            yield PlannedFleet(f"evenness[{k}]", size, window_s)
    for k, faults in enumerate(plan.faults):
        watched_s = plan.scale.warm_s + faults.event[-1].settled_s
        yield PlannedFleet(f"troubles[{k}]", fault_fleet(faults), watched_s)


def expected_seconds(plan: Plan) -> float:
    """How long the whole plan should take, roughly."""
    choice_s = 0.0
    if plan.choice:
        choice_s = sum(plan.choice.replicas) * plan.choice.arrivals * CHOICE_S_PER_REPLICA
    return choice_s + sum(_fleet_seconds(fleet, plan.scale) for fleet in _planned_fleets(plan))


def _fleet_seconds(fleet: PlannedFleet, scale: ScaleTable) -> float:
    size = fleet.size
    starting_s = max(scale.fetch_s, DISPATCHER_START_S * size.dispatchers / PARALLEL_STARTS)
    return fleet.watched_s + FLEET_START_S + starting_s + size.real * DISPATCHER_START_S


def check_bounds(plan: Plan, memory_bytes: int) -> None:
    """ConfigError: a fleet of the plan takes more than a machine with so much memory may give, or the plan too long."""
    allowed_bytes = MAX_MEMORY_SHARE * memory_bytes
    for fleet in _planned_fleets(plan):
        size = fleet.size
        estimate = size.estimate(plan.scale.per_process)
        what = f"{fleet.path}: found {size.dispatchers} dispatchers before {size.replicas} replicas"
        if estimate.processes > MAX_PROCESSES:
            raise ConfigError(f"{what}, {estimate.processes} processes; allowed: {MAX_PROCESSES}")
        if estimate.memory_bytes > allowed_bytes:
            raise ConfigError(
                f"{what}, some {estimate.memory_bytes / 1e9:.1f} GB; allowed: {MAX_MEMORY_SHARE:.0%} of the "
                f"machine's memory, {allowed_bytes / 1e9:.1f} GB"
            )
    seconds = expected_seconds(plan)
    if seconds > MAX_PLAN_SECONDS:
        raise ConfigError(
            f"grid: found a plan of some {seconds / 3600:.1f} h; allowed: {MAX_PLAN_SECONDS / 3600:.0f} h"
        )


def validated(plan: Plan) -> Plan:
    """The plan itself. ConfigError: values that cannot go together, by the key's path."""
    scale = plan.scale
    if scale.seconds % scale.fetch_s:
        raise ConfigError(f"scale.seconds: found {scale.seconds}; allowed: a multiple of fetch_s, {scale.fetch_s}")
    if not (plan.grid or plan.check or plan.choice or plan.evenness or plan.faults):
        raise ConfigError(
            "grid: found nothing to run; allowed: at least one of grid, check, choice, evenness and troubles"
        )
    for k, table in enumerate(plan.faults):
        previous_settled_s = 0.0
        for n, event in enumerate(table.event):
            path = f"troubles[{k}].event[{n}]"
            if event.from_s < previous_settled_s:
                raise ConfigError(
                    f"{path}.from_s: found {event.from_s}; allowed: {previous_settled_s} or later, when the one "
                    "before has settled"
                )
            previous_settled_s = event.settled_s
            _check_fault_kind(f"{path}.kind", event, table, scale)
    return plan


def _check_fault_kind(path: str, event: FaultEventTable, table: FaultsTable, scale: ScaleTable) -> None:
    """ConfigError: this fault cannot happen to this fleet."""
    lost = AGGREGATORS_LOST.get(event.fault, 0)
    has_aggregators = LoadExchange(table.exchange) is LoadExchange.AGGREGATORS
    if lost and (not has_aggregators or table.aggregators <= lost):
        raise ConfigError(
            f"{path}: found {event.kind!r}; allowed: where more than {lost} aggregators are, way 'aggregators'"
        )
    if event.fault in (FaultKind.REGION_CUT, FaultKind.ZONE) and scale.regions < 2:
        raise ConfigError(f"{path}: found {event.kind!r}; allowed: where scale.regions is 2 or more")


def load(path: str) -> Plan:
    """Read a plan file. ConfigError names the file, the key's path, what was found and what is allowed."""
    plan, _ = typed.load(path, Plan)
    try:
        return validated(plan)
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None
