"""HTTP/1.1 messages, and how they are written."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

Headers = Iterable[tuple[str, str]]
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class RequestMessage:
    """A complete request. Header names are in lower case; see `add_header` for repeated ones.

    `arrived`: when its last byte was read, in microseconds of the process's clock; None: not known.
    """

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    arrived: int | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


def add_header(headers: dict[str, str], name: str, value: str) -> None:
    """Add a field to headers by lower-case name; a repeated one becomes a list (RFC 9110, 5.3).

    Of a field that comes twice, two recipients might otherwise each take another value. Where one value is needed, a
    list is not accepted.
    """
    headers[name] = f"{headers[name]}, {value}" if name in headers else value


def _fields(headers: Headers) -> str:
    return "".join(f"{name}: {value}\r\n" for name, value in headers)


def request(method: str, target: str, host: str, headers: Headers = (), body: bytes | None = None) -> bytes:
    """A complete request; None: it has no body, and no Content-Length."""
    length = "" if body is None else f"Content-Length: {len(body)}\r\n"
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{_fields(headers)}{length}\r\n"
    return head.encode("latin-1") + (body or b"")


def _status(status: int) -> str:
    try:
        return f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n"
    except ValueError:
        return f"HTTP/1.1 {status} Unknown\r\n"


def answer(status: int, headers: Headers = (), body: bytes = b"", close: bool = False) -> bytes:
    """A complete answer. `close`: the connection ends with it."""
    framing = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    ending = "Connection: close\r\n" if close else ""
    return f"{_status(status)}{_fields(headers)}{framing}{ending}\r\n".encode("latin-1") + body


def stream_head(status: int, headers: Headers = (), close: bool = False) -> bytes:
    """The head of an answer whose body follows in chunks."""
    ending = "Connection: close\r\n" if close else ""
    return f"{_status(status)}{_fields(headers)}Transfer-Encoding: chunked\r\n{ending}\r\n".encode("latin-1")


def chunk(data: bytes) -> bytes:
    """A chunk of a body; `LAST_CHUNK` ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
