"""One request on one connection, and everything that came back, however it ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from pearhill.http1.messages import request


@dataclass(slots=True)
class Got:
    """`whole`: the body's end has come. `closed`: the connection has ended."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    closed: bool = False


class _Reading:
    def __init__(self) -> None:
        self.got = Got()
        self.body = bytearray()
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.got.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.got.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.got.whole = self.got.status >= 200


class Wire:
    """A client's connection to a front."""

    def __init__(self, host: str, port: int) -> None:
        self.host, self.port = host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(self.host, self.port)

    async def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout: float,
        on_first: Callable[[], bool] = lambda: False,
    ) -> Got:
        """`on_first` is called at the first piece of the body; True from it: leave there. TimeoutError: no end
        within so many seconds."""
        assert self._reader
        assert self._writer
        told = {"Content-Type": "application/json", **headers} if body is not None else headers
        self._writer.write(request(method, path, f"{self.host}:{self.port}", tuple(told.items()), body))
        reading, told_first = _Reading(), False
        async with asyncio.timeout(timeout):
            while not reading.got.whole:
                try:
                    data = await self._reader.read(1 << 16)
                except ConnectionError:
                    data = b""
                if not data:
                    reading.got.closed = True
                    break
                reading.parser.feed_data(data)
                if reading.body and not told_first:
                    told_first = True
                    if on_first():
                        break
        reading.got.body = bytes(reading.body)
        return reading.got

    def close(self) -> None:
        if self._writer:
            self._writer.transport.abort()
