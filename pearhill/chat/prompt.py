"""What every endpoint makes of its request: one form for the front, whatever words the client used."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from pearhill.chat.errors import ApiError
from pearhill.chat.schema import chat

# Tokens that a part counts where it has no text. Sources: OpenAI's guides on image and audio input, rounded up.
LOW_IMAGE, IMAGE, FILE_ID, TOKENS_A_SECOND, WAV_SECOND, MP3_SECOND = 85, 765, 2_000, 10, 32_000, 16_000


class ResponseFormat(Protocol):
    """An endpoint's words for one answer. Fed the servers' events as they come, whole ones that make sense."""

    def stream(self, data: bytes) -> bytes:
        """What a client that streams reads of them."""

    def end(self) -> bytes:
        """What still comes when the stream is whole."""

    def broken(self, error: ApiError) -> bytes:
        """The last words of a stream that broke after its start."""

    def collect(self, data: bytes) -> None:
        """Keep them for an answer in one piece. ValueError and the like: they cannot be put together."""

    def whole(self) -> bytes:
        """The answer in one piece."""


@dataclass(frozen=True, slots=True)
class ResponseIdentity:
    """What an answer is known by."""

    id: str
    model: str
    created: int


@dataclass(slots=True)
class Turn:
    """One message, as far as routing looks at it. `more`: tokens beside the text's."""

    role: str
    text: str
    more: int = 0


@dataclass(slots=True)
class Prompt:
    model: str
    stream: bool
    wants_usage: bool  # whether the words need the usage event
    turns: list[Turn]
    max_out: int | None
    metadata: dict[str, str]
    fields: dict[str, Any]  # the body that servers get, in chat's words; model and stream are set by the front
    new_format: Callable[[ResponseIdentity], ResponseFormat]
    count: int = 1  # answers asked for
    _text: int = field(default=-1)

    def tokens(self, chars_per_token: float) -> int:
        text = sum(len(turn.text) for turn in self.turns)
        return int(text / chars_per_token) + sum(turn.more for turn in self.turns)


def _digest(data: str) -> str:
    return hashlib.blake2b(data.encode(errors="replace"), digest_size=16).hexdigest()


def part_of(part: object) -> tuple[str, int]:
    """The text that stands for a content part in comparing openings, and the tokens that it costs beside it. What is
    not text is named by its digest: the same picture keeps the same opening."""
    match part:
        case chat.TextPart(text):
            return text, 0
        case chat.RefusalPart(refusal):
            return refusal, 0
        case chat.ImagePart(image):
            return f"<image {_digest(image.url)}>", LOW_IMAGE if image.detail == "low" else IMAGE
        case chat.AudioPart(audio):
            second = WAV_SECOND if audio.format == "wav" else MP3_SECOND
            return f"<audio {_digest(audio.data)}>", 1 + len(audio.data) * 3 // 4 * TOKENS_A_SECOND // second
        case chat.FilePart(file):
            data = file.file_data or ""
            return f"<file {_digest(data or str(file.file_id))}>", len(data) * 3 // 16 if data else FILE_ID
    return "", 0


def turn_of(message: chat.Message) -> Turn:
    turn = Turn(str(message.__struct_config__.tag), "")
    content = message.content
    if isinstance(content, str):
        turn.text = content
    for part in content if isinstance(content, list) else ():
        text, more = part_of(part)
        turn.text += text
        turn.more += more
    if isinstance(message, chat.AssistantMessage):
        turn.text += message.refusal or ""
        for call in message.tool_calls or ():
            turn.text += (
                f"{call.function.name}({call.function.arguments})"
                if isinstance(call, chat.FunctionToolCall)
                else f"{call.custom.name}({call.custom.input})"
            )
    return turn
