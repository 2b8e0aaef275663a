"""`/v1/completions`: the prompt becomes a user message of a chat request; the answer becomes a text completion.

Source: OpenAI's API reference, "Completions".
"""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec

from pearhill.chat.collected import DONE
from pearhill.chat.endpoints.collected_format import CollectedFormat
from pearhill.chat.prompt import Prompt, ResponseIdentity, Turn
from pearhill.chat.schema.completions import CompletionRequest
from pearhill.chat.schema.reading import Reader
from pearhill.chat.translate import completion_logprobs, completion_to_chat
from pearhill.http1.sse import EventParser

_reader = Reader(CompletionRequest)
_chunk_decoder: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])


class CompletionFormat(CollectedFormat):
    """Writes answers as text completions.

    `echo`: the text that each choice begins with, which is the prompt if the client requests it and empty otherwise;
    `with_usage`: whether events have the field `usage`.
    """

    def __init__(self, echo: str, with_usage: bool, identity: ResponseIdentity) -> None:
        super().__init__()
        self._identity = identity
        self._echo = echo
        self._with_usage = with_usage
        self._parser = EventParser()
        self._offsets: dict[int, int] = {}  # by choice: the offset of the next token in its text, in characters

    def convert_events(self, data: bytes) -> bytes:
        """Returns one event for each chunk, and the replica's `[DONE]`."""
        events = []
        for event in self._parser.feed(data):
            if event.data == DONE:
                events.append(event.raw)
            elif event.data is not None:
                chunk = _chunk_decoder.decode(event.data)
                events.append(b"data: %b\n\n" % msgspec.json.encode(self._completion_chunk(chunk)))
        return b"".join(events)

    def encode_complete(self) -> bytes:
        """Returns a text completion that is made of all collected events."""
        choices = []
        for index in sorted(self._collected.choices):
            choice = self._collected.choices[index]
            choices.append(self._choice(index, _message_text(choice.message), choice.logprobs, choice.finish_reason))
        completion = {**self._top_level_fields(), "choices": choices}
        if "usage" in self._collected.fields:
            completion["usage"] = self._collected.fields["usage"]
        return msgspec.json.encode(completion)

    def _top_level_fields(self) -> dict[str, Any]:
        identity = self._identity
        return {
            "id": f"cmpl-{identity.id}",
            "object": "text_completion",
            "created": identity.created,
            "model": identity.model,
        }

    def _completion_chunk(self, chunk: dict[str, Any]) -> dict[str, Any]:
        choices = [
            self._choice(
                choice.get("index", 0),
                _message_text(choice["delta"]),
                choice.get("logprobs"),
                choice.get("finish_reason"),
            )
            for choice in chunk["choices"]
        ]
        completion = {**self._top_level_fields(), "choices": choices}
        if self._with_usage:
            completion["usage"] = chunk.get("usage")
        return completion

    def _choice(self, index: int, text: str, chat_logprobs: Any, finish_reason: str | None) -> dict[str, Any]:
        """Returns a choice, or a fragment of it. The first fragment of each choice begins with the echo."""
        if index not in self._offsets:
            self._offsets[index] = len(self._echo)
            text = self._echo + text
        logprobs = completion_logprobs(chat_logprobs, self._offsets[index])
        if logprobs:
            self._offsets[index] += sum(len(token) for token in logprobs["tokens"])
        return {"index": index, "text": text, "logprobs": logprobs, "finish_reason": finish_reason}


def _message_text(message: dict[str, Any]) -> str:
    """Returns the text of a message or a delta. A refusal counts as text."""
    return message.get("content") or message.get("refusal") or ""


def read(body: bytes) -> Prompt:
    """Read a request's body.

    Raises ApiError if it is not a valid request for a text completion, or if it requests an unsupported feature.
    """
    request, fields = _reader.read(body)
    request.check()
    stream = request.stream is True
    includes_usage = request.stream_options is not None and request.stream_options.include_usage is True
    wants_usage = not stream or includes_usage
    return Prompt(
        model=request.model,
        stream=stream,
        wants_usage=wants_usage,
        turns=[Turn("user", request.text)],
        max_output_tokens=request.max_tokens,
        metadata={},
        fields=completion_to_chat(request, fields),
        new_format=partial(CompletionFormat, request.text if request.echo else "", wants_usage),
        choice_count=request.n or 1,
    )
