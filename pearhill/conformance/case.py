"""What a conformance case is: a request, the replica's scripts, the response and the upstream requests expected."""

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
    """The response that the client must receive. What is None or empty is not checked.

    `json` and each of `events` are matched as parts by `mismatch`. Of a stream, "[DONE]" is an event, and the text of
    the first choice is put together from its events. A header's value "*" stands for any value.
    """

    status: int = 200
    json: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    absent_headers: tuple[str, ...] = ()
    events: tuple[Any, ...] | None = None
    event_names: tuple[str, ...] | None = None  # in order
    body: bytes | None = None  # byte for byte
    truncated: bool = False  # the connection ends before the body does
    connection_usable: bool | None = None  # whether the connection takes another request
    text: str | None = None


@dataclass(frozen=True, slots=True)
class ExpectedRequests:
    """What the scripted replica must have received: how many complete requests, and of the last one what it held.

    `fields` is matched as a part of the body, by `mismatch`; `absent` are names that the body must not have.
    """

    count: int | None = 1  # None: one or more
    fields: Any = None
    absent: tuple[str, ...] = ()
    headers: dict[str, str] = field(default_factory=dict)
    absent_headers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Case:
    """One request to the front under test, and all that must come of it."""

    name: str  # "group/name", unique in the suite
    guards_against: str  # the fault that the case would show, for the report
    body: Any  # a JSON value, or the bytes themselves
    expected_response: ExpectedResponse
    scripts: tuple[Script, ...] = ()  # one for each request that the replica receives; the last one repeats
    expected_requests: ExpectedRequests = ExpectedRequests(count=0)
    path: str = CHAT_PATH
    method: str = "POST"
    headers: dict[str, str] = field(default_factory=dict)
    standalone_only: bool = False  # left out where an application or its HTTP server decides, not the front
    client_disconnects: bool = False  # after the first piece of the body
    pause_after_s: float = 0.0  # until the front no longer remembers what the replica asked for

    @property
    def group(self) -> str:
        """The part of the name before the slash; the report has one table for each."""
        return self.name.partition("/")[0]

    @property
    def request_body(self) -> bytes:
        """The body as it is sent."""
        return self.body if isinstance(self.body, bytes) else msgspec.json.encode(self.body)


def mismatch(expected: Any, actual: Any) -> str:
    """Where `actual` differs from what is expected, in words; empty where it does not.

    An object may have more fields than the expected one. Lists are compared item by item and must have the same length;
    all other values must be equal and of the same type, so that 1, 1.0 and true differ.
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
