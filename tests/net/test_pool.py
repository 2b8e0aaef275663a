"""The pool's connections, and the releases on them, with servers on loopback."""

import asyncio
import socket
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.backend import HttpBackend
from pearhill.net.clock import start_clock
from pearhill.net.exchange import CollectedResponse
from pearhill.net.pool import REUSE_DELAY_US, ConnectionPurpose, Pool
from pearhill.net.release_calls import FIRST_ANSWER_TIMEOUT_US, FIRST_BACKOFF_US
from pearhill.platform.front import Payload
from pearhill.platform.replica import ReplicaDialect

EARLY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
LARGE_REQUEST = b"x" * (1 << 24)  # more than the system buffers for a server that reads nothing


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a test on the program's event loop, for 20 s at most."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(work, 20))


def make_pool(deadlines: Deadlines, **settings: Any) -> Pool:
    """A small pool on the running loop."""
    defaults = {
        "connect_timeout": 5_000_000,
        "idle_timeout": 5_000_000,
        "max_connections": 4,
        "reserved_connections": 9,
    }
    return Pool(asyncio.get_running_loop(), deadlines, Counters(), **{**defaults, **settings})


def test_a_connection_that_the_server_has_closed_is_not_reused_even_before_its_reader_has_run() -> None:
    """A request written to it would fail with a reset, and may have been executed."""

    async def scenario() -> None:
        now = 0
        pool = make_pool(Deadlines(lambda: now), reserved_connections=0)
        with socket.create_server(("127.0.0.1", 0)) as server:
            first = await pool.acquire(server.getsockname())
            pool.put_back(first)
            now += REUSE_DELAY_US
            server.accept()[0].close()  # no tick of the event loop between here and the next acquire
            second = await pool.acquire(server.getsockname())
            assert second is not first
            assert first.closed
            pool.put_back(second)
            now += REUSE_DELAY_US
            assert await pool.acquire(server.getsockname()) is second
        pool.close()
        await asyncio.sleep(0)

    run(scenario())


@pytest.mark.parametrize("purpose", ConnectionPurpose)
def test_a_connection_carries_nothing_until_the_reuse_delay_after_an_exchange_is_over(
    purpose: ConnectionPurpose,
) -> None:
    """A second response, some milliseconds after the first, would be mistaken for the response to the next exchange,
    and a release that was taken for answered would not be repeated."""

    async def scenario() -> None:
        now = 0
        pool = make_pool(Deadlines(lambda: now))
        with socket.create_server(("127.0.0.1", 0)) as server:
            first = await pool.acquire(server.getsockname())
            pool.put_back(first)
            now += REUSE_DELAY_US - 1
            second = await pool.acquire(server.getsockname(), purpose)
            assert second is not first
            now += 1
            assert await pool.acquire(server.getsockname(), purpose) is first
        pool.close()
        await asyncio.sleep(0)

    run(scenario())


@pytest.mark.parametrize("early", [EARLY_RESPONSE, EARLY_RESPONSE[:5]], ids=["whole", "begun"])
def test_bytes_that_come_before_the_request_is_written_are_no_response_to_it(early: bytes) -> None:
    async def scenario() -> None:
        pool = make_pool(Deadlines(start_clock()))
        with socket.create_server(("127.0.0.1", 0)) as server:
            connection = await pool.acquire(server.getsockname())
            peer, _ = server.accept()
            response = CollectedResponse(pool.loop, 100)
            writing = asyncio.ensure_future(connection.send(response, lambda: LARGE_REQUEST))
            await asyncio.sleep(0)
            peer.sendall(early)
            with pytest.raises(OSError, match="Bad file descriptor|Broken pipe|Connection reset"):
                await asyncio.wait_for(writing, 20)
            assert isinstance(await response.done, ConnectionResetError)
            assert (response.status, connection.closed) == (0, True)
            assert pool.counters.connections["server lost-early"] == 1
            peer.close()
        pool.close()
        await asyncio.sleep(0)

    run(scenario())


def test_a_release_that_is_not_answered_on_idle_connections_is_retried_on_a_new_one_in_time() -> None:
    """The time limit is at least 300 ms, and 300 ms more are allowed. Here, two idle connections no longer answer."""

    async def scenario() -> None:
        now = connections = 0
        deadlines = Deadlines(lambda: now)
        pool = make_pool(deadlines, connect_timeout=250_000, idle_timeout=60_000_000)
        received: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connections
            connections += 1
            number = connections
            while data := await reader.read(4096):
                received.append(data)
                if number > 2:
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        idle = [await pool.acquire(address) for _ in range(2)]
        while connections < 2:
            await asyncio.sleep(0)
        for connection in idle:
            pool.put_back(connection)
        now = REUSE_DELAY_US
        backend = HttpBackend(pool, ReplicaDialect())
        backend.update_addresses({1: address}, [], full=True)
        request: Any = SimpleNamespace(number=7, payload=Payload("r7", "POST", "/", b"", ""))
        backend.release(request, {1})
        for wait in (FIRST_ANSWER_TIMEOUT_US, FIRST_BACKOFF_US):
            pending = len(deadlines)
            while not received or deadlines.earliest != now + wait:
                await asyncio.sleep(0)
            assert pending
            now += wait
            deadlines.run_due()
        while backend.pending_releases:
            await asyncio.sleep(0)
        assert (len(received), connections) == (2, 3)
        assert now - REUSE_DELAY_US <= 100_000
        pool.close()
        server.close()
        await asyncio.sleep(0)

    run(scenario())


def test_an_expired_idle_connection_is_not_reused_even_if_a_late_sweep_has_not_closed_it() -> None:
    """The server may have dropped it silently: a request written to it fails with a reset, and may be executed."""

    async def scenario() -> None:
        now = 0
        pool = make_pool(Deadlines(lambda: now), connect_timeout=10**6)
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        first = await pool.acquire(address)
        pool.put_back(first)
        now += 5_000_000
        assert await pool.acquire(address) is not first
        pool.close()
        server.close()
        await asyncio.sleep(0)

    run(scenario())


@pytest.mark.parametrize("cause", ["answered early", "closed here"])
def test_a_waiting_write_ends_with_its_connection_and_the_descriptor_is_closed_only_then(cause: str) -> None:
    """The reader detected the end, and closed a socket that was still polled for the writer. The writer waited for
    ever, and the next connection with the same descriptor was polled in its place."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        pool = make_pool(Deadlines(start_clock()), reserved_connections=0)
        with socket.create_server(("127.0.0.1", 0)) as server:
            connection = await pool.acquire(server.getsockname())
            peer, _ = server.accept()
            number = connection.sock.fileno()
            writing = asyncio.ensure_future(connection.send(CollectedResponse(loop, 100), lambda: LARGE_REQUEST))
            await asyncio.sleep(0)
            if cause == "answered early":
                peer.sendall(EARLY_RESPONSE)
            else:
                connection.close("called-off")
            with pytest.raises(OSError, match="Bad file descriptor|Broken pipe|Connection reset"):
                await asyncio.wait_for(writing, 20)
            await asyncio.sleep(0)
            assert not loop.remove_writer(number)
            assert connection.sock.fileno() == -1
            peer.close()
        pool.close()
        await asyncio.sleep(0)

    run(scenario())
