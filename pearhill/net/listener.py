"""The listener: accepts clients' connections, limits how many there are, and closes them in a drain."""

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
from pearhill.net.input_scheduler import InputScheduler
from pearhill.net.memory_limit import DEFAULT_LIMIT_BYTES, MemoryLimit
from pearhill.net.request_intake import READ_BYTES
from pearhill.net.tasks import Tasks
from pearhill.net.tick_meter import TickMeter
from pearhill.routing.permissions import ConnectionState

BACKLOG = 1024  # connections that may wait in the accept queue
MAX_ACCEPTS_PER_TICK = 16  # connections accepted in one tick of the event loop
RECHECK_INTERVAL_US = 20_000  # of the accept queue, while no connection can be accepted
EXHAUSTION_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # of descriptors, buffers or memory


def inherited_socket(number: int) -> socket.socket:
    """Return a socket that the parent process has left open. Raises ValueError if it cannot accept clients."""
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
        raise ValueError(f"descriptor {number} is not a listening TCP socket")
    return sock


class Listener:
    """Accepts clients. Beyond `max_connections`, the least useful connections are closed. `send_buffer` is how many
    bytes of an answer to one client the system may buffer, of which it may use twice as many, or 0 for the system's
    default. `side` names the connections in the log. `request_memory` counts what the clients' requests hold."""

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
        request_memory: MemoryLimit | None = None,
        tick_meter: TickMeter | None = None,
        input_scheduler: InputScheduler | None = None,
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.counters = counters
        self.handler = handler
        self.max_connections = max_connections
        self.max_body = max_body
        self.send_buffer = send_buffer
        self.side = side
        self.request_memory = request_memory or MemoryLimit(DEFAULT_LIMIT_BYTES, max_connections)
        self.tick_meter = tick_meter or TickMeter(loop, counters)
        self.input_scheduler = input_scheduler or InputScheduler(loop)
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.connections: set[AcceptedConnection] = set()
        self.draining = False  # each new answer closes its connection
        self.closing = False  # each answer closes its connection, even one that was started before the drain
        self._tasks = Tasks(loop, f"a {side} connection's task")
        self.spawn = self._tasks.spawn
        self._sock: socket.socket | None = None
        self._polled = False  # the event loop polls the listening socket
        self._recheck_timer: TimerKey | None = None
        self._accept_failing = False  # the last accept lacked a resource, so the next client may have waited
        self._evictor = ConnectionEvictor(self.connections)

    # Accepting.

    def listen(self, address: Address) -> Address:
        """Open a listening socket of this process, and return its address."""
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
        """Accept clients from a socket that already listens, maybe for other processes too, and return its address."""
        self._sock = sock
        sock.setblocking(False)
        self._accept()
        host, port = sock.getsockname()[:2]
        return host, port

    @property
    def accepting(self) -> bool:
        """Whether the listening socket is open."""
        return self._sock is not None

    @property
    def full(self) -> bool:
        """Whether the limit on connections is reached."""
        return len(self.connections) >= self.max_connections

    def pause_accepting(self, on: bool) -> None:
        """Pause accepting, and leave new clients to another process that accepts from the same socket, or resume."""
        if not on:
            return self._accept()
        self._unpoll()
        self.deadlines.cancel(self._recheck_timer)
        self._recheck_timer = None

    def set_max_connections(self, max_connections: int) -> None:
        """Change the limit on connections. Those that have been idle longest are closed now, down to the limit."""
        self.max_connections = max_connections
        idle = [connection for connection in self.connections if connection.idle and not connection.closed]
        idle.sort(key=lambda connection: connection.state_since)
        for connection in idle[: max(0, len(self.connections) - max_connections)]:
            connection.close_unless_unread("room-needed")

    def _accept(self) -> None:
        """Accept clients from the accept queue. No task waits in an accept: if it were cancelled, a connection that it
        had already accepted could be lost. Clients are accepted in the tick in which the loop reports them."""
        if self._recheck_timer:
            self.deadlines.cancel(self._recheck_timer)
            self._recheck_timer = None
        if self._sock is None:
            return
        self._poll(self._sock)
        self.tick_meter.record_work()
        # With one accept per tick, clients that send requests would wait behind hundreds that only connect.
        for accept_count in range(MAX_ACCEPTS_PER_TICK):
            full = self.full
            if full and accept_count:
                # A further connection would be closed, maybe the last one accepted, while the queue may be empty.
                return
            if full and not self._make_room():
                return
            try:
                client, peer = self._sock.accept()
            except BlockingIOError:
                self._accept_failing = False
                return
            except OSError as error:
                if error.errno not in EXHAUSTION_ERRNOS:
                    continue  # this connection failed before it was accepted; the next may succeed
                return self._accept_failed(error)
            self._add_connection(client, peer)
            if full:
                # Closed connections are removed in the next tick; until then, each accept would close further ones.
                return

    def _make_room(self) -> bool:
        """Close a connection so that another can be accepted. Returns False if none can be accepted now."""
        if any(connection.closed for connection in self.connections):
            return False  # it is removed in the next tick; until then, another would be closed for its place
        if self._evictor.evict(self.max_connections):
            return True
        self._accept_later()
        return False

    def _accept_failed(self, error: OSError) -> None:
        """Handle an accept for which descriptors, buffers or memory ran out: retry after a pause."""
        self.counters.accept_failures += 1
        self._accept_failing = True
        logger.warning("accepting pauses: {error}", error=str(error))
        if error.errno == errno.EMFILE:
            self._evictor.evict(self.max_connections)
        else:
            # The system's resources ran out, not this process's descriptors. Any connection that is closed here may
            # have a request in transit, whereas clients in the accept queue can wait there.
            self._evictor.close_finished()
        self._accept_later()

    def _accept_later(self) -> None:
        """Stop polling, and retry later: polling a non-empty accept queue while no connection can be accepted would
        make the event loop spin."""
        self._unpoll()
        self._recheck_timer = self.deadlines.schedule_after(RECHECK_INTERVAL_US, self._accept)

    def _poll(self, sock: socket.socket) -> None:
        if not self._polled:
            self._polled = True
            self.loop.add_reader(sock.fileno(), self._accept)

    def _unpoll(self) -> None:
        if self._polled and self._sock:
            self._polled = False
            self.loop.remove_reader(self._sock.fileno())

    def _add_connection(self, client: socket.socket, peer: Any) -> None:
        client.setblocking(False)
        with contextlib.suppress(OSError):  # the client may have disconnected, which its connection's reader detects
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.send_buffer:
                # By default the system grows the buffer to megabytes for a client that reads nothing. This process does
                # not see those bytes, and would apply no backpressure to the replica.
                client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer)
        self.connections.add(AcceptedConnection(self, client, f"{peer[0]}:{peer[1]}", self._accept_failing))

    def forget(self, connection: AcceptedConnection) -> None:
        """Remove a connection whose socket is closed."""
        self.connections.discard(connection)

    # Drain and shutdown.

    @property
    def has_open_connections(self) -> bool:
        """Whether any client is connected, even if idle: it may still send a request at the last moment."""
        return any(not connection.closed for connection in self.connections)

    @property
    def all_answered(self) -> bool:
        """Whether nothing is being read, answered or written, and no last answer is still in transit."""
        return all(
            connection.closed or (connection.idle and not connection.last_answer_given)
            for connection in self.connections
        )

    def close_after_answers(self, on: bool = True) -> None:
        """From now on, close each connection after its next answer, or no longer if `on` is False."""
        self.draining = on
        self.closing = self.closing and on

    def close_idle(self) -> None:
        """Close idle connections, and from now on each connection after its answer, even an answer that was started
        before the drain."""
        self.closing = True
        for connection in list(self.connections):
            if connection.idle:
                connection.close_unless_unread("drained")

    def reject_partial_requests(self) -> None:
        """Reject each request that is incomplete, and close its connection."""
        for connection in list(self.connections):
            if connection.state in (ConnectionState.PARTIAL_REQUEST, ConnectionState.FRAGMENTED_REQUEST):
                connection.reject_partial_request("this process ends: trying again elsewhere is harmless")

    def stop_accepting(self, leave_queue: bool = False) -> None:
        """Close the listening socket. `leave_queue` leaves the clients in the accept queue to another process that
        accepts from the same socket: without such a process they are reset, and what they have sent is lost."""
        if not self._sock:
            return
        self.pause_accepting(True)
        if not leave_queue:
            self.accept_all()
        self._sock.close()
        self._sock = None

    def accept_all(self) -> bool:
        """Accept every client in the accept queue now. Returns False if descriptors or memory ran out, in which case
        some clients may still wait."""
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
            self._add_connection(client, peer)
        return True

    async def close(self) -> None:
        """Stop accepting, close all connections, and wait for their tasks."""
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close("shutdown")
        await self._tasks.wait_all()
