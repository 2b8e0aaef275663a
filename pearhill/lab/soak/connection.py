"""One connection of a client to a dispatcher, and where dispatchers listen."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from pearhill.http1.client import ClientConnection, Event, Lost


@dataclass(slots=True)
class ListenAddress:
    """Where a dispatcher listens now."""

    name: str
    host: str
    port: int


class ConnectionEndedError(Exception):
    """The connection ended before the answer was whole."""


class Exchange:
    """One connection to a dispatcher."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._machine = ClientConnection()
        self._events: list[Event] = []
        self.used = False  # it has carried a request
        self.opened_at_s = time.monotonic()
        self.port: int = writer.get_extra_info("sockname")[1]

    @classmethod
    async def open(cls, address: ListenAddress) -> Exchange:
        """Connect within 5 s. OSError or TimeoutError: nobody accepts there."""
        return cls(*await asyncio.wait_for(asyncio.open_connection(address.host, address.port), 5))

    @property
    def ended(self) -> bool:
        """Its end is there already: a client sees that, and does not ask on it."""
        return self.reader.at_eof() or self.reader.exception() is not None

    @property
    def description(self) -> str:
        """For a request's trace: which connection it is, and how old."""
        age_ms = (time.monotonic() - self.opened_at_s) * 1000
        return f"port {self.port}, {'used' if self.used else 'unused'}, open for {age_ms:.0f} ms"

    def expect_response(self) -> None:
        """A request is being written: its response comes next."""
        self._machine.expect()

    async def next_event(self, within_s: float) -> Event:
        """Closed or TimeoutError: nothing more comes, or not in time."""
        while not self._events:
            data = await asyncio.wait_for(self.reader.read(1 << 16), within_s)
            self._events = self._machine.feed(data) if data else [Lost("closed")]
        event = self._events.pop(0)
        if isinstance(event, Lost):
            raise ConnectionEndedError(event.reason)
        return event

    def close(self) -> None:
        """End the connection without waiting for what is unsent."""
        self._machine.close()
        self.writer.transport.abort()
