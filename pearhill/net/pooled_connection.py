"""A connection to a server: one exchange at a time, and a reader that detects the end of an idle connection at once."""

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
from pearhill.net.exchange import Exchange
from pearhill.net.socket_reader import SocketReader
from pearhill.net.socket_writer import SocketWriter
from pearhill.net.tick_meter import TickMeter

READ_BYTES = 8 * 1024


class ConnectionPool(Protocol):
    """The part of a pool that its connections use."""

    loop: asyncio.AbstractEventLoop
    counters: Counters
    tick_meter: TickMeter

    def spawn(self, work: Coroutine[Any, Any, None], /) -> asyncio.Task[None]:
        """Run a task. The pool keeps a reference to it until it ends."""

    def put_back(self, connection: PooledConnection) -> None:
        """Put back a connection whose exchange has ended."""

    def forget(self, connection: PooledConnection) -> None:
        """Remove a closed connection."""


class PooledConnection:
    """A socket to a server. Its reader runs until the connection is closed."""

    def __init__(self, pool: ConnectionPool, address: Address, sock: socket.socket) -> None:
        self.pool = pool
        self.address = address
        self.sock = sock
        self.exchange: Exchange | None = None
        self.writing = False  # the exchange's request is being written
        self.sent = False  # its last byte is written
        self.exchanges = 0
        self.closed = False
        self.sending_ended = False
        self.idle_timer: TimerKey | None = None
        self.reusable_at = 0
        self._parser = ClientConnection()
        self._socket_writer = SocketWriter(pool.loop, sock)
        self._reader: asyncio.Task[None] | None = pool.spawn(self._read())
        self._reader.add_done_callback(self._reader_done)

    @property
    def usable(self) -> bool:
        """Whether the server still keeps the connection open, checked on the socket itself, because the kernel may have
        received the end before the reader runs. A request written to a connection that the server has closed fails
        with a reset, and may have been executed."""
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
        """Write one request, rebuilt until its first byte is sent. Raises OSError if its last byte was not written."""
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
        reader = SocketReader(self.pool.loop, self.sock, self.pool.tick_meter.record_work)
        reason = "reader-failed"
        try:
            while not self.closed:
                try:
                    size = await reader.recv_into(buffer)
                    events = self._parse(view[:size])
                    reason = "server-eof"
                except OSError as error:
                    name = type(error).__name__
                    size = 0
                    events = self._parser.eof(name)
                    reason = f"server-{name}"
                for event in events:
                    await self._deliver(event)
                if self._parser.buffered_bytes > READ_BYTES and self.exchange:
                    self.exchange.record_partial_chunk(self._parser.buffered_bytes)
                if not size:
                    break
        except Exception as error:
            logger.exception("the reader of a connection to a server failed")
            exchange = None if self.writing else self.exchange  # a writer gets an error from the closed socket
            self.close(reason)
            if exchange:
                exchange.fail(error)
        finally:
            reader.close()
            self.close(reason)
            self._parser.close()

    def _parse(self, data: memoryview) -> list[Event]:
        """Parse bytes of the server, or the end of its bytes if there are none.

        A server cannot respond to a request that it has not received: bytes that come before the request is written
        belong to an earlier one, or are noise.
        """
        if data and self.writing:
            return [Lost("early")]
        return self._parser.feed(data) if data else self._parser.eof()

    async def _deliver(self, event: Event) -> None:
        """Update the state of the connection, then pass the event to its exchange."""
        exchange = self.exchange
        if not isinstance(event, Data):  # most events are data
            self._update(event, exchange)
        if exchange is None:
            return
        try:
            await exchange.handle(event)
        except Exception as error:
            # An error while handling one event would end the reader, and the request would wait for ever.
            logger.exception("an exchange failed while handling a {event} event", event=type(event).__name__)
            self.close("fault")
            exchange.fail(error)

    def _update(self, event: Event, exchange: Exchange | None) -> None:
        """Close the connection, or put it back into the pool, if a response has ended or is lost."""
        if isinstance(event, Lost):
            self.close("unasked-bytes" if exchange is None else f"lost-{event.reason.partition(':')[0]}")
        elif isinstance(event, End):
            self.exchange = None
            if event.reusable and not self.closed and not self.sending_ended:
                self.pool.put_back(self)
            else:
                self.close("server-asked")

    def end_sending(self, reason: str) -> None:
        """End the sending on the connection, which is still read until the server closes it, and not used again."""
        if self.closed or self.sending_ended:
            return
        self.sending_ended = True
        self._record_end(reason, self.exchange.request_id if self.exchange else "")
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(reason)

    def close(self, reason: str) -> None:
        """Close the connection now: the socket is shut down before this returns, even if the loop still uses it."""
        if self.closed:
            return
        request_id = self.exchange.request_id if self.exchange else ""
        self.closed = True
        self.exchange = None
        with contextlib.suppress(OSError):  # never connected, or shut down already
            self.sock.shutdown(socket.SHUT_RDWR)
        if self._reader and asyncio.current_task(self.pool.loop) is not self._reader:
            self._reader.cancel()
        self.pool.forget(self)
        if not self.sending_ended:
            self._record_end(reason, request_id)

    def _record_end(self, reason: str, request_id: str) -> None:
        """Count and log why this process has ended the connection, once for each connection."""
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
        """Close the socket once its reader has ended. If it were closed while the loop still polls it, its descriptor
        could be reused by another socket. The reference to the task is dropped here, because a cancelled task keeps its
        frame, and with it this connection, until the garbage collector runs."""
        self.sock.close()
        self._reader = None
