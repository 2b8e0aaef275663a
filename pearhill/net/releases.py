"""Releases: calls that release the state that replicas hold for a request, repeated until they have certainly arrived.

A replica releases nothing while an attempt waits for the state, so a release that arrives before the end of that
attempt is ignored silently. The connections of cancelled fetches stay open (`keep_open`) until every holder is
reachable; only then are they closed, and the release is sent again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from pearhill.core.request import Request
from pearhill.http1.client import MAX_CHUNK, Event
from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.pool import Pool
from pearhill.net.pooled_connection import PooledConnection
from pearhill.net.release_calls import FIRST_ANSWER_TIMEOUT_US, ReleaseCall, ReleaseCalls
from pearhill.net.ticks import pause

# An attempt that was closed in flight ends at its replica when the close arrives there, on a connection of its own. The
# release is therefore repeated after this time, which is within the minimum of 300 ms for `release-within`.
REPEAT_AFTER_CLOSE_US = 150_000


class ReleaseDialect(Protocol):
    """Builds the message of a protocol that releases state."""

    def release(self, payload: Any, replica: int) -> bytes:
        """Build the call that releases the state held for a request."""


class DiscardedResponse:
    """The exchange of a cancelled attempt whose connection stays open for now. Its response is not used."""

    max_chunk = MAX_CHUNK
    request_id = ""

    async def handle(self, event: Event) -> None:
        """Ignore an event of the response."""

    def record_partial_chunk(self, size: int) -> None:
        """Do nothing: the connection is closed once the releases are answered."""


class DiscardedFetch(NamedTuple):
    """A cancelled fetch that may still be in flight."""

    connection: PooledConnection
    exchange: DiscardedResponse


class Releases:
    """The releases of one process. `pending` counts those in progress."""

    def __init__(self, pool: Pool, dialect: ReleaseDialect, addresses: Mapping[int, Address]) -> None:
        self.pool = pool
        self.dialect = dialect
        self.addresses = addresses
        self.pending = 0
        self._calls = ReleaseCalls(pool)
        # Both are keyed by the request's number. The request itself would keep its prompt in memory, and during a
        # network partition there are hundreds.
        self._discarded: dict[int, list[DiscardedFetch]] = {}
        self._unreleased: dict[int, Collection[int]] = {}  # replicas that have not released yet

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Release everything that these replicas hold for the request."""
        calls = self._build_calls(request, replicas)
        self.pending += 1
        self._unreleased[request.number] = replicas
        self.pool.spawn(self._release_all(request.number, calls, request.interrupted))

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Release the state once while an attempt that fetches it is in flight, in case that attempt never arrived. If
        the attempt did arrive, the release has no effect."""
        self.pending += 1
        self.pool.spawn(self._release_once(self._build_calls(request, replicas)))

    def _build_calls(self, request: Request, replicas: Collection[int]) -> list[ReleaseCall]:
        calls = []
        for replica in replicas:
            address = self.addresses.get(replica)
            if address:
                calls.append(ReleaseCall(address, self.dialect.release(request.payload, replica)))
        return calls

    async def _release_once(self, calls: list[ReleaseCall]) -> None:
        try:
            await self._send_all(calls)
        finally:
            self.pending -= 1

    async def _send_all(self, calls: list[ReleaseCall]) -> None:
        await asyncio.gather(*(self._calls.send(each) for each in calls))

    async def _release_all(self, number: int, calls: list[ReleaseCall], interrupted: bool) -> None:
        """Send the releases, and repeat them after cancelled fetches are closed. `interrupted` is set if an attempt of
        the request was closed before its response."""
        try:
            discarded = tuple(self._discarded.get(number, ()))
            await self._send_all(calls)
            if discarded:
                # State that an attempt waits for is not released: these calls only showed that all are reachable.
                self._close(number, [fetch for fetch in discarded if fetch in self._discarded.get(number, ())])
                await self._send_all(calls)
            if interrupted or discarded:
                await pause(self.pool.deadlines, REPEAT_AFTER_CLOSE_US)
                await self._send_all(calls)
        finally:
            self.pending -= 1
            self._unreleased.pop(number, None)

    # Cancelled fetches that are still in flight.

    def keep_open(self, request: Request, connection: PooledConnection) -> None:
        """Keep the connection of a cancelled fetch open until the request is forwarded again, or all state held for it
        is released: one of these always follows."""
        exchange = DiscardedResponse()
        connection.exchange = exchange
        self._discarded.setdefault(request.number, []).append(DiscardedFetch(connection, exchange))
        self.pool.discarded[connection] = None

    def close_discarded(self, request: Request) -> None:
        """Close the request's cancelled fetches, because another attempt starts."""
        self._close(request.number, self._discarded.get(request.number, ()))

    def _close(self, number: int, fetches: Iterable[DiscardedFetch]) -> None:
        for fetch in list(fetches):
            connection = fetch.connection
            self.pool.discarded.pop(connection, None)
            if connection.exchange is fetch.exchange:  # else it was answered, and may carry another request
                connection.close("called-off")
            self._discarded[number].remove(fetch)
        if not self._discarded.get(number, True):
            del self._discarded[number]

    async def may_replace(self, request: Request) -> bool:
        """Whether another fetch may replace a cancelled one that is still in flight. If the new fetch finds no state,
        any state still held is useless, and its holders may be unreachable or unresponsive. So the prefill replica has
        to answer now. A decode replica that received a fetch usually hangs and answers nothing, but it has to be
        reachable."""
        if not self._discarded.get(request.number):
            return True
        holders = {*request.state_holders, *self._unreleased.get(request.number, ())}
        reached = await asyncio.gather(*(self._is_reachable(request, replica) for replica in holders))
        return all(reached)

    async def _is_reachable(self, request: Request, replica: int) -> bool:
        """Whether a replica answers a release. It releases nothing while an attempt that fetches the state is in
        flight, so the release is harmless."""
        address = self.addresses.get(replica)
        if address is None:
            return False
        for timeout, fresh in ((FIRST_ANSWER_TIMEOUT_US, False), (2 * FIRST_ANSWER_TIMEOUT_US, True)):
            try:
                await call(self.pool, address, self.dialect.release(request.payload, replica), timeout, fresh=fresh)
                return True
            except TimeoutError:  # a connection was established, but no answer arrived
                if fresh and replica != request.prefill_replica:
                    return True
            except (OSError, ValueError, ConnectError):
                pass
        return False
