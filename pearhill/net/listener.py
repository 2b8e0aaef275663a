"""Where clients connect: accepts them, and makes room among them."""

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
from pearhill.http1.handler import Handler
from pearhill.http1.server import MAX_BODY
from pearhill.net.accepted import AcceptedConnection
from pearhill.net.address import Address
from pearhill.net.tasks import Tasks
from pearhill.routing.permissions import ConnectionUse

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


class Found(NamedTuple):
    """One that can go, as it was when it was found; `at_once`: so many of its kind in one go."""

    link: AcceptedConnection
    use: ConnectionUse
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
        self.links: set[AcceptedConnection] = set()
        self.draining = self.closing = False
        self._tasks = Tasks(loop, f"a {side} connection's task")
        self.spawn = self._tasks.spawn
        self._sock: socket.socket | None = None
        self._polled = False  # connections are taken as they come
        self._later: Key | None = None
        self._failing = False  # the last accept failed for want of something: whoever comes next may have waited
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
        """Whoever waits at the door. An accept that is called off may have taken a connection that then
        nobody holds; so nothing waits in one, and each is taken in the turn that it is seen."""
        if self._later:
            self.deadlines.cancel(self._later)
            self._later = None
        if self._sock is None:
            return
        if not self._polled:
            self._polled = True
            self.loop.add_reader(self._sock.fileno(), self._accept)
        # One a turn, those who ask would stand in line behind hundreds who only connect.
        for taken in range(ACCEPT_AT_ONCE):
            full = len(self.links) >= self.most
            if full and taken:  # Room would be made, maybe by the last one in, for nobody at the door.
                return
            if full and not self._make_room():
                return self._accept_later()
            try:
                client, peer = self._sock.accept()
            except BlockingIOError:
                self._failing = False
                return
            except OSError as e:
                if e.errno not in EXHAUSTED:
                    continue  # this connection has failed before it was taken; the next may be well
                self.counters.accept_failures += 1
                self._failing = True
                logger.warning("accepting pauses: {error}", error=str(e))
                if e.errno == errno.EMFILE:
                    self._make_room()
                else:
                    # The system's tables are full, not ours: whoever is ended here may have a request on its way, and
                    # those at the door can wait there.
                    self._close_spent()
                return self._accept_later()
            self._take(client, peer)
            if full:  # Those who made room are gone with the next turn; until then more would have to go
                return

    def _close_spent(self) -> None:
        for link in [link for link in self.links if link.use == ConnectionUse.FINISHED]:
            link.close("room-needed")

    def _accept_later(self) -> None:
        """Polled while there is no room, a door with somebody before it would spin the loop."""
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
        self.links.add(AcceptedConnection(self, client, f"{peer[0]}:{peer[1]}", self._failing))

    def _make_room(self) -> bool:
        """In the order of `Use`: first go those that have had their last answer, then those that never asked, of which
        hundreds would shut everyone out, then whoever has idled longest, and half a request last of all."""
        # A crowd that comes and stays costs a walk over all at each accept; most of a core went into it. What
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
        kinds: list[list[AcceptedConnection]] = [
            [] for _ in ConnectionUse
        ]  # by index: a walk over a crowd hashes no member
        for link in self.links:
            kinds[link.use].append(link)
        some = max(2, min(ACCEPT_AT_ONCE, self.most // 8))  # several at once where they are cheap to lose
        for use, at_once in (
            (ConnectionUse.FINISHED, some),
            (ConnectionUse.UNUSED, some),
            (ConnectionUse.IDLE, 1),
            (ConnectionUse.PARTIAL_REQUEST, 1),
        ):
            oldest = nsmallest(4 * some, kinds[use], key=lambda link: link.since)
            if found := [Found(link, use, link.since, at_once) for link in oldest if link.may_close]:
                return found
        return []

    @property
    def open(self) -> bool:
        """Somebody is connected. Whoever only rests may send in the last moment."""
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

    def refuse_half_requests(self) -> None:
        """Whoever has sent a part of a request gets its refusal, and its connection ends."""
        for link in list(self.links):
            if link.use == ConnectionUse.PARTIAL_REQUEST:
                link.refuse_half_request()

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
                    self._failing = True
                    return False
                continue  # that one has gone; those behind it have not
            self._take(client, peer)
        return True

    async def close(self) -> None:
        self.stop_accepting()
        for link in list(self.links):
            link.close("shutdown")
        await self._tasks.all_ended()
