"""A dispatcher reports its own work to one aggregator, and makes of the sums in the answers what the others have.

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

REPORT_INTERVAL_US = 100_000  # between two reports at the least
JITTER = 0.1  # the share of it that is drawn
MAX_TICK_DELAY_US = 1_000_000  # when a tick comes later than this, this process stood still
MAX_UNASSIGNED_AT_FIRST = 16  # replicas without a slot in a report, until the table was known once
UNASSIGNED_BYTES = 14  # of one replica without a slot, at the most
NONE = -1

Unassigned = tuple[tuple[int, int, int], ...]  # replica, waiting, load


class OwnWork(NamedTuple):
    """This dispatcher's gauges: by the aggregator's slots, of replicas without one, and all of them by replica."""

    loads: bytes
    waits: bytes
    unassigned: Unassigned
    gauges: OwnGauges


class ReportPart(NamedTuple):
    """One part of a report, before it gets its header."""

    first_slot: int
    slot_count: int
    loads: bytes
    waits: bytes
    unassigned: Unassigned


class Reporter:
    """`own_loads` gives this dispatcher's tokens at each replica, as they are now. `started` must grow with each start
    of the same name: the time of the start does."""

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
        self._window = ReplayWindow()
        self._sequence = 0
        # Numbered from 1 at each start, an answer to an earlier start's report would answer one of this start.
        self._reports = SentReports(started, rng.getrandbits(31))
        self._tables: dict[str, KnownTable] = {}  # by aggregator
        self._sums = PeerSums()
        self._echo = NONE  # the newest report to which an answer of the aggregator in use came
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
    def attach(self) -> int:
        """How often an aggregator was begun to be used."""
        return self._choice.attachment

    @property
    def moves(self) -> int:
        """How often one aggregator was left for another."""
        return self._choice.moves

    def reconfigure(self, aggregators: Iterable[AggregatorSite], now: int) -> None:
        """Name the aggregators anew. What is known of those that stay, stays."""
        order = rendezvous_order(self.name, self.region, aggregators)
        self._choice.order = order
        self._tables = {name: self._tables.get(name) or KnownTable() for name in order}
        self._window.keep(order)
        if self.current not in self._tables:
            self._move(now, order[0] if order else "")
        self._choice.restart_hellos(now)

    def _move(self, now: int, to: str) -> None:
        if self.current and to != self.current:
            self._reports.move_to(to)
        self._choice.attach(now, to)
        self._echo = NONE

    # Reports.

    def next_tick(self, now: int) -> int:
        """When `tick` is to be called next; it may change with each message that is received."""
        due = self._report_due()
        if self._choice.is_away:
            due = min(due, self._choice.hello_due)
        return max(now, due)

    def _report_due(self) -> int:
        return max(self._due, self._budget.paid_at)

    def tick(self, now: int) -> list[AggregationMessage]:
        """What is due by now, if anything."""
        if not self._choice.order:
            self._due = now + REPORT_INTERVAL_US
            return []
        if now - self._report_due() > MAX_TICK_DELAY_US:
            self._choice.excuse_stall(now)
        self._now = now
        messages: list[AggregationMessage] = []
        hello_number = self._choice.next_hello(now)
        if hello_number is not None:
            messages.append(Hello(*self._header(self._choice.order[0]), hello_number))
        if now < self._report_due():
            return messages
        if self._choice.should_give_up(now):
            self._give_up(now)
        if now >= self._due:
            messages += self._report(now)
        return messages

    def _give_up(self, now: int) -> None:
        """Use the next aggregator; after all of them, pause first."""
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
        self._choice.report_sent(now)
        # One try each once all have failed, until one answers.
        interval = MIN_BACKOFF_US if self._choice.all_failed else REPORT_INTERVAL_US
        self._due = now + int(interval * self.rng.uniform(1 - JITTER, 1 + JITTER))
        parts = _split(work)
        return [
            Report(
                *self._header(self.current),
                number=self._reports.newest_number,
                part=number,
                parts=len(parts),
                attach=self.attach,
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
        """This dispatcher's work by the table's slots. Of replicas without one only the largest: most likely they have
        one, which the next answers tell."""
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
        most = MAX_UNASSIGNED if table.was_complete else MAX_UNASSIGNED_AT_FIRST
        unassigned = tuple((replica, waiting, load) for load, waiting, replica in without_slot[:most])
        gauges.update((replica, GaugePair(waiting, load)) for replica, waiting, load in unassigned)
        return OwnWork(bytes(loads), bytes(waits), unassigned, gauges)

    def leave(self, now: int) -> list[AggregationMessage]:
        """The last message: from now on no aggregator is to count this dispatcher."""
        if not self._choice.order:
            return []
        return [
            Report(
                *self._header(self.current),
                number=self._reports.next_number(),
                part=0,
                parts=1,
                attach=self.attach,
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

    def sent(self, size: int) -> None:
        """A datagram of `size` bytes went out."""
        self._budget.sent(self._now, size)

    # Answers.

    def receive(self, now: int, message: AggregationMessage, size: int) -> list[AggregationMessage]:
        """Take an authentic message, whenever it comes and however often; `size`: bytes of its datagram."""
        self._now = max(self._now, now)
        self._budget.received(size)
        if message.sender not in self._tables:
            return []
        if not self._window.first_time(message.sender, message.incarnation, message.sequence):
            return []
        # Paid for before this check, a datagram that somebody replays would put the reports off for good.
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
        if self._choice.hello_answered(message.sender, message.number):
            self._move(now, message.sender)
            self._choice.returned()

    def _receive_superseded(self, message: Superseded) -> None:
        if message.known_incarnation >= self.incarnation:
            self.incarnation = message.known_incarnation + 1
            self._choice.answered()

    def _receive_sums(self, now: int, sums: Sums) -> None:
        report = self._reports.get(sums.report_number)
        if report is None or now - report.sent_at >= MAX_SUMS_AGE_US:
            return  # it waited somewhere
        table = self._table_of(sums)
        self._choice.answered()
        table.latest = max(table.latest, sums.version)
        self._echo = max(self._echo, sums.report_number)
        table.update(sums.entries)
        self._sums.update_counts(sums, report.sent_at)
        own = self._own_gauges_in(sums, report)
        if own is None or table.version < sums.reused_version:
            return
        has_gauges = sums.slot_count > 0 or sums.version == 0  # no slots at all: nobody has work anywhere
        if has_gauges:
            self._sums.update_range(sums, report.sent_at, own)

    def _table_of(self, sums: Sums) -> KnownTable:
        """The sender's table, begun anew when the sender has started anew."""
        table = self._tables[sums.sender]
        if table.incarnation != sums.incarnation:
            table = KnownTable(sums.incarnation)
            self._tables[sums.sender] = table
            self._sums.clear(sums.sender)
        if self._sums.source != sums.sender:
            self._sums.clear(sums.sender)
        return table

    def _own_gauges_in(self, sums: Sums, report: SentReport) -> OwnGauges | None:
        """This dispatcher's own gauges that are in the sums. None: some are, and it is no longer known which."""
        if sums.included_report < 0:
            return self._reports.gauges_elsewhere(report.sent_at, self.current)
        included = self._reports.get(sums.included_report)
        return included.gauges if included else None

    # What the others have.

    def count(self, now: int) -> int | None:
        """Dispatchers that share the work, this one among them; None: no aggregator that surely knew has reported."""
        return self._sums.count()

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        """What the others have at a replica where this dispatcher has so many queued tokens, and in all."""
        return self._sums.estimate_peer_load(now, self._sums_table(), replica, queued_tokens, total_tokens)

    def peer_load(self, now: int, replica: int) -> PeerLoad | None:
        """What the others reported at a replica; None: no sums of it are known, or they are too old."""
        return self._sums.peer_load(now, self._sums_table(), replica)

    def _sums_table(self) -> KnownTable | None:
        return self._tables.get(self._sums.source)

    def figures(self, now: int) -> dict[str, Any]:
        """What is known here, for operators."""
        received_at = self._sums.received_at
        return {
            "aggregator": self.current,
            "attach": self.attach,
            "age_s": (now - received_at) / 1e6 if received_at >= 0 else None,
            "counted": self._sums.counted,
            "heard": self._sums.reporting,
            "moves": self.moves,
            "bytes_in": self._budget.bytes_in,
            "bytes_out": self._budget.bytes_out,
        }


def _split(work: OwnWork) -> list[ReportPart]:
    """One part if all fits a datagram; else ranges of slots, and replicas without a slot by themselves."""
    whole = single_range(work.loads, work.waits, len(work.unassigned) * UNASSIGNED_BYTES)
    if whole:
        return [ReportPart(*whole, work.unassigned)]
    parts = [ReportPart(*gauges, ()) for gauges in split_into_ranges(work.loads, work.waits)]
    if work.unassigned:
        parts.append(ReportPart(*EMPTY_RANGE, work.unassigned))
    return parts
