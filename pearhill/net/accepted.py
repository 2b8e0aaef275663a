"""One client's connection: feeds its state machine, writes what the handler answers, and ends when it is to."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections import deque
from typing import TYPE_CHECKING, Any

from loguru import logger

from pearhill.core.deadlines import Key
from pearhill.http1 import messages
from pearhill.http1.handler import Pending
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.http1.server import ContinueWanted, Rejected, ServerConnection
from pearhill.net.accept_queue import accept_queue_wait_us
from pearhill.net.socket_reader import SocketReader, passes
from pearhill.net.socket_writer import SocketWriter
from pearhill.routing.permissions import ConnectionUse, may_close

if TYPE_CHECKING:
    from pearhill.net.listener import Listener

FIRST_READ, READ = 2 * 1024, 64 * 1024  # at once, of what may begin a request, and of what goes on with one
ROOM = 64 * 1024  # bytes of an answer that may wait for a slow client before its server is held back
PIPELINED = 4  # requests that may wait on one connection behind the one being answered, and no more bytes than one
MESSAGE_WITHIN = 2_000_000  # a request is whole by then, from its first byte
# The first one's time begins so long after its accept at the latest. Bad clients are owed their end within 3 s.
FIRST_LATER = 800_000
IDLE_WITHIN = 5_000_000
LINGER, LINGER_BYTES = 1_000_000, 256 * 1024  # how long, and how much, is read past the last answer
LOOK_AGAIN = 20_000  # after a look that failed
LOOK_BYTES = 4 << 20  # read at once to see whether a client that has sent so much is still there
WRITE_WITHIN = 20_000_000  # a client that takes no byte for so long is gone


class Unread(enum.Enum):
    """What a look at a socket has told of bytes that nobody has read; it may fail for want of memory."""

    NONE, SOME, UNKNOWN = range(3)


class AcceptedConnection:
    """One client's connection, and the Reply to the request that is being answered on it. `waited`: it may have stood
    at the door for long, and its first request with it."""

    def __init__(self, listener: Listener, sock: socket.socket, peer: Any, waited: bool = False) -> None:
        self.listener, self.sock, self.peer = listener, sock, peer
        self.machine = ServerConnection(listener.max_body)
        self.incoming, self.outgoing = SocketReader(listener.loop, sock), SocketWriter(listener.loop, sock)
        self.waiting: deque[RequestMessage | Rejected] = deque()
        self.pending: Pending | None = None
        self.answering = self.closed = self.ending = False
        self.requests = 0
        self.since = listener.deadlines.clock()  # its accept, the first byte of what is being read, the last answer
        self._waited = waited
        self._keep = True  # its client lets it live on, and nothing on it has gone wrong
        self._last = False  # the next answer ends it, whatever its request says
        self._told_last = False  # the client was told that this answer is the last one
        self._out = bytearray()
        self._past = 0  # bytes read behind its last answer
        self._room = asyncio.Event()
        self._room.set()
        self._timer: Key | None = None
        self._reason = "answered"
        self._writer: asyncio.Task[None] | None = None  # while there is something to write
        self._reader: asyncio.Task[None] | None = listener.spawn(self._read())
        self._reader.add_done_callback(self._task_over)
        self._watch()

    @property
    def idle(self) -> bool:
        return self.idle_but_reading and not self.machine.in_message

    @property
    def idle_but_reading(self) -> bool:
        return not (self.answering or self.waiting or self._out or (self._writer and not self._writer.done()))

    @property
    def use(self) -> ConnectionUse:
        """What it is good for now."""
        if self.closed or not self.idle_but_reading:
            return ConnectionUse.ANSWERING
        if self.ending:
            return ConnectionUse.FINISHED
        if self.machine.in_message:
            return ConnectionUse.PARTIAL_REQUEST
        return ConnectionUse.IDLE if self.requests else ConnectionUse.UNUSED

    @property
    def may_close(self) -> bool:
        """Whether it may make room for another."""
        use = self.use
        looks = use not in (ConnectionUse.FINISHED, ConnectionUse.ANSWERING)  # a system call: only where it can matter
        unread = looks and self._unread() != Unread.NONE
        return may_close(use, unread, self.listener.deadlines.clock() - self.since)

    @property
    def owes_a_request(self) -> bool:
        """Nothing was ever asked on it, or a request has begun and is not whole."""
        return self.machine.in_message or not self.requests

    def _unread(self) -> Unread:
        """Whether something waits to be read: a request that crosses the end of its connection is lost on its way."""
        try:
            return Unread.SOME if self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) else Unread.NONE
        except BlockingIOError:
            return Unread.NONE
        except OSError as e:
            return Unread.UNKNOWN if passes(e) else Unread.NONE

    # Reply.

    def has_disconnected(self) -> bool:
        """Whether the client has closed, half-closed or reset its connection, by the socket itself. A busy loop
        has not come to read it, or its end stands behind more that it has sent, and its request would be sent on."""
        looked = 0
        while not self.closed and looked < LOOK_BYTES:
            try:
                if self.sock.recv(1, socket.MSG_PEEK):
                    data = self.sock.recv(READ)
                    looked += len(data)
                    self._took(memoryview(data))
                    continue
                self.close("client-closed")
            except OSError as e:
                if passes(e):
                    break
                self.close(f"client-{type(e).__name__}")
        return self.closed

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        self._put(messages.answer(status, headers, body, close=not self._keeps()))
        self._done()

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        self._keep, self._reason = False, f"rejected-{status}"
        self.answer(status, headers, body)

    def start(self, status: int, headers: Headers = ()) -> None:
        self._out += messages.stream_head(status, headers, close=not self._keeps())

    async def write(self, data: bytes) -> None:
        self._put(messages.chunk(data))
        await self._room.wait()

    def finish(self, last: bytes = b"") -> None:
        self._put((messages.chunk(last) if last else b"") + messages.LAST_CHUNK)
        self._done()

    def abort(self, last: bytes = b"") -> None:
        if last:
            self._put(messages.chunk(last))
        self._keep, self._reason = False, "answer-broken"
        self._done()  # what came of the answer still goes out, then the connection ends without its last chunk

    # Inside.

    def _keeps(self) -> bool:
        """Whether the connection outlives this answer. Told to the client, so settled once. Requests that were read
        behind it are owed their answers, whoever wants the connection to end."""
        self._told_last = not self._keep or ((self.listener.draining or self._last) and not self.waiting)
        return not self._told_last

    def _put(self, data: bytes) -> None:
        if not self.closed:
            self._out += data
            if self._writer is None or self._writer.done():
                self._send_now()
            if len(self._out) > ROOM:
                self._room.clear()

    def _send_now(self) -> None:
        """Most of what is written fits the socket at once: a task and a deadline for each piece would cost more than
        the piece. A writer takes over what does not fit."""
        with contextlib.suppress(OSError):  # full, or broken: the writer will tell which
            del self._out[: self.sock.send(self._out)]
        if self._out:
            self._flush()

    def _done(self) -> None:
        self.answering, self.pending = False, None
        if not self._keep or ((self._told_last or self.listener.closing) and not self.waiting):
            self.ending = True
            self._flush()
            return
        self._advance()

    def _flush(self) -> None:
        """A writer for as long as there is something left to write, or an end to come after it."""
        if not self.closed and (self._writer is None or self._writer.done()):
            self._writer = self.listener.spawn(self._write())
            self._writer.add_done_callback(self._task_over)

    def _advance(self) -> None:
        """Take up the next request, unless one is being answered."""
        while self.waiting and not (self.answering or self.ending or self.closed):
            message = self.waiting.popleft()
            self.answering = True
            if isinstance(message, Rejected):
                self._reject(message)
                break
            self.requests += 1
            self._keep, self._told_last = message.keep_alive, False
            turn = self.requests
            try:
                pending = self.listener.handler.handle(message, self)
            except Exception:
                # A fault in a handler must not leave its client without an answer.
                logger.exception("a handler failed on {method} {path}", method=message.method, path=message.path)
                if self.answering and self.requests == turn:
                    self._keep = False
                    self.answer(500)
                continue
            if self.closed and pending:  # its end was seen while it was handled
                pending.left()
            elif self.answering and self.requests == turn:
                self.pending = pending
        if not self.answering:
            self.since = self.listener.deadlines.clock()
        self._watch()

    def _reject(self, message: Rejected) -> None:
        self.listener.counters.rejected += 1
        self.reject(message.status, *self.listener.handler.rejected(message.status, message.why))

    def _watch(self) -> None:
        """One deadline a connection: for a half-sent request, or for the next one to begin. Were it set anew
        by each byte, or only by the first, a client that trickles or says nothing would hold its place for good."""
        self.listener.deadlines.cancel(self._timer)
        self._timer = None
        if self.closed or self.answering or self.ending:
            return
        if self.owes_a_request:
            self._timer = self.listener.deadlines.at(self.since + MESSAGE_WITHIN, self._too_slow)
        else:
            self._timer = self.listener.deadlines.at(self.since + IDLE_WITHIN, lambda: self.close_unless_asked("idle"))

    def _too_slow(self) -> None:
        if not self.machine.in_message:
            return self.close_unless_asked("silent")
        self.waiting.append(Rejected(408, "the request did not arrive in time"))
        self._advance()

    def refuse_half_request(self) -> None:
        """The process ends before the rest of it can be waited for. Nothing of it was done."""
        self.waiting.append(Rejected(503, "this process ends: trying again elsewhere is harmless"))
        self._advance()

    async def _read(self) -> None:
        """A read that the loop does ahead of this task's turn is lost with the task when the connection is
        closed in between: a request read, and dropped. So bytes are taken off the socket only here and in `gone`."""
        reason = "client-closed"
        try:
            while not self.closed:
                # Clients by the hundred that ask once and stay would each hold a large buffer.
                buffer = bytearray(READ if self.machine.in_message else FIRST_READ)
                try:
                    size = await self.incoming.recv_into(buffer)
                except OSError as e:
                    size, reason = 0, f"client-{type(e).__name__}"
                if not size or not self._took(memoryview(buffer)[:size]):
                    break
        finally:
            self.incoming.close()
            self.close(self._reason if self.ending else reason)
            self.machine.close()

    def _took(self, data: memoryview) -> bool:
        """What was read. False: enough of it, behind the last answer."""
        if self.ending:
            self._past += len(data)
            return self._past <= LINGER_BYTES  # Whoever sends megabytes after its answer is read to the end.
        self._feed(data)
        return True

    def _feed(self, data: memoryview) -> None:
        """A name in the reader's own frame would keep the last request for as long as its client stays."""
        began = self.machine.in_message
        for event in self.machine.feed(data):
            if isinstance(event, ContinueWanted):
                if not (self.answering or self.waiting):  # It would land inside another's answer.
                    self._put(b"HTTP/1.1 100 Continue\r\n\r\n")
                continue
            if self._floods:
                # Left unread, a flood hides its client's end, and the requests of one that has gone would be
                # sent on. So reading goes on: nothing more of it is kept, and the answers to the first of it end it.
                self.waiting.append(Rejected(429, "too many requests at once on one connection"))
                self.machine.close()
                break
            if isinstance(event, RequestMessage):
                event.arrived = self.listener.deadlines.clock() - self._unread_for()
            self.waiting.append(event)
        if self.waiting:
            self._advance()
        elif self.machine.in_message != began:
            now = self.listener.deadlines.clock()
            self.since = now if self.requests else min(now, self.since + FIRST_LATER)
            self._watch()

    def _unread_for(self) -> int:
        """How long what was read just now had been there, where it was the system that kept it from being read."""
        waited, self._waited = self._waited, False
        return max(int(self.incoming.delayed_s * 1e6), accept_queue_wait_us(self.sock) if waited else 0)

    @property
    def _floods(self) -> bool:
        return (
            len(self.waiting) >= PIPELINED + (not self.answering)
            or sum(len(m.body) for m in self.waiting if isinstance(m, RequestMessage)) > self.machine.max_body
        )

    def _task_over(self, task: asyncio.Task[None]) -> None:
        """A socket that is closed while the loop still polls it may hand its number to another. A task that
        was cancelled holds its frame, and that this link: they go when the collector comes, unless let go of here."""
        if self._reader and self._reader.done() and (self._writer is None or self._writer.done()):
            self.sock.close()
            self.listener.links.discard(self)
            self._reader = self._writer = None

    async def _write(self) -> None:
        while self._out and not self.closed:
            stuck = self.listener.deadlines.after(WRITE_WITHIN, lambda: self.close("client-stuck"))
            try:
                await self._write_some()
            except OSError as e:
                return self.close(f"client-{type(e).__name__}")
            finally:
                self.listener.deadlines.cancel(stuck)
        if self.ending and not self.closed:
            self._linger()

    async def _write_some(self) -> None:
        """All that waits, or as much as may wait. OSError: the connection broke."""
        taken = 0
        while self._out and not self.closed and taken < ROOM:
            size = await self.outgoing.send_some(self._out)
            taken += size
            del self._out[:size]
            if len(self._out) <= ROOM:
                self._room.set()

    def _linger(self) -> None:
        """Closed with input unread, the connection is reset and the answer lost on its way."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close(self._reason)
        self._timer = self.listener.deadlines.after(LINGER, lambda: self.close(self._reason))

    def close_unless_asked(self, reason: str) -> None:
        """End an idle connection, unless a request has come that no turn has read yet: its answer ends it then."""
        match self._unread():
            case Unread.NONE:
                self.close(reason)
            case Unread.SOME:
                self._last, self.since = True, self.listener.deadlines.clock()
                self._watch()  # what came may be no request
            case Unread.UNKNOWN:
                deadlines = self.listener.deadlines
                deadlines.cancel(self._timer)
                self._timer = deadlines.after(LOOK_AGAIN, lambda: self.close_unless_asked(reason))

    def close(self, reason: str) -> None:
        """End the connection now; a request still being answered on it loses its client."""
        if self.closed:
            return
        self.closed = True
        self.listener.deadlines.cancel(self._timer)
        self._room.set()
        with contextlib.suppress(OSError):  # the client was first
            self.sock.shutdown(socket.SHUT_RDWR)
        for task in (self._reader, self._writer):
            if task and asyncio.current_task(self.listener.loop) is not task:
                task.cancel()
        self.listener.counters.connections[f"{self.listener.side} {reason}"] += 1
        logger.info(
            "connection side={side} peer={peer} reason={reason} requests={requests} unsent={unsent}",
            side=self.listener.side,
            peer=self.peer,
            reason=reason,
            requests=self.requests,
            unsent=len(self._out),
        )
        pending, self.pending = self.pending, None
        if pending:
            pending.left()
