"""A client's connection: timeouts on a virtual clock while checks of its socket fail, and answers that wait."""

import asyncio
import contextlib
import errno
import os
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import pytest

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.http1.handler import Handler, Reply
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.http1.server import Rejected
from pearhill.net.accepted import REQUEST_TIMEOUT_US, AcceptedConnection
from pearhill.net.clock import start_clock
from pearhill.net.input_scheduler import InputLength, InputScheduler
from pearhill.net.listener import Listener
from pearhill.net.output_buffer import MAX_BUFFERED_BYTES
from pearhill.net.ticks import EventLoopTicks
from tests.net.loops import UvloopTestCase
from tests.virtual import VirtualLoop

T = TypeVar("T")
UNREAD_REQUESTS = 3
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
MAX_SILENT_S = 3.0  # a client that sends nothing, or stops half-way, is disconnected by then
FAILING_PEEKS = 5  # in succession, for want of memory
ANSWER_BYTES = 16 * 1024
HEAD_BYTES = 100  # of an answer, at most


class FailingPeeks:
    """A socket whose next checks for unread bytes fail for want of memory."""

    def __init__(self, sock: socket.socket, failing: int) -> None:
        self._sock = sock
        self.failing = failing

    def recv(self, size: int, flags: int = 0) -> bytes:
        if self.failing and flags & socket.MSG_PEEK:
            self.failing -= 1
            raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
        return self._sock.recv(size, flags)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    virtual_loop = VirtualLoop()
    asyncio.set_event_loop(virtual_loop)
    yield virtual_loop
    virtual_loop.close()
    asyncio.set_event_loop(None)


class LargeAnswers:
    """A handler that gives every request a large answer at once."""

    def handle(self, message: RequestMessage, reply: Reply) -> None:
        reply.answer(200, (), b"x" * ANSWER_BYTES)

    def rejection_response(self, status: int, reason: str) -> tuple[Headers, bytes]:
        return (), b""

    def overload_response(self) -> tuple[Headers, bytes]:
        return (), b""


@asynccontextmanager
async def open_listener(
    deadlines: Deadlines, send_buffer: int = 0, handler: Handler | None = None
) -> AsyncIterator[Listener]:
    loop = asyncio.get_running_loop()
    ticks = EventLoopTicks(loop, deadlines)
    handler = handler or LargeAnswers()
    listener = Listener(loop, deadlines, Counters(), handler, max_connections=4, send_buffer=send_buffer)
    yield listener
    await listener.close()
    ticks.close()


async def only_connection(listener: Listener) -> AcceptedConnection:
    """Wait for the one client, and return the listener's side of its connection."""
    while not listener.connections:
        await asyncio.sleep(0)
    (connection,) = listener.connections
    return connection


def test_a_silent_client_is_disconnected_in_time_although_checks_for_unread_input_fail(loop: VirtualLoop) -> None:
    """A failed check was treated like unread bytes, which restarted the client's timeout."""

    async def until_closed() -> float:
        async with open_listener(Deadlines(loop.micros)) as listener:
            reader, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
            connection = await only_connection(listener)
            connection.sock = FailingPeeks(connection.sock, FAILING_PEEKS)  # type: ignore[assignment]
            started_at = loop.time()
            assert await reader.read() == b""
            elapsed = loop.time() - started_at
            writer.close()
        return elapsed

    assert loop.run_until_complete(until_closed()) <= MAX_SILENT_S


def test_a_request_that_is_discarded_for_lack_of_memory_has_no_more_time_to_arrive(loop: VirtualLoop) -> None:
    """Discarding the body of an incomplete request restarted the client's timeout."""

    async def until_closed() -> float:
        async with open_listener(Deadlines(loop.micros)) as listener:
            reader, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
            connection = await only_connection(listener)
            started_at = loop.time()
            writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
            while not connection.intake.in_message:
                await asyncio.sleep(0)
            await asyncio.sleep(REQUEST_TIMEOUT_US / 1e6 - 0.1)
            connection.discard_newest()
            assert connection.held_bytes == 0
            assert (await reader.read()).startswith(b"HTTP/1.1 408")
            elapsed = loop.time() - started_at
            writer.close()
        return elapsed

    assert loop.run_until_complete(until_closed()) <= MAX_SILENT_S


