"""The output buffer sends bytes at once if the socket accepts them, each once and in order, and bounds unsent bytes."""

import asyncio
import errno
import os
import socket

import pytest

from pearhill.net.output_buffer import MAX_BUFFERED_BYTES, OutputBuffer
from tests.net.loops import UvloopTestCase


class LimitedSocket:
    """A socket that accepts `capacity` bytes in total, and then fails with the error `number`."""

    def __init__(self, sock: socket.socket, capacity: int, number: int = errno.EAGAIN) -> None:
        self.sock = sock
        self.capacity = capacity
        self.number = number
        self.sent = bytearray()

    def fileno(self) -> int:
        return self.sock.fileno()

    def send(self, data: bytes) -> int:
        if not self.capacity:
            raise OSError(self.number, os.strerror(self.number))
        taken = bytes(data[: self.capacity])
        self.capacity -= len(taken)
        self.sent += taken
        return len(taken)


class TestOutputBuffer(UvloopTestCase):
    async def asyncSetUp(self) -> None:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        self.sock = LimitedSocket(ours, 0)
        self.buffer = OutputBuffer(asyncio.get_running_loop(), self.sock)  # type: ignore[arg-type]

    async def test_bytes_that_fit_are_sent_at_once_after_appended_bytes(self) -> None:
        self.sock.capacity = 100
        self.buffer.append(b"head ")
        assert not self.sock.sent
        self.buffer.add(b"body", send_now=True)
        assert self.sock.sent == b"head body"
        assert not self.buffer.unsent

    async def test_bytes_are_only_buffered_while_another_write_is_in_progress(self) -> None:
        self.sock.capacity = 100
        self.buffer.add(b"later", send_now=False)
        assert not self.sock.sent
        assert self.buffer.unsent == b"later"

    async def test_a_failed_send_leaves_the_bytes_unsent(self) -> None:
        for number in (errno.EAGAIN, errno.ENOBUFS, errno.EPIPE):
            self.sock.number = number
            self.buffer.add(b"x", send_now=True)
        assert self.buffer.unsent == b"xxx"

    async def test_the_sender_waits_above_the_limit_and_resumes_below_it(self) -> None:
        self.buffer.add(b"x" * MAX_BUFFERED_BYTES, send_now=True)
        assert self.buffer.has_capacity.is_set()
        self.buffer.add(b"x", send_now=True)
        assert not self.buffer.has_capacity.is_set()
        self.sock.capacity = MAX_BUFFERED_BYTES + 1
        await self.buffer.write_some()
        assert self.buffer.has_capacity.is_set()
        assert len(self.sock.sent) == MAX_BUFFERED_BYTES + 1

    async def test_a_chunk_above_the_limit_that_the_socket_accepts_makes_no_sender_wait(self) -> None:
        self.sock.capacity = 2 * MAX_BUFFERED_BYTES
        self.buffer.add(b"x" * (2 * MAX_BUFFERED_BYTES), send_now=True)
        assert self.buffer.has_capacity.is_set()

    async def test_a_write_on_a_broken_connection_raises_an_error(self) -> None:
        self.sock.number = errno.EPIPE
        self.buffer.add(b"x", send_now=True)
        with pytest.raises(BrokenPipeError):
            await self.buffer.write_some()

    async def test_a_waiting_sender_resumes_when_the_connection_closes(self) -> None:
        self.buffer.add(b"x" * (MAX_BUFFERED_BYTES + 1), send_now=True)
        waiting = asyncio.ensure_future(self.buffer.has_capacity.wait())
        await asyncio.sleep(0)
        assert not waiting.done()
        self.buffer.close()
        await asyncio.wait_for(waiting, 20)
        self.sock.capacity = 10
        await self.buffer.write_some()
        assert not self.sock.sent
