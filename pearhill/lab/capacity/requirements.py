"""Requirements that have a bound, and the ratio of each requirement to its bound."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from pearhill.lab.capacity.estimates import Estimates
from pearhill.lab.capacity.formatting import (
    NOT_MEASURED,
    format_byte_rate,
    format_bytes,
    format_cores,
    format_duration,
    format_number,
)
from pearhill.lab.capacity.results import AGGREGATORS, GOSSIP
from pearhill.lab.capacity.runs import Runs

FEW_REPLICAS = 60  # baseline for the cost of a choice among all replicas
CALCULATED = "worked out"  # the source given for a calculated figure that no run has measured
SCHEDULE_FILE = "`pearhill/platform/schedule.py`"
ROUTER_FILE = "`pearhill/routing/router.py`"


@dataclass(frozen=True, slots=True)
class Requirement:
    """One row of the table of requirements and bounds, as text.

    `ratio` is the required value divided by the bound, or None if it was not measured. `source` names the run that
    measured it and is empty if there is none. `carried_by` names the file that implements the duty and is empty if no
    file does.
    """

    subject: str
    required: str
    bound: str
    ratio: float | None
    source: str
    carried_by: str


@dataclass(frozen=True, slots=True)
class Limit:
    """The operators' limit on a measured quantity for one role."""

    role: str
    name: str
    quantity: str
    bound: float
    format: Callable[[float], str]


def requirements(estimates: Estimates, runs: Runs) -> list[Requirement]:
    """Returns all requirements that have a bound: first those that no file implements, then the others. Each group is
    sorted by ratio, largest first."""
    found = [
        *_control_plane(estimates, runs),
        *_shared_discovery(estimates),
        *_choices(estimates, runs),
        *_unimplemented(estimates),
    ]
    return sorted(found, key=lambda r: (bool(r.carried_by), r.ratio is None, -(r.ratio or 0.0)))


def _control_plane(estimates: Estimates, runs: Runs) -> Iterator[Requirement]:
    """Yields the measured cost of gossip and of reports for each role."""
    size = estimates.size
    dispatcher_limits = (
        Limit("dispatcher", "processor time", "cpu_cores", size.control_cores, format_cores),
        Limit("dispatcher", "bytes, both ways", "bytes_s", size.control_bytes_s, format_byte_rate),
        Limit("dispatcher", "memory", "memory_bytes", size.control_bytes, format_bytes),
    )
    aggregator_limits = (
        Limit("aggregator", "processor time", "cpu_cores", size.aggregator_cores, format_cores),
        Limit("aggregator", "memory", "memory_bytes", size.aggregator_bytes, format_bytes),
    )
    for limit in dispatcher_limits:
        yield _measured(runs, GOSSIP, "full talk", "`pearhill/membership/gossip.py`", limit)
    for limit in dispatcher_limits + aggregator_limits:
        yield _measured(runs, AGGREGATORS, "reports to control machines", "`pearhill/membership/aggregator.py`", limit)


def _measured(runs: Runs, mechanism: str, mechanism_name: str, file: str, limit: Limit) -> Requirement:
    figure = runs.figure(mechanism, limit.role, limit.quantity)
    owner = "a dispatcher's control" if limit.role == "dispatcher" else "a control machine"
    return Requirement(
        subject=f"{owner} with {mechanism_name}: {limit.name}",
        required=limit.format(figure.value) if figure else NOT_MEASURED,
        bound=limit.format(limit.bound),
        ratio=figure.value / limit.bound if figure else None,
        source=figure.source if figure else "",
        carried_by=file,
    )


def _shared_discovery(estimates: Estimates) -> Iterator[Requirement]:
    services = estimates.shared_discoveries
    yield Requirement(
        subject="one discovery that all ask, slow as the bench's: its time for watches",
        required=f"{format_number(services)} services",
        bound="1 service",
        ratio=services,
        source=CALCULATED,
        carried_by=SCHEDULE_FILE,
    )
    spread_s, required_s = estimates.start_spread_s
    yield Requirement(
        subject="the same, as all dispatchers start: to spread their first calls",
        required=f"{required_s:.1f} s",
        bound=f"{spread_s:.1f} s",
        ratio=required_s / spread_s,
        source=CALCULATED,
        carried_by=SCHEDULE_FILE,
    )


def _choices(estimates: Estimates, runs: Runs) -> Iterator[Requirement]:
    """Yields the cost of choices, or nothing if no run has measured a choice among as many replicas as planned."""
    size = estimates.size
    cost_among_all = runs.choice_cost_at(size.replicas)
    if cost_among_all is None or runs.choice_costs is None:
        return
    source, _ = runs.choice_costs
    cores = cost_among_all.ms / 1000 * estimates.requests_s * size.busiest_over_mean
    yield Requirement(
        subject=f"a request's own work: choices at {size.busiest_over_mean:g} times the mean",
        required=format_cores(cores),
        bound="1 core",
        ratio=cores,
        source=source,
        carried_by=ROUTER_FILE,
    )
    if cost_among_few := runs.choice_cost_at(FEW_REPLICAS):
        growth = cost_among_all.ms / cost_among_few.ms
        yield Requirement(
            subject=f"a request's own work: its choices at {size.replicas} over those at {FEW_REPLICAS}",
            required=f"{growth:.1f}",
            bound="2",
            ratio=growth / 2,
            source=source,
            carried_by=ROUTER_FILE,
        )


def _unimplemented(estimates: Estimates) -> Iterator[Requirement]:
    size = estimates.size
    yield Requirement(
        subject="a tenant's guarantee, its clients in one zone",
        required=f"1/{size.zones} of it is held by its {estimates.zone_failure.dispatchers:.0f} dispatchers",
        bound="all of it",
        ratio=float(size.zones),
        source=CALCULATED,
        carried_by="",
    )
    yield Requirement(
        subject="a change of settings, in force everywhere",
        required="as long as it takes somebody to bring it to all",
        bound=format_duration(size.propagation_limit_s),
        ratio=None,
        source="",
        carried_by="",
    )
