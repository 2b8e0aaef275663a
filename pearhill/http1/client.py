"""The client's side of an HTTP/1.1 connection: bytes in, the pieces of one answer after another out."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

MAX_HEAD = 32 * 1024  # bytes of an answer that are no body, the interim answers before it included
MAX_CHUNK = 256 * 1024  # bytes
FIRST_FINAL_STATUS = 200  # below it an answer is interim, and another one follows


@dataclass(frozen=True, slots=True)
class Head:
    """The status and the headers of an answer, by lower-case name."""

    status: int
    headers: dict[str, str]


@dataclass(slots=True)  # Not frozen: one is made for every piece of every stream, and a frozen one takes longer.
class Data:
    """A piece of the body; of a chunked one, all complete chunks that one read has brought."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The answer is complete.

    `reusable`: the connection may carry another request. `clean`: no bytes that belong to no answer followed it.
    """

    reusable: bool
    clean: bool = True


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection has ended, or its bytes are no HTTP/1.1, before the answer was complete."""

    why: str


Event = Head | Data | End | Lost


class ClientConnection:
    """Fed what a server sends. `expect` opens an exchange; bytes outside one are an error.

    `awaiting`: an exchange is open.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._events: list[Event] = []
        self._headers: dict[str, str] = {}
        self._chunk: bytearray | None = None  # what has arrived of a chunk that is not complete
        self._complete_chunks: list[bytes] = []
        self._framing = 0  # bytes of this answer that are no body
        self._most_chunk = MAX_CHUNK
        self.awaiting = False

    def expect(self, most_chunk: int = MAX_CHUNK) -> None:
        """Open an exchange. `most_chunk`: bytes of a chunk, which is gathered here until it is complete."""
        self.awaiting = True
        self._framing = 0
        self._most_chunk = most_chunk

    def feed(self, data: bytes | memoryview) -> list[Event]:
        """What the server has sent; the events that are complete now."""
        if not self.awaiting:
            return [Lost("unasked")]
        self._framing += len(data)
        try:
            self._parser.feed_data(data)
            # The parser keeps a header that never ends, and says nothing of it until it does.
            if self.awaiting and self._framing > MAX_HEAD:
                raise ValueError("the head of the answer is too large")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as e:
            if self.awaiting:
                self._lose(f"malformed: {e.__context__ or e}")
            else:  # On a connection that is used again, what follows an answer would be taken for the next one.
                self._events[-1] = End(reusable=False, clean=False)
        return self._take_events()

    def eof(self, why: str = "eof") -> list[Event]:
        """The server has ended its sending, or the connection broke: `why`.

        An answer without a length, which ends with its connection (RFC 9112, 6.3), is not accepted: its end could not
        be distinguished from a broken connection.
        """
        if self.awaiting:
            self._lose(why)
        return self._take_events()

    def close(self) -> None:
        """Nothing more will be fed. The parser and this object refer to each other: they are freed at once only so."""
        self.awaiting = False
        self._parser = None

    def _lose(self, why: str) -> None:
        self._flush_chunks()
        self.awaiting = False
        self._events.append(Lost(why))

    def _take_events(self) -> list[Event]:
        """The events found, which are then the caller's alone: a last one kept here would stay in memory."""
        self._flush_chunks()
        events = self._events
        self._events = []
        return events

    # Called by the parser.

    def on_message_begin(self) -> None:
        """An answer begins."""
        if not self.awaiting:
            raise ValueError("an answer that was not asked for")
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer; of a repeated one the last counts."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """The head is complete. The event has a copy of the headers, since trailers are added to them later."""
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self._events.append(Head(status, dict(self._headers)))

    def on_chunk_header(self) -> None:
        """A chunk begins."""
        self._chunk = bytearray()

    def on_body(self, body: bytes) -> None:
        """A part of the body. A chunk is gathered, up to a bound: one of gigabytes would fill the memory."""
        self._framing -= len(body)
        if self._chunk is None:
            self._events.append(Data(body))
            return
        self._chunk += body
        if len(self._chunk) > self._most_chunk:
            raise ValueError("a chunk is too large")

    def on_chunk_complete(self) -> None:
        """A chunk is complete. Its size proves right only behind its last byte: nothing of it is passed on before."""
        if self._chunk:
            self._complete_chunks.append(bytes(self._chunk))
        self._chunk = None

    def on_message_complete(self) -> None:
        """The answer is complete, or an interim one, which another follows."""
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self.awaiting = False
            self._flush_chunks()
            self._events.append(End(self._parser.should_keep_alive()))

    def _flush_chunks(self) -> None:
        """One event for all chunks that a read brought: a busy server's come by the dozen."""
        if self._complete_chunks:
            self._events.append(Data(b"".join(self._complete_chunks)))
            self._complete_chunks.clear()
