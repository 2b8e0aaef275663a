"""The way to servers over HTTP/1.1: one attempt is one request on one connection. What is said there, and what
makes an answer whole, is a dialect's matter; when it ran and what it left behind is settled here for all."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from loguru import logger

from pearhill.core.deadlines import Key
from pearhill.core.request import Attempt, Request
from pearhill.http1.client import MAX_CHUNK, Data, End, Event, Head, Lost
from pearhill.net.address import Address
from pearhill.net.health_checks import HealthCheckCallback, HealthCheckDialect, HealthChecks
from pearhill.net.pool import MAX_CONNECT, ConnectError, Pool, PooledConnection, PoolExhaustedError, SystemResourceError
from pearhill.net.releases import ReleaseDialect, Releases
from pearhill.net.ticks import pause
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome

STALL = 4_500_000  # a stream that is silent for so long is given up: its client may not wait 5 s for nothing
KEEP_LEFT = 60_000_000  # the address of an engine that has left the list: attempts and releases may still need it
# For a connection while a state is held: the Router begins none after its time, and 350 ms more are allowed.
HELD_CONNECT = 250_000
SHORTAGE_AGAIN = 20_000  # between two tries of a connection while the system is short of something
END_WITHIN = 1_000_000  # for the last chunk of an answer that is whole without it
MAX_BODY = 64 * 1024  # of an answer that is no stream


class MalformedResponseError(Exception):
    """A stream that does not follow its form."""


class Stream(Protocol):
    """One answer's stream, fed what comes."""

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens found kept, as far as the stream has told."""

    def feed(self, data: bytes) -> bytes:
        """What of it to pass on now. Malformed: the answer cannot be trusted any further."""

    @property
    def whole(self) -> bool:
        """Nothing is missing, whatever the connection does next."""

    def ends_well(self) -> bool:
        """Whether the last chunk may come here."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """What an answer that is no stream means in its dialect. `rest`: microseconds for which the server wants nothing
    more; `said`: the client's final answer, in the dialect's own form."""

    outcome: Outcome
    retry_after: int = 0
    replica_error: Any = None


class Dialect(HealthCheckDialect, ReleaseDialect, Protocol):
    def request(self, payload: Any, engine: int, wait_ms: int) -> bytes: ...

    def stream(self, payload: Any) -> Stream: ...

    def accepts(self, headers: Mapping[str, str]) -> bool:
        """Whether the body of a 200 with these headers is to be read as a stream."""

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> Verdict | None:
        """What an answer other than 200 and 202 means. None: as the platform's protocol has it."""


