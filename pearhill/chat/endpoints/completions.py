"""`/v1/completions`: the prompt becomes a user's message, and the answer's text comes back as text."""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec

from pearhill.chat.collected import DONE, CollectedCompletion
from pearhill.chat.errors import ApiError
from pearhill.chat.prompt import Prompt, ResponseIdentity, Turn
from pearhill.chat.schema.completions import CompletionRequest
from pearhill.chat.schema.reading import Reader
from pearhill.chat.translate import completion_logprobs, completion_to_chat
from pearhill.http1.sse import EventParser

_reader = Reader(CompletionRequest)
_decoder: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])


class TextWords:
    def __init__(self, echo: str, usage: bool, made: ResponseIdentity) -> None:
        self._made, self._echo, self._usage = made, echo, usage
        self._parser = EventParser()
        self._offsets: dict[int, int] = {}  # where in its text each choice's next token begins
        self._collected = CollectedCompletion()

    def _top(self) -> dict[str, Any]:
        made = self._made
        return {"id": f"cmpl-{made.id}", "object": "text_completion", "created": made.created, "model": made.model}

    def _choice(self, index: int, text: str, logprobs: Any, finish: str | None) -> dict[str, Any]:
        if index not in self._offsets:
            self._offsets[index], text = len(self._echo), self._echo + text
        told = completion_logprobs(logprobs, self._offsets[index])
        self._offsets[index] += sum(len(token) for token in told["tokens"]) if told else 0
        return {"index": index, "text": text, "logprobs": told, "finish_reason": finish}

    def stream(self, data: bytes) -> bytes:
        out = b""
        for event in self._parser.feed(data):
            if event.data == DONE:
                out += event.raw
            elif event.data is not None:
                chunk = _decoder.decode(event.data)
                choices = [
                    self._choice(
                        c.get("index", 0),
                        c["delta"].get("content") or c["delta"].get("refusal") or "",
                        c.get("logprobs"),
                        c.get("finish_reason"),
                    )
                    for c in chunk["choices"]
                ]
                told = {**self._top(), "choices": choices}
                if self._usage:
                    told["usage"] = chunk.get("usage")
                out += b"data: %b\n\n" % msgspec.json.encode(told)
        return out

    def end(self) -> bytes:
        return b""

    def truncated(self, error: ApiError) -> bytes:
        return b"data: %b\n\n" % error.body()

    def collect(self, data: bytes) -> None:
        self._collected.feed(data)

    def complete(self) -> bytes:
        choices = []
        for index in sorted(self._collected.choices):
            choice = self._collected.choices[index]
            text = choice.message.get("content") or choice.message.get("refusal") or ""
            choices.append(self._choice(index, text, choice.logprobs, choice.finish_reason))
        usage = {"usage": self._collected.fields["usage"]} if "usage" in self._collected.fields else {}
        return msgspec.json.encode({**self._top(), "choices": choices, **usage})


def read(body: bytes) -> Prompt:
    """ApiError: the body is no request of this endpoint."""
    asked, fields = _reader.read(body)
    asked.check()
    options = asked.stream_options
    usage = asked.stream is not True or (options is not None and options.include_usage is True)
    return Prompt(
        asked.model,
        asked.stream is True,
        usage,
        [Turn("user", asked.text)],
        asked.max_tokens,
        {},
        completion_to_chat(asked, fields),
        partial(TextWords, asked.text if asked.echo else "", usage),
        asked.n or 1,
    )
