"""Connections to servers: opened as needed, one exchange at a time on each, kept a while, watched while idle."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from pearhill.core.deadlines import Deadlines, Key
from pearhill.counters import Counters
from pearhill.http1.client import ClientConnection, Data, End, Event, Head, Lost
from pearhill.net.address import Address
from pearhill.net.socket_reader import SocketReader
from pearhill.net.socket_writer import SocketWriter
from pearhill.net.tasks import Tasks
from pearhill.net.ticks import time_limit

BUFFER = 8 * 1024
MAX_COLLECTED_BYTES = 4 << 20  # of a list of servers
MAX_CONNECT = 75_000_000  # the system itself gives up before
DISCOVERY_CONNECTIONS = 8  # of the descriptors kept back for the books: for the list of servers alone
# An answer that another one follows is followed by it some milliseconds later. By then the connection may carry
# another request, whose answer it would be taken for.
REUSE_DELAY_US = 20_000
REQUESTS, BOOKS, LISTS = range(3)  # what a connection is for; each may take what those before it may, and more


class ConnectError(Exception):
    """No connection came up; nothing was sent."""


class PoolExhaustedError(ConnectError):
    """It was not even tried: this process has no descriptor for it. That says nothing of the server."""


class SystemResourceError(PoolExhaustedError):
    """The system has no descriptor, memory or port for it at this moment."""


SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class Exchange(Protocol):
    """One request on a connection. `handle` gets each piece of the answer, a `Lost` at the latest."""

    @property
    def request_id(self) -> str:
        """The client's id of the request, for the log; empty for calls that serve no request."""

    @property
    def max_chunk(self) -> int:
        """Bytes of a chunk of the answer. It is gathered until it is whole."""

    async def handle(self, event: Event) -> None: ...


class PooledConnection:
    """One socket to a server. Its reader runs for its whole life, so the end of an idle one is seen at once."""

    def __init__(self, pool: Pool, address: Address, sock: socket.socket) -> None:
        self.pool, self.address, self.sock = pool, address, sock
        self.machine = ClientConnection()
        self.writer = SocketWriter(pool.loop, sock)
        self.exchange: Exchange | None = None
        self.writing = self.sent = False  # the exchange's request is being written; its last byte is written
        self.exchanges = 0
        self.closed = False
        self.idle_key: Key | None = None
        self.reusable_at = 0
        self._reader: asyncio.Task[None] | None = pool.spawn(self._read())
        self._reader.add_done_callback(self._reader_over)

    @property
    def usable(self) -> bool:
        """A request written to a connection that the server has closed ends as a reset, which may
        have run. The kernel may know of the end before the reader's turn has come."""
        if self.closed:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send(self, exchange: Exchange, make: Callable[[], bytes]) -> None:
        """Write one request, made anew until its first byte goes out. OSError: its last byte was not written."""
        self.exchange, self.writing, self.sent = exchange, True, False
        self.exchanges += 1
        self.machine.expect(exchange.max_chunk)
        await self.writer.send_all(make)
        self.writing, self.sent = False, True

    async def _read(self) -> None:
        buffer = bytearray(BUFFER)
        view, incoming = memoryview(buffer), SocketReader(self.pool.loop, self.sock)
        reason = "reader-failed"
        try:
            while not self.closed:
                try:
                    size = await incoming.recv_into(buffer)
                    events = self.machine.feed(view[:size]) if size else self.machine.eof()
                    reason = "server-eof"
                except OSError as e:
                    name = type(e).__name__
                    size, events, reason = 0, self.machine.eof(name), f"server-{name}"
                for event in events:
                    await self._deliver(event)
                if not size:
                    break
        finally:
            incoming.close()
            self.close(reason)
            self.machine.close()

    def _reader_over(self, task: asyncio.Task[None]) -> None:
        """A socket that is closed while the loop still polls it may hand its number to another. And a task
        that was cancelled holds its frame, and that this connection, until the collector comes."""
        self.sock.close()
        self._reader = None

    async def _deliver(self, event: Event) -> None:
        exchange = self.exchange
        if isinstance(event, Data):
            pass
        elif isinstance(event, Lost):
            self.close("unasked-bytes" if exchange is None else f"lost-{event.why.partition(':')[0]}")
        elif isinstance(event, End):
            self.exchange = None
            # An answer that comes before the whole request was sent leaves the rest on the wire.
            if event.reusable and self.sent and not self.closed:
                self.pool.put_back(self, delay_reuse=not isinstance(exchange, CollectedResponse))
            else:
                self.close("server-asked")
        if exchange is None:
            return
        try:
            await exchange.handle(event)
        except Exception:
            # A fault over one answer would end the reader, and its request would wait for ever.
            logger.exception("an exchange failed on {event}", event=type(event).__name__)
            self.close("fault")
            if not isinstance(event, Lost):
                await exchange.handle(Lost("fault"))

    def close(self, reason: str) -> None:
        """End it now: the sending side is shut before this returns, whatever the loop still holds of the socket."""
        if self.closed:
            return
        request_id = self.exchange.request_id if self.exchange else ""
        self.closed, self.exchange = True, None
        with contextlib.suppress(OSError):  # it was never up, or is down already
            self.sock.shutdown(socket.SHUT_RDWR)
        if self._reader and asyncio.current_task(self.pool.loop) is not self._reader:
            self._reader.cancel()
        self.pool.forget(self)
        self.pool.counters.connections[f"server {reason}"] += 1
        logger.info(
            "connection side={side} peer={peer} reason={reason} exchanges={exchanges} cut={request_id}",
            side="server",
            peer="{}:{}".format(*self.address),
            reason=reason,
            exchanges=self.exchanges,
            request_id=request_id or "-",
        )


