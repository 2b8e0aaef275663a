"""The listener's limit on connections, with real sockets and without a handler."""

import asyncio
import errno
import os
import socket
import unittest
from typing import Any

import pytest

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.net.clock import start_clock
from pearhill.net.listener import Listener
from pearhill.net.ticks import EventLoopTicks

MAX_CONNECTIONS = 64
FLOOD = 400  # clients that connect one after the other


class Rejecting:
    """A handler that rejects everything."""

    def handle(self, message: RequestMessage, reply: Reply) -> None:
        reply.answer(400)

    def rejection_response(self, status: int, reason: str) -> tuple[Headers, bytes]:
        return (), reason.encode()

    def overload_response(self) -> tuple[Headers, bytes]:
        return (), b""


class TestListener(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(start_clock())
        self.ticks = EventLoopTicks(loop, self.deadlines)
        self.listener = Listener(loop, self.deadlines, Counters(), handler=None, max_connections=MAX_CONNECTIONS)  # type: ignore[arg-type]
        self.address = self.listener.listen(("127.0.0.1", 0))
        self.scans = 0
        evictor = self.listener._evictor
        least_useful = evictor._least_useful

        def counting_least_useful(max_connections: int) -> Any:
            self.scans += 1
            return least_useful(max_connections)

        evictor._least_useful = counting_least_useful  # type: ignore[method-assign]

    async def asyncTearDown(self) -> None:
        await self.listener.close()
        self.ticks.close()

    async def test_a_flood_of_clients_does_not_scan_all_connections_for_each_client(self) -> None:
        clients = []
        for _ in range(FLOOD):
            client = socket.create_connection(self.address)
            client.setblocking(False)
            self.addCleanup(client.close)
            clients.append(client)
            await asyncio.sleep(0)
        closed_counts = self.listener.counters.connections
        while closed_counts["client room-needed"] < FLOOD - MAX_CONNECTIONS - 16:
            await asyncio.sleep(0)
        assert self.scans < FLOOD / 8
        assert sum(not connection.closed for connection in self.listener.connections) <= MAX_CONNECTIONS
        assert clients[0].recv(1) == b""  # the first client, which sent nothing, was disconnected
        with pytest.raises(BlockingIOError):
            clients[-1].recv(1)

    async def test_no_connection_is_closed_while_the_accept_queue_is_empty(self) -> None:
        """The last one accepted, whose request was in transit, was closed as soon as the limit was reached."""
        for batch in (3, MAX_CONNECTIONS - 3):
            before = len(self.listener.connections)
            for _ in range(batch):
                self.addCleanup(socket.create_connection(self.address).close)
            while len(self.listener.connections) < before + batch:
                await asyncio.sleep(0)
        for _ in range(10):
            await asyncio.sleep(0)
        assert self.listener.counters.connections["client room-needed"] == 0

    async def test_an_eviction_candidate_that_is_in_use_again_is_not_closed(self) -> None:
        clients = [socket.create_connection(self.address) for _ in range(MAX_CONNECTIONS - 1)]
        for client in clients:
            self.addCleanup(client.close)
        while len(self.listener.connections) < MAX_CONNECTIONS - 1:
            await asyncio.sleep(0)
        evictor = self.listener._evictor
        candidates = evictor._least_useful(MAX_CONNECTIONS)
        evictor._candidates.extend(candidates)
        for each in candidates:
            each.connection.answering = True
        assert evictor.evict(MAX_CONNECTIONS)
        assert not any(each.connection.closed for each in candidates)
        for each in candidates:
            each.connection.answering = False

    async def connect(self, count: int) -> list[socket.socket]:
        """Connect `count` more clients, and wait until all are accepted."""
        clients = [socket.create_connection(self.address) for _ in range(count)]
        for client in clients:
            client.setblocking(False)
            self.addCleanup(client.close)
        names = {"{}:{}".format(*client.getsockname()) for client in clients}
        while not names <= {connection.peer for connection in self.listener.connections}:
            await asyncio.sleep(0)
        return clients

    async def test_a_resource_shortage_of_the_system_closes_no_connection(self) -> None:
        """ENFILE, ENOBUFS and ENOMEM are shortages of the system: any connection may have a request in transit."""
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

    async def test_a_connection_with_a_partial_request_is_not_closed_while_others_can_be(self) -> None:
        """Its last byte may be in transit: if the connection were closed now, a request that was read would be lost."""
        partial, silent = await self.connect(2)
        partial.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
        while not any(connection.intake.in_message for connection in self.listener.connections):
            await asyncio.sleep(0)
        for _ in range(MAX_CONNECTIONS + 8):
            self.addCleanup(socket.create_connection(self.address).close)
            await asyncio.sleep(0)
        while not self.listener.counters.connections["client room-needed"]:
            await asyncio.sleep(0)
        assert silent.recv(1) == b""
        with pytest.raises(BlockingIOError):
            partial.recv(1)

    async def test_a_request_in_many_small_parts_is_rejected_when_its_place_is_needed(self) -> None:
        """Guards against picture (b) of the second review: such requests kept their places until their timeout, and
        usual clients waited in the accept queue. The idle client keeps its connection."""
        self.listener.handler = Rejecting()
        fragmented, idle = await self.connect(2)
        idle.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        fragmented.sendall(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 4_000)
        while not any(connection.intake.fragmented for connection in self.listener.connections):
            await asyncio.sleep(0)
        self.listener.set_max_connections(2)
        (usual,) = await self.connect(1)
        assert fragmented.recv(4096).startswith(b"HTTP/1.1 503")
        assert idle.recv(4096).startswith(b"HTTP/1.1 400")
        for client in (idle, usual):
            with pytest.raises(BlockingIOError):
                client.recv(1)

    async def test_a_request_in_many_small_parts_does_not_keep_the_last_place_while_it_is_read(self) -> None:
        """Otherwise each client in the accept queue waited for a search through all connections."""
        self.listener.handler = Rejecting()
        self.listener.set_max_connections(1)
        (fragmented,) = await self.connect(1)
        fragmented.sendall(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 4_000)
        while not self.listener.counters.connections["client room-needed"]:
            await asyncio.sleep(0)
        assert fragmented.recv(4096).startswith(b"HTTP/1.1 503")
        assert self.scans == 0

    async def test_a_client_with_an_unread_request_is_not_disconnected_at_its_timeout(self) -> None:
        """The request arrived just before its timeout, and the event loop had not read it yet."""
        (client,) = await self.connect(1)
        (connection,) = (connection for connection in self.listener.connections if not connection.closed)
        client.sendall(b"GET / HTTP/1.1\r\n")
        connection._request_overdue()
        assert not connection.closed

    async def test_clients_behind_a_failed_accept_are_accepted_before_the_socket_is_closed(self) -> None:
        """ECONNABORTED concerns one connection; those behind it would be reset when the listening socket is closed."""
        real = self.listener._sock
        assert real
        self.listener.pause_accepting(True)
        client = socket.create_connection(self.address)
        self.addCleanup(client.close)
        self.listener._sock = FirstAcceptAborted(real)  # type: ignore[assignment]
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


class FirstAcceptAborted:
    """A listening socket whose next accept fails, as for a client that has already disconnected."""

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
