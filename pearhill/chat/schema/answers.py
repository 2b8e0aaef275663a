"""Responses to clients, and their streamed events. The conformance suite checks every successful one against these.

Only what the API promises is named; a replica's further fields stay beside it. Source: OpenAI's API reference, "Chat
Completions", "Completions", "Responses" and "Models". `UsageReport` is pearhill's own.
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
    """Log probabilities as `/v1/completions` has them: four lists of the same length, one entry a token.

    `text_offset`: where the token begins, in characters of the choice's text.
    """

    tokens: list[str]
    token_logprobs: list[float | None]
    top_logprobs: list[dict[str, float | None]]
    text_offset: list[int]


class TextChoice(Struct):
    """One choice of a text completion, or what an event adds to it."""

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
    """One item of a response's output: a message (`role`, `content`) or a function call (`call_id` and after)."""

    id: str
    type: Literal["message", "function_call"]
    status: Literal["in_progress", "completed", "incomplete"]
    role: str | None = None
    content: list[dict[str, Any]] | None = None
    call_id: str | None = None
    name: str | None = None
    arguments: str | None = None


class ResponseError(Struct):
    """Why a response failed."""

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
    """A declared model. `created`: seconds since 1970, as the operator's file has it."""

    id: str
    created: int
    owned_by: str
    object: Literal["model"] = "model"


class ModelList(Struct):
    """The response of `GET /v1/models`."""

    data: list[ModelCard]
    object: Literal["list"] = "list"


class RequestsUsed(Struct):
    """Open requests of a tenant; `limit` None: there is none."""

    open: int
    limit: int | None


class TokensUsed(Struct):
    """Tokens of a tenant.

    `today` and `this_month`: used in the current day and month; `debt`: owed; `remaining`: of its rate. None: no limit.
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
