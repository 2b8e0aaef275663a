"""`/v1/chat/completions`: the replicas use the same format, so their events are forwarded byte for byte."""

from __future__ import annotations

from pearhill.chat.endpoints.collected_format import CollectedFormat
from pearhill.chat.prompt import Prompt, ResponseIdentity, turn_from_message
from pearhill.chat.schema.chat import ChatRequest
from pearhill.chat.schema.reading import Reader

_reader = Reader(ChatRequest)


class ChatFormat(CollectedFormat):
    """Writes answers as chat completions. The `id` and `model` of the replica are kept."""

    def __init__(self, identity: ResponseIdentity) -> None:
        super().__init__()

    def convert_events(self, data: bytes) -> bytes:
        """Returns the events unchanged."""
        return data

    def encode_complete(self) -> bytes:
        """Returns a chat completion that is made of all collected events."""
        return self._collected.body()


def read(body: bytes) -> Prompt:
    """Read a request's body. Raises ApiError if it is not a valid chat request."""
    request, fields = _reader.read(body)
    request.check()
    stream = request.stream is True
    includes_usage = request.stream_options is not None and request.stream_options.include_usage is True
    return Prompt(
        model=request.model,
        stream=stream,
        wants_usage=not stream or includes_usage,
        turns=[turn_from_message(message) for message in request.messages],
        max_output_tokens=request.max_completion_tokens or request.max_tokens,
        metadata=request.metadata or {},
        fields=fields,
        new_format=ChatFormat,
        choice_count=request.n or 1,
    )