class Pool:
    """All connections to servers. `most` bounds them all together; `spare` more keep the books in order, `FOR_LISTS` of
    them for the list of servers alone: requests hold none of them, nor releases by the hundred, through a cut, all."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        counters: Counters,
        *,
        connect_timeout: int,
        idle_timeout: int,
        max_connections: int,
        reserved_connections: int,
    ) -> None:
        self.loop, self.deadlines, self.counters = loop, deadlines, counters
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.max_connections = max_connections
        self.reserved_connections = reserved_connections
        self.idle: dict[Address, list[PooledConnection]] = {}  # no empty lists: servers come and go, their keys too
        self.open: set[PooledConnection] = set()
        # Given up, but still open; they are closed before a request is rejected.
        self.discarded: dict[PooledConnection, None] = {}
        self._connecting = 0
        self.spawn = Tasks(loop, "a connection's task").spawn

    async def acquire(
        self, address: Address, purpose: int = REQUESTS, connect_within: int = MAX_CONNECT, fresh: bool = False
    ) -> PooledConnection:
        """A connection that is up: an idle one that still stands, the latest used first, else a new one, `within` so
        many microseconds if that is less than the settings allow. `use`: what for. `fresh`: a new one in any case."""
        now = self.deadlines.clock()
        for connection in [] if fresh else reversed(self.idle.get(address, []).copy()):
            if purpose == REQUESTS and connection.reusable_at > now:
                continue
            expired = connection.idle_key is not None and connection.idle_key[0] <= now
            self._leave_idle(connection)
            if expired:  # the sweep comes late: the server may have forgotten it without a word
                connection.close("idle")
                continue
            if connection.usable:
                return connection
            connection.close("stale")
        # Requests by the hundred would leave no descriptor for releases and for the list of servers.
        most = (
            self.max_connections
            + (0, self.reserved_connections - DISCOVERY_CONNECTIONS, self.reserved_connections)[purpose]
        )
        if len(self.open) + self._connecting >= most and not self._drop_oldest():
            raise PoolExhaustedError("every descriptor set aside for servers is in use")
        self._connecting += 1
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with time_limit(self.deadlines, min(connect_within, self.connect_timeout)):
                await self.loop.sock_connect(sock, address)
        except (OSError, TimeoutError) as e:
            if sock:
                sock.close()
            if isinstance(e, OSError) and e.errno in SHORTAGES:
                self.counters.shortages += 1
                raise SystemResourceError(str(e)) from None
            raise ConnectError(f"{address[0]}:{address[1]}: {e or 'timed out'}") from None
        except asyncio.CancelledError:
            if sock:
                sock.close()
            raise
        finally:
            self._connecting -= 1
        connection = PooledConnection(self, address, sock)
        self.open.add(connection)
        return connection

    def set_max_connections(self, most: int) -> None:
        """Another bound on all connections together. Those that idle longest go now, down to it."""
        self.max_connections = most
        while len(self.open) > most and self._drop_oldest():
            pass

    def reconfigure(self, connect_timeout: int, idle_timeout: int) -> None:
        """In force for what is connected, or put back, from now on."""
        self.connect_timeout, self.idle_timeout = connect_timeout, idle_timeout

    def put_back(self, connection: PooledConnection, delay_reuse: bool = False) -> None:
        self.idle.setdefault(connection.address, []).append(connection)
        connection.reusable_at = self.deadlines.clock() + REUSE_DELAY_US if delay_reuse else 0
        # A server closes an idle connection without a word, and what is then sent may have run.
        connection.idle_key = self.deadlines.after(self.idle_timeout, lambda: connection.close("idle"))

    def forget(self, connection: PooledConnection) -> None:
        self.open.discard(connection)
        self.discarded.pop(connection, None)
        self._leave_idle(connection)

    def _leave_idle(self, connection: PooledConnection) -> None:
        self.deadlines.cancel(connection.idle_key)
        idle = self.idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self.idle[connection.address]

    def drop_idle(self, address: Address) -> None:
        for connection in list(self.idle.get(address, ())):
            connection.close("server-left")

    def _drop_oldest(self) -> bool:
        oldest = min(
            (c for idle in self.idle.values() for c in idle),
            key=lambda c: c.idle_key or (0, 0),
            default=next(iter(self.discarded), None),
        )
        if oldest:
            oldest.close("room-needed")
        return oldest is not None

    def close(self) -> None:
        for connection in list(self.open):
            connection.close("shutdown")


class CollectedResponse:
    """An exchange whose whole answer is wanted, up to a size."""

    request_id = ""

    def __init__(self, loop: asyncio.AbstractEventLoop, most: int) -> None:
        self.status, self.body, self.max_body = 0, bytearray(), most
        self.max_chunk = most  # a list of a thousand servers may be one
        self.done: asyncio.Future[Exception | None] = loop.create_future()

    async def handle(self, event: Event) -> None:
        match event:
            case Lost(why):
                self._finish(ConnectionResetError(why))
            case End():
                self._finish(None)
            case Head(status):
                self.status = status
            case Data(data):
                self.body += data
                if len(self.body) > self.max_body:
                    self._finish(ValueError("the answer is too large"))

    def _finish(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(error)


async def call(
    pool: Pool,
    address: Address,
    data: bytes,
    timeout: int,
    max_body: int = MAX_COLLECTED_BYTES,
    *,
    purpose: int = BOOKS,
    fresh: bool = False,
) -> tuple[int, bytes]:
    """One request and its whole answer; `timeout` is for its connection, and again for its answer. OSError,
    TimeoutError, ValueError or CannotConnect where there is none."""
    connection = await pool.acquire(address, purpose, timeout, fresh)
    gathered = CollectedResponse(pool.loop, max_body)
    try:
        async with time_limit(pool.deadlines, timeout):
            await connection.send(gathered, lambda: data)
            if error := await gathered.done:
                raise error
    except BaseException:
        connection.close("call-failed")
        raise
    return gathered.status, bytes(gathered.body)
