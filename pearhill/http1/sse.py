"""Server-sent events, as a state machine that is fed bytes and keeps each event's own bytes.

Source: the HTML standard, "Server-sent events", 9.2.5 (parsing) and 9.2.6 (interpreting an event stream).
"""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_EVENT = 256 * 1024
_LINE_END = re.compile(rb"\r\n|\n|\r(?!$)")
_BOM = b"\xef\xbb\xbf"


class BadEvents(Exception):
    """Bytes that are no stream of events."""


class ServerEvent(NamedTuple):
    raw: bytes  # as it came, the blank line included
    data: bytes | None  # UTF-8; None: no data field, so nothing to dispatch
    name: str = "message"


class EventParser:
    """Lines end in CR LF, LF or CR. A CR at the end of the input waits for what follows it. `most`: bytes that one
    event may have."""

    def __init__(self, most: int = MAX_EVENT) -> None:
        self.most = most
        self._buffer = b""
        self._at = 0  # where in the buffer the next line begins
        self._data: list[bytes] = []
        self._name = ""
        self._begun = False  # the first line, which may have a byte order mark, has been read

    @property
    def between_events(self) -> bool:
        return not self._buffer.strip(b"\r\n")

    def feed(self, data: bytes) -> list[ServerEvent]:
        """The events that are whole now. BadEvents: no UTF-8, or an event past `most` bytes."""
        if not self._buffer and (events := self._plain(data)) is not None:
            return events
        events = []
        self._buffer += data
        while end := _LINE_END.search(self._buffer, self._at):
            line, self._at = self._buffer[self._at : end.start()], end.end()
            if not self._begun:
                self._begun, line = True, line.removeprefix(_BOM)
            if line:
                self._field(line)
                continue
            raw, self._buffer, self._at = self._buffer[: self._at], self._buffer[self._at :], 0
            if len(raw) > self.most:  # Danger: else whether it passes would depend on where reads happen to end.
                raise BadEvents("an event is too large")
            events.append(ServerEvent(raw, b"\n".join(self._data) if self._data else None, self._name or "message"))
            self._data, self._name = [], ""
        if len(self._buffer) > self.most:
            raise BadEvents("an event is too large")
        return events

    def _plain(self, data: bytes) -> list[ServerEvent] | None:
        """What nearly all servers send nearly always: whole events of one `data: ` line each, ended by LF LF. None:
        anything else, to be read line by line."""
        if not data.endswith(b"\n\n") or b"\r" in data or len(data) > self.most:
            return None
        blocks = data[:-2].split(b"\n\n")
        for block in blocks:
            if block[:6] != b"data: " or b"\n" in block:
                return None
        try:
            data.decode()
        except UnicodeDecodeError:
            raise BadEvents("an event is no UTF-8") from None
        self._begun = True
        return [ServerEvent(block + b"\n\n", block[6:]) for block in blocks]

    def _field(self, line: bytes) -> None:
        try:
            line.decode()
        except UnicodeDecodeError:
            raise BadEvents("an event is no UTF-8") from None
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._data.append(value)
        elif name == b"event":
            self._name = value.decode()
