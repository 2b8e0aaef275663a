"""What the results of all runs say together about the size that is planned for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pearhill.lab.capacity.results import (
    GOSSIP,
    ChoiceCost,
    Cost,
    FittedSlope,
    InjectedFault,
    MeasuredPoint,
    RunResult,
)
from pearhill.lab.capacity.size import FleetSize


@dataclass(frozen=True, slots=True)
class SourcedFigure:
    """A measured figure, and where it comes from."""

    value: float
    source: str


class Runs:
    """What all runs together tell. Of two that measured the same, the later one counts; points that the machine was
    too busy for count nowhere."""

    WORK_PREFERENCE = ("drawn", "router", "none")  # of several points at the size, the first kind of work that there is

    def __init__(self, results: dict[str, RunResult], size: FleetSize) -> None:
        self.results, self.size = results, size

    def point_at_size(self, way: str) -> tuple[str, MeasuredPoint] | None:
        fit = [
            (
                self.WORK_PREFERENCE.index(p.work) if p.work in self.WORK_PREFERENCE else len(self.WORK_PREFERENCE),
                -k,
                name,
                p,
            )
            for k, (name, result) in enumerate(self.results.items())
            for p in result.points
            if (p.way, p.kind, p.busy) == (way, "hollow", False)
            and (p.dispatchers, p.replicas) == (self.size.dispatchers, self.size.replicas)
        ]
        return min(fit, key=lambda row: row[:2])[2:] if fit else None

    def _latest_slope(self, way: str, role: str, quantity: str) -> tuple[str, FittedSlope] | None:
        fit = [
            (name, slope)
            for name, result in self.results.items()
            for slope in result.slopes
            if (slope.way, slope.role, slope.quantity) == (way, role, quantity) and slope.at_size is not None
        ]
        return fit[-1] if fit else None

    def figure(self, way: str, role: str, quantity: str) -> SourcedFigure | None:
        """A figure at the size: measured there, else along the slope that was fitted below it."""
        if at := self.point_at_size(way):
            name, point = at
            cost = getattr(point, role)
            value = cost.quantity_value(quantity) if isinstance(cost, Cost) else getattr(cost, quantity, None)
            if value is not None:
                return SourcedFigure(value, name)
        if way == GOSSIP and role == "dispatcher" and (least := self._largest_measured(way, quantity)):
            return least
        if fit := self._latest_slope(way, role, quantity):
            name, slope = fit
            assert slope.at_size is not None
            far = f", {slope.stretched:.1f} times as far" if slope.stretched else ""
            return SourcedFigure(slope.at_size, f"slope of {name}{far}")
        if quantity in ("bytes_s", "messages_s"):
            ways = [self.figure(way, role, f"{quantity.removesuffix('_s')}_{side}_s") for side in ("in", "out")]
            if ways[0] and ways[1]:
                return SourcedFigure(ways[0].value + ways[1].value, ways[0].source)
        return None

    def _largest_measured(self, way: str, quantity: str) -> SourcedFigure | None:
        """The largest of the points below the size. Danger: a beat of the talk has so many pings at most, from some
        peers on; a slope that was fitted below them knows nothing of that, and says many times too much."""
        points = [
            (value, name, p)
            for name, p in self.rows("points")
            if (p.way, p.kind, p.busy) == (way, "hollow", False)
            and (value := p.dispatcher.quantity_value(quantity)) is not None
        ]
        if not points:
            return None
        value, name, p = max(points, key=lambda row: row[0])
        return SourcedFigure(value, f"at least: {name}, {p.dispatchers} x {p.replicas}")

    @property
    def choice_costs(self) -> tuple[str, list[ChoiceCost]] | None:
        fit = [(name, result.choice) for name, result in self.results.items() if result.choice]
        return (fit[-1][0], sorted(fit[-1][1], key=lambda row: row.replicas)) if fit else None

    def choice_cost_at(self, replicas: int) -> ChoiceCost | None:
        return (
            next((row for row in self.choice_costs[1] if row.replicas == replicas), None) if self.choice_costs else None
        )

    def faults(self, kind: str) -> list[tuple[str, InjectedFault]]:
        return [(name, t) for name, t in self.rows("troubles") if t.kind == kind]

    def fault_figure(self, kind: str, figure: str) -> SourcedFigure | None:
        """A figure that a trouble has told, the last of several."""
        found = [
            SourcedFigure(t.figures[figure], name)
            for name, t in self.faults(kind)
            if type(t.figures.get(figure)) in (int, float)
        ]
        return found[-1] if found else None

    def rows(self, part: str) -> list[tuple[str, Any]]:
        return [(name, row) for name, result in self.results.items() for row in getattr(result, part)]
