"""Responses to clients, and their streamed events. The conformance suite checks every successful response against them.

The records declare only the fields that the API documents; further fields of a replica are allowed. Source:
OpenAI's API reference, "Chat Completions", "Completions", "Responses" and "Models". `UsageReport` is an extension of
pearhill.
"""

from __future__ import annotations

from typing import Any, Literal

from msgspec import Struct

from pearhill.chat.schema.chunks import Logprobs, Usage
from pearhill.chat.schema.messages import FunctionCall


class AnswerToolCall(Struct):
    """A tool call of a chat completion."""

    id: str | None
    type: str
    function: FunctionCall | None = None


class AnswerMessage(Struct):
    """The message of a chat completion's choice."""

    role: Literal["assistant"]
    content: str | None
    refusal: str | None = None
    tool_calls: list[AnswerToolCall] | None = None


class AnswerChoice(Struct):
    """One choice of a chat completion."""

    index: int
    message: AnswerMessage
    finish_reason: str | None
    logprobs: Logprobs | None = None


class ChatCompletion(Struct):
    """The response of `/v1/chat/completions` without a stream."""

    object: Literal["chat.completion"]
    choices: list[AnswerChoice]
    id: str | None = None
    created: int = 0
    model: str | None = None
    usage: Usage | None = None


class CompletionLogprobs(Struct):
    """Log probabilities in the form of `/v1/completions`: four lists of the same length, with one entry for each token.

    `text_offset`: the position at which the token begins, in characters of the choice's text.
    """

    tokens: list[str]
    token_logprobs: list[float | None]
    top_logprobs: list[dict[str, float | None]]
    text_offset: list[int]


class TextChoice(Struct):
    """One choice of a text completion, or the part of it that a stream event carries."""

    index: int
    text: str
    logprobs: CompletionLogprobs | None
    finish_reason: str | None


class TextCompletion(Struct):
    """The response of `/v1/completions`, and each event of its stream."""

    id: str
    object: Literal["text_completion"]
    created: int
    model: str
    choices: list[TextChoice]
    usage: dict[str, Any] | None = None


class OutputItem(Struct):
    """One item of a response's output.

    A message has `role` and `content`; a function call has `call_id`, `name` and `arguments`.
    """

    id: str
    type: Literal["message", "function_call"]
    status: Literal["in_progress", "completed", "incomplete"]
    role: str | None = None
    content: list[dict[str, Any]] | None = None
    call_id: str | None = None
    name: str | None = None
    arguments: str | None = None


class ResponseError(Struct):
    """The error of a failed response."""

    code: str
    message: str


class Response(Struct):
    """The response of `/v1/responses`, and the object that some events of its stream carry."""

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
    """One event of a stream of `/v1/responses`. `sequence_number` counts from 0."""

    type: str
    sequence_number: int
    response: Response | None = None
    item: OutputItem | None = None
    item_id: str | None = None
    output_index: int = 0


class ModelCard(Struct):
    """A model that the operator's file declares. `created`: seconds since 1970, as given in that file."""

    id: str
    created: int
    owned_by: str
    object: Literal["model"] = "model"


class ModelList(Struct):
    """The response of `GET /v1/models`."""

    data: list[ModelCard]
    object: Literal["list"] = "list"


class RequestsUsed(Struct):
    """The open requests of a tenant, and their limit. `limit` is None if the tenant has no limit."""

    open: int
    limit: int | None


class TokensUsed(Struct):
    """The tokens of a tenant.

    `today` and `this_month` are the tokens used in the current day and month. `debt` is the amount by which the balance
    is overdrawn, and `remaining` is what is left of the tenant's rate limit. A limit, or `remaining`, is None if the
    tenant has no such limit.
    """

    today: int
    this_month: int
    day_limit: int | None
    month_limit: int | None
    debt: int
    remaining: int | None


class UsageReport(Struct):
    """The response of `GET /v1/usage`: tokens and requests of the key's tenant."""

    tenant: str
    tokens: TokensUsed
    requests: RequestsUsed
    object: Literal["usage"] = "usage"
