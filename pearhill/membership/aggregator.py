"""One aggregator's part: the reports of the dispatchers that chose it, the other aggregators' sums, and the sums of
both as answers. Times are microseconds of the caller's clock; nobody else's clock is looked at.

Nobody is counted twice because work is held by a lease (Gray and Cheriton, 1989) whose end both sides can tell: a
report names the newest answer that its sender has, and so it is no older than that answer. It counts until LEASE after
the answer was sent, however long it was under way. The same holds between aggregators for PART_LEASE. So one that went
elsewhere MOVED ago is in nobody else's sums any more, and only then its work is taken into these.

Who shares the work is another matter, and forgotten more slowly: aggregators tell one another all names that they
count, each with its stay (incarnation, attach) and how long it has been silent; the newer stay and the newer sign of
life win.
"""

from __future__ import annotations

import random
from bisect import bisect_right
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import compress
from typing import Any, TypeVar

from pearhill.membership.aggregation_messages import (
    COMBINED_LEASE_US,
    LEASE_US,
    MAX_MEMBER_LIST_BYTES,
    MAX_PACKED_GAUGE_BYTES,
    MAX_PARTS,
    MAX_SLOTS,
    MAX_TABLE_ENTRIES,
    PARTIAL_SUM_LEASE_US,
    SLOTS_PER_PART,
    AggregationMessage,
    Hello,
    HelloAck,
    MemberEntry,
    MemberList,
    PartialSum,
    Report,
    Sums,
    Superseded,
    TableEntry,
)
from pearhill.membership.gauges import TOKENS, encode, pack, unpack
from pearhill.membership.replay_window import ReplayWindow

AGGREGATOR_TICK_US = 100_000  # between two beats
LATE = 750_000  # between two beats of mine
SNAPSHOT_INTERVAL_US, SNAPSHOT_INTERVAL_PER_SLOT_US = (
    10_000,
    50,
)  # sums are made anew after so long, and so long a slot; between, all get the same
SILENCE_TIMEOUT_US = 10_000_000  # for so long one that says nothing is counted
PARTITION_TIMEOUT_US = 900_000_000  # and for so long when it is a cut
HOP = 1_000_000  # added to each silence that is told on; more than a datagram is under way
LOST_AT_ONCE = 1 / 3  # more than that of all, or of one aggregator's, silent together: a cut and not so many deaths
LEAST_LOST = 3  # of one aggregator's, who may be few
SLOT_IDLE_US = 30_000_000  # a slot where nobody had work for so long may get another engine
MEMBER_LIST_INTERVAL_US, ROSTER_NEWS, SWEEP_EVERY = 2_000_000, 250_000, 1_000_000  # at the most, when it changed
SETTLED = 10_000_000  # after a start: whoever is there has reported by then, backoff and all
REMEMBERED = 32  # answers, and sums sent to another aggregator, whose times are kept
FORGOTTEN = 60_000_000  # a late word of one that left does not bring it back
UNFINISHED = 3  # messages of one sender whose parts are waited for

Stay = tuple[int, int]  # incarnation, attach: the larger is the newer
F = TypeVar("F", Report, PartialSum)


@dataclass(slots=True)
class _Known:
    """One that shares the work."""

    stay: Stay
    heard_at: int
    via: str  # the aggregator by which it was heard last
    left: bool = False
    cut: bool = False


@dataclass(slots=True)
class _Caller:
    """A dispatcher that reports here, whether counted or not."""

    incarnation: int
    heard_at: int = 0
    answered: OrderedDict[int, int] = field(default_factory=OrderedDict)  # report: when its answer was sent
    number: int = -1  # of the newest report that came whole
    parts: dict[int, dict[int, Report]] = field(default_factory=dict)  # of reports not yet whole


@dataclass(slots=True)
class _Member:
    """One whose work is taken here: codes by slot, in the totals while `lease` runs (-1: they are not)."""

    stay: Stay
    counts_from: int
    lease: int = -1
    number: int = -1  # of the report that is in the totals
    loads: bytes = b""
    waits: bytes = b""


@dataclass(slots=True)
class _Peer:
    """Another aggregator: its table, its sums by my slots, and how far it has my table."""

    incarnation: int = -1
    heard_at: int = -1
    version: int = 0
    engines: list[int] = field(default_factory=list)  # by its slots; -1: not known yet
    sent: OrderedDict[int, int] = field(default_factory=OrderedDict)  # sequence of a Part's first frame: when
    echo: int = -1  # the newest of its own that came
    parts: dict[int, dict[int, PartialSum]] = field(default_factory=dict)
    base: int = -1  # the newest that was taken
    lease: int = -1
    heard: int = 0
    loads: list[float] = field(default_factory=list)
    waits: list[float] = field(default_factory=list)
    known_incarnation: int = -1
    known_version: int = 0