class HeldScheduler(InputScheduler):
    """Runs no step until it is released."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.waiting = asyncio.Event()
        self.released = asyncio.Event()

    async def run(self, work: Callable[[], T], length: InputLength, cost: int = 0) -> T:
        self.waiting.set()
        await self.released.wait()
        return work()


class TestWaitingInput(UvloopTestCase):
    async def test_the_time_in_which_input_waits_for_its_turn_counts_against_the_client(self) -> None:
        """Otherwise a replica would be given more time than the client has left."""
        now_us = 1_000_000
        arrived = asyncio.get_running_loop().create_future()

        class RecordArrival(LargeAnswers):
            def handle(self, message: RequestMessage, reply: Reply) -> None:
                arrived.set_result(message.arrived)
                super().handle(message, reply)

        scheduler = HeldScheduler(asyncio.get_running_loop())
        async with open_listener(Deadlines(lambda: now_us), handler=RecordArrival()) as listener:
            listener.input_scheduler = scheduler
            _, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await scheduler.waiting.wait()
            now_us += 300_000
            scheduler.released.set()
            assert await arrived == 1_000_000
            writer.close()

    async def test_a_connection_that_is_closed_while_its_input_waits_for_its_turn_handles_none_of_it(self) -> None:
        scheduler = HeldScheduler(asyncio.get_running_loop())
        handled = []

        class RecordRequests(LargeAnswers):
            def handle(self, message: RequestMessage, reply: Reply) -> None:
                handled.append(message.target)

        async with open_listener(Deadlines(start_clock()), handler=RecordRequests()) as listener:
            listener.input_scheduler = scheduler
            reader, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
            connection = await only_connection(listener)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await scheduler.waiting.wait()
            connection.close("shutdown")
            scheduler.released.set()
            with contextlib.suppress(ConnectionResetError):
                await reader.read()
            while listener.connections:
                await asyncio.sleep(0)
            writer.close()
        assert handled == []


class TestEndsOfResponses(UvloopTestCase):
    async def test_what_is_written_after_the_end_of_a_response_is_not_sent(self) -> None:
        """It would be read as a part of the next response."""

        class LateWrites(LargeAnswers):
            def handle(self, message: RequestMessage, reply: Reply) -> None:
                reply.start(200)
                late = asyncio.ensure_future(reply.write(b"late"))
                reply.finish(b"in time")
                late.add_done_callback(lambda _: reply.abort(b"later"))

        async with open_listener(Deadlines(start_clock()), handler=LateWrites()) as listener:
            reader, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
            for _ in range(2):
                writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200 OK\r\n")
                assert await reader.readuntil(b"0\r\n\r\n") == b"7\r\nin time\r\n0\r\n\r\n"
            writer.close()

    async def test_a_handler_that_fails_in_the_middle_of_a_response_has_it_truncated(self) -> None:
        class FailingHandler(LargeAnswers):
            def handle(self, message: RequestMessage, reply: Reply) -> None:
                reply.start(200)
                raise ValueError

        async with open_listener(Deadlines(start_clock()), handler=FailingHandler()) as listener:
            reader, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            received = await reader.read()
            assert received.count(b"HTTP/1.1 ") == 1
            assert received.endswith(b"\r\n\r\n")
            writer.close()


class TestChecksForDisconnects(UvloopTestCase):
    """The client sends a request and, behind it, bytes that the dispatcher has not read when it checks."""

    async def asyncSetUp(self) -> None:
        self.scheduler = HeldScheduler(asyncio.get_running_loop())

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[tuple[AcceptedConnection, socket.socket]]:
        async with open_listener(Deadlines(start_clock())) as listener:
            listener.input_scheduler = self.scheduler
            client = socket.create_connection(listener.listen(("127.0.0.1", 0)))
            connection = await only_connection(listener)
            client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * UNREAD_REQUESTS)
            await self.scheduler.waiting.wait()
            yield connection, client
            client.close()

    async def test_a_check_for_a_disconnect_reads_no_input(self) -> None:
        """Each check read and parsed up to 4 MiB, at once: a tick of the loop took as long as the input of all clients
        that had sent more than one request."""
        async with self.connect() as (connection, _):
            assert not connection.has_disconnected()
            assert (connection.requests, len(connection.intake.waiting)) == (0, 0)

    async def test_the_end_of_a_connection_is_found_behind_unread_input(self) -> None:
        async with self.connect() as (connection, client):
            client.shutdown(socket.SHUT_WR)
            assert connection.has_disconnected()

    async def test_a_reset_is_found_behind_unread_input(self) -> None:
        async with self.connect() as (connection, client):
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            client.close()
            assert connection.has_disconnected()
            assert connection.owner.counters.connections == {"client client-ConnectionResetError": 1}


class TestUnreadAnswers(UvloopTestCase):
    async def test_answers_to_a_client_that_reads_nothing_are_limited(self) -> None:
        """Each request was answered as soon as it was read, and the answers that the client did not read filled memory.
        Requests wait now until it reads; too many of them are rejected, as behind a slow answer."""
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        async with open_listener(Deadlines(start_clock()), send_buffer=4096) as listener:
            client.connect(listener.listen(("127.0.0.1", 0)))
            client.setblocking(False)
            connection = await only_connection(listener)
            sent = 0
            while Rejected not in map(type, connection.intake.waiting):
                client.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                sent += 1
                while connection.requests + len(connection.intake.waiting) < sent:
                    await asyncio.sleep(0)
                assert len(connection.output.unsent) <= MAX_BUFFERED_BYTES + ANSWER_BYTES + HEAD_BYTES, sent
            received = b""
            while data := await loop.sock_recv(client, 65_536):
                received += data
            assert [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]] == [200] * (sent - 1) + [429]
            client.close()
