"""Whole answers and streamed events, as clients read them: what the conformance suite takes every good answer for.

Only what the API promises is named; a server's further fields stand beside it. Source: OpenAI's API reference.
"""

from __future__ import annotations

from typing import Any, Literal

from msgspec import Struct

from pearhill.chat.schema.chat import FunctionCall, Logprobs, Usage


class MadeCall(Struct):
    id: str | None
    type: str
    function: FunctionCall | None = None


class MadeMessage(Struct):
    role: Literal["assistant"]
    content: str | None
    refusal: str | None = None
    tool_calls: list[MadeCall] | None = None


class MadeChoice(Struct):
    index: int
    message: MadeMessage
    finish_reason: str | None
    logprobs: Logprobs | None = None


class ChatCompletion(Struct):
    object: Literal["chat.completion"]
    choices: list[MadeChoice]
    id: str | None = None
    created: int = 0
    model: str | None = None
    usage: Usage | None = None


class OldLogprobs(Struct):
    """Four lists of the same length."""

    tokens: list[str]
    token_logprobs: list[float | None]
    top_logprobs: list[dict[str, float | None]]
    text_offset: list[int]


class TextChoice(Struct):
    index: int
    text: str
    logprobs: OldLogprobs | None
    finish_reason: str | None


class TextCompletion(Struct):
    """A whole answer, and each event of a stream."""

    id: str
    object: Literal["text_completion"]
    created: int
    model: str
    choices: list[TextChoice]
    usage: dict[str, Any] | None = None


class OutputItem(Struct):
    id: str
    type: Literal["message", "function_call"]
    status: Literal["in_progress", "completed", "incomplete"]
    role: str | None = None
    content: list[dict[str, Any]] | None = None
    call_id: str | None = None
    name: str | None = None
    arguments: str | None = None


class ResponseError(Struct):
    code: str
    message: str


class Response(Struct):
    id: str
    object: Literal["response"]
    created_at: int
    status: Literal["in_progress", "completed", "incomplete", "failed"]
    model: str
    output: list[OutputItem]
    store: bool
    error: ResponseError | None
    incomplete_details: dict[str, str] | None
    usage: dict[str, Any] | None


class ResponseEvent(Struct):
    type: str
    sequence_number: int
    response: Response | None = None
    item: OutputItem | None = None
    item_id: str | None = None
    output_index: int = 0


class ModelCard(Struct):
    id: str
    created: int
    owned_by: str
    object: Literal["model"] = "model"


class ModelList(Struct):
    data: list[ModelCard]
    object: Literal["list"] = "list"


class RequestsUsed(Struct):
    open: int
    limit: int | None


class TokensUsed(Struct):
    today: int
    this_month: int
    day_limit: int | None
    month_limit: int | None
    debt: int
    remaining: int | None


class UsageReport(Struct):
    """`GET /v1/usage`: tokens and requests of one tenant."""

    tenant: str
    tokens: TokensUsed
    requests: RequestsUsed
    object: Literal["usage"] = "usage"
