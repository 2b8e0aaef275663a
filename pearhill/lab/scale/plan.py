"""The plan of a scale run: the tables of its file, their allowed values, and its parser."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pearhill.config import ConfigError, typed

PositiveInt = Annotated[int, Meta(ge=1)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class LoadExchange(StrEnum):
    """How dispatchers exchange their loads. The values are used in plan files and results."""

    OWN = "own"  # no exchange: each dispatcher uses its own load only
    GOSSIP = "talk"
    AGGREGATORS = "aggregators"


class Workload(StrEnum):
    """The load that hollow dispatchers have in flight. The values are used in plan files and results."""

    NONE = "none"
    DRAWN = "drawn"  # random gauges, drawn again every quarter of a second
    ROUTER = "router"  # requests through the Router, with replicas that a clock simulates


class FaultKind(StrEnum):
    """The kinds of fault. The values are used in plan files and results."""

    CHURN = "churn"
    RACK = "rack"
    ZONE = "zone"
    REGION_CUT = "region_cut"
    AGGREGATOR_LOST = "aggregator_lost"
    TWO_AGGREGATORS_LOST = "aggregators_lost_2"
    PREFILL_SHARE = "readers_share"
    SETTINGS = "settings"


# The values of the enums, for tables: a validation error lists the allowed values of a literal.
ExchangeKey = Literal["talk", "aggregators"]
AnyExchangeKey = Literal["own", "talk", "aggregators"]
WorkloadKey = Literal["none", "drawn", "router"]
FaultKey = Literal[
    "churn", "rack", "zone", "region_cut", "aggregator_lost", "aggregators_lost_2", "readers_share", "settings"
]

# Number of aggregators that a fault stops.
AGGREGATORS_LOST = {FaultKind.AGGREGATOR_LOST: 1, FaultKind.TWO_AGGREGATORS_LOST: 2}


class SizeTable(Struct, forbid_unknown_fields=True):
    """The planned fleet size, and upper bounds for the control costs of a dispatcher at that size.

    `bytes_s` is the sum of both directions.
    """

    dispatchers: PositiveInt = 330
    replicas: PositiveInt = 940
    cpu_cores: float = 0.011
    bytes_s: float = 7_000.0
    memory_bytes: float = 32e6


class ScaleTable(Struct, forbid_unknown_fields=True):
    """Settings of the whole run.

    `warm_s` is a minimum: a window begins when every dispatcher counts the whole fleet. `fetch_s` is the interval at
    which a dispatcher fetches the endpoint list. `seconds`, the length of a window, is a multiple of it; otherwise the
    number of full lists in a window would vary by chance. A dispatcher with mean traffic has `rate_per_s` requests and
    `streams` open streams; every `heavy_every`th dispatcher has `heavy_weight` times as much.
    """

    seed: int = 1
    warm_s: Seconds = 10.0
    seconds: Seconds = 30.0
    fetch_s: PositiveInt = 30
    per_process: Annotated[int, Meta(ge=2, le=200)] = 40
    regions: Annotated[int, Meta(ge=1, le=16)] = 3
    zones_per_region: Annotated[int, Meta(ge=1, le=16)] = 2
    prefill_share: Fraction = field(default=0.29, name="readers")  # fraction of the replicas
    tenants: Annotated[int, Meta(ge=0, le=10_000)] = 760
    rate_per_s: Annotated[float, Meta(gt=0, le=10_000)] = 45.0
    streams: Annotated[float, Meta(ge=0, le=100_000)] = 260.0
    heavy_weight: Annotated[float, Meta(gt=0, le=100)] = field(default=10.0, name="heavy")
    heavy_every: PositiveInt = 20


class GridTable(Struct, forbid_unknown_fields=True):
    """Measures one point for every combination of a number of dispatchers and a number of replicas."""

    exchange: ExchangeKey = field(name="way")
    dispatchers: Annotated[list[PositiveInt], Meta(min_length=1)]
    replicas: Annotated[list[PositiveInt], Meta(min_length=1)]
    workload: WorkloadKey = field(default="drawn", name="work")
    aggregators: PositiveInt = 3


class CheckTable(Struct, forbid_unknown_fields=True):
    """Compares as many hollow as real dispatchers in one fleet without work.

    The fleet also has `alone` hollow dispatchers with a process each, which show the effect of sharing a process. If
    `load_per_s` is above 0, a second window has so many requests per second at each real dispatcher.
    """

    exchange: ExchangeKey = field(name="way")
    dispatchers: Annotated[int, Meta(ge=2, le=40)]
    replicas: PositiveInt
    aggregators: PositiveInt = 3
    alone: Annotated[int, Meta(ge=0, le=40)] = 4
    load_per_s: Annotated[float, Meta(ge=0, le=200)] = 0.0


class ChoiceTable(Struct, forbid_unknown_fields=True):
    """Measures the Router's choice alone, among each of these numbers of replicas."""

    replicas: Annotated[list[Annotated[int, Meta(ge=4, le=5000)]], Meta(min_length=1)]
    arrivals: Annotated[int, Meta(ge=20, le=100_000)] = 400


