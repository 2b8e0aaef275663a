"""What one process may use: descriptors for clients, replicas, operators and upkeep, and sizes of requests."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.http1.server import MAX_BODY
from pearhill.net.admin_listener import MAX_ADMIN_CONNECTIONS

RESERVED_DESCRIPTORS = 48  # for the log, the event loop, the listener, and upkeep
UPKEEP_DESCRIPTORS = 24  # of the reserved ones: for releases and the endpoint list
MIN_CONNECTIONS = 8  # to clients, and as many to replicas, however few descriptors there are


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of a process, and the seed of its random choices."""

    sockets: int  # descriptors of the dispatcher, which all its processes share
    seed: int
    max_body: int = MAX_BODY  # bytes of a request
    send_buffer: int = 0  # bytes that the system may hold for one client; 0: as it likes
    has_admin_endpoint: bool = False  # operators have an address of their own

    def connections(self, process_count: int) -> int:
        """Descriptors for clients, and as many for requests to replicas, for each of so many processes."""
        available = self.sockets // process_count - RESERVED_DESCRIPTORS
        if self.has_admin_endpoint:
            available -= MAX_ADMIN_CONNECTIONS
        return max(MIN_CONNECTIONS, available // 2)
