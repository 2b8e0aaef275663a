"""docs/CAPACITY.md, out of its template, the estimates and the runs."""

from __future__ import annotations

import re

import jinja2

from pearhill.lab.capacity.estimates import Worked
from pearhill.lab.capacity.formatting import (
    NOT_MEASURED,
    amount,
    cell,
    core,
    number,
    rate,
    seconds,
    show,
    spread,
)
from pearhill.lab.capacity.gossip_traffic import talk_bytes
from pearhill.lab.capacity.needs import needs
from pearhill.lab.capacity.results import (
    AGGREGATORS,
    TALK,
    Result,
)
from pearhill.lab.capacity.runs import Found, Runs
from pearhill.lab.capacity.size import Size
from pearhill.lab.capacity.trouble_rows import columns, shown
from pearhill.lab.capacity.units import S
from pearhill.lab.capacity.wire_samples import EUREKA
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


def measured(found: Found | None, quantity: str) -> str:
    return f"{show(quantity, found.value)} ({found.source})" if found else NOT_MEASURED


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
        n=number, b=amount, r=rate, core=core, s=seconds, spread=spread, cell=cell, columns=columns, shown=shown
    )
    return made


def page(results: dict[str, Result], size: Size | None = None) -> str:
    """docs/CAPACITY.md."""
    size = size or Size()
    worked, runs = Worked(size), Runs(results, size)

    def found(way: str, role: str, quantity: str) -> str:
        return measured(runs.found(way, role, quantity), quantity)

    def seen(kind: str, figure: str, unit: str) -> str:
        got = runs.told(kind, figure)
        return f"{number(got.value)}{unit} ({got.source})" if got else NOT_MEASURED

    def over(way: str, role: str, *bounds: tuple[str, float]) -> str:
        got = [(runs.found(way, role, quantity), bound) for quantity, bound in bounds]
        return ", ".join(f"{f.value / bound:.2f}" if f else NOT_MEASURED for f, bound in got)

    constants = {
        "ROUND": TICKS_PER_ROUND,
        "MOST_PINGS": MAX_PINGS_PER_TICK,
        "KEYS": MAX_CACHED_PREFIXES,
        "KEEP": MAX_CACHED_AGE_US / S,
        "WAIT": WATCH_WAIT_US / S,
        "SHARED_WAIT": SHARED_WATCH_WAIT_US / S,
        "SHARE": SERVICE_TIME_PER_DISPATCHER_US / S,
        "STEP": STEP_INTERVAL_US / S,
        "RATIO_MAX": MAX_RATIO,
        "FRESH": REFRESH_INTERVAL_US / S,
        "MOST_OUT": MAX_IN_FLIGHT,
        "ROWS": MAX_ROWS,
        "RELEASES": RELEASES,
        "FETCH": EUREKA.fetch_s,
        "PACE": REPORT_INTERVAL_US / S,
        "PART": AGGREGATOR_TICK_US / S,
        "LEASE": LEASE_US / S,
        "PART_LEASE": PARTIAL_SUM_LEASE_US / S,
        "MOVED": COMBINED_LEASE_US / S,
        "SILENT": SILENCE_TIMEOUT_US / S,
        "CUT": PARTITION_TIMEOUT_US / S,
        "IDLE": SLOT_IDLE_US / S,
        "ROSTER": MEMBER_LIST_INTERVAL_US / S,
        "UNANSWERED": MAX_UNANSWERED_REPORTS,
        "ANSWER_WAIT": ANSWER_TIMEOUT_US / S,
        "GONE": MAX_SUMS_AGE_US / S,
        "LEAST": MIN_BACKOFF_US / S,
        "MOST": MAX_BACKOFF_US / S,
        "REMEMBERED": MAX_REMEMBERED_REPORTS,
    }
    text = (
        _environment()
        .get_template("capacity.md.j2")
        .render(
            size=size,
            w=worked,
            c=constants,
            runs=runs,
            found=found,
            over=over,
            seen=seen,
            needs=needs(worked, runs),
            show=show,
            NOT_MEASURED=NOT_MEASURED,
            TALK=TALK,
            AGGREGATORS=AGGREGATORS,
            talk_datagram=talk_bytes(MAX_ROWS),
        )
    )
    return re.sub(r"\n{3,}", "\n\n", text)
