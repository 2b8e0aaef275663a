"""The server's side of a connection: bytes in, whole requests out."""

from __future__ import annotations

from dataclasses import dataclass

import httptools

from pearhill.http1.messages import RequestMessage

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


class _Refusal(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status, self.why = status, why


class ServerConnection:
    """Fed what a client sends. After a `Rejected` it takes nothing more."""

    def __init__(self, max_body: int = MAX_BODY, max_head: int = MAX_HEAD) -> None:
        self.max_body, self.max_head = max_body, max_head
        self._parser = httptools.HttpRequestParser(self)
        self._events: list[Event] = []
        self._refusal: _Refusal | None = None
        self._message = RequestMessage("", "")
        self._body = bytearray()
        self._head = 0
        self._codings: list[str] = []
        self._lengths: list[str] = []
        self.in_message = False  # a request has begun and is not whole
        self.broken = False

    def feed(self, data: bytes | memoryview) -> list[Event]:
        self._events = []
        if self.broken:
            return self._events
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "no upgrade is offered here")
        except httptools.HttpParserCallbackError as e:
            refusal = self._refusal
            self._reject(*((refusal.status, refusal.why) if refusal else (400, str(e))))
        except httptools.HttpParserError as e:
            self._reject(400, str(e))
        return self._events

    def _reject(self, status: int, why: str) -> None:
        self.broken, self.in_message = True, False
        self._events.append(Rejected(status, why))

    def _refuse(self, status: int, why: str) -> None:
        self._refusal = _Refusal(status, why)
        raise self._refusal

    def _count_head(self, size: int) -> None:
        self._head += size
        if self._head > self.max_head:
            self._refuse(431, "the head of the request is too large")

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._message, self._body = RequestMessage("", ""), bytearray()
        self._head, self._codings, self._lengths = 0, [], []
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        self._count_head(len(url))
        self._message.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value) + 4)
        key, text = name.decode("latin-1").lower(), value.decode("latin-1").strip()
        if key == "transfer-encoding":
            self._codings.append(text.lower())
        elif key == "content-length":
            self._lengths.append(text)
        self._message.headers[key] = text

    def on_headers_complete(self) -> None:
        # Danger: two ways to tell where the body ends let one request hide inside another.
        if len(self._lengths) > 1 or (self._lengths and self._codings):
            self._refuse(400, "the length of the body is stated in more than one way")
        if self._codings and self._codings != ["chunked"]:
            self._refuse(400, "the only transfer coding taken is chunked")
        if self._lengths and not self._lengths[0].isdecimal():
            self._refuse(400, "Content-Length is no number")
        if self._lengths and int(self._lengths[0]) > self.max_body:
            self._refuse(413, "the body is too large")
        if self._parser.get_http_version() != "1.1":
            self._refuse(426, "HTTP/1.1 is needed")
        if "host" not in self._message.headers:
            self._refuse(400, "Host is missing")
        self._message.method = self._parser.get_method().decode("latin-1")
        if self._message.headers.get("expect", "").lower() == "100-continue":
            self._events.append(ContinueWanted())

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > self.max_body:
            self._refuse(413, "the body is too large")
        self._body += body

    def on_message_complete(self) -> None:
        self._message.body = bytes(self._body)
        self._message.keep_alive = self._parser.should_keep_alive()
        self._body = bytearray()
        self.in_message = False
        self._events.append(self._message)