class EvennessTable(Struct, forbid_unknown_fields=True):
    """Measures how evenly work is spread over replicas that a clock simulates, once for each load exchange.

    Hollow dispatchers with mean traffic get `rate_per_s` requests each, through Dispatcher, LoadAwareRouter and Router.
    """

    exchanges: Annotated[list[AnyExchangeKey], Meta(min_length=1)] = field(name="ways")
    dispatchers: Annotated[int, Meta(ge=2)]
    replicas: PositiveInt
    rate_per_s: Annotated[float, Meta(gt=0, le=1000)]
    aggregators: PositiveInt = 3


class FaultEventTable(Struct, forbid_unknown_fields=True):
    """One fault: it starts `from_s` after the fleet settled and lasts `for_s`. The fleet has `settle_s` to recover.

    Events occur at `factor` times the rate of an ordinary day. `burst` is the number of settings changes without pause.
    """

    kind: FaultKey
    from_s: Annotated[float, Meta(ge=0)]
    for_s: Seconds = 10.0
    settle_s: Seconds = 20.0
    factor: Annotated[float, Meta(gt=0, le=100_000)] = 1.0
    burst: Annotated[int, Meta(ge=0, le=50)] = 0

    @property
    def fault(self) -> FaultKind:
        """The kind of fault."""
        return FaultKind(self.kind)

    @property
    def settled_s(self) -> float:
        """The time at which the fleet is expected to have recovered, in seconds like `from_s`."""
        return self.from_s + self.for_s + self.settle_s


class FaultsTable(Struct, forbid_unknown_fields=True):
    """One fleet into which all of the faults are injected, one after the other."""

    exchange: ExchangeKey = field(name="way")
    dispatchers: PositiveInt
    replicas: PositiveInt
    event: Annotated[list[FaultEventTable], Meta(min_length=1)]
    aggregators: PositiveInt = 3


class NotRunTable(Struct, forbid_unknown_fields=True):
    """A part that the results list as not run, with the reason."""

    what: str
    why: str


class Plan(Struct, forbid_unknown_fields=True):
    """A plan file. The parts run in the order choice, check, grid, evenness, faults."""

    scale: ScaleTable = field(default_factory=ScaleTable)
    size: SizeTable = field(default_factory=SizeTable)
    grid: list[GridTable] = []
    check: list[CheckTable] = []
    choice: ChoiceTable | None = None
    evenness: list[EvennessTable] = []
    faults: list[FaultsTable] = field(default_factory=list, name="troubles")
    not_run: list[NotRunTable] = []


def validated(plan: Plan) -> Plan:
    """Returns the plan. Raises ConfigError with the key's path if values contradict each other."""
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
                    f"{path}.from_s: found {event.from_s}; allowed: {previous_settled_s} or later, when the previous "
                    "event has settled"
                )
            previous_settled_s = event.settled_s
            _check_fault_kind(f"{path}.kind", event, table, scale)
    return plan


def _check_fault_kind(path: str, event: FaultEventTable, table: FaultsTable, scale: ScaleTable) -> None:
    """Raises ConfigError if this fault is impossible in this fleet."""
    lost = AGGREGATORS_LOST.get(event.fault, 0)
    has_aggregators = LoadExchange(table.exchange) is LoadExchange.AGGREGATORS
    if lost and (not has_aggregators or table.aggregators <= lost):
        raise ConfigError(
            f"{path}: found {event.kind!r}; allowed: where more than {lost} aggregators run, with way 'aggregators'"
        )
    if event.fault in (FaultKind.REGION_CUT, FaultKind.ZONE) and scale.regions < 2:
        raise ConfigError(f"{path}: found {event.kind!r}; allowed: where scale.regions is 2 or more")


def load(path: str) -> Plan:
    """Read a plan file.

    Raises ConfigError with the file, the key's path, the value that was found and the allowed values.
    """
    plan, _ = typed.load(path, Plan)
    try:
        return validated(plan)
    except ConfigError as e:
        raise ConfigError(f"{path}: {e}") from None
