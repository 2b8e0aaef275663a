"""A dispatcher's copy of an aggregator's slot table."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from pearhill.membership.aggregation_messages import TableEntry

UNKNOWN_REPLICA = -1


@dataclass(slots=True)
class KnownTable:
    """The table of one start of an aggregator, as far as it is known here."""

    incarnation: int = 0
    version: int = 0  # up to which it is known
    slot_of: dict[int, int] = field(default_factory=dict)
    replicas: list[int] = field(default_factory=list)  # by slot
    assigned_version: list[int] = field(default_factory=list)  # by slot: at which it got its replica
    latest: int = 0  # the aggregator's own version, as last received
    was_complete: bool = False  # it has been known up to `latest` once

    def update(self, entries: Iterable[TableEntry]) -> None:
        """Take the entries that are not known yet; they come in order of versions."""
        for slot, replica, version in entries:
            if version > self.version:
                self._assign(slot, replica, version)
        self.was_complete = self.was_complete or self.version >= self.latest

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
