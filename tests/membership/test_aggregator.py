"""One aggregator by itself: slots, leases, members and replayed messages."""

from __future__ import annotations

import random

import pytest

from pearhill.membership import gauges
from pearhill.membership.aggregation_messages import (
    COMBINED_LEASE_US,
    LEASE_US,
    Hello,
    HelloAck,
    MemberList,
    Sums,
    Superseded,
)
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, Aggregator
from pearhill.membership.member_directory import SILENCE_TIMEOUT_US
from pearhill.membership.replay_window import WINDOW_MESSAGES, ReplayWindow
from pearhill.membership.slot_table import SLOT_IDLE_US
from tests.membership.samples import report
from tests.membership.simulated_fleet import S


def test_a_reassigned_slot_counts_no_report_for_its_former_replica() -> None:
    now, a = 1_000 * S, Aggregator("a0", [], 1_000 * S, random.Random(1))
    a.receive(now, report(1))
    a.receive(now, report(2, known_incarnation=now, echo=1, unassigned=((7, 100, 150),)))
    assert a.work.totals.loads == [gauges.TOKENS[150]]
    a.receive(now + S, report(3, known_incarnation=now, echo=2, known_version=1))
    later = now + S
    for k in range(4, 44):
        later += S
        a.receive(later, report(k, known_incarnation=now, echo=k - 1, known_version=1))
        a.tick(later)
    a.receive(later, report(50, known_incarnation=now, echo=43, known_version=1, unassigned=((8, 9, 99),)))
    assert (a.table.replicas, a.table.version, a.table.reused_version) == ([8], 2, 2)
    packed = gauges.pack(bytes((120,)))
    a.receive(
        later, report(51, known_incarnation=now, echo=50, known_version=1, slot_count=1, loads=packed, waits=packed)
    )
    assert a.work.totals.loads == [0]  # the report's gauge is that of replica 7
    (answer,) = a.receive(
        later, report(52, known_incarnation=now, echo=50, known_version=2, slot_count=1, loads=packed, waits=packed)
    )
    assert isinstance(answer, Sums)
    assert (a.work.totals.loads, answer.entries) == ([gauges.TOKENS[120]], ())
    assert later - now > SLOT_IDLE_US


