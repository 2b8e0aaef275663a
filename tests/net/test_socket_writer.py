"""Writing: short writes, and failures that say nothing of the connection."""

import asyncio
import errno
import socket
import unittest

import uvloop

from pearhill.net.socket_writer import SocketWriter


class Scripted:
    """A socket that takes at most so many bytes at once, and whose next writes fail so."""

    def __init__(self, sock: socket.socket, most: int) -> None:
        self.sock, self.most, self.errors = sock, most, list[int]()

    def fileno(self) -> int:
        return self.sock.fileno()

    def send(self, data: memoryview) -> int:
        if self.errors:
            raise OSError(self.errors.pop(0), "scripted")
        return self.sock.send(data[: self.most])


class Writes(unittest.IsolatedAsyncioTestCase):
    def _setupAsyncioRunner(self) -> None:
        self._asyncioRunner = asyncio.Runner(loop_factory=uvloop.new_event_loop)

    async def asyncSetUp(self) -> None:
        ours, self.theirs = socket.socketpair()
        ours.setblocking(False)
        self.scripted = Scripted(ours, 1 << 20)
        self.outgoing = SocketWriter(asyncio.get_running_loop(), self.scripted)
        self.addCleanup(ours.close)
        self.addCleanup(self.theirs.close)

    async def test_every_byte_goes_out_once_whatever_fails_between(self):
        self.scripted.most = 3
        for number in (errno.EINTR, errno.EAGAIN, errno.ENOMEM, errno.ENOBUFS):
            self.scripted.errors = [number, number]
            await asyncio.wait_for(self.outgoing.send_all(lambda: b"one two three"), 20)
            self.assertEqual(self.theirs.recv(100), b"one two three", errno.errorcode[number])

    async def test_what_does_not_fit_waits_until_it_is_taken(self):
        data = bytes(range(256)) * 8192
        sending = asyncio.create_task(self.outgoing.send_all(lambda: data))
        await asyncio.sleep(0)
        self.assertFalse(sending.done())
        got = bytearray()
        self.theirs.setblocking(False)
        while len(got) < len(data):
            got += await asyncio.get_running_loop().sock_recv(self.theirs, 1 << 16)
        await sending
        self.assertEqual(bytes(got), data)

    async def test_a_connection_that_ends_while_it_takes_nothing_is_an_error(self):
        sending = asyncio.create_task(self.outgoing.send_all(lambda: b"x" * (1 << 22)))
        await asyncio.sleep(0)
        self.theirs.close()
        with self.assertRaises(OSError):
            await asyncio.wait_for(sending, 20)

    async def test_what_is_written_is_made_anew_until_its_first_byte_goes_out(self):
        """A request tells how much time is left, and may have to wait before anything of it is taken."""
        made = 0

        def make() -> bytes:
            nonlocal made
            made += 1
            return b"%d left" % (9 - made)

        self.scripted.most = 3
        self.scripted.errors = [errno.ENOBUFS, errno.EINTR, errno.EAGAIN]
        await asyncio.wait_for(self.outgoing.send_all(make), 20)
        self.assertEqual((self.theirs.recv(100), made), (b"5 left", 4))

    async def test_an_interrupted_write_waits_for_nothing(self):
        self.scripted.errors = [errno.EINTR] * 5
        turns = asyncio.ensure_future(self.outgoing.send_all(lambda: b"x"))
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertTrue(turns.done())
