"""Writes to a socket: short writes, and failures that do not concern the connection."""

import asyncio
import errno
import socket
from typing import Any

import pytest

from pearhill.net.socket_writer import SocketWriter
from tests.net.loops import UvloopTestCase


class LimitedWrites:
    """A socket that accepts at most `max_bytes` at once, and whose next writes fail with the numbers in `errors`."""

    def __init__(self, sock: socket.socket, max_bytes: int) -> None:
        self.sock = sock
        self.max_bytes = max_bytes
        self.errors = list[int]()

    def fileno(self) -> int:
        return self.sock.fileno()

    def send(self, data: memoryview) -> int:
        if self.errors:
            raise OSError(self.errors.pop(0), "scripted")
        return self.sock.send(data[: self.max_bytes])


class TestSocketWriter(UvloopTestCase):
    async def asyncSetUp(self) -> None:
        ours, self.theirs = socket.socketpair()
        ours.setblocking(False)
        self.sock: Any = LimitedWrites(ours, 1 << 20)
        self.writer = SocketWriter(asyncio.get_running_loop(), self.sock)
        self.addCleanup(ours.close)
        self.addCleanup(self.theirs.close)

    async def test_every_byte_is_sent_once_despite_transient_failures(self) -> None:
        self.sock.max_bytes = 3
        for number in (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS):
            self.sock.errors = [number, number]
            await asyncio.wait_for(self.writer.send_all(lambda: b"one two three"), 20)
            assert self.theirs.recv(100) == b"one two three", errno.errorcode[number]

    async def test_bytes_that_do_not_fit_wait_until_they_are_accepted(self) -> None:
        data = bytes(range(256)) * 8192
        sending = asyncio.create_task(self.writer.send_all(lambda: data))
        await asyncio.sleep(0)
        assert not sending.done()
        received = bytearray()
        self.theirs.setblocking(False)
        while len(received) < len(data):
            received += await asyncio.get_running_loop().sock_recv(self.theirs, 1 << 16)
        await sending
        assert bytes(received) == data

    async def test_a_connection_that_closes_during_a_waiting_write_raises_an_error(self) -> None:
        sending = asyncio.create_task(self.writer.send_all(lambda: b"x" * (1 << 22)))
        await asyncio.sleep(0)
        self.theirs.close()
        with pytest.raises((BrokenPipeError, ConnectionResetError)):
            await asyncio.wait_for(sending, 20)

    async def test_data_is_rebuilt_until_its_first_byte_is_sent(self) -> None:
        """A request states how much time is left, and may have to wait before any of its bytes is accepted."""
        built = 0

        def build() -> bytes:
            nonlocal built
            built += 1
            return b"%d left" % (9 - built)

        self.sock.max_bytes = 3
        self.sock.errors = [errno.ENOBUFS, errno.EINTR, errno.EAGAIN]
        await asyncio.wait_for(self.writer.send_all(build), 20)
        assert (self.theirs.recv(100), built) == (b"5 left", 4)

    async def test_an_interrupted_write_is_retried_at_once(self) -> None:
        self.sock.errors = [errno.EINTR] * 5
        sending = asyncio.ensure_future(self.writer.send_all(lambda: b"x"))
        for _ in range(10):
            await asyncio.sleep(0)
        assert sending.done()