@pytest.mark.parametrize(
    ("quiet", "wait", "echo", "counts"),
    [
        (0, COMBINED_LEASE_US - 1, True, False),
        (0, COMBINED_LEASE_US, True, True),
        (3_500, 0, True, True),
        (-1, COMBINED_LEASE_US - 1, True, False),
        (60_000, 0, False, False),
    ],
)
def test_work_counts_once_no_other_aggregator_can_count_it_and_only_with_an_echo(
    quiet: int, wait: int, echo: bool, counts: bool
) -> None:
    now, unassigned = 1_000 * S, ((7, 100, 150),)
    a, known_incarnation = Aggregator("a0", [], now, random.Random(1)), now if echo else now - 1
    for k in range(wait // S + 2):
        at = now + max(0, k - 1) * S
        a.receive(at, report(k, known_incarnation=known_incarnation, echo=k - 1, quiet_ms=quiet, unassigned=unassigned))
    a.receive(
        now + wait, report(99, known_incarnation=known_incarnation, echo=wait // S, quiet_ms=0, unassigned=unassigned)
    )
    assert (sum(a.work.totals.loads) > 0) == counts


def test_an_older_report_is_ignored_and_a_member_reported_elsewhere_is_dropped_at_once() -> None:
    now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
    a.receive(now, report(1))
    a.receive(now, report(4, known_incarnation=now, echo=1, unassigned=((7, 100, 150),)))
    a.receive(now, report(3, known_incarnation=now, echo=1, unassigned=((7, 50, 60),)))  # it arrives late
    assert a.work.totals.loads == [gauges.TOKENS[150]]
    for sequence, attach, load in ((1, 1, gauges.TOKENS[150]), (2, 2, 0)):
        a.receive(now, MemberList("a1", "a0", now, sequence, 0, 1, (("d0", 5, attach, 1_000),)))
        assert (a.work.totals.loads, a.count(now)) == ([load], 1)
    a.receive(now, report(5, known_incarnation=now, echo=4, unassigned=((7, 100, 150),)))  # late, of the old attachment
    assert (a.work.totals.loads, list(a.work.members)) == ([0], [])
    a.receive(now, MemberList("a1", "a0", now, 3, 0, 1, (("d0", 5, 2, -1), ("d1", 5, 1, -1))))  # both left
    assert (a.count(now), sorted(a.directory.records)) == (0, ["d0"])


def test_a_stall_of_an_aggregator_expires_no_member() -> None:
    now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
    a.tick(now)
    a.receive(now, report(1))
    a.receive(now, report(2, known_incarnation=now, echo=1))
    for wait in (2 * SILENCE_TIMEOUT_US, SILENCE_TIMEOUT_US, AGGREGATOR_TICK_US):
        now += wait
        a.tick(now)
        assert (a.count(now), a.figures(now)["cut"]) == (1, 0)
    for _ in range(SILENCE_TIMEOUT_US // AGGREGATOR_TICK_US + 1):
        now += AGGREGATOR_TICK_US
        a.tick(now)
    assert (a.count(now), a.figures(now)["cut"]) == (1, 1)  # all members are silent: a partition is assumed


def test_members_read_before_the_first_tick_after_a_stall_expire_in_time() -> None:
    now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
    for n in range(1, 6):
        a.receive(now, report(1, sender=f"d{n}"))
        a.receive(now, report(2, sender=f"d{n}", known_incarnation=1_000 * S, echo=1))
    now += 60 * S  # a stall, after which waiting messages are read before the tick
    for n in range(1, 6):
        a.receive(now, report(3, sender=f"d{n}", sequence=3, known_incarnation=1_000 * S, echo=2))
        a.receive(now, report(4, sender=f"d{n}", sequence=4, known_incarnation=1_000 * S, echo=3))
    a.tick(now)
    for k in range((SILENCE_TIMEOUT_US + S) // AGGREGATOR_TICK_US):
        now += AGGREGATOR_TICK_US
        for n in range(2, 6):  # d1 is dead by now
            at = 5 + k
            a.receive(now, report(at, sender=f"d{n}", known_incarnation=1_000 * S, echo=at - 1))
        a.tick(now)
    assert a.count(now) == 4


def test_a_dispatcher_whose_clock_was_set_back_is_answered_once_the_newer_incarnation_expires() -> None:
    now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
    a.receive(now, report(1))
    for wait, answers in ((LEASE_US // 2, []), (LEASE_US, [HelloAck])):
        hello = Hello("d0", "a0", 4, 1, 77)  # the sample report's incarnation is 5
        assert [type(f) for f in a.receive(now + wait, hello)] == answers
    assert [type(f) for f in a.receive(now + 2 * LEASE_US, report(2, incarnation=4))] == [Superseded]


def test_replayed_messages_and_messages_of_unknown_senders_are_ignored() -> None:
    now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
    assert len(a.receive(now, report(1))) == 1
    assert a.receive(now, report(1)) == []
    hello = Hello("d1", "a0", 5, 1, 77)
    assert a.receive(now, hello) == [HelloAck("a0", "d1", now, 2, 77)]
    assert a.receive(now, hello) == []
    for message in (
        MemberList("a9", "a0", 5, 1, 0, 1, (("x", 1, 1, 0),)),
        Superseded("d1", "a0", 5, 2, 9),
        report(2, sender="a1"),
    ):
        assert a.receive(now, message) == []
    assert a.count(now) == 0
    window = ReplayWindow()
    for incarnation, sequence, first in (
        (1, 5, True),
        (1, 5, False),
        (1, 4, True),
        (1, 4, False),
        (1, 2_000, True),
        (1, 2_000 - WINDOW_MESSAGES, False),
        (1, 2_001 - WINDOW_MESSAGES, True),
        (2, 1, True),
        (1, 2_001, False),
    ):
        assert window.accept("d", incarnation, sequence) == first, (incarnation, sequence)


def test_work_of_a_restarted_dispatcher_leaves_the_totals_without_a_tick_in_between() -> None:
    """The lease of its work ends just before the new process's second report, with no tick in between."""
    now = 1_000 * S
    a = Aggregator("a0", [], now, random.Random(1))
    a.receive(now, report(1))
    a.receive(now, report(2, known_incarnation=now, echo=1, unassigned=((7, 100, 150),)))
    assert sum(a.work.totals.loads) > 0
    a.receive(now + LEASE_US - 50_000, report(1, incarnation=6))
    a.receive(now + LEASE_US + 50_000, report(2, incarnation=6, known_incarnation=now, echo=1))
    a.tick(now + LEASE_US + SILENCE_TIMEOUT_US)
    assert sum(a.work.totals.loads) == 0
