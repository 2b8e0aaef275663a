"""Timeouts of a client's connection on a virtual clock, while checks of its socket fail."""

import asyncio
import errno
import os
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.listener import Listener
from pearhill.net.ticks import EventLoopTicks
from tests.virtual import VirtualLoop

MAX_SILENT_S = 3.0  # a client that sends nothing, or stops half-way, is disconnected by then
FAILING_PEEKS = 5  # in succession, for want of memory


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


def test_a_silent_client_is_disconnected_in_time_although_checks_for_unread_input_fail(loop: VirtualLoop) -> None:
    """A failed check was treated like unread bytes, which restarted the client's timeout."""

    async def until_closed() -> float:
        deadlines = Deadlines(loop.micros)
        ticks = EventLoopTicks(loop, deadlines)
        listener = Listener(loop, deadlines, Counters(), handler=None, max_connections=4)  # type: ignore[arg-type]
        reader, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
        while not listener.connections:
            await asyncio.sleep(0)
        (connection,) = listener.connections
        connection.sock = FailingPeeks(connection.sock, FAILING_PEEKS)  # type: ignore[assignment]
        started_at = loop.time()
        assert await reader.read() == b""
        elapsed = loop.time() - started_at
        writer.close()
        await listener.close()
        ticks.close()
        return elapsed

    assert loop.run_until_complete(until_closed()) <= MAX_SILENT_S
