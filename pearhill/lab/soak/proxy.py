"""A TCP proxy in front of one replica. It forwards bytes, delays them, blocks them, or resets connections.

It uses raw sockets, so that bytes and a reset that directly follows them are forwarded together, as the replica sent
them."""

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
    """How the input goes on after the bytes that were read: it stays open, was closed, or was reset."""

    NONE, CLOSED, RESET = range(3)


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The bytes that were available to read, and what followed them."""

    data: bytes
    end: InputEnd


class ProxiedConnection:
    """A connection's two sockets, `downstream` to the dispatcher and `upstream` to the replica.

    Only the task that serves the connection closes it: if a socket is closed while the event loop still polls it, its
    descriptor may be reused for another socket.
    """

    def __init__(self, downstream: socket.socket, upstream: socket.socket) -> None:
        self.downstream, self.upstream = downstream, upstream
        self.request = ""  # the id of the last request that was forwarded
        self.directions: list[asyncio.Task[None]] = []

    def end_with_reset(self) -> None:
        """Make both sockets reset at their close, and cancel the forwarding."""
        for sock in (self.downstream, self.upstream):
            reset_at_close(sock)
        for direction in self.directions:
            direction.cancel()

    def close(self) -> None:
        """Close both sockets; only the task that serves the connection may call this."""
        for sock in (self.downstream, self.upstream):
            with contextlib.suppress(OSError):
                sock.close()


class Proxy:
    """A proxy for one replica.

    `silent`: nothing is forwarded, open connections stay open and new ones are accepted; the connections that were held
    back are reset when the silence ends. `reset_share`: the share of reads whose data is followed or replaced by a
    reset. `on_reset` is called with the id of the last request on a connection that the proxy itself resets.
    """

    def __init__(self, port: int, seed: int, on_reset: Callable[[str], None]) -> None:
        self.port, self.rng, self.on_reset = port, random.Random(seed), on_reset
        self.silent = False
        self.reset_share = self.delay_s = 0.0
        self.address = ""
        self._loop = asyncio.get_running_loop()
        self._cut_ended = asyncio.Event()
        self._held_back: set[ProxiedConnection] = set()
        self._accepted_while_silent: set[socket.socket] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = socket.create_server(("127.0.0.1", 0), backlog=1024)

    async def start(self) -> None:
        """Set `address`, and accept connections there from now on."""
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
                downstream, _ = await self._loop.sock_accept(self._server)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            downstream.setblocking(False)
            downstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._spawn(self._serve(downstream))

    def cut(self, on: bool) -> None:
        """Stop forwarding, or forward again and reset the connections that were held back or accepted meanwhile."""
        self.silent = on
        if on:
            return
        stale, self._held_back = self._held_back, set()
        unpaired, self._accepted_while_silent = self._accepted_while_silent, set()
        for connection in stale:
            self._reset(connection)
        for sock in unpaired:
            reset_at_close(sock)
            sock.close()
        self._cut_ended.set()
        self._cut_ended = asyncio.Event()

    async def _serve(self, downstream: socket.socket) -> None:
        if self.silent:
            self._accepted_while_silent.add(downstream)
            await self._cut_ended.wait()
            return
        upstream = socket.socket()
        upstream.setblocking(False)
        connection = ProxiedConnection(downstream, upstream)
        try:
            await self._loop.sock_connect(upstream, ("127.0.0.1", self.port))
            upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.directions = [
                self._spawn(self._forward(connection, downstream, upstream)),
                self._spawn(self._forward(connection, upstream, downstream)),
            ]
            await asyncio.wait(connection.directions, return_when=asyncio.FIRST_COMPLETED)
            for direction in connection.directions:
                direction.cancel()
            await asyncio.gather(*connection.directions, return_exceptions=True)
        except OSError:
            pass
        finally:
            self._held_back.discard(connection)
            connection.close()

    async def _forward(self, connection: ProxiedConnection, source: socket.socket, destination: socket.socket) -> None:
        """Forward one direction until it is closed or reset; a reset is forwarded directly after the last bytes."""
        with contextlib.suppress(OSError):
            while True:
                result = await self._read_available(source)
                if source is connection.downstream and (found := _REQUEST_ID.search(result.data)):
                    connection.request = found[1].decode()
                if self.silent:
                    self._held_back.add(connection)
                    await self._cut_ended.wait()
                    return
                resets = result.data and self.rng.random() < self.reset_share
                if result.data and not (
                    resets and self.rng.random() < 0.5
                ):  # the reset follows the bytes or replaces them
                    await asyncio.sleep(self.rng.random() * self.delay_s)
                    await self._loop.sock_sendall(destination, result.data)
                if resets:
                    return self._reset(connection)
                if result.end == InputEnd.RESET:
                    return reset_at_close(destination)
                if result.end == InputEnd.CLOSED:
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

    def _reset(self, connection: ProxiedConnection) -> None:
        if connection.request:
            self.on_reset(connection.request)
        connection.end_with_reset()

    def close(self) -> None:
        """Stop accepting connections, and cancel all tasks."""
        for task in list(self._tasks):
            task.cancel()
        self._server.close()


def reset_at_close(sock: socket.socket) -> None:
    """Set the socket's linger option, so that its connection ends with RST when it is closed."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def reset(writer: asyncio.StreamWriter) -> None:
    """Abort a stream's connection with RST."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
