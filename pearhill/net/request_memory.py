"""Bounds the memory that the requests of all clients hold until they are answered.

Each connection may always hold a guaranteed share. What connections hold beyond it comes from a limited rest. Once that
is used up, the newest request that has not begun is discarded at the connection that holds most: Longest Queue Drop, of
Suter, Lakshman, Stiliadis, Choudhury, "Buffer Management Schemes for Supporting TCP in Gigabit Routers with Per-Flow
Queueing" (1999). So a few clients that send much at once cannot displace the requests of all others.
"""

from __future__ import annotations

from typing import Protocol

DEFAULT_REQUEST_MEMORY_BYTES = 256 << 20
MEMORY = "memory"  # reason code of discarded requests
TOO_MUCH_WAITING = "too much waits here: trying again is harmless"  # what their clients are told
GUARANTEED_FRACTION = 0.5  # of the limit, divided among the connections


class RequestHolder(Protocol):
    """A connection whose requests are counted. It is compared by identity."""

    @property
    def held_bytes(self) -> int:
        """The memory of its requests, including those that are incomplete or being answered."""

    @property
    def discardable_bytes(self) -> int:
        """The memory of those that have not begun: `discard_newest` can free it."""

    def discard_newest(self) -> None:
        """Discard the content of the last request that has not begun, which is answered with a rejection."""


class RequestMemory:
    """Counts the memory of requests. `limit_bytes` is shared by up to `max_connections` connections.

    After each `reclaim`, `used_bytes` is within the limit: requests that began beyond the guaranteed share of their
    connection did so while all requests together used no more than the rest.
    """

    def __init__(self, limit_bytes: int, max_connections: int) -> None:
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections
        self.used_bytes = 0
        self._held: dict[RequestHolder, int] = {}

    def set_limits(self, limit_bytes: int, max_connections: int) -> None:
        """Change the limits. Requests that exceed a lower limit are discarded at the next `reclaim`."""
        self.limit_bytes = limit_bytes
        self.max_connections = max_connections

    @property
    def guaranteed_bytes(self) -> int:
        """How much each connection may hold in any case."""
        return int(self.limit_bytes * GUARANTEED_FRACTION) // max(1, self.max_connections, len(self._held))

    def update(self, holder: RequestHolder) -> None:
        """Count what a connection holds now."""
        held = holder.held_bytes
        self.used_bytes += held - self._held.pop(holder, 0)
        if held:
            self._held[holder] = held

    def reclaim(self) -> None:
        """Discard requests until the limit is kept, or until nothing can be discarded beyond the guaranteed shares."""
        while self.used_bytes > self.limit_bytes * (1 - GUARANTEED_FRACTION):
            holder = self._largest_discardable()
            if holder is None:
                return
            holder.discard_newest()
            self.update(holder)

    def _largest_discardable(self) -> RequestHolder | None:
        """Return the connection that holds most, of those with a discardable request beyond the guaranteed share."""
        guaranteed = self.guaranteed_bytes
        largest = None
        largest_bytes = guaranteed
        for holder, held in self._held.items():
            if held > largest_bytes and holder.discardable_bytes:
                largest = holder
                largest_bytes = held
        return largest
