"""Renders docs/CAPACITY.md from its template, the estimates and the results of runs."""

from __future__ import annotations

import re

import jinja2

from pearhill.lab.capacity.constants import PROGRAM_CONSTANTS
from pearhill.lab.capacity.estimates import Estimates
from pearhill.lab.capacity.fault_rows import fault_columns, fault_summary
from pearhill.lab.capacity.formatting import (
    NOT_MEASURED,
    format_byte_rate,
    format_bytes,
    format_cores,
    format_duration,
    format_number,
    format_percentiles,
    format_quantity,
    table_cell,
)
from pearhill.lab.capacity.gossip_traffic import gossip_datagram_bytes
from pearhill.lab.capacity.requirements import requirements
from pearhill.lab.capacity.results import AGGREGATORS, GOSSIP, RunResult
from pearhill.lab.capacity.runs import Runs
from pearhill.lab.capacity.size import FleetSize
from pearhill.load_reports.peer_loads import MAX_ROWS

TEMPLATE = "capacity.md.j2"


class MeasuredCells:
    """Formats measured figures for the cells of the template, each with the name of the run that measured it."""

    def __init__(self, runs: Runs) -> None:
        self.runs = runs

    def measured(self, mechanism: str, role: str, quantity: str) -> str:
        """Returns a quantity at the planned size with its source, or `NOT_MEASURED`."""
        figure = self.runs.figure(mechanism, role, quantity)
        if figure is None:
            return NOT_MEASURED
        return f"{format_quantity(quantity, figure.value)} ({figure.source})"

    def fault_figure(self, kind: str, name: str, unit: str) -> str:
        """Returns a figure measured during one kind of fault with its source, or `NOT_MEASURED`."""
        figure = self.runs.fault_figure(kind, name)
        if figure is None:
            return NOT_MEASURED
        return f"{format_number(figure.value)}{unit} ({figure.source})"

    def over_bounds(self, mechanism: str, role: str, *bounds: tuple[str, float]) -> str:
        """Returns the ratio of each quantity at the planned size to its bound, separated by commas."""
        figures = [(self.runs.figure(mechanism, role, quantity), bound) for quantity, bound in bounds]
        return ", ".join(f"{figure.value / bound:.2f}" if figure else NOT_MEASURED for figure, bound in figures)


def render_page(results: dict[str, RunResult], size: FleetSize | None = None) -> str:
    """Returns the complete page, for the operators' size unless another is given."""
    size = size or FleetSize()
    estimates, runs = Estimates(size), Runs(results, size)
    cells = MeasuredCells(runs)
    text = (
        _environment()
        .get_template(TEMPLATE)
        .render(
            size=size,
            w=estimates,
            c=PROGRAM_CONSTANTS,
            runs=runs,
            measured=cells.measured,
            fault_figure=cells.fault_figure,
            over_bounds=cells.over_bounds,
            requirements=requirements(estimates, runs),
            show=format_quantity,
            gossip_datagram=gossip_datagram_bytes(MAX_ROWS),
            NOT_MEASURED=NOT_MEASURED,
            GOSSIP=GOSSIP,
            AGGREGATORS=AGGREGATORS,
        )
    )
    return re.sub(r"\n{3,}", "\n\n", text)


def _environment() -> jinja2.Environment:
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("pearhill.lab", "."),
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,  # the page is Markdown; the filter `cell` removes what would break a table
    )
    environment.filters.update(
        n=format_number,
        b=format_bytes,
        r=format_byte_rate,
        s=format_duration,
        core=format_cores,
        spread=format_percentiles,
        cell=table_cell,
        fault_columns=fault_columns,
        fault_summary=fault_summary,
    )
    return environment
