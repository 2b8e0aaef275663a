"""The server side of an HTTP/1.1 connection: parses the bytes that a client sends into complete requests."""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from pearhill.http1.framing import CHUNK_FRAMING_BYTES, MAX_FRAMING_BYTES, FramingMeter
from pearhill.http1.messages import RequestMessage, add_header

MAX_BODY = 256 * 1024  # bytes
HEADER_SEPARATORS = 4  # bytes of `: ` and CR LF, per header
HEADER_OBJECT_BYTES = 128  # of memory for a header's strings and its dictionary entry, beside its text


@dataclass(frozen=True, slots=True)
class Rejected:
    """Input that is not an acceptable request. No later byte of the connection can be parsed."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class ContinueExpected:
    """The client waits for `100 Continue` before it sends the body."""


@dataclass(frozen=True, slots=True)
class Discarded:
    """A request whose content was discarded, after `ServerConnection.discard_message` or while it waited."""

    keep_alive: bool


Event = RequestMessage | Rejected | ContinueExpected | Discarded


class _RejectedError(Exception):
    """Raised in a callback to stop the parser, which drops the cause: `ServerConnection._rejected` holds that."""


class ServerConnection:
    """Parses the requests on one connection. After a `Rejected` event it is `broken` and ignores further bytes.

    `in_message`: whether a request has begun and is incomplete. `parts`: of how many header fields and chunks its
    received part consists; 0 if there is none.
    """

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self.max_body = max_body
        self.in_message = False
        self.broken = False
        self.parts = 0
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        # The exception itself is not stored: it would keep its frames alive, and with them the buffers of the callers.
        self._rejected: Rejected | None = None
        self._message = RequestMessage("", "")
        self._body = bytearray()
        self._body_size = 0  # bytes of the body that were received, even if they are discarded
        self._body_size_at_chunk = 0  # at the end of the last chunk
        self._discarding = False  # the incomplete request is being discarded
        self._head_size = 0  # bytes of the head that the parser has reported so far
        self._framing = FramingMeter(CHUNK_FRAMING_BYTES)  # extensions of all chunks are limited (RFC 9112, 7.1.1)
        self._head_complete = False

    @property
    def head_complete(self) -> bool:
        """Whether a request is incomplete and its head is complete."""
        return self.in_message and self._head_complete

    @property
    def in_body(self) -> bool:
        """Whether a request is incomplete, its head is complete, and it is not being discarded."""
        return self.head_complete and not self._discarding

    @property
    def partial_bytes(self) -> int:
        """About how much memory the received part of an incomplete request takes; 0 if it is being discarded."""
        if not self.in_message or self._discarding:
            return 0
        head_bytes = self._head_size
        if not self._head_complete:  # the parser holds a part that it has not reported yet
            head_bytes = max(head_bytes, self._framing.framing_bytes)
        return self._memory_bytes(head_bytes)

    def _memory_bytes(self, head_bytes: int) -> int:
        return head_bytes + len(self._message.headers) * HEADER_OBJECT_BYTES + len(self._body)

    def feed(self, data: bytes | memoryview) -> list[Event]:
        """Parse bytes that the client has sent. Returns the events that they complete."""
        if self.broken:
            return []
        self._framing.begin_read(len(data))
        try:
            self._parser.feed_data(data)
            # The parser buffers a header without reporting it until it ends, so an endless one is detected here. Chunk
            # extensions, trailers and blank lines before a request may be endless too.
            if not self._framing.end_read():
                self._reject_large_head()
        except (_RejectedError, httptools.HttpParserError) as e:
            self.broken = True
            self._drop_message()
            self._events.append(self._rejected or Rejected(400, str(e)))
        return self._take_events()

    def discard_message(self) -> None:
        """Discard the received part of the incomplete request. Its end is still found, and reported as `Discarded`. If
        its head is incomplete, that cannot be found: the request is reported at once, and later bytes are ignored."""
        if self._head_complete:
            self._discarding = True
            self._message = RequestMessage("", "")
            self._body = bytearray()
        else:
            self.broken = True
            self._drop_message()

    def close(self) -> None:
        """Drop the parser and an incomplete request. The parser and this object refer to each other: without this only
        the garbage collector frees them."""
        self.broken = True
        self._drop_message()
        self._parser = None

    def _drop_message(self) -> None:
        self.in_message = False
        self.parts = 0
        self._message = RequestMessage("", "")
        self._body = bytearray()

    def _reject(self, status: int, reason: str) -> None:
        self._rejected = Rejected(status, reason)
        raise _RejectedError

    def _reject_large_head(self) -> None:
        self._reject(431, "the head of the request is too large")

    def _take_events(self) -> list[Event]:
        """Return the events found and keep none: an event kept here would stay in memory with an idle connection."""
        events = self._events
        self._events = []
        return events

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._message = RequestMessage("", "")
        self._body = bytearray()
        self._body_size = 0
        self._body_size_at_chunk = 0
        self._discarding = False
        self._head_size = 0
        self._framing.start_message()
        self._head_complete = False
        self.parts = 0
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self._head_size += len(url)
        if self._head_size > MAX_FRAMING_BYTES:
            self._reject_large_head()
        self._message.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header. A trailer is ignored: it must not be mistaken for a header of the head."""
        self.parts += 1
        self._head_size += len(name) + len(value) + HEADER_SEPARATORS  # inlined: a head may have thousands of fields
        if self._head_size > MAX_FRAMING_BYTES:
            self._reject_large_head()
        if not self._head_complete:
            add_header(self._message.headers, name.decode("latin-1").lower(), value.decode("latin-1").strip())

    def on_headers_complete(self) -> None:
        """Check the complete head. Headers that determine where the request ends must be unambiguous."""
        self._head_complete = True
        headers = self._message.headers
        self._check_framing(headers.get("content-length"), headers.get("transfer-encoding"))
        if self._parser.get_http_version() != "1.1":
            self._reject(426, "HTTP/1.1 is needed")
        if "," in headers.get("host", ","):
            self._reject(400, "one Host is needed")
        # The parser treats the bytes after an upgrade request as another protocol: the request would have no body.
        if self._parser.should_upgrade():
            self._reject(400, "no upgrade is offered here")
        self._message.method = self._parser.get_method().decode("latin-1")
        if headers.get("expect", "").lower() == "100-continue":
            self._events.append(ContinueExpected())

    def _check_framing(self, length: str | None, coding: str | None) -> None:
        """Reject an ambiguous or invalid body length.

        Two statements of the length would allow request smuggling: one request hidden in another (RFC 9112, 11.2).
        """
        if length is not None and (coding is not None or "," in length):
            self._reject(400, "the length of the body is stated in more than one way")
        if coding is not None and coding.lower() != "chunked":
            self._reject(400, "the only transfer coding taken is chunked")
        if length is not None and not re.fullmatch("[0-9]{1,18}", length):
            self._reject(400, "Content-Length is no number")
        if length is not None and int(length) > self.max_body:
            self._reject(413, "the body is too large")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the allowed size."""
        self._framing.add_body(len(body))
        self._body_size += len(body)
        if self._body_size > self.max_body:
            self._reject(413, "the body is too large")
        if not self._discarding:
            self._body += body

    def on_chunk_complete(self) -> None:
        """Handle the end of a chunk."""
        self.parts += 1
        if self._body_size > self._body_size_at_chunk:
            self._body_size_at_chunk = self._body_size
            self._framing.add_chunk()

    def on_message_complete(self) -> None:
        """Report the complete request. No reference is kept: the last of every idle connection would fill memory."""
        keep_alive = self._parser.should_keep_alive()
        if self._discarding:
            self._events.append(Discarded(keep_alive))
        else:
            message = self._message
            message.body = bytes(self._body)
            message.keep_alive = keep_alive
            message.memory_bytes = self._memory_bytes(self._head_size)
            self._events.append(message)
        self._drop_message()
        self._framing.start_message()
