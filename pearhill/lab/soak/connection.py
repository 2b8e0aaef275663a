"""A client's connection to a dispatcher, and the address at which a dispatcher listens."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from pearhill.http1.client import ClientConnection, Event, Lost


@dataclass(slots=True)
class ListenAddress:
    """The address at which a dispatcher listens now."""

    name: str
    host: str
    port: int


class ConnectionEndedError(Exception):
    """The connection ended before the answer was complete."""


class DispatcherConnection:
    """One connection to a dispatcher."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connecting_since: int) -> None:
        self.reader, self.writer = reader, writer
        self.connecting_since = connecting_since  # in microseconds of the monotonic clock
        self._machine = ClientConnection()
        self._events: list[Event] = []
        self.used = False  # whether it has carried a request
        self.port: int = writer.get_extra_info("sockname")[1]

    @classmethod
    async def open(cls, address: ListenAddress) -> DispatcherConnection:
        """Connect within 5 s. Raises OSError or TimeoutError if no dispatcher accepts the connection."""
        connecting_since = time.monotonic_ns() // 1000
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address.host, address.port), 5)
        return cls(reader, writer, connecting_since)

    @property
    def ended(self) -> bool:
        """Whether the end of the connection has been received: a client then sends no request on it."""
        return self.reader.at_eof() or self.reader.exception() is not None

    @property
    def description(self) -> str:
        """The connection's port, use and age, for the trace of a request."""
        age_ms = time.monotonic_ns() // 1_000_000 - self.connecting_since // 1000
        return f"port {self.port}, {'used' if self.used else 'unused'}, {age_ms} ms after its connect"

    def expect_response(self) -> None:
        """Prepare the parser for the response of a request that is being written."""
        self._machine.expect()

    async def next_event(self, within_s: float) -> Event:
        """Returns the next event of the response.

        Raises ConnectionEndedError if the connection has ended, TimeoutError if no data arrives in time.
        """
        while not self._events:
            data = await asyncio.wait_for(self.reader.read(1 << 16), within_s)
            self._events = self._machine.feed(data) if data else [Lost("closed")]
        event = self._events.pop(0)
        if isinstance(event, Lost):
            raise ConnectionEndedError(event.reason)
        return event

    def close(self) -> None:
        """Abort the connection; unsent data is dropped."""
        self._machine.close()
        self.writer.transport.abort()
