"""The client's side of a connection: bytes in, the pieces of one answer after another out."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD = 32 * 1024


@dataclass(frozen=True, slots=True)
class Head:
    status: int
    headers: dict[str, str]  # names in lower case


@dataclass(frozen=True, slots=True)
class Data:
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The answer is whole. `reusable`: the connection may carry another request."""

    reusable: bool


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection has ended, or its bytes make no sense, before the answer was whole."""

    why: str


Event = Head | Data | End | Lost


class ClientConnection:
    """Fed what a server sends. `expect` opens the next exchange; bytes outside one are an error."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._events: list[Event] = []
        self._headers: dict[str, str] = {}
        self._size = 0
        self.awaiting = False  # an exchange is open

    def expect(self) -> None:
        self.awaiting = True

    def feed(self, data: bytes | memoryview) -> list[Event]:
        self._events = []
        if not self.awaiting:
            return [Lost("unasked")]
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self.awaiting = False
            self._events.append(Lost(f"malformed: {e}"))
        return self._events

    def eof(self) -> list[Event]:
        """The server has ended its sending."""
        self._events = []
        if self.awaiting:
            # An answer without a length ends with its connection; no server here may send one, since its end
            # could not be told from a break.
            self.awaiting = False
            self._events.append(Lost("eof"))
        return self._events

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._headers, self._size = {}, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD:
            raise ValueError("the head of the answer is too large")
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:
            self._events.append(Head(status, self._headers))

    def on_body(self, body: bytes) -> None:
        self._events.append(Data(body))

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() >= 200:
            self.awaiting = False
            self._events.append(End(self._parser.should_keep_alive()))
