"""The request of `POST /v1/responses`, without stored state. Source: OpenAI's API reference, "Responses"."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

from pearhill.chat.schema.chat import Effort, JsonFormat, Metadata, TextFormat, Tokens
from pearhill.chat.schema.items import Item
from pearhill.chat.schema.reading import require
from pearhill.chat.schema.tools import Identifier

# Fields that refer to state stored by a server, and the alternative that the error message suggests for each.
STATE_FIELDS = {
    "previous_response_id": "send the whole conversation as input",
    "conversation": "send the whole conversation as input",
    "prompt": "send instructions and input",
}


class FunctionTool(Struct, tag_field="type", tag="function"):
    """A function that the model may call. `parameters`: a JSON Schema."""

    name: Identifier
    parameters: dict[str, Any] | None = None
    description: str | None = None
    strict: bool | None = None


class FunctionChoice(Struct, tag_field="type", tag="function"):
    """The model must call this function."""

    name: str


class SchemaFormat(Struct, tag_field="type", tag="json_schema"):
    """The answer is JSON that follows this schema."""

    name: Identifier
    schema: dict[str, Any]
    description: str | None = None
    strict: bool | None = None


class TextOptions(Struct):
    """The format and the length of the answer's text."""

    format: TextFormat | JsonFormat | SchemaFormat | None = None
    verbosity: Literal["low", "medium", "high"] | None = None


class Reasoning(Struct):
    """How much the model reasons before it answers. `summary` is only repeated in the response."""

    effort: Effort | None = None
    summary: str | None = None


class ResponseRequest(Struct):
    """A request for a response.

    The fields are those of the API reference. Fields that are not declared here are forwarded to replicas unchecked.
    """

    model: Annotated[str, Meta(min_length=1, max_length=256)]
    input: str | Annotated[list[Item], Meta(min_length=1, max_length=4096)]
    instructions: str | None = None
    stream: bool | None = None
    stream_options: dict[str, Any] | None = None
    max_output_tokens: Tokens | None = None
    temperature: Annotated[float, Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, Meta(ge=0, le=1)] | None = None
    top_logprobs: Annotated[int, Meta(ge=0, le=20)] | None = None
    tools: Annotated[list[FunctionTool], Meta(max_length=128)] | None = None
    tool_choice: Literal["none", "auto", "required"] | FunctionChoice | None = None
    parallel_tool_calls: bool | None = None
    text: TextOptions | None = None
    reasoning: Reasoning | None = None
    include: list[str] | None = None
    truncation: Literal["auto", "disabled"] | None = None
    metadata: Metadata | None = None
    user: str | None = None
    store: bool | None = None
    background: bool | None = None
    previous_response_id: str | None = None
    conversation: Any = None
    prompt: Any = None

    def check(self) -> None:
        """Check the rules that involve several fields.

        Raises ApiError if fields contradict each other, or require state that is not stored here.
        """
        self._check_state()
        require(self.truncation != "auto", "truncation is not done here.", "truncation", "unsupported_value")
        require(
            self.stream_options is None or self.stream is True,
            "stream_options is only allowed when stream is true.",
            "stream_options",
        )
        for number, name in enumerate(self.include or ()):
            require(
                name == "message.output_text.logprobs",
                f"{name!r} can't be included here.",
                f"include[{number}]",
                "unsupported_value",
            )
        if isinstance(self.input, list):
            for number, item in enumerate(self.input):
                item.check(f"input[{number}]")
        self._check_tool_choice()

    def _check_state(self) -> None:
        for name, remedy in STATE_FIELDS.items():
            require(
                getattr(self, name) is None,
                f"{name} is not supported: no state is stored here; {remedy}.",
                name,
                "unsupported_parameter",
            )
        require(not self.store, "store: true is not supported: no state is stored here.", "store", "unsupported_value")
        require(
            not self.background,
            "background is not supported: no state is stored here.",
            "background",
            "unsupported_value",
        )

    def _check_tool_choice(self) -> None:
        choice = self.tool_choice
        names = {tool.name for tool in self.tools or ()}
        require(
            choice in (None, "none") or bool(names), "tool_choice is only allowed when tools are given.", "tool_choice"
        )
        if isinstance(choice, FunctionChoice):
            require(choice.name in names, f"There is no function {choice.name!r} among tools.", "tool_choice.name")
