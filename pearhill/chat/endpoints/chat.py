"""`/v1/chat/completions`: the servers' own words, so that events go on byte for byte."""

from __future__ import annotations

from pearhill.chat.collected import CollectedCompletion
from pearhill.chat.errors import ApiError
from pearhill.chat.prompt import Prompt, ResponseIdentity, turn_of_message
from pearhill.chat.schema.chat import ChatRequest
from pearhill.chat.schema.reading import Reader

_reader = Reader(ChatRequest)


class ChatWords:
    def __init__(self, made: ResponseIdentity) -> None:
        self._collected = CollectedCompletion()

    def stream(self, data: bytes) -> bytes:
        return data

    def end(self) -> bytes:
        return b""

    def truncated(self, error: ApiError) -> bytes:
        return b"data: %b\n\n" % error.body()

    def collect(self, data: bytes) -> None:
        self._collected.feed(data)

    def complete(self) -> bytes:
        return self._collected.body()


def read(body: bytes) -> Prompt:
    """ApiError: the body is no request of this endpoint."""
    asked, fields = _reader.read(body)
    asked.check()
    usage = asked.stream_options is not None and asked.stream_options.include_usage is True
    return Prompt(
        asked.model,
        asked.stream is True,
        asked.stream is not True or usage,
        [turn_of_message(message) for message in asked.messages],
        asked.max_completion_tokens or asked.max_tokens,
        asked.metadata or {},
        fields,
        ChatWords,
        asked.n or 1,
    )
