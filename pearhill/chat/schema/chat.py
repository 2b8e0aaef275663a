"""`POST /v1/chat/completions`: the request, its answer and its stream's events.

Source: OpenAI's API reference, "Chat Completions". Sizes are tokens, ranges as published.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

from pearhill.chat.schema.reading import refuse_unless

MAX_TOKENS = 1_000_000
Tokens = Annotated[int, Meta(ge=1, le=MAX_TOKENS)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern="^[a-zA-Z0-9_.-]+$")]
Penalty = Annotated[float, Meta(ge=-2, le=2)]
Bias = Annotated[float, Meta(ge=-100, le=100)]
Metadata = Annotated[
    dict[Annotated[str, Meta(max_length=64)], Annotated[str, Meta(max_length=512)]], Meta(max_length=16)
]
Stop = str | Annotated[list[str], Meta(max_length=4)]
Effort = Literal["none", "minimal", "low", "medium", "high", "xhigh"]


class TextPart(Struct, tag_field="type", tag="text"):
    text: str


class RefusalPart(Struct, tag_field="type", tag="refusal"):
    refusal: str


class ImageUrl(Struct):
    url: Annotated[str, Meta(min_length=1)]
    detail: Literal["auto", "low", "high"] = "auto"


class ImagePart(Struct, tag_field="type", tag="image_url"):
    image_url: ImageUrl


class InputAudio(Struct):
    data: Annotated[str, Meta(min_length=1)]
    format: Literal["wav", "mp3"]


class AudioPart(Struct, tag_field="type", tag="input_audio"):
    input_audio: InputAudio


class File(Struct):
    file_id: str | None = None
    file_data: str | None = None
    filename: str | None = None


class FilePart(Struct, tag_field="type", tag="file"):
    file: File


class FunctionCall(Struct):
    name: str
    arguments: str


class CustomCall(Struct):
    name: str
    input: str


class FunctionToolCall(Struct, tag_field="type", tag="function"):
    id: str
    function: FunctionCall


class CustomToolCall(Struct, tag_field="type", tag="custom"):
    id: str
    custom: CustomCall


ToolCall = FunctionToolCall | CustomToolCall
Text = str | Annotated[list[TextPart], Meta(min_length=1)]


class SystemMessage(Struct, tag_field="role", tag="system"):
    content: Text
    name: str | None = None


class DeveloperMessage(Struct, tag_field="role", tag="developer"):
    content: Text
    name: str | None = None


class UserMessage(Struct, tag_field="role", tag="user"):
    content: str | Annotated[list[TextPart | ImagePart | AudioPart | FilePart], Meta(min_length=1)]
    name: str | None = None


class AudioId(Struct):
    id: str


class AssistantMessage(Struct, tag_field="role", tag="assistant"):
    content: str | Annotated[list[TextPart | RefusalPart], Meta(min_length=1)] | None = None
    refusal: str | None = None
    name: str | None = None
    audio: AudioId | None = None
    tool_calls: Annotated[list[ToolCall], Meta(max_length=128)] | None = None
    function_call: FunctionCall | None = None


class ToolMessage(Struct, tag_field="role", tag="tool"):
    content: Text
    tool_call_id: str


class FunctionMessage(Struct, tag_field="role", tag="function"):
    content: str | None
    name: str


Message = SystemMessage | DeveloperMessage | UserMessage | AssistantMessage | ToolMessage | FunctionMessage


class FunctionSpec(Struct):
    name: Name
    description: str | None = None
    parameters: dict[str, Any] | None = None
    strict: bool | None = None


class FunctionTool(Struct, tag_field="type", tag="function"):
    function: FunctionSpec


class CustomSpec(Struct):
    name: Name
    description: str | None = None
    format: dict[str, Any] | None = None


class CustomTool(Struct, tag_field="type", tag="custom"):
    custom: CustomSpec


Tool = FunctionTool | CustomTool


class Named(Struct):
    name: str


class FunctionChoice(Struct, tag_field="type", tag="function"):
    function: Named


class CustomChoice(Struct, tag_field="type", tag="custom"):
    custom: Named


class AllowedTools(Struct):
    mode: Literal["auto", "required"]
    tools: list[dict[str, Any]]


class AllowedChoice(Struct, tag_field="type", tag="allowed_tools"):
    allowed_tools: AllowedTools


ToolChoice = Literal["none", "auto", "required"] | FunctionChoice | CustomChoice | AllowedChoice


class TextFormat(Struct, tag_field="type", tag="text"):
    pass


class JsonFormat(Struct, tag_field="type", tag="json_object"):
    pass


class SchemaSpec(Struct):
    name: Name
    description: str | None = None
    schema: dict[str, Any] | None = None
    strict: bool | None = None


class SchemaFormat(Struct, tag_field="type", tag="json_schema"):
    json_schema: SchemaSpec


class StreamOptions(Struct):
    include_usage: bool | None = None
    include_obfuscation: bool | None = None


class AudioOut(Struct):
    voice: str | dict[str, Any]
    format: Literal["wav", "aac", "mp3", "flac", "opus", "pcm16"]


class ChatRequest(Struct):
    model: Annotated[str, Meta(min_length=1, max_length=256)]
    messages: Annotated[list[Message], Meta(min_length=1, max_length=4096)]
    stream: bool | None = None
    stream_options: StreamOptions | None = None
    max_completion_tokens: Tokens | None = None
    max_tokens: Tokens | None = None
    n: Annotated[int, Meta(ge=1, le=128)] | None = None
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
    function_call: Literal["none", "auto"] | Named | None = None
    response_format: TextFormat | JsonFormat | SchemaFormat | None = None
    modalities: Annotated[list[Literal["text", "audio"]], Meta(min_length=1)] | None = None
    audio: AudioOut | None = None
    reasoning_effort: Effort | None = None
    verbosity: Literal["low", "medium", "high"] | None = None
    service_tier: str | None = None
    metadata: Metadata | None = None
    user: str | None = None
    store: bool | None = None

    def check(self) -> None:
        """What no single field can tell. ApiError: two fields do not go together."""
        refuse_unless(
            self.stream_options is None or self.stream is True,
            "stream_options is only allowed when stream is true.",
            "stream_options",
        )
        refuse_unless(
            self.top_logprobs is None or self.logprobs is True,
            "top_logprobs is only allowed when logprobs is true.",
            "top_logprobs",
        )
        refuse_unless(
            not self.store,
            "Answers are not stored here; leave store out or set it to false.",
            "store",
            "unsupported_value",
        )
        refuse_unless(
            self.audio is not None or "audio" not in (self.modalities or ()),
            "audio is needed when modalities name it.",
            "audio",
            "missing_required_parameter",
        )
        for k, message in enumerate(self.messages):
            if isinstance(message, AssistantMessage):
                refuse_unless(
                    bool(
                        message.content is not None
                        or message.tool_calls
                        or message.function_call
                        or message.refusal is not None
                        or message.audio
                    ),
                    "An assistant message needs content, a refusal, audio or tool calls.",
                    f"messages[{k}].content",
                    "missing_required_parameter",
                )
            elif isinstance(message, UserMessage) and isinstance(message.content, list):
                for at, part in enumerate(message.content):
                    refuse_unless(
                        not isinstance(part, FilePart) or bool(part.file.file_id or part.file.file_data),
                        "A file needs file_id or file_data.",
                        f"messages[{k}].content[{at}].file",
                        "missing_required_parameter",
                    )
        self._check_choice()

    def _check_choice(self) -> None:
        choice, tools = self.tool_choice, self.tools or []
        refuse_unless(
            choice is None or choice == "none" or bool(tools),
            "tool_choice is only allowed when tools are given.",
            "tool_choice",
        )
        refuse_unless(
            self.parallel_tool_calls is None or bool(tools),
            "parallel_tool_calls is only allowed when tools are given.",
            "parallel_tool_calls",
        )
        if isinstance(choice, FunctionChoice):
            named = {tool.function.name for tool in tools if isinstance(tool, FunctionTool)}
            refuse_unless(
                choice.function.name in named,
                f"There is no function {choice.function.name!r} among tools.",
                "tool_choice.function.name",
            )
        elif isinstance(choice, CustomChoice):
            named = {tool.custom.name for tool in tools if isinstance(tool, CustomTool)}
            refuse_unless(
                choice.custom.name in named,
                f"There is no custom tool {choice.custom.name!r} among tools.",
                "tool_choice.custom.name",
            )


# What comes back. Only what is looked at is typed; the rest goes on, or into a whole answer, as it is.

MAX_CALLS = 128  # tool calls of one answer


class FunctionDelta(Struct):
    name: str | None = None
    arguments: str | None = None


class CallDelta(Struct):
    index: Annotated[int, Meta(ge=0, lt=MAX_CALLS)]
    id: str | None = None
    type: str | None = None
    function: FunctionDelta | None = None


class Likely(Struct):
    token: str
    logprob: float | None = None


class Logprob(Likely):
    top_logprobs: list[Likely] | None = None


class Logprobs(Struct):
    content: list[Logprob] | None = None
    refusal: list[Logprob] | None = None


class Delta(Struct):
    role: str | None = None
    content: str | None = None
    refusal: str | None = None
    tool_calls: list[CallDelta] | None = None


class ChunkChoice(Struct):
    delta: Delta
    index: Annotated[int, Meta(ge=0, lt=128)] = 0
    finish_reason: str | None = None
    logprobs: Logprobs | None = None


class PromptDetails(Struct):
    cached_tokens: Annotated[int, Meta(ge=0)] | None = None


class Usage(Struct):
    prompt_tokens: Annotated[int, Meta(ge=0)] = 0
    completion_tokens: Annotated[int, Meta(ge=0)] = 0
    total_tokens: Annotated[int, Meta(ge=0)] = 0
    prompt_tokens_details: PromptDetails | None = None


class Chunk(Struct):
    """One event of a stream."""

    choices: list[ChunkChoice]
    usage: Usage | None = None
    error: Any | UnsetType = UNSET


class ServerError(Struct):
    """A server's error object, as far as it is looked at."""

    error: dict[str, Any]
