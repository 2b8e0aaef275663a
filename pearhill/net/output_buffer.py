"""Buffers the bytes of answers to a client that the system has not accepted yet, and limits how many a sender adds."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from pearhill.net.socket_writer import SocketWriter

MAX_BUFFERED_BYTES = 64 * 1024  # for a slow client, before backpressure is applied to its replica


class OutputBuffer:
    """Unsent bytes of one connection. `has_capacity` is cleared while they are more than `MAX_BUFFERED_BYTES`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._sock = sock
        self._writer = SocketWriter(loop, sock)
        self._closed = False
        self.unsent = bytearray()
        self.has_capacity = asyncio.Event()
        self.has_capacity.set()

    def append(self, data: bytes) -> None:
        """Add bytes that are sent together with the next ones."""
        self.unsent += data

    def add(self, data: bytes, send_now: bool) -> None:
        """Add bytes and, if `send_now`, send as many unsent bytes as the socket accepts. It accepts most chunks at
        once: a task and a deadline for each chunk would cost more than the chunk."""
        self.unsent += data
        if send_now:
            with contextlib.suppress(OSError):  # full or broken, which the next write determines
                del self.unsent[: self._sock.send(self.unsent)]
        if len(self.unsent) > MAX_BUFFERED_BYTES:
            self.has_capacity.clear()

    async def write_some(self) -> None:
        """Write all unsent bytes, or at least `MAX_BUFFERED_BYTES` of them. Raises OSError if the connection broke."""
        written = 0
        while self.unsent and not self._closed and written < MAX_BUFFERED_BYTES:
            size = await self._writer.send_some(self.unsent)
            written += size
            del self.unsent[:size]
            if len(self.unsent) <= MAX_BUFFERED_BYTES:
                self.has_capacity.set()

    def close(self) -> None:
        """Stop writing, because the connection closes, and resume a sender that waits for capacity."""
        self._closed = True
        self.has_capacity.set()
