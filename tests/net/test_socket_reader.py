"""Reading with the socket left in the poll: ends, breaks, and no spinning while nobody reads."""

import asyncio
import errno
import socket
import struct
import unittest
from collections.abc import Callable

import uvloop

from pearhill.net.socket_reader import READS_PER_TICK, SHORTAGE_RETRY_S, SocketReader

RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Scripted:
    """A socket whose next reads fail so, one after the other, before it reads."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.errors = sock, list[int]()

    def fileno(self) -> int:
        return self.sock.fileno()

    def recv_into(self, buffer: bytearray) -> int:
        if self.errors:
            raise OSError(self.errors.pop(0), "scripted")
        return self.sock.recv_into(buffer)


class Reads(unittest.IsolatedAsyncioTestCase):
    """On the loop that the program runs on. `ReadsOnAsyncio`: on the library's own."""

    loop_factory: Callable[[], asyncio.AbstractEventLoop] | None = staticmethod(uvloop.new_event_loop)

    def _setupAsyncioRunner(self) -> None:
        self._asyncioRunner = asyncio.Runner(loop_factory=self.loop_factory)

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.ours = socket.create_connection(listening.getsockname())
            self.theirs = listening.accept()[0]
        self.ours.setblocking(False)
        self.scripted = Scripted(self.ours)
        self.incoming = SocketReader(self.loop, self.scripted)
        self.addCleanup(self.ours.close)
        self.addCleanup(self.theirs.close)
        self.addCleanup(self.incoming.close)
        self.buffer = bytearray(8)

    async def read(self) -> bytes:
        size = await asyncio.wait_for(self.incoming.recv_into(self.buffer), 20)
        return bytes(self.buffer[:size])

    def reset(self) -> None:
        self.theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.theirs.close()

    async def test_bytes_in_order_and_the_end(self):
        self.theirs.sendall(b"one two three")
        self.assertEqual(await self.read() + await self.read(), b"one two three")
        self.theirs.shutdown(socket.SHUT_WR)
        self.assertEqual(await self.read(), b"")

    async def test_a_reset_is_an_error(self):
        self.reset()
        with self.assertRaises(ConnectionResetError):
            await self.read()

    async def test_a_reset_behind_bytes_in_one_wake_up_is_an_error_once_they_are_read(self):
        waiting = asyncio.create_task(self.read())
        await asyncio.sleep(0)
        self.theirs.sendall(b"one two")
        self.reset()
        self.assertEqual(await waiting, b"one two")
        with self.assertRaises(ConnectionResetError):
            await self.read()

    async def test_a_reset_in_a_wake_up_whose_read_was_cancelled_is_an_error_at_the_next(self):
        waiting = asyncio.create_task(self.read())
        await asyncio.sleep(0)
        self.reset()
        self.loop.call_soon(waiting.cancel)
        await asyncio.gather(waiting, return_exceptions=True)
        with self.assertRaises(ConnectionResetError):
            await self.read()

    async def test_a_read_that_fails_for_want_of_memory_or_by_a_signal_is_tried_again(self):
        for number in (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS):
            self.scripted.errors = [number, number]
            self.theirs.sendall(b"kept")
            self.assertEqual(await self.read(), b"kept", errno.errorcode[number])

    async def test_how_long_bytes_could_not_be_read_is_told(self):
        """A request's time runs from its last byte, and not from when the system had memory to read it."""
        self.scripted.errors = [errno.ENOMEM] * 4
        self.theirs.sendall(b"kept")
        await self.read()
        self.assertGreaterEqual(self.incoming.delayed_s, 3 * SHORTAGE_RETRY_S)
        self.theirs.sendall(b"next")
        await self.read()
        self.assertEqual(self.incoming.delayed_s, 0.0)

    async def test_a_reset_is_seen_though_the_read_of_its_wake_up_failed(self):
        for number in (errno.EINTR, errno.EAGAIN, errno.ENOMEM):
            with self.subTest(errno.errorcode[number]):
                await self.asyncSetUp()
                self.scripted.errors = [number]
                self.reset()
                with self.assertRaises(ConnectionResetError):
                    await self.read()

    async def test_a_sender_that_never_stops_leaves_others_their_turn(self):
        self.theirs.sendall(b"x" * 8 * 50)
        await self.read()
        turns = 0

        async def others() -> None:
            nonlocal turns
            while True:
                turns += 1
                await asyncio.sleep(0)

        other = asyncio.create_task(others())
        for _ in range(40):
            await self.incoming.recv_into(self.buffer)
        other.cancel()
        self.assertGreaterEqual(turns, 40 // READS_PER_TICK - 1)

    async def test_a_cancelled_read_takes_nothing(self):
        task = asyncio.create_task(self.incoming.recv_into(self.buffer))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        self.theirs.sendall(b"kept")
        self.assertEqual(await self.read(), b"kept")

    async def test_bytes_that_nobody_reads_do_not_spin_the_loop(self):
        self.theirs.sendall(b"a")
        await self.read()
        turns = 0
        original = self.incoming._readable

        def counted() -> None:
            nonlocal turns
            turns += 1
            original()

        self.incoming._readable = counted
        self.incoming._unpoll()
        waiting = asyncio.create_task(self.incoming.recv_into(self.buffer))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)  # from here on nobody reads
        self.theirs.sendall(b"more")
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertLessEqual(turns, 1)
        self.assertEqual(await self.read(), b"more")


class ReadsOnAsyncio(Reads):
    loop_factory = staticmethod(asyncio.new_event_loop)
