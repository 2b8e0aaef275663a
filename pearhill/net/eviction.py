"""Chooses the clients' connections that are closed so that others can be accepted: the least useful first."""

from __future__ import annotations

from collections import deque
from heapq import nsmallest
from typing import NamedTuple

from pearhill.net.accepted import AcceptedConnection
from pearhill.routing.permissions import ConnectionState

MAX_BATCH = 16  # connections of one state that are closed at once, in states where a close costs little


class EvictionCandidate(NamedTuple):
    """A connection that may be closed, with its state when a scan found it. `batch` is how many connections in that
    state are closed at once."""

    connection: AcceptedConnection
    state: ConnectionState
    state_since: int
    batch: int

    @property
    def unchanged(self) -> bool:
        """Whether the connection's state has not changed since the scan, and it may still be closed."""
        connection = self.connection
        return connection.state == self.state and connection.state_since == self.state_since and connection.may_close


class ConnectionEvictor:
    """Closes connections of `connections`, a set that its owner keeps up to date."""

    def __init__(self, connections: set[AcceptedConnection]) -> None:
        self._connections = connections
        self._candidates = deque[EvictionCandidate]()  # found by one scan, to be closed next

    def close_finished(self) -> None:
        """Close the connections that have had their last answer."""
        finished = [connection for connection in self._connections if connection.state == ConnectionState.FINISHED]
        for connection in finished:
            connection.close("room-needed")

    def evict(self, max_connections: int) -> bool:
        """Close some connections, and return whether any was closed. The order is that of `ConnectionState`: first
        those that have had their last answer; then those with a request in very many small parts, and those that never
        sent a request, hundreds of which would block all other clients; then the one that has been idle longest; and
        last, one with a partial request."""
        # In a flood of clients that stay connected, a scan of all connections at each accept used most of a CPU core.
        # So the result of one scan is used for several of the accepts that follow, as far as it is still valid.
        closed = 0
        scanned = False
        while not closed and not scanned:
            scanned = not self._candidates
            if scanned:
                self._candidates.extend(self._least_useful(max_connections))
            closed = self._close_candidates()
        return closed > 0

    def _close_candidates(self) -> int:
        """Close connections that were found before, one batch at most, and return how many were closed."""
        closed = 0
        while self._candidates and closed < self._candidates[0].batch:
            candidate = self._candidates.popleft()
            if candidate.unchanged:
                candidate.connection.close_for_room()
                closed += 1
        return closed

    def _least_useful(self, max_connections: int) -> list[EvictionCandidate]:
        """Return closable connections of one state, the first state that has any, oldest first."""
        # A list indexed by state avoids hashing an enum member for each of thousands of connections.
        by_state: list[list[AcceptedConnection]] = [[] for _ in ConnectionState]
        for connection in self._connections:
            by_state[connection.state].append(connection)
        batch_size = max(2, min(MAX_BATCH, max_connections // 8))  # where a close costs little
        batches = (
            (ConnectionState.FINISHED, batch_size),
            (ConnectionState.FRAGMENTED_REQUEST, batch_size),
            (ConnectionState.UNUSED, batch_size),
            (ConnectionState.IDLE, 1),
            (ConnectionState.PARTIAL_REQUEST, 1),
        )
        for state, batch in batches:
            oldest = nsmallest(4 * batch_size, by_state[state], key=lambda connection: connection.state_since)
            candidates = [EvictionCandidate(each, state, each.state_since, batch) for each in oldest if each.may_close]
            if candidates:
                return candidates
        return []
