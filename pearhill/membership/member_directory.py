"""The dispatchers that share the work, merged from the information of all aggregators.

Aggregators send one another all members that they count, each with its incarnation and the time for which it has been
silent. The newer incarnation wins, then the more recent sign of life. If many members fall silent together, a network
partition is assumed rather than as many crashes, and these members stay counted for longer. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from pearhill.membership.aggregation_messages import MAX_MEMBER_LIST_BYTES, MAX_PARTS, MemberEntry

SILENCE_TIMEOUT_US = 10_000_000  # how long a silent member stays counted
PARTITION_TIMEOUT_US = 900_000_000  # how long a member behind a network partition stays counted
LEFT_TIMEOUT_US = 60_000_000  # how long a member that left is retained, so that a late message does not re-add it
HOP_ALLOWANCE_US = 1_000_000  # added to a silence that is forwarded; longer than a datagram is in transit
PARTITION_SHARE = 1 / 3  # if more of all, or of one aggregator's, members are silent, a partition is assumed
MIN_SILENT_FOR_PARTITION = 3  # of one aggregator's members; with few members, fewer silent ones prove no partition
ENTRY_BYTES = 22  # largest size of a member list's entry, without the name


class Incarnation(NamedTuple):
    """One start of a dispatcher and one of its attachments to an aggregator; the larger value is the newer."""

    started: int  # identifies the start of the process
    attachment: int  # counts the attachments to an aggregator since then


@dataclass(slots=True)
class MemberRecord:
    """One dispatcher that shares the work. `via` is the aggregator through which it was last seen."""

    incarnation: Incarnation
    last_seen: int
    via: str
    left: bool = False
    partitioned: bool = False


class MemberDirectory:
    """All known members by name."""

    def __init__(self) -> None:
        self.records: dict[str, MemberRecord] = {}

    def merge(self, name: str, update: MemberRecord) -> bool:
        """Merges an update about a member. Returns False if a newer state of the member is known."""
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

    def may_merge(self, name: str, silence: int, left: bool) -> bool:
        """Returns whether to merge an entry of another aggregator's member list."""
        if silence >= PARTITION_TIMEOUT_US:
            return False
        if silence >= SILENCE_TIMEOUT_US and not is_partitioned_silence(silence):
            return False
        # Aggregators would otherwise forward a member that left back and forth and never remove it.
        return not left or name in self.records

    def count(self) -> int:
        """Returns how many dispatchers share the work."""
        return sum(not record.left for record in self.records.values())

    def count_partitioned(self) -> int:
        """Returns how many of them are assumed to be behind a network partition."""
        return sum(record.partitioned for record in self.records.values())

    def summary(self) -> frozenset[tuple[str, Incarnation, bool]]:
        """Returns the state that other aggregators must receive soon after it changes."""
        return frozenset((name, record.incarnation, record.left) for name, record in self.records.items())

    def discount_stall(self, now: int, stalled: int) -> None:
        """Subtracts the time for which this process was stalled from all silences.

        Messages that arrived during the stall are still unread, so all members would count as silent otherwise. The
        last sign of life is never set later than `now`: a member whose message was read after the stall would
        otherwise stay counted for the length of the stall longer.
        """
        for record in self.records.values():
            record.last_seen = min(now, record.last_seen + stalled)

    def remove_silent(self, now: int, is_silent: Callable[[str], bool]) -> list[str]:
        """Removes members that have been silent for too long and returns their names.

        `is_silent` takes another aggregator's name and returns whether nothing is received from that aggregator.
        """
        silences = {name: now - record.last_seen for name, record in self.records.items()}
        self._mark_partitioned(silences, is_silent)
        removed = [name for name, silence in silences.items() if silence >= _timeout(self.records[name])]
        for name in removed:
            del self.records[name]
        return removed

    def _mark_partitioned(self, silences: dict[str, int], is_silent: Callable[[str], bool]) -> None:
        newly_silent = [
            record
            for name, record in self.records.items()
            if SILENCE_TIMEOUT_US // 2 <= silences[name] < 2 * SILENCE_TIMEOUT_US and not record.left
        ]
        is_partition = len(newly_silent) > PARTITION_SHARE * self.count()
        members_via = Counter(record.via for record in self.records.values())
        newly_silent_via = Counter(record.via for record in newly_silent)
        for name, record in self.records.items():
            if silences[name] < SILENCE_TIMEOUT_US or record.partitioned or record.left:
                continue
            newly_silent_here = newly_silent_via[record.via]
            record.partitioned = (
                is_partition
                or is_silent(record.via)
                or (
                    newly_silent_here >= MIN_SILENT_FOR_PARTITION
                    and newly_silent_here > PARTITION_SHARE * members_via[record.via]
                )
            )

    def entries(self, now: int) -> list[list[MemberEntry]]:
        """Returns all members for another aggregator, in one list per datagram."""
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


def is_partitioned_silence(silence: int) -> bool:
    """Returns whether the silence is that of a member assumed behind a partition; only those are listed for so long."""
    return silence >= SILENCE_TIMEOUT_US + HOP_ALLOWANCE_US


def _timeout(record: MemberRecord) -> int:
    if record.left:
        return LEFT_TIMEOUT_US
    if record.partitioned:
        return PARTITION_TIMEOUT_US
    return SILENCE_TIMEOUT_US


def _silence_ms(now: int, record: MemberRecord) -> int:
    """Returns the silence as a member list contains it, or -1 if the member left."""
    if record.left:
        return -1
    return (max(0, now - record.last_seen) + HOP_ALLOWANCE_US) // 1000
