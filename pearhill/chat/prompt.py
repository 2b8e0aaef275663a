"""The form of a request within the front end, which is the same for all endpoints."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from pearhill.chat.errors import ApiError
from pearhill.chat.schema import messages

# Tokens of content that is not text. Sources: OpenAI's guides on image and audio input, rounded up.
LOW_DETAIL_IMAGE_TOKENS = 85
IMAGE_TOKENS = 765
STORED_FILE_TOKENS = 2_000  # of a file that is given only by its id
AUDIO_TOKENS_PER_SECOND = 10
WAV_BYTES_PER_SECOND = 32_000
MP3_BYTES_PER_SECOND = 16_000


class ResponseFormat(Protocol):
    """The format of one answer at an endpoint.

    The replica's events, complete and validated, are passed to `convert_events` if the client has requested a stream,
    and to `collect_events` otherwise.
    """

    def convert_events(self, data: bytes) -> bytes:
        """Returns these events in the endpoint's format."""

    def encode_end(self) -> bytes:
        """Returns the last events of a complete stream."""

    def encode_truncation(self, error: ApiError) -> bytes:
        """Returns the last event of a stream that was truncated after its start."""

    def collect_events(self, data: bytes) -> None:
        """Store these events for `encode_complete`. Any exception means that they are not chunks of one answer."""

    def encode_complete(self) -> bytes:
        """Returns the body of the response, made of all collected events."""


@dataclass(frozen=True, slots=True)
class ResponseIdentity:
    """The fields that identify an answer. `created` is in seconds since 1970."""

    id: str
    model: str
    created: int


@dataclass(slots=True)
class Turn:
    """The parts of one message that routing uses. `extra_tokens` is the length of content that is not text."""

    role: str
    text: str
    extra_tokens: int = 0


@dataclass(slots=True)
class Prompt:
    """A request that has been parsed by its endpoint.

    `wants_usage` says whether the format needs the replica's usage event. `max_output_tokens` is the limit of each
    choice, or None if the request sets none. `fields` are those of the chat request to replicas, except `model` and
    `stream`, which the front end sets. `choice_count` is the number of requested answers (`n`).
    """

    model: str
    stream: bool
    wants_usage: bool
    turns: list[Turn]
    max_output_tokens: int | None
    metadata: dict[str, str]
    fields: dict[str, Any]
    new_format: Callable[[ResponseIdentity], ResponseFormat]
    choice_count: int = 1

    def estimated_tokens(self, chars_per_token: float) -> int:
        """Returns the prompt's length in tokens, estimated from its characters."""
        text = sum(len(turn.text) for turn in self.turns)
        return int(text / chars_per_token) + sum(turn.extra_tokens for turn in self.turns)


def turn_from_message(message: messages.Message) -> Turn:
    """Returns the text of a message, including its tool calls, and the tokens of its other content."""
    turn = Turn(str(message.__struct_config__.tag), "")
    content = message.content
    if isinstance(content, str):
        turn.text = content
    elif content:
        for part in content:
            text, extra_tokens = _read_part(part)
            turn.text += text
            turn.extra_tokens += extra_tokens
    if isinstance(message, messages.AssistantMessage):
        turn.text += message.refusal or ""
        turn.text += "".join(_call_text(call) for call in message.tool_calls or ())
    return turn


def _read_part(part: object) -> tuple[str, int]:
    """Returns the text of a content part, and its length in tokens if it is not text.

    Other content is represented by its digest, so that prompts that begin with the same image have the same prefix.
    """
    match part:
        case messages.TextPart(text):
            return text, 0
        case messages.RefusalPart(refusal):
            return refusal, 0
        case messages.ImagePart(image):
            tokens = LOW_DETAIL_IMAGE_TOKENS if image.detail == "low" else IMAGE_TOKENS
            return f"<image {_digest(image.url)}>", tokens
        case messages.AudioPart(audio):
            return f"<audio {_digest(audio.data)}>", _audio_tokens(audio)
        case messages.FilePart(file):
            return _read_file(file)
    return "", 0


def _audio_tokens(audio: messages.InputAudio) -> int:
    byte_count = len(audio.data) * 3 // 4  # the data is base64
    bytes_per_second = WAV_BYTES_PER_SECOND if audio.format == "wav" else MP3_BYTES_PER_SECOND
    return 1 + byte_count * AUDIO_TOKENS_PER_SECOND // bytes_per_second


def _read_file(file: messages.File) -> tuple[str, int]:
    data = file.file_data or ""
    text = f"<file {_digest(data or str(file.file_id))}>"
    return text, len(data) * 3 // 16 if data else STORED_FILE_TOKENS  # base64 of text with 4 bytes a token


def _call_text(call: messages.ToolCall) -> str:
    if isinstance(call, messages.FunctionToolCall):
        return f"{call.function.name}({call.function.arguments})"
    return f"{call.custom.name}({call.custom.input})"


def _digest(data: str) -> str:
    return hashlib.blake2b(data.encode(errors="replace"), digest_size=16).hexdigest()
