"""Writing to a socket: as much as the system takes, and the wait until it takes more."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from pearhill.net.socket_reader import SHORTAGE_RETRY_S, is_transient


class SocketWriter:
    """One writer at a time. `loop.sock_sendall` would not show how much was sent when a call failed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._loop = loop
        self._sock = sock
        self._number = sock.fileno()

    async def send_some(self, data: bytes | bytearray | memoryview) -> int:
        """Write some of the bytes, one at least; how many. OSError: the connection broke."""
        while True:
            try:
                return self._sock.send(data)
            except OSError as error:
                await self._wait_after(error)

    async def send_all(self, build: Callable[[], bytes]) -> None:
        """Write what `build` returns, built anew until its first byte has gone out. OSError: the connection broke, and
        the last byte has not gone out."""
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
        """Wait until it is worth another try. The error itself is raised if the connection is over."""
        if isinstance(error, BlockingIOError):
            await self._wait_writable()
        elif isinstance(error, InterruptedError):
            await asyncio.sleep(0)
        elif is_transient(error):
            await asyncio.sleep(SHORTAGE_RETRY_S)
        else:
            raise error

    async def _wait_writable(self) -> None:
        """Wait until the poll reports the socket writable. It is armed anew for each wait: libuv stops one on which an
        error was reported."""
        waiter: asyncio.Future[None] = self._loop.create_future()

        def wake_up() -> None:
            """End the wait. The poll may call more than once before it is removed."""
            if not waiter.done():
                waiter.set_result(None)

        self._loop.add_writer(self._number, wake_up)
        try:
            await waiter
        finally:
            self._loop.remove_writer(self._number)
