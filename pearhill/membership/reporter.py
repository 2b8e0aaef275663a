"""A dispatcher's part: it reports its own work to one aggregator, and makes of the sums in its answers what the
others have.

Its own region's aggregator comes first, the others in rendezvous order (Thaler and Ravishankar, 1996), so that those
who lose one share the rest. Sums hold my own work as of some earlier report; it is taken off again. They fade with age,
not to nothing but to what I have myself, each: who cannot be heard still sends, as far as anybody knows. Times are
microseconds of the caller's clock.
"""

from __future__ import annotations

import hashlib
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import (
    COMBINED_LEASE_US,
    MAX_PACKED_GAUGE_BYTES,
    MAX_UNASSIGNED,
    SLOTS_PER_PART,
    AggregationMessage,
    Hello,
    HelloAck,
    Report,
    Sums,
    Superseded,
    TableEntry,
)
from pearhill.membership.gauges import TOKENS, encode, pack, unpack
from pearhill.membership.replay_window import ReplayWindow

REPORT_INTERVAL_US, JITTER = 100_000, 0.1  # between two reports at the least, and the share of it that is drawn
MAX_BYTES_PER_S, HEADER_BYTES = 6000, 28  # both ways together; IPv4 and UDP headers of a datagram
MAX_UNANSWERED_REPORTS, ANSWER_TIMEOUT_US = (
    4,
    2_000_000,
)  # reports in a row, and time, after which an aggregator is given up
MAX_SUMS_AGE_US = 2_500_000  # older sums are not used at all
FADE = 2_000_000  # after which half of them still holds
MIN_BACKOFF_US, MAX_BACKOFF_US = 1_000_000, 8_000_000  # between tries over all
MIN_HELLO_INTERVAL_US, MAX_HELLO_INTERVAL_US = 5_000_000, 15_000_000
HELLOS_TO_RETURN = 2  # answers in a row, and home it goes
MAX_REMEMBERED_REPORTS, REMEMBERED_FOR = 64, 5_000_000  # reports that sums may still hold
SLACK = 200_000  # sums may be made a little before they are asked for
BURST = 500_000  # of the bytes that were saved up
STOOD_STILL = 1_000_000  # a beat that comes later than this: it is I who was away
NEWS_AT_FIRST = 16  # engines without a slot in a report, until the table is known once
NEWS_BYTES = 14  # of one engine without a slot, at the most
Codes = dict[int, tuple[int, int]]  # by engine: waiting, load


@dataclass(frozen=True, slots=True)
class AggregatorSite:
    name: str
    region: str


@dataclass(slots=True)
class _Table:
    """An aggregator's slots, as far as they are known here."""

    incarnation: int = 0
    version: int = 0
    slot_of: dict[int, int] = field(default_factory=dict)
    engines: list[int] = field(default_factory=list)  # -1: not known yet
    since: list[int] = field(default_factory=list)
    latest: int = 0  # version as last told
    whole: bool = False  # it has been known up to the latest version once

    def take(self, entries: Iterable[TableEntry]) -> None:
        for slot, engine, version in entries:
            if version <= self.version:
                continue
            lacking = slot + 1 - len(self.engines)
            self.engines.extend([-1] * lacking)
            self.since.extend([0] * lacking)
            if self.slot_of.get(self.engines[slot]) == slot:
                del self.slot_of[self.engines[slot]]
            self.engines[slot], self.since[slot], self.version = engine, version, version
            self.slot_of[engine] = slot
        self.whole = self.whole or self.version >= self.latest


@dataclass(slots=True)
class _Told:
    """A report that was made: when, to whom, and what it said."""

    at: int
    to: str
    codes: Codes


