"""One reporter by itself: its ticks, its count, and its use of sums."""

from __future__ import annotations

import random

from pearhill.membership import gauges, reporter
from pearhill.membership.aggregation_messages import (
    Report,
    Sums,
)
from pearhill.membership.reporter import Reporter
from tests.membership.simulated_fleet import SITES, S


def test_replayed_answers_do_not_delay_reports() -> None:
    r = reporter.Reporter("d1", "r0", SITES[:1], S, random.Random(8), lambda: [])
    at = r.next_tick(S)
    (report,) = r.tick(at)
    assert isinstance(report, Report)
    sums = Sums(SITES[0].name, "d1", 1, 1, report.number, -1, 1, 1, 0, 0, 0, 1, 0, b"\0", b"\0", ())
    r.receive(at, sums, 1400)
    due = r.next_tick(at)
    for _ in range(1000):
        r.receive(at, sums, 1400)
    assert r.next_tick(at) == due


def test_there_is_no_count_before_a_settled_aggregator_has_sent_one() -> None:
    r = reporter.Reporter("d1", "r0", SITES[:1], S, random.Random(9), lambda: [])
    for n, (counted, settled, count) in enumerate(((2, False, None), (9, True, 9), (3, False, 9), (3, True, 3))):
        at = r.next_tick(S * (n + 1))
        (report,) = r.tick(at)
        assert isinstance(report, Report)
        r.receive(
            at,
            Sums(
                SITES[0].name,
                "d1",
                1,
                n,
                report.number,
                -1,
                1,
                counted,
                0,
                0,
                0,
                1,
                0,
                b"\0",
                b"\0",
                (),
                settled=settled,
            ),
            100,
        )
        assert r.count(at) == count


def test_answers_missing_during_a_stall_do_not_change_the_aggregator() -> None:
    now = 1_000 * S
    r = Reporter("d0", "r0", SITES, now, random.Random(1), lambda: [])
    for _ in range(5):
        now = r.next_tick(now)
        assert r.tick(now)[0].to == "a0"
    now += 6 * S
    assert (r.tick(now)[0].to, r.attachment) == ("a0", 1)
    for _ in range(30):
        now = r.next_tick(now)
        r.tick(now)
    assert (r.current != "a0", r.attachment, r.moves) == (True, 2, 1)


def test_an_incomplete_table_gives_no_peer_load() -> None:
    now = 1_000 * S
    r = Reporter("d0", "r0", SITES, now, random.Random(1), lambda: [])
    loads = gauges.pack(bytes((100,) * 4))
    for k, (entries, is_known) in enumerate(((((0, 70, 1), (1, 71, 2)), False), (((2, 72, 3), (3, 73, 4)), True))):
        now = r.next_tick(now)
        (sent_report,) = r.tick(now)
        assert isinstance(sent_report, Report)
        r.receive(
            now, Sums("a0", "d0", 5, k, sent_report.number, -1, 4, 5, 4, 0, 0, 1, 0, loads, loads, entries, 4), 200
        )
        for replica in (70, 73, 99):
            assert (r.peer_load(now, replica) is not None) == is_known
            if not is_known:
                assert r.estimate_peer_load(now, replica, 2, 3) == (8.0, 12.0, 0.0)
    now = r.next_tick(now)
    (sent_report,) = r.tick(now)
    assert isinstance(sent_report, Report)
    r.receive(
        now, Sums("a0", "d0", 5, 9, sent_report.number, -1, 4, 5, 5, 5, 0, 2, 0, b"\0", b"\0", ((0, 80, 5),)), 200
    )
    assert r.peer_load(now, 80) is None  # the last sums of slot 0 were those of replica 70
    loads_now = [r.peer_load(now, replica) for replica in (70, 71)]
    assert tuple(load and load.total_tokens for load in loads_now) == (0, gauges.TOKENS[100])
