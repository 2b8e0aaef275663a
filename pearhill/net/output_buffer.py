"""The bytes of answers to one client that the system has not taken yet, and the bound that holds their sender back."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from pearhill.net.socket_writer import SocketWriter

MAX_BUFFERED_BYTES = 64 * 1024  # of an answer that wait for a slow client before its replica is held back


class OutputBuffer:
    """Unsent bytes of one connection. `has_capacity` is cleared while more than `MAX_BUFFERED_BYTES` wait."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._sock = sock
        self._writer = SocketWriter(loop, sock)
        self._closed = False
        self.unsent = bytearray()
        self.has_capacity = asyncio.Event()
        self.has_capacity.set()

    def append(self, data: bytes) -> None:
        """Add bytes that go out with those that follow."""
        self.unsent += data

    def add(self, data: bytes, send_now: bool) -> None:
        """Add bytes and, if `send_now`, offer all that wait to the system. Most answers' pieces fit the socket at
        once: a task and a deadline for each piece would cost more than the piece."""
        self.unsent += data
        if send_now:
            with contextlib.suppress(OSError):  # full or broken: the write that follows shows which
                del self.unsent[: self._sock.send(self.unsent)]
        if len(self.unsent) > MAX_BUFFERED_BYTES:
            self.has_capacity.clear()

    async def write_some(self) -> None:
        """Write all that waits, at least `MAX_BUFFERED_BYTES` of it. OSError: the connection broke."""
        written = 0
        while self.unsent and not self._closed and written < MAX_BUFFERED_BYTES:
            size = await self._writer.send_some(self.unsent)
            written += size
            del self.unsent[:size]
            if len(self.unsent) <= MAX_BUFFERED_BYTES:
                self.has_capacity.set()

    def close(self) -> None:
        """The connection ends: nothing more is written, and a sender that waits for capacity goes on."""
        self._closed = True
        self.has_capacity.set()
