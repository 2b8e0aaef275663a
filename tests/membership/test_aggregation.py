"""Dispatchers report to aggregators over a network that drops, duplicates, delays and reorders datagrams and
partitions; dispatchers and aggregators are killed, stalled, restarted, and started twice under one name."""

from __future__ import annotations

from collections import Counter
from unittest import mock

import pytest
from hypothesis import settings as examples
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership import reporter
from pearhill.membership.aggregation_messages import (
    LEASE_US,
    PARTIAL_SUM_LEASE_US,
    AggregationCodec,
    AggregationMessage,
)
from pearhill.membership.aggregator import AGGREGATOR_TICK_US
from pearhill.membership.byte_budget import HEADER_BYTES, MAX_BYTES_PER_S
from pearhill.membership.member_directory import PARTITION_TIMEOUT_US, SILENCE_TIMEOUT_US
from pearhill.membership.message_authenticator import MAX_DATAGRAM_BYTES
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from tests.membership.simulated_fleet import KEY, SITES, FleetSimulation, S, SimulatedDispatcher


class Fleet(RuleBasedStateMachine):
    @initialize(count=st.integers(2, 6), seed=st.integers(0, 1 << 30))
    def begin(self, count: int, seed: int) -> None:
        self.world = FleetSimulation(count, seed)
        self.world.run_checked(2 * S)

    @rule(duration_us=st.sampled_from((AGGREGATOR_TICK_US // 3, S, 4 * S, 12 * S)))
    def time_passes(self, duration_us: int) -> None:
        self.world.run_checked(duration_us)

    @rule(
        drop=st.sampled_from((0.0, 0.3, 0.8)),
        duplicate=st.sampled_from((0.0, 0.5)),
        delay=st.sampled_from((100, 50_000, 500_000)),
    )
    def the_network_is_bad(self, drop: float, duplicate: float, delay: int) -> None:
        self.world.drop, self.world.duplicate, self.world.delay = drop, duplicate, delay

    @rule(data=st.data(), one_way=st.booleans())
    def regions_lose_each_other(self, data: st.DataObject, one_way: bool) -> None:
        a, b = data.draw(st.permutations(("r0", "r1", "r2")))[:2]
        self.world.blocked_paths |= {(a, b)} if one_way else {(a, b), (b, a)}

    @rule()
    def the_cut_heals(self) -> None:
        self.world.blocked_paths.clear()

    @rule(name=st.sampled_from([s.name for s in SITES]))
    def an_aggregator_is_killed(self, name: str) -> None:
        self.world.aggregators.pop(name, None)
        self.world.stalled.pop(name, None)

    @rule(name=st.sampled_from([s.name for s in SITES]))
    def an_aggregator_starts(self, name: str) -> None:
        self.world.start_aggregator(name)

    @rule(name=st.sampled_from([s.name for s in SITES]))
    def an_aggregator_stalls(self, name: str) -> None:
        if name in self.world.aggregators:
            self.world.stalled.setdefault(name, [])

    @rule()
    def the_stalled_wake(self) -> None:
        self.world.end_stalls()

    @rule(data=st.data(), how=st.sampled_from(("crash", "leave", "stall", "work")))
    def something_happens_to_a_dispatcher(self, data: st.DataObject, how: str) -> None:
        if len(self.world.running()) < 2:
            return
        process = data.draw(st.sampled_from(self.world.running()))
        if how == "leave":
            self.world.send(process, process.reporter.leave(self.world.now))
        if how in ("crash", "leave"):
            process.up = False
        elif how == "stall":
            process.stalled = True
        else:
            process.load = data.draw(st.sampled_from((0, 300, 5_000, 80_000)))

    @rule(data=st.data(), region=st.sampled_from(("r0", "r1", "r2")), back=st.sampled_from((0, 0, 5 * S, 500 * S)))
    def a_dispatcher_starts(self, data: st.DataObject, region: str, back: int) -> None:
        """Starts a new name, or one that ran before or still runs; its clock may have been set back."""
        if len(self.world.running()) < 8:
            self.world.start(f"d{data.draw(st.integers(0, 6))}", region, self.world.now - back)

    @rule(data=st.data())
    def an_old_datagram_comes_again(self, data: st.DataObject) -> None:
        if self.world.replayable:
            self.world.deliver(*data.draw(st.sampled_from(self.world.replayable)))

    def teardown(self) -> None:
        """After all faults end, the dispatchers soon agree on the work and on the number of dispatchers."""
        if not hasattr(self, "world"):
            return
        world = self.world
        for name in {p.name for p in world.running()}:
            for process in world.running(name)[:-1]:
                process.up = False  # with two running processes of one name, no view can be right
        world.heal()
        for site in SITES:
            if site.name not in world.aggregators:
                world.start_aggregator(site.name)
        world.run_checked(12 * S)
        world.run(38 * S)
        assert world.incorrect_views() == []
        assert len(world.counts()) == 1
        names = {p.name for p in world.running()}
        count = world.counts().pop()
        assert count is not None
        assert len(names) <= count <= len({p.name for p in world.processes})
        for p in world.running():
            assert p.reporter.current == "a" + p.region[1:]
            # The work of all running dispatchers is received, whichever others still count as partitioned.
            confidence = p.reporter.estimate_peer_load(world.now, p.replica, 0, p.load)[2]
            assert confidence * (count - 1) > 0.5 * (len(names) - 1) or len(names) == 1


Fleet.TestCase.settings = examples(
    max_examples=25, stateful_step_count=15, deadline=None, database=None, derandomize=True
)
TestFleet = Fleet.TestCase


def test_each_dispatcher_is_counted_once_and_sums_scale_to_those_that_do_not_report() -> None:
    world = FleetSimulation(6, 1)
    world.run_checked(6 * S)
    assert world.incorrect_views() == []
    assert world.counts() == {None}  # aggregators that have just started may not count all dispatchers
    world.run_checked(6 * S)
    assert world.incorrect_views() == []
    assert world.counts() == {6}
    p = world.processes[0]
    waiting, load, confidence = p.reporter.estimate_peer_load(world.now, 2, 0, 0)
    assert 4_500 < waiting < 5_500
    assert 9_000 < load < 11_000
    assert 0.9 < confidence <= 1
    # Half of them do not report: each of these counts as the mean of those that do.
    for sums_range in p.reporter._sums.ranges:
        sums_range.reporting, sums_range.requested_at = 2, world.now
    assert p.reporter.estimate_peer_load(world.now, 2, 0, 0)[1] / load == pytest.approx(2, abs=0.2)
    assert p.reporter.estimate_peer_load(world.now, 2, 0, 0)[2] == pytest.approx(0.4, abs=5e-8)


def test_a_crashed_dispatcher_expires_and_a_leaving_one_is_removed_at_once() -> None:
    world = FleetSimulation(7, 2)
    world.run_checked(12 * S)
    crashed, leaving_dispatcher = world.processes[0], world.processes[1]
    crashed.up = False
    world.send(leaving_dispatcher, leaving_dispatcher.reporter.leave(world.now))
    leaving_dispatcher.up = False
    world.run_checked(S)
    assert world.counts() == {6}
    world.run_checked(LEASE_US + PARTIAL_SUM_LEASE_US)
    assert world.incorrect_views() == []  # the work of both has expired
    world.run_checked(SILENCE_TIMEOUT_US - 6 * S)  # other aggregators receive its silence with HOP_ALLOWANCE_US added
    assert world.counts() == {6}
    world.run_checked(3 * S)
    assert world.counts() == {5}


def test_dispatchers_of_a_lost_aggregator_move_and_return_spread_over_time() -> None:
    world = FleetSimulation(24, 3)
    world.run(12 * S)
    del world.aggregators["a1"]
    for n in range(160):
        world.run(AGGREGATOR_TICK_US)
        assert world.counts() == {24}
        if n % 4 == 0:
            world.check()
    assert world.incorrect_views() == []
    assert {p.reporter.moves for p in world.running() if p.region == "r1"} == {1}
    attached_to = Counter(p.reporter.current for p in world.running() if p.region == "r1")
    assert all(attached_to[name] >= 2 for name in ("a0", "a2"))  # the other two aggregators share them
    world.moves_per_window.clear()
    before = {p: p.reporter.moves for p in world.running()}
    world.start_aggregator("a1")
    per_window = []
    for n in range(140):
        moved = sum(p.reporter.moves - before[p] for p in world.running())
        world.run(AGGREGATOR_TICK_US * 5 // 2)
        if n % 5 == 0:
            world.check()
        assert world.counts() == {24}
        per_window.append(sum(p.reporter.moves - before[p] for p in world.running()) - moved)
    assert sum(per_window) == 8
    assert max(per_window) <= 4
    assert world.incorrect_views() == []


def test_without_aggregators_confidence_falls_to_0_the_count_stays_and_the_return_is_spread_over_time() -> None:
    world = FleetSimulation(24, 4)
    world.run(12 * S)
    world.aggregators.clear()
    world.run(MAX_SUMS_AGE_US)
    for p in world.running():
        assert p.reporter.estimate_peer_load(world.now, 1, 0, 30) == (0.0, 23 * 30.0, 0.0)
    world.run(10 * S)
    report_counts = [p.reporter._reports.newest_number for p in world.running()]
    world.run(20 * S)
    for p, before in zip(world.running(), report_counts, strict=True):
        assert 1 <= p.reporter._reports.newest_number - before <= 12  # 1 to 8 s between two attempts
    assert world.counts() == {24}
    for site in SITES:
        world.start_aggregator(site.name)
    world.arrivals.clear()
    restarted_at = world.now
    for _ in range(30):
        world.run(S)
        world.check()
        assert world.counts() == {24}
    reports_per_window = Counter((at - restarted_at) // 250_000 for at, _ in world.arrivals if at - restarted_at < S)
    assert max(reports_per_window.values()) <= 14
    world.run(20 * S)
    assert world.incorrect_views() == []


@pytest.mark.parametrize(("count", "sides"), [(3, ("r2",)), (9, ("r2",)), (9, ("r0", "r1", "r2"))])
def test_a_partitioned_region_stays_counted_on_both_sides_and_expires_after_15_minutes(
    count: int, sides: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(reporter, "REPORT_INTERVAL_US", 500_000)
    world = FleetSimulation(count, 5)
    world.run(14 * S)
    world.partition("r2")
    if len(sides) > 1:
        world.partition("r1")
    for _ in range(45):
        world.run(2 * S)
        assert world.counts() == {count}
        world.check()
    if len(sides) == 1:
        world.heal()
        world.run(4 * S)
        assert (world.counts(), world.incorrect_views()) == ({count}, [])
        return
    for p in world.running():
        p.up = p.region == "r0"  # the dispatchers of the other regions crash while cut off
    world.run(PARTITION_TIMEOUT_US)
    assert world.counts() == {3}


def test_a_restarted_dispatcher_replaces_its_former_incarnation() -> None:
    world = FleetSimulation(5, 6)
    world.run_checked(12 * S)
    world.processes[0].up = False
    world.start("d0", "r1")  # at another aggregator, which counts it once the old process's leases have ended
    for _ in range(60):
        world.run_checked(AGGREGATOR_TICK_US)
        assert {c for c in world.counts() if c is not None} == {5}
    assert world.incorrect_views() == []


def test_of_two_processes_with_one_name_the_older_waits_until_the_newer_is_silent() -> None:
    world = FleetSimulation(4, 7)
    world.run_checked(12 * S)
    old = world.processes[0]
    new = world.start("d0", "r0")
    world.run_checked(8 * S)
    assert world.aggregators["a0"].directory.records["d0"].incarnation.started == new.reporter.incarnation
    assert old.reporter.incarnation < new.reporter.incarnation
    new.up = False
    world.run_checked(30 * S)
    assert old.reporter.incarnation == new.reporter.incarnation + 1
    assert (world.counts(), world.incorrect_views()) == ({4}, [])


def test_a_stalled_process_counts_no_dispatcher_twice_and_keeps_a_working_aggregator() -> None:
    world = FleetSimulation(6, 8)
    world.run_checked(12 * S)
    world.stalled["a0"] = []
    world.run_checked(9 * S)
    world.end_stalls()  # its socket holds reports of dispatchers that other aggregators count by now
    world.run_checked(40 * S)
    assert (world.counts(), world.incorrect_views()) == ({6}, [])
    moves = [p.reporter.moves for p in world.running()]
    for p in world.running():
        p.stalled = True
    world.run(6 * S)
    world.end_stalls()
    world.run_checked(6 * S)
    assert [p.reporter.moves for p in world.running()] == moves
    assert (world.counts(), world.incorrect_views()) == ({6}, [])


def test_bytes_stay_within_the_budget_while_a_large_table_is_transferred() -> None:
    rows = [ReplicaLoad(1 << 63 | k, 500 + 7 * k, 900 + 11 * k) for k in range(940)]
    with mock.patch.object(SimulatedDispatcher, "rows", return_value=rows):
        world, codec = FleetSimulation(3, 9), AggregationCodec([KEY])
        total, seen = Counter[str](), list[tuple[int, int]]()
        pack = codec.pack

        def send(sender: object, messages: list[AggregationMessage]) -> None:
            for message in messages:
                size = len(pack(message))  # raises ValueError if it does not fit one datagram
                if isinstance(sender, SimulatedDispatcher) and sender.name == "d0" or message.to == "d0":
                    total["d0"] += size + HEADER_BYTES
                    seen.append((world.now, size + HEADER_BYTES))
                if isinstance(sender, SimulatedDispatcher):
                    sender.reporter.record_sent(size)
                world.schedule(
                    2_000,
                    "frame",
                    (
                        message.to
                        if isinstance(sender, SimulatedDispatcher)
                        else world.addresses.get((str(sender), message.to), message.to),
                        message,
                        sender,
                    ),
                )

        world.send = send  # type: ignore[method-assign]
        world.size = 1_400
        world.run(20 * S)
    for start in range(20):
        within = sum(size for at, size in seen if 0 <= at - 1_000 * S - start * S < S)
        assert within <= MAX_BYTES_PER_S + MAX_BYTES_PER_S // 2 + 3 * MAX_DATAGRAM_BYTES
    assert total["d0"] <= 21 * MAX_BYTES_PER_S
    assert len(world.processes[0].reporter._tables["a0"].slot_of) == 940


def test_aggregators_can_be_replaced_while_dispatchers_run() -> None:
    world = FleetSimulation(6, 10)
    world.run_checked(12 * S)
    p = world.processes[0]
    p.reporter.reconfigure(SITES[1:], world.now)
    world.run_checked(8 * S)
    assert p.reporter.current != "a0"
    assert (world.counts(), world.incorrect_views()) == ({6}, [])
    world.aggregators["a0"].reconfigure([], world.now)
    world.run_checked(3 * S)
    peer_load = p.reporter.peer_load(world.now, 4)  # of d3, at a0
    assert world.aggregators["a0"].figures(world.now)["peers"] == {}
    assert peer_load is not None
