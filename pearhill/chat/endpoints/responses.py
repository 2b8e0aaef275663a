"""`/v1/responses` without stored state: chat chunks are converted to output items and a stream of numbered events.

Source: OpenAI's API reference, "Responses" and "Streaming events".
"""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec

from pearhill.chat.collected import ChunkReader
from pearhill.chat.endpoints.output_items import EventSequence, OutputItems, TextKind
from pearhill.chat.errors import ApiError, invalid_request
from pearhill.chat.prompt import Prompt, ResponseIdentity, Turn
from pearhill.chat.schema.reading import Reader
from pearhill.chat.schema.responses import ResponseRequest
from pearhill.chat.translate import items_to_messages, response_to_chat, response_usage

_reader = Reader(ResponseRequest)
# The `reason` in `incomplete_details` of a response, by the `finish_reason` of a chat answer that was cut short.
INCOMPLETE_REASONS = {"length": "max_output_tokens", "content_filter": "content_filter"}
TEXT_KINDS = {"content": TextKind.OUTPUT_TEXT, "refusal": TextKind.REFUSAL}  # by the field of a chat delta
# Fields of the request that a response repeats.
ECHOED_FIELDS = (
    "instructions",
    "max_output_tokens",
    "temperature",
    "top_p",
    "tool_choice",
    "tools",
    "text",
    "metadata",
    "user",
    "parallel_tool_calls",
    "reasoning",
    "truncation",
)
# Values of a response for fields that the request omits or that are not supported.
DEFAULT_FIELDS: dict[str, Any] = {
    "instructions": None,
    "max_output_tokens": None,
    "temperature": None,
    "top_p": None,
    "reasoning": None,
    "user": None,
    "previous_response_id": None,
    "store": False,
    "background": False,
    "tool_choice": "auto",
    "tools": [],
    "parallel_tool_calls": True,
    "metadata": {},
    "text": {"format": {"type": "text"}},
    "truncation": "disabled",
}


class ResponsesFormat:
    """Writes answers as responses."""

    def __init__(self, request: ResponseRequest, identity: ResponseIdentity) -> None:
        self._request = request
        self._identity = identity
        self._reader = ChunkReader()
        self._events = EventSequence()
        self._output = OutputItems(identity.id, self._events)
        self._has_started = False
        self._usage: dict[str, Any] | None = None
        self._finish_reason: str | None = None

    def convert_events(self, data: bytes) -> bytes:
        """Returns the events for these chunks."""
        return b"".join(self._add_chunk(chunk) for chunk in self._reader.feed(data))

    def encode_end(self) -> bytes:
        """Returns the events that close the open items, and the event with the final response."""
        events = self._close_items()
        event_type = "response.incomplete" if self._finish_reason in INCOMPLETE_REASONS else "response.completed"
        return events + self._events.encode(event_type, response=self._final_response())

    def encode_truncation(self, error: ApiError) -> bytes:
        """Returns an event with the failed response."""
        self._output.mark_truncated()
        response = self._response("failed", error={"code": error.code, "message": error.message})
        return self._events.encode("response.failed", response=response)

    def collect_events(self, data: bytes) -> None:
        """Collect the contents of these chunks for `encode_complete`."""
        for chunk in self._reader.feed(data):
            self._add_chunk(chunk)

    def encode_complete(self) -> bytes:
        """Returns the final response, made of all collected chunks."""
        self._close_items()
        return msgspec.json.encode(self._final_response())

    def _add_chunk(self, chunk: dict[str, Any]) -> bytes:
        """Add a chunk. Any exception from here means that the chunk is malformed."""
        events = b""
        if not self._has_started:
            self._has_started = True
            events += self._events.encode("response.created", response=self._response("in_progress"))
            events += self._events.encode("response.in_progress", response=self._response("in_progress"))
        if chunk.get("usage"):
            self._usage = chunk["usage"]
        for choice in chunk["choices"]:
            events += self._add_choice(choice)
        return events

    def _add_choice(self, choice: dict[str, Any]) -> bytes:
        events = b""
        delta = choice["delta"]
        for name, kind in TEXT_KINDS.items():
            if delta.get(name):
                logprobs = (choice.get("logprobs") or {}).get(name) or []
                events += self._output.add_text(kind, delta[name], logprobs)
        for call in delta.get("tool_calls") or ():
            events += self._output.add_call(call)
        self._finish_reason = choice.get("finish_reason") or self._finish_reason
        return events

    def _close_items(self) -> bytes:
        return self._output.close("incomplete" if self._finish_reason in INCOMPLETE_REASONS else "completed")

    def _final_response(self) -> dict[str, Any]:
        reason = INCOMPLETE_REASONS.get(self._finish_reason or "")
        if reason:
            return self._response("incomplete", incomplete_details={"reason": reason})
        return self._response("completed")

    def _response(self, status: str, **fields: Any) -> dict[str, Any]:
        """Returns the response object. `fields` override the defaults and the fields of the request."""
        request = msgspec.to_builtins(self._request)
        echoed = {name: request[name] for name in ECHOED_FIELDS if request.get(name) is not None}
        return {
            "id": f"resp_{self._identity.id}",
            "object": "response",
            "created_at": self._identity.created,
            "status": status,
            "error": None,
            "incomplete_details": None,
            **DEFAULT_FIELDS,
            **echoed,
            "model": self._identity.model,
            "output": self._output.items if status != "in_progress" else [],
            "usage": response_usage(self._usage),
            **fields,
        }


def read(body: bytes) -> Prompt:
    """Read a request's body.

    Raises ApiError if it is not a valid request for a response, or if it needs stored state, which is not supported.
    """
    request, fields = _reader.read(body)
    request.check()
    messages = items_to_messages(request)
    if not messages:
        raise invalid_request("The input holds no message.", "input")
    return Prompt(
        model=request.model,
        stream=request.stream is True,
        wants_usage=True,
        turns=[_turn(message) for message in messages],
        max_output_tokens=request.max_output_tokens,
        metadata=request.metadata or {},
        fields=response_to_chat(request, messages, fields),
        new_format=partial(ResponsesFormat, request),
    )


def _turn(message: dict[str, Any]) -> Turn:
    """Returns the role and the text of a chat message that `items_to_messages` has made."""
    content = message.get("content") or ""
    texts = [content] if isinstance(content, str) else [_part_text(part) for part in content]
    calls = [call["function"] for call in message.get("tool_calls", ())]
    texts += [f"{function['name']}({function['arguments']})" for function in calls]
    return Turn(message["role"], "".join(texts))


def _part_text(part: dict[str, Any]) -> str:
    """Returns the text of a content part. A part without text is represented by its JSON."""
    return part.get("text") or part.get("refusal") or msgspec.json.encode(part).decode()
