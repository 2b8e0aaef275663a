"""Events of a replica's stream.

Only the fields that the dispatcher reads are declared; it forwards or merges events with all their fields.

Source: OpenAI's API reference, "Chat Completions", "The chat completion chunk object".
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import UNSET, Meta, Struct, UnsetType

from pearhill.chat.schema.messages import MAX_CALLS

MAX_CHOICES = 128  # of one request (`n`)


class FunctionDelta(Struct):
    """A fragment of a function call."""

    name: str | None = None
    arguments: str | None = None


class CallDelta(Struct):
    """A fragment of the tool call with this index."""

    index: Annotated[int, Meta(ge=0, lt=MAX_CALLS)]
    id: str | None = None
    type: str | None = None
    function: FunctionDelta | None = None


class TokenLogprob(Struct):
    """A token and its log probability."""

    token: str
    logprob: float | None = None


class LogprobEntry(TokenLogprob):
    """A token of the answer, and the most likely tokens at its position."""

    top_logprobs: list[TokenLogprob] | None = None


class Logprobs(Struct):
    """Log probabilities of the tokens of a choice."""

    content: list[LogprobEntry] | None = None
    refusal: list[LogprobEntry] | None = None


class Delta(Struct):
    """The part of a choice that one event carries."""

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


# More than any model's context. Larger numbers are noise, and a charge for them could not be stored.
MAX_REPORTED_TOKENS = 1 << 31
TokenCount = Annotated[int, Meta(ge=0, le=MAX_REPORTED_TOKENS)]


class PromptDetails(Struct):
    """The number of the prompt's tokens that were cached."""

    cached_tokens: TokenCount | None = None


class CompletionDetails(Struct):
    """The number of the answer's tokens that were spent on reasoning."""

    reasoning_tokens: TokenCount | None = None


class Usage(Struct):
    """A request's usage in tokens. The last event before `[DONE]` contains it."""

    prompt_tokens: TokenCount = 0
    completion_tokens: TokenCount = 0
    total_tokens: Annotated[int, Meta(ge=0, le=2 * MAX_REPORTED_TOKENS)] = 0
    prompt_tokens_details: PromptDetails | None = None
    completion_tokens_details: CompletionDetails | None = None


class Chunk(Struct):
    """One event of a stream. `error` is not part of the API, but some servers report faults in it."""

    choices: list[ChunkChoice]
    usage: Usage | None = None
    error: Any | UnsetType = UNSET


class ServerError(Struct):
    """The body of a replica's error response. Only the field that the dispatcher reads is declared."""

    error: dict[str, Any]
