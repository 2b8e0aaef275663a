"""A parser of server-sent events, as a state machine that is fed bytes and preserves the raw bytes of each event.

Source: the HTML standard, "Server-sent events", 9.2.5 (parsing) and 9.2.6 (interpreting an event stream).
"""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_EVENT = 256 * 1024  # bytes
_LINE_END = re.compile(rb"\r\n|\n|\r(?!$)")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_DEFAULT_NAME = "message"


class EventStreamError(Exception):
    """Raised for bytes that are not a valid event stream."""


class ServerEvent(NamedTuple):
    """One event. `raw`: its bytes as received, with the blank line. `data`: UTF-8, or None without a data line."""

    raw: bytes
    data: bytes | None
    name: str = _DEFAULT_NAME


class EventParser:
    """Parses the events of one stream. Lines end in CR LF, LF or CR.

    A CR at the end of the input is kept until the next byte shows whether an LF belongs to it. `max_size`: the largest
    accepted event in bytes.
    """

    def __init__(self, max_size: int = MAX_EVENT) -> None:
        self.max_size = max_size
        self._buffer = b""
        self._line_start = 0  # the position of the next line in the buffer
        self._data: list[bytes] = []
        self._name = ""
        self._started = False  # whether the first line, which may have a byte order mark, has been parsed

    @property
    def between_events(self) -> bool:
        """Return whether the bytes fed so far end between two events."""
        return not self._buffer.strip(b"\r\n")

    @property
    def buffered_bytes(self) -> int:
        """The received part of an incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Parse bytes of the stream. Returns the events that they complete.

        Raises EventStreamError if the bytes are not UTF-8, or an event is larger than `max_size` bytes.
        """
        if not self._buffer:
            events = self._parse_plain(data)
            if events is not None:
                return events
        return self._parse_lines(data)

    def _parse_plain(self, data: bytes) -> list[ServerEvent] | None:
        """Parse events of one `data: ` line each that end in LF LF: the fast path for what most servers usually send.

        Returns None if the bytes have another form and must be parsed line by line.
        """
        if not data.endswith(b"\n\n") or b"\r" in data or len(data) > self.max_size:
            return None
        blocks = data[:-2].split(b"\n\n")
        for block in blocks:
            if block[:6] != b"data: " or b"\n" in block:
                return None
        _check_utf8(data)
        self._started = True
        return [ServerEvent(block + b"\n\n", block[6:]) for block in blocks]

    def _parse_lines(self, data: bytes) -> list[ServerEvent]:
        events = []
        self._buffer += data
        while end := _LINE_END.search(self._buffer, self._line_start):
            line = self._buffer[self._line_start : end.start()]
            self._line_start = end.end()
            if not self._started:
                self._started = True
                line = line.removeprefix(_BYTE_ORDER_MARK)
            if line:
                self._parse_field(line)
            else:
                events.append(self._take_event())
        self._check_size(self._buffer)
        return events

    def _take_event(self) -> ServerEvent:
        """Remove from the buffer the event whose blank line ends at the start of the next line, and return it."""
        raw = self._buffer[: self._line_start]
        self._buffer = self._buffer[self._line_start :]
        self._line_start = 0
        self._check_size(raw)  # Checked here too: otherwise acceptance would depend on where reads end.
        event = ServerEvent(raw, b"\n".join(self._data) if self._data else None, self._name or _DEFAULT_NAME)
        self._data = []
        self._name = ""
        return event

    def _check_size(self, event: bytes) -> None:
        if len(event) > self.max_size:
            raise EventStreamError(f"an event is larger than {self.max_size} bytes")

    def _parse_field(self, line: bytes) -> None:
        _check_utf8(line)
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            self._data.append(value)
        elif name == b"event":
            self._name = value.decode()


def _check_utf8(data: bytes) -> None:
    try:
        data.decode()
    except UnicodeDecodeError:
        raise EventStreamError("an event is not valid UTF-8") from None
