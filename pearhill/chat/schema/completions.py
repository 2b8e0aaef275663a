"""The request of `POST /v1/completions`. Source: OpenAI's API reference, "Completions"."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from pearhill.chat.schema.chat import Bias, Penalty, Stop, StreamOptions, Tokens
from pearhill.chat.schema.chunks import MAX_CHOICES
from pearhill.chat.schema.reading import require


class CompletionRequest(Struct):
    """A request for a text completion. Prompts are text; lists of token ids are rejected."""

    model: Annotated[str, Meta(min_length=1, max_length=256)]
    prompt: str | Annotated[list[str], Meta(min_length=1)]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_tokens: Tokens | None = None
    n: Annotated[int, Meta(ge=1, le=MAX_CHOICES)] | None = None
    best_of: Annotated[int, Meta(ge=1, le=20)] | None = None
    echo: bool | None = None
    suffix: str | None = None
    logprobs: Annotated[int, Meta(ge=0, le=5)] | None = None
    temperature: Annotated[float, Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, Meta(ge=0, le=1)] | None = None
    frequency_penalty: Penalty | None = None
    presence_penalty: Penalty | None = None
    logit_bias: dict[str, Bias] | None = None
    stop: Stop | None = None
    seed: Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)] | None = None
    user: str | None = None

    @property
    def text(self) -> str:
        """The prompt's text. A list with one prompt yields that prompt."""
        return self.prompt if isinstance(self.prompt, str) else self.prompt[0]

    def check(self) -> None:
        """Check the rules that involve several fields.

        Raises ApiError if a single chat request to a replica cannot answer the request.
        """
        require(
            self.stream_options is None or self.stream is True,
            "stream_options is only allowed when stream is true.",
            "stream_options",
        )
        require(
            isinstance(self.prompt, str) or len(self.prompt) == 1,
            "One prompt a request: each prompt is a run of its own.",
            "prompt",
            "unsupported_value",
        )
        require(not self.suffix, "suffix is not supported here.", "suffix", "unsupported_parameter")
        require(
            self.best_of is None or self.best_of == (self.n or 1),
            "best_of is not supported here; leave it out or set it to n.",
            "best_of",
            "unsupported_value",
        )
