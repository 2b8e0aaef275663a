"""Combines the results of all runs into figures for the planned fleet size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from pearhill.lab.capacity.results import (
    GOSSIP,
    HOLLOW,
    ChoiceCost,
    Cost,
    FittedSlope,
    InjectedFault,
    MeasuredPoint,
    RunResult,
)
from pearhill.lab.capacity.size import FleetSize

WORKLOAD_PREFERENCE = ("drawn", "router", "none")  # order of preference among several points at the planned size


@dataclass(frozen=True, slots=True)
class SourcedFigure:
    """A measured figure, and a text that names the run that measured it."""

    value: float
    source: str


class Runs:
    """The results of all runs by name, the oldest first.

    If two runs measured the same quantity, the later one is used. Points for which the machine was too busy are not
    used.
    """

    def __init__(self, results: dict[str, RunResult], size: FleetSize) -> None:
        self.results = results
        self.size = size

    def rows(self, part: str) -> list[tuple[str, Any]]:
        """Returns all rows of one list of the results, such as `points`, each with the name of its run."""
        return [(name, row) for name, result in self.results.items() for row in getattr(result, part)]

    def point_at_size(self, mechanism: str) -> tuple[str, MeasuredPoint] | None:
        """Returns the run's name and the point that was measured at exactly the planned size, or None if there is
        none."""
        size = (self.size.dispatchers, self.size.replicas)
        run_order = {name: k for k, name in enumerate(self.results)}
        candidates = [(name, p) for name, p in self._hollow_points(mechanism) if (p.dispatchers, p.replicas) == size]
        if not candidates:
            return None
        return min(candidates, key=lambda row: (_workload_rank(row[1].work), -run_order[row[0]]))

    def figure(self, mechanism: str, role: str, quantity: str) -> SourcedFigure | None:
        """Returns a figure at the planned size: measured there if possible, else extrapolated from smaller sizes.
        Returns None if no run measured it."""
        return (
            self._figure_at_size(mechanism, role, quantity)
            or self._largest_measured(mechanism, role, quantity)
            or self._figure_on_slope(mechanism, role, quantity)
            or self._sum_of_both_directions(mechanism, role, quantity)
        )

    def _figure_at_size(self, mechanism: str, role: str, quantity: str) -> SourcedFigure | None:
        found = self.point_at_size(mechanism)
        if found is None:
            return None
        name, point = found
        cost = getattr(point, role)
        value = cost.quantity_value(quantity) if isinstance(cost, Cost) else getattr(cost, quantity, None)
        return None if value is None else SourcedFigure(value, name)

    def _largest_measured(self, mechanism: str, role: str, quantity: str) -> SourcedFigure | None:
        """Returns the largest measured figure of a dispatcher with gossip, or None for other mechanisms and roles.

        A gossip tick sends a bounded number of pings. A slope that was fitted to fleets below that bound does not
        include it, and would be many times too high at the planned size.
        """
        if mechanism != GOSSIP or role != "dispatcher":
            return None
        figures = [(p.dispatcher.quantity_value(quantity), name, p) for name, p in self._hollow_points(mechanism)]
        measured = [(value, name, p) for value, name, p in figures if value is not None]
        if not measured:
            return None
        value, name, point = max(measured, key=lambda row: row[0])
        return SourcedFigure(value, f"at least: {name}, {point.dispatchers} x {point.replicas}")

    def _figure_on_slope(self, mechanism: str, role: str, quantity: str) -> SourcedFigure | None:
        found: SourcedFigure | None = None
        for name, slope in self.rows("slopes"):
            if _is_slope_of(slope, mechanism, role, quantity):
                stretched = f", {slope.stretched:.1f} times as far" if slope.stretched else ""
                found = SourcedFigure(slope.at_size, f"slope of {name}{stretched}")
        return found

    def _sum_of_both_directions(self, mechanism: str, role: str, quantity: str) -> SourcedFigure | None:
        if quantity not in ("bytes_s", "messages_s"):
            return None
        kind = quantity.removesuffix("_s")
        received = self.figure(mechanism, role, f"{kind}_in_s")
        sent = self.figure(mechanism, role, f"{kind}_out_s")
        if received is None or sent is None:
            return None
        return SourcedFigure(received.value + sent.value, received.source)

    def _hollow_points(self, mechanism: str) -> Iterator[tuple[str, MeasuredPoint]]:
        for name, point in self.rows("points"):
            if (point.way, point.kind, point.busy) == (mechanism, HOLLOW, False):
                yield name, point

    @property
    def choice_costs(self) -> tuple[str, list[ChoiceCost]] | None:
        """The name of the latest run that measured choices, and its costs in order of the number of replicas."""
        found = [(name, result.choice) for name, result in self.results.items() if result.choice]
        if not found:
            return None
        name, costs = found[-1]
        return name, sorted(costs, key=lambda row: row.replicas)

    def choice_cost_at(self, replicas: int) -> ChoiceCost | None:
        """Returns the latest run's cost of a choice among `replicas` replicas, or None if it was not measured."""
        _, costs = self.choice_costs or ("", [])
        return next((row for row in costs if row.replicas == replicas), None)

    def faults(self, kind: str) -> list[tuple[str, InjectedFault]]:
        """Returns all injected faults of one kind, each with the name of its run."""
        return [(name, fault) for name, fault in self.rows("troubles") if fault.kind == kind]

    def fault_figure(self, kind: str, figure: str) -> SourcedFigure | None:
        """Returns a number that was measured during a fault of this kind, from the latest run that has it, or None."""
        found = [
            SourcedFigure(fault.figures[figure], name)
            for name, fault in self.faults(kind)
            if type(fault.figures.get(figure)) in (int, float)
        ]
        return found[-1] if found else None


def _workload_rank(work: str) -> int:
    return WORKLOAD_PREFERENCE.index(work) if work in WORKLOAD_PREFERENCE else len(WORKLOAD_PREFERENCE)


def _is_slope_of(slope: FittedSlope, mechanism: str, role: str, quantity: str) -> bool:
    return (slope.way, slope.role, slope.quantity) == (mechanism, role, quantity) and slope.at_size is not None
