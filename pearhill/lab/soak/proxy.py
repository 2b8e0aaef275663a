"""A TCP proxy before one replica: it passes bytes on, delays them, falls silent, or resets what passes."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct

PIECE = 16 * 1024
LINGER_RESET = struct.pack("ii", 1, 0)


class Proxy:
    """`silent`: nothing passes, connections stay open and come up; what was held back is reset when it ends.
    `reset_share`: of the connections that are reset under a request. `delay_s`: for each piece, at most."""

    def __init__(self, port: int, seed: int) -> None:
        self.port, self.rng = port, random.Random(seed)
        self.silent = False
        self.reset_share = self.delay_s = 0.0
        self.address = ""
        self._healed = asyncio.Event()
        self._stale: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def cut(self, on: bool) -> None:
        """Fall silent, or pass bytes again. Connections that were open through a cut are reset at its end."""
        self.silent = on
        if not on:
            stale, self._stale = self._stale, set()
            for writer in stale:
                reset(writer)
            self._healed.set()
            self._healed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        inner: asyncio.StreamWriter | None = None
        try:
            if self.silent:
                self._stale.add(writer)
                await self._healed.wait()
                return
            inner_reader, inner = await asyncio.open_connection("127.0.0.1", self.port)
            ways = [
                asyncio.ensure_future(self._pass(reader, inner, writer)),
                asyncio.ensure_future(self._pass(inner_reader, writer, writer)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for way in ways:
                    way.cancel()
        except OSError:
            pass
        finally:
            self._stale.discard(writer)
            for end in (writer, inner):
                if end:
                    with contextlib.suppress(OSError, RuntimeError):
                        end.transport.abort() if end is writer and self.silent else end.close()

    async def _pass(self, reader: asyncio.StreamReader, to: asyncio.StreamWriter, client: asyncio.StreamWriter) -> None:
        while data := await reader.read(PIECE):
            if self.silent:
                self._stale.add(client)
                await self._healed.wait()
                return
            if self.reset_share and self.rng.random() < self.reset_share:
                return reset(client)
            if self.delay_s:
                await asyncio.sleep(self.rng.random() * self.delay_s)
            to.write(data)
            await to.drain()

    def close(self) -> None:
        if self._server:
            self._server.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with RST."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
