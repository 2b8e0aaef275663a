"""Reads from a socket that stays registered for polling: ends, resets, and no spinning while nothing reads."""

import asyncio
import errno
import socket
import struct
from typing import Any

import pytest

from pearhill.net.socket_reader import READS_PER_TICK, SHORTAGE_RETRY_S, SocketReader
from tests.net.loops import UvloopTestCase

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class FailingReads:
    """A socket whose next reads fail with the error numbers in `errors`, one after the other."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.errors = list[int]()

    def fileno(self) -> int:
        return self.sock.fileno()

    def recv_into(self, buffer: bytearray) -> int:
        if self.errors:
            raise OSError(self.errors.pop(0), "scripted")
        return self.sock.recv_into(buffer)


class TestSocketReader(UvloopTestCase):
    """Runs on uvloop, as the program does. `TestSocketReaderOnAsyncio` runs on asyncio's own loop."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.ours = socket.create_connection(listening.getsockname())
            self.theirs = listening.accept()[0]
        self.ours.setblocking(False)
        self.sock: Any = FailingReads(self.ours)
        self.reader = SocketReader(self.loop, self.sock)
        self.addCleanup(self.ours.close)
        self.addCleanup(self.theirs.close)
        self.addCleanup(self.reader.close)
        self.buffer = bytearray(8)

    async def read(self) -> bytes:
        size = await asyncio.wait_for(self.reader.recv_into(self.buffer), 20)
        return bytes(self.buffer[:size])

    def reset(self) -> None:
        self.theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.theirs.close()

    async def test_bytes_are_read_in_order_up_to_the_end_of_the_stream(self) -> None:
        self.theirs.sendall(b"one two three")
        assert await self.read() + await self.read() == b"one two three"
        self.theirs.shutdown(socket.SHUT_WR)
        assert await self.read() == b""

    async def test_a_reset_raises_an_error(self) -> None:
        self.reset()
        with pytest.raises(ConnectionResetError):
            await self.read()

    async def test_a_reset_reported_together_with_bytes_raises_an_error_after_they_are_read(self) -> None:
        waiting = asyncio.create_task(self.read())
        await asyncio.sleep(0)
        self.theirs.sendall(b"one two")
        self.reset()
        assert await waiting == b"one two"
        with pytest.raises(ConnectionResetError):
            await self.read()

    async def test_a_reset_reported_to_a_cancelled_read_raises_an_error_at_the_next_read(self) -> None:
        waiting = asyncio.create_task(self.read())
        await asyncio.sleep(0)
        self.reset()
        self.loop.call_soon(waiting.cancel)
        await asyncio.gather(waiting, return_exceptions=True)
        with pytest.raises(ConnectionResetError):
            await self.read()

    async def test_a_read_that_fails_for_want_of_memory_or_by_a_signal_is_retried(self) -> None:
        for number in (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS):
            self.sock.errors = [number, number]
            self.theirs.sendall(b"kept")
            assert await self.read() == b"kept", errno.errorcode[number]

    async def test_the_time_for_which_bytes_could_not_be_read_is_reported(self) -> None:
        """A request's deadline counts from its last byte, and not from when the system had memory to read it."""
        self.sock.errors = [errno.ENOMEM] * 4
        self.theirs.sendall(b"kept")
        await self.read()
        assert self.reader.delayed_s >= 3 * SHORTAGE_RETRY_S
        self.theirs.sendall(b"next")
        await self.read()
        assert self.reader.delayed_s == 0.0

    async def test_a_reset_is_detected_although_the_first_read_after_its_wake_up_failed(self) -> None:
        for number in (errno.EINTR, errno.EAGAIN, errno.ENOMEM):
            with self.subTest(errno.errorcode[number]):
                await self.asyncSetUp()
                self.sock.errors = [number]
                self.reset()
                with pytest.raises(ConnectionResetError):
                    await self.read()

    async def test_other_tasks_run_while_a_sender_never_stops(self) -> None:
        self.theirs.sendall(b"x" * 8 * 50)
        await self.read()
        ticks = 0

        async def others() -> None:
            nonlocal ticks
            while True:
                ticks += 1
                await asyncio.sleep(0)

        other = asyncio.create_task(others())
        for _ in range(40):
            await self.reader.recv_into(self.buffer)
        other.cancel()
        assert ticks >= 40 // READS_PER_TICK - 1

    async def test_a_cancelled_read_consumes_nothing(self) -> None:
        task = asyncio.create_task(self.reader.recv_into(self.buffer))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.theirs.sendall(b"kept")
        assert await self.read() == b"kept"

    async def test_unread_bytes_do_not_make_the_event_loop_spin(self) -> None:
        self.theirs.sendall(b"a")
        await self.read()
        wake_ups = 0
        original = self.reader._readable

        def counted() -> None:
            nonlocal wake_ups
            wake_ups += 1
            original()

        self.reader._readable = counted
        self.reader._unpoll()
        waiting = asyncio.create_task(self.reader.recv_into(self.buffer))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)  # from here on nothing reads
        self.theirs.sendall(b"more")
        for _ in range(50):
            await asyncio.sleep(0)
        assert wake_ups <= 1
        assert await self.read() == b"more"


class TestSocketReaderOnAsyncio(TestSocketReader):
    loop_factory = staticmethod(asyncio.new_event_loop)
