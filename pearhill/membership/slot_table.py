"""An aggregator's table of replicas.

The table replaces 64-bit ids by small slot numbers. Its version shows how much of it another process has received.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable, Iterable
from itertools import compress

from pearhill.membership.aggregation_messages import MAX_SLOTS, MAX_TABLE_ENTRIES, TableEntry
from pearhill.membership.slot_totals import SlotTotals

SLOT_IDLE_US = 30_000_000  # a slot without work for this long may be reassigned to another replica


class SlotTable:
    """Assigns slots to replicas. `totals` grows with the table; `has_work` returns whether a slot has any work."""

    def __init__(self, totals: SlotTotals, has_work: Callable[[int], bool]) -> None:
        self.replicas: list[int] = []  # by slot
        self.version = 0
        self.reused_version = 0  # at which a slot was last reassigned to another replica
        self._totals = totals
        self._has_work = has_work
        self._slot_of: dict[int, int] = {}
        self._assigned_version: list[int] = []  # by slot: table version that assigned it
        self._assignments: list[tuple[int, int]] = []  # version and slot, in order of versions
        self._used_at: list[int] = []  # by slot
        self._idle_slots: list[int] = []  # as of the last sweep, the longest idle last

    def __len__(self) -> int:
        return len(self.replicas)

    def slot_for(self, now: int, replica: int) -> int | None:
        """Returns the replica's slot, assigning one if it has none, or None if all slots are in use."""
        if replica in self._slot_of:
            return self._slot_of[replica]
        while self._idle_slots and not self._is_idle(now, self._idle_slots[-1]):
            self._idle_slots.pop()
        if self._idle_slots:
            slot = self._idle_slots.pop()
            self._reassign(now, slot, replica)
        elif len(self.replicas) < MAX_SLOTS:
            slot = len(self.replicas)
            self._append(now, replica)
        else:
            return None
        self._slot_of[replica] = slot
        self._assignments.append((self.version, slot))
        return slot

    def _append(self, now: int, replica: int) -> None:
        self.version += 1
        self.replicas.append(replica)
        self._assigned_version.append(self.version)
        self._used_at.append(now)
        self._totals.append_slot()

    def _reassign(self, now: int, slot: int, replica: int) -> None:
        self.version += 1
        del self._slot_of[self.replicas[slot]]
        del self._assignments[bisect_right(self._assignments, (self._assigned_version[slot], slot)) - 1]
        self.replicas[slot] = replica
        self._assigned_version[slot] = self.version
        self._used_at[slot] = now
        self.reused_version = self.version

    def _is_idle(self, now: int, slot: int) -> bool:
        return now - self._used_at[slot] >= SLOT_IDLE_US and not self._has_work(slot)

    def changed_since(self, slot: int, version: int) -> bool:
        """Returns whether the slot was assigned to its replica after that version of the table."""
        return self._assigned_version[slot] > version

    def entries_after(self, known_version: int) -> tuple[TableEntry, ...]:
        """Returns the entries that a table of that version lacks, oldest first, at most MAX_TABLE_ENTRIES."""
        if known_version >= self.version:
            return ()
        start = bisect_right(self._assignments, (known_version, MAX_SLOTS))
        assignments = self._assignments[start : start + MAX_TABLE_ENTRIES]
        return tuple((slot, self.replicas[slot], version) for version, slot in assignments)

    def sweep(self, now: int, vectors: Iterable[tuple[list[float], list[float]]]) -> None:
        """Finds the idle slots. `vectors` are loads and waits, in tokens by slot, of this and each other aggregator."""
        for loads, waits in vectors:
            for slot in compress(range(len(loads)), map(float.__add__, loads, waits)):
                self._used_at[slot] = now
        idle = [(-used_at, slot) for slot, used_at in enumerate(self._used_at) if now - used_at >= SLOT_IDLE_US]
        self._idle_slots = [slot for _, slot in sorted(idle)]
