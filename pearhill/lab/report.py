"""What came of a run, as figures and as a page with plots."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

import jinja2
from hdrh.histogram import HdrHistogram

from pearhill.lab.load import FAILED, REFUSED, SERVED, Row

if TYPE_CHECKING:
    from pearhill.lab.fleet import FleetResult

COLOURS = ("#0b6e99", "#d9730d", "#448361", "#9065b0", "#c14c8a", "#9f6b53", "#787774")
WIDTH, HEIGHT = 720, 220


@dataclass(frozen=True, slots=True)
class TenantFigures:
    """One tenant's run. Shares of what it asked for; times to the first event in milliseconds."""

    tenant: str
    asked: int
    served: float
    refused: float
    failed: float
    tokens_per_s: float
    first_p50: float
    first_p95: float
    first_p99: float
    late_p99: float  # of the load tool itself


def tenant_figures(rows: Sequence[Row], parameters: dict[str, float]) -> list[TenantFigures]:
    warm, seconds = parameters.get("warm_s", 0.0), parameters["seconds"]
    made = []
    for tenant in sorted({row.tenant for row in rows}):
        mine = [row for row in rows if row.tenant == tenant and row.planned_s >= warm]
        firsts, lates = HdrHistogram(1, 600_000_000, 3), HdrHistogram(1, 600_000_000, 3)
        for row in mine:
            lates.record_value(max(1, int(row.late_s * 1e6)))
            if row.outcome == SERVED:
                firsts.record_value(max(1, int(row.first_s * 1e6)))
        n = max(1, len(mine))
        share = {kind: sum(row.outcome == kind for row in mine) / n for kind in (SERVED, REFUSED, FAILED)}
        tokens = sum(row.tokens for row in mine if row.outcome == SERVED)
        p50, p95, p99 = (firsts.get_value_at_percentile(p) / 1000 for p in (50, 95, 99))
        made.append(
            TenantFigures(
                tenant,
                len(mine),
                share[SERVED],
                share[REFUSED],
                share[FAILED],
                tokens / max(1e-9, seconds - warm),
                p50,
                p95,
                p99,
                lates.get_value_at_percentile(99) / 1000,
            )
        )
    return made


def _curve(rows: Sequence[Row], tenant: str, seconds: float, outcome: str) -> list[float]:
    bins = [0.0] * max(1, round(seconds))
    for row in rows:
        if row.tenant == tenant and row.outcome == outcome:
            bins[min(len(bins) - 1, int(row.planned_s))] += 1
    return bins


def plot(rows: Sequence[Row], seconds: float, outcome: str) -> str:
    """Requests a second of one outcome, by tenant, as SVG."""
    tenants = sorted({row.tenant for row in rows})
    curves = {tenant: _curve(rows, tenant, seconds, outcome) for tenant in tenants}
    top = max((max(curve) for curve in curves.values()), default=0) or 1
    parts = [
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" aria-label="{outcome} requests a second">',
        f'<line x1="40" y1="{HEIGHT - 20}" x2="{WIDTH}" y2="{HEIGHT - 20}" stroke="#999"/>',
        f'<text x="0" y="14" font-size="11">{top:.0f}/s</text>',
        f'<text x="0" y="{HEIGHT - 22}" font-size="11">0</text>',
        f'<text x="{WIDTH - 40}" y="{HEIGHT - 6}" font-size="11">{seconds:.0f} s</text>',
    ]
    for k, tenant in enumerate(tenants):
        curve, colour = curves[tenant], COLOURS[k % len(COLOURS)]
        points = " ".join(
            f"{40 + (WIDTH - 40) * (x + 0.5) / len(curve):.1f},{(HEIGHT - 20) * (1 - y / top):.1f}"
            for x, y in enumerate(curve)
        )
        parts.append(f'<polyline fill="none" stroke="{colour}" stroke-width="1.8" points="{points}"/>')
    return "".join(parts) + "</svg>"


def page(title: str, runs: dict[str, tuple[list[Row], dict[str, float]]], fleet: FleetResult | None = None) -> str:
    """One run, or several side by side. `fleet`: how even the work of many dispatchers was in it."""
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
            "figures": tenant_figures(rows, told),
            "tenants": sorted({row.tenant for row in rows}),
            "plots": [(of, plot(rows, told["seconds"], of)) for of in (SERVED, REFUSED)],
        }
        for name, (rows, told) in runs.items()
    ]
    return environment.get_template("report.html.j2").render(
        title=title, runs=shown, colours=COLOURS, fleet=fleet and fleet_plots(fleet)
    )


def fleet_plots(fleet: FleetResult) -> list[tuple[str, str]]:
    """Captions and plots by second, as SVG."""
    made = []
    for name, curve, top in (
        ("peak over mean of work by engine", fleet.peaks, max(2.0, *fleet.peaks)),
        ("share served", fleet.served, 1.0),
    ):
        points = " ".join(
            f"{40 + (WIDTH - 40) * (x + 0.5) / len(curve):.1f},{(HEIGHT - 20) * (1 - y / top):.1f}"
            for x, y in enumerate(curve)
        )
        made.append(
            (
                f"{name} (0 to {top:.2f})",
                f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img" aria-label="{name}">'
                f'<polyline fill="none" stroke="{COLOURS[0]}" stroke-width="1.8" points="{points}"/></svg>',
            )
        )
    return made


def figures_text(figures: Sequence[TenantFigures]) -> str:
    fleet_plots = [
        f"{'tenant':<16}{'asked':>7}"
        + "".join(f"{name:>10}" for name in ("served", "refused", "failed", "tokens/s", "p50 ms", "p95 ms", "p99 ms"))
    ]
    for f in figures:
        fleet_plots.append(
            f"{f.tenant:<16}{f.asked:>7}{f.served:>10.1%}{f.refused:>10.1%}{f.failed:>10.1%}"
            f"{f.tokens_per_s:>10.0f}{f.first_p50:>10.1f}{f.first_p95:>10.1f}{f.first_p99:>10.1f}"
        )
    return "\n".join(fleet_plots)
