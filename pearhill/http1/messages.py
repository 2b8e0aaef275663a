"""The messages themselves, and how they are written."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

Headers = Iterable[tuple[str, str]]
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class RequestMessage:
    """A request that has come in whole. Header names are in lower case; see `add_header` for repeated ones."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    keep_alive: bool = True
    arrived: int | None = None  # when its last byte was read, in microseconds of the process's clock; None: not told

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


def add_header(headers: dict[str, str], name: str, value: str) -> None:
    """Danger: of a header that comes twice, two readers may each believe another one. Both values count, as a list;
    where one value is wanted, a list is none."""
    headers[name] = f"{headers[name]}, {value}" if name in headers else value


def _fields(headers: Headers) -> str:
    return "".join(f"{name}: {value}\r\n" for name, value in headers)


def request(method: str, target: str, host: str, headers: Headers = (), body: bytes | None = None) -> bytes:
    length = "" if body is None else f"Content-Length: {len(body)}\r\n"
    head = f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{_fields(headers)}{length}\r\n"
    return head.encode("latin-1") + (body or b"")


def _status(status: int) -> str:
    try:
        return f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n"
    except ValueError:
        return f"HTTP/1.1 {status} Unknown\r\n"


def answer(status: int, headers: Headers = (), body: bytes = b"", close: bool = False) -> bytes:
    """A whole answer."""
    framing = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    ending = "Connection: close\r\n" if close else ""
    return f"{_status(status)}{_fields(headers)}{framing}{ending}\r\n".encode("latin-1") + body


def stream_head(status: int, headers: Headers = (), close: bool = False) -> bytes:
    """The head of an answer whose body follows in chunks."""
    ending = "Connection: close\r\n" if close else ""
    return f"{_status(status)}{_fields(headers)}Transfer-Encoding: chunked\r\n{ending}\r\n".encode("latin-1")


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
