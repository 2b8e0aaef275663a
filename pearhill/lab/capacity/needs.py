"""Needs that have a bound, and how far each goes over it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from pearhill.lab.capacity.estimates import Worked
from pearhill.lab.capacity.formatting import (
    NOT_MEASURED,
    amount,
    core,
    number,
    rate,
    seconds,
)
from pearhill.lab.capacity.results import (
    AGGREGATORS,
    TALK,
)
from pearhill.lab.capacity.runs import Runs


@dataclass(frozen=True, slots=True)
class Need:
    """One need, its bound, and what carries it; empty: nothing does."""

    what: str
    need: str
    bound: str
    over: float | None
    source: str
    carried_by: str


def needs(worked: Worked, runs: Runs) -> list[Need]:
    """All needs that have a bound, the worst first; those that nothing carries before all."""
    size, made = worked.size, list[Need]()
    limits: list[tuple[str, str, str, float, Callable[[float], str]]] = [
        ("dispatcher", "processor time", "cpu_cores", size.control_cores, core),
        ("dispatcher", "bytes, both ways", "bytes_s", size.control_bytes_s, rate),
        ("dispatcher", "memory", "memory_bytes", size.control_bytes, amount),
        ("aggregator", "processor time", "cpu_cores", size.machine_cores, core),
        ("aggregator", "memory", "memory_bytes", size.machine_bytes, amount),
    ]
    ways = (
        (TALK, "full talk", "`pearhill/membership/gossip.py`"),
        (AGGREGATORS, "reports to control machines", "`pearhill/membership/aggregator.py`"),
    )
    for way, name, file in ways:
        for role, quantity, key, bound, shown in limits:
            if role == "aggregator" and way == TALK:
                continue
            got = runs.found(way, role, key)
            who = "a dispatcher's control" if role == "dispatcher" else "a control machine"
            made.append(
                Need(
                    f"{who} with {name}: {quantity}",
                    shown(got.value) if got else NOT_MEASURED,
                    shown(bound),
                    got.value / bound if got else None,
                    got.source if got else "",
                    file,
                )
            )
    calls, span = worked.shared_busy, worked.start_span
    made.append(
        Need(
            "one discovery that all ask, slow as the bench's: its time for watches",
            f"{number(calls)} services",
            "1 service",
            calls,
            "worked out",
            "`pearhill/platform/schedule.py`",
        )
    )
    made.append(
        Need(
            "the same, as all dispatchers start: to spread their first calls",
            f"{span[1]:.1f} s",
            f"{span[0]:.1f} s",
            span[1] / span[0],
            "worked out",
            "`pearhill/platform/schedule.py`",
        )
    )
    if one := runs.choice_at(size.replicas):
        assert runs.choice
        source, cores = runs.choice[0], one.ms / 1000 * worked.requests * size.heavy
        made.append(
            Need(
                f"a request's own work: choices at {size.heavy:g} times the mean",
                core(cores),
                "1 core",
                cores,
                source,
                "`pearhill/routing/router.py`",
            )
        )
        if few := runs.choice_at(60):
            made.append(
                Need(
                    f"a request's own work: its choices at {size.replicas} over those at 60",
                    f"{one.ms / few.ms:.1f}",
                    "2",
                    one.ms / few.ms / 2,
                    source,
                    "`pearhill/routing/router.py`",
                )
            )
    made.append(
        Need(
            "a tenant's guarantee, its clients in one zone",
            f"1/{size.zones} of it is held by its " f"{worked.zone['dispatchers']:.0f} dispatchers",
            "all of it",
            float(size.zones),
            "worked out",
            "",
        )
    )
    made.append(
        Need(
            "a change of settings, in force everywhere",
            "as long as it takes somebody to bring it to all",
            seconds(size.in_force_s),
            None,
            "",
            "",
        )
    )
    return sorted(made, key=lambda n: (bool(n.carried_by), n.over is None, -(n.over or 0.0)))
