"""One client's socket: read by one task, written by another while something waits, and closed once neither uses it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any, Protocol

from loguru import logger

from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.counters import Counters
from pearhill.http1.handler import Handler
from pearhill.net.output_buffer import OutputBuffer
from pearhill.net.request_intake import READ_BYTES, RequestIntake
from pearhill.net.socket_reader import is_transient

LINGER_US = 1_000_000  # how long input is read past the last answer
MAX_LINGER_BYTES = 256 * 1024  # how much input is read past the last answer
MAX_DISCONNECT_CHECK_BYTES = 4 << 20  # read at once to see whether a client that has sent so much is still there
WRITE_TIMEOUT_US = 20_000_000  # a client that takes no byte for so long is gone


class ConnectionOwner(Protocol):
    """What accepts connections, as far as each of them needs it."""

    loop: asyncio.AbstractEventLoop
    deadlines: Deadlines
    counters: Counters
    handler: Handler
    max_body: int
    side: str
    draining: bool  # answers end their connections
    closing: bool  # no connection outlives its answer, even one that was begun before the drain

    def spawn(self, work: Coroutine[Any, Any, None], /) -> asyncio.Task[None]:
        """Run a task that the owner holds until it ends."""

    def forget(self, connection: Any) -> None:
        """The connection's socket is closed."""


class ClientSocket(ABC):
    """Reads, writes and closes one client's socket. `delayed_accept`: it may have stood in the accept queue for long,
    and its first request with it."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, peer: str, delayed_accept: bool) -> None:
        self.owner = owner
        self.sock = sock
        self.peer = peer
        self.intake = RequestIntake(owner.loop, sock, owner.deadlines.clock, owner.max_body, delayed_accept)
        self.output = OutputBuffer(owner.loop, sock)
        self.ending = False  # it has had its last answer
        self.closed = False
        self.requests = 0
        self._bytes_after_last = 0  # read behind its last answer
        self._timer: TimerKey | None = None
        self._reason = "answered"  # of its end after the last answer
        self._writer: asyncio.Task[None] | None = None  # while there is something to write
        self._reader: asyncio.Task[None] | None = owner.spawn(self._read())
        self._reader.add_done_callback(self._task_done)

    @abstractmethod
    def _feed(self, data: memoryview) -> None:
        """Take bytes that were read before the last answer."""

    @abstractmethod
    def _on_closed(self) -> None:
        """The connection has ended."""

    # Reading.

    async def _read(self) -> None:
        """A read that the loop does ahead of this task's turn is lost with the task when the connection is closed in
        between: a request read, and dropped. So bytes are taken off the socket only here and in `has_disconnected`."""
        reason = "client-closed"
        try:
            while not self.closed:
                buffer = self.intake.new_buffer()
                try:
                    size = await self.intake.socket_reader.recv_into(buffer)
                except OSError as error:
                    size = 0
                    reason = f"client-{type(error).__name__}"
                if not size or not self._received(memoryview(buffer)[:size]):
                    break
        finally:
            self.intake.socket_reader.close()
            self.close(self._reason if self.ending else reason)
            self.intake.close()

    def _received(self, data: memoryview) -> bool:
        """Take bytes that were read. False: enough was read behind the last answer. A client that sends megabytes
        after it would else be read to the end."""
        if self.ending:
            self._bytes_after_last += len(data)
            return self._bytes_after_last <= MAX_LINGER_BYTES
        self._feed(data)
        return True

    def has_disconnected(self) -> bool:
        """Whether the client has closed, half-closed or reset its connection, seen on the socket itself. A busy loop
        may not have read the end yet, or it stands behind more bytes, and the request would be forwarded in vain."""
        read = 0
        while not self.closed and read < MAX_DISCONNECT_CHECK_BYTES:
            try:
                if self.sock.recv(1, socket.MSG_PEEK):
                    data = self.sock.recv(READ_BYTES)
                    read += len(data)
                    self._received(memoryview(data))
                    continue
                self.close("client-closed")
            except OSError as error:
                if is_transient(error):
                    break
                self.close(f"client-{type(error).__name__}")
        return self.closed

    # Writing.

    def _put(self, data: bytes) -> None:
        """Send bytes, or leave what does not fit the socket to the writer."""
        if self.closed:
            return
        writing = self._writer is not None and not self._writer.done()  # inline: this runs for each event
        self.output.add(data, send_now=not writing)
        if self.output.unsent and not writing:
            self._start_writer()

    def _start_writer(self) -> None:
        """Run a writer for as long as there is something left to write, or an end to come after it."""
        if not self.closed and not self._is_writing:
            self._writer = self.owner.spawn(self._write())
            self._writer.add_done_callback(self._task_done)

    async def _write(self) -> None:
        while self.output.unsent and not self.closed:
            write_timer = self.owner.deadlines.schedule_after(WRITE_TIMEOUT_US, lambda: self.close("client-stuck"))
            try:
                await self.output.write_some()
            except OSError as error:
                return self.close(f"client-{type(error).__name__}")
            finally:
                self.owner.deadlines.cancel(write_timer)
        if self.ending and not self.closed:
            self._linger()

    def _linger(self) -> None:
        """Read on for a while past the last answer: closed with input unread, the connection would be reset and the
        answer lost on its way (RFC 9112, 9.6)."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close(self._reason)
        self._timer = self.owner.deadlines.schedule_after(LINGER_US, lambda: self.close(self._reason))

    @property
    def _is_writing(self) -> bool:
        return self._writer is not None and not self._writer.done()

    # The end.

    def close(self, reason: str) -> None:
        """End the connection now; a request still being answered on it loses its client."""
        if self.closed:
            return
        self.closed = True
        self.owner.deadlines.cancel(self._timer)
        self.output.close()
        with contextlib.suppress(OSError):  # the client was first
            self.sock.shutdown(socket.SHUT_RDWR)
        self._cancel_tasks()
        self._record_end(reason)
        self._on_closed()

    def _cancel_tasks(self) -> None:
        """Cancel the reader and the writer, except the one that runs this."""
        for task in (self._reader, self._writer):
            if task and asyncio.current_task(self.owner.loop) is not task:
                task.cancel()

    def _record_end(self, reason: str) -> None:
        self.owner.counters.connections[f"{self.owner.side} {reason}"] += 1
        logger.info(
            "connection side={side} peer={peer} reason={reason} requests={requests} unsent={unsent}",
            side=self.owner.side,
            peer=self.peer,
            reason=reason,
            requests=self.requests,
            unsent=len(self.output.unsent),
        )

    def _task_done(self, task: asyncio.Task[None]) -> None:
        """Close the socket once neither task uses it: closed while the loop still polls it, its number may become
        another's. A cancelled task holds its frame, and that this connection, until the collector comes: so both are
        dropped here."""
        if self._reader and self._reader.done() and not self._is_writing:
            self.sock.close()
            self.owner.forget(self)
            self._reader = None
            self._writer = None
