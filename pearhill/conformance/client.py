"""An HTTP/1.1 client that reports all that it received, however the response ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from pearhill.http1.messages import request

READ_BYTES = 65_536


@dataclass(slots=True)
class ReceivedResponse:
    """A response, as far as it arrived. Header names are in lower case."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False  # the end of the body has arrived
    closed: bool = False  # the connection has ended


class _ResponseParser:
    """Collects one response. httptools calls the methods that begin with "on_"."""

    def __init__(self) -> None:
        self.response = ReceivedResponse()
        self.body = bytearray()
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; of a name that comes twice the last value counts."""
        self.response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Keep the status; an interim response (1xx) is overwritten by the final one."""
        self.response.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Append a piece of the body, free of its chunked coding."""
        self.body += body

    def on_message_complete(self) -> None:
        """The end of a response: an interim one does not complete the exchange."""
        self.response.complete = self.response.status >= 200


class ClientConnection:
    """A client's connection to a front, for one request after the other."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect. OSError: the front cannot be reached."""
        self._reader, self._writer = await asyncio.open_connection(self.host, self.port)

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout: float,
        on_first: Callable[[], bool] = lambda: False,
    ) -> ReceivedResponse:
        """Send a request and receive its response, up to the end of the body or of the connection.

        `on_first` is called when the first piece of the body has arrived; if it returns True, nothing more is read.
        TimeoutError: neither end has come within `timeout` seconds.
        """
        assert self._reader
        assert self._writer
        fields = {"Content-Type": "application/json", **headers} if body is not None else headers
        self._writer.write(request(method, path, f"{self.host}:{self.port}", tuple(fields.items()), body))
        parser = _ResponseParser()
        async with asyncio.timeout(timeout):
            await self._receive(self._reader, parser, on_first)
        parser.response.body = bytes(parser.body)
        return parser.response

    @staticmethod
    async def _receive(reader: asyncio.StreamReader, parser: _ResponseParser, on_first: Callable[[], bool]) -> None:
        first_arrived = False
        while not parser.response.complete:
            try:
                data = await reader.read(READ_BYTES)
            except ConnectionError:
                data = b""
            if not data:
                parser.response.closed = True
                return
            parser.parser.feed_data(data)
            if parser.body and not first_arrived:
                first_arrived = True
                if on_first():
                    return

    def close(self) -> None:
        """End the connection at once; what is not yet sent is dropped."""
        if self._writer:
            self._writer.transport.abort()
