"""Server-sent events, as a state machine that is fed bytes and keeps each event's own bytes."""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT = 256 * 1024
_LINE_END = re.compile(rb"\r\n|\n|\r(?!$)")


class BadEvents(Exception):
    """Bytes that are no stream of events."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    raw: bytes  # as it came, the blank line included
    data: str | None  # None: no data field, so nothing to dispatch
    name: str = "message"


class EventParser:
    """Lines end in CR LF, LF or CR. A CR at the end of the input waits for what follows it."""

    def __init__(self, most: int = MAX_EVENT) -> None:
        self.most = most
        self._buffer = b""
        self._at = 0  # where in the buffer the next line begins
        self._data: list[str] = []
        self._name = ""

    @property
    def between_events(self) -> bool:
        return not self._buffer.strip(b"\r\n")

    def feed(self, data: bytes) -> list[ServerEvent]:
        events = []
        self._buffer += data
        while end := _LINE_END.search(self._buffer, self._at):
            line, self._at = self._buffer[self._at:end.start()], end.end()
            if line:
                self._field(line)
                continue
            raw, self._buffer, self._at = self._buffer[:self._at], self._buffer[self._at:], 0
            events.append(ServerEvent(raw, "\n".join(self._data) if self._data else None, self._name or "message"))
            self._data, self._name = [], ""
        if len(self._buffer) > self.most:
            raise BadEvents("an event is too large")
        return events

    def _field(self, line: bytes) -> None:
        try:
            name, _, value = line.decode().removeprefix("\ufeff").partition(":")
        except UnicodeDecodeError:
            raise BadEvents("an event is no UTF-8") from None
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "event":
            self._name = value
