"""Writes to a socket: as much as the system accepts, then waits until it accepts more."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from pearhill.net.socket_reader import SHORTAGE_RETRY_S, is_transient


class SocketWriter:
    """Writes for one task at a time. `loop.sock_sendall` does not report how much was sent before a call failed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._loop = loop
        self._sock = sock
        self._descriptor = sock.fileno()

    async def send_some(self, data: bytes | bytearray | memoryview) -> int:
        """Write at least one of the bytes, and return how many were written. Raises OSError if the connection broke."""
        while True:
            try:
                return self._sock.send(data)
            except OSError as error:
                await self._wait_after(error)

    async def send_all(self, build: Callable[[], bytes]) -> None:
        """Write what `build` returns; `build` is called for each try until the first byte is sent. Raises OSError if
        the connection broke before the last byte was sent."""
        while True:
            data = build()
            try:
                sent = self._sock.send(data)
                break
            except OSError as error:
                await self._wait_after(error)
        unsent = memoryview(data)[sent:]
        while unsent:
            size = await self.send_some(unsent)
            unsent = unsent[size:]

    async def _wait_after(self, error: OSError) -> None:
        """Wait until a retry may succeed. Raises the error itself if the connection broke."""
        if isinstance(error, BlockingIOError):
            await self._wait_writable()
        elif isinstance(error, InterruptedError):
            await asyncio.sleep(0)
        elif is_transient(error):
            await asyncio.sleep(SHORTAGE_RETRY_S)
        else:
            raise error

    async def _wait_writable(self) -> None:
        """Wait until the event loop reports the socket writable. The socket is registered again for each wait, because
        libuv stops polling a socket on which an error was reported."""
        waiter: asyncio.Future[None] = self._loop.create_future()

        def wake_up() -> None:
            """End the wait. The loop may call this more than once before the socket is unregistered."""
            if not waiter.done():
                waiter.set_result(None)

        self._loop.add_writer(self._descriptor, wake_up)
        try:
            await waiter
        finally:
            self._loop.remove_writer(self._descriptor)
