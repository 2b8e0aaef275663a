"""Dispatchers report to aggregators over a network that drops, doubles, delays, reorders and partitions; both are
killed, stalled, restarted, and started twice under one name."""

from __future__ import annotations

import heapq
import random
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership import gauges, reporter
from pearhill.membership.aggregation_messages import (
    COMBINED_LEASE_US,
    LEASE_US,
    MAX_SLOTS,
    MAX_TABLE_ENTRIES,
    PARTIAL_SUM_LEASE_US,
    AggregationCodec,
    AggregationMessage,
    Hello,
    HelloAck,
    MemberList,
    PartialSum,
    Report,
    Sums,
    Superseded,
)
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, Aggregator
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.byte_budget import HEADER_BYTES, MAX_BYTES_PER_S
from pearhill.membership.member_directory import PARTITION_TIMEOUT_US, SILENCE_TIMEOUT_US
from pearhill.membership.message_authenticator import MAX_DATAGRAM_BYTES, MessageRejectedError
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.replay_window import WINDOW_MESSAGES, ReplayWindow
from pearhill.membership.reporter import Reporter
from pearhill.membership.slot_table import SLOT_IDLE_US

S = 1_000_000
KEY = b"k" * 32
STEP = 1.07**1.5  # three times rounded to the nearest code: my report, a part, the sums
LATELY = LEASE_US + PARTIAL_SUM_LEASE_US + MAX_SUMS_AGE_US + 2 * S  # what was said before that is in nobody's sums
SITES = [AggregatorSite(f"a{k}", f"r{k}") for k in range(3)]


