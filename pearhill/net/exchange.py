"""Exchanges: one request on a connection to a server, and the handling of its response."""

from __future__ import annotations

import asyncio
from typing import Protocol

from pearhill.http1.client import Data, End, Event, Head, Lost


class Exchange(Protocol):
    """One request on a connection. `handle` is called with each event of the response. If the connection fails before
    the end of the response, the last event is a `Lost`."""

    @property
    def request_id(self) -> str:
        """The client's id of the request, for the log, or empty for calls that serve no request."""

    @property
    def max_chunk(self) -> int:
        """The maximum size in bytes of a chunk of the response, which is buffered until it is complete."""

    async def handle(self, event: Event) -> None:
        """Handle one event of the response. Events arrive in order."""

    def fail(self, error: Exception) -> None:
        """End the exchange after an exception, which `handle` may have raised. Its connection is closed."""

    def record_partial_chunk(self, size: int) -> None:
        """Record that `size` bytes of an incomplete chunk are buffered, if they are more than a read."""


class CollectedResponse:
    """An exchange whose complete response is collected, up to `max_body` bytes."""

    request_id = ""

    def __init__(self, loop: asyncio.AbstractEventLoop, max_body: int) -> None:
        self.status = 0
        self.body = bytearray()
        self.max_body = max_body
        self.max_chunk = max_body  # a list of a thousand endpoints may be one chunk
        self.done: asyncio.Future[Exception | None] = loop.create_future()

    async def handle(self, event: Event) -> None:
        """Collect one event. The result of `done` is set once the response is complete or has failed."""
        match event:
            case Lost(reason):
                self._finish(ConnectionResetError(reason))
            case End():
                self._finish(None)
            case Head(status):
                self.status = status
            case Data(data):
                self.body += data
                if len(self.body) > self.max_body:
                    self._finish(ValueError(f"response body larger than {self.max_body} bytes"))

    def fail(self, error: Exception) -> None:
        """Set the exception as the result."""
        self._finish(error)

    def record_partial_chunk(self, size: int) -> None:
        """Do nothing: few such exchanges are open at once, and `max_body` bounds each."""

    def _finish(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(error)
