"""A client's socket: one task reads it, another writes it while bytes are unsent, and it is closed after both ended."""

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
from pearhill.net.disconnect import disconnect_reason
from pearhill.net.input_scheduler import InputScheduler
from pearhill.net.memory_limit import MemoryLimit
from pearhill.net.output_buffer import OutputBuffer
from pearhill.net.request_intake import RequestIntake
from pearhill.net.socket_reader import SocketReader
from pearhill.net.tick_meter import TickMeter
from pearhill.net.unread_input import UnreadInput, peek_unread_input

LINGER_US = 1_000_000  # how long input is still read after the last answer
MAX_LINGER_BYTES = 256 * 1024  # how much input is still read after the last answer
WRITE_TIMEOUT_US = 20_000_000  # a client that accepts no byte for this long is treated as disconnected


class ConnectionOwner(Protocol):
    """The part of a listener that its connections use."""

    loop: asyncio.AbstractEventLoop
    deadlines: Deadlines
    counters: Counters
    handler: Handler
    max_body: int
    request_memory: MemoryLimit
    tick_meter: TickMeter
    input_scheduler: InputScheduler
    read_buffer: memoryview  # READ_BYTES for the reads of all connections: each is parsed before the next one
    side: str
    draining: bool  # each new answer closes its connection
    closing: bool  # each answer closes its connection, even one that was started before the drain

    @property
    def full(self) -> bool:
        """Whether the limit on connections is reached, so that further clients have to wait."""

    def spawn(self, work: Coroutine[Any, Any, None], /) -> asyncio.Task[None]:
        """Run a task. The owner keeps a reference to it until it ends."""

    def forget(self, connection: Any) -> None:
        """Remove a connection whose socket is closed."""


