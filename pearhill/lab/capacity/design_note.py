"""Generates the two tables of figures in docs/design/capacity.md."""

from __future__ import annotations

from collections.abc import Iterable

from pearhill.config import ConfigError
from pearhill.lab.capacity.estimates import Estimates
from pearhill.lab.capacity.formatting import (
    format_byte_rate,
    format_bytes,
    format_duration,
    format_number,
)
from pearhill.lab.capacity.mechanisms import compare_mechanisms
from pearhill.lab.capacity.size import FleetSize
from pearhill.lab.capacity.units import MICROSECONDS_PER_S, in_seconds
from pearhill.membership.aggregation_messages import (
    COMBINED_LEASE_US,
    LEASE_US,
    PARTIAL_SUM_LEASE_US,
)
from pearhill.membership.aggregator import (
    AGGREGATOR_TICK_US,
)
from pearhill.membership.aggregator_choice import (
    ANSWER_TIMEOUT_US,
    HELLOS_TO_RETURN,
    MAX_BACKOFF_US,
    MAX_HELLO_INTERVAL_US,
    MAX_UNANSWERED_REPORTS,
    MIN_BACKOFF_US,
    MIN_HELLO_INTERVAL_US,
)
from pearhill.membership.byte_budget import MAX_BYTES_PER_S
from pearhill.membership.member_directory import PARTITION_TIMEOUT_US, SILENCE_TIMEOUT_US
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.reporter import REPORT_INTERVAL_US
from pearhill.membership.slot_table import SLOT_IDLE_US

NOTE_PATH = "docs/design/capacity.md"


MECHANISMS_TABLE, TIMES_TABLE = "weighed", "times"  # names of the tables in the HTML comments of the design note

Row = tuple[str, ...]


def mechanisms_table(size: FleetSize | None = None) -> str:
    """Returns the comparison of mechanisms as a Markdown table, for the operators' size unless another is given."""
    size = size or FleetSize()
    head = (
        f"at {size.dispatchers} x {size.replicas}",
        "bytes a second, both ways",
        "age, mean",
        "age, worst",
        "what it tells of",
        f"left when all {size.aggregators} control machines are gone",
    )
    rows = [
        (
            mechanism.name,
            format_bytes(mechanism.bytes_s),
            format_duration(mechanism.mean_age_s),
            format_duration(mechanism.worst_age_s),
            mechanism.coverage,
            mechanism.without_aggregators,
        )
        for mechanism in compare_mechanisms(Estimates(size))
    ]
    return _markdown(head, rows)


def protocol_times_table(size: FleetSize | None = None) -> str:
    """Returns a Markdown table of the reporting protocol's times, taken from the program's constants, with reasons."""
    estimates = Estimates(size or FleetSize())
    rows = [
        *_report_times(estimates),
        *_lease_times(estimates),
        *_failover_times(estimates),
        *_membership_times(),
    ]
    return _markdown(("time", "of", "why so long"), rows)


def _markdown(head: Row, rows: Iterable[Row]) -> str:
    return "".join(f"| {' | '.join(row)} |\n" for row in (head, ("---",) * len(head), *rows))


def _report_times(estimates: Estimates) -> list[Row]:
    traffic = estimates.report_traffic()
    partial_sum_rate = traffic.partial_sum_bytes * MICROSECONDS_PER_S / AGGREGATOR_TICK_US
    return [
        (
            f"{_duration(REPORT_INTERVAL_US)} at the least",
            "between two reports of a dispatcher, drawn by a tenth either way",
            f"the bytes: past {format_byte_rate(MAX_BYTES_PER_S)} both ways it is longer. At {estimates.size.replicas} "
            f"replicas it is {format_duration(1 / traffic.reports_s)} ({format_bytes(traffic.report_bytes)} up, "
            f"{format_bytes(traffic.sums_bytes)} down). The draw keeps them apart",
        ),
        (
            _duration(AGGREGATOR_TICK_US),
            "between two parts",
            "half of that is what another region's word is older; "
            f"{format_byte_rate(partial_sum_rate)} to each machine",
        ),
    ]


def _lease_times(estimates: Estimates) -> list[Row]:
    reports = in_seconds(LEASE_US) * estimates.report_traffic().reports_s
    return [
        (
            _duration(LEASE_US),
            "work of a dispatcher without a sign of life stays in the sums",
            f"{format_number(reports)} reports at that size: hardly ever are all lost",
        ),
        (
            _duration(PARTIAL_SUM_LEASE_US),
            "another machine's part stays in the sums",
            f"{PARTIAL_SUM_LEASE_US // AGGREGATOR_TICK_US} parts",
        ),
        (
            _duration(COMBINED_LEASE_US),
            "after its last word to another machine, a dispatcher's work is taken by the new one",
            "both leases are over by then, so that no sum has it twice; until then it stands as not heard",
        ),
    ]


def _failover_times(estimates: Estimates) -> list[Row]:
    dispatchers_us = estimates.size.dispatchers * MICROSECONDS_PER_S
    return [
        (
            f"{_duration(ANSWER_TIMEOUT_US)}, {MAX_UNANSWERED_REPORTS} reports",
            "without an answer, it goes to the next machine",
            "as the lease: what is not answered is not counted either",
        ),
        (
            _duration(MAX_SUMS_AGE_US),
            "sums older than that are not used",
            "own work alone from then on, at once and without a word to anybody",
        ),
        (
            f"{_seconds(MIN_HELLO_INTERVAL_US)} to {_duration(MAX_HELLO_INTERVAL_US)}",
            f"between two hellos to the own region's machine; {HELLOS_TO_RETURN} answers, and it moves back",
            "drawn, so that dispatchers come back one after the other",
        ),
        (
            f"{_seconds(MIN_BACKOFF_US)} to {_duration(MAX_BACKOFF_US)}",
            "between two tries while none answers, drawn",
            f"{format_number(dispatchers_us / MAX_BACKOFF_US)} to {format_number(dispatchers_us / MIN_BACKOFF_US)} "
            "small datagrams a second of all dispatchers",
        ),
    ]


def _membership_times() -> list[Row]:
    return [
        (
            _duration(SILENCE_TIMEOUT_US),
            "a silent dispatcher goes on being counted",
            "a restart takes less, and a cold replica's share hardly changes by one",
        ),
        (
            _duration(PARTITION_TIMEOUT_US),
            "the same, where it is a cut",
            "regions lose each other for minutes",
        ),
        (
            _duration(SLOT_IDLE_US),
            "a place in the table without work, before another engine gets it",
            "longer than any table is behind",
        ),
    ]


def _duration(microseconds: int) -> str:
    return format_duration(in_seconds(microseconds))


def _seconds(microseconds: int) -> str:
    return format_number(in_seconds(microseconds))


def update_note(text: str) -> str:
    """Returns the design note with both tables replaced.

    Raises ConfigError if the note lacks the pair of comments that encloses a table.
    """
    text = _replace_table(text, MECHANISMS_TABLE, mechanisms_table())
    return _replace_table(text, TIMES_TABLE, protocol_times_table())


def _replace_table(text: str, table_name: str, table: str) -> str:
    begin, end = f"<!-- {table_name}: pearhill lab scale --page -->\n", f"<!-- /{table_name} -->\n"
    before, found_begin, rest = text.partition(begin)
    _, found_end, after = rest.partition(end)
    if not (found_begin and found_end):
        raise ConfigError(
            f"{NOTE_PATH}: found no table of {table_name}; allowed: one between {begin.strip()} and {end.strip()}"
        )
    return before + begin + table + end + after
