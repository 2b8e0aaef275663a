"""One aggregator: it receives the reports of the dispatchers that chose it and the partial sums of the other
aggregators, and answers each report with the sums of both.

Work is counted under leases (`reported_work`, `peer_aggregator`), so that no dispatcher's work is counted twice:
COMBINED_LEASE_US after a dispatcher changed its aggregator, no other aggregator's sums include its work, and only then
does the new aggregator count it. Membership expires more slowly than work (`member_directory`). Times are microseconds
of the caller's clock; no other process's clock is read.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

from pearhill.membership.aggregation_messages import (
    LEASE_US,
    MAX_TABLE_ENTRIES,
    AggregationMessage,
    Header,
    Hello,
    HelloAck,
    MemberList,
    PartialSum,
    Report,
    Sums,
    SumsPart,
    Superseded,
    TableEntry,
)
from pearhill.membership.gauge_ranges import EMPTY_RANGE, GaugeRange
from pearhill.membership.member_directory import (
    LEFT_TIMEOUT_US,
    PARTITION_TIMEOUT_US,
    SILENCE_TIMEOUT_US,
    Incarnation,
    MemberDirectory,
    MemberRecord,
    is_partitioned_silence,
)
from pearhill.membership.peer_aggregator import PeerAggregator
from pearhill.membership.replay_window import ReplayWindow
from pearhill.membership.reported_work import ReportedWork
from pearhill.membership.reporter_session import ReporterSession
from pearhill.membership.slot_table import SlotTable
from pearhill.membership.slot_totals import SlotTotals
from pearhill.membership.snapshots import Snapshot, gauge_ranges, take_snapshot

AGGREGATOR_TICK_US = 100_000
MAX_TICK_GAP_US = 750_000  # between two ticks; a longer gap means that this process was stalled
MEMBER_LIST_INTERVAL_US = 2_000_000
MIN_MEMBER_LIST_INTERVAL_US = 250_000  # when the members have changed
SWEEP_INTERVAL_US = 1_000_000
SETTLING_TIME_US = 10_000_000  # after a start; by then every dispatcher has reported, even after a backoff


class Aggregator:
    """The state machine of one aggregator.

    `started` must be larger than at any earlier start under the same name; callers pass the time of the start.
    """

    def __init__(self, name: str, peers: Iterable[str], started: int, rng: random.Random) -> None:
        self.name = name
        self.incarnation = started
        self.rng = rng
        self.peers = {peer: PeerAggregator() for peer in peers if peer != name}
        self.directory = MemberDirectory()
        totals = SlotTotals()
        self.table = SlotTable(totals, self._has_work)
        self.work = ReportedWork(started, self.table, totals)
        self._sessions: dict[str, ReporterSession] = {}
        self._replay_window = ReplayWindow()
        self._sequence = 0
        self._snapshot: Snapshot | None = None
        self._announced_members: frozenset[tuple[str, Incarnation, bool]] = frozenset()
        self._last_tick = started
        self._member_list_due = started
        self._sweep_due = started

    def _has_work(self, slot: int) -> bool:
        return self.work.totals.has_work(slot) or any(peer.has_work(slot) for peer in self.peers.values())

    def _header(self, to: str) -> Header:
        self._sequence += 1
        return Header(self.name, to, self.incarnation, self._sequence)

    # Incoming messages.

    def receive(self, now: int, message: AggregationMessage) -> list[AggregationMessage]:
        """Processes an authentic message, which may be late or repeated. Returns the answers to it."""
        if isinstance(message, Report | Hello):
            return self._receive_from_dispatcher(now, message)
        if isinstance(message, PartialSum | MemberList) and message.sender in self.peers:
            self._receive_from_peer(now, message)
        return []

    def _is_new(self, message: AggregationMessage) -> bool:
        return self._replay_window.accept(message.sender, message.incarnation, message.sequence)

    def _receive_from_dispatcher(self, now: int, message: Report | Hello) -> list[AggregationMessage]:
        if message.sender in self.peers or message.sender == self.name:
            return []
        newer = self._find_newer_incarnation(message)
        if newer is not None:
            return self._answer_superseded(now, message, *newer)
        if not self._is_new(message):
            return []
        if isinstance(message, Hello):
            return [HelloAck(*self._header(message.sender), message.number)]
        return self._receive_report(now, message)

    def _find_newer_incarnation(self, message: Report | Hello) -> tuple[int, int] | None:
        """Returns the newest incarnation of the sender's name and the time until which it may run.

        Returns None if no incarnation newer than the sender's is known.
        """
        newest = (-1, 0)
        record = self.directory.records.get(message.sender)
        if record:
            # Another aggregator reports the member only every MEMBER_LIST_INTERVAL_US, and its list may be lost.
            lifetime = LEASE_US if record.via == self.name else SILENCE_TIMEOUT_US
            newest = max(newest, (record.incarnation.started, record.last_seen + lifetime))
        session = self._sessions.get(message.sender)
        if session:
            newest = max(newest, (session.incarnation, session.last_seen + LEASE_US))
        return newest if newest[0] > message.incarnation else None

    def _answer_superseded(
        self, now: int, message: Report | Hello, newest: int, running_until: int
    ) -> list[AggregationMessage]:
        """Answers a sender whose name has a newer incarnation. The sender's message changes no other state."""
        if now < running_until:
            # While both processes run, notifying them would make each raise its incarnation above the other's forever.
            return []
        if isinstance(message, Hello):
            # Without an answer, a dispatcher whose clock was set back would never return to its region's aggregator.
            return [HelloAck(*self._header(message.sender), message.number)]
        if message.part or message.leaving:
            return []
        return [Superseded(*self._header(message.sender), newest)]

    def _receive_report(self, now: int, report: Report) -> list[AggregationMessage]:
        incarnation = Incarnation(report.incarnation, report.attach)
        session = self._session(report)
        session.last_seen = now
        if report.leaving:
            self._merge_member(report.sender, MemberRecord(incarnation, now, self.name, left=True))
            return []
        lease_end = session.lease_end(now, report) if report.known_incarnation == self.incarnation else None
        if lease_end is not None and self._merge_member(report.sender, MemberRecord(incarnation, now, self.name)):
            self.work.renew_member(now, report.sender, incarnation, max(0, report.quiet_ms) * 1000)
        reports = session.add(report)
        if reports and lease_end is not None:
            self.work.count(now, report.sender, incarnation, reports, lease_end)
        if report.part:
            return []
        session.answer_times.record(report.number, now)
        return self._answer(now, report)

    def _session(self, report: Report) -> ReporterSession:
        session = self._sessions.get(report.sender)
        if session is None or session.incarnation != report.incarnation:
            session = ReporterSession(report.incarnation)
            self._sessions[report.sender] = session
        return session

    def _merge_member(self, name: str, update: MemberRecord) -> bool:
        """Merges an update about a member. Returns False if a newer state of the member is known."""
        if not self.directory.merge(name, update):
            return False
        member = self.work.members.get(name)
        # The other aggregator counts the member as soon as its lease here must have ended, so this one stops at once.
        if member and (update.left or (update.via != self.name and member.incarnation < update.incarnation)):
            self.work.remove(name)
        return True

    def _receive_from_peer(self, now: int, message: PartialSum | MemberList) -> None:
        if not self._is_new(message):
            return
        peer = self.peers[message.sender]
        if message.incarnation > peer.incarnation:
            peer = PeerAggregator(message.incarnation)
            self.peers[message.sender] = peer
            self._member_list_due = now
        peer.last_seen = now
        if isinstance(message, MemberList):
            self._receive_member_list(now, message)
            return
        peer.receive(now, message, self.incarnation, len(self.table), lambda replica: self.table.slot_for(now, replica))

    def _receive_member_list(self, now: int, message: MemberList) -> None:
        for name, started, attachment, silence_ms in message.members:
            if name == self.name or name in self.peers:
                continue
            left = silence_ms < 0
            silence = max(0, silence_ms) * 1000
            if not self.directory.may_merge(name, silence, left):
                continue
            partitioned = is_partitioned_silence(silence)
            incarnation = Incarnation(started, attachment)
            self._merge_member(name, MemberRecord(incarnation, now - silence, message.sender, left, partitioned))

    # Answers.

    def _answer(self, now: int, report: Report) -> list[AggregationMessage]:
        snapshot = self._current_snapshot(now)
        known_version = report.known_version if report.known_incarnation == self.incarnation else 0
        entries = self.table.entries_after(known_version)
        # A dispatcher that lacks this many table entries cannot assign most of the sums to replicas yet.
        ranges = snapshot.ranges if len(entries) < MAX_TABLE_ENTRIES else []
        included_report = snapshot.included_report(report.sender, report.incarnation)
        counted = self.count(now)
        settled = self._is_settled(now)
        return [
            Sums(
                *self._header(report.sender),
                report_number=report.number,
                included_report=included_report,
                reporting=snapshot.reporting,
                counted=counted,
                settled=settled,
                **part,
            )
            for part in self._parts(entries, ranges)
        ]

    def _parts(self, entries: tuple[TableEntry, ...], ranges: list[GaugeRange]) -> list[SumsPart]:
        """Returns changes of the slot table and ranges of gauges as the parts of one answer; at least one part."""
        if entries or not ranges:
            ranges = [EMPTY_RANGE, *ranges]
        return [
            SumsPart(
                version=self.table.version,
                reused_version=self.table.reused_version,
                part=part,
                parts=len(ranges),
                first_slot=gauges.first_slot,
                loads=gauges.loads,
                waits=gauges.waits,
                entries=() if part else entries,
                slot_count=gauges.slot_count,
            )
            for part, gauges in enumerate(ranges)
        ]

    def _current_snapshot(self, now: int) -> Snapshot:
        if self._snapshot is None or self._snapshot.is_due(now, len(self.table)):
            self._snapshot = take_snapshot(now, self.work, self.peers.values())
        return self._snapshot

    # Ticks.

    def tick(self, now: int) -> list[AggregationMessage]:
        """Expires leases and silent members. Returns the messages that are due to the other aggregators."""
        self._detect_stall(now)
        self.work.expire(now)
        for name in self.directory.remove_silent(now, lambda via: self._is_silent(now, via)):
            self.work.remove(name)
        if now >= self._sweep_due:
            self._sweep_due = now + SWEEP_INTERVAL_US
            self._sweep(now)
        return self._all_partial_sums(now) + self._due_member_lists(now)

    def _detect_stall(self, now: int) -> None:
        gap = now - self._last_tick
        self._last_tick = now
        if gap > MAX_TICK_GAP_US:
            self.directory.discount_stall(now, gap)

    def _is_silent(self, now: int, aggregator: str) -> bool:
        peer = self.peers.get(aggregator)
        return peer is not None and now - peer.last_seen >= LEASE_US

    def _sweep(self, now: int) -> None:
        """Drops sessions and replay windows that are no longer needed, and finds the slots without work."""
        self._sessions = {
            name: session
            for name, session in self._sessions.items()
            if now - session.last_seen <= LEFT_TIMEOUT_US or name in self.directory.records
        }
        self._replay_window.keep({*self._sessions, *self.peers})
        totals = self.work.totals
        fresh = [(peer.loads, peer.waits) for peer in self.peers.values() if peer.is_fresh(now)]
        self.table.sweep(now, [(totals.loads, totals.waits), *fresh])

    def _all_partial_sums(self, now: int) -> list[AggregationMessage]:
        ranges = gauge_ranges(self.work.totals.loads, self.work.totals.waits)
        reporting = self.work.reporting()
        messages: list[AggregationMessage] = []
        for name, peer in self.peers.items():
            messages += self._partial_sums(now, name, peer, ranges, reporting)
        return messages

    def _partial_sums(
        self, now: int, name: str, peer: PeerAggregator, ranges: list[GaugeRange], reporting: int
    ) -> list[PartialSum]:
        entries = self.table.entries_after(peer.known_version)
        peer.send_times.record(self._sequence + 1, now)
        return [
            PartialSum(
                *self._header(name),
                reporting=reporting,
                counted=len(self.work.members),
                known_incarnation=max(0, peer.incarnation),
                known_version=peer.version,
                echo=peer.newest_received,
                **part,
            )
            for part in self._parts(entries, ranges)
        ]

    def _due_member_lists(self, now: int) -> list[AggregationMessage]:
        members = self.directory.summary()
        earliest = self._member_list_due
        if members != self._announced_members:
            earliest += MIN_MEMBER_LIST_INTERVAL_US - MEMBER_LIST_INTERVAL_US
        if now < earliest:
            return []
        self._member_list_due = now + MEMBER_LIST_INTERVAL_US
        self._announced_members = members
        lists: list[AggregationMessage] = []
        for name in self.peers:
            lists += self._member_lists(now, name)
        return lists

    def _member_lists(self, now: int, to: str) -> list[MemberList]:
        parts = self.directory.entries(now)
        return [MemberList(*self._header(to), part, len(parts), tuple(entries)) for part, entries in enumerate(parts)]

    # Queries.

    def count(self, now: int) -> int:
        """Returns how many dispatchers share the work, as far as has been reported to this aggregator."""
        return self.directory.count()

    def _is_settled(self, now: int) -> bool:
        """Returns whether this aggregator has run long enough to have received every dispatcher's report or entry."""
        age = now - self.incarnation
        if age >= PARTITION_TIMEOUT_US:
            return True
        return age >= SETTLING_TIME_US and all(peer.last_seen >= 0 for peer in self.peers.values())

    def figures(self, now: int) -> dict[str, Any]:
        """Returns this aggregator's state and the age of what it received, for operators."""
        self.work.expire(now)
        reported_elsewhere = sum(peer.reporting for peer in self.peers.values() if peer.is_fresh(now))
        return {
            "name": self.name,
            "members": len(self.work.members),
            "heard": self.work.reporting() + reported_elsewhere,
            "counted": self.count(now),
            "settled": self._is_settled(now),
            "cut": self.directory.count_partitioned(),
            "engines": len(self.table),
            "version": self.table.version,
            "peers": {name: _peer_figures(now, peer) for name, peer in self.peers.items()},
        }

    def reconfigure(self, peers: Iterable[str], now: int) -> None:
        """Replaces the list of other aggregators. The state of those that remain is retained."""
        self.peers = {name: self.peers.get(name) or PeerAggregator() for name in peers if name != self.name}
        self._snapshot = None
        self._member_list_due = now


def _peer_figures(now: int, peer: PeerAggregator) -> dict[str, Any]:
    return {
        "age_s": (now - peer.last_seen) / 1e6 if peer.last_seen >= 0 else None,
        "heard": peer.reporting,
        "fresh": peer.is_fresh(now),
    }
