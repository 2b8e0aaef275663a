"""An HTTP/1.1 client that returns everything it received, also of a response that ended early."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from pearhill.http1.messages import request

READ_BYTES = 65_536


@dataclass(slots=True)
class ReceivedResponse:
    """The part of a response that has arrived. Header names are in lower case."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False  # the end of the body has arrived
    closed: bool = False  # the connection has ended


class _ResponseParser:
    """Collects one response. httptools calls the methods whose names begin with "on_"."""

    def __init__(self) -> None:
        self.response = ReceivedResponse()
        self.body = bytearray()
        self.http_parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header. If a name is repeated, the last value replaces the earlier ones."""
        self.response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store the status. The status of the final response overwrites that of an interim response (1xx)."""
        self.response.status = self.http_parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, from which httptools has removed the chunked transfer coding."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is an interim response (1xx), which the final one follows."""
        self.response.complete = self.response.status >= 200


class ClientConnection:
    """A client's connection to a front end, for one request at a time."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect. Raises OSError if the front end cannot be reached."""
        self._reader, self._writer = await asyncio.open_connection(self.host, self.port)

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout: float,
        on_first_body: Callable[[], bool] = lambda: False,
    ) -> ReceivedResponse:
        """Send a request and receive its response until the body is complete or the connection ends.

        `on_first_body` is called once, when the first part of the body has arrived. If it returns True, reading stops.
        Raises TimeoutError if the response has not ended within `timeout` seconds.
        """
        assert self._reader
        assert self._writer
        fields = {"Content-Type": "application/json", **headers} if body is not None else headers
        self._writer.write(request(method, path, f"{self.host}:{self.port}", tuple(fields.items()), body))
        parser = _ResponseParser()
        async with asyncio.timeout(timeout):
            await self._receive(self._reader, parser, on_first_body)
        parser.response.body = bytes(parser.body)
        return parser.response

    @staticmethod
    async def _receive(
        reader: asyncio.StreamReader, parser: _ResponseParser, on_first_body: Callable[[], bool]
    ) -> None:
        first_arrived = False
        while not parser.response.complete:
            try:
                data = await reader.read(READ_BYTES)
            except ConnectionError:
                data = b""
            if not data:
                parser.response.closed = True
                return
            parser.http_parser.feed_data(data)
            if parser.body and not first_arrived:
                first_arrived = True
                if on_first_body():
                    return

    def close(self) -> None:
        """Abort the connection. Data that has not been sent yet is discarded."""
        if self._writer:
            self._writer.transport.abort()
