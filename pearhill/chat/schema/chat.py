"""The request of `POST /v1/chat/completions`.

Source: OpenAI's API reference, "Chat Completions". Sizes are in tokens; the ranges are those of the reference.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from pearhill.chat.schema.chunks import MAX_CHOICES
from pearhill.chat.schema.messages import AssistantMessage, FilePart, Message, UserMessage
from pearhill.chat.schema.reading import JsonObject, require
from pearhill.chat.schema.tools import FunctionSpec, Identifier, Tool, ToolChoice, ToolName, check_tool_choice

MAX_TOKENS = 1_000_000
Tokens = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]
Penalty = Annotated[float, Meta(ge=-2, le=2)]
Bias = Annotated[float, Meta(ge=-100, le=100)]
Metadata = Annotated[
    dict[Annotated[str, Meta(max_length=64)], Annotated[str, Meta(max_length=512)]], Meta(max_length=16)
]
Stop = str | Annotated[list[str], Meta(max_length=4)]
Effort = Literal["none", "minimal", "low", "medium", "high", "xhigh"]


class TextFormat(Struct, tag_field="type", tag="text"):
    """The answer is text."""


class JsonFormat(Struct, tag_field="type", tag="json_object"):
    """The answer is a JSON object of any schema."""


class SchemaSpec(Struct):
    """A JSON Schema with its name."""

    name: Identifier
    description: str | None = None
    schema: JsonObject | None = None
    strict: bool | None = None


class SchemaFormat(Struct, tag_field="type", tag="json_schema"):
    """The answer is JSON that follows a schema."""

    json_schema: SchemaSpec


class StreamOptions(Struct):
    """Options of a streamed answer. `include_usage`: whether a last event reports the usage."""

    include_usage: bool | None = None
    include_obfuscation: bool | None = None


class AudioOutput(Struct):
    """The voice and the encoding of an answer in audio."""

    voice: str | JsonObject
    format: Literal["wav", "aac", "mp3", "flac", "opus", "pcm16"]


class ChatRequest(Struct):
    """A request for a chat completion.

    The fields are those of the API reference. Fields that are not declared here are forwarded to replicas unchecked.
    """

    model: Annotated[str, Meta(min_length=1, max_length=256)]
    messages: Annotated[list[Message], Meta(min_length=1, max_length=4096)]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_completion_tokens: Tokens | None = None
    max_tokens: Tokens | None = None
    n: Annotated[int, Meta(ge=1, le=MAX_CHOICES)] | None = None
    temperature: Annotated[float, Meta(ge=0, le=2)] | None = None
    top_p: Annotated[float, Meta(ge=0, le=1)] | None = None
    frequency_penalty: Penalty | None = None
    presence_penalty: Penalty | None = None
    logit_bias: dict[str, Bias] | None = None
    logprobs: bool | None = None
    top_logprobs: Annotated[int, Meta(ge=0, le=20)] | None = None
    stop: Stop | None = None
    seed: Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)] | None = None
    tools: Annotated[list[Tool], Meta(max_length=128)] | None = None
    tool_choice: ToolChoice | None = None
    parallel_tool_calls: bool | None = None
    functions: Annotated[list[FunctionSpec], Meta(min_length=1, max_length=128)] | None = None
    function_call: Literal["none", "auto"] | ToolName | None = None
    response_format: TextFormat | JsonFormat | SchemaFormat | None = None
    modalities: Annotated[list[Literal["text", "audio"]], Meta(min_length=1)] | None = None
    audio: AudioOutput | None = None
    reasoning_effort: Effort | None = None
    verbosity: Literal["low", "medium", "high"] | None = None
    service_tier: str | None = None
    metadata: Metadata | None = None
    user: str | None = None
    store: bool | None = None

    def check(self) -> None:
        """Check the rules that involve several fields.

        Raises ApiError if fields contradict each other, or request something that this server does not offer.
        """
        self._check_options()
        for number, message in enumerate(self.messages):
            if isinstance(message, AssistantMessage):
                _check_assistant_message(message, f"messages[{number}].content")
            elif isinstance(message, UserMessage):
                _check_user_message(message, f"messages[{number}].content")
        self._check_tools()

    def _check_options(self) -> None:
        require(
            self.stream_options is None or self.stream is True,
            "stream_options is only allowed when stream is true.",
            "stream_options",
        )
        require(
            self.top_logprobs is None or self.logprobs is True,
            "top_logprobs is only allowed when logprobs is true.",
            "top_logprobs",
        )
        require(
            not self.store,
            "Answers are not stored here; leave store out or set it to false.",
            "store",
            "unsupported_value",
        )
        require(
            self.audio is not None or "audio" not in (self.modalities or ()),
            "audio is needed when modalities name it.",
            "audio",
            "missing_required_parameter",
        )

    def _check_tools(self) -> None:
        choice = self.tool_choice
        tools = self.tools or []
        require(
            choice is None or choice == "none" or bool(tools),
            "tool_choice is only allowed when tools are given.",
            "tool_choice",
        )
        require(
            self.parallel_tool_calls is None or bool(tools),
            "parallel_tool_calls is only allowed when tools are given.",
            "parallel_tool_calls",
        )
        check_tool_choice(choice, tools)


def _check_assistant_message(message: AssistantMessage, path: str) -> None:
    require(
        not message.is_empty(),
        "An assistant message needs content, a refusal, audio or tool calls.",
        path,
        "missing_required_parameter",
    )


def _check_user_message(message: UserMessage, path: str) -> None:
    if isinstance(message.content, str):
        return
    for number, part in enumerate(message.content):
        require(
            not isinstance(part, FilePart) or bool(part.file.file_id or part.file.file_data),
            "A file needs file_id or file_data.",
            f"{path}[{number}].file",
            "missing_required_parameter",
        )
