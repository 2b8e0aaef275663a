"""Resource limits of a process: descriptors for clients, replicas, operators and maintenance, and request sizes."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.config.platform import DEFAULT_MEMORY_MB
from pearhill.http1.client import MAX_CHUNK
from pearhill.http1.server import MAX_BODY
from pearhill.net.admin_listener import MAX_ADMIN_CONNECTIONS

RESERVED_DESCRIPTORS = 48  # for the log, the event loop, the listener and maintenance calls
MAINTENANCE_DESCRIPTORS = 24  # part of the reserved ones: for releases and endpoint list requests
BYTES_PER_MB = 1 << 20
# A request's body may exist twice, while it is parsed or written to a replica; the rest is for the program itself, the
# answers and the endpoint list.
REQUEST_MEMORY_FRACTION = 0.25
RESPONSE_MEMORY_FRACTION = 0.125  # for incomplete chunks and events of replicas' streams, which are usually small
MIN_REQUEST_BODIES = 8  # of the maximum size, which have room even if memory is scarce
MIN_RESPONSE_CHUNKS = 8  # likewise
MIN_CONNECTIONS = 8  # minimum for clients, and as many for replicas, even if descriptors are scarce


@dataclass(frozen=True, slots=True)
class Limits:
    """The resource limits of a process, and the seed of its random number generator."""

    sockets: int  # descriptors of the dispatcher, shared by all its processes
    seed: int
    max_body: int = MAX_BODY  # maximum size of a request body, in bytes
    send_buffer: int = 0  # size of a client's socket send buffer, in bytes; 0: the system's default
    has_admin_endpoint: bool = False  # the admin endpoint has an address of its own
    memory_mb: int = DEFAULT_MEMORY_MB  # memory of the dispatcher, shared by all its processes

    def connections(self, process_count: int) -> int:
        """Returns the descriptors for clients, and as many for replicas, of each of `process_count` processes."""
        available = self.sockets // process_count - RESERVED_DESCRIPTORS
        if self.has_admin_endpoint:
            available -= MAX_ADMIN_CONNECTIONS
        return max(MIN_CONNECTIONS, available // 2)

    def request_memory_bytes(self, process_count: int) -> int:
        """Returns how much memory the requests of clients may take in each of `process_count` processes."""
        least = MIN_REQUEST_BODIES * self.max_body
        return max(least, int(self._memory_bytes(process_count) * REQUEST_MEMORY_FRACTION))

    def response_memory_bytes(self, process_count: int) -> int:
        """Returns how much memory incomplete chunks and events may take in each of `process_count` processes."""
        least = MIN_RESPONSE_CHUNKS * MAX_CHUNK
        return max(least, int(self._memory_bytes(process_count) * RESPONSE_MEMORY_FRACTION))

    def _memory_bytes(self, process_count: int) -> int:
        return self.memory_mb * BYTES_PER_MB // process_count
