"""The pool of connections to servers: opened on demand, used for one exchange at a time, kept while idle and reused."""

from __future__ import annotations

import asyncio
import enum
import errno
import socket
from collections.abc import Callable

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.address import Address
from pearhill.net.errors import ConnectError, ConnectRefusedError, PoolExhaustedError, SystemResourceError
from pearhill.net.pooled_connection import PooledConnection
from pearhill.net.tasks import Tasks
from pearhill.net.tick_meter import TickMeter
from pearhill.net.ticks import time_limit

MAX_CONNECT_US = 75_000_000  # the system's own connect timeout is shorter
DISCOVERY_CONNECTIONS = 8  # of the reserved ones, for the endpoint list alone
# A faulty server that sends a second response after a first one does so some milliseconds later. If the connection
# already carried another exchange, of whatever kind, the second response would be mistaken for that exchange's.
REUSE_DELAY_US = 20_000
SHORTAGE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)


class ConnectionPurpose(enum.IntEnum):
    """The purpose of a connection. Each purpose may use the descriptors of the purposes before it, and more."""

    REQUEST = 0
    CONTROL = 1  # releases and other calls that maintain the state of servers and of this process
    DISCOVERY = 2  # the endpoint list


class Pool:
    """All connections to servers. `max_connections` limits their total. `reserved_connections` more are for calls that
    are not requests, and `DISCOVERY_CONNECTIONS` of these are for the endpoint list alone: requests cannot use any of
    them, and the hundreds of releases that follow a network partition cannot use all. `connect_timeout` and
    `idle_timeout` are in microseconds."""

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
        tick_meter: TickMeter | None = None,
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.counters = counters
        self.tick_meter = tick_meter or TickMeter(loop, counters)
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.max_connections = max_connections
        self.reserved_connections = reserved_connections
        self.idle: dict[Address, list[PooledConnection]] = {}  # without empty lists, as servers are replaced often
        self.open: set[PooledConnection] = set()
        # Open connections of attempts that were given up, and what is called when each is closed. They are closed
        # before a request is rejected.
        self.given_up: dict[PooledConnection, Callable[[], None]] = {}
        self._connecting = 0
        self.spawn = Tasks(loop, "a connection's task").spawn

    async def acquire(
        self,
        address: Address,
        purpose: ConnectionPurpose = ConnectionPurpose.REQUEST,
        connect_within: int = MAX_CONNECT_US,
        fresh: bool = False,
    ) -> PooledConnection:
        """Return an established connection: the most recently used idle one that is usable, or else a new one.
        `connect_within` limits the microseconds for a new one, if that is less than the settings allow. `fresh` forces
        a new one. Raises ConnectError if none is established."""
        if not fresh:
            idle = self._take_idle(address)
            if idle:
                return idle
        if len(self.open) + self._connecting >= self._limit(purpose) and not self._close_one():
            raise PoolExhaustedError("the limit on connections to servers is reached and none can be closed")
        sock = await self._connect(address, min(connect_within, self.connect_timeout))
        connection = PooledConnection(self, address, sock)
        self.open.add(connection)
        return connection

    def _take_idle(self, address: Address) -> PooledConnection | None:
        """Take the reusable idle connection that was used last, or return None. Broken ones that it finds are closed.

        This is the only place that decides whether a connection carries another exchange.
        """
        now = self.deadlines.clock()
        for connection in reversed(self.idle.get(address, []).copy()):
            if connection.reusable_at > now:
                continue
            expired = connection.idle_timer is not None and connection.idle_timer[0] <= now
            self._remove_idle(connection)
            if expired:  # the sweep is late, and the server may have dropped the connection silently
                connection.close("idle")
                continue
            if connection.usable:
                return connection
            connection.close("stale")
        return None

    def _limit(self, purpose: ConnectionPurpose) -> int:
        """Return the limit on all connections when one for this purpose is opened. Without the reserve, hundreds of
        requests would leave no descriptor for releases and for the endpoint list."""
        match purpose:
            case ConnectionPurpose.REQUEST:
                return self.max_connections
            case ConnectionPurpose.CONTROL:
                return self.max_connections + self.reserved_connections - DISCOVERY_CONNECTIONS
            case ConnectionPurpose.DISCOVERY:
                return self.max_connections + self.reserved_connections

    async def _connect(self, address: Address, timeout: int) -> socket.socket:
        """Return a new socket, connected within `timeout` microseconds."""
        sock: socket.socket | None = None
        self._connecting += 1
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with time_limit(self.deadlines, timeout):
                await self.loop.sock_connect(sock, address)
        except (OSError, TimeoutError) as error:
            if sock:
                sock.close()
            raise self._connect_error(address, error) from None
        except asyncio.CancelledError:
            if sock:
                sock.close()
            raise
        finally:
            self._connecting -= 1
        return sock

    def _connect_error(self, address: Address, error: OSError) -> ConnectError:
        """Return the error of a failed connect, which distinguishes a shortage of this system, an unreachable server
        and one that refuses connections."""
        if error.errno in SHORTAGE_ERRNOS:
            self.counters.shortages += 1
            return SystemResourceError(str(error))
        kind = ConnectRefusedError if error.errno == errno.ECONNREFUSED else ConnectError
        return kind(f"{address[0]}:{address[1]}: {error or 'timed out'}")

    def set_max_connections(self, max_connections: int) -> None:
        """Change the limit on all connections together. Those idle longest are closed now, down to the limit."""
        self.max_connections = max_connections
        while len(self.open) > max_connections and self._close_one():
            pass

    def reconfigure(self, connect_timeout: int, idle_timeout: int) -> None:
        """Change the timeouts, in microseconds, of connections that are opened or put back from now on."""
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout

    def put_back(self, connection: PooledConnection) -> None:
        """Put back a connection whose exchange has ended. It may carry another one after `REUSE_DELAY_US`."""
        self.idle.setdefault(connection.address, []).append(connection)
        connection.reusable_at = self.deadlines.clock() + REUSE_DELAY_US
        # A server may close an idle connection silently, and a request that is then sent may have been executed.
        connection.idle_timer = self.deadlines.schedule_after(self.idle_timeout, lambda: connection.close("idle"))

    def forget(self, connection: PooledConnection) -> None:
        """Remove a closed connection."""
        self.open.discard(connection)
        self._remove_idle(connection)
        on_close = self.given_up.pop(connection, None)
        if on_close:
            on_close()

    def _remove_idle(self, connection: PooledConnection) -> None:
        self.deadlines.cancel(connection.idle_timer)
        idle = self.idle.get(connection.address, [])
        if connection not in idle:
            return
        idle.remove(connection)
        if not idle:
            del self.idle[connection.address]

    def drop_idle(self, address: Address) -> None:
        """Close the idle connections to a server that is no longer used."""
        for connection in list(self.idle.get(address, ())):
            connection.close("server-left")

    def _close_one(self) -> bool:
        """Close the connection that has been idle longest, or else that of a given-up attempt. Returns False if there
        is neither."""
        oldest = min(
            (connection for idle in self.idle.values() for connection in idle),
            key=lambda connection: connection.idle_timer or (0, 0),
            default=next(iter(self.given_up), None),
        )
        if oldest:
            oldest.close("room-needed")
        return oldest is not None

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.open):
            connection.close("shutdown")
