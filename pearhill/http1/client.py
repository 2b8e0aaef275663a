"""The client side of an HTTP/1.1 connection: parses the bytes that a server sends into events of its responses."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from pearhill.http1.framing import MAX_FRAMING_BYTES, FramingMeter

MAX_CHUNK = 256 * 1024  # bytes
FIRST_FINAL_STATUS = 200  # a response with a lower status is interim: another one follows


@dataclass(frozen=True, slots=True)
class Head:
    """The status and the headers of a response. Header names are in lower case."""

    status: int
    headers: dict[str, str]


@dataclass(slots=True)  # Not frozen: one is created for every piece of every stream, and a frozen one is slower.
class Data:
    """A piece of the body. For a chunked body it holds all chunks that one read has completed."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The response is complete.

    `reusable`: the connection may carry another request. `clean`: no unexpected bytes followed the response.
    """

    reusable: bool
    clean: bool = True


@dataclass(frozen=True, slots=True)
class Lost:
    """The connection ended, or its bytes were not valid HTTP/1.1, before the response was complete."""

    reason: str


Event = Head | Data | End | Lost


class ClientConnection:
    """Parses the responses on one connection. `expect` opens an exchange; bytes outside an exchange are an error.

    `awaiting`: whether an exchange is open.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._events: list[Event] = []
        self._headers: dict[str, str] = {}
        self._chunk: bytearray | None = None  # the received part of an incomplete chunk
        self._complete_chunks: list[bytes] = []
        # Of this response and the interim responses before it. The extensions of each chunk may be as long as a head:
        # a stream is bounded by its time and its events, not by the number of its chunks.
        self._framing = FramingMeter(MAX_FRAMING_BYTES)
        self._max_chunk = MAX_CHUNK
        self.awaiting = False

    def expect(self, max_chunk: int = MAX_CHUNK) -> None:
        """Open an exchange. `max_chunk`: the largest chunk in bytes, as chunks are buffered until complete."""
        self.awaiting = True
        self._framing.start_message()
        self._max_chunk = max_chunk

    @property
    def buffered_bytes(self) -> int:
        """The received part of an incomplete chunk."""
        return len(self._chunk) if self._chunk else 0

    def feed(self, data: bytes | memoryview) -> list[Event]:
        """Parse bytes that the server has sent. Returns the events that they complete."""
        if not self.awaiting:
            return [Lost("unasked")]
        self._framing.begin_read(len(data))
        try:
            self._parser.feed_data(data)
            # The parser buffers a header without reporting it until it ends, so an endless one is detected here.
            if not self._framing.end_read() and self.awaiting:
                raise ValueError(f"the head of the response is larger than {MAX_FRAMING_BYTES} bytes")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as e:
            if self.awaiting:
                self._lose(f"malformed: {e.__context__ or e}")
            else:  # On a reused connection these bytes would be read as the response to the next request.
                self._events[-1] = End(reusable=False, clean=False)
        return self._take_events()

    def eof(self, reason: str = "eof") -> list[Event]:
        """Handle the end of the server's bytes. `reason`: the reason of the `Lost` event if a response is incomplete.

        A response without a length, which ends with its connection (RFC 9112, 6.3), is not accepted: its end cannot
        be distinguished from a broken connection.
        """
        if self.awaiting:
            self._lose(reason)
        return self._take_events()

    def close(self) -> None:
        """Drop the parser. The two refer to each other: without this only the garbage collector frees them."""
        self.awaiting = False
        self._parser = None

    def _lose(self, reason: str) -> None:
        self._flush_chunks()
        self.awaiting = False
        self._events.append(Lost(reason))

    def _take_events(self) -> list[Event]:
        """Return the events found and keep none: an event kept here would stay in memory with an idle connection."""
        self._flush_chunks()
        events = self._events
        self._events = []
        return events

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Handle the start of a response."""
        if not self.awaiting:
            raise ValueError("a response arrived without a request")
        self._headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header or a trailer. The last value of a repeated one is kept."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        """Report the head. The event gets a copy of the headers, since trailers are added to the original later."""
        status = self._parser.get_status_code()
        if status >= FIRST_FINAL_STATUS:
            self._events.append(Head(status, dict(self._headers)))

    def on_chunk_header(self) -> None:
        """Handle the start of a chunk."""
        self._chunk = bytearray()

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body. The size of a chunk is bounded: one of gigabytes would fill the memory."""
        self._framing.add_body(len(body))
        if self._chunk is None:
            self._events.append(Data(body))
            return
        self._chunk += body
        if len(self._chunk) > self._max_chunk:
            raise ValueError(f"a chunk is larger than {self._max_chunk} bytes")

    def on_chunk_complete(self) -> None:
        """Queue a complete chunk. None of it is reported earlier: its size is verified only after its last byte."""
        if self._chunk:
            self._framing.add_chunk()
            self._complete_chunks.append(bytes(self._chunk))
        self._chunk = None

    def on_message_complete(self) -> None:
        """Handle the end of a response. An interim response is skipped, since another one follows it."""
        if self._parser.get_status_code() >= FIRST_FINAL_STATUS:
            self.awaiting = False
            self._flush_chunks()
            self._events.append(End(self._parser.should_keep_alive()))

    def _flush_chunks(self) -> None:
        """Report all chunks of one read as one event: a read from a busy server completes dozens of chunks."""
        if self._complete_chunks:
            self._events.append(Data(b"".join(self._complete_chunks)))
            self._complete_chunks.clear()
