"""Renders the results of a scale run as an HTML page with plots."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import jinja2

from pearhill.lab.report import COLOURS, HEIGHT, WIDTH
from pearhill.lab.scale.analysis import Point, value_of

# Margins of a plot, in units of its SVG view box.
LEFT = 60
BOTTOM = 28
TOP = 12
RIGHT = 90
FRAME_RIGHT = WIDTH - RIGHT
FRAME_BOTTOM = HEIGHT - BOTTOM
HEADROOM = 1.05  # ratio of the axis' maximum to the largest value


@dataclass(frozen=True, slots=True)
class PlottedQuantity:
    """A quantity of dispatchers that is plotted.

    `scale` converts from the unit of the results to that of the plot. `bound` is in the unit of the results.
    """

    key: str
    title: str
    scale: float
    bound: float


QUANTITIES = (
    PlottedQuantity("cpu_cores", "CPU time of a dispatcher's control traffic, fraction of a core", 1.0, 0.011),
    PlottedQuantity("bytes_s", "Control traffic of a dispatcher in both directions, KB/s", 1e-3, 7_000.0),
    PlottedQuantity("memory_bytes", "Memory for a dispatcher's control traffic, MB", 1e-6, 32e6),
)


@dataclass(frozen=True, slots=True)
class Curve:
    """A named line through points."""

    name: str
    points: list[tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Plot:
    """A plot as SVG, empty where there is nothing to show."""

    title: str
    svg: str


@dataclass(frozen=True, slots=True)
class _Axes:
    """The axes of a plot, from 0 to the largest values, which are at the right and top of the frame."""

    max_x: float
    max_y: float

    def x(self, value: float) -> str:
        """Returns the horizontal position of a value."""
        return f"{LEFT + (FRAME_RIGHT - LEFT) * value / self.max_x:.1f}"

    def y(self, value: float) -> str:
        """Returns the vertical position of a value."""
        return f"{TOP + (FRAME_BOTTOM - TOP) * (1 - value / self.max_y):.1f}"


def plot(curves: Sequence[Curve], x_title: str, bound: float | None = None) -> str:
    """Returns curves with their points as SVG, or an empty string without points. `bound` is drawn as a dashed line."""
    points = [point for curve in curves for point in curve.points]
    if not points:
        return ""
    values = [y for _, y in points]
    if bound:
        values.append(bound)
    axes = _Axes(max(x for x, _ in points) or 1, max(values) * HEADROOM or 1)
    parts = [_frame(axes, x_title)]
    if bound:
        parts.append(_bound_line(axes.y(bound)))
    parts += [_curve(curve, index, axes) for index, curve in enumerate(curves)]
    return "".join(parts) + "</svg>"


def _frame(axes: _Axes, x_title: str) -> str:
    return (
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">'
        f'<line x1="{LEFT}" y1="{FRAME_BOTTOM}" x2="{FRAME_RIGHT}" y2="{FRAME_BOTTOM}" stroke="#999"/>'
        f'<text x="0" y="{TOP + 8}" font-size="11">{axes.max_y:.3g}</text>'
        f'<text x="0" y="{FRAME_BOTTOM}" font-size="11">0</text>'
        f'<text x="{LEFT}" y="{HEIGHT - 8}" font-size="11">{x_title}</text>'
        f'<text x="{FRAME_RIGHT - 20}" y="{HEIGHT - 8}" font-size="11">{axes.max_x:g}</text>'
    )


def _bound_line(y: str) -> str:
    return (
        f'<line x1="{LEFT}" y1="{y}" x2="{FRAME_RIGHT}" y2="{y}" stroke="#c00" stroke-dasharray="4"/>'
        f'<text x="{FRAME_RIGHT + 4}" y="{y}" font-size="11" fill="#c00">bound</text>'
    )


def _curve(curve: Curve, index: int, axes: _Axes) -> str:
    colour = COLOURS[index % len(COLOURS)]
    positions = [(axes.x(x), axes.y(y)) for x, y in sorted(curve.points)]
    line = " ".join(f"{x},{y}" for x, y in positions)
    dots = "".join(f'<circle cx="{x}" cy="{y}" r="2.6" fill="{colour}"/>' for x, y in positions)
    name_y = TOP + 10 + 13 * index
    return (
        f'<polyline fill="none" stroke="{colour}" stroke-width="1.8" points="{line}"/>'
        f"{dots}"
        f'<text x="{FRAME_RIGHT + 4}" y="{name_y}" font-size="11" fill="{colour}">{curve.name}</text>'
    )


def _plots(results: dict[str, Any]) -> list[Plot]:
    """Returns a plot of each quantity for each load exchange, and one of the choice. Empty plots are left out."""
    hollow = [p for p in results["points"] if p["kind"] == "hollow" and p["work"] == "drawn"]
    plots = []
    for exchange in sorted({p["way"] for p in hollow}):
        exchange_points = [p for p in hollow if p["way"] == exchange]
        for quantity in QUANTITIES:
            svg = plot(_curves(exchange_points, quantity), "dispatchers", quantity.bound * quantity.scale)
            plots.append(Plot(f"{quantity.title}: {exchange}", svg))
    if results["choice"]:
        points = [(float(choice["replicas"]), float(choice["ms"])) for choice in results["choice"]]
        svg = plot([Curve("", points)], "replicas")
        plots.append(Plot("CPU time of the Router's two choices for one request, ms", svg))
    return [rendered for rendered in plots if rendered.svg]


def _curves(points: Sequence[Point], quantity: PlottedQuantity) -> list[Curve]:
    """Returns a quantity over the number of dispatchers, one curve for each number of replicas."""
    curves = []
    for replicas in sorted({point["replicas"] for point in points}):
        values = [
            (float(point["dispatchers"]), value * quantity.scale)
            for point in points
            if point["replicas"] == replicas and (value := value_of(point["dispatcher"], quantity.key)) is not None
        ]
        curves.append(Curve(f"{replicas} replicas", values))
    return curves


def render_page(title: str, results: dict[str, Any]) -> str:
    """Returns the page of the results as HTML."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("pearhill.lab.scale", "."),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    template = environment.get_template("report.html.j2")
    return template.render(title=title, results=results, plots=_plots(results))
