"""Computes the figures of a run, and renders the HTML page with plots of one or several runs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import jinja2
from hdrh.histogram import HdrHistogram

from pearhill.lab.load import FAILED, REFUSED, SERVED, Row

if TYPE_CHECKING:
    from pearhill.lab.fleet import FleetResult

COLOURS = ("#0b6e99", "#d9730d", "#448361", "#9065b0", "#c14c8a", "#9f6b53", "#787774")
WIDTH, HEIGHT = 720, 220  # of a plot, in units of its own
LEFT_MARGIN, BOTTOM_MARGIN = 40, 20
MAX_TIME_US = 600_000_000  # largest value of the histograms
TEMPLATE = "report.html.j2"

Parameters = dict[str, float]  # of a run: `seconds` and `warm_s`


@dataclass(frozen=True, slots=True)
class TenantFigures:
    """One tenant's requests after the warm-up.

    `served`, `refused`, `failed`: shares of the count `asked`; `first_*`: milliseconds to the first event; `late_p99`:
    milliseconds by which the load tool itself was late.
    """

    tenant: str
    asked: int
    served: float
    refused: float
    failed: float
    tokens_per_s: float
    first_p50: float
    first_p95: float
    first_p99: float
    late_p99: float


def tenant_figures(rows: Sequence[Row], parameters: Parameters) -> list[TenantFigures]:
    """Returns the figures of each tenant, in order of name."""
    warm_s, seconds = parameters.get("warm_s", 0.0), parameters["seconds"]
    counted = [row for row in rows if row.planned_s >= warm_s]
    return [
        _figures_of(tenant, [row for row in counted if row.tenant == tenant], seconds - warm_s)
        for tenant in _tenants(rows)
    ]


def _tenants(rows: Sequence[Row]) -> list[str]:
    return sorted({row.tenant for row in rows})


def _figures_of(tenant: str, rows: Sequence[Row], seconds: float) -> TenantFigures:
    served = [row for row in rows if row.outcome == SERVED]
    first_event = _histogram(row.first_s for row in served)
    lateness = _histogram(row.late_s for row in rows)
    return TenantFigures(
        tenant=tenant,
        asked=len(rows),
        served=_share(rows, SERVED),
        refused=_share(rows, REFUSED),
        failed=_share(rows, FAILED),
        tokens_per_s=sum(row.tokens for row in served) / max(1e-9, seconds),
        first_p50=_percentile_ms(first_event, 50),
        first_p95=_percentile_ms(first_event, 95),
        first_p99=_percentile_ms(first_event, 99),
        late_p99=_percentile_ms(lateness, 99),
    )


def _share(rows: Sequence[Row], outcome: str) -> float:
    return sum(row.outcome == outcome for row in rows) / max(1, len(rows))


def _histogram(times_s: Iterable[float]) -> HdrHistogram:
    histogram = HdrHistogram(1, MAX_TIME_US, 3)
    for time_s in times_s:
        histogram.record_value(max(1, int(time_s * 1e6)))
    return histogram


def _percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    milliseconds: float = histogram.get_value_at_percentile(percentile) / 1000
    return milliseconds


def _requests_by_second(rows: Sequence[Row], tenant: str, seconds: float, outcome: str) -> list[float]:
    bins = [0.0] * max(1, round(seconds))
    for row in rows:
        if row.tenant == tenant and row.outcome == outcome:
            bins[min(len(bins) - 1, int(row.planned_s))] += 1
    return bins


def _polyline(curve: Sequence[float], top: float, colour: str) -> str:
    """Returns an SVG curve of one value per second; the value `top` is at the upper edge."""
    points = " ".join(
        f"{LEFT_MARGIN + (WIDTH - LEFT_MARGIN) * (x + 0.5) / len(curve):.1f},"
        f"{(HEIGHT - BOTTOM_MARGIN) * (1 - y / top):.1f}"
        for x, y in enumerate(curve)
    )
    return f'<polyline fill="none" stroke="{colour}" stroke-width="1.8" points="{points}"/>'


def _svg(label: str) -> str:
    return f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" aria-label="{label}">'


def plot(rows: Sequence[Row], seconds: float, outcome: str) -> str:
    """Returns an SVG plot of the requests per second with one outcome, with a curve for each tenant."""
    tenants = _tenants(rows)
    curves = [_requests_by_second(rows, tenant, seconds, outcome) for tenant in tenants]
    top = max((max(curve) for curve in curves), default=0) or 1
    axis_y = HEIGHT - BOTTOM_MARGIN
    parts = [
        _svg(f"{outcome} requests a second"),
        f'<line x1="{LEFT_MARGIN}" y1="{axis_y}" x2="{WIDTH}" y2="{axis_y}" stroke="#999"/>',
        f'<text x="0" y="14" font-size="11">{top:.0f}/s</text>',
        f'<text x="0" y="{axis_y - 2}" font-size="11">0</text>',
        f'<text x="{WIDTH - 40}" y="{HEIGHT - 6}" font-size="11">{seconds:.0f} s</text>',
    ]
    for k, curve in enumerate(curves):
        parts.append(_polyline(curve, top, COLOURS[k % len(COLOURS)]))
    return "".join(parts) + "</svg>"


def fleet_plots(fleet: FleetResult) -> list[tuple[str, str]]:
    """Returns captions and SVG plots, by second, of the evenness of the work and of the share of requests served."""
    curves = (
        ("peak over mean of work by replica", fleet.peaks, max(2.0, *fleet.peaks)),
        ("share served", fleet.served, 1.0),
    )
    return [
        (f"{name} (0 to {top:.2f})", f"{_svg(name)}{_polyline(curve, top, COLOURS[0])}</svg>")
        for name, curve, top in curves
    ]


def render_page(title: str, runs: dict[str, tuple[list[Row], Parameters]], fleet: FleetResult | None = None) -> str:
    """Returns the HTML page of one run, or of several side by side. `fleet`: the result of a run with a fleet."""
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("pearhill.lab", "."),
        autoescape=True,
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    shown = [
        {
            "name": name,
            "figures": tenant_figures(rows, parameters),
            "tenants": _tenants(rows),
            "plots": [(outcome, plot(rows, parameters["seconds"], outcome)) for outcome in (SERVED, REFUSED)],
        }
        for name, (rows, parameters) in runs.items()
    ]
    return environment.get_template(TEMPLATE).render(
        title=title, runs=shown, colours=COLOURS, fleet=fleet and fleet_plots(fleet)
    )


def figures_text(figures: Sequence[TenantFigures]) -> str:
    """Returns a table for the terminal, with a line for each tenant."""
    columns = ("served", "refused", "failed", "tokens/s", "p50 ms", "p95 ms", "p99 ms")
    lines = [f"{'tenant':<16}{'asked':>7}" + "".join(f"{name:>10}" for name in columns)]
    for f in figures:
        lines.append(
            f"{f.tenant:<16}{f.asked:>7}{f.served:>10.1%}{f.refused:>10.1%}{f.failed:>10.1%}"
            f"{f.tokens_per_s:>10.0f}{f.first_p50:>10.1f}{f.first_p95:>10.1f}{f.first_p99:>10.1f}"
        )
    return "\n".join(lines)
