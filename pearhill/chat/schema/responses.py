"""`POST /v1/responses` without stored state. Source: OpenAI's API reference, "Responses" and its streaming events."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct

from pearhill.chat.schema.chat import Effort, JsonFormat, Metadata, Name, TextFormat, Tokens
from pearhill.chat.schema.reading import refuse_unless


class InputText(Struct, tag_field="type", tag="input_text"):
    text: str


class InputImage(Struct, tag_field="type", tag="input_image"):
    image_url: str | None = None
    file_id: str | None = None
    detail: Literal["auto", "low", "high"] = "auto"


class InputFile(Struct, tag_field="type", tag="input_file"):
    file_id: str | None = None
    file_data: str | None = None
    filename: str | None = None
    file_url: str | None = None


class InputAudio(Struct, tag_field="type", tag="input_audio"):
    input_audio: dict[str, Any]


class OutputText(Struct, tag_field="type", tag="output_text"):
    text: str


class OutputRefusal(Struct, tag_field="type", tag="refusal"):
    refusal: str


InPart = InputText | InputImage | InputFile | InputAudio | OutputText | OutputRefusal
ITEMS = ("message", "function_call", "function_call_output", "reasoning")


class Item(Struct):
    """One item of the input. `type` may be left out of messages, so that it can't tell the records apart."""

    type: str = "message"
    role: Literal["user", "assistant", "system", "developer"] | None = None
    content: str | list[InPart] | None = None
    call_id: str | None = None
    name: str | None = None
    arguments: str | None = None
    output: str | list[InputText] | None = None

    def check(self, at: str) -> None:
        refuse_unless(
            self.type in ITEMS,
            f"Items of type {self.type!r} are not supported here; allowed: " f"{', '.join(ITEMS)}.",
            f"{at}.type",
        )
        needed = {
            "message": ("role", "content"),
            "function_call": ("call_id", "name", "arguments"),
            "function_call_output": ("call_id", "output"),
            "reasoning": (),
        }[self.type]
        for name in needed:
            refuse_unless(
                getattr(self, name) is not None,
                f"Missing required parameter: '{at}.{name}'.",
                f"{at}.{name}",
                "missing_required_parameter",
            )
        if self.type != "message" or not isinstance(self.content, list):
            return
        refuse_unless(bool(self.content), "A message needs content.", f"{at}.content")
        said = (OutputText, OutputRefusal)
        for k, part in enumerate(self.content):
            where = f"{at}.content[{k}]"
            if self.role == "assistant":
                refuse_unless(
                    isinstance(part, said),
                    "An assistant's message takes output_text and refusal parts.",
                    f"{where}.type",
                )
            elif self.role == "user":
                refuse_unless(not isinstance(part, said), "A user's message takes input parts.", f"{where}.type")
            else:
                refuse_unless(isinstance(part, InputText), "Instructions take input_text parts.", f"{where}.type")
            if isinstance(part, InputImage):
                refuse_unless(
                    bool(part.image_url),
                    "Images come as image_url; files are not kept here.",
                    f"{where}.image_url",
                    "missing_required_parameter",
                )
            if isinstance(part, InputFile):
                refuse_unless(
                    bool(part.file_data or part.file_id) and not part.file_url,
                    "A file comes as file_data or file_id.",
                    where,
                    "unsupported_value",
                )


class FunctionTool(Struct, tag_field="type", tag="function"):
    name: Name
    parameters: dict[str, Any] | None = None
    description: str | None = None
    strict: bool | None = None


class FunctionChoice(Struct, tag_field="type", tag="function"):
    name: str


class SchemaFormat(Struct, tag_field="type", tag="json_schema"):
    name: Name
    schema: dict[str, Any]
    description: str | None = None
    strict: bool | None = None


class TextOptions(Struct):
    format: TextFormat | JsonFormat | SchemaFormat | None = None
    verbosity: Literal["low", "medium", "high"] | None = None


class Reasoning(Struct):
    effort: Effort | None = None
    summary: str | None = None


class ResponseRequest(Struct):
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
        """ApiError: two fields do not go together, or what is asked for needs a state that is not kept here."""
        for name, why in (
            ("previous_response_id", "send the whole conversation as input"),
            ("conversation", "send the whole conversation as input"),
            ("prompt", "send instructions and input"),
        ):
            refuse_unless(
                getattr(self, name) is None,
                f"{name} is not supported: no state is stored here; {why}.",
                name,
                "unsupported_parameter",
            )
        refuse_unless(
            not self.store, "store: true is not supported: no state is stored here.", "store", "unsupported_value"
        )
        refuse_unless(
            not self.background,
            "background is not supported: no state is stored here.",
            "background",
            "unsupported_value",
        )
        refuse_unless(self.truncation != "auto", "truncation is not done here.", "truncation", "unsupported_value")
        refuse_unless(
            self.stream_options is None or self.stream is True,
            "stream_options is only allowed when stream is true.",
            "stream_options",
        )
        for k, name in enumerate(self.include or ()):
            refuse_unless(
                name == "message.output_text.logprobs",
                f"{name!r} can't be included here.",
                f"include[{k}]",
                "unsupported_value",
            )
        if isinstance(self.input, list):
            for k, item in enumerate(self.input):
                item.check(f"input[{k}]")
        choice, names = self.tool_choice, {tool.name for tool in self.tools or ()}
        refuse_unless(
            choice in (None, "none") or bool(names), "tool_choice is only allowed when tools are given.", "tool_choice"
        )
        if isinstance(choice, FunctionChoice):
            refuse_unless(
                choice.name in names, f"There is no function {choice.name!r} among tools.", "tool_choice.name"
            )