class Process:
    """A dispatcher whose work is at a replica of its own, so that the sums there show whose work they hold."""

    def __init__(self, world: World, name: str, region: str, replica: int, incarnation: int) -> None:
        self.world, self.name, self.region, self.replica, self.load = world, name, region, replica, 10_000
        self.reported: list[tuple[int, int]] = []
        self.reporter = Reporter(name, region, SITES, incarnation, random.Random(world.rng.random()), self.rows)
        self.reporter._due = world.now + world.rng.randrange(500_000)
        self.received: list[tuple[AggregationMessage, object]] = []  # while it stands still
        self.up, self.stalled, self.known = True, False, set[object]()

    def rows(self) -> list[ReplicaLoad]:
        self.reported.append((self.world.now, self.load))
        return [ReplicaLoad(self.replica, self.load // 2, self.load)]

    def most_lately(self, now: int) -> int:
        return max((load for at, load in self.reported if now - at < LATELY), default=0)


class World:
    def __init__(self, count: int, seed: int, size: int = 300) -> None:
        print(f"seed {seed}")
        self.rng, self.now, self.events, self.size = random.Random(seed), 1_000 * S, 0, size
        self.heap: list[tuple[int, int, str, object]] = []
        self.drop = self.double = 0.0
        self.delay, self.cuts, self.codec = 2_000, set[tuple[str, str]](), AggregationCodec([KEY])
        self.processes: list[Process] = []
        self.aggregators: dict[str, Aggregator] = {}
        self.stalled: dict[
            str, list[tuple[AggregationMessage, object]]
        ] = {}  # aggregators, and what waits in their sockets
        self.addresses: dict[tuple[str, str], Process] = {}  # as each aggregator has learnt them
        self.replayable: list[tuple[object, AggregationMessage]] = []
        self.arrivals: list[tuple[int, str]] = []
        self.most_moves = Counter[int]()
        for site in SITES:
            self.start_aggregator(site.name)
        for k in range(count):
            self.start(f"d{k}", f"r{k % 3}")

    def at(self, wait: int, what: str, thing: object) -> None:
        self.events += 1
        heapq.heappush(self.heap, (self.now + wait, self.events, what, thing))

    def start(self, name: str, region: str, incarnation: int | None = None) -> Process:
        n = 1 + len(self.processes)  # no two start within the same microsecond
        process = Process(self, name, region, n, n + (self.now if incarnation is None else incarnation))
        self.processes.append(process)
        self.at(0, "report", process)
        return process

    def start_aggregator(self, name: str) -> None:
        self.stalled.pop(name, None)
        self.aggregators[name] = made = Aggregator(name, [s.name for s in SITES], self.now, random.Random(1))
        self.at(self.rng.randrange(AGGREGATOR_TICK_US), "tick", (name, made))

    def up(self, name: str = "") -> list[Process]:
        return [p for p in self.processes if p.up and name in ("", p.name)]

    def side(self, thing: object) -> str:
        return thing.region if isinstance(thing, Process) else "r" + str(thing)[1:]

    def send(self, sender: object, frames: list[AggregationMessage]) -> None:
        for f in frames:
            if isinstance(sender, Process):
                sender.reporter.sent(self.size)
                to: object = f.to
            else:
                to = self.addresses.get((str(sender), f.to), f.to)
            self.replayable = [*self.replayable[-200:], (to, f, sender)]
            if (self.side(sender), self.side(to)) in self.cuts or self.rng.random() < self.drop:
                continue
            for _ in range(1 + (self.rng.random() < self.double)):
                self.at(self.rng.randrange(1, 2 * self.delay), "frame", (to, f, sender))

    def deliver(self, to: object, f: AggregationMessage, sender: object) -> None:
        if isinstance(to, Process):
            if to.up and to.stalled:
                to.received.append((f, sender))
            elif to.up:
                self.send(to, to.reporter.receive(self.now, f, self.size))
        elif to in self.stalled:
            self.stalled[to].append((f, sender))
        elif to in self.aggregators:
            answers = self.aggregators[to].receive(self.now, f)
            if answers and isinstance(sender, Process):
                self.addresses[to, f.sender] = sender
            self.arrivals += [(self.now, to)] * isinstance(f, Report)
            self.send(to, answers)

    def run(self, micros: int) -> None:
        end = self.now + micros
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what, thing = heapq.heappop(self.heap)
            if what == "tick":
                name, made = thing
                if self.aggregators.get(name) is made:
                    if name not in self.stalled:
                        self.send(name, made.tick(self.now))
                    self.at(AGGREGATOR_TICK_US, "tick", thing)
            elif what == "report":
                if thing.up:
                    if not thing.stalled and self.now >= thing.reporter.next_tick(self.now):
                        moves = thing.reporter.moves
                        self.send(thing, thing.reporter.tick(self.now))
                        self.most_moves[self.now // 250_000] += thing.reporter.moves - moves
                    self.at(
                        max(1_000, min(AGGREGATOR_TICK_US, thing.reporter.next_tick(self.now) - self.now)),
                        "report",
                        thing,
                    )
            else:
                self.deliver(*thing)
        self.now = end

    def wake(self) -> None:
        """What waited in a socket is read before the first beat."""
        stalled, self.stalled = self.stalled, {}
        for name, waiting in stalled.items():
            for f, sender in waiting:
                self.deliver(name, f, sender)
        for process in self.processes:
            process.stalled, waiting = False, process.received
            process.received = []
            for f, sender in waiting:
                self.deliver(process, f, sender)

    def heal(self) -> None:
        self.drop, self.double, self.delay = 0.0, 0.0, 2_000
        self.cuts.clear()
        self.wake()

    def cut(self, *sides: str) -> None:
        self.cuts |= {(a, b) for a in ("r0", "r1", "r2") for b in ("r0", "r1", "r2") if (a in sides) != (b in sides)}

    def counts(self) -> set[int | None]:
        return {p.reporter.count(self.now) for p in self.up()}

    def wrong_views(self) -> list[str]:
        """Dispatchers that do not know the work of all others, or know work that nobody has."""
        wrong = []
        for p in self.up():
            for other in self.processes:
                told = p.reporter.peer_load(self.now, other.replica)
                load = other.load if other.up and other is not p else 0
                if told is None or not load / STEP <= told.total_tokens <= load * STEP:
                    wrong.append(f"{p.name} {p.reporter.figures(self.now)}: {told} of {other.name}, who has {load}")
        return wrong

    def check(self) -> None:
        for p in self.up():
            for other in self.processes:
                told = p.reporter.peer_load(self.now, other.replica)
                if told is not None:
                    most = other.most_lately(self.now) if other is not p else 0
                    detail = f"{p.name} at {p.reporter.current}: {told} of {other.name}, which reported {most}"
                    assert told.total_tokens <= most * STEP, detail
                    assert told.queued_tokens <= most / 2 * STEP, detail
        named = {p.name for p in self.processes}
        for a in self.aggregators.values():
            assert a.count(self.now) <= len(named)

    def checked(self, micros: int) -> None:
        end = self.now + micros
        while self.now < end:
            self.run(min(100_000, end - self.now))
            self.check()


class Fleet(RuleBasedStateMachine):
    @initialize(count=st.integers(2, 6), seed=st.integers(0, 1 << 30))
    def begin(self, count, seed):
        self.world = World(count, seed)
        self.world.checked(2 * S)

    @rule(micros=st.sampled_from((AGGREGATOR_TICK_US // 3, S, 4 * S, 12 * S)))
    def time_passes(self, micros):
        self.world.checked(micros)

    @rule(
        drop=st.sampled_from((0.0, 0.3, 0.8)),
        double=st.sampled_from((0.0, 0.5)),
        delay=st.sampled_from((100, 50_000, 500_000)),
    )
    def the_network_is_bad(self, drop, double, delay):
        self.world.drop, self.world.double, self.world.delay = drop, double, delay

    @rule(data=st.data(), one_way=st.booleans())
    def regions_lose_each_other(self, data, one_way):
        a, b = data.draw(st.permutations(("r0", "r1", "r2")))[:2]
        self.world.cuts |= {(a, b)} if one_way else {(a, b), (b, a)}

    @rule()
    def the_cut_heals(self):
        self.world.cuts.clear()

    @rule(name=st.sampled_from([s.name for s in SITES]))
    def an_aggregator_is_killed(self, name):
        self.world.aggregators.pop(name, None)
        self.world.stalled.pop(name, None)

    @rule(name=st.sampled_from([s.name for s in SITES]))
    def an_aggregator_starts(self, name):
        self.world.start_aggregator(name)

    @rule(name=st.sampled_from([s.name for s in SITES]))
    def an_aggregator_stalls(self, name):
        if name in self.world.aggregators:
            self.world.stalled.setdefault(name, [])

    @rule()
    def the_stalled_wake(self):
        self.world.wake()

    @rule(data=st.data(), how=st.sampled_from(("crash", "leave", "stall", "work")))
    def something_happens_to_a_dispatcher(self, data, how):
        if len(self.world.up()) < 2:
            return
        process = data.draw(st.sampled_from(self.world.up()))
        if how == "leave":
            self.world.send(process, process.reporter.leave(self.world.now))
        if how in ("crash", "leave"):
            process.up = False
        elif how == "stall":
            process.stalled = True
        else:
            process.load = data.draw(st.sampled_from((0, 300, 5_000, 80_000)))

    @rule(data=st.data(), region=st.sampled_from(("r0", "r1", "r2")), back=st.sampled_from((0, 0, 5 * S, 500 * S)))
    def a_dispatcher_starts(self, data, region, back):
        """One that is new, or was there, or still is; its clock may have been set back."""
        if len(self.world.up()) < 8:
            self.world.start(f"d{data.draw(st.integers(0, 6))}", region, self.world.now - back)

    @rule(data=st.data())
    def an_old_datagram_comes_again(self, data):
        if self.world.replayable:
            self.world.deliver(*data.draw(st.sampled_from(self.world.replayable)))

    def teardown(self):
        """Whatever has happened: soon after it is over all agree on the work, and on who is there."""
        if not hasattr(self, "world"):
            return
        world = self.world
        for name in {p.name for p in world.up()}:
            for process in world.up(name)[:-1]:
                process.up = False  # two of one name are never right
        world.heal()
        for site in SITES:
            if site.name not in world.aggregators:
                world.start_aggregator(site.name)
        world.checked(12 * S)
        world.run(38 * S)
        assert world.wrong_views() == []
        assert len(world.counts()) == 1
        names = {p.name for p in world.up()}
        assert len(names) <= world.counts().pop() <= len({p.name for p in world.processes})
        for p in world.up():
            assert p.reporter.current == "a" + p.region[1:]
            # All that are there are heard, whoever else is still counted as cut off.
            sure = p.reporter.others(world.now, p.replica, 0, p.load)[2]
            assert sure * (world.counts().pop() - 1) > 0.5 * (len(names) - 1) or len(names) == 1


Fleet.TestCase.settings = examples(
    max_examples=25, stateful_step_count=15, deadline=None, database=None, derandomize=True
)
TestFleet = Fleet.TestCase


class TestSteadyState(unittest.TestCase):
    def test_all_are_counted_once_and_sums_scale_to_those_unheard(self):
        world = World(6, 1)
        world.checked(6 * S)
        self.assertEqual(world.wrong_views(), [])
        self.assertEqual(world.counts(), {None})  # aggregators that have just begun may not know all
        world.checked(6 * S)
        self.assertEqual(world.wrong_views(), [])
        self.assertEqual(world.counts(), {6})
        p = world.processes[0]
        waiting, load, sure = p.reporter.others(world.now, 2, 0, 0)
        self.assertTrue(4_500 < waiting < 5_500 and 9_000 < load < 11_000 and 0.9 < sure <= 1)
        # Half of them unheard: who is not heard counts as the mean of those that are.
        for chunk in p.reporter._sums.ranges:
            chunk.reporting, chunk.asked_at = 2, world.now
        self.assertAlmostEqual(p.reporter.others(world.now, 2, 0, 0)[1] / load, 2, delta=0.2)
        self.assertAlmostEqual(p.reporter.others(world.now, 2, 0, 0)[2], 0.4)


class TestFaults(unittest.TestCase):
    def test_the_dead_are_forgotten_and_one_that_leaves_at_once(self):
        world = World(7, 2)
        world.checked(12 * S)
        dead, leaving = world.processes[0], world.processes[1]
        dead.up = False
        world.send(leaving, leaving.reporter.leave(world.now))
        leaving.up = False
        world.checked(S)
        self.assertEqual(world.counts(), {6})
        world.checked(LEASE_US + PARTIAL_SUM_LEASE_US)
        self.assertEqual(world.wrong_views(), [])  # the work of both is gone
        world.checked(SILENCE_TIMEOUT_US - 6 * S)  # elsewhere its silence is told a second too long
        self.assertEqual(world.counts(), {6})
        world.checked(3 * S)
        self.assertEqual(world.counts(), {5})

    def test_an_aggregator_lost_moves_its_dispatchers_and_they_come_home_spread_out(self):
        world = World(24, 3)
        world.run(12 * S)
        del world.aggregators["a1"]
        for n in range(160):
            world.run(AGGREGATOR_TICK_US)
            self.assertEqual(world.counts(), {24})
            if n % 4 == 0:
                world.check()
        self.assertEqual(world.wrong_views(), [])
        self.assertEqual({p.reporter.moves for p in world.up() if p.region == "r1"}, {1})
        taken = Counter(p.reporter.current for p in world.up() if p.region == "r1")
        self.assertTrue(all(taken[name] >= 2 for name in ("a0", "a2")))  # the survivors share
        world.most_moves.clear()
        before = {p: p.reporter.moves for p in world.up()}
        world.start_aggregator("a1")
        per_window = []
        for n in range(140):
            moved = sum(p.reporter.moves - before[p] for p in world.up())
            world.run(AGGREGATOR_TICK_US * 5 // 2)
            if n % 5 == 0:
                world.check()
            self.assertEqual(world.counts(), {24})
            per_window.append(sum(p.reporter.moves - before[p] for p in world.up()) - moved)
        self.assertEqual(sum(per_window), 8)
        self.assertLessEqual(max(per_window), 4)
        self.assertEqual(world.wrong_views(), [])

    def test_with_all_aggregators_gone_confidence_falls_to_0_the_count_stays_and_the_return_is_spread_out(self):
        world = World(24, 4)
        world.run(12 * S)
        world.aggregators.clear()
        world.run(MAX_SUMS_AGE_US)
        for p in world.up():
            self.assertEqual(p.reporter.others(world.now, 1, 0, 30), (0.0, 23 * 30.0, 0.0))
        world.run(10 * S)
        tries = [p.reporter._reports.newest_number for p in world.up()]
        world.run(20 * S)
        for p, before in zip(world.up(), tries, strict=True):
            self.assertTrue(1 <= p.reporter._reports.newest_number - before <= 12)  # 1 to 8 s between them
        self.assertEqual(world.counts(), {24})
        for site in SITES:
            world.start_aggregator(site.name)
        world.arrivals.clear()
        began = world.now
        for _ in range(30):
            world.run(S)
            world.check()
            self.assertEqual(world.counts(), {24})
        first = Counter((at - began) // 250_000 for at, _ in world.arrivals if at - began < S)
        self.assertLessEqual(max(first.values()), 14)
        world.run(20 * S)
        self.assertEqual(world.wrong_views(), [])

    def test_a_region_cut_off_for_minutes_stays_counted_on_both_sides_and_dead_after_15(self):
        for count, sides in ((3, ("r2",)), (9, ("r2",)), (9, ("r0", "r1", "r2"))):
            with self.subTest(count=count, sides=sides), mock.patch.object(reporter, "REPORT_INTERVAL_US", 500_000):
                world = World(count, 5)
                world.run(14 * S)
                world.cut("r2")
                if len(sides) > 1:
                    world.cut("r1")
                for _ in range(45):
                    world.run(2 * S)
                    self.assertEqual(world.counts(), {count})
                    world.check()
                if len(sides) == 1:
                    world.heal()
                    world.run(4 * S)
                    self.assertEqual((world.counts(), world.wrong_views()), ({count}, []))
                    continue
                for p in world.up():
                    p.up = p.region == "r0"  # they had died there
                world.run(PARTITION_TIMEOUT_US)
                self.assertEqual(world.counts(), {3})

    def test_one_that_starts_anew_takes_its_own_place(self):
        world = World(5, 6)
        world.checked(12 * S)
        world.processes[0].up = False
        world.start("d0", "r1")  # elsewhere: its work waits until the old one's is surely over
        for _ in range(60):
            world.checked(AGGREGATOR_TICK_US)
            self.assertEqual({c for c in world.counts() if c is not None}, {5})
        self.assertEqual(world.wrong_views(), [])

    def test_of_two_of_one_name_the_older_waits_until_the_newer_is_silent(self):
        world = World(4, 7)
        world.checked(12 * S)
        old = world.processes[0]
        new = world.start("d0", "r0")
        world.checked(8 * S)
        self.assertEqual(world.aggregators["a0"].directory.records["d0"].incarnation.started, new.reporter.incarnation)
        self.assertLess(old.reporter.incarnation, new.reporter.incarnation)
        new.up = False
        world.checked(30 * S)
        self.assertEqual(old.reporter.incarnation, new.reporter.incarnation + 1)
        self.assertEqual((world.counts(), world.wrong_views()), ({4}, []))

    def test_one_that_stood_still_counts_nobody_twice_and_leaves_no_good_aggregator(self):
        world = World(6, 8)
        world.checked(12 * S)
        world.stalled["a0"] = []
        world.checked(9 * S)
        world.wake()  # reports of dispatchers that others have counted for long
        world.checked(40 * S)
        self.assertEqual((world.counts(), world.wrong_views()), ({6}, []))
        moves = [p.reporter.moves for p in world.up()]
        for p in world.up():
            p.stalled = True
        world.run(6 * S)
        world.wake()
        world.checked(6 * S)
        self.assertEqual([p.reporter.moves for p in world.up()], moves)
        self.assertEqual((world.counts(), world.wrong_views()), ({6}, []))

    def test_bytes_stay_within_the_budget_while_a_large_table_is_told(self):
        rows = [ReplicaLoad(1 << 63 | k, 500 + 7 * k, 900 + 11 * k) for k in range(940)]
        with mock.patch.object(Process, "rows", return_value=rows):
            world, codec = World(3, 9), AggregationCodec([KEY])
            total, seen = Counter[str](), list[tuple[int, int]]()
            pack = codec.pack

            def send(sender: object, frames: list[AggregationMessage]) -> None:
                for f in frames:
                    size = len(pack(f))  # ValueError: too long
                    if isinstance(sender, Process) and sender.name == "d0" or f.to == "d0":
                        total["d0"] += size + HEADER_BYTES
                        seen.append((world.now, size + HEADER_BYTES))
                    if isinstance(sender, Process):
                        sender.reporter.sent(size)
                    world.at(
                        2_000,
                        "frame",
                        (
                            f.to if isinstance(sender, Process) else world.addresses.get((str(sender), f.to), f.to),
                            f,
                            sender,
                        ),
                    )

            world.send = send  # type: ignore[method-assign]
            world.size = 1_400
            world.run(20 * S)
        for start in range(20):
            within = sum(size for at, size in seen if 0 <= at - 1_000 * S - start * S < S)
            self.assertLessEqual(within, MAX_BYTES_PER_S + MAX_BYTES_PER_S // 2 + 3 * MAX_DATAGRAM_BYTES)
        self.assertLessEqual(total["d0"], 21 * MAX_BYTES_PER_S)
        self.assertEqual(len(world.processes[0].reporter._tables["a0"].slot_of), 940)


class TestReporterAlone(unittest.TestCase):
    def test_replayed_answers_put_no_report_off(self):
        r = reporter.Reporter("d1", "r0", SITES[:1], S, random.Random(8), lambda: [])
        at = r.next_tick(S)
        (report,) = r.tick(at)
        sums = Sums(SITES[0].name, "d1", 1, 1, report.number, -1, 1, 1, 0, 0, 0, 1, 0, b"\0", b"\0", ())
        r.receive(at, sums, 1400)
        due = r.next_tick(at)
        for _ in range(1000):
            r.receive(at, sums, 1400)
        self.assertEqual(r.next_tick(at), due)

    def test_there_is_no_count_before_a_settled_aggregator_has_sent_one(self):
        r = reporter.Reporter("d1", "r0", SITES[:1], S, random.Random(9), lambda: [])
        for n, (counted, settled, count) in enumerate(((2, False, None), (9, True, 9), (3, False, 9), (3, True, 3))):
            at = r.next_tick(S * (n + 1))
            (report,) = r.tick(at)
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
            self.assertEqual(r.count(at), count)

    def test_answers_missing_while_this_process_stood_still_are_no_fault_of_the_aggregator(self):
        now = 1_000 * S
        r = Reporter("d0", "r0", SITES, now, random.Random(1), lambda: [])
        for _ in range(5):
            now = r.next_tick(now)
            self.assertEqual(r.tick(now)[0].to, "a0")
        now += 6 * S
        self.assertEqual((r.tick(now)[0].to, r.attach), ("a0", 1))
        for _ in range(30):
            now = r.next_tick(now)
            r.tick(now)
        self.assertEqual((r.current != "a0", r.attach, r.moves), (True, 2, 1))

    def test_half_a_table_gives_no_peer_load(self):
        now = 1_000 * S
        r = Reporter("d0", "r0", SITES, now, random.Random(1), lambda: [])
        loads = gauges.pack(bytes((100,) * 4))
        for k, (entries, told) in enumerate(((((0, 70, 1), (1, 71, 2)), False), (((2, 72, 3), (3, 73, 4)), True))):
            now = r.next_tick(now)
            (asked,) = r.tick(now)
            r.receive(now, Sums("a0", "d0", 5, k, asked.number, -1, 4, 5, 4, 0, 0, 1, 0, loads, loads, entries, 4), 200)
            for replica in (70, 73, 99):
                self.assertEqual(r.peer_load(now, replica) is not None, told)
                if not told:
                    self.assertEqual(r.others(now, replica, 2, 3), (8.0, 12.0, 0.0))
        now = r.next_tick(now)
        (asked,) = r.tick(now)
        r.receive(now, Sums("a0", "d0", 5, 9, asked.number, -1, 4, 5, 5, 5, 0, 2, 0, b"\0", b"\0", ((0, 80, 5),)), 200)
        self.assertIsNone(r.peer_load(now, 80))  # the last sums of slot 0 were replica 70's
        self.assertEqual(
            (r.peer_load(now, 70).total_tokens, r.peer_load(now, 71).total_tokens), (0, gauges.TOKENS[100])
        )


def report(number: int = 1, **changed: object) -> Report:
    fields = {
        "sender": "d0",
        "to": "a0",
        "incarnation": 5,
        "sequence": number,
        "number": number,
        "part": 0,
        "parts": 1,
        "attach": 1,
        "quiet_ms": 60_000,
        "leaving": False,
        "known_incarnation": 0,
        "known_version": 0,
        "first_slot": 0,
        "loads": b"\0",
        "waits": b"\0",
        "unassigned": (),
        "slot_count": 0,
        "echo": -1,
    }
    return Report(**fields | changed)  # type: ignore[arg-type]


class TestAggregatorAlone(unittest.TestCase):
    def test_a_slot_gets_another_replica_and_old_reports_of_it_count_nowhere(self):
        now, a = 1_000 * S, Aggregator("a0", [], 1_000 * S, random.Random(1))
        a.receive(now, report(1))
        a.receive(now, report(2, known_incarnation=now, echo=1, unassigned=((7, 100, 150),)))
        self.assertEqual(a.work.totals.loads, [gauges.TOKENS[150]])
        a.receive(now + S, report(3, known_incarnation=now, echo=2, known_version=1))
        later = now + S
        for k in range(4, 44):
            later += S
            a.receive(later, report(k, known_incarnation=now, echo=k - 1, known_version=1))
            a.tick(later)
        a.receive(later, report(50, known_incarnation=now, echo=43, known_version=1, unassigned=((8, 9, 99),)))
        self.assertEqual((a.table.replicas, a.table.version, a.table.reused_version), ([8], 2, 2))
        packed = gauges.pack(bytes((120,)))
        a.receive(
            later, report(51, known_incarnation=now, echo=50, known_version=1, slot_count=1, loads=packed, waits=packed)
        )
        self.assertEqual(a.work.totals.loads, [0])  # it meant replica 7
        (answer,) = a.receive(
            later, report(52, known_incarnation=now, echo=50, known_version=2, slot_count=1, loads=packed, waits=packed)
        )
        self.assertEqual((a.work.totals.loads, answer.entries), ([gauges.TOKENS[120]], ()))
        self.assertGreater(later - now, SLOT_IDLE_US)

    def test_work_counts_when_it_is_surely_nowhere_else_and_only_with_an_echo(self):
        now, news = 1_000 * S, ((7, 100, 150),)
        for quiet, wait, echo, counts in (
            (0, COMBINED_LEASE_US - 1, True, False),
            (0, COMBINED_LEASE_US, True, True),
            (3_500, 0, True, True),
            (-1, COMBINED_LEASE_US - 1, True, False),
            (60_000, 0, False, False),
        ):
            with self.subTest(quiet=quiet, wait=wait, echo=echo):
                a, known = Aggregator("a0", [], now, random.Random(1)), now if echo else now - 1
                for k in range(wait // S + 2):
                    at = now + max(0, k - 1) * S
                    a.receive(at, report(k, known_incarnation=known, echo=k - 1, quiet_ms=quiet, unassigned=news))
                a.receive(now + wait, report(99, known_incarnation=known, echo=wait // S, quiet_ms=0, unassigned=news))
                self.assertEqual(sum(a.work.totals.loads) > 0, counts)

    def test_an_older_report_replaces_no_newer_and_one_that_is_told_elsewhere_is_dropped_at_once(self):
        now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
        a.receive(now, report(1))
        a.receive(now, report(4, known_incarnation=now, echo=1, unassigned=((7, 100, 150),)))
        a.receive(now, report(3, known_incarnation=now, echo=1, unassigned=((7, 50, 60),)))  # it was overtaken
        self.assertEqual(a.work.totals.loads, [gauges.TOKENS[150]])
        for sequence, attach, load in ((1, 1, gauges.TOKENS[150]), (2, 2, 0)):
            a.receive(now, MemberList("a1", "a0", now, sequence, 0, 1, (("d0", 5, attach, 1_000),)))
            self.assertEqual((a.work.totals.loads, a.count(now)), ([load], 1))
        a.receive(
            now, report(5, known_incarnation=now, echo=4, unassigned=((7, 100, 150),))
        )  # late, of the stay before
        self.assertEqual((a.work.totals.loads, list(a.work.members)), ([0], []))
        a.receive(now, MemberList("a1", "a0", now, 3, 0, 1, (("d0", 5, 2, -1), ("d1", 5, 1, -1))))  # it left
        self.assertEqual((a.count(now), sorted(a.directory.records)), (0, ["d0"]))

    def test_an_aggregator_that_stood_still_forgets_no_member_for_that(self):
        now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
        a.tick(now)
        a.receive(now, report(1))
        a.receive(now, report(2, known_incarnation=now, echo=1))
        for wait in (2 * SILENCE_TIMEOUT_US, SILENCE_TIMEOUT_US, AGGREGATOR_TICK_US):
            now += wait
            a.tick(now)
            self.assertEqual((a.count(now), a.figures(now)["cut"]), (1, 0))
        for _ in range(SILENCE_TIMEOUT_US // AGGREGATOR_TICK_US + 1):
            now += AGGREGATOR_TICK_US
            a.tick(now)
        self.assertEqual((a.count(now), a.figures(now)["cut"]), (1, 1))  # all that there were fell silent: a cut

    def test_members_read_before_the_first_tick_after_a_stall_are_forgotten_in_time(self):
        now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
        for n in range(1, 6):
            a.receive(now, report(1, sender=f"d{n}"))
            a.receive(now, report(2, sender=f"d{n}", known_incarnation=1_000 * S, echo=1))
        now += 60 * S  # it stands still; what waited is read before its beat
        for n in range(1, 6):
            a.receive(now, report(3, sender=f"d{n}", sequence=3, known_incarnation=1_000 * S, echo=2))
            a.receive(now, report(4, sender=f"d{n}", sequence=4, known_incarnation=1_000 * S, echo=3))
        a.tick(now)
        for k in range((SILENCE_TIMEOUT_US + S) // AGGREGATOR_TICK_US):
            now += AGGREGATOR_TICK_US
            for n in range(2, 6):  # one is dead by now
                at = 5 + k
                a.receive(now, report(at, sender=f"d{n}", known_incarnation=1_000 * S, echo=at - 1))
            a.tick(now)
        self.assertEqual(a.count(now), 4)

    def test_one_whose_clock_went_back_may_come_home_once_its_namesake_is_over(self):
        now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
        a.receive(now, report(1))
        for wait, answers in ((LEASE_US // 2, []), (LEASE_US, [HelloAck])):
            hello = Hello("d0", "a0", 4, 1, 77)  # a report's incarnation is 5
            self.assertEqual([type(f) for f in a.receive(now + wait, hello)], answers)
        self.assertEqual([type(f) for f in a.receive(now + 2 * LEASE_US, report(2, incarnation=4))], [Superseded])

    def test_what_comes_twice_or_from_strangers_is_not_taken(self):
        now, a = 1_000 * S, Aggregator("a0", ["a1"], 1_000 * S, random.Random(1))
        self.assertEqual(len(a.receive(now, report(1))), 1)
        self.assertEqual(a.receive(now, report(1)), [])
        hello = Hello("d1", "a0", 5, 1, 77)
        self.assertEqual(a.receive(now, hello), [HelloAck("a0", "d1", now, 2, 77)])
        self.assertEqual(a.receive(now, hello), [])
        for frame in (
            MemberList("a9", "a0", 5, 1, 0, 1, (("x", 1, 1, 0),)),
            Superseded("d1", "a0", 5, 2, 9),
            report(2, sender="a1"),
        ):
            self.assertEqual(a.receive(now, frame), [])
        self.assertEqual(a.count(now), 0)
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
            self.assertEqual(window.first_time("d", incarnation, sequence), first, (incarnation, sequence))

    def test_aggregators_are_replaced_while_it_runs(self):
        world = World(6, 10)
        world.checked(12 * S)
        p = world.processes[0]
        p.reporter.reconfigure(SITES[1:], world.now)
        world.checked(8 * S)
        self.assertNotEqual(p.reporter.current, "a0")
        self.assertEqual((world.counts(), world.wrong_views()), ({6}, []))
        world.aggregators["a0"].reconfigure([], world.now)
        world.checked(3 * S)
        told = p.reporter.peer_load(world.now, 4)  # of d3, at a0
        self.assertEqual(world.aggregators["a0"].figures(world.now)["peers"], {})
        self.assertIsNotNone(told)


class TestCodec(unittest.TestCase):
    ONE, TWO = gauges.pack(bytes((9,) * 40)), gauges.pack(bytes((0, 3) * 20))
    FRAMES = (
        report(3, loads=ONE, waits=TWO, slot_count=40, unassigned=(((1 << 64) - 1, 1, 255),)),
        Sums("a0", "d0", 1 << 50, 7, 3, -1, 330, 330, 9, 8, 0, 2, 512, ONE, TWO, ((0, 1 << 63, 9),), 40, False),
        PartialSum("a0", "a1", 1 << 50, 8, 110, 110, 1 << 50, 3, 9, 8, 1, 2, 512, ONE, TWO, (), 40, 6),
        MemberList("a0", "a1", 5, 9, 0, 1, (("d0", 1 << 50, 2, -1),)),
        Hello("d0", "a0", 5, 1, 77),
        HelloAck("a0", "d0", 5, 2, 77),
        Superseded("a0", "d0", 5, 3, 1 << 50),
    )

    def test_frames_come_back_as_they_were_and_the_largest_fit(self):
        codec, noise = AggregationCodec([KEY]), random.Random(1).randbytes(512)
        a, b, version = "x" * 96, "y" * 96, 1 << 40
        entries = tuple((MAX_SLOTS - 1, (1 << 64) - 1 - k, version) for k in range(MAX_TABLE_ENTRIES))
        raw = gauges.pack(noise)
        most = 1 << 31
        largest = (
            PartialSum(
                a,
                b,
                1 << 60,
                version,
                999,
                999,
                1 << 60,
                version,
                version,
                version,
                0,
                3,
                0,
                raw,
                raw,
                (),
                512,
                version,
            ),
            Sums(a, b, 1 << 60, version, most, most, 999, 999, version, version, 0, 3, 0, b"\0", b"\0", entries),
        )
        for frame in (*self.FRAMES, *largest):
            self.assertEqual(codec.unpack(codec.pack(frame), frame.to), frame)
        with self.assertRaisesRegex(ValueError, "too many"):
            codec.pack(report(loads=bytes(1_400)))

    def test_what_is_foreign_forged_torn_or_for_another_is_not_taken(self):
        codec, good = AggregationCodec([KEY]), AggregationCodec([KEY]).pack(report())

        def signed(body: bytes) -> bytes:
            return b"\x02" + AggregationCodec.tag(KEY, body) + body

        bad = (
            report(loads=b"\0x"),
            report(slot_count=3),
            report(loads=b"\x01\xff", slot_count=8),
            report(loads=b"\x07"),
            report(loads=b"\x02\xff\xff", slot_count=8),
            report(part=1),
            report(parts=33),
            report(number=-1),
            report(incarnation=1 << 63),
            report(first_slot=MAX_SLOTS),
            report(first_slot=MAX_SLOTS - 1, slot_count=2, loads=b"\0xx", waits=b"\0xx"),
            report(unassigned=((1, 256, 0),)),
            report(unassigned=((-1, 2, 0),)),
            report(sender=""),
            report(echo=-2),
        )
        for data, reason in (
            (b"", "size"),
            (good[:17], "size"),
            (good + b"x" * MAX_DATAGRAM_BYTES, "size"),
            (b"\x01" + good[1:], "version"),
            (good[:-1], "forged"),
            (good + b"\0", "forged"),
            (AggregationCodec([b"j" * 32]).pack(report()), "forged"),
            (signed(b"\xc1" * 9), "malformed"),
            (signed(b"\x93\x01\x02\x03"), "malformed"),
            (signed(b"\x91" * 900), "malformed"),
            (codec.pack(report(to="a1")), "not-for-me"),
            *((codec.pack(frame), "malformed") for frame in bad),
        ):
            with (
                self.subTest(data=data[:60], reason=reason),
                self.assertRaisesRegex(MessageRejectedError, f"^{reason}$"),
            ):
                codec.unpack(data, "a0")
        for n in range(len(good)):
            with self.assertRaises(MessageRejectedError):
                codec.unpack(good[:n] + bytes((good[n] ^ 0x20,)) + good[n + 1 :], "a0")
        self.assertEqual(AggregationCodec([b"new" * 9, KEY]).unpack(good, "a0"), report())
        for keys in ([], [b"short"]):
            with self.assertRaisesRegex(ValueError, "at least 16 bytes"):
                AggregationCodec(keys)

    @given(st.binary(max_size=900), st.floats(0, 1), st.integers(0, 1 << 30))
    @examples(max_examples=150, deadline=None, database=None, derandomize=True)
    def test_gauges_come_back_and_are_near(self, codes, thin, seed):
        rng = random.Random(seed)
        codes = bytes(c if rng.random() < thin else 0 for c in codes)
        self.assertEqual(gauges.unpack(gauges.pack(codes), len(codes)), codes)
        self.assertLessEqual(len(gauges.pack(codes)), len(codes) + 1)
        with self.assertRaises(ValueError):
            gauges.unpack(gauges.pack(codes), len(codes) + 8)
        tokens = rng.uniform(16, 4e8)
        self.assertAlmostEqual(gauges.decode(gauges.encode(tokens)) / tokens, 1, delta=0.036)
        self.assertEqual((gauges.encode(0), gauges.encode(1), gauges.encode(1 << 60)), (0, 1, 255))


if __name__ == "__main__":
    unittest.main()
