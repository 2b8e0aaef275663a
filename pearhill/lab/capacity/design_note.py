"""The two tables of figures in docs/design/capacity.md."""

from __future__ import annotations

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


def mechanisms_table(size: FleetSize | None = None) -> str:
    """The table of mechanisms for docs/design/capacity.md."""
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
            o.name,
            format_bytes(o.bytes_s),
            format_duration(o.mean_age_s),
            format_duration(o.worst_age_s),
            o.coverage,
            o.without_aggregators,
        )
        for o in compare_mechanisms(Estimates(size))
    ]
    return "".join(f"| {' | '.join(row)} |\n" for row in (head, ("---",) * 6, *rows))


def protocol_times_table(size: FleetSize | None = None) -> str:
    """The table of the protocol's times for docs/design/capacity.md, out of the code's constants."""
    w = Estimates(size or FleetSize())
    one = w.report_traffic()
    least_hello_s, most_hello_s = in_seconds(MIN_HELLO_INTERVAL_US), in_seconds(MAX_HELLO_INTERVAL_US)
    dispatchers_us = w.size.dispatchers * MICROSECONDS_PER_S
    rows = (
        ("time", "of", "why so long"),
        ("---",) * 3,
        (
            f"{format_duration(in_seconds(REPORT_INTERVAL_US))} at the least",
            "between two reports of a dispatcher, drawn by a tenth either way",
            f"the bytes: past {format_byte_rate(MAX_BYTES_PER_S)} both ways it is longer. "
            f"At {w.size.replicas} replicas it is {format_duration(1 / one.reports_s)} "
            f"({format_bytes(one.report_bytes)} up, {format_bytes(one.sums_bytes)} down). The draw keeps them apart",
        ),
        (
            format_duration(in_seconds(AGGREGATOR_TICK_US)),
            "between two parts",
            "half of that is what another region's word is older; "
            f"{format_byte_rate(one.partial_sum_bytes * MICROSECONDS_PER_S / AGGREGATOR_TICK_US)} to each machine",
        ),
        (
            format_duration(in_seconds(LEASE_US)),
            "work of a dispatcher without a sign of life stays in the sums",
            f"{format_number(in_seconds(LEASE_US) * one.reports_s)} reports at that size: hardly ever are all lost",
        ),
        (
            format_duration(in_seconds(PARTIAL_SUM_LEASE_US)),
            "another machine's part stays in the sums",
            f"{PARTIAL_SUM_LEASE_US // AGGREGATOR_TICK_US} parts",
        ),
        (
            format_duration(in_seconds(COMBINED_LEASE_US)),
            "after its last word to another machine, a dispatcher's work is taken by the new one",
            "both leases are over by then, so that no sum has it twice; until then it stands as not heard",
        ),
        (
            f"{format_duration(in_seconds(ANSWER_TIMEOUT_US))}, {MAX_UNANSWERED_REPORTS} reports",
            "without an answer, it goes to the next machine",
            "as the lease: what is not answered is not counted either",
        ),
        (
            format_duration(in_seconds(MAX_SUMS_AGE_US)),
            "sums older than that are not used",
            "own work alone from then on, at once and without a word to anybody",
        ),
        (
            f"{format_number(least_hello_s)} to {format_duration(most_hello_s)}",
            "between two hellos to the own region's machine; " f"{HELLOS_TO_RETURN} answers, and it moves back",
            "drawn, so that dispatchers come back one after the other",
        ),
        (
            f"{format_number(in_seconds(MIN_BACKOFF_US))} to {format_duration(in_seconds(MAX_BACKOFF_US))}",
            "between two tries while none answers, drawn",
            f"{format_number(dispatchers_us / MAX_BACKOFF_US)} to "
            f"{format_number(dispatchers_us / MIN_BACKOFF_US)} small datagrams a second of all dispatchers",
        ),
        (
            format_duration(in_seconds(SILENCE_TIMEOUT_US)),
            "a silent dispatcher goes on being counted",
            "a restart takes less, and a cold replica's share hardly changes by one",
        ),
        (
            format_duration(in_seconds(PARTITION_TIMEOUT_US)),
            "the same, where it is a cut",
            "regions lose each other for minutes",
        ),
        (
            format_duration(in_seconds(SLOT_IDLE_US)),
            "a place in the table without work, before another engine gets it",
            "longer than any table is behind",
        ),
    )
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def update_note(text: str) -> str:
    """The design note with its tables made anew. ConfigError: it has no place for one."""
    for name, made in (("weighed", mechanisms_table()), ("times", protocol_times_table())):
        begin, end = f"<!-- {name}: pearhill lab scale --page -->\n", f"<!-- /{name} -->\n"
        before, found, rest = text.partition(begin)
        _, last, after = rest.partition(end)
        if not (found and last):
            raise ConfigError(
                f"{NOTE_PATH}: found no table of {name}; allowed: one between {begin.strip()} and " f"{end.strip()}"
            )
        text = before + begin + made + end + after
    return text
