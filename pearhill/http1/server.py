"""The server's side of an HTTP/1.1 connection: bytes in, complete requests out."""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from pearhill.http1.messages import RequestMessage, add_header

MAX_BODY = 256 * 1024  # bytes
MAX_HEAD = 32 * 1024  # bytes of a request that are no body
HEADER_SEPARATORS = 4  # bytes of `: ` and CR LF


@dataclass(frozen=True, slots=True)
class Rejected:
    """Input that is no acceptable request; nothing after it on the connection can be understood."""

    status: int
    why: str


@dataclass(frozen=True, slots=True)
class ContinueWanted:
    """The client waits for `100 Continue` before it sends the body."""


Event = RequestMessage | Rejected | ContinueWanted


class _RejectedError(Exception):
    """Raised through the parser, which loses its cause: `ServerConnection._rejected` keeps that."""


class ServerConnection:
    """Fed what a client sends. After a `Rejected` it is `broken` and accepts nothing more.

    `in_message`: a request has begun and is not complete.
    """

    def __init__(self, max_body: int = MAX_BODY) -> None:
        self.max_body = max_body
        self.in_message = False
        self.broken = False
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        # Not the exception: that would keep its frames alive, and with them the buffers that were fed.
        self._rejected: Rejected | None = None
        self._message = RequestMessage("", "")
        self._body = bytearray()
        self._head_size = 0  # bytes of the head's parts that the parser has reported
        self._framing = 0  # bytes of this message that are no body
        self._head_complete = False

    def feed(self, data: bytes | memoryview) -> list[Event]:
        """What the client has sent; the events that are complete now."""
        if self.broken:
            return []
        self._framing += len(data)
        try:
            self._parser.feed_data(data)
            # The parser keeps a header that never ends, and says nothing of it until it does. Chunk extensions,
            # trailers and blank lines before a request may be endless too.
            if self._framing > MAX_HEAD:
                self._reject(431, "the head of the request is too large")
        except (_RejectedError, httptools.HttpParserError) as e:
            self.broken = True
            self.in_message = False
            self._events.append(self._rejected or Rejected(400, str(e)))
        return self._take_events()

    def close(self) -> None:
        """Nothing more will be fed. The parser and this object refer to each other: they are freed at once only so."""
        self.broken = True
        self._parser = None

    def _reject(self, status: int, why: str) -> None:
        self._rejected = Rejected(status, why)
        raise _RejectedError

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > MAX_HEAD:
            self._reject(431, "the head of the request is too large")

    def _take_events(self) -> list[Event]:
        """The events found, which are then the caller's alone: a last one kept here would stay in memory."""
        events = self._events
        self._events = []
        return events

    # Called by the parser.

    def on_message_begin(self) -> None:
        """A request begins."""
        self._message = RequestMessage("", "")
        self._body = bytearray()
        self._head_size = 0
        self._framing = 0
        self._head_complete = False
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self._count_head(len(url))
        self._message.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header, or a trailer, which must not pass for a header that the head did not have."""
        self._count_head(len(name) + len(value) + HEADER_SEPARATORS)
        if not self._head_complete:
            add_header(self._message.headers, name.decode("latin-1").lower(), value.decode("latin-1").strip())

    def on_headers_complete(self) -> None:
        """The head is complete: what of it decides where the request ends has to be beyond doubt."""
        self._head_complete = True
        headers = self._message.headers
        self._check_framing(headers.get("content-length"), headers.get("transfer-encoding"))
        if self._parser.get_http_version() != "1.1":
            self._reject(426, "HTTP/1.1 is needed")
        if "," in headers.get("host", ","):
            self._reject(400, "one Host is needed")
        # To the parser the body of an upgrade belongs to another protocol, and the request has none.
        if self._parser.should_upgrade():
            self._reject(400, "no upgrade is offered here")
        self._message.method = self._parser.get_method().decode("latin-1")
        if headers.get("expect", "").lower() == "100-continue":
            self._events.append(ContinueWanted())

    def _check_framing(self, length: str | None, coding: str | None) -> None:
        """Two ways to tell where the body ends would let one request hide inside another (RFC 9112, 11.2)."""
        if length is not None and (coding is not None or "," in length):
            self._reject(400, "the length of the body is stated in more than one way")
        if coding is not None and coding.lower() != "chunked":
            self._reject(400, "the only transfer coding taken is chunked")
        if length is not None and not re.fullmatch("[0-9]{1,18}", length):
            self._reject(400, "Content-Length is no number")
        if length is not None and int(length) > self.max_body:
            self._reject(413, "the body is too large")

    def on_body(self, body: bytes) -> None:
        """A part of the body."""
        self._framing -= len(body)
        if len(self._body) + len(body) > self.max_body:
            self._reject(413, "the body is too large")
        self._body += body

    def on_message_complete(self) -> None:
        """The request is complete. It is not kept: the last one of each open connection would fill the memory."""
        message = self._message
        message.body = bytes(self._body)
        message.keep_alive = self._parser.should_keep_alive()
        self._message = RequestMessage("", "")
        self._body = bytearray()
        self._framing = 0
        self.in_message = False
        self._events.append(message)
