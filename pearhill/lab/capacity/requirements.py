"""Needs that have a bound, and how far each goes over it."""

from __future__ import annotations

from collections.abc import Callable
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
from pearhill.lab.capacity.results import (
    AGGREGATORS,
    GOSSIP,
)
from pearhill.lab.capacity.runs import Runs


@dataclass(frozen=True, slots=True)
class Requirement:
    """One need, its bound, and what carries it; empty: nothing does."""

    subject: str
    required: str
    bound: str
    ratio: float | None
    source: str
    carried_by: str


def requirements(estimates: Estimates, runs: Runs) -> list[Requirement]:
    """All needs that have a bound, the worst first; those that nothing carries before all."""
    size, made = estimates.size, list[Requirement]()
    limits: list[tuple[str, str, str, float, Callable[[float], str]]] = [
        ("dispatcher", "processor time", "cpu_cores", size.control_cores, format_cores),
        ("dispatcher", "bytes, both ways", "bytes_s", size.control_bytes_s, format_byte_rate),
        ("dispatcher", "memory", "memory_bytes", size.control_bytes, format_bytes),
        ("aggregator", "processor time", "cpu_cores", size.aggregator_cores, format_cores),
        ("aggregator", "memory", "memory_bytes", size.aggregator_bytes, format_bytes),
    ]
    ways = (
        (GOSSIP, "full talk", "`pearhill/membership/gossip.py`"),
        (AGGREGATORS, "reports to control machines", "`pearhill/membership/aggregator.py`"),
    )
    for way, name, file in ways:
        for role, quantity, key, bound, shown in limits:
            if role == "aggregator" and way == GOSSIP:
                continue
            got = runs.figure(way, role, key)
            who = "a dispatcher's control" if role == "dispatcher" else "a control machine"
            made.append(
                Requirement(
                    f"{who} with {name}: {quantity}",
                    shown(got.value) if got else NOT_MEASURED,
                    shown(bound),
                    got.value / bound if got else None,
                    got.source if got else "",
                    file,
                )
            )
    calls, span = estimates.shared_discoveries, estimates.start_spread_s
    made.append(
        Requirement(
            "one discovery that all ask, slow as the bench's: its time for watches",
            f"{format_number(calls)} services",
            "1 service",
            calls,
            "worked out",
            "`pearhill/platform/schedule.py`",
        )
    )
    made.append(
        Requirement(
            "the same, as all dispatchers start: to spread their first calls",
            f"{span[1]:.1f} s",
            f"{span[0]:.1f} s",
            span[1] / span[0],
            "worked out",
            "`pearhill/platform/schedule.py`",
        )
    )
    if one := runs.choice_cost_at(size.replicas):
        assert runs.choice_costs
        source, cores = runs.choice_costs[0], one.ms / 1000 * estimates.requests_s * size.busiest_over_mean
        made.append(
            Requirement(
                f"a request's own work: choices at {size.busiest_over_mean:g} times the mean",
                format_cores(cores),
                "1 core",
                cores,
                source,
                "`pearhill/routing/router.py`",
            )
        )
        if few := runs.choice_cost_at(60):
            made.append(
                Requirement(
                    f"a request's own work: its choices at {size.replicas} over those at 60",
                    f"{one.ms / few.ms:.1f}",
                    "2",
                    one.ms / few.ms / 2,
                    source,
                    "`pearhill/routing/router.py`",
                )
            )
    made.append(
        Requirement(
            "a tenant's guarantee, its clients in one zone",
            f"1/{size.zones} of it is held by its " f"{estimates.zone_failure.dispatchers:.0f} dispatchers",
            "all of it",
            float(size.zones),
            "worked out",
            "",
        )
    )
    made.append(
        Requirement(
            "a change of settings, in force everywhere",
            "as long as it takes somebody to bring it to all",
            format_duration(size.propagation_limit_s),
            None,
            "",
            "",
        )
    )
    return sorted(made, key=lambda n: (bool(n.carried_by), n.ratio is None, -(n.ratio or 0.0)))
