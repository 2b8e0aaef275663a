"""What comes in on a socket, read with as few system calls as may be.

`loop.sock_recv_into` tries at once, is told to wait, adds the socket to the poll, and takes it out again: on a stream
whose events come one by one that is three calls beside the read itself. Here the socket stays in the poll between
reads, and is taken out only while nobody waits for it, so that bytes that must wait for a slow client do not spin the
loop.
"""

from __future__ import annotations

import asyncio
import socket


class Incoming:
    """One reader at a time. Close it before the socket: a closed number that is still polled may be another's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._loop, self._sock, self._number = loop, sock, sock.fileno()
        self._waiter: asyncio.Future[None] | None = None
        self._polled = False

    async def recv_into(self, buffer: bytearray | memoryview) -> int:
        """As `loop.sock_recv_into`: bytes read, 0 at the end. OSError: the connection broke."""
        while True:
            if not self._polled:
                self._loop.add_reader(self._number, self._readable)
                self._polled = True
            waiter = self._waiter = self._loop.create_future()
            try:
                await waiter
            finally:
                self._waiter = None
            try:
                return self._sock.recv_into(buffer)
            except (BlockingIOError, InterruptedError):
                continue

    def _readable(self) -> None:
        if self._waiter is None:
            self._stop()
        elif not self._waiter.done():
            self._waiter.set_result(None)

    def _stop(self) -> None:
        if self._polled:
            self._polled = False
            self._loop.remove_reader(self._number)

    def close(self) -> None:
        """Nobody reads here any more."""
        self._stop()