@dataclass(slots=True)
class _Snapshot:
    at: int
    heard: int
    included: dict[str, tuple[int, int]]  # incarnation, number of the report
    chunks: list[tuple[int, int, bytes, bytes]]  # first, slots, loads, waits


class Aggregator:
    """`started` must grow with each start of the same name: the time of the start does."""

    def __init__(self, me: str, peers: Iterable[str], started: int, rng: random.Random) -> None:
        self.name, self.incarnation, self.rng, self._started = me, started, rng, started
        self.peers = {name: _Peer() for name in peers if name != me}
        self.members: dict[str, _Member] = {}
        self.known: dict[str, _Known] = {}
        self._callers: dict[str, _Caller] = {}
        self._window, self._sequence = ReplayWindow(), 0
        # The table: the engine of each slot and the version at which it got it; slots in order of these versions.
        self._engines: list[int] = []
        self._slot_of: dict[int, int] = {}
        self._since: list[int] = []
        self._log: list[tuple[int, int]] = []
        self.version = self.reused = 0
        self._used_at: list[int] = []
        self._free: list[int] = []
        self._loads: list[float] = []
        self._waits: list[float] = []
        self._snapshot: _Snapshot | None = None
        self._roster_told: frozenset[tuple[str, Stay, bool]] = frozenset()
        self._beat_at = self._roster_due = self._sweep_due = started

    # What comes in.

    def receive(self, now: int, frame: AggregationMessage) -> list[AggregationMessage]:
        """An authentic frame, whenever it comes and however often. The answers to it."""
        if isinstance(frame, Report | Hello):
            if frame.sender in self.peers or frame.sender == self.name:
                return []
            if (superseded := self._superseded(now, frame)) is not None:
                return superseded
        elif not (isinstance(frame, PartialSum | MemberList) and frame.sender in self.peers):
            return []
        if not self._window.first_time(frame.sender, frame.incarnation, frame.sequence):
            return []
        if isinstance(frame, Hello):
            return [HelloAck(*self._head(frame.sender), frame.number)]
        if isinstance(frame, Report):
            return self._report(now, frame)
        peer = self.peers[frame.sender]
        if frame.incarnation > peer.incarnation:
            self.peers[frame.sender] = peer = _Peer(frame.incarnation)
            self._roster_due = now
        peer.heard_at = now
        if isinstance(frame, PartialSum):
            self._part(now, peer, frame)
        elif isinstance(frame, MemberList):
            self._roster(now, frame)
        return []

    def _head(self, to: str) -> tuple[str, str, int, int]:
        self._sequence += 1
        return self.name, to, self.incarnation, self._sequence

    def _superseded(self, now: int, frame: Report | Hello) -> list[AggregationMessage] | None:
        """What to say when a newer incarnation of the sender's name is known; None: none is."""
        known, caller = self.known.get(frame.sender), self._callers.get(frame.sender)
        # What another aggregator tells of it comes each 2 s, if it comes.
        newest, until = max(
            (known.stay[0], known.heard_at + (LEASE_US if known.via == self.name else SILENCE_TIMEOUT_US))
            if known
            else (-1, 0),
            (caller.incarnation, caller.heard_at + LEASE_US) if caller else (-1, 0),
        )
        if newest <= frame.incarnation:
            return None
        if now < until:
            return []  # Danger: told while the newer one runs, two of one name would outbid each other for ever.
        if isinstance(frame, Hello):
            # Danger: unanswered, one whose clock went back would never come home. It changes nothing here.
            return [HelloAck(*self._head(frame.sender), frame.number)]
        return [] if frame.part or frame.leaving else [Superseded(*self._head(frame.sender), newest)]

    def _report(self, now: int, r: Report) -> list[AggregationMessage]:
        caller, stay = self._callers.get(r.sender), (r.incarnation, r.attach)
        if caller is None or caller.incarnation != r.incarnation:
            caller = self._callers[r.sender] = _Caller(r.incarnation)
        caller.heard_at = now
        if r.leaving:
            self._know(now, r.sender, _Known(stay, now, self.name, left=True))
            return []
        # Danger: what an answer did not call for may have waited in a socket for any time, or be somebody's replay.
        sent_at = caller.answered.get(r.echo) if r.known_incarnation == self.incarnation else None
        fresh = sent_at is not None and now - sent_at < LEASE_US
        if fresh:
            self._attend(now, r, stay)
        whole = _whole(caller.parts, r.number, r)
        if whole and r.number > caller.number:
            caller.number = r.number
            member = self.members.get(r.sender)
            if fresh and sent_at is not None and member and member.stay == stay and now >= member.counts_from:
                self._apply(now, member, whole, sent_at + LEASE_US)
        if r.part:
            return []
        _remember(caller.answered, r.number, now)
        return self._answer(now, r)

    def _attend(self, now: int, r: Report, stay: Stay) -> None:
        """A sign of life of one that is here."""
        if not self._know(now, r.sender, _Known(stay, now, self.name)):
            return
        member = self.members.get(r.sender)
        if member and member.stay == stay:
            return
        # While its work is held here by a lease, nobody else has begun to count it.
        held = member is not None and member.lease >= now
        if member is None or not held:
            quiet = max(0, r.quiet_ms) * 1000
            member = self.members[r.sender] = _Member(stay, now + max(0, COMBINED_LEASE_US - quiet))
        elif member.stay[0] != stay[0]:
            self._withdraw(member)
            member = self.members[r.sender] = _Member(stay, now)
        member.stay = stay

    def _know(self, now: int, name: str, news: _Known) -> bool:
        """False: something newer is known of it."""
        known = self.known.get(name)
        if known and known.stay > news.stay:
            return False
        if known and known.stay == news.stay:
            if known.left:
                return False
            if news.heard_at > known.heard_at:
                known.heard_at, known.via, known.cut = news.heard_at, news.via, False
            known.left, known.cut = news.left, known.cut or news.cut
        else:
            self.known[name] = news
        member = self.members.get(name)
        # Danger: it is elsewhere, and counted there as soon as its lease here is known to be over.
        if member and (news.left or (news.via != self.name and member.stay < news.stay)):
            self._withdraw(member)
            del self.members[name]
        return True

    # Work.

    def _apply(self, now: int, member: _Member, whole: list[Report], lease: int) -> None:
        loads, waits = bytearray(len(self._engines)), bytearray(len(self._engines))
        for r in whole:
            if r.known_incarnation == self.incarnation:
                end = min(r.first_slot + r.slot_count, len(self._engines))
                loads[r.first_slot : end] = unpack(r.loads, r.slot_count)[: max(0, end - r.first_slot)]
                waits[r.first_slot : end] = unpack(r.waits, r.slot_count)[: max(0, end - r.first_slot)]
                if r.known_version < self.reused:
                    # Danger: told of an engine that had the slot before, it would be another one's work.
                    for slot in range(r.first_slot, end):
                        if self._since[slot] > r.known_version:
                            loads[slot] = waits[slot] = 0
        for r in whole:
            for engine, waiting, load in r.unassigned:
                at = self._slot(now, engine)
                if at is None:
                    continue
                if at >= len(loads):
                    loads.extend(bytes(at + 1 - len(loads)))
                    waits.extend(bytes(at + 1 - len(waits)))
                if not loads[at] and not waits[at]:
                    loads[at], waits[at] = load, waiting
        new_loads, new_waits = bytes(loads), bytes(waits)
        _shift(self._loads, member.loads, new_loads)
        _shift(self._waits, member.waits, new_waits)
        member.loads, member.waits, member.number, member.lease = new_loads, new_waits, whole[0].number, lease

    def _withdraw(self, member: _Member) -> None:
        if member.lease >= 0:
            _shift(self._loads, member.loads, b"")
            _shift(self._waits, member.waits, b"")
            member.loads = member.waits = b""
            member.lease = member.number = -1

    def _expire(self, now: int) -> None:
        for member in self.members.values():
            if 0 <= member.lease <= now:
                self._withdraw(member)

    def _slot(self, now: int, engine: int) -> int | None:
        """The engine's slot, its first one if need be; None: all are taken."""
        if engine in self._slot_of:
            return self._slot_of[engine]
        while self._free and not self._idle(now, self._free[-1]):
            self._free.pop()
        if not self._free and len(self._engines) >= MAX_SLOTS:
            return None
        self.version += 1
        new = self._free.pop() if self._free else len(self._engines)
        if new == len(self._engines):
            self._engines.append(engine)
            self._since.append(self.version)
            self._used_at.append(now)
            self._loads.append(0.0)
            self._waits.append(0.0)
        else:
            del self._slot_of[self._engines[new]]
            del self._log[bisect_right(self._log, (self._since[new], new)) - 1]
            self._engines[new], self._since[new], self._used_at[new] = engine, self.version, now
            self.reused = self.version
        self._slot_of[engine] = new
        self._log.append((self.version, new))
        return new

    def _idle(self, now: int, slot: int) -> bool:
        return (
            now - self._used_at[slot] >= SLOT_IDLE_US
            and not self._loads[slot]
            and not self._waits[slot]
            and not any(slot < len(p.loads) and (p.loads[slot] or p.waits[slot]) for p in self.peers.values())
        )

    def _entries(self, known_version: int) -> tuple[TableEntry, ...]:
        """What a table of that version lacks, oldest first, as much as a frame holds."""
        if known_version >= self.version:
            return ()
        at = bisect_right(self._log, (known_version, MAX_SLOTS))
        return tuple((slot, self._engines[slot], version) for version, slot in self._log[at : at + MAX_TABLE_ENTRIES])

    def _snap(self, now: int) -> _Snapshot:
        if self._snapshot and now - self._snapshot.at < max(
            SNAPSHOT_INTERVAL_US, SNAPSHOT_INTERVAL_PER_SLOT_US * len(self._engines)
        ):
            return self._snapshot
        self._expire(now)
        heard, loads, waits = 0, list(self._loads), list(self._waits)
        for peer in self.peers.values():
            if peer.lease > now:
                heard += peer.heard
                loads[: len(peer.loads)] = map(float.__add__, loads, peer.loads)
                waits[: len(peer.waits)] = map(float.__add__, waits, peer.waits)
        included = {name: (m.stay[0], m.number) for name, m in self.members.items() if m.lease >= 0}
        self._snapshot = _Snapshot(now, heard + len(included), included, _chunks(loads, waits))
        return self._snapshot

    def _answer(self, now: int, r: Report) -> list[AggregationMessage]:
        snap = self._snap(now)
        known_version = r.known_version if r.known_incarnation == self.incarnation else 0
        entries = self._entries(known_version)
        chunks = snap.chunks
        if len(entries) == MAX_TABLE_ENTRIES:
            chunks = []  # it cannot tell yet whose most of them are
        if entries or not chunks:
            chunks = [(0, 0, b"\0", b"\0"), *chunks]
        incarnation, number = snap.included.get(r.sender, (-1, -1))
        included, counted, settled = number if incarnation == r.incarnation else -1, self.count(now), self._settled(now)
        return [
            Sums(
                *self._head(r.sender),
                r.number,
                included,
                snap.heard,
                counted,
                self.version,
                self.reused,
                k,
                len(chunks),
                first,
                loads,
                waits,
                () if k else entries,
                slots,
                settled,
            )
            for k, (first, slots, loads, waits) in enumerate(chunks)
        ]

    # Other aggregators.

    def _part(self, now: int, peer: _Peer, p: PartialSum) -> None:
        base = p.sequence - p.part
        if base > peer.echo:
            peer.echo = base
        if p.known_incarnation != self.incarnation:
            return  # it has not heard me since I started: it tells of its table what an earlier me lacked
        if base >= peer.base:
            peer.known_incarnation, peer.known_version = p.known_incarnation, max(peer.known_version, p.known_version)
        for slot, engine, version in p.entries:
            if version > peer.version:
                peer.engines.extend([-1] * (slot + 1 - len(peer.engines)))
                peer.engines[slot], peer.version = engine, version
        whole = _whole(peer.parts, base, p)
        sent_at = peer.sent.get(p.echo)
        if (
            not whole
            or base <= peer.base
            or sent_at is None
            or now - sent_at >= PARTIAL_SUM_LEASE_US
            or peer.version < p.reused_version
        ):
            return
        peer.base, peer.lease, peer.heard = base, sent_at + PARTIAL_SUM_LEASE_US, p.reporting
        loads, waits = [0.0] * len(self._engines), [0.0] * len(self._engines)
        for q in whole:
            codes = zip(
                peer.engines[q.first_slot :], unpack(q.loads, q.slot_count), unpack(q.waits, q.slot_count), strict=False
            )
            for engine, load, wait in codes:
                if (load or wait) and engine >= 0 and (mine := self._slot(now, engine)) is not None:
                    if mine >= len(loads):
                        loads.extend([0.0] * (mine + 1 - len(loads)))
                        waits.extend([0.0] * (mine + 1 - len(waits)))
                    loads[mine], waits[mine] = TOKENS[load], TOKENS[wait]
        peer.loads, peer.waits = loads, waits

    def _roster(self, now: int, frame: MemberList) -> None:
        for name, incarnation, attach, silent_ms in frame.members:
            left, silent = silent_ms < 0, max(0, silent_ms) * 1000
            # One that is told of though silent for longer is kept as cut off.
            cut = silent >= SILENCE_TIMEOUT_US + HOP
            if (
                name == self.name
                or name in self.peers
                or silent >= PARTITION_TIMEOUT_US
                or (silent >= SILENCE_TIMEOUT_US and not cut)
            ):
                continue
            if left and name not in self.known:
                continue  # Danger: told to and fro, it would never be forgotten
            self._know(now, name, _Known((incarnation, attach), now - silent, frame.sender, left, cut))

    # Beats.

    def tick(self, now: int) -> list[AggregationMessage]:
        """One beat: what has run out, and what the other aggregators are to know."""
        if now - self._beat_at > LATE:
            # Danger: it is I who stood still. What they had to say waits unread, and all would be held for silent.
            # Danger: who was heard since would be held for there for as long again as I stood still.
            for known in self.known.values():
                known.heard_at = min(now, known.heard_at + now - self._beat_at)
        self._beat_at = now
        self._expire(now)
        self._forget(now)
        if now >= self._sweep_due:
            self._sweep_due = now + SWEEP_EVERY
            self._sweep(now)
        chunks = _chunks(self._loads, self._waits)
        heard = sum(m.lease >= 0 for m in self.members.values())
        frames: list[AggregationMessage] = []
        for name, peer in self.peers.items():
            frames += self._parts(now, name, peer, chunks, heard)
        told = frozenset((name, k.stay, k.left) for name, k in self.known.items())
        if now >= self._roster_due or (
            told != self._roster_told and now >= self._roster_due - MEMBER_LIST_INTERVAL_US + ROSTER_NEWS
        ):
            self._roster_due, self._roster_told = now + MEMBER_LIST_INTERVAL_US, told
            for name in self.peers:
                frames += self._rosters(now, name)
        return frames

    def _parts(
        self, now: int, name: str, peer: _Peer, chunks: list[tuple[int, int, bytes, bytes]], heard: int
    ) -> list[AggregationMessage]:
        entries = self._entries(peer.known_version)
        if entries or not chunks:
            chunks = [(0, 0, b"\0", b"\0"), *chunks]
        _remember(peer.sent, self._sequence + 1, now)
        return [
            PartialSum(
                *self._head(name),
                heard,
                len(self.members),
                max(0, peer.incarnation),
                peer.version,
                self.version,
                self.reused,
                k,
                len(chunks),
                first,
                loads,
                waits,
                () if k else entries,
                slots,
                peer.echo,
            )
            for k, (first, slots, loads, waits) in enumerate(chunks)
        ]

    def _rosters(self, now: int, to: str) -> list[AggregationMessage]:
        pieces: list[list[MemberEntry]] = [[]]
        size = 0
        for name, k in self.known.items():
            silent = -1 if k.left else (max(0, now - k.heard_at) + HOP) // 1000
            size += len(name.encode()) + 22
            if size > MAX_MEMBER_LIST_BYTES and len(pieces) < MAX_PARTS:
                pieces.append([])
                size = len(name.encode()) + 22
            if size <= MAX_MEMBER_LIST_BYTES:
                pieces[-1].append((name, *k.stay, silent))
        return [MemberList(*self._head(to), n, len(pieces), tuple(piece)) for n, piece in enumerate(pieces)]

    def _forget(self, now: int) -> None:
        """Whoever has been silent for long, unless so many fell silent together that it is a cut."""
        silences = {name: now - k.heard_at for name, k in self.known.items()}
        due = [name for name, silent in silences.items() if silent >= SILENCE_TIMEOUT_US and not self.known[name].cut]
        lost = [name for name, silent in silences.items() if SILENCE_TIMEOUT_US // 2 <= silent < 2 * SILENCE_TIMEOUT_US]
        lost = [name for name in lost if not self.known[name].left]
        total = self.count(now)
        groups, lost_of = Counter(k.via for k in self.known.values()), Counter(self.known[n].via for n in lost)
        for name in due:
            k = self.known[name]
            peer = self.peers.get(k.via)
            k.cut = not k.left and (
                len(lost) > LOST_AT_ONCE * total
                or (peer is not None and now - peer.heard_at >= LEASE_US)
                or (lost_of[k.via] >= LEAST_LOST and lost_of[k.via] > LOST_AT_ONCE * groups[k.via])
            )
        for name, silent in silences.items():
            k = self.known[name]
            if silent >= (FORGOTTEN if k.left else PARTITION_TIMEOUT_US if k.cut else SILENCE_TIMEOUT_US):
                del self.known[name]
                if name in self.members:
                    self._withdraw(self.members.pop(name))

    def _sweep(self, now: int) -> None:
        """What is kept of those that are gone, and slots where nobody has work."""
        for name in [n for n, c in self._callers.items() if now - c.heard_at > FORGOTTEN and n not in self.known]:
            del self._callers[name]
        self._window.keep({*self._callers, *self.peers})
        vectors = [(self._loads, self._waits), *((p.loads, p.waits) for p in self.peers.values() if p.lease > now)]
        for loads, waits in vectors:
            for slot in compress(range(len(loads)), map(float.__add__, loads, waits)):
                self._used_at[slot] = now
        idle = [(-at, slot) for slot, at in enumerate(self._used_at) if now - at >= SLOT_IDLE_US]
        self._free = [slot for _, slot in sorted(idle)]  # the longest idle last, which is taken first

    # For others.

    def count(self, now: int) -> int:
        """Dispatchers that share the work, as far as can be told."""
        return sum(not k.left for k in self.known.values())

    def _settled(self, now: int) -> bool:
        age = now - self._started
        return age >= PARTITION_TIMEOUT_US or (age >= SETTLED and all(p.heard_at >= 0 for p in self.peers.values()))

    def figures(self, now: int) -> dict[str, Any]:
        """For operators: what is known here, and how old it is."""
        self._expire(now)
        own = sum(m.lease >= 0 for m in self.members.values())
        return {
            "name": self.name,
            "members": len(self.members),
            "heard": own + sum(p.heard for p in self.peers.values() if p.lease > now),
            "counted": self.count(now),
            "settled": self._settled(now),
            "cut": sum(k.cut for k in self.known.values()),
            "engines": len(self._engines),
            "version": self.version,
            "peers": {
                name: {
                    "age_s": (now - p.heard_at) / 1e6 if p.heard_at >= 0 else None,
                    "heard": p.heard,
                    "fresh": p.lease > now,
                }
                for name, p in self.peers.items()
            },
        }

    def reconfigure(self, peers: Iterable[str], now: int) -> None:
        """Other aggregators. What is known of those that stay, stays."""
        self.peers = {name: self.peers.get(name) or _Peer() for name in peers if name != self.name}
        self._snapshot, self._roster_due = None, now


def _whole(parts: dict[int, dict[int, F]], number: int, frame: F) -> list[F] | None:
    """The parts of one message in order once all have come; those of a few messages are waited for."""
    got = parts.setdefault(number, {})
    got[frame.part] = frame
    if len(got) == frame.parts:
        for old in [n for n in parts if n <= number]:
            del parts[old]
        return [got[k] for k in sorted(got)]
    while len(parts) > UNFINISHED:
        del parts[min(parts)]
    return None


def _remember(times: OrderedDict[int, int], number: int, now: int) -> None:
    times[number] = now
    while len(times) > REMEMBERED:
        times.popitem(last=False)


def _shift(totals: list[float], old: bytes, new: bytes) -> None:
    """What was `old` in the totals is `new` from now on. Only what differs is walked through."""
    n = max(len(old), len(new))
    old, new = old.ljust(n, b"\0"), new.ljust(n, b"\0")
    differs = (int.from_bytes(old, "little") ^ int.from_bytes(new, "little")).to_bytes(n, "little")
    for slot in compress(range(n), differs):
        totals[slot] += TOKENS[new[slot]] - TOKENS[old[slot]]


def _chunks(loads: list[float], waits: list[float]) -> list[tuple[int, int, bytes, bytes]]:
    """The gauges of all slots, in as few parts as they may be: first, slots, loads, waits."""
    coded, waiting, n = bytes(map(encode, loads)), bytes(map(encode, waits)), len(loads)
    whole = pack(coded), pack(waiting)
    if n and len(whole[0]) + len(whole[1]) <= MAX_PACKED_GAUGE_BYTES:
        return [(0, n, *whole)]
    return [
        (
            first,
            min(SLOTS_PER_PART, n - first),
            pack(coded[first : first + SLOTS_PER_PART]),
            pack(waiting[first : first + SLOTS_PER_PART]),
        )
        for first in range(0, n, SLOTS_PER_PART)
    ]
