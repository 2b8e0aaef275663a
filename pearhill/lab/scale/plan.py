"""A scale run's plan: the tables of its file, the values they may have, and its reading."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pearhill.config import ConfigError, typed

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
