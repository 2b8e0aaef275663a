"""Reading with the socket left in the poll: ends, breaks, and no spinning while nobody reads."""

import asyncio
import socket
import struct
import unittest

from pearhill.net.incoming import Incoming


class Reads(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.ours = socket.create_connection(listening.getsockname())
            self.theirs = listening.accept()[0]
        self.ours.setblocking(False)
        self.incoming = Incoming(self.loop, self.ours)
        self.addCleanup(self.ours.close)
        self.addCleanup(self.theirs.close)
        self.addCleanup(self.incoming.close)
        self.buffer = bytearray(8)

    async def read(self) -> bytes:
        size = await asyncio.wait_for(self.incoming.recv_into(self.buffer), 20)
        return bytes(self.buffer[:size])

    async def test_bytes_in_order_and_the_end(self):
        self.theirs.sendall(b"one two three")
        self.assertEqual(await self.read() + await self.read(), b"one two three")
        self.theirs.shutdown(socket.SHUT_WR)
        self.assertEqual(await self.read(), b"")

    async def test_a_reset_is_an_error(self):
        self.theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.theirs.close()
        with self.assertRaises(ConnectionResetError):
            await self.read()

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
        self.incoming._stop()
        waiting = asyncio.create_task(self.incoming.recv_into(self.buffer))
        await asyncio.sleep(0)
        waiting.cancel()
        self.theirs.sendall(b"more")
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertLessEqual(turns, 1)
        self.assertEqual(await self.read(), b"more")
