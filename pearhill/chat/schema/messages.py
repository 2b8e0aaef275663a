"""Messages of a chat request: one record for each role, and for each kind of content part.

Source: OpenAI's API reference, "Chat Completions", `messages`. The records are distinguished by `role` and `type`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

MAX_CALLS = 128  # tool calls of one message or answer


class TextPart(Struct, tag_field="type", tag="text"):
    """Text in a message."""

    text: str


class RefusalPart(Struct, tag_field="type", tag="refusal"):
    """A refusal by the model, in a message of the assistant."""

    refusal: str


class ImageUrl(Struct):
    """An image: a URL, or its content as a `data:` URL."""

    url: Annotated[str, Meta(min_length=1)]
    detail: Literal["auto", "low", "high"] = "auto"


class ImagePart(Struct, tag_field="type", tag="image_url"):
    """An image in a message of the user."""

    image_url: ImageUrl


class InputAudio(Struct):
    """Audio in base64."""

    data: Annotated[str, Meta(min_length=1)]
    format: Literal["wav", "mp3"]


class AudioPart(Struct, tag_field="type", tag="input_audio"):
    """Audio in a message of the user."""

    input_audio: InputAudio


class File(Struct):
    """A file: the id of one that the replica has stored, or its content in base64."""

    file_id: str | None = None
    file_data: str | None = None
    filename: str | None = None


class FilePart(Struct, tag_field="type", tag="file"):
    """A file in a message of the user."""

    file: File


class FunctionCall(Struct):
    """A function that the model calls. `arguments`: JSON text as the model produced it, unchecked."""

    name: str
    arguments: str


class CustomCall(Struct):
    """A custom tool that the model calls, with free text as its input."""

    name: str
    input: str


class FunctionToolCall(Struct, tag_field="type", tag="function"):
    """A tool call of an assistant's message: a function."""

    id: str
    function: FunctionCall


class CustomToolCall(Struct, tag_field="type", tag="custom"):
    """A tool call of an assistant's message: a custom tool."""

    id: str
    custom: CustomCall


ToolCall = FunctionToolCall | CustomToolCall
TextContent = str | Annotated[list[TextPart], Meta(min_length=1)]


class SystemMessage(Struct, tag_field="role", tag="system"):
    """Instructions of the application."""

    content: TextContent
    name: str | None = None


class DeveloperMessage(Struct, tag_field="role", tag="developer"):
    """Instructions of the application, in the form for newer models."""

    content: TextContent
    name: str | None = None


class UserMessage(Struct, tag_field="role", tag="user"):
    """A message of the user."""

    content: str | Annotated[list[TextPart | ImagePart | AudioPart | FilePart], Meta(min_length=1)]
    name: str | None = None


class AudioId(Struct):
    """The id of an earlier answer in audio."""

    id: str


class AssistantMessage(Struct, tag_field="role", tag="assistant"):
    """An earlier answer of the model. `function_call` is the older form of a single tool call."""

    content: str | Annotated[list[TextPart | RefusalPart], Meta(min_length=1)] | None = None
    refusal: str | None = None
    name: str | None = None
    audio: AudioId | None = None
    tool_calls: Annotated[list[ToolCall], Meta(max_length=MAX_CALLS)] | None = None
    function_call: FunctionCall | None = None

    def is_empty(self) -> bool:
        """Whether the message has no content, refusal, tool call, function call or audio."""
        has_text = self.content is not None or self.refusal is not None
        return not (has_text or self.tool_calls or self.function_call or self.audio)


class ToolMessage(Struct, tag_field="role", tag="tool"):
    """The result of a tool call."""

    content: TextContent
    tool_call_id: str


class FunctionMessage(Struct, tag_field="role", tag="function"):
    """The result of a `function_call`, in its older form."""

    content: str | None
    name: str


Message = SystemMessage | DeveloperMessage | UserMessage | AssistantMessage | ToolMessage | FunctionMessage
