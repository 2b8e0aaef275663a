"""The client's side of a connection: bytes in, the pieces of one answer after another out."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD = 32 * 1024  # of an answer, the interim ones before it included
MAX_CHUNK = 256 * 1024


@dataclass(frozen=True, slots=True)
class Head:
    status: int
    headers: dict[str, str]  # names in lower case


@dataclass(slots=True)  # not frozen: made for every piece of every stream, where that costs more than the rest
class Data:
    """A piece of the body; of a chunked one, whole chunks, all that one read has brought."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The answer is whole. `reusable`: the connection may carry another request. Not `clean`: bytes that belong to no
    answer followed it."""

    reusable: bool
    clean: bool = True


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
        self._chunk: bytearray | None = None  # what has come of a chunk that is not whole
        self._whole: list[bytes] = []  # chunks that are
        self._framing = 0  # bytes of this answer that are no body
        self._most_chunk = MAX_CHUNK
        self.awaiting = False  # an exchange is open

    def expect(self, most_chunk: int = MAX_CHUNK) -> None:
        """`most_chunk`: bytes of an answer's chunk, which is gathered here until it is whole."""
        self.awaiting, self._framing, self._most_chunk = True, 0, most_chunk

    def feed(self, data: bytes | memoryview) -> list[Event]:
        if not self.awaiting:
            return [Lost("unasked")]
        self._framing += len(data)
        try:
            self._parser.feed_data(data)
            # Danger: the parser keeps a header that never ends, and tells nothing of it until it does.
            if self.awaiting and self._framing > MAX_HEAD:
                raise ValueError("the head of the answer is too large")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as e:
            if not self.awaiting:  # Danger: whatever follows an answer would be taken for the next one.
                self._events[-1] = End(reusable=False, clean=False)
            else:
                self._lost(f"malformed: {e.__context__ or e}")
        return self._taken()

    def eof(self, why: str = "eof") -> list[Event]:
        """The server has ended its sending, or the connection broke: `why`."""
        if self.awaiting:
            # An answer without a length ends with its connection; no server here may send one, since its end
            # could not be told from a break.
            self._lost(why)
        return self._taken()

    def close(self) -> None:
        """Nothing more will be fed. Danger: the parser and this hold each other until the collector comes."""
        self.awaiting, self._parser = False, None

    def _lost(self, why: str) -> None:
        self._put_chunks()
        self.awaiting = False
        self._events.append(Lost(why))

    def _taken(self) -> list[Event]:
        """What was found, which is then its reader's alone: a last message kept here would stay in memory."""
        self._put_chunks()
        events, self._events = self._events, []
        return events

    # What the parser calls.

    def on_message_begin(self) -> None:
        if not self.awaiting:
            raise ValueError("an answer that was not asked for")
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        status = self._parser.get_status_code()
        if status >= 200:
            # Trailers come later and are no headers: the event has a dictionary of its own.
            self._events.append(Head(status, dict(self._headers)))

    def on_chunk_header(self) -> None:
        self._chunk = bytearray()

    def on_body(self, body: bytes) -> None:
        self._framing -= len(body)
        if self._chunk is None:
            self._events.append(Data(body))
            return
        self._chunk += body
        # Danger: a chunk said to hold gigabytes keeps coming. What is gathered of it must have a bound.
        if len(self._chunk) > self._most_chunk:
            raise ValueError("a chunk is too large")

    def on_chunk_complete(self) -> None:
        """Danger: whether a chunk's size fits shows only behind its last byte. Until then none of it can be trusted,
        and nothing of it is handed on."""
        if self._chunk:
            self._whole.append(bytes(self._chunk))
        self._chunk = None

    def _put_chunks(self) -> None:
        """One event for all that a read brought: a busy server's events come by the dozen."""
        if self._whole:
            self._events.append(Data(b"".join(self._whole)))
            self._whole.clear()

    def on_message_complete(self) -> None:
        if self._parser.get_status_code() >= 200:
            self.awaiting = False
            self._put_chunks()
            self._events.append(End(self._parser.should_keep_alive()))
