"""A dispatcher's copy of an aggregator's slot table."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pearhill.membership.aggregation_messages import TableEntry

UNKNOWN_REPLICA = -1


@dataclass(slots=True)
class KnownTable:
    """The slot table of one start of an aggregator, as far as this dispatcher has received it."""

    incarnation: int = 0
    version: int = 0  # up to which the table has been received
    slot_of: dict[int, int] = field(default_factory=dict)
    replicas: list[int] = field(default_factory=list)  # by slot
    assigned_version: list[int] = field(default_factory=list)  # by slot: table version that assigned it
    latest_version: int = 0  # the aggregator's current version, as last received
    has_been_complete: bool = False  # whether the table has been received up to `latest_version` at least once

    def update(self, entries: Iterable[TableEntry]) -> None:
        """Adds the entries that are new. Entries arrive in the order of their versions."""
        for slot, replica, version in entries:
            if version > self.version:
                self._assign(slot, replica, version)
        self.has_been_complete = self.has_been_complete or self.version >= self.latest_version

    def _assign(self, slot: int, replica: int, version: int) -> None:
        missing = slot + 1 - len(self.replicas)
        self.replicas.extend([UNKNOWN_REPLICA] * missing)
        self.assigned_version.extend([0] * missing)
        replaced = self.replicas[slot]
        if self.slot_of.get(replaced) == slot:
            del self.slot_of[replaced]
        self.replicas[slot] = replica
        self.assigned_version[slot] = version
        self.version = version
        self.slot_of[replica] = slot
