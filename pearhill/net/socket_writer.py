"""What goes out on a socket: as much as the system takes, and the wait until it takes more."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from pearhill.net.socket_reader import SHORTAGE_RETRY_S, is_transient


class SocketWriter:
    """One writer at a time. `loop.sock_sendall` would not tell how much had gone out when a call failed."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._loop, self._sock, self._number = loop, sock, sock.fileno()

    async def send_some(self, data: bytes | bytearray | memoryview) -> int:
        """How many bytes the system has taken, one at least. OSError: the connection broke."""
        while True:
            try:
                return self._sock.send(data)
            except OSError as e:
                await self._after(e)

    async def send_all(self, make: Callable[[], bytes]) -> None:
        """Write what `make` gives, made anew until its first byte has gone out. OSError: the connection broke, and the
        last byte has not gone out."""
        while True:
            data = make()
            try:
                sent = self._sock.send(data)
                break
            except OSError as e:
                await self._after(e)
        view = memoryview(data)[sent:]
        while view:
            view = view[await self.send_some(view) :]

    async def _after(self, error: OSError) -> None:
        """Wait until it is worth another try. The error itself, if the connection is over."""
        if isinstance(error, BlockingIOError):
            await self._writable()
        elif isinstance(error, InterruptedError):
            await asyncio.sleep(0)
        elif is_transient(error):
            await asyncio.sleep(SHORTAGE_RETRY_S)
        else:
            raise error

    async def _writable(self) -> None:
        """The poll is armed anew for each wait: libuv stops one on which an error was reported."""
        waiter: asyncio.Future[None] = self._loop.create_future()

        def wake_up() -> None:
            if not waiter.done():
                waiter.set_result(None)

        self._loop.add_writer(self._number, wake_up)
        try:
            await waiter
        finally:
            self._loop.remove_writer(self._number)
