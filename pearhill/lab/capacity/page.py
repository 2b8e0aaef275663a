"""docs/CAPACITY.md, out of its template, the estimates and the runs."""

from __future__ import annotations

import re

import jinja2

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
from pearhill.lab.capacity.results import (
    AGGREGATORS,
    GOSSIP,
    RunResult,
)
from pearhill.lab.capacity.runs import Runs, SourcedFigure
from pearhill.lab.capacity.size import FleetSize
from pearhill.lab.capacity.units import in_seconds
from pearhill.lab.capacity.wire_samples import DEFAULT_EUREKA
from pearhill.load_reports.peer_loads import MAX_ROWS
from pearhill.load_reports.reports import REFRESH_INTERVAL_US
from pearhill.membership.aggregation_messages import (
    COMBINED_LEASE_US,
    LEASE_US,
    PARTIAL_SUM_LEASE_US,
)
from pearhill.membership.aggregator import (
    AGGREGATOR_TICK_US,
    MEMBER_LIST_INTERVAL_US,
)
from pearhill.membership.aggregator_choice import (
    ANSWER_TIMEOUT_US,
    MAX_BACKOFF_US,
    MAX_UNANSWERED_REPORTS,
    MIN_BACKOFF_US,
)
from pearhill.membership.member_directory import PARTITION_TIMEOUT_US, SILENCE_TIMEOUT_US
from pearhill.membership.members import (
    MAX_PINGS_PER_TICK,
    TICKS_PER_ROUND,
)
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.reporter import REPORT_INTERVAL_US
from pearhill.membership.sent_reports import MAX_REMEMBERED_REPORTS
from pearhill.membership.slot_table import SLOT_IDLE_US
from pearhill.net.health_checks import MAX_IN_FLIGHT
from pearhill.net.releases import MAX_UNANSWERED as RELEASES
from pearhill.platform.schedule import (
    SERVICE_TIME_PER_DISPATCHER_US,
    SHARED_WATCH_WAIT_US,
    WATCH_WAIT_US,
)
from pearhill.routing.local_prefill import MAX_RATIO
from pearhill.routing.prefix_affinity import MAX_CACHED_AGE_US, MAX_CACHED_PREFIXES
from pearhill.routing.statistics import STEP_INTERVAL_US


def measured_figure(found: SourcedFigure | None, quantity: str) -> str:
    return f"{format_quantity(quantity, found.value)} ({found.source})" if found else NOT_MEASURED


def _environment() -> jinja2.Environment:
    made = jinja2.Environment(
        loader=jinja2.PackageLoader("pearhill.lab", "."),
        undefined=jinja2.StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
        keep_trailing_newline=True,
        autoescape=False,
    )
    made.filters.update(
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
    return made


def render_page(results: dict[str, RunResult], size: FleetSize | None = None) -> str:
    """docs/CAPACITY.md."""
    size = size or FleetSize()
    estimates, runs = Estimates(size), Runs(results, size)

    def measured(way: str, role: str, quantity: str) -> str:
        return measured_figure(runs.figure(way, role, quantity), quantity)

    def fault_figure(kind: str, figure: str, unit: str) -> str:
        got = runs.fault_figure(kind, figure)
        return f"{format_number(got.value)}{unit} ({got.source})" if got else NOT_MEASURED

    def over_bounds(way: str, role: str, *bounds: tuple[str, float]) -> str:
        got = [(runs.figure(way, role, quantity), bound) for quantity, bound in bounds]
        return ", ".join(f"{f.value / bound:.2f}" if f else NOT_MEASURED for f, bound in got)

    constants = {
        "ROUND": TICKS_PER_ROUND,
        "MOST_PINGS": MAX_PINGS_PER_TICK,
        "KEYS": MAX_CACHED_PREFIXES,
        "KEEP": in_seconds(MAX_CACHED_AGE_US),
        "WAIT": in_seconds(WATCH_WAIT_US),
        "SHARED_WAIT": in_seconds(SHARED_WATCH_WAIT_US),
        "SHARE": in_seconds(SERVICE_TIME_PER_DISPATCHER_US),
        "STEP": in_seconds(STEP_INTERVAL_US),
        "RATIO_MAX": MAX_RATIO,
        "FRESH": in_seconds(REFRESH_INTERVAL_US),
        "MOST_OUT": MAX_IN_FLIGHT,
        "ROWS": MAX_ROWS,
        "RELEASES": RELEASES,
        "FETCH": DEFAULT_EUREKA.fetch_s,
        "PACE": in_seconds(REPORT_INTERVAL_US),
        "PART": in_seconds(AGGREGATOR_TICK_US),
        "LEASE": in_seconds(LEASE_US),
        "PART_LEASE": in_seconds(PARTIAL_SUM_LEASE_US),
        "MOVED": in_seconds(COMBINED_LEASE_US),
        "SILENT": in_seconds(SILENCE_TIMEOUT_US),
        "CUT": in_seconds(PARTITION_TIMEOUT_US),
        "IDLE": in_seconds(SLOT_IDLE_US),
        "ROSTER": in_seconds(MEMBER_LIST_INTERVAL_US),
        "UNANSWERED": MAX_UNANSWERED_REPORTS,
        "ANSWER_WAIT": in_seconds(ANSWER_TIMEOUT_US),
        "GONE": in_seconds(MAX_SUMS_AGE_US),
        "LEAST": in_seconds(MIN_BACKOFF_US),
        "MOST": in_seconds(MAX_BACKOFF_US),
        "REMEMBERED": MAX_REMEMBERED_REPORTS,
    }
    text = (
        _environment()
        .get_template("capacity.md.j2")
        .render(
            size=size,
            w=estimates,
            c=constants,
            runs=runs,
            measured=measured,
            over_bounds=over_bounds,
            fault_figure=fault_figure,
            requirements=requirements(estimates, runs),
            show=format_quantity,
            NOT_MEASURED=NOT_MEASURED,
            GOSSIP=GOSSIP,
            AGGREGATORS=AGGREGATORS,
            gossip_datagram=gossip_datagram_bytes(MAX_ROWS),
        )
    )
    return re.sub(r"\n{3,}", "\n\n", text)
