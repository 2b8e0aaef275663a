"""The server's side of a connection: bytes in, whole requests out."""

from __future__ import annotations

import re
from dataclasses import dataclass

import httptools

from pearhill.http1.messages import RequestMessage, add_header

MAX_BODY = 256 * 1024
MAX_HEAD = 32 * 1024


@dataclass(frozen=True, slots=True)
class Rejected:
    """Input that is no acceptable request; nothing after it on the connection can be understood."""

    status: int
    why: str


@dataclass(frozen=True, slots=True)
class ContinueWanted:
    """The client waits for `100 Continue` before it sends the body."""


Event = RequestMessage | Rejected | ContinueWanted


class _Refused(Exception):
    """Raised through the parser, which forgets why."""


class ServerConnection:
    """Fed what a client sends. After a `Rejected` it takes nothing more."""

    def __init__(self, max_body: int = MAX_BODY, max_head: int = MAX_HEAD) -> None:
        self.max_body, self.max_head = max_body, max_head
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        # Danger: the exception itself, kept here, would keep its frames and so this connection's buffers.
        self._refusal: Rejected | None = None
        self._message = RequestMessage("", "")
        self._body = bytearray()
        self._head = self._framing = 0  # bytes of the head's whole parts; bytes of this message that are no body
        self._headed = False  # the head is whole
        self.in_message = False  # a request has begun and is not whole
        self.broken = False

    def feed(self, data: bytes | memoryview) -> list[Event]:
        if self.broken:
            return []
        self._framing += len(data)
        try:
            self._parser.feed_data(data)
            # Danger: the parser keeps a header that never ends, and tells nothing of it until it does. Endless
            # chunk extensions, trailers and blank lines before a request are no better.
            if self._framing > self.max_head:
                self._refuse(431, "the head of the request is too large")
        except (_Refused, httptools.HttpParserError) as e:
            self.broken, self.in_message = True, False
            self._events.append(self._refusal or Rejected(400, str(e)))
        return self._taken()

    def close(self) -> None:
        """Nothing more will be fed. Danger: the parser and this hold each other, and all that is here, until the
        collector comes."""
        self.broken, self._parser = True, None

    def _refuse(self, status: int, why: str) -> None:
        self._refusal = Rejected(status, why)
        raise _Refused

    def _count_head(self, size: int) -> None:
        self._head += size
        if self._head > self.max_head:
            self._refuse(431, "the head of the request is too large")

    def _taken(self) -> list[Event]:
        """What was found, which is then its reader's alone: a last message kept here would stay in memory."""
        events, self._events = self._events, []
        return events

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._message, self._body = RequestMessage("", ""), bytearray()
        self._head, self._framing, self._headed = 0, 0, False
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        self._count_head(len(url))
        self._message.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + 4)
        if not self._headed:  # Danger: a trailer would pass for a header that the head did not have.
            add_header(self._message.headers, name.decode("latin-1").lower(), value.decode("latin-1").strip())

    def on_headers_complete(self) -> None:
        self._headed, headers = True, self._message.headers
        length, coding = headers.get("content-length"), headers.get("transfer-encoding")
        # Danger: two ways to tell where the body ends let one request hide inside another.
        if length is not None and (coding is not None or "," in length):
            self._refuse(400, "the length of the body is stated in more than one way")
        if coding is not None and coding.lower() != "chunked":
            self._refuse(400, "the only transfer coding taken is chunked")
        if length is not None and not re.fullmatch("[0-9]{1,18}", length):
            self._refuse(400, "Content-Length is no number")
        if length is not None and int(length) > self.max_body:
            self._refuse(413, "the body is too large")
        if self._parser.get_http_version() != "1.1":
            self._refuse(426, "HTTP/1.1 is needed")
        if "," in headers.get("host", ","):
            self._refuse(400, "one Host is needed")
        # Danger: for the parser the body of such a request is another protocol's, and the request has none.
        if self._parser.should_upgrade():
            self._refuse(400, "no upgrade is offered here")
        self._message.method = self._parser.get_method().decode("latin-1")
        if self._message.headers.get("expect", "").lower() == "100-continue":
            self._events.append(ContinueWanted())

    def on_body(self, body: bytes) -> None:
        self._framing -= len(body)
        if len(self._body) + len(body) > self.max_body:
            self._refuse(413, "the body is too large")
        self._body += body

    def on_message_complete(self) -> None:
        message = self._message
        message.body = bytes(self._body)
        message.keep_alive = self._parser.should_keep_alive()
        # Danger: kept until the next one, the last request of each client that stays would fill the memory.
        self._message, self._body, self._framing = RequestMessage("", ""), bytearray(), 0
        self.in_message = False
        self._events.append(message)
