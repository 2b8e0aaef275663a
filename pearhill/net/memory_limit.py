"""Bounds the memory that all connections hold together, for requests or for responses.

Each connection may always hold a guaranteed share. What connections hold beyond it comes from a limited rest. Once that
is used up, the connection that holds most has to discard something: Longest Queue Drop, of Suter, Lakshman, Stiliadis,
Choudhury, "Buffer Management Schemes for Supporting TCP in Gigabit Routers with Per-Flow Queueing" (1999). So a few
peers that send much at once cannot displace what all others send.
"""

from __future__ import annotations

from typing import Protocol

DEFAULT_LIMIT_BYTES = 256 << 20
MEMORY = "memory"  # reason code of what was discarded
GUARANTEED_FRACTION = 0.5  # of the limit, divided among the connections


class MemoryHolder(Protocol):
    """A connection whose memory is counted. It is compared by identity."""

    @property
    def held_bytes(self) -> int:
        """The memory that it holds."""

    @property
    def discardable_bytes(self) -> int:
        """How much of it `discard_newest` can free, if called often enough."""

    def discard_newest(self) -> None:
        """Discard the newest of what can be discarded."""


class MemoryLimit:
    """Counts the memory that connections hold. `limit_bytes` is shared by up to `max_connections` connections.

    After each `reclaim`, `used_bytes` is within the limit: what cannot be discarded was within it when it became so.
    """

    def __init__(self, limit_bytes: int, max_connections: int) -> None:
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections
        self.used_bytes = 0
        self._held: dict[MemoryHolder, int] = {}

    def set_limits(self, limit_bytes: int, max_connections: int) -> None:
        """Change the limits. What exceeds a lower limit is discarded at the next `reclaim`."""
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections

    @property
    def guaranteed_bytes(self) -> int:
        """How much each connection may hold in any case."""
        return int(self.limit_bytes * GUARANTEED_FRACTION) // max(1, self.max_connections, len(self._held))

    def update(self, holder: MemoryHolder) -> None:
        """Count what a connection holds now."""
        held = holder.held_bytes
        self.used_bytes += held - self._held.pop(holder, 0)
        if held:
            self._held[holder] = held

    def reclaim(self) -> None:
        """Have connections discard until the limit is kept, or until none holds more than its guaranteed share of what
        can be discarded."""
        while self.used_bytes > self.limit_bytes * (1 - GUARANTEED_FRACTION):
            holder = self._largest_discardable()
            if holder is None:
                return
            holder.discard_newest()
            self.update(holder)

    def _largest_discardable(self) -> MemoryHolder | None:
        """Return the connection that holds most, of those that can discard and hold more than the guaranteed share."""
        largest = None
        largest_bytes = self.guaranteed_bytes
        for holder, held in self._held.items():
            if held > largest_bytes and holder.discardable_bytes:
                largest = holder
                largest_bytes = held
        return largest
