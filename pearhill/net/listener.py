"""Where clients connect: accepts them, bounds how many there are, and ends their connections in a drain."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from typing import Any

from loguru import logger

from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.counters import Counters
from pearhill.http1.handler import Handler
from pearhill.http1.server import MAX_BODY
from pearhill.net.accepted import AcceptedConnection
from pearhill.net.address import Address
from pearhill.net.eviction import ConnectionEvictor
from pearhill.net.tasks import Tasks
from pearhill.routing.permissions import ConnectionState

BACKLOG = 1024  # connections that may wait in the accept queue
MAX_ACCEPTS_PER_TICK = 16  # connections taken in one tick of the loop
RECHECK_INTERVAL_US = 20_000  # of the accept queue, while no connection can be taken
EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # of descriptors, buffers or memory


def inherited_socket(number: int) -> socket.socket:
    """A socket that the parent process has left open for this one. ValueError: no clients can be accepted from it."""
    try:
        sock = socket.socket(fileno=number)
    except OSError as e:
        raise ValueError(f"descriptor {number}: {e.strerror or e}") from None
    if (
        sock.family not in (socket.AF_INET, socket.AF_INET6)
        or sock.type != socket.SOCK_STREAM
        or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    ):
        sock.detach()  # it belongs to other code, which closes it
        raise ValueError(f"descriptor {number} is no TCP socket that listens")
    return sock


class Listener:
    """`max_connections` bounds the connections; past it those of least use are ended. `send_buffer`: bytes that the
    system may hold of an answer to one client, twice over; 0: as it likes. `side` names the connections in the log."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        counters: Counters,
        handler: Handler,
        max_connections: int,
        max_body: int = MAX_BODY,
        send_buffer: int = 0,
        side: str = "client",
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.counters = counters
        self.handler = handler
        self.max_connections = max_connections
        self.max_body = max_body
        self.send_buffer = send_buffer
        self.side = side
        self.connections: set[AcceptedConnection] = set()
        self.draining = False  # answers end their connections
        self.closing = False  # no connection outlives its answer, even one that was begun before the drain
        self._tasks = Tasks(loop, f"a {side} connection's task")
        self.spawn = self._tasks.spawn
        self._sock: socket.socket | None = None
        self._polled = False  # connections are taken as they come
        self._recheck: TimerKey | None = None
        self._accept_failing = False  # the last accept lacked something: the next client may have waited
        self._evictor = ConnectionEvictor(self.connections)

    # Accepting.

    def listen(self, address: Address) -> Address:
        """Open a listening socket of this process; the address that it got."""
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
        """The listening socket is open."""
        return self._sock is not None

    def pause_accepting(self, on: bool) -> None:
        """Leave new clients to another process that takes them from the same socket, or take them again."""
        if not on:
            return self._accept()
        self._unpoll()
        self.deadlines.cancel(self._recheck)
        self._recheck = None

    def set_max_connections(self, max_connections: int) -> None:
        """Set another bound on the connections. Those that idle longest end now, down to it."""
        self.max_connections = max_connections
        idle = [connection for connection in self.connections if connection.idle and not connection.closed]
        idle.sort(key=lambda connection: connection.since)
        for connection in idle[: max(0, len(self.connections) - max_connections)]:
            connection.close_unless_unread("room-needed")

    def _accept(self) -> None:
        """Take clients from the accept queue. An accept that is cancelled may have taken a connection that is
        then held nowhere; so nothing waits in one, and each is taken in the tick that it is seen."""
        if self._recheck:
            self.deadlines.cancel(self._recheck)
            self._recheck = None
        if self._sock is None:
            return
        self._poll(self._sock)
        # With one a tick, clients that send requests would wait behind hundreds that only connect.
        for taken in range(MAX_ACCEPTS_PER_TICK):
            full = len(self.connections) >= self.max_connections
            if full and taken:  # Another would be ended, maybe the last one accepted, while the queue is empty.
                return
            if full and not self._evictor.make_room(self.max_connections):
                return self._accept_later()
            try:
                client, peer = self._sock.accept()
            except BlockingIOError:
                self._accept_failing = False
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS:
                    continue  # this connection has failed before it was taken; the next may be well
                return self._accept_failed(error)
            self._take(client, peer)
            if full:  # Connections that were ended are gone with the next tick; until then more would have to go.
                return

    def _accept_failed(self, error: OSError) -> None:
        """Descriptors, buffers or memory have run out: try again after a pause."""
        self.counters.accept_failures += 1
        self._accept_failing = True
        logger.warning("accepting pauses: {error}", error=str(error))
        if error.errno == errno.EMFILE:
            self._evictor.make_room(self.max_connections)
        else:
            # The system's tables are full, not those of this process: any connection that is ended here may have a
            # request on its way, and clients in the accept queue can wait there.
            self._evictor.close_finished()
        self._accept_later()

    def _accept_later(self) -> None:
        """Polled while no connection can be taken, an accept queue that is not empty would spin the loop."""
        self._unpoll()
        self._recheck = self.deadlines.schedule_after(RECHECK_INTERVAL_US, self._accept)

    def _poll(self, sock: socket.socket) -> None:
        if not self._polled:
            self._polled = True
            self.loop.add_reader(sock.fileno(), self._accept)

    def _unpoll(self) -> None:
        if self._polled and self._sock:
            self._polled = False
            self.loop.remove_reader(self._sock.fileno())

    def _take(self, client: socket.socket, peer: Any) -> None:
        client.setblocking(False)
        with contextlib.suppress(OSError):  # the client may have gone: its connection's reader will notice
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.send_buffer:
                # Left to itself the system grows it to megabytes for a client that reads nothing, unseen by this
                # process, and the replica behind it is never held back.
                client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer)
        self.connections.add(AcceptedConnection(self, client, f"{peer[0]}:{peer[1]}", self._accept_failing))

    def forget(self, connection: AcceptedConnection) -> None:
        """The connection's socket is closed."""
        self.connections.discard(connection)

    # The end.

    @property
    def has_open_connections(self) -> bool:
        """A client is connected. One that only idles may send in the last moment."""
        return any(not connection.closed for connection in self.connections)

    @property
    def all_answered(self) -> bool:
        """Nothing is being read, answered or written, and no last answer is still on its way."""
        return all(connection.closed or (connection.idle and not connection.ending) for connection in self.connections)

    def close_after_answers(self, on: bool = True) -> None:
        """From now on each answer ends its connection, or no longer does."""
        self.draining = on
        self.closing = self.closing and on

    def close_idle(self) -> None:
        """From now on no connection outlives its answer, even one that was begun before the drain."""
        self.closing = True
        for connection in list(self.connections):
            if connection.idle:
                connection.close_unless_unread("drained")

    def reject_partial_requests(self) -> None:
        """Answer each request that is not complete with a rejection, and end its connection."""
        for connection in list(self.connections):
            if connection.state == ConnectionState.PARTIAL_REQUEST:
                connection.reject_partial_request()

    def stop_accepting(self, leave_queue: bool = False) -> None:
        """Close the listening socket. `leave_queue`: leave the clients in the accept queue to another
        process that accepts from the same socket: with no such process they are reset, and what they have sent is
        lost."""
        if not self._sock:
            return
        self.pause_accepting(True)
        if not leave_queue:
            self.accept_all()
        self._sock.close()
        self._sock = None

    def accept_all(self) -> bool:
        """Take every client in the accept queue now. False: descriptors or memory have run out, and some may wait."""
        for _ in range(BACKLOG if self._sock else 0):
            assert self._sock
            try:
                client, peer = self._sock.accept()
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in EXHAUSTION_ERRNOS:
                    self.counters.accept_failures += 1
                    self._accept_failing = True
                    return False
                continue  # that client has disconnected; those behind it have not
            self._take(client, peer)
        return True

    async def close(self) -> None:
        """Stop accepting, end all connections, and wait for their tasks."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close("shutdown")
        await self._tasks.all_ended()
