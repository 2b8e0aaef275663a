"""Checks a response, and the requests that the replica received, against what a case expects.

Each check returns a description of the failure, or an empty text if the check passes.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from pearhill.chat.errors import ErrorObject
from pearhill.chat.schema import answers
from pearhill.chat.schema.chunks import Chunk
from pearhill.conformance.case import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    MODELS_PATH,
    RESPONSES_PATH,
    ExpectedRequests,
    ExpectedResponse,
    mismatch,
)
from pearhill.conformance.client import ReceivedResponse
from pearhill.conformance.replica import ScriptedReplica
from pearhill.http1.sse import EventParser

MAX_EVENT_BYTES = 64 << 20
DONE = b"[DONE]"
ANY_VALUE = "*"  # matches any value of a header


@dataclass(frozen=True, slots=True)
class AnswerTypes:
    """The types that a successful answer of an endpoint must decode to."""

    complete: type
    event: type | None = None  # of a stream; None if the endpoint does not stream


ANSWER_TYPES = {
    CHAT_PATH: AnswerTypes(answers.ChatCompletion, Chunk),
    COMPLETIONS_PATH: AnswerTypes(answers.TextCompletion, answers.TextCompletion),
    RESPONSES_PATH: AnswerTypes(answers.Response, answers.ResponseEvent),
    MODELS_PATH: AnswerTypes(answers.ModelList),
}
MODEL_CARD = AnswerTypes(answers.ModelCard)  # for the path of a single model


def response_failure(response: ReceivedResponse, expected: ExpectedResponse, path: str) -> str:
    """Returns why a response differs from what the case expects, or an empty text if it does not."""
    return (
        _status_failure(response, expected)
        or _header_failure(response.headers, {"x-request-id": ANY_VALUE, **expected.headers}, expected.absent_headers)
        or _body_failure(response, expected)
        or _json_failure(response, expected)
        or (schema_failure(response, path) if expected.status == 200 else "")
        or _stream_failure(response, expected)
    )


def requests_failure(replica: ScriptedReplica, expected: ExpectedRequests) -> str:
    """Returns why the received requests differ from what the case expects, or an empty text if they do not."""
    count = len(replica.requests)
    if expected.count is None and not count:
        return "the server had 0 runs, not some"
    if expected.count is not None and count != expected.count:
        return f"the server had {count} runs, not {expected.count}"
    if not count:
        return ""
    body = replica.last_body()
    failure = mismatch(expected.fields, body) if expected.fields is not None else ""
    if failure:
        return f"the server was sent: {failure}"
    present = [name for name in expected.absent if name in body]
    if present:
        return f"the server was sent {present[0]!r}"
    return _header_failure(replica.requests[-1].headers, expected.headers, expected.absent_headers)


def schema_failure(response: ReceivedResponse, path: str) -> str:
    """Returns why a successful answer does not decode to the types of its endpoint, or an empty text if it does.

    The types are those of `pearhill.chat.schema`. An event of a stream may also be an error object.
    """
    types = ANSWER_TYPES.get(path, MODEL_CARD)
    try:
        if not response.headers.get("content-type", "").startswith("text/event-stream"):
            msgspec.json.decode(response.body, type=types.complete)
            return ""
        for event in EventParser(MAX_EVENT_BYTES).feed(response.body):
            if event.data is not None and event.data != DONE:
                is_error = b'"error"' in event.data[:12]
                msgspec.json.decode(event.data, type=ErrorObject if is_error else types.event)
    except msgspec.DecodeError as e:
        return f"the answer is not of its form: {e}"
    return ""


def stream_text(events: Iterable[Any]) -> str:
    """Returns the concatenated text of a stream's first choice, for every endpoint that streams."""
    text = ""
    for value in events:
        if not isinstance(value, dict):
            continue
        if value.get("type") == "response.output_text.delta":
            text += value["delta"]
        for choice in value.get("choices") or ():
            if choice.get("index", 0) == 0:
                text += choice.get("text") or (choice.get("delta") or {}).get("content") or ""
    return text


def _status_failure(response: ReceivedResponse, expected: ExpectedResponse) -> str:
    if response.status == expected.status:
        return ""
    return f"status {response.status}, not {expected.status}: {response.body[:200]!r}"


def _header_failure(headers: dict[str, str], expected: dict[str, str], absent: tuple[str, ...]) -> str:
    """Compares headers. The names in `headers` are in lower case, those in `expected` and `absent` in any case."""
    for name, value in expected.items():
        actual = headers.get(name.lower())
        if actual is None or value not in (ANY_VALUE, actual):
            return f"header {name}: found {actual!r}, not {value!r}"
    return next((f"header {name} is there" for name in absent if name.lower() in headers), "")


def _body_failure(response: ReceivedResponse, expected: ExpectedResponse) -> str:
    if response.complete == expected.truncated:
        return f"the answer is {'whole' if response.complete else 'broken'}"
    if expected.body is not None and response.body != expected.body:
        return f"body {response.body[:200]!r}, not {expected.body[:200]!r}"
    return ""


def _json_failure(response: ReceivedResponse, expected: ExpectedResponse) -> str:
    if expected.json is None:
        return ""
    try:
        value = msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return f"the body is no JSON: {response.body[:100]!r}"
    return mismatch(expected.json, value)


def _stream_failure(response: ReceivedResponse, expected: ExpectedResponse) -> str:
    if expected.events is None and expected.event_names is None and expected.text is None:
        return ""
    events = [event for event in EventParser(MAX_EVENT_BYTES).feed(response.body) if event.data is not None]
    values = [
        DONE.decode() if event.data == DONE else msgspec.json.decode(event.data) for event in events if event.data
    ]
    if expected.text is not None and stream_text(values) != expected.text:
        return f"text {stream_text(values)!r}, not {expected.text!r}"
    names = tuple(event.name for event in events)
    if expected.event_names is not None and names != expected.event_names:
        return f"events {names}"
    sequence_numbers = [
        value["sequence_number"] for value in values if isinstance(value, dict) and "sequence_number" in value
    ]
    if sequence_numbers and sequence_numbers != list(range(len(values))):
        return "sequence numbers do not rise by one"
    return mismatch(list(expected.events), values) if expected.events is not None else ""
