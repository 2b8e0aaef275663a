"""Scripts of the scripted replica: steps that write to a request's connection, wait, or reset the connection."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import msgspec

from pearhill.http1 import messages


class StepKind(StrEnum):
    """The action of a step. Only SEND and SEND_CHUNK use the data of the step."""

    SEND = "raw"  # sends the bytes as they are
    SEND_CHUNK = "chunk"  # sends the bytes as one chunk of a chunked body (RFC 9112, 7.1)
    WAIT_FOR_RESUME = "hold"  # waits until the case has ended, or `resume` is called
    WAIT_FOR_CLIENT = "seen"  # waits until the client has received the first part of the body
    RESET = "reset"  # ends the connection by a TCP reset


@dataclass(frozen=True, slots=True)
class Step:
    """One action of the scripted replica."""

    kind: StepKind
    data: bytes = b""


Script = tuple[Step, ...]


def send_bytes(data: bytes) -> Step:
    """Returns a step that sends bytes as they are."""
    return Step(StepKind.SEND, data)


def http_chunk(data: bytes) -> Step:
    """Returns a step that sends one chunk of a chunked body."""
    return Step(StepKind.SEND_CHUNK, data)


LAST_CHUNK = send_bytes(messages.LAST_CHUNK)
WAIT_FOR_RESUME = Step(StepKind.WAIT_FOR_RESUME)
WAIT_FOR_CLIENT = Step(StepKind.WAIT_FOR_CLIENT)
RESET = Step(StepKind.RESET)


def response_head(**headers: str) -> Step:
    """Returns a step that sends the head of a chunked event stream, with status 200.

    `headers` extend or replace the default headers. Their names have `_` in place of `-`, and an empty value omits the
    header.
    """
    fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **_header_names(headers)}
    return send_bytes(_head(200, ((name, value) for name, value in fields.items() if value)))


def event_stream(*parts: bytes, last: bool = True) -> Script:
    """Returns the script of a valid event stream with one chunk for each part.

    If `last` is false, the last chunk, which ends the body, is omitted.
    """
    ending = (LAST_CHUNK,) if last else ()
    return (response_head(), *map(http_chunk, parts), *ending)


def plain_response(status: int, body: Any = b"", **headers: str) -> Script:
    """Returns the script of a response with Content-Length, which is sent in one write.

    A body of bytes is sent as it is, any other value as JSON. Header names are written as for `response_head`.
    """
    data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    fields = {"Content-Type": "application/json", "Content-Length": str(len(data)), **_header_names(headers)}
    return (send_bytes(_head(status, fields.items()) + data),)


def _header_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-"): value for name, value in headers.items()}


def _head(status: int, fields: Iterable[tuple[str, str]]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return f"HTTP/1.1 {status} Scripted\r\n{lines}\r\n".encode()


def keeps_connection(script: Script) -> bool:
    """Returns whether a script sends a complete response, after which the connection stays open."""
    data = b"".join(step.data for step in script)
    return data.endswith(messages.LAST_CHUNK) or b"Content-Length: " in data
