"""Events of a replica's stream. Only what is looked at is typed: events are forwarded, or put together, as they are.

Source: OpenAI's API reference, "Chat Completions", "The chat completion chunk object".
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import UNSET, Meta, Struct, UnsetType

from pearhill.chat.schema.messages import MAX_CALLS

MAX_CHOICES = 128  # of one request (`n`)


class FunctionDelta(Struct):
    """A piece of a function call."""

    name: str | None = None
    arguments: str | None = None


class CallDelta(Struct):
    """A piece of the tool call with this index."""

    index: Annotated[int, Meta(ge=0, lt=MAX_CALLS)]
    id: str | None = None
    type: str | None = None
    function: FunctionDelta | None = None


class TokenLogprob(Struct):
    """A token and its log probability."""

    token: str
    logprob: float | None = None


class LogprobEntry(TokenLogprob):
    """A token of the answer, and the likeliest tokens at its place."""

    top_logprobs: list[TokenLogprob] | None = None


class Logprobs(Struct):
    """Log probabilities of the tokens of a choice."""

    content: list[LogprobEntry] | None = None
    refusal: list[LogprobEntry] | None = None


class Delta(Struct):
    """What an event adds to a choice."""

    role: str | None = None
    content: str | None = None
    refusal: str | None = None
    tool_calls: list[CallDelta] | None = None


class ChunkChoice(Struct):
    """One choice of an event."""

    delta: Delta
    index: Annotated[int, Meta(ge=0, lt=MAX_CHOICES)] = 0
    finish_reason: str | None = None
    logprobs: Logprobs | None = None


class PromptDetails(Struct):
    """How many of the prompt's tokens were cached."""

    cached_tokens: Annotated[int, Meta(ge=0)] | None = None


class Usage(Struct):
    """A request's usage in tokens, in the last event before `[DONE]`."""

    prompt_tokens: Annotated[int, Meta(ge=0)] = 0
    completion_tokens: Annotated[int, Meta(ge=0)] = 0
    total_tokens: Annotated[int, Meta(ge=0)] = 0
    prompt_tokens_details: PromptDetails | None = None


class Chunk(Struct):
    """One event of a stream. `error` is no part of the API; some servers report faults so."""

    choices: list[ChunkChoice]
    usage: Usage | None = None
    error: Any | UnsetType = UNSET


class ServerError(Struct):
    """The body of a replica's error response, as far as it is looked at."""

    error: dict[str, Any]
