"""What the scripted replica does with a request: steps that write to its connection, wait or end it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from pearhill.http1 import messages


class StepKind(StrEnum):
    """What a step does; only the first two have data."""

    SEND = "raw"  # the bytes as they are
    SEND_CHUNK = "chunk"  # the bytes as one chunk of a chunked body (RFC 9112, 7.1)
    WAIT_FOR_RELEASE = "hold"  # until the client has what it waited for, or has gone
    WAIT_FOR_CLIENT = "seen"  # until the client has the first piece of the body
    RESET = "reset"  # end the connection by a TCP reset


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that the scripted replica does."""

    kind: StepKind
    data: bytes = b""


Script = tuple[Step, ...]


def send_bytes(data: bytes) -> Step:
    """A step that sends bytes as they are."""
    return Step(StepKind.SEND, data)


def http_chunk(data: bytes) -> Step:
    """A step that sends one chunk of a chunked body."""
    return Step(StepKind.SEND_CHUNK, data)


LAST_CHUNK = send_bytes(messages.LAST_CHUNK)
WAIT_FOR_RELEASE = Step(StepKind.WAIT_FOR_RELEASE)
WAIT_FOR_CLIENT = Step(StepKind.WAIT_FOR_CLIENT)
RESET = Step(StepKind.RESET)


def response_head(**headers: str) -> Step:
    """The head of a chunked event stream, with status 200.

    Headers add to the usual ones or replace them, with `_` for `-` in their names; an empty value leaves one out.
    """
    fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **_header_names(headers)}
    return send_bytes(_head(200, ((name, value) for name, value in fields.items() if value)))


def event_stream(*parts: bytes, last: bool = True) -> Script:
    """A good event stream with a chunk for each part. `last` False: the chunk that ends the body is left out."""
    ending = (LAST_CHUNK,) if last else ()
    return (response_head(), *map(http_chunk, parts), *ending)


def plain_response(status: int, body: Any = b"", **headers: str) -> Script:
    """A response with Content-Length, sent in one piece. A body that is not bytes is sent as JSON; headers are named
    as in `response_head`."""
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    fields = {"Content-Type": "application/json", "Content-Length": str(len(data)), **_header_names(headers)}
    return (send_bytes(_head(status, fields.items()) + data),)


def _header_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-"): value for name, value in headers.items()}


def _head(status: int, fields: Iterable[tuple[str, str]]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"HTTP/1.1 {status} Scripted\r\n{lines}\r\n".encode()


def keeps_connection(script: Script) -> bool:
    """Whether a script sends a complete response, after which its connection stays open."""
    data = b"".join(step.data for step in script)
    return data.endswith(messages.LAST_CHUNK) or b"Content-Length: " in data