@dataclass(slots=True)
class _Chunk:
    """Sums over some slots. `mine`: what of my own is in them."""

    at: int
    version: int
    first: int
    loads: bytes
    waits: bytes
    heard: int  # others, without me
    mine: Codes

    def overlaps(self, other: _Chunk) -> bool:
        return self.first < other.first + len(other.loads) and other.first < self.first + len(self.loads)


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Others' tokens at an engine, of how many of them, and since when."""

    queued_tokens: float
    total_tokens: float
    reporting: int
    reported_at: int


class Reporter:
    """`work` tells my own tokens at each engine, as they are now. `started` must grow with each start of the same name:
    the time of the start does."""

    def __init__(
        self,
        me: str,
        region: str,
        aggregators: Iterable[AggregatorSite],
        started: int,
        rng: random.Random,
        work: Callable[[], Iterable[ReplicaLoad]],
    ) -> None:
        self.name, self.region, self.incarnation, self.rng, self._mine = me, region, started, rng, work
        self._window, self._sequence = ReplayWindow(), 0
        # Danger: counted from 1 at each start, an answer to an earlier me would answer a report of mine.
        self._number = rng.getrandbits(31)
        self._told: OrderedDict[int, _Told] = OrderedDict()
        self._tables: dict[str, _Table] = {}
        self._chunks: list[_Chunk] = []
        self._sums_of = ""  # whose these are
        self._count: int | None = None
        self._settled = False  # an aggregator that surely knew everybody has told it
        self._heard = 0
        self._sums_at = -1
        self._elsewhere: Codes = {}  # the most that I told those that I have left
        self.attach, self.moves = 0, 0
        self._last_report: dict[str, int] = {}
        self._started = self._now = started
        self._unanswered, self._waiting_since, self._echo = 0, -1, -1
        self._failed = 0  # aggregators in a row that did not answer
        self._due = started + int(rng.random() * REPORT_INTERVAL_US)
        self._debt = started  # the time by which what was sent and got is paid for
        self._hello_due, self._hello_number, self._hellos = started, -1, 0
        self._bytes = {"in": 0, "out": 0}
        self._order: list[str] = []
        self.current = ""
        self.reconfigure(aggregators, started)

    def reconfigure(self, aggregators: Iterable[AggregatorSite], now: int) -> None:
        """Other aggregators. What is known of those that stay, stays."""

        def rank(site: AggregatorSite) -> tuple[bool, bytes]:
            return site.region != self.region, hashlib.sha256(f"{self.name}\0{site.name}".encode()).digest()

        self._order = [site.name for site in sorted(aggregators, key=rank)]
        self._tables = {name: self._tables.get(name) or _Table() for name in self._order}
        self._window.keep(self._order)
        if self.current not in self._tables:
            self._move(now, self._order[0] if self._order else "")
        self._hellos, self._hello_due = 0, now + self._hello_wait()

    def _hello_wait(self) -> int:
        return int(self.rng.uniform(MIN_HELLO_INTERVAL_US, MAX_HELLO_INTERVAL_US))

    # Reports.

    def next_tick(self, now: int) -> int:
        """When `beat` is to be called next; it may change with each frame that is heard."""
        due = max(self._due, self._debt)
        return max(now, min(due, self._hello_due) if self._away() else due)

    def _away(self) -> bool:
        return bool(self._order) and self.current != self._order[0]

    def tick(self, now: int) -> list[AggregationMessage]:
        """What is due by now, be it nothing."""
        if not self._order:
            self._due = now + REPORT_INTERVAL_US
            return []
        if now - max(self._due, self._debt) > STOOD_STILL and self._waiting_since >= 0:
            self._waiting_since = now  # Danger: the answers wait unread, and a good aggregator would be left
        self._now = now
        frames: list[AggregationMessage] = []
        if self._away() and now >= self._hello_due:
            self._hello_due = now + self._hello_wait()
            if self._hello_number >= 0:
                self._hellos = 0  # the last one was not answered
            self._hello_number = self.rng.getrandbits(31)
            frames.append(Hello(*self._head(self._order[0]), self._hello_number))
        if now >= max(self._due, self._debt):
            gone = self._failed >= len(self._order)
            if self._unanswered >= (1 if gone else MAX_UNANSWERED_REPORTS) and (
                gone or now - self._waiting_since >= ANSWER_TIMEOUT_US
            ):
                self._give_up(now)
            if now >= self._due:
                frames += self._report(now)
        return frames

    def _give_up(self, now: int) -> None:
        """The next aggregator, and after all of them a pause."""
        self._failed += 1
        self._move(now, self._order[(self._order.index(self.current) + 1) % len(self._order)])
        if self._failed >= len(self._order):
            wait = min(MAX_BACKOFF_US, 2 * MIN_BACKOFF_US << min(8, self._failed - len(self._order)))
            # Danger: they all lost it at the same moment, and would all ask again at the same moment.
            self._due = now + int(self.rng.uniform(0, wait - MIN_BACKOFF_US))

    def _move(self, now: int, to: str) -> None:
        if self.current and to != self.current:
            self.moves += 1
            most: Codes = {}
            self._elsewhere = most
            for told in self._told.values():
                if told.to != to:
                    for engine, (waiting, load) in told.codes.items():
                        known = most.get(engine, (0, 0))
                        most[engine] = max(waiting, known[0]), max(load, known[1])
        self.current = to
        self.attach += 1
        self._unanswered, self._waiting_since, self._echo = 0, -1, -1
        self._hellos, self._hello_number, self._hello_due = 0, -1, now + self._hello_wait()

    def _head(self, to: str) -> tuple[str, str, int, int]:
        self._sequence += 1
        return self.name, to, self.incarnation, self._sequence

    def _quiet_ms(self, now: int) -> int:
        """How long none of the others can have had a report of this name: an earlier me may have sent some, until I
        started."""
        return max(0, now - max(self._started, self._last_elsewhere())) // 1000

    def _last_elsewhere(self) -> int:
        """When the last report to another aggregator than this went out."""
        return max(
            (at for name, at in self._last_report.items() if name != self.current),
            default=-COMBINED_LEASE_US - MAX_SUMS_AGE_US,
        )

    def _report(self, now: int) -> list[AggregationMessage]:
        table = self._tables[self.current]
        n = len(table.engines)
        loads, waits, fresh, codes = bytearray(n), bytearray(n), list[tuple[int, int, int]](), Codes()
        for row in self._mine():
            load, waiting = encode(row.total_tokens), encode(row.queued_tokens)
            if not load and not waiting:
                continue
            if (slot := table.slot_of.get(row.replica)) is not None:
                loads[slot], waits[slot] = load, waiting
                codes[row.replica] = waiting, load
            else:
                fresh.append((load, waiting, row.replica))
        fresh.sort(reverse=True)
        # What has no slot here most likely has one, of which the next answers tell.
        some = MAX_UNASSIGNED if table.whole else NEWS_AT_FIRST
        news = tuple((engine, waiting, load) for load, waiting, engine in fresh[:some])
        codes.update((engine, (waiting, load)) for engine, waiting, load in news)
        self._number += 1
        self._told[self._number] = _Told(now, self.current, codes)
        while len(self._told) > MAX_REMEMBERED_REPORTS or now - next(iter(self._told.values())).at > REMEMBERED_FOR:
            self._told.popitem(last=False)  # Danger: sums of that long ago hold mine as it was then
        self._last_report[self.current] = now
        self._unanswered += 1
        if self._waiting_since < 0:
            self._waiting_since = now
        pace = REPORT_INTERVAL_US
        if self._failed >= len(self._order):
            pace = MIN_BACKOFF_US  # one try each, until one answers
        self._due = now + int(pace * self.rng.uniform(1 - JITTER, 1 + JITTER))
        return self._parts(now, table, bytes(loads), bytes(waits), news)

    def _parts(
        self, now: int, table: _Table, loads: bytes, waits: bytes, news: tuple[tuple[int, int, int], ...]
    ) -> list[AggregationMessage]:
        """One part if it fits; else chunks of slots, and the news by itself."""
        packed = pack(loads), pack(waits)
        if len(packed[0]) + len(packed[1]) + len(news) * NEWS_BYTES <= MAX_PACKED_GAUGE_BYTES:
            pieces = [(0, len(loads), *packed, news)]
        else:
            pieces = [
                (
                    first,
                    len(loads[first : first + SLOTS_PER_PART]),
                    pack(loads[first : first + SLOTS_PER_PART]),
                    pack(waits[first : first + SLOTS_PER_PART]),
                    (),
                )
                for first in range(0, len(loads), SLOTS_PER_PART)
            ]
            if news:
                pieces.append((0, 0, b"\0", b"\0", news))
        return [
            Report(
                *self._head(self.current),
                self._number,
                k,
                len(pieces),
                self.attach,
                self._quiet_ms(now),
                False,
                table.incarnation,
                table.version,
                first,
                some,
                waiting,
                told,
                slots,
                self._echo,
            )
            for k, (first, slots, some, waiting, told) in enumerate(pieces)
        ]

    def leave(self, now: int) -> list[AggregationMessage]:
        """The last word: nobody is to count me any more."""
        if not self._order:
            return []
        self._number += 1
        return [
            Report(
                *self._head(self.current),
                self._number,
                0,
                1,
                self.attach,
                self._quiet_ms(now),
                True,
                0,
                0,
                0,
                b"\0",
                b"\0",
                (),
            )
        ]

    def sent(self, size: int) -> None:
        """A datagram of so many bytes went out."""
        self._bytes["out"] += size + HEADER_BYTES
        self._pay(size)

    def _pay(self, size: int) -> None:
        self._debt = max(self._debt, self._now - BURST) + (size + HEADER_BYTES) * 1_000_000 // MAX_BYTES_PER_S

    # Answers.

    def receive(self, now: int, frame: AggregationMessage, size: int) -> list[AggregationMessage]:
        """An authentic frame, whenever it comes and however often; `size`: bytes of its datagram."""
        self._now = max(self._now, now)
        self._bytes["in"] += size + HEADER_BYTES
        if frame.sender not in self._tables or not self._window.first_time(
            frame.sender, frame.incarnation, frame.sequence
        ):
            return []
        self._pay(size)  # Danger: paid for before, what somebody sends again would put my reports off for good
        if isinstance(frame, HelloAck):
            self._acknowledged(now, frame)
        elif (
            isinstance(frame, Superseded)
            and frame.sender == self.current
            and frame.known_incarnation >= self.incarnation
        ):
            self.incarnation = frame.known_incarnation + 1
            self._answered()
        elif isinstance(frame, Sums) and frame.sender == self.current:
            self._sums(now, frame)
        return []

    def _acknowledged(self, now: int, frame: HelloAck) -> None:
        if frame.sender != self._order[0] or frame.number != self._hello_number or not self._away():
            return
        self._hello_number, self._hellos = -1, self._hellos + 1
        if self._hellos >= HELLOS_TO_RETURN:
            self._move(now, self._order[0])
            self._failed = 0

    def _answered(self) -> None:
        self._unanswered, self._waiting_since, self._failed = 0, -1, 0

    def _sums(self, now: int, s: Sums) -> None:
        asked = self._told.get(s.report_number)
        if asked is None or now - asked.at >= MAX_SUMS_AGE_US:
            return  # it waited somewhere
        table = self._tables[s.sender]
        if table.incarnation != s.incarnation:
            table = self._tables[s.sender] = _Table(s.incarnation)
            self._chunks.clear()
        if self._sums_of != s.sender:
            self._sums_of = s.sender
            self._chunks.clear()
        self._answered()
        table.latest = max(table.latest, s.version)
        self._echo = max(self._echo, s.report_number)
        table.take(s.entries)
        if asked.at >= self._sums_at:
            self._heard, self._sums_at = s.reporting, asked.at
            self._count = s.counted if s.settled else max(self._count or 0, s.counted)
            self._settled = self._settled or s.settled
        if s.included_report >= 0:
            if s.included_report not in self._told:
                return  # Danger: my own work is in it, and I no longer know which.
            mine = self._told[s.included_report].codes
        else:
            # By way of an aggregator that I have left, mine may still be in it.
            mine = self._elsewhere if asked.at < self._last_elsewhere() + COMBINED_LEASE_US + SLACK else Codes()
        if table.version < s.reused_version or not (s.slot_count or s.version == 0):
            return  # no slots, unless nobody has work anywhere
        new = _Chunk(
            asked.at,
            s.version,
            s.first_slot,
            unpack(s.loads, s.slot_count),
            unpack(s.waits, s.slot_count),
            max(0, s.reporting - (s.included_report >= 0)),
            mine,
        )
        # Whatever it covers of older ones is over; a newer one stays. Parts of one answer don't overlap.
        self._chunks = [c for c in self._chunks if c.loads and (c.at > new.at or not c.overlaps(new))]
        if not any(c.overlaps(new) for c in self._chunks):
            self._chunks.append(new)

    def count(self, now: int) -> int | None:
        """Dispatchers that share the work, this one among them, as last told; None: nobody who surely knew has told.
        Danger: by the first word of an aggregator that begins anew I would be one of few, and take all of a cold
        engine's share."""
        return self._count if self._settled else None

    def others(self, now: int, engine: int, waiting: int, load: int) -> tuple[float, float, float]:
        """What the others have at an engine where I have this much: tokens yet to be read, under way in all, and how
        much of that is fresh word."""
        others = (self._count or 1) - 1
        if others <= 0:
            return 0.0, 0.0, 1.0 if self._count else 0.0
        theirs = self.peer_load(now, engine)
        if theirs is None:
            return float(others * waiting), float(others * load), 0.0
        # Each of whom nothing is known counts as the mean of all of whom something is, me among them.
        worth = 0.5 ** (max(0, now - theirs.reported_at) / FADE)
        heard = worth * min(theirs.reporting, others)
        scale = (1 + others) / (1 + heard)
        return (
            max(0.0, (waiting + worth * theirs.queued_tokens) * scale - waiting),
            max(0.0, (load + worth * theirs.total_tokens) * scale - load),
            heard / others,
        )

    def peer_load(self, now: int, engine: int) -> PeerLoad | None:
        """What the others said that they have at an engine; None: no sums of it are known, or they are too old."""
        table = self._tables.get(self._sums_of)
        slot = table.slot_of.get(engine) if table else None
        chunk = next((c for c in self._chunks if slot is None or c.first <= slot < c.first + len(c.loads)), None)
        # Danger: with some engines known and some not, those that are not would look empty to everybody.
        if table is None or not table.whole or chunk is None or now - chunk.at >= MAX_SUMS_AGE_US:
            return None
        if slot is None:
            return PeerLoad(0.0, 0.0, chunk.heard, chunk.at) if table.version >= table.latest else None
        if table.since[slot] > chunk.version:
            return None  # these are another engine's
        mine = chunk.mine.get(engine, (0, 0))
        waiting, load = TOKENS[chunk.waits[slot - chunk.first]], TOKENS[chunk.loads[slot - chunk.first]]
        return PeerLoad(max(0.0, waiting - TOKENS[mine[0]]), max(0.0, load - TOKENS[mine[1]]), chunk.heard, chunk.at)

    def figures(self, now: int) -> dict[str, Any]:
        """For operators."""
        return {
            "aggregator": self.current,
            "attach": self.attach,
            "age_s": (now - self._sums_at) / 1e6 if self._sums_at >= 0 else None,
            "counted": self._count,
            "heard": self._heard,
            "moves": self.moves,
            "bytes_in": self._bytes["in"],
            "bytes_out": self._bytes["out"],
        }
