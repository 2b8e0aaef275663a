"""The way to the platform's replicas: one attempt is one request on one connection."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Collection

from loguru import logger

from pearhill import interface as i
from pearhill.core.deadlines import Key
from pearhill.core.dispatcher import Attempt, Request
from pearhill.http1 import messages
from pearhill.http1.client import Data, End, Event, Head, Lost
from pearhill.net.pool import Address, CannotConnect, Connection, Pool, call
from pearhill.net.turns import pause
from pearhill.platform.front import Payload

STALL = 4_500_000  # a stream that is silent for so long is given up: its client may not wait 5 s for nothing
RELEASE_FOR = 20_000_000  # how long a release is tried again
RELEASE_WAIT = 250_000  # for the answer to a release before it is tried again
MAX_BODY = 64 * 1024  # of an answer that is no stream
TAIL = 512  # bytes at the end of a stream in which its usage stands
_KEPT = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')


def kept_in(text: bytes | bytearray) -> int:
    found = _KEPT.findall(text)
    return int(found[-1]) if found else 0


class Call:
    """One attempt on its connection."""

    def __init__(self, backend: ReplicaBackend, attempt: Attempt) -> None:
        self.backend, self.attempt = backend, attempt
        self.connection: Connection | None = None
        self.tried = False  # from here on the replica may have the whole request
        self.status, self.never_ran = 0, False
        self.body = bytearray()
        self.stall: Key | None = None
        self.task: asyncio.Task[None] = backend.pool.spawn(self._open())

    async def _open(self) -> None:
        attempt, pool = self.attempt, self.backend.pool
        payload = attempt.request.payload
        assert isinstance(payload, Payload)
        address = self.backend.addresses.get(attempt.engine)
        try:
            if address is None:
                raise CannotConnect("the engine has no address")
            connection = self.connection = await pool.acquire(address)
        except CannotConnect:
            return self.over(i.UNREACHABLE)
        wait = max(1, (attempt.deadline - pool.deadlines.clock()) // 1000)
        headers = [("Request-Id", payload.id), ("Request-Timeout-Ms", str(wait)),
                   ("Content-Type", payload.content_type)]
        data = messages.request(payload.method, payload.target, self.backend.host, headers, payload.body)
        self.tried = True
        try:
            await connection.send(self, data)
        except OSError:  # its last byte was never written
            connection.close("send-failed")
            return self.over(i.UNREACHABLE)
        if connection.closed:
            self.over(i.BROKEN, may_hold=True)

    async def handle(self, event: Event) -> None:
        match event:
            case Head(status, headers):
                self.status, self.never_ran = status, headers.get("not-started") == "1"
            case Data(data) if self.status == 200:
                await self._stream(data)
            case Data(data):
                self.body += data[:MAX_BODY - len(self.body)]
            case End():
                self._ended()
            case Lost():
                # While the request is being written only the writer can tell whether its last byte went out.
                if self.connection and not self.connection.writing:
                    self.over(i.BROKEN, may_hold=True)

    async def _stream(self, data: bytes) -> None:
        if not self.attempt.begin():
            return
        deadlines = self.backend.pool.deadlines
        deadlines.cancel(self.stall)
        self.body = (self.body + data)[-TAIL:]
        await self.attempt.request.client.pass_on(data)
        if not self.attempt.over:  # counted from here, so a slow client is not taken for a silent replica
            self.stall = deadlines.after(STALL, self._stalled)

    def _stalled(self) -> None:
        """Danger: a machine that vanished in mid-stream says nothing, and its client would wait for ever."""
        if self.connection:
            self.connection.close("stalled")
        self.over(i.BROKEN)

    def _ended(self) -> None:
        if self.status == 200 and self.attempt.began:
            self.over(i.ANSWERED, kept_in(self.body))
        elif self.status == 202:
            self.over(i.READ, self._kept_read(), may_hold=True)
        elif self.status in (503, 504) and self.never_ran:
            self.over(i.FULL)
        elif self.status == 410 and self.never_ran:
            self.over(i.NO_STATE)
        else:
            self.over(i.ERROR, may_hold=True)

    def _kept_read(self) -> int:
        try:
            return int(json.loads(self.body)["cached_tokens"])
        except (ValueError, KeyError, TypeError):
            return 0

    def over(self, outcome: str, kept: int = 0, may_hold: bool = False) -> None:
        self.backend.pool.deadlines.cancel(self.stall)
        self.backend.calls.pop(self.attempt, None)
        self.attempt.end(outcome, kept, may_hold)

    def cancel(self) -> bool:
        self.backend.pool.deadlines.cancel(self.stall)
        self.task.cancel()
        if self.connection:
            self.connection.close("called-off")
        return self.tried


class ReplicaBackend:
    def __init__(self, pool: Pool, host: str) -> None:
        self.pool, self.host = pool, host
        self.addresses: dict[int, Address] = {}
        self.calls: dict[Attempt, Call] = {}
        self.releasing = 0

    def locate(self, engine: int, address: Address, wanted: bool) -> None:
        """Where an engine listens. Connections to one that is not wanted any more are not kept."""
        old, self.addresses[engine] = self.addresses.get(engine), address
        if old and (old != address or not wanted):
            self.pool.drop_idle(old)

    def send(self, attempt: Attempt) -> None:
        self.calls[attempt] = Call(self, attempt)

    def cancel(self, attempt: Attempt) -> bool:
        call = self.calls.pop(attempt, None)
        return call.cancel() if call else False

    def release(self, request: Request, engines: Collection[int]) -> None:
        payload = request.payload
        assert isinstance(payload, Payload)
        for engine in engines:
            if address := self.addresses.get(engine):
                self.releasing += 1
                self.pool.spawn(self._release(address, payload.id))

    async def _release(self, address: Address, id: str) -> None:
        """Danger: one call that is lost leaves the state pinned; any answer shows that it has arrived."""
        pool, wait = self.pool, 20_000
        data = messages.request("DELETE", f"/state/{id}", self.host)
        until = pool.deadlines.clock() + RELEASE_FOR
        try:
            while True:
                try:
                    await call(pool, address, data, RELEASE_WAIT)
                    return
                except (OSError, TimeoutError, ValueError, CannotConnect) as e:
                    if pool.deadlines.clock() > until:
                        logger.warning("release of {} at {}:{} given up: {}", id, *address, e)
                        return
                self.pool.counters.release_retries += 1
                await pause(pool.deadlines, wait)
                wait = min(2 * wait, 500_000)
        finally:
            self.releasing -= 1
