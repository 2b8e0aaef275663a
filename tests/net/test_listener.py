"""The listener's bound on connections, with real sockets and a handler that answers nothing."""

import asyncio
import errno
import os
import socket
import unittest
from typing import Any

import pytest

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.clock import start_clock
from pearhill.net.listener import Listener
from pearhill.net.ticks import EventLoopTicks

MAX_CONNECTIONS = 64
FLOOD = 400  # clients that connect one after the other


class TestListener(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(start_clock())
        self.ticks = EventLoopTicks(loop, self.deadlines)
        self.listener = Listener(loop, self.deadlines, Counters(), handler=None, max_connections=MAX_CONNECTIONS)  # type: ignore[arg-type]
        self.address = self.listener.listen(("127.0.0.1", 0))
        self.walks = 0
        evictor = self.listener._evictor
        least_useful = evictor._least_useful

        def counted(max_connections: int) -> Any:
            self.walks += 1
            return least_useful(max_connections)

        evictor._least_useful = counted  # type: ignore[method-assign]

    async def asyncTearDown(self) -> None:
        await self.listener.close()
        self.ticks.close()

    async def test_a_flood_costs_no_walk_over_all_connections_for_each_client(self) -> None:
        clients = []
        for _ in range(FLOOD):
            client = socket.create_connection(self.address)
            client.setblocking(False)
            self.addCleanup(client.close)
            clients.append(client)
            await asyncio.sleep(0)
        ended = self.listener.counters.connections
        while ended["client room-needed"] < FLOOD - MAX_CONNECTIONS - 16:
            await asyncio.sleep(0)
        assert self.walks < FLOOD / 8
        assert sum(not connection.closed for connection in self.listener.connections) <= MAX_CONNECTIONS
        assert clients[0].recv(1) == b""  # the first client, which sent nothing, was ended
        with pytest.raises(BlockingIOError):
            clients[-1].recv(1)

    async def test_no_connection_is_ended_while_the_accept_queue_is_empty(self) -> None:
        """The last one accepted, whose request was on its way, was ended as soon as the bound was reached."""
        for some in (3, MAX_CONNECTIONS - 3):
            before = len(self.listener.connections)
            for _ in range(some):
                self.addCleanup(socket.create_connection(self.address).close)
            while len(self.listener.connections) < before + some:
                await asyncio.sleep(0)
        for _ in range(10):
            await asyncio.sleep(0)
        assert self.listener.counters.connections["client room-needed"] == 0

    async def test_a_connection_that_has_become_useful_since_it_was_found_is_not_ended(self) -> None:
        clients = [socket.create_connection(self.address) for _ in range(MAX_CONNECTIONS - 1)]
        for client in clients:
            self.addCleanup(client.close)
        while len(self.listener.connections) < MAX_CONNECTIONS - 1:
            await asyncio.sleep(0)
        evictor = self.listener._evictor
        found = evictor._least_useful(MAX_CONNECTIONS)
        evictor._closable.extend(found)
        for each in found:
            each.connection.answering = True
        assert evictor.make_room(MAX_CONNECTIONS)
        assert not any(each.connection.closed for each in found)
        for each in found:
            each.connection.answering = False

    async def connect(self, count: int) -> list[socket.socket]:
        """So many more clients, all accepted."""
        clients = [socket.create_connection(self.address) for _ in range(count)]
        for client in clients:
            client.setblocking(False)
            self.addCleanup(client.close)
        names = {"{}:{}".format(*client.getsockname()) for client in clients}
        while not names <= {connection.peer for connection in self.listener.connections}:
            await asyncio.sleep(0)
        return clients

    async def test_a_full_table_of_files_of_the_system_ends_no_connection_here(self) -> None:
        """ENFILE, ENOBUFS and ENOMEM are the system's: any connection may have a request on its way."""
        for number in (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            with self.subTest(errno=errno.errorcode[number]):
                clients = await self.connect(3)
                real = self.listener._sock
                assert real
                self.listener._sock = FailingAccept(number, real.fileno())  # type: ignore[assignment]
                try:
                    self.listener._accept()
                finally:
                    self.listener._sock = real
                for _ in range(5):
                    await asyncio.sleep(0)
                for client in clients:
                    with pytest.raises(BlockingIOError):
                        client.recv(1)
                    client.close()

    async def test_a_partial_request_is_not_ended_while_other_connections_can_be(self) -> None:
        """Its last byte is on its way: closed now, it would be read and lost."""
        half, silent = await self.connect(2)
        half.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
        while not any(connection.intake.in_message for connection in self.listener.connections):
            await asyncio.sleep(0)
        for _ in range(MAX_CONNECTIONS + 8):
            self.addCleanup(socket.create_connection(self.address).close)
            await asyncio.sleep(0)
        while not self.listener.counters.connections["client room-needed"]:
            await asyncio.sleep(0)
        assert silent.recv(1) == b""
        with pytest.raises(BlockingIOError):
            half.recv(1)

    async def test_a_silent_client_is_not_closed_over_a_request_that_waits_to_be_read(self) -> None:
        """It came in the very moment in which its time was over, and the loop was late."""
        (client,) = await self.connect(1)
        (connection,) = (connection for connection in self.listener.connections if not connection.closed)
        client.sendall(b"GET / HTTP/1.1\r\n")
        connection._request_overdue()
        assert not connection.closed

    async def test_a_connection_that_fails_in_the_last_accepts_takes_none_behind_it_along(self) -> None:
        """ECONNABORTED is that one connection's; those behind it would be reset with the socket."""
        real = self.listener._sock
        assert real
        self.listener.pause_accepting(True)
        client = socket.create_connection(self.address)
        self.addCleanup(client.close)
        self.listener._sock = AbortedFirst(real)  # type: ignore[assignment]
        self.listener.stop_accepting()
        assert "{}:{}".format(*client.getsockname()) in {connection.peer for connection in self.listener.connections}


class FailingAccept:
    """A listening socket on which every accept fails."""

    def __init__(self, number: int, descriptor: int) -> None:
        self.number = number
        self.descriptor = descriptor

    def fileno(self) -> int:
        return self.descriptor

    def accept(self) -> None:
        raise OSError(self.number, os.strerror(self.number))


class AbortedFirst:
    """A listening socket whose next accept fails, as for a client that has gone already."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.failed = False

    def fileno(self) -> int:
        return self.sock.fileno()

    def accept(self) -> Any:
        if not self.failed:
            self.failed = True
            raise ConnectionAbortedError(errno.ECONNABORTED, os.strerror(errno.ECONNABORTED))
        return self.sock.accept()

    def close(self) -> None:
        self.sock.close()
