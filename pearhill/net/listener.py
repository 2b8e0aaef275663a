"""Where clients connect: accepts, feeds each connection's state machine, writes what the handler answers."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections import deque
from heapq import nsmallest
from typing import Any, NamedTuple

from loguru import logger

from pearhill.core.deadlines import Deadlines, Key
from pearhill.counters import Counters
from pearhill.http1 import messages
from pearhill.http1.handler import Handler, Pending
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.http1.server import MAX_BODY, ContinueWanted, Rejected, ServerConnection
from pearhill.net.address import Address
from pearhill.net.incoming import Incoming
from pearhill.net.tasks import Tasks
from pearhill.routing.permissions import Use, may_close

FIRST_READ, READ = 2 * 1024, 64 * 1024  # at once, of what may begin a request, and of what goes on with one
ROOM = 64 * 1024  # bytes of an answer that may wait for a slow client before its server is held back
PIPELINED = 4  # requests that may wait on one connection behind the one being answered, and no more bytes than one
MESSAGE_WITHIN = 2_000_000  # a request is whole by then, from its first byte
# The first one's time begins so long after its accept at the latest. Bad clients are owed their end within 3 s.
FIRST_LATER = 800_000
IDLE_WITHIN = 5_000_000
LINGER, LINGER_BYTES = 1_000_000, 256 * 1024  # how long, and how much, is read past the last answer
LOOK_BYTES = 4 << 20  # read at once to see whether a client that has sent so much is still there
WRITE_WITHIN = 20_000_000  # a client that takes no byte for so long is gone
BACKLOG = 1024  # connections that may wait at the door
ACCEPT_AT_ONCE = 16  # connections taken in one turn
LOOK_AGAIN = 20_000  # at the door, once there was no room
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def listening(number: int) -> socket.socket:
    """A socket that whoever started this process has left open for it. ValueError: it is none to take clients from."""
    try:
        sock = socket.socket(fileno=number)
    except OSError as e:
        raise ValueError(f"descriptor {number}: {e.strerror or e}") from None
    if (
        sock.family not in (socket.AF_INET, socket.AF_INET6)
        or sock.type != socket.SOCK_STREAM
        or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    ):
        sock.detach()  # it is not ours to close
        raise ValueError(f"descriptor {number} is no TCP socket that listens")
    return sock


class Link:
    """One client's connection, and the Reply to the request that is being answered on it."""

    def __init__(self, listener: Listener, sock: socket.socket, peer: Any) -> None:
        self.listener, self.sock, self.peer = listener, sock, peer
        self.machine = ServerConnection(listener.max_body)
        self.incoming = Incoming(listener.loop, sock)
        self.waiting: deque[RequestMessage | Rejected] = deque()
        self.pending: Pending | None = None
        self.answering = self.closed = self.ending = False
        self.requests = 0
        self.since = listener.deadlines.clock()  # its accept, the first byte of what is being read, the last answer
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
    def use(self) -> Use:
        """What it is good for now."""
        if self.closed or not self.idle_but_reading:
            return Use.NEEDED
        if self.ending:
            return Use.SPENT
        if self.machine.in_message:
            return Use.HALF
        return Use.IDLE if self.requests else Use.SILENT

    @property
    def may_close(self) -> bool:
        """Whether it may make room for another."""
        return may_close(self.use, self.has_bytes, self.listener.deadlines.clock() - self.since)

    @property
    def owes_a_request(self) -> bool:
        """Nothing was ever asked on it, or a request has begun and is not whole."""
        return self.machine.in_message or not self.requests

    @property
    def has_bytes(self) -> bool:
        """Something waits to be read. Danger: a request that crosses the end of its connection is lost on its way."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    # Reply.

    def gone(self) -> bool:
        """Whether the client has closed, half-closed or reset its connection, by the socket itself. Danger: a busy loop
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
            except (BlockingIOError, InterruptedError):
                break
            except OSError as e:
                self.close(f"client-{type(e).__name__}")
        return self.closed

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        self._put(messages.answer(status, headers, body, close=not self._keeps()))
        self._done()

    def turn_away(self, status: int, headers: Headers, body: bytes) -> None:
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
                # Danger: a fault in a handler must not leave its client without an answer.
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
        self.turn_away(message.status, *self.listener.handler.rejected(message.status, message.why))

    def _watch(self) -> None:
        """One deadline a connection: for a half-sent request, or for the next one to begin. Danger: were it set anew
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

    async def _read(self) -> None:
        """Danger: a read that the loop does ahead of this task's turn is lost with the task when the connection is
        closed in between: a request read, and dropped. So bytes are taken off the socket only here and in `gone`."""
        reason = "client-closed"
        try:
            while not self.closed:
                # Danger: clients by the hundred that ask once and stay would each hold a large buffer.
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
            return self._past <= LINGER_BYTES  # Danger: whoever sends megabytes after its answer is read to the end.
        self._feed(data)
        return True

    def _feed(self, data: memoryview) -> None:
        """Danger: a name in the reader's own frame would keep the last request for as long as its client stays."""
        began = self.machine.in_message
        for event in self.machine.feed(data):
            if isinstance(event, ContinueWanted):
                if not (self.answering or self.waiting):  # Danger: it would land inside another's answer.
                    self._put(b"HTTP/1.1 100 Continue\r\n\r\n")
                continue
            if self._floods:
                # Danger: left unread, a flood hides its client's end, and the requests of one that has gone would be
                # sent on. So reading goes on: nothing more of it is kept, and the answers to the first of it end it.
                self.waiting.append(Rejected(429, "too many requests at once on one connection"))
                self.machine.close()
                break
            if isinstance(event, RequestMessage):
                event.arrived = self.listener.deadlines.clock()
            self.waiting.append(event)
        if self.waiting:
            self._advance()
        elif self.machine.in_message != began:
            now = self.listener.deadlines.clock()
            self.since = now if self.requests else min(now, self.since + FIRST_LATER)
            self._watch()

    @property
    def _floods(self) -> bool:
        return (
            len(self.waiting) >= PIPELINED + (not self.answering)
            or sum(len(m.body) for m in self.waiting if isinstance(m, RequestMessage)) > self.machine.max_body
        )

    def _task_over(self, task: asyncio.Task[None]) -> None:
        """Danger: a socket that is closed while the loop still polls it may hand its number to another. A task that
        was cancelled holds its frame, and that this link: they go when the collector comes, unless let go of here."""
        if self._reader and self._reader.done() and (self._writer is None or self._writer.done()):
            self.sock.close()
            self.listener.links.discard(self)
            self._reader = self._writer = None

    async def _write(self) -> None:
        loop = self.listener.loop
        while self._out and not self.closed:
            data, self._out = self._out, bytearray()
            stuck = self.listener.deadlines.after(WRITE_WITHIN, lambda: self.close("client-stuck"))
            try:
                await loop.sock_sendall(self.sock, data)
            except OSError as e:
                return self.close(f"client-{type(e).__name__}")
            finally:
                self.listener.deadlines.cancel(stuck)
            self._room.set()
        if self.ending and not self.closed:
            self._linger()

    def _linger(self) -> None:
        """Danger: closed with input unread, the connection is reset and the answer lost on its way."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return self.close(self._reason)
        self._timer = self.listener.deadlines.after(LINGER, lambda: self.close(self._reason))

    def close_unless_asked(self, reason: str) -> None:
        """End an idle connection, unless a request has come that no turn has read yet: its answer ends it then."""
        if self.has_bytes:
            self._last, self.since = True, self.listener.deadlines.clock()
            self._watch()  # Danger: what came may be no request
        else:
            self.close(reason)

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
            "connection side={side} peer={peer} reason={reason} requests={requests}",
            side=self.listener.side,
            peer=self.peer,
            reason=reason,
            requests=self.requests,
        )
        pending, self.pending = self.pending, None
        if pending:
            pending.left()


class Found(NamedTuple):
    """One that can go, as it was when it was found; `at_once`: so many of its kind in one go."""

    link: Link
    use: Use
    since: int
    at_once: int


class Listener:
    """`most` bounds the connections; past it those that are of least use make room. `send_buffer`: bytes that the
    system may hold of an answer to one client, twice over; 0: as it likes. `side` names them in the log."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        counters: Counters,
        handler: Handler,
        most: int,
        max_body: int = MAX_BODY,
        send_buffer: int = 0,
        side: str = "client",
    ) -> None:
        self.loop, self.deadlines, self.counters, self.handler, self.most = loop, deadlines, counters, handler, most
        self.max_body, self.send_buffer, self.side = max_body, send_buffer, side
        self.links: set[Link] = set()
        self.draining = self.closing = False
        self._tasks = Tasks(loop, f"a {side} connection's task")
        self.spawn = self._tasks.spawn
        self._sock: socket.socket | None = None
        self._polled = False  # connections are taken as they come
        self._later: Key | None = None
        self._spare = deque[Found]()  # who can make room next

    def listen(self, address: Address) -> Address:
        """Open a door of our own; the address that it got."""
        sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
            sock.listen(BACKLOG)
        except OSError:
            sock.close()
            raise
        return self.adopt(sock)

    def adopt(self, sock: socket.socket) -> Address:
        """Take connections from a socket that listens already, maybe for others too; the address that it has."""
        self._sock = sock
        sock.setblocking(False)
        self._accept()
        host, port = sock.getsockname()[:2]
        return host, port

    @property
    def accepting(self) -> bool:
        return self._sock is not None

    def pause(self, on: bool) -> None:
        """Leave those who come to another process that takes them from the same socket, or take them again."""
        if on:
            self._unpoll()
            self.deadlines.cancel(self._later)
            self._later = None
        else:
            self._accept()

    def bound(self, most: int) -> None:
        """Another bound on the connections. Those that idle go now, down to it."""
        self.most = most
        idle = sorted((link for link in self.links if link.idle and not link.closed), key=lambda link: link.since)
        for link in idle[: max(0, len(self.links) - most)]:
            link.close_unless_asked("room-needed")

    def _accept(self) -> None:
        """Whoever waits at the door. Danger: an accept that is called off may have taken a connection that then
        nobody holds; so nothing waits in one, and each is taken in the turn that it is seen."""
        if self._later:
            self.deadlines.cancel(self._later)
            self._later = None
        if self._sock is None:
            return
        if not self._polled:
            self._polled = True
            self.loop.add_reader(self._sock.fileno(), self._accept)
        # Danger: one a turn, those who ask would stand in line behind hundreds who only connect.
        for taken in range(ACCEPT_AT_ONCE):
            full = len(self.links) >= self.most
            if full and taken:  # Danger: room would be made, maybe by the last one in, for nobody at the door.
                return
            if full and not self._make_room():
                return self._accept_later()
            try:
                client, peer = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as e:
                if e.errno not in EXHAUSTED:
                    continue  # this connection has failed before it was taken; the next may be well
                self.counters.accept_failures += 1
                logger.warning("accepting pauses: {error}", error=str(e))
                if e.errno == errno.EMFILE:
                    self._make_room()
                else:
                    # The system's tables are full, not ours: whoever is ended here may have a request on its way, and
                    # those at the door can wait there.
                    self._close_spent()
                return self._accept_later()
            self._take(client, peer)
            if full:  # Danger: those who made room are gone with the next turn; until then more would have to go
                return

    def _close_spent(self) -> None:
        for link in [link for link in self.links if link.use == Use.SPENT]:
            link.close("room-needed")

    def _accept_later(self) -> None:
        """Danger: polled while there is no room, a door with somebody before it would spin the loop."""
        self._unpoll()
        self._later = self.deadlines.after(LOOK_AGAIN, self._accept)

    def _unpoll(self) -> None:
        if self._polled and self._sock:
            self._polled = False
            self.loop.remove_reader(self._sock.fileno())

    def _take(self, client: socket.socket, peer: Any) -> None:
        client.setblocking(False)
        with contextlib.suppress(OSError):  # its client may have gone: its reader will tell
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.send_buffer:
                # Left to itself the system grows it to megabytes for a client that reads nothing, out of anyone's
                # sight, and the server behind it is never held back.
                client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer)
        self.links.add(Link(self, client, f"{peer[0]}:{peer[1]}"))

    def _make_room(self) -> bool:
        """In the order of `Use`: first go those that have had their last answer, then those that never asked, of which
        hundreds would shut everyone out, then whoever has idled longest, and half a request last of all."""
        # Danger: a crowd that comes and stays costs a walk over all at each accept; most of a core went into it. What
        # one walk has found serves for some that follow, as long as it still holds of each.
        closed, fresh = 0, False
        while not closed and not fresh:
            if fresh := not self._spare:
                self._spare.extend(self._least_useful())
            while self._spare and closed < self._spare[0].at_once:
                found = self._spare.popleft()
                if found.link.use == found.use and found.link.since == found.since and found.link.may_close:
                    found.link.close("room-needed")
                    closed += 1
        return closed > 0

    def _least_useful(self) -> list[Found]:
        """Of one kind, the first of which there are any that can go."""
        kinds: dict[Use, list[Link]] = {use: [] for use in Use}
        for link in self.links:
            kinds[link.use].append(link)
        some = max(2, min(ACCEPT_AT_ONCE, self.most // 8))  # several at once where they are cheap to lose
        for use, at_once in (Use.SPENT, some), (Use.SILENT, some), (Use.IDLE, 1), (Use.HALF, 1):
            oldest = nsmallest(4 * some, kinds[use], key=lambda link: link.since)
            if found := [Found(link, use, link.since, at_once) for link in oldest if link.may_close]:
                return found
        return []

    @property
    def open(self) -> bool:
        """Somebody is connected. Danger: whoever only rests may send in the last moment."""
        return any(not link.closed for link in self.links)

    @property
    def quiet(self) -> bool:
        """Nothing is being read, answered or written, and nobody's last answer is still on its way."""
        return all(link.closed or (link.idle and not link.ending) for link in self.links)

    def last_answers(self, on: bool = True) -> None:
        """From now on each answer ends its connection, or no longer does."""
        self.draining = on
        self.closing = self.closing and on

    def close_idle(self) -> None:
        """From now on no connection outlives its answer, even one that was begun before the drain."""
        self.closing = True
        for link in list(self.links):
            if link.idle:
                link.close_unless_asked("drained")

    def stop_accepting(self, leave: bool = False) -> None:
        """Shut the door. `leave` whoever waits behind it to another process that accepts from the same socket: with
        nobody else there they are reset, and what they have sent is lost."""
        if not self._sock:
            return
        self.pause(True)
        if not leave:
            self.accept_all()
        self._sock.close()
        self._sock = None

    def accept_all(self) -> bool:
        """Take whoever waits at the door now. False: descriptors or memory have run out, and somebody may wait on."""
        for _ in range(BACKLOG if self._sock else 0):
            assert self._sock
            try:
                client, peer = self._sock.accept()
            except BlockingIOError:
                break
            except OSError as e:
                if e.errno in EXHAUSTED:
                    self.counters.accept_failures += 1
                    return False
                continue  # that one has gone; those behind it have not
            self._take(client, peer)
        return True

    async def close(self) -> None:
        self.stop_accepting()
        for link in list(self.links):
            link.close("shutdown")
        await self._tasks.all_ended()
