"""Which dispatchers share the work, as far as the aggregators know together.

Aggregators send one another all members they count, each with its incarnation and how long it has been silent; the
newer incarnation and the newer sign of life win. Many members that fall silent together are taken for a network
partition, not for so many crashes, and stay counted for longer. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from pearhill.membership.aggregation_messages import MAX_MEMBER_LIST_BYTES, MAX_PARTS, MemberEntry

SILENCE_TIMEOUT_US = 10_000_000  # a silent member is counted for so long
PARTITION_TIMEOUT_US = 900_000_000  # and for so long when it is behind a network partition
LEFT_TIMEOUT_US = 60_000_000  # one that left is remembered: a late message of it does not bring it back
HOP_ALLOWANCE_US = 1_000_000  # added to a silence that is passed on; longer than a datagram is under way
PARTITION_SHARE = 1 / 3  # more than that of all, or of one aggregator's, silent together: a partition
MIN_LOST_FOR_PARTITION = 3  # of one aggregator's members, who may be few
ENTRY_BYTES = 22  # of a member list's entry at most, beside the name


class Incarnation(NamedTuple):
    """One start of a dispatcher and one attachment to an aggregator; the larger is the newer."""

    started: int  # which start of the process
    attachment: int  # which change of its aggregator since then


@dataclass(slots=True)
class MemberRecord:
    """One dispatcher that shares the work. `via`: the aggregator by which it was seen last."""

    incarnation: Incarnation
    last_seen: int
    via: str
    left: bool = False
    partitioned: bool = False


class MemberDirectory:
    """All members that are known, by name."""

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}

    def learn(self, name: str, update: MemberRecord) -> bool:
        """Merge what came of a member. False: something newer is known of it."""
        known = self.records.get(name)
        if known is None or known.incarnation < update.incarnation:
            self.records[name] = update
            return True
        if known.incarnation > update.incarnation or known.left:
            return False
        if update.last_seen > known.last_seen:
            known.last_seen = update.last_seen
            known.via = update.via
            known.partitioned = False
        known.left = update.left
        known.partitioned = known.partitioned or update.partitioned
        return True

    def learn_allowed(self, name: str, silence: int, left: bool) -> bool:
        """Whether an entry of another aggregator's member list is worth merging."""
        if silence >= PARTITION_TIMEOUT_US:
            return False
        if silence >= SILENCE_TIMEOUT_US and not was_passed_on_as_partitioned(silence):
            return False
        # Passed to and fro between aggregators, one that left would never be forgotten.
        return not left or name in self.records

    def count(self) -> int:
        """Dispatchers that share the work."""
        return sum(not record.left for record in self.records.values())

    def count_partitioned(self) -> int:
        """Those of them that are taken to be behind a network partition."""
        return sum(record.partitioned for record in self.records.values())

    def summary(self) -> frozenset[tuple[str, Incarnation, bool]]:
        """What other aggregators have to be sent soon when it changes."""
        return frozenset((name, record.incarnation, record.left) for name, record in self.records.items())

    def extend_silences(self, now: int, stalled: int) -> None:
        """Excuse all silences by the time for which this process stood still.

        What the members sent meanwhile waits unread: without this, all would be taken for silent. None is seen later
        than now, or one seen since would be held for present for as long again.
        """
        for record in self.records.values():
            record.last_seen = min(now, record.last_seen + stalled)

    def forget_silent(self, now: int, is_silent: Callable[[str], bool]) -> list[str]:
        """Remove members that have been silent for too long; their names. `is_silent` takes
        another aggregator's name and returns whether nothing is received from it."""
        silences = {name: now - record.last_seen for name, record in self.records.items()}
        self._mark_partitioned(silences, is_silent)
        forgotten = [name for name, silence in silences.items() if silence >= _timeout(self.records[name])]
        for name in forgotten:
            del self.records[name]
        return forgotten

    def _mark_partitioned(self, silences: dict[str, int], is_silent: Callable[[str], bool]) -> None:
        lost = [
            record
            for name, record in self.records.items()
            if SILENCE_TIMEOUT_US // 2 <= silences[name] < 2 * SILENCE_TIMEOUT_US and not record.left
        ]
        is_partition = len(lost) > PARTITION_SHARE * self.count()
        members_via = Counter(record.via for record in self.records.values())
        lost_via = Counter(record.via for record in lost)
        for name, record in self.records.items():
            if silences[name] < SILENCE_TIMEOUT_US or record.partitioned or record.left:
                continue
            lost_here = lost_via[record.via]
            record.partitioned = (
                is_partition
                or is_silent(record.via)
                or (lost_here >= MIN_LOST_FOR_PARTITION and lost_here > PARTITION_SHARE * members_via[record.via])
            )

    def entries(self, now: int) -> list[list[MemberEntry]]:
        """All members for another aggregator, in as many lists as datagrams are needed."""
        parts: list[list[MemberEntry]] = [[]]
        size = 0
        for name, record in self.records.items():
            entry_size = len(name.encode()) + ENTRY_BYTES
            size += entry_size
            if size > MAX_MEMBER_LIST_BYTES and len(parts) < MAX_PARTS:
                parts.append([])
                size = entry_size
            if size <= MAX_MEMBER_LIST_BYTES:
                parts[-1].append((name, *record.incarnation, _silence_ms(now, record)))
        return parts


def was_passed_on_as_partitioned(silence: int) -> bool:
    """Only a member that is taken to be behind a partition is passed on with so long a silence."""
    return silence >= SILENCE_TIMEOUT_US + HOP_ALLOWANCE_US


def _timeout(record: MemberRecord) -> int:
    if record.left:
        return LEFT_TIMEOUT_US
    if record.partitioned:
        return PARTITION_TIMEOUT_US
    return SILENCE_TIMEOUT_US


def _silence_ms(now: int, record: MemberRecord) -> int:
    """How long it has been silent, as in a member list; -1: it left."""
    if record.left:
        return -1
    return (max(0, now - record.last_seen) + HOP_ALLOWANCE_US) // 1000
