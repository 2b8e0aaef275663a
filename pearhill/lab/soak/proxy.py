"""A TCP proxy before one replica: it passes bytes on, delays them, falls silent, or resets what passes.

On raw sockets, so that what a replica does arrives as it was done: bytes and the reset right behind them go on
together."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
import re
import socket
import struct
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

READ_BYTES = 16 * 1024
LINGER_RESET = struct.pack("ii", 1, 0)
_REQUEST_ID = re.compile(rb"Request-Id: (\S+)", re.IGNORECASE)


class InputEnd(enum.Enum):
    """What stands behind the bytes that were read."""

    NONE, CLOSED, RESET = range(3)


@dataclass(frozen=True, slots=True)
class ReadResult:
    """All that was there to read."""

    data: bytes
    end: InputEnd


class ProxiedConnection:
    """One connection on both sides of the proxy. It is closed by the task that serves it, and by nobody else: a socket
    that is closed while the loop still polls it may hand its number to another."""

    def __init__(self, outer: socket.socket, inner: socket.socket) -> None:
        self.outer, self.inner = outer, inner
        self.request = ""  # the last one that passed
        self.directions: list[asyncio.Task[None]] = []

    def end_with_reset(self) -> None:
        """Reset both sides."""
        for sock in (self.outer, self.inner):
            reset_at_close(sock)
        for way in self.directions:
            way.cancel()

    def close(self) -> None:
        """Close both sides; its own task alone may call this."""
        for sock in (self.outer, self.inner):
            with contextlib.suppress(OSError):
                sock.close()


class Proxy:
    """`silent`: nothing passes, connections stay open and come up; what was held back is reset when it ends.
    `reset_share`: of the pieces that are followed by a reset, or lost to one. `on_reset` is told the last request that
    passed on a connection which the proxy itself resets."""

    def __init__(self, port: int, seed: int, on_reset: Callable[[str], None]) -> None:
        self.port, self.rng, self.on_reset = port, random.Random(seed), on_reset
        self.silent = False
        self.reset_share = self.delay_s = 0.0
        self.address = ""
        self._loop = asyncio.get_running_loop()
        self._healed = asyncio.Event()
        self._stale: set[ProxiedConnection] = set()
        self._unpaired: set[socket.socket] = set()  # came up while the proxy was silent
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = socket.create_server(("127.0.0.1", 0), backlog=1024)

    async def start(self) -> None:
        """Accept connections from now on, at `address`."""
        self._server.setblocking(False)
        host, port = self._server.getsockname()
        self.address = f"{host}:{port}"
        self._spawn(self._accept())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _accept(self) -> None:
        while True:
            try:
                outer, _ = await self._loop.sock_accept(self._server)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            outer.setblocking(False)
            outer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._spawn(self._serve(outer))

    def cut(self, on: bool) -> None:
        """Fall silent, or pass bytes again. Connections that were open through a cut are reset at its end."""
        self.silent = on
        if on:
            return
        stale, self._stale = self._stale, set()
        unpaired, self._unpaired = self._unpaired, set()
        for pair in stale:
            self._reset(pair)
        for sock in unpaired:
            reset_at_close(sock)
            sock.close()
        self._healed.set()
        self._healed = asyncio.Event()

    async def _serve(self, outer: socket.socket) -> None:
        if self.silent:
            self._unpaired.add(outer)
            await self._healed.wait()
            return
        inner = socket.socket()
        inner.setblocking(False)
        pair = ProxiedConnection(outer, inner)
        try:
            await self._loop.sock_connect(inner, ("127.0.0.1", self.port))
            inner.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair.directions = [
                self._spawn(self._forward(pair, outer, inner)),
                self._spawn(self._forward(pair, inner, outer)),
            ]
            await asyncio.wait(pair.directions, return_when=asyncio.FIRST_COMPLETED)
            for way in pair.directions:
                way.cancel()
            await asyncio.gather(*pair.directions, return_exceptions=True)
        except OSError:
            pass
        finally:
            self._stale.discard(pair)
            pair.close()

    async def _forward(self, pair: ProxiedConnection, source: socket.socket, to: socket.socket) -> None:
        """One way, until its end or its reset, which is passed on right behind the last bytes."""
        with contextlib.suppress(OSError):
            while True:
                taken = await self._read_available(source)
                if source is pair.outer and (found := _REQUEST_ID.search(taken.data)):
                    pair.request = found[1].decode()
                if self.silent:
                    self._stale.add(pair)
                    await self._healed.wait()
                    return
                resets = taken.data and self.rng.random() < self.reset_share
                if taken.data and not (
                    resets and self.rng.random() < 0.5
                ):  # a reset behind the bytes, or in their place
                    await asyncio.sleep(self.rng.random() * self.delay_s)
                    await self._loop.sock_sendall(to, taken.data)
                if resets:
                    return self._reset(pair)
                if taken.end == InputEnd.RESET:
                    return reset_at_close(to)
                if taken.end == InputEnd.CLOSED:
                    return

    async def _read_available(self, source: socket.socket) -> ReadResult:
        gathered = bytearray()
        try:
            while data := (source.recv(READ_BYTES) if gathered else await self._loop.sock_recv(source, READ_BYTES)):
                gathered += data
        except BlockingIOError:
            return ReadResult(bytes(gathered), InputEnd.NONE)
        except OSError:
            return ReadResult(bytes(gathered), InputEnd.RESET)
        return ReadResult(bytes(gathered), InputEnd.CLOSED)

    def _reset(self, pair: ProxiedConnection) -> None:
        if pair.request:
            self.on_reset(pair.request)
        pair.end_with_reset()

    def close(self) -> None:
        """Stop accepting and end all tasks."""
        for task in list(self._tasks):
            task.cancel()
        self._server.close()


def reset_at_close(sock: socket.socket) -> None:
    """Once it is closed, its connection ends with RST."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a stream's connection with RST."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
