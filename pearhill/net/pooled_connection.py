"""One connection to a server: an exchange at a time, and a reader that sees the end of an idle connection at once."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from loguru import logger

from pearhill.core.deadlines import TimerKey
from pearhill.counters import Counters
from pearhill.http1.client import ClientConnection, Data, End, Event, Lost
from pearhill.net.address import Address
from pearhill.net.exchange import CollectedResponse, Exchange
from pearhill.net.socket_reader import SocketReader
from pearhill.net.socket_writer import SocketWriter

READ_BYTES = 8 * 1024


class ConnectionPool(Protocol):
    """What keeps connections, as far as each of them needs it."""

    loop: asyncio.AbstractEventLoop
    counters: Counters

    def spawn(self, work: Coroutine[Any, Any, None], /) -> asyncio.Task[None]:
        """Run a task that the pool holds until it ends."""

    def put_back(self, connection: PooledConnection, delay_reuse: bool) -> None:
        """The connection may carry another exchange."""

    def forget(self, connection: PooledConnection) -> None:
        """The connection is closed."""


class PooledConnection:
    """One socket to a server. Its reader runs for the connection's whole life."""

    def __init__(self, pool: ConnectionPool, address: Address, sock: socket.socket) -> None:
        self.pool = pool
        self.address = address
        self.sock = sock
        self.exchange: Exchange | None = None
        self.writing = False  # the exchange's request is being written
        self.sent = False  # its last byte is written
        self.exchanges = 0
        self.closed = False
        self.idle_timer: TimerKey | None = None
        self.reusable_at = 0
        self._parser = ClientConnection()
        self._socket_writer = SocketWriter(pool.loop, sock)
        self._reader: asyncio.Task[None] | None = pool.spawn(self._read())
        self._reader.add_done_callback(self._reader_done)

    @property
    def usable(self) -> bool:
        """Whether the server still keeps the connection open, seen on the socket itself. A request written to a
        connection that the server has closed ends as a reset, and may have been executed. The kernel may know of the
        end before the reader has run."""
        if self.closed:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send(self, exchange: Exchange, build: Callable[[], bytes]) -> None:
        """Write one request, built anew until its first byte goes out. OSError: its last byte was not written."""
        self.exchange = exchange
        self.writing = True
        self.sent = False
        self.exchanges += 1
        self._parser.expect(exchange.max_chunk)
        await self._socket_writer.send_all(build)
        self.writing = False
        self.sent = True

    async def _read(self) -> None:
        buffer = bytearray(READ_BYTES)
        view = memoryview(buffer)
        incoming = SocketReader(self.pool.loop, self.sock)
        reason = "reader-failed"
        try:
            while not self.closed:
                try:
                    size = await incoming.recv_into(buffer)
                    events = self._parser.feed(view[:size]) if size else self._parser.eof()
                    reason = "server-eof"
                except OSError as error:
                    name = type(error).__name__
                    size = 0
                    events = self._parser.eof(name)
                    reason = f"server-{name}"
                for event in events:
                    await self._deliver(event)
                if not size:
                    break
        finally:
            incoming.close()
            self.close(reason)
            self._parser.close()

    async def _deliver(self, event: Event) -> None:
        """Settle what becomes of the connection, then hand the event to its exchange."""
        exchange = self.exchange
        if not isinstance(event, Data):  # most are data
            self._update(event, exchange)
        if exchange is None:
            return
        try:
            await exchange.handle(event)
        except Exception:
            # A fault over one response would end the reader, and its request would wait for ever.
            logger.exception("an exchange failed on {event}", event=type(event).__name__)
            self.close("fault")
            if not isinstance(event, Lost):
                await exchange.handle(Lost("fault"))

    def _update(self, event: Event, exchange: Exchange | None) -> None:
        """Close the connection, or put it back, where a response has ended or is lost."""
        if isinstance(event, Lost):
            self.close("unasked-bytes" if exchange is None else f"lost-{event.why.partition(':')[0]}")
        elif isinstance(event, End):
            self.exchange = None
            # A response that comes before the whole request was sent leaves the rest on the wire.
            if event.reusable and self.sent and not self.closed:
                self.pool.put_back(self, delay_reuse=not isinstance(exchange, CollectedResponse))
            else:
                self.close("server-asked")

    def close(self, reason: str) -> None:
        """End it now: the sending side is shut before this returns, whatever the loop still holds of the socket."""
        if self.closed:
            return
        request_id = self.exchange.request_id if self.exchange else ""
        self.closed = True
        self.exchange = None
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

    def _reader_done(self, task: asyncio.Task[None]) -> None:
        """Close the socket once its reader has ended: closed while the loop still polls it, its number may become
        another's. A cancelled task holds its frame, and that this connection, until the collector comes: so it is
        dropped here."""
        self.sock.close()
        self._reader = None
