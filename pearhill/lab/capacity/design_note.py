"""The two tables of figures in docs/design/capacity.md."""

from __future__ import annotations

from pearhill.config import ConfigError
from pearhill.lab.capacity.estimates import Worked
from pearhill.lab.capacity.formatting import (
    amount,
    number,
    rate,
    seconds,
)
from pearhill.lab.capacity.size import Size
from pearhill.lab.capacity.units import S
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

NOTE = "docs/design/capacity.md"


def weighed(size: Size | None = None) -> str:
    """The table of mechanisms for docs/design/capacity.md."""
    size = size or Size()
    head = (
        f"at {size.dispatchers} x {size.replicas}",
        "bytes a second, both ways",
        "age, mean",
        "age, worst",
        "what it tells of",
        f"left when all {size.machines} control machines are gone",
    )
    rows = [(o.name, amount(o.bytes_s), seconds(o.age), seconds(o.worst), o.sees, o.left) for o in Worked(size).options]
    return "".join(f"| {' | '.join(row)} |\n" for row in (head, ("---",) * 6, *rows))


def times(size: Size | None = None) -> str:
    """The table of the protocol's times for docs/design/capacity.md, out of the code's constants."""
    w = Worked(size or Size())
    one = w.told()
    rows = (
        ("time", "of", "why so long"),
        ("---",) * 3,
        (
            f"{seconds(REPORT_INTERVAL_US / S)} at the least",
            "between two reports of a dispatcher, drawn by a tenth either way",
            f"the bytes: past {rate(MAX_BYTES_PER_S)} both ways it is longer. At {w.size.replicas} replicas it is "
            f"{seconds(1 / one.reports)} ({amount(one.up)} up, {amount(one.down)} down). The draw keeps them apart",
        ),
        (
            seconds(AGGREGATOR_TICK_US / S),
            "between two parts",
            "half of that is what another region's word is older; "
            f"{rate(one.part * S / AGGREGATOR_TICK_US)} to each machine",
        ),
        (
            seconds(LEASE_US / S),
            "work of a dispatcher without a sign of life stays in the sums",
            f"{number(LEASE_US / S * one.reports)} reports at that size: hardly ever are all lost",
        ),
        (
            seconds(PARTIAL_SUM_LEASE_US / S),
            "another machine's part stays in the sums",
            f"{PARTIAL_SUM_LEASE_US // AGGREGATOR_TICK_US} parts",
        ),
        (
            seconds(COMBINED_LEASE_US / S),
            "after its last word to another machine, a dispatcher's work is taken by the new one",
            "both leases are over by then, so that no sum has it twice; until then it stands as not heard",
        ),
        (
            f"{seconds(ANSWER_TIMEOUT_US / S)}, {MAX_UNANSWERED_REPORTS} reports",
            "without an answer, it goes to the next machine",
            "as the lease: what is not answered is not counted either",
        ),
        (
            seconds(MAX_SUMS_AGE_US / S),
            "sums older than that are not used",
            "own work alone from then on, at once and without a word to anybody",
        ),
        (
            f"{number(MIN_HELLO_INTERVAL_US / S)} to {seconds(MAX_HELLO_INTERVAL_US / S)}",
            "between two hellos to the own region's machine; " f"{HELLOS_TO_RETURN} answers, and it moves back",
            "drawn, so that dispatchers come back one after the other",
        ),
        (
            f"{number(MIN_BACKOFF_US / S)} to {seconds(MAX_BACKOFF_US / S)}",
            "between two tries while none answers, drawn",
            f"{number(w.size.dispatchers * S / MAX_BACKOFF_US)} to {number(w.size.dispatchers * S / MIN_BACKOFF_US)} "
            "small datagrams a second of all dispatchers",
        ),
        (
            seconds(SILENCE_TIMEOUT_US / S),
            "a silent dispatcher goes on being counted",
            "a restart takes less, and a cold replica's share hardly changes by one",
        ),
        (seconds(PARTITION_TIMEOUT_US / S), "the same, where it is a cut", "regions lose each other for minutes"),
        (
            seconds(SLOT_IDLE_US / S),
            "a place in the table without work, before another engine gets it",
            "longer than any table is behind",
        ),
    )
    return "".join(f"| {' | '.join(row)} |\n" for row in rows)


def note(text: str) -> str:
    """The design note with its tables made anew. ConfigError: it has no place for one."""
    for name, made in (("weighed", weighed()), ("times", times())):
        begin, end = f"<!-- {name}: pearhill lab scale --page -->\n", f"<!-- /{name} -->\n"
        before, found, rest = text.partition(begin)
        _, last, after = rest.partition(end)
        if not (found and last):
            raise ConfigError(
                f"{NOTE}: found no table of {name}; allowed: one between {begin.strip()} and " f"{end.strip()}"
            )
        text = before + begin + made + end + after
    return text
