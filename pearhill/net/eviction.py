"""Which client's connection ends so that another can be accepted: the one of least use first."""

from __future__ import annotations

from collections import deque
from heapq import nsmallest
from typing import NamedTuple

from pearhill.net.accepted import AcceptedConnection
from pearhill.routing.permissions import ConnectionState

MAX_BATCH = 16  # connections of one kind that end in one go, where they are cheap to lose


class ClosableConnection(NamedTuple):
    """A connection that can be ended, as it was when it was found; `batch`: how many of its kind end in one go."""

    connection: AcceptedConnection
    state: ConnectionState
    since: int
    batch: int

    @property
    def unchanged(self) -> bool:
        """Whether what was found of it still holds, and it may still be ended."""
        connection = self.connection
        return connection.state == self.state and connection.since == self.since and connection.may_close


class ConnectionEvictor:
    """Ends connections of `connections`, a set that its owner keeps up to date."""

    def __init__(self, connections: set[AcceptedConnection]) -> None:
        self._connections = connections
        self._closable = deque[ClosableConnection]()  # found by one walk, to be ended next

    def close_finished(self) -> None:
        """End the connections that have had their last answer."""
        finished = [connection for connection in self._connections if connection.state == ConnectionState.FINISHED]
        for connection in finished:
            connection.close("room-needed")

    def make_room(self, max_connections: int) -> bool:
        """End some connections in the order of `ConnectionState`: first those that have had their last answer, then
        those that never sent a request, of which hundreds would shut everyone out, then the one that has idled longest,
        and a partial request last of all."""
        # A flood of clients that stay costs a walk over all connections at each accept; most of a core went into it.
        # What one walk has found serves for some accepts that follow, as long as it still holds.
        closed = 0
        walked = False
        while not closed and not walked:
            walked = not self._closable
            if walked:
                self._closable.extend(self._least_useful(max_connections))
            closed = self._close_found()
        return closed > 0

    def _close_found(self) -> int:
        """End connections that were found before, one batch at most; how many."""
        closed = 0
        while self._closable and closed < self._closable[0].batch:
            found = self._closable.popleft()
            if found.unchanged:
                found.connection.close("room-needed")
                closed += 1
        return closed

    def _least_useful(self, max_connections: int) -> list[ClosableConnection]:
        """Connections of one kind: the first kind of which there are any that can be ended."""
        # By index: a walk over thousands of connections hashes no enum member.
        kinds: list[list[AcceptedConnection]] = [[] for _ in ConnectionState]
        for connection in self._connections:
            kinds[connection.state].append(connection)
        several = max(2, min(MAX_BATCH, max_connections // 8))  # where they are cheap to lose
        batches = (
            (ConnectionState.FINISHED, several),
            (ConnectionState.UNUSED, several),
            (ConnectionState.IDLE, 1),
            (ConnectionState.PARTIAL_REQUEST, 1),
        )
        for state, batch in batches:
            oldest = nsmallest(4 * several, kinds[state], key=lambda connection: connection.since)
            found = [ClosableConnection(each, state, each.since, batch) for each in oldest if each.may_close]
            if found:
                return found
        return []