class ClientSocket(ABC):
    """Reads, writes and closes a client's socket. `delayed_accept` is set if the connection, and its first request, may
    have waited in the accept queue for a long time."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, peer: str, delayed_accept: bool) -> None:
        self.owner = owner
        self.sock = sock
        self.peer = peer
        self.intake = RequestIntake(
            SocketReader(owner.loop, sock, owner.tick_meter.record_work),
            sock,
            owner.deadlines.clock,
            owner.max_body,
            delayed_accept,
        )
        self.output = OutputBuffer(owner.loop, sock)
        self.last_answer_given = False  # the last answer was given, though some of it may be unsent
        self.closed = False
        self.requests = 0
        self._bytes_after_last = 0  # read after the last answer
        self._timer: TimerKey | None = None
        self._reason = "answered"  # for the close after the last answer
        self._writer: asyncio.Task[None] | None = None  # while bytes are unsent
        self._reader: asyncio.Task[None] | None = owner.spawn(self._read())
        self._reader.add_done_callback(self._task_done)

    @abstractmethod
    def _feed(self, data: memoryview) -> None:
        """Process bytes that were read before the last answer."""

    @abstractmethod
    def _on_closed(self) -> None:
        """Handle the close of the connection."""

    @abstractmethod
    def _advance(self) -> None:
        """Start the next waiting request, unless one is being answered or too many bytes are unsent."""

    def _schedule_advance(self) -> None:
        """Start the next waiting request as a step of the input scheduler: many answers may end in one tick."""
        self.owner.input_scheduler.submit(self._advance, self.intake.next_length)

    # Reading.

    async def _read(self) -> None:
        """Read until the connection ends, one step of the input scheduler after the other."""
        reader = self.intake.socket_reader
        try:
            while not self.closed:
                if await reader.wait_readable():
                    self.intake.readable_since = self.owner.deadlines.clock()
                intake = self.intake
                await self.owner.input_scheduler.run(self._read_step, intake.input_length, intake.input_cost)
        finally:
            reader.close()
            self.close("reader-failed")
            self.intake.close()

    def _read_step(self) -> None:
        """Read once, and process what was read, or close the connection at its end. Both happen in one call: if the
        connection were closed in between, a request that was read would be lost."""
        if self.closed:
            return
        buffer = self.intake.limit_read(self.owner.read_buffer)
        reason = "client-closed"
        try:
            size = self.intake.socket_reader.try_recv_into(buffer)
        except OSError as error:
            size = 0
            reason = f"client-{type(error).__name__}"
        if size is None:
            return
        if not size or not self._received(buffer[:size]):
            self.close(self._reason if self.last_answer_given else reason)

    def _received(self, data: memoryview) -> bool:
        """Process bytes that were read. Returns False once enough was read after the last answer, because the input of
        a client that sends megabytes after it should not be read to its end."""
        if self.last_answer_given:
            self._bytes_after_last += len(data)
            return self._bytes_after_last <= MAX_LINGER_BYTES
        self._feed(data)
        return True

    def has_disconnected(self) -> bool:
        """Whether the client has closed, half-closed or reset its connection, checked on the socket itself. A busy loop
        may not have read the end of the stream yet, or more bytes may precede the end, and the request would be
        forwarded needlessly."""
        reason = None if self.closed else disconnect_reason(self.sock)
        if reason is not None:
            self.close(f"client-{reason}")
        return self.closed

    def has_unread_input(self) -> bool:
        """Whether bytes wait to be read. If more was sent than the system buffers, the end of the connection is not
        noticed until they are."""
        return not self.closed and peek_unread_input(self.sock) == UnreadInput.SOME

    # Writing.

    def _send(self, data: bytes) -> None:
        """Send bytes. The writer task sends those that the socket does not accept now."""
        if self.closed:
            return
        writing = self._writer is not None and not self._writer.done()  # inlined: this runs for each event
        self.output.add(data, send_now=not writing)
        if self.output.unsent and not writing:
            self._start_writer()

    def _start_writer(self) -> None:
        """Start the writer task, unless it runs already. It writes the unsent bytes and, after the last answer, starts
        the close of the connection."""
        if not self.closed and not self._is_writing:
            self._writer = self.owner.spawn(self._write())
            self._writer.add_done_callback(self._task_done)

    async def _write(self) -> None:
        while self.output.unsent and not self.closed:
            write_timer = self.owner.deadlines.schedule_after(
                WRITE_TIMEOUT_US, lambda: self.close("client-stuck"), self._close_after_fault
            )
            try:
                await self.output.write_some()
            except OSError as error:
                return self.close(f"client-{type(error).__name__}")
            finally:
                self.owner.deadlines.cancel(write_timer)
            if self.intake.waiting:
                self._schedule_advance()
        if self.last_answer_given and not self.closed:
            self._linger()

    def _linger(self) -> None:
        """Continue to read for a while after the last answer: closing the socket with unread input would reset the
        connection, and the answer could be lost in transit (RFC 9112, 9.6)."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close(self._reason)
        self._timer = self.owner.deadlines.schedule_after(
            LINGER_US, lambda: self.close(self._reason), self._close_after_fault
        )

    @property
    def _is_writing(self) -> bool:
        return self._writer is not None and not self._writer.done()

    # Close.

    def close(self, reason: str) -> None:
        """Close the connection now. The client of a request that is still being answered counts as disconnected."""
        if self.closed:
            return
        self.closed = True
        self.owner.deadlines.cancel(self._timer)
        self.output.close()
        with contextlib.suppress(OSError):  # the client may have closed it before
            self.sock.shutdown(socket.SHUT_RDWR)
        self._cancel_tasks()
        self._record_end(reason)
        self._on_closed()

    def _close_after_fault(self, error: Exception) -> None:
        """Close the connection because one of its timers failed."""
        logger.opt(exception=error).error("a timer of a client's connection failed")
        self.close("fault")

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
        """Close the socket once neither task uses it. If it were closed while the loop still polls it, its descriptor
        could be reused by another socket. The references to the tasks are dropped here, because a cancelled task keeps
        its frame, and with it this connection, until the garbage collector runs."""
        if self._reader and self._reader.done() and not self._is_writing:
            self.sock.close()
            self.owner.forget(self)
            self._reader = None
            self._writer = None
