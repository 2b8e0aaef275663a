"""Attempts that were given up, on their connections until the replica has ended them too."""

from __future__ import annotations

from collections.abc import Callable

from pearhill.core.deadlines import TimerKey
from pearhill.core.request import Attempt
from pearhill.http1.client import MAX_CHUNK, End, Event, Head
from pearhill.net.pool import Pool
from pearhill.net.pooled_connection import PooledConnection

FOLLOW_LIMIT_US = 60_000_000  # how long the connection of a given-up attempt is kept


class GivenUpAttempt:
    """The exchange of an attempt that was given up, on a connection that is still open.

    It ends with the first byte of the response, which shows that the read or the fetch is over, or with the connection.
    `on_end` is called then. `responded`: the replica has responded. `in_flight`: the sending has not been ended yet, so
    that the attempt still counts as in flight.
    """

    max_chunk = MAX_CHUNK

    def __init__(
        self, pool: Pool, connection: PooledConnection, attempt: Attempt, on_end: Callable[[GivenUpAttempt], None]
    ) -> None:
        self.replica = attempt.replica
        self.timeout_at = attempt.deadline  # the end of the time that the replica was given
        self.request_id = connection.exchange.request_id if connection.exchange else ""
        self.responded = False
        self.in_flight = True
        self._pool = pool
        self._connection = connection
        self._on_end = on_end
        self._limit: TimerKey = pool.deadlines.schedule_after(FOLLOW_LIMIT_US, self.close)
        connection.exchange = self
        pool.given_up[connection] = self._connection_closed

    def end_sending(self) -> None:
        """Give the attempt up at its replica. What the replica still sends is received."""
        if self.in_flight:
            self.in_flight = False
            self._connection.end_sending("called-off")

    def close(self) -> None:
        """Close the connection."""
        self._connection.close("called-off")

    async def handle(self, event: Event) -> None:
        """Close the connection once the response has begun: nothing of it is used."""
        if isinstance(event, Head | End):
            self.responded = True
            self.close()

    def fail(self, error: Exception) -> None:
        """Do nothing: the close of the connection has ended the exchange."""

    def record_partial_chunk(self, size: int) -> None:
        """Do nothing: the connection is closed before any chunk."""

    def _connection_closed(self) -> None:
        self._pool.deadlines.cancel(self._limit)
        self._on_end(self)
