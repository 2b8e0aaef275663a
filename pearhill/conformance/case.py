"""Defines a conformance case: a request, the replica's scripts, and the expected response and upstream requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from pearhill.conformance.scripts import Script

IDEMPOTENT_MODEL = "conform-safe"
NON_IDEMPOTENT_MODEL = "conform-once"

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
RESPONSES_PATH = "/v1/responses"
MODELS_PATH = "/v1/models"


@dataclass(frozen=True, slots=True)
class ExpectedResponse:
    """The response that the client must receive. A field that is None or empty is not checked.

    `mismatch` compares `json` and each of `events`, so that the response may have more fields than are listed. In a
    stream, "[DONE]" counts as an event. `text` is compared with the concatenated text of the stream's first choice. The
    header value "*" matches any value.
    """

    status: int = 200
    json: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    absent_headers: tuple[str, ...] = ()
    events: tuple[Any, ...] | None = None
    event_names: tuple[str, ...] | None = None  # the `event` fields of all events, in order
    body: bytes | None = None  # compared byte for byte
    truncated: bool = False  # the connection must end before the body is complete
    connection_usable: bool | None = None  # whether the connection must accept another request
    text: str | None = None


@dataclass(frozen=True, slots=True)
class ExpectedRequests:
    """What the scripted replica must have received: the number of complete requests, and the content of the last one.

    `mismatch` compares `fields` with the body, which may have more fields. `absent` lists the names of fields that the
    body must not have, `absent_headers` the names of headers that the request must not have.
    """

    count: int | None = 1  # None stands for one or more
    fields: Any = None
    absent: tuple[str, ...] = ()
    headers: dict[str, str] = field(default_factory=dict)
    absent_headers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Case:
    """One request to the front end under test, with the expected response and upstream requests."""

    name: str  # "group/name", unique in the suite
    guards_against: str  # the fault that the case detects, as the report describes it
    body: Any  # bytes, which are sent as they are, or a value that is sent as JSON
    expected_response: ExpectedResponse
    scripts: tuple[Script, ...] = ()  # the k-th is for the k-th request; the last one repeats
    expected_requests: ExpectedRequests = ExpectedRequests(count=0)
    path: str = CHAT_PATH
    method: str = "POST"
    headers: dict[str, str] = field(default_factory=dict)
    standalone_only: bool = False  # skipped where an embedding application or its HTTP server decides
    client_disconnects: bool = False  # after the first part of the response body
    pause_after_s: float = 0.0  # until the pause that the replica requested by `Retry-After` has expired

    @property
    def group(self) -> str:
        """The part of the name before the slash. The report has one table for each group."""
        return self.name.partition("/")[0]

    @property
    def request_body(self) -> bytes:
        """The bytes of the body as they are sent."""
        return self.body if isinstance(self.body, bytes) else msgspec.json.encode(self.body)


def mismatch(expected: Any, actual: Any) -> str:
    """Returns a description of the first difference between `actual` and `expected`, or an empty text if they match.

    An object may have more fields than the expected one. Lists are compared item by item and must have the same length.
    All other values must be equal and of the same type, so that 1, 1.0 and true differ.
    """
    if isinstance(expected, dict):
        return _object_mismatch(expected, actual)
    if isinstance(expected, list):
        return _list_mismatch(expected, actual)
    if expected == actual and type(expected) is type(actual):
        return ""
    return f"found {actual!r:.120}, not {expected!r:.120}"


def _object_mismatch(expected: dict[str, Any], actual: Any) -> str:
    if not isinstance(actual, dict):
        return f"found {actual!r:.80} where an object should be"
    for name, value in expected.items():
        if name not in actual:
            return f"no {name!r} in {sorted(actual)}"
        failure = mismatch(value, actual[name])
        if failure:
            return f"{name}: {failure}"
    return ""


def _list_mismatch(expected: list[Any], actual: Any) -> str:
    if not isinstance(actual, list) or len(expected) != len(actual):
        return f"found {actual!r:.80}, not {len(expected)} items"
    for index, (expected_item, item) in enumerate(zip(expected, actual, strict=True)):
        failure = mismatch(expected_item, item)
        if failure:
            return f"[{index}]: {failure}"
    return ""
