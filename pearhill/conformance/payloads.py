"""Builds the request bodies, events and answers of the OpenAI API that the cases consist of."""

from __future__ import annotations

from typing import Any

import msgspec

from pearhill.conformance.case import IDEMPOTENT_MODEL
from pearhill.conformance.scripts import Script, event_stream


def sse_event(value: Any) -> bytes:
    """Returns a server-sent event whose data is `value`: bytes as they are, any other value as JSON."""
    return b"data: %b\n\n" % (value if isinstance(value, bytes) else msgspec.json.encode(value))


DONE_EVENT = sse_event(b"[DONE]")
CHUNK_FIELDS = {"id": "chatcmpl-1", "object": "chat.completion.chunk", "created": 7, "model": "m"}


def chat_chunk(finish_reason: str | None = None, index: int = 0, logprobs: Any = None, **delta: Any) -> dict[str, Any]:
    """Returns a `chat.completion.chunk` object with one choice, with this `finish_reason`."""
    choice = {"index": index, "delta": delta, "finish_reason": finish_reason}
    if logprobs:
        choice["logprobs"] = logprobs
    return {**CHUNK_FIELDS, "choices": [choice]}


USAGE_CHUNK = {
    **CHUNK_FIELDS,
    "choices": [],
    "usage": {
        "prompt_tokens": 9,
        "completion_tokens": 2,
        "total_tokens": 11,
        "prompt_tokens_details": {"cached_tokens": 4},
    },
}
# The answer "one two" as chunk objects, as server-sent events, and as the scripts of a replica that always sends it.
CHAT_CHUNKS = (
    chat_chunk(role="assistant", content="one "),
    chat_chunk(content="two"),
    chat_chunk(finish_reason="stop"),
)
ANSWER_EVENTS = (*map(sse_event, CHAT_CHUNKS), sse_event(USAGE_CHUNK), DONE_EVENT)
SUCCESS_SCRIPTS = (event_stream(*ANSWER_EVENTS),)


def error_body(code: str | None = None, param: str | None = None, error_type: str | None = None) -> dict[str, Any]:
    """Returns an error object with the fields that are given. `error_type` is its `type`."""
    fields = {"code": code, "param": param, "type": error_type}
    return {"error": {name: value for name, value in fields.items() if value is not None}}


def chat_request(*messages: Any, model: Any = IDEMPOTENT_MODEL, **fields: Any) -> dict[str, Any]:
    """Returns the body of a chat request. If no messages are given, it has one user message, "Hi"."""
    return {"model": model, "messages": list(messages) or [{"role": "user", "content": "Hi"}], **fields}


def tool_call_delta(index: int, arguments: str = "", id: str | None = None, name: str | None = None) -> dict[str, Any]:
    """Returns an item of a chunk's `tool_calls`: a part of a call's arguments, with id and name in the first part."""
    function = {"arguments": arguments}
    if name:
        function["name"] = name
    call: dict[str, Any] = {"index": index, "function": function}
    if id:
        call["id"] = id
        call["type"] = "function"
    return call


def chunk_scripts(*chunks: dict[str, Any]) -> tuple[Script, ...]:
    """Returns the scripts of a replica that streams these chunks, then the usage chunk and [DONE]."""
    return (event_stream(*map(sse_event, chunks), sse_event(USAGE_CHUNK), DONE_EVENT),)
