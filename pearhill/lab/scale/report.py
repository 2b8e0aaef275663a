"""The results of a scale run as a page with plots."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import jinja2

from pearhill.lab.report import COLOURS, HEIGHT, WIDTH

LEFT, BOTTOM, TOP, RIGHT = 60, 28, 12, 90
QUANTITIES = (
    ("cpu_cores", "Processor time of a dispatcher's control, share of a core", 1.0, 0.011),
    ("bytes_s", "Bytes a second both ways, KB", 1e-3, 7_000.0),
    ("memory_bytes", "Memory of a dispatcher's control, MB", 1e-6, 32e6),
)
Curve = tuple[str, list[tuple[float, float]]]


def value(figures: dict[str, Any], quantity: str) -> float | None:
    if quantity == "bytes_s":
        return float(figures["bytes_in_s"] + figures["bytes_out_s"])
    return None if figures[quantity] is None else float(figures[quantity])


def plot(curves: Sequence[Curve], across: str, bound: float | None = None) -> str:
    """Lines with their points, as SVG; `bound` is a line of its own."""
    every = [point for _, points in curves for point in points]
    if not every:
        return ""
    most_x, most_y = max(x for x, _ in every) or 1, max([y for _, y in every] + ([bound] if bound else [])) * 1.05 or 1

    def at(x: float, y: float) -> str:
        return (
            f"{LEFT + (WIDTH - LEFT - RIGHT) * x / most_x:.1f},"
            f"{TOP + (HEIGHT - TOP - BOTTOM) * (1 - y / most_y):.1f}"
        )

    base = HEIGHT - BOTTOM
    parts = [
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
        f'<line x1="{LEFT}" y1="{base}" x2="{WIDTH - RIGHT}" y2="{base}" stroke="#999"/>',
        f'<text x="0" y="{TOP + 8}" font-size="11">{most_y:.3g}</text>',
        f'<text x="0" y="{base}" font-size="11">0</text>',
        f'<text x="{LEFT}" y="{HEIGHT - 8}" font-size="11">{across}</text>',
        f'<text x="{WIDTH - RIGHT - 20}" y="{HEIGHT - 8}" font-size="11">{most_x:g}</text>',
    ]
    if bound:
        y = at(0, bound).partition(",")[2]
        parts.append(
            f'<line x1="{LEFT}" y1="{y}" x2="{WIDTH - RIGHT}" y2="{y}" stroke="#c00" stroke-dasharray="4"/>'
            f'<text x="{WIDTH - RIGHT + 4}" y="{y}" font-size="11" fill="#c00">bound</text>'
        )
    for k, (name, points) in enumerate(curves):
        colour, placed = COLOURS[k % len(COLOURS)], [at(*point) for point in sorted(points)]
        parts.append(f'<polyline fill="none" stroke="{colour}" stroke-width="1.8" points="{" ".join(placed)}"/>')
        parts += [
            f'<circle cx="{p.partition(",")[0]}" cy="{p.partition(",")[2]}" r="2.6" fill="{colour}"/>' for p in placed
        ]
        y_name = TOP + 10 + 13 * k
        parts.append(f'<text x="{WIDTH - RIGHT + 4}" y="{y_name}" font-size="11" fill="{colour}">{name}</text>')
    return "".join(parts) + "</svg>"


def _plots(results: dict[str, Any]) -> list[tuple[str, str]]:
    made = []
    hollow = [p for p in results["points"] if p["kind"] == "hollow" and p["work"] == "drawn"]
    for way in sorted({p["way"] for p in hollow}):
        for quantity, title, scale, bound in QUANTITIES:
            curves = []
            for replicas in sorted({p["replicas"] for p in hollow if p["way"] == way}):
                points = [
                    (float(p["dispatchers"]), found * scale)
                    for p in hollow
                    if (p["way"], p["replicas"]) == (way, replicas)
                    and (found := value(p["dispatcher"], quantity)) is not None
                ]
                curves.append((f"{replicas} replicas", points))
            made.append((f"{title}: {way}", plot(curves, "dispatchers", bound * scale)))
    if results["choice"]:
        points = [(float(c["replicas"]), float(c["ms"])) for c in results["choice"]]
        made.append(("The Router's two choices for one arrival, ms of a core", plot([("", points)], "replicas")))
    return [(title, svg) for title, svg in made if svg]


def page(title: str, results: dict[str, Any]) -> str:
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("pearhill.lab.scale", "."),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    return environment.get_template("report.html.j2").render(title=title, results=results, plots=_plots(results))
