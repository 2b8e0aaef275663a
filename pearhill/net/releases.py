"""Releases: the calls that let go of what replicas hold for a request, repeated until they have surely arrived.

A replica lets go of nothing while an attempt waits for the state, so a release that arrives before the end of that
attempt is lost without a sign. Fetches that were given up stay on open connections (`keep_open`) until every holder can
be reached; only then are they closed, and the release is said again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable, Mapping
from typing import Any, Protocol

from loguru import logger

from pearhill.core.request import Request
from pearhill.http1.client import MAX_CHUNK, Event
from pearhill.net.address import Address
from pearhill.net.pool import ConnectError, Pool, PooledConnection, call
from pearhill.net.ticks import pause

RELEASE_FOR = 20_000_000  # how long a release is tried again
# For the answer to a release, and for its connection, before it is tried again on a new one: the first waits least. One
# that stood idle may have fallen silent, and the time in which the state has to be let go runs on.
FIRST_ANSWER_TIMEOUT_US, RELEASE_WAIT = 50_000, 250_000
MAX_UNANSWERED = 8  # releases written and never answered, each on a connection that came up
FIRST_BACKOFF_US, LAST_RETRY = 20_000, 500_000  # between tries of a release
# An attempt that was closed under way ends at its replica when the close arrives there, on a way of its own. After so
# long the release is said once more: within the 300 ms that `release-within` gives at least.
AFTER_CLOSE = 150_000


class ReleaseDialect(Protocol):
    def release(self, payload: Any, engine: int) -> bytes:
        """The call that lets go of what is held for a request."""


class DiscardedResponse:
    """The exchange of an attempt that was given up and whose connection stays open for now: nobody reads what comes."""

    max_chunk = MAX_CHUNK
    request_id = ""

    async def handle(self, event: Event) -> None:
        pass


class Releases:
    """The releases of one process. `pending` counts those that are being tried."""

    def __init__(self, pool: Pool, dialect: ReleaseDialect, addresses: Mapping[int, Address]) -> None:
        self.pool, self.dialect, self.addresses = pool, dialect, addresses
        self.pending = 0
        # Both by the request's number: the request itself holds its prompt, and through a cut there are hundreds.
        self._unread: dict[int, list[tuple[PooledConnection, DiscardedResponse]]] = {}
        self._owed: dict[int, Collection[int]] = {}  # replicas that have yet to let go

    def release(self, request: Request, engines: Collection[int]) -> None:
        """Let go of everything that these replicas hold for the request."""
        calls = self._calls(request, engines)
        self.pending += 1
        self._owed[request.number] = engines
        self.pool.spawn(self._release_all(request.number, calls, request.interrupted))

    def release_unless_fetched(self, request: Request, engines: Collection[int]) -> None:
        """An attempt is out for what is held, but may never have arrived. Where it has, this changes nothing."""
        self.pending += 1
        self.pool.spawn(self._release_once(self._calls(request, engines)))

    def _calls(self, request: Request, engines: Collection[int]) -> list[tuple[Address, bytes]]:
        return [
            (address, self.dialect.release(request.payload, engine))
            for engine in engines
            if (address := self.addresses.get(engine))
        ]

    async def _release_once(self, calls: list[tuple[Address, bytes]]) -> None:
        try:
            await self._say(calls)
        finally:
            self.pending -= 1

    async def _say(self, calls: list[tuple[Address, bytes]]) -> None:
        await asyncio.gather(*(self._release(*each) for each in calls))

    async def _release_all(self, number: int, calls: list[tuple[Address, bytes]], interrupted: bool) -> None:
        """`interrupted`: an attempt of the request was closed before its answer."""
        try:
            unread = tuple(self._unread.get(number, ()))
            await self._say(calls)
            if unread:
                # What an attempt waits for is not let go of: these calls only showed that all can be reached.
                self._close(number, [kept for kept in unread if kept in self._unread.get(number, ())])
                await self._say(calls)
            if interrupted or unread:
                await pause(self.pool.deadlines, AFTER_CLOSE)
                await self._say(calls)
        finally:
            self.pending -= 1
            self._owed.pop(number, None)

    async def _release(self, address: Address, data: bytes) -> None:
        """Any answer shows that the call has arrived. Without one it may be on its way to a machine that is cut off, or
        to one that is slow, so it is said again."""
        pool, wait, unanswered, answer_within = self.pool, FIRST_BACKOFF_US, 0, FIRST_ANSWER_TIMEOUT_US
        until = pool.deadlines.clock() + RELEASE_FOR
        while unanswered < MAX_UNANSWERED and pool.deadlines.clock() < until:
            try:
                await call(pool, address, data, answer_within, fresh=answer_within > FIRST_ANSWER_TIMEOUT_US)
                return
            except TimeoutError:
                unanswered += 1
            except (OSError, ValueError, ConnectError):
                pass
            pool.counters.release_retries += 1
            await pause(pool.deadlines, wait)
            wait, answer_within = min(2 * wait, LAST_RETRY), min(2 * answer_within, RELEASE_WAIT)
        logger.warning("a release at {peer} is given up", peer="{}:{}".format(*address))

    # Fetches that were given up and are still out.

    def keep_open(self, request: Request, connection: PooledConnection) -> None:
        """Until the request is sent on, or everything that is held for it is let go: one of these always follows."""
        connection.exchange = exchange = DiscardedResponse()
        self._unread.setdefault(request.number, []).append((connection, exchange))
        self.pool.discarded[connection] = None

    def close_discarded(self, request: Request) -> None:
        """Another attempt begins: those that were given up end now."""
        self._close(request.number, self._unread.get(request.number, ()))

    def _close(self, number: int, unread: Iterable[tuple[PooledConnection, DiscardedResponse]]) -> None:
        for connection, exchange in list(unread):
            self.pool.discarded.pop(connection, None)
            if connection.exchange is exchange:  # else it has been answered, and may serve another request
                connection.close("called-off")
            self._unread[number].remove((connection, exchange))
        if not self._unread.get(number, True):
            del self._unread[number]

    async def may_replace(self, request: Request) -> bool:
        """Whether another fetch may take the place of one that was given up and is still out. If that one finds no
        state, what is held is held for nobody, and where it is held may be cut off, or silent. So the reader has to
        answer now; a writer that was asked hangs, as a rule, and answers nothing, but it has to be there."""
        if not self._unread.get(request.number):
            return True
        holders = {*request.state_holders, *self._owed.get(request.number, ())}
        found = await asyncio.gather(*(self._reaches(request, engine) for engine in holders))
        return all(found)

    async def _reaches(self, request: Request, engine: int) -> bool:
        """A release shows it; while an attempt is out for what is held it lets go of nothing."""
        address = self.addresses.get(engine)
        if address is None:
            return False
        for within, fresh in ((FIRST_ANSWER_TIMEOUT_US, False), (2 * FIRST_ANSWER_TIMEOUT_US, True)):
            try:
                await call(self.pool, address, self.dialect.release(request.payload, engine), within, fresh=fresh)
                return True
            except TimeoutError:  # a connection was there, and nothing came on it
                if fresh and engine != request.prefill_replica:
                    return True
            except (OSError, ValueError, ConnectError):
                pass
        return False
