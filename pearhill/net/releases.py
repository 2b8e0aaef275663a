"""Releases: the calls that release what replicas hold for a request, repeated until they have surely arrived.

A replica releases nothing while an attempt waits for the state, so a release that arrives before the end of that
attempt is lost without a sign. Fetches that were given up stay on open connections (`keep_open`) until every holder can
be reached; only then are they closed, and the release is sent again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Mapping
from typing import Any, NamedTuple, Protocol

from loguru import logger

from pearhill.core.request import Request
from pearhill.http1.client import MAX_CHUNK, Event
from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.pool import Pool
from pearhill.net.pooled_connection import PooledConnection
from pearhill.net.ticks import pause

RETRY_LIMIT_US = 20_000_000  # how long a release is tried again
# For the response to a release, and for its connection, before it is tried again on a new one: the first waits least.
# One that stood idle may have fallen silent, and the time in which the state has to be released runs on.
FIRST_ANSWER_TIMEOUT_US = 50_000
MAX_ANSWER_TIMEOUT_US = 250_000
MAX_UNANSWERED = 8  # releases written and never answered, each on a connection that came up
FIRST_BACKOFF_US = 20_000  # between tries of a release; doubled each time
MAX_BACKOFF_US = 500_000
# An attempt that was closed in flight ends at its replica when the close arrives there, on a way of its own. After so
# long the release is sent once more: within the 300 ms that `release-within` gives at least.
REPEAT_AFTER_CLOSE_US = 150_000


class ReleaseDialect(Protocol):
    """The protocol's message that releases state."""

    def release(self, payload: Any, replica: int) -> bytes:
        """The call that releases what is held for a request."""


class ReleaseCall(NamedTuple):
    """One release, as it is sent to one replica."""

    address: Address
    data: bytes


class DiscardedResponse:
    """The exchange of an attempt that was given up and whose connection stays open for now: nothing reads it."""

    max_chunk = MAX_CHUNK
    request_id = ""

    async def handle(self, event: Event) -> None:
        """Drop a piece of the response."""


class DiscardedFetch(NamedTuple):
    """A fetch that was given up and may still be in flight."""

    connection: PooledConnection
    exchange: DiscardedResponse


class Releases:
    """The releases of one process. `pending` counts those that are being tried."""

    def __init__(self, pool: Pool, dialect: ReleaseDialect, addresses: Mapping[int, Address]) -> None:
        self.pool = pool
        self.dialect = dialect
        self.addresses = addresses
        self.pending = 0
        # Both by the request's number: the request itself holds its prompt, and during a network partition there are
        # hundreds.
        self._discarded: dict[int, list[DiscardedFetch]] = {}
        self._unreleased: dict[int, Collection[int]] = {}  # replicas that have not released yet

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Release everything that these replicas hold for the request."""
        calls = self._calls(request, replicas)
        self.pending += 1
        self._unreleased[request.number] = replicas
        self.pool.spawn(self._release_all(request.number, calls, request.interrupted))

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """An attempt is in flight for what is held, but may never have arrived. If it has, this changes nothing."""
        self.pending += 1
        self.pool.spawn(self._release_once(self._calls(request, replicas)))

    def _calls(self, request: Request, replicas: Collection[int]) -> list[ReleaseCall]:
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
        await asyncio.gather(*(self._send(each) for each in calls))

    async def _release_all(self, number: int, calls: list[ReleaseCall], interrupted: bool) -> None:
        """`interrupted`: an attempt of the request was closed before its response."""
        try:
            discarded = tuple(self._discarded.get(number, ()))
            await self._send_all(calls)
            if discarded:
                # What an attempt waits for is not released: these calls only showed that all can be reached.
                self._close(number, [fetch for fetch in discarded if fetch in self._discarded.get(number, ())])
                await self._send_all(calls)
            if interrupted or discarded:
                await pause(self.pool.deadlines, REPEAT_AFTER_CLOSE_US)
                await self._send_all(calls)
        finally:
            self.pending -= 1
            self._unreleased.pop(number, None)

    async def _send(self, release: ReleaseCall) -> None:
        """Send one release until it is answered: any answer shows that it has arrived. Without one it may be on its way
        to a machine that is cut off, or to one that is slow, so it is sent again."""
        pool = self.pool
        address, data = release
        backoff = FIRST_BACKOFF_US
        timeout = FIRST_ANSWER_TIMEOUT_US
        unanswered = 0
        give_up_at = pool.deadlines.clock() + RETRY_LIMIT_US
        while unanswered < MAX_UNANSWERED and pool.deadlines.clock() < give_up_at:
            try:
                await call(pool, address, data, timeout, fresh=timeout > FIRST_ANSWER_TIMEOUT_US)
                return
            except TimeoutError:
                unanswered += 1
            except (OSError, ValueError, ConnectError):
                pass
            pool.counters.release_retries += 1
            await pause(pool.deadlines, backoff)
            backoff = min(2 * backoff, MAX_BACKOFF_US)
            timeout = min(2 * timeout, MAX_ANSWER_TIMEOUT_US)
        logger.warning("a release at {peer} is given up", peer="{}:{}".format(*address))

    # Fetches that were given up and are still in flight.

    def keep_open(self, request: Request, connection: PooledConnection) -> None:
        """Keep the connection of a fetch that was given up, until the request is forwarded, or everything that is held
        for it is released: one of these always follows."""
        exchange = DiscardedResponse()
        connection.exchange = exchange
        self._discarded.setdefault(request.number, []).append(DiscardedFetch(connection, exchange))
        self.pool.discarded[connection] = None

    def close_discarded(self, request: Request) -> None:
        """Another attempt begins: those that were given up end now."""
        self._close(request.number, self._discarded.get(request.number, ()))

    def _close(self, number: int, fetches: Iterable[DiscardedFetch]) -> None:
        for fetch in list(fetches):
            connection = fetch.connection
            self.pool.discarded.pop(connection, None)
            if connection.exchange is fetch.exchange:  # else it has been answered, and may serve another request
                connection.close("called-off")
            self._discarded[number].remove(fetch)
        if not self._discarded.get(number, True):
            del self._discarded[number]

    async def may_replace(self, request: Request) -> bool:
        """Whether another fetch may take the place of one that was given up and is still in flight. If that one finds
        no state, what is held is held for nothing, and the replicas that hold it may be cut off, or silent. So the
        prefill replica has to answer now; a decode replica that was asked hangs, as a rule, and answers nothing, but it
        has to be there."""
        if not self._discarded.get(request.number):
            return True
        holders = {*request.state_holders, *self._unreleased.get(request.number, ())}
        reached = await asyncio.gather(*(self._reaches(request, replica) for replica in holders))
        return all(reached)

    async def _reaches(self, request: Request, replica: int) -> bool:
        """Whether a replica answers a release; while an attempt is in flight for what is held it releases nothing."""
        address = self.addresses.get(replica)
        if address is None:
            return False
        for timeout, fresh in ((FIRST_ANSWER_TIMEOUT_US, False), (2 * FIRST_ANSWER_TIMEOUT_US, True)):
            try:
                await call(self.pool, address, self.dialect.release(request.payload, replica), timeout, fresh=fresh)
                return True
            except TimeoutError:  # a connection was there, and nothing came on it
                if fresh and replica != request.prefill_replica:
                    return True
            except (OSError, ValueError, ConnectError):
                pass
        return False