class AttemptExchange:
    """One attempt on its connection."""

    max_chunk = MAX_CHUNK

    def __init__(self, backend: HttpBackend, attempt: Attempt) -> None:
        self.backend, self.attempt = backend, attempt
        self.request_id = attempt.request.id
        self.connection: PooledConnection | None = None
        self.may_have_sent = False  # from here on the server may have the whole request
        self.status, self.never_ran = 0, False
        self.headers: Mapping[str, str] = {}
        self.passing = False  # events wait for a slow client
        self.body = bytearray()
        self.stream = backend.dialect.stream(attempt.request.payload)
        self.stall: Key | None = None
        self.window = backend.pool.deadlines.at(attempt.send_before, self._too_late) if attempt.send_before else None
        self.task: asyncio.Task[None] | None = backend.pool.spawn(self._open())

    async def _open(self) -> None:
        attempt, pool = self.attempt, self.backend.pool
        address = self.backend.addresses.get(attempt.replica)
        try:
            if address is None:
                raise ConnectError("the engine has no address")
            if not await self.backend.releases.may_replace(attempt.request):
                return self.over(Outcome.NOT_SENT)
            connection = self.connection = await self._connect(address)
        except PoolExhaustedError:  # Taken for the engine's failure, a crowd here would eject every engine in turn.
            return self.over(Outcome.NOT_SENT)
        except ConnectError:
            return self.over(Outcome.UNREACHABLE)
        if not attempt.may_start():
            return
        self.backend.releases.close_discarded(attempt.request)  # Or it were a second copy
        self.may_have_sent = True
        try:
            await connection.send(self, self._request)
        except OSError:  # its last byte was never written
            connection.close("send-failed")
            return self.over(Outcome.UNREACHABLE)
        pool.counters.written += 1
        if connection.closed:
            self.over(Outcome.TRUNCATED, may_hold=True)

    def _request(self) -> bytes:
        """What is written, with the time that is left now."""
        attempt = self.attempt
        wait_ms = max(1, (attempt.deadline - self.backend.pool.deadlines.clock()) // 1000)
        return self.backend.dialect.request(attempt.request.payload, attempt.replica, wait_ms)

    async def _connect(self, address: Address) -> PooledConnection:
        """A shortage of the system may be over in a moment: what is spent on it is time, as on a connection that comes
        up late, and not an attempt. CannotConnect: it is not over in that time."""
        pool = self.backend.pool
        give_up = pool.deadlines.clock() + pool.connect_timeout
        while True:
            try:
                return await pool.acquire(
                    address, connect_within=HELD_CONNECT if self.attempt.request.state_holders else MAX_CONNECT
                )
            except SystemResourceError:
                if pool.deadlines.clock() >= give_up:
                    raise
            await pause(pool.deadlines, SHORTAGE_AGAIN)

    def _too_late(self) -> None:
        """Its connection may come up long after the choice, and a server that reads slowly has the last byte
        long after the first, and runs it only then."""
        if not (self.connection and self.connection.sent):
            self.attempt.withdraw()

    async def handle(self, event: Event) -> None:
        if type(event) is Data and self.status == 200:  # nearly all there is
            return await self._stream(event.data)
        match event:
            case Head(status, headers):
                self.status, self.never_ran = status, headers.get("not-started") == "1"
                self.headers = headers
                if status == 200 and not self.backend.dialect.accepts(headers):
                    self._give_up("no-stream", Outcome.ERROR, f"an answer of type {headers.get('content-type')}")
            case Data(data):
                self.body += data[: MAX_BODY - len(self.body)]
            case End(_, clean):
                self._ended(clean)
            case Lost():
                # While the request is being written only the writer can tell whether its last byte went out.
                if self.connection and not self.connection.writing:
                    self.over(Outcome.TRUNCATED, may_hold=True)

    async def _stream(self, data: bytes) -> None:
        deadlines = self.backend.pool.deadlines
        try:
            ready = self.stream.feed(data)
        except MalformedResponseError as e:
            return self._give_up(
                "malformed", Outcome.TRUNCATED if self.attempt.response_started else Outcome.ERROR, str(e)
            )
        if ready and not self.attempt.ended:
            # Only what is passed on shows progress; bytes that never make an event could trickle for ever.
            if not self.attempt.start_response():
                return
            self.passing = True
            await self.attempt.request.client.forward(ready)
            # Counted from here, so a slow client is not taken for a silent server.
            self.passing, self.attempt.last_forwarded_at = False, deadlines.clock()
            if self.stall is None and not self.attempt.ended:
                self.stall = deadlines.at(self.attempt.last_forwarded_at + STALL, self._silent)
        if self.stream.whole and not self.attempt.ended:
            self.over(Outcome.ANSWERED, self.stream.cached_tokens)
            deadlines.after(END_WITHIN, self._no_end)

    def _silent(self) -> None:
        """One deadline a stream, moved on when it is due: moved by each event it would cost more than the event."""
        self.stall = None
        if self.attempt.ended or self.passing:
            return
        if self.backend.pool.deadlines.clock() >= self.attempt.last_forwarded_at + STALL:
            return self._give_up("stalled", Outcome.TRUNCATED)
        self.stall = self.backend.pool.deadlines.at(self.attempt.last_forwarded_at + STALL, self._silent)

    def _no_end(self) -> None:
        """A server that never sends the last chunk would keep this connection for good."""
        if self.connection and self.connection.exchange is self:
            self.connection.close("no-last-chunk")

    def _give_up(self, reason: str, outcome: Outcome, detail: str = "") -> None:
        """A machine that vanished in mid-stream says nothing, and its client would wait for ever; one that
        talks nonsense may go on for as long."""
        if detail:
            logger.warning("engine {engine}: {reason}: {why}", engine=self.attempt.replica, reason=reason, why=detail)
        if self.connection:
            self.connection.close(reason)
        self.over(outcome)

    def _ended(self, clean: bool) -> None:
        """Of an answer that another one follows, or of another length than told, nothing can be believed."""
        dialect = self.backend.dialect
        plain = clean and self.status not in (200, 202)
        if plain and (v := dialect.verdict(self.status, self.headers, bytes(self.body))):
            return self.over(
                v.outcome, may_hold=v.outcome not in NOT_EXECUTED, rest=v.retry_after, said=v.replica_error
            )
        if self.status == 200:
            well = self.attempt.response_started and self.stream.ends_well()
            self.over(
                Outcome.ANSWERED if well else Outcome.TRUNCATED if self.attempt.response_started else Outcome.ERROR,
                self.stream.cached_tokens,
            )
        elif self.status == 202:
            self.over(Outcome.PREFILLED, self._kept_read(), may_hold=True)
        elif clean and self.status in (503, 504) and self.never_ran:
            self.over(Outcome.FULL)
        elif clean and self.status == 410 and self.never_ran:
            self.over(Outcome.STATE_LOST)
        else:
            self.over(Outcome.ERROR, may_hold=True)

    def _kept_read(self) -> int:
        try:
            return int(json.loads(self.body)["cached_tokens"])
        except (ValueError, KeyError, TypeError):
            return 0

    def over(self, outcome: Outcome, kept: int = 0, may_hold: bool = False, rest: int = 0, said: Any = None) -> None:
        self._forget_deadlines()
        self.backend.exchanges.pop(self.attempt, None)
        self.attempt.end(outcome, kept, may_hold, rest, said)

    def _forget_deadlines(self) -> None:
        for key in (self.stall, self.window):
            self.backend.pool.deadlines.cancel(key)

    def cancel(self) -> bool:
        self._forget_deadlines()
        if self.task:
            self.task.cancel()
            self.task = None  # Cancelled, it holds this call and its request's body till the collector comes
        if (connection := self.connection) and not connection.closed:
            # What is held for the request counts from here on, and the engines that hold it may be cut off: no
            # release would reach them in time. While the connection is open the attempt is out. A read, before which
            # nothing is held, has to be over: its request may be refused, and nothing that may run may be out then.
            if (
                self.attempt.request.state_holders
                and connection.sent
                and connection.exchange is self
                and not self.attempt.response_started
            ):
                self.backend.releases.keep_open(self.attempt.request, connection)
            else:
                connection.close("called-off")
        return self.may_have_sent


class HttpBackend:
    def __init__(
        self, pool: Pool, dialect: Dialect, probed: HealthCheckCallback = lambda engine, outcome, load: None
    ) -> None:
        self.pool, self.dialect = pool, dialect
        self.addresses: dict[int, Address] = {}
        self.check_health = HealthChecks(pool, dialect, self.addresses, probed).send
        self.leaving: dict[int, Key] = {}  # engines off the list, whose addresses go when their time is over
        self.exchanges: dict[Attempt, AttemptExchange] = {}
        self.releases = Releases(pool, dialect, self.addresses)

    def update_addresses(self, addresses: dict[int, Address], gone: Collection[int], full: bool) -> None:
        """Where engines listen; those that are gone, or missing from a full list, have left. No connections are
        kept to an engine that has left or moved."""
        for engine, address in addresses.items():
            old, self.addresses[engine] = self.addresses.get(engine), address
            self.pool.deadlines.cancel(self.leaving.pop(engine, None))
            if old and old != address:
                self.pool.drop_idle(old)
        for engine in {*gone, *(self.addresses.keys() - addresses.keys() if full else ())} - self.leaving.keys():
            if engine in self.addresses:
                self.pool.drop_idle(self.addresses[engine])
                self.leaving[engine] = self.pool.deadlines.after(KEEP_LEFT, partial(self._forget, engine))

    def _forget(self, engine: int) -> None:
        """Where machines come and go all day under new names, whatever is kept of each fills the memory."""
        del self.addresses[engine], self.leaving[engine]

    def send(self, attempt: Attempt) -> None:
        self.exchanges[attempt] = AttemptExchange(self, attempt)

    def has_started(self, attempt: Attempt) -> bool:
        call = self.exchanges.get(attempt)
        return call is not None and call.may_have_sent

    def cancel(self, attempt: Attempt) -> bool:
        call = self.exchanges.pop(attempt, None)
        return call.cancel() if call else False

    @property
    def pending_releases(self) -> int:
        """Releases that are being tried."""
        return self.releases.pending

    def release(self, request: Request, engines: Collection[int]) -> None:
        self.releases.release(request, engines)

    def release_unless_fetched(self, request: Request, engines: Collection[int]) -> None:
        self.releases.release_unless_fetched(request, engines)
