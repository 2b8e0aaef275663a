"""Reports a dispatcher's own work to one aggregator and derives the other dispatchers' loads from the answers.

Times are microseconds of the caller's clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import (
    MAX_UNASSIGNED,
    AggregationMessage,
    Header,
    Hello,
    HelloAck,
    Report,
    Sums,
    Superseded,
)
from pearhill.membership.aggregator_choice import MIN_BACKOFF_US, AggregatorChoice, AggregatorSite, rendezvous_order
from pearhill.membership.byte_budget import ByteBudget
from pearhill.membership.gauge_ranges import EMPTY_RANGE, single_range, split_into_ranges
from pearhill.membership.gauges import encode
from pearhill.membership.known_table import KnownTable
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US, PeerLoad, PeerSums
from pearhill.membership.replay_window import ReplayWindow
from pearhill.membership.sent_reports import GaugePair, OwnGauges, SentReport, SentReports

REPORT_INTERVAL_US = 100_000  # between two reports, unless the byte budget delays the next
JITTER = 0.1  # random share of the interval, added or subtracted
MAX_TICK_DELAY_US = 1_000_000  # a longer delay means that this process was stalled
MAX_UNASSIGNED_AT_FIRST = 16  # replicas without a slot per report, until the table has been complete once
UNASSIGNED_BYTES = 14  # largest size of the entry of one replica without a slot
NONE = -1

Unassigned = tuple[tuple[int, int, int], ...]  # replica, waiting, load


class OwnWork(NamedTuple):
    """This dispatcher's gauges: by the aggregator's slots, of replicas without a slot, and all by replica."""

    loads: bytes
    waits: bytes
    unassigned: Unassigned
    gauges: OwnGauges


class ReportPart(NamedTuple):
    """One part of a report, without its header."""

    first_slot: int
    slot_count: int
    loads: bytes
    waits: bytes
    unassigned: Unassigned


class Reporter:
    """The state machine of one dispatcher's reports.

    `own_loads` returns this dispatcher's current tokens at each replica. `started` must be larger than at any earlier
    start under the same name; callers pass the time of the start.
    """

    def __init__(
        self,
        name: str,
        region: str,
        aggregators: Iterable[AggregatorSite],
        started: int,
        rng: random.Random,
        own_loads: Callable[[], Iterable[ReplicaLoad]],
    ) -> None:
        self.name = name
        self.region = region
        self.incarnation = started
        self.rng = rng
        self._own_loads = own_loads
        self._replay_window = ReplayWindow()
        self._sequence = 0
        # Starts at random: with numbers from 1, an answer to an earlier start's report would answer one of this start.
        self._reports = SentReports(started, rng.getrandbits(31))
        self._tables: dict[str, KnownTable] = {}  # by aggregator
        self._sums = PeerSums()
        self._echo = NONE  # the newest report that the aggregator in use has answered
        self._now = started
        self._due = started + int(rng.random() * REPORT_INTERVAL_US)
        self._budget = ByteBudget(started)
        self._choice = AggregatorChoice(started, rng)
        self.reconfigure(aggregators, started)

    @property
    def current(self) -> str:
        """The aggregator in use."""
        return self._choice.current

    @property
    def attachment(self) -> int:
        """How often this dispatcher attached to an aggregator."""
        return self._choice.attachment

    @property
    def moves(self) -> int:
        """How often this dispatcher changed to another aggregator."""
        return self._choice.moves

    def reconfigure(self, aggregators: Iterable[AggregatorSite], now: int) -> None:
        """Replaces the list of aggregators. The state of those that remain is retained."""
        order = rendezvous_order(self.name, self.region, aggregators)
        self._choice.order = order
        self._tables = {name: self._tables.get(name) or KnownTable() for name in order}
        self._replay_window.keep(order)
        if self.current not in self._tables:
            self._move(now, order[0] if order else "")
        self._choice.restart_hellos(now)

    def _move(self, now: int, to: str) -> None:
        if self.current and to != self.current:
            self._reports.change_aggregator(to)
        self._choice.attach(now, to)
        self._echo = NONE

    # Reports.

    def next_tick(self, now: int) -> int:
        """Returns when to call `tick` next; the time may change with each received message."""
        due = self._report_due()
        if self._choice.uses_fallback:
            due = min(due, self._choice.hello_due)
        return max(now, due)

    def _report_due(self) -> int:
        return max(self._due, self._budget.paid_at)

    def tick(self, now: int) -> list[AggregationMessage]:
        """Returns the messages that are due."""
        if not self._choice.order:
            self._due = now + REPORT_INTERVAL_US
            return []
        if now - self._report_due() > MAX_TICK_DELAY_US:
            self._choice.restart_answer_timeout(now)
        self._now = now
        messages: list[AggregationMessage] = []
        hello_number = self._choice.next_hello(now)
        if hello_number is not None:
            messages.append(Hello(*self._header(self._choice.order[0]), hello_number))
        if now < self._report_due():
            return messages
        if self._choice.should_abandon(now):
            self._switch_aggregator(now)
        if now >= self._due:
            messages += self._report(now)
        return messages

    def _switch_aggregator(self, now: int) -> None:
        """Switches to the next aggregator; once all have failed, a backoff delays the next report."""
        self._move(now, self._choice.next_after_failure())
        backoff = self._choice.backoff()
        if backoff is not None:
            self._due = now + backoff

    def _header(self, to: str) -> Header:
        self._sequence += 1
        return Header(self.name, to, self.incarnation, self._sequence)

    def _report(self, now: int) -> list[Report]:
        table = self._tables[self.current]
        work = self._own_work(table)
        self._reports.add(now, self.current, work.gauges)
        self._choice.record_report(now)
        # Once all aggregators have failed, each is tried with a single report until one answers.
        interval = MIN_BACKOFF_US if self._choice.all_failed else REPORT_INTERVAL_US
        self._due = now + int(interval * self.rng.uniform(1 - JITTER, 1 + JITTER))
        parts = _split(work)
        return [
            Report(
                *self._header(self.current),
                number=self._reports.newest_number,
                part=number,
                parts=len(parts),
                attach=self.attachment,
                quiet_ms=self._reports.quiet_ms(now, self.current),
                leaving=False,
                known_incarnation=table.incarnation,
                known_version=table.version,
                first_slot=part.first_slot,
                loads=part.loads,
                waits=part.waits,
                unassigned=part.unassigned,
                slot_count=part.slot_count,
                echo=self._echo,
            )
            for number, part in enumerate(parts)
        ]

    def _own_work(self, table: KnownTable) -> OwnWork:
        """Returns this dispatcher's work by the table's slots.

        Of the replicas without a slot, only those with the most work are included: most likely they have slots in the
        aggregator's table, which the next answers contain.
        """
        loads = bytearray(len(table.replicas))
        waits = bytearray(len(table.replicas))
        without_slot: list[tuple[int, int, int]] = []
        gauges: OwnGauges = {}
        for row in self._own_loads():
            gauge = GaugePair(encode(row.queued_tokens), encode(row.total_tokens))
            if not gauge.load and not gauge.waiting:
                continue
            slot = table.slot_of.get(row.replica)
            if slot is None:
                without_slot.append((gauge.load, gauge.waiting, row.replica))
                continue
            loads[slot] = gauge.load
            waits[slot] = gauge.waiting
            gauges[row.replica] = gauge
        without_slot.sort(reverse=True)
        limit = MAX_UNASSIGNED if table.has_been_complete else MAX_UNASSIGNED_AT_FIRST
        unassigned = tuple((replica, waiting, load) for load, waiting, replica in without_slot[:limit])
        gauges.update((replica, GaugePair(waiting, load)) for replica, waiting, load in unassigned)
        return OwnWork(bytes(loads), bytes(waits), unassigned, gauges)

    def leave(self, now: int) -> list[AggregationMessage]:
        """Returns the last message, after which the aggregators no longer count this dispatcher."""
        if not self._choice.order:
            return []
        return [
            Report(
                *self._header(self.current),
                number=self._reports.next_number(),
                part=0,
                parts=1,
                attach=self.attachment,
                quiet_ms=self._reports.quiet_ms(now, self.current),
                leaving=True,
                known_incarnation=0,
                known_version=0,
                first_slot=0,
                loads=EMPTY_RANGE.loads,
                waits=EMPTY_RANGE.waits,
                unassigned=(),
            )
        ]

    def record_sent(self, size: int) -> None:
        """Pays for an outgoing datagram of `size` bytes."""
        self._budget.record_sent(self._now, size)

    # Answers.

    def receive(self, now: int, message: AggregationMessage, size: int) -> list[AggregationMessage]:
        """Processes an authentic message, which may be late or repeated. Returns the answers to it.

        `size` is the length of its datagram in bytes.
        """
        self._now = max(self._now, now)
        self._budget.record_received(size)
        if message.sender not in self._tables:
            return []
        if not self._replay_window.accept(message.sender, message.incarnation, message.sequence):
            return []
        # If replays were paid for as well, repeating one datagram could delay the reports indefinitely.
        self._budget.pay(self._now, size)
        if isinstance(message, HelloAck):
            self._receive_hello_ack(now, message)
        elif message.sender != self.current:
            return []
        elif isinstance(message, Superseded):
            self._receive_superseded(message)
        elif isinstance(message, Sums):
            self._receive_sums(now, message)
        return []

    def _receive_hello_ack(self, now: int, message: HelloAck) -> None:
        if self._choice.record_hello_answer(message.sender, message.number):
            self._move(now, message.sender)
            self._choice.record_return()

    def _receive_superseded(self, message: Superseded) -> None:
        if message.known_incarnation >= self.incarnation:
            self.incarnation = message.known_incarnation + 1
            self._choice.record_answer()

    def _receive_sums(self, now: int, sums: Sums) -> None:
        report = self._reports.get(sums.report_number)
        if report is None or now - report.sent_at >= MAX_SUMS_AGE_US:
            return  # the answer was delayed for too long
        table = self._table_of(sums)
        self._choice.record_answer()
        table.latest_version = max(table.latest_version, sums.version)
        self._echo = max(self._echo, sums.report_number)
        table.update(sums.entries)
        self._sums.update_counts(sums, report.sent_at)
        own = self._own_gauges_in(sums, report)
        if own is None or table.version < sums.reused_version:
            return
        has_gauges = sums.slot_count > 0 or sums.version == 0  # version 0: no slots, so no work
        if has_gauges:
            self._sums.update_range(sums, report.sent_at, own)

    def _table_of(self, sums: Sums) -> KnownTable:
        """Returns the sender's table, which is reset when the sender has restarted."""
        table = self._tables[sums.sender]
        if table.incarnation != sums.incarnation:
            table = KnownTable(sums.incarnation)
            self._tables[sums.sender] = table
            self._sums.clear(sums.sender)
        if self._sums.source != sums.sender:
            self._sums.clear(sums.sender)
        return table

    def _own_gauges_in(self, sums: Sums, report: SentReport) -> OwnGauges | None:
        """Returns this dispatcher's own gauges that the sums include, or None if they are no longer known."""
        if sums.included_report < 0:
            return self._reports.gauges_sent_elsewhere(report.sent_at, self.current)
        included = self._reports.get(sums.included_report)
        return included.gauges if included else None

    # Loads of the other dispatchers.

    def count(self, now: int) -> int | None:
        """Returns how many dispatchers share the work, including this one.

        Returns None until a settled aggregator has answered.
        """
        return self._sums.count()

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        """Returns the estimated load of the other dispatchers at a replica.

        `queued_tokens` and `total_tokens` are this dispatcher's own tokens there.
        """
        return self._sums.estimate_peer_load(now, self._sums_table(), replica, queued_tokens, total_tokens)

    def peer_load(self, now: int, replica: int) -> PeerLoad | None:
        """Returns what the other dispatchers reported at a replica, or None if no recent sums include the replica."""
        return self._sums.peer_load(now, self._sums_table(), replica)

    def _sums_table(self) -> KnownTable | None:
        return self._tables.get(self._sums.source)

    def figures(self, now: int) -> dict[str, Any]:
        """Returns the state of the reports and sums, for operators."""
        received_at = self._sums.received_at
        return {
            "aggregator": self.current,
            "attach": self.attachment,
            "age_s": (now - received_at) / 1e6 if received_at >= 0 else None,
            "counted": self._sums.counted,
            "heard": self._sums.reporting,
            "moves": self.moves,
            "bytes_in": self._budget.bytes_in,
            "bytes_out": self._budget.bytes_out,
        }


def _split(work: OwnWork) -> list[ReportPart]:
    """Returns one part if it fits one datagram, else a part per range of slots and one for replicas without a slot."""
    single_part = single_range(work.loads, work.waits, len(work.unassigned) * UNASSIGNED_BYTES)
    if single_part:
        return [ReportPart(*single_part, work.unassigned)]
    parts = [ReportPart(*gauges, ()) for gauges in split_into_ranges(work.loads, work.waits)]
    if work.unassigned:
        parts.append(ReportPart(*EMPTY_RANGE, work.unassigned))
    return parts
