"""HTTP/1.1 messages and their serialization."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

Headers = Iterable[tuple[str, str]]
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class RequestMessage:
    """A complete request. Header names are in lower case; see `add_header` for repeated headers.

    `arrived`: when the last byte of the request was read, in microseconds of the process's clock; None if unknown.
    `memory_bytes`: about how much memory the headers and the body take; 0 if unknown.
    """

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    arrived: int | None = None
    memory_bytes: int = 0

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


def add_header(headers: dict[str, str], name: str, value: str) -> None:
    """Add a field to headers by its lower-case name. Values of a repeated field form a list (RFC 9110, 5.3).

    If only one value of a repeated field were kept, two recipients might each use a different one. Code that needs a
    single value rejects a list.
    """
    headers[name] = f"{headers[name]}, {value}" if name in headers else value


def _fields(headers: Headers) -> str:
    return "".join(f"{name}: {value}\r\n" for name, value in headers)


def request(method: str, target: str, host: str, headers: Headers = (), body: bytes | None = None) -> bytes:
    """Return a complete request in bytes. With a `body` of None it has neither a body nor a Content-Length."""
    length = "" if body is None else f"Content-Length: {len(body)}\r\n"
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{_fields(headers)}{length}\r\n"
    return head.encode("latin-1") + (body or b"")


def _status_line(status: int) -> str:
    try:
        return f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n"
    except ValueError:
        return f"HTTP/1.1 {status} Unknown\r\n"


def answer(status: int, headers: Headers = (), body: bytes = b"", close: bool = False) -> bytes:
    """Return a complete response in bytes. `close`: the connection is closed after it."""
    length_header = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    connection_header = "Connection: close\r\n" if close else ""
    return f"{_status_line(status)}{_fields(headers)}{length_header}{connection_header}\r\n".encode("latin-1") + body


def stream_head(status: int, headers: Headers = (), close: bool = False) -> bytes:
    """Return the head of a response whose body follows in chunks."""
    connection_header = "Connection: close\r\n" if close else ""
    return f"{_status_line(status)}{_fields(headers)}Transfer-Encoding: chunked\r\n{connection_header}\r\n".encode(
        "latin-1"
    )


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body in bytes; `LAST_CHUNK` ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
