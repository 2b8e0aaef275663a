"""The chunks of a stream, put together as one chat completion.

Source: OpenAI's API reference, "Chat Completions", "The chat completion object" and "The chat completion chunk object".
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from pearhill.chat.schema.messages import MAX_CALLS
from pearhill.http1.sse import EventParser

DONE = b"[DONE]"
_TOP_LEVEL_FIELDS = ("id", "created", "model", "system_fingerprint", "service_tier", "usage")
_WHOLE_FIELDS = ("id", "type", "role", "index")  # never sent in pieces
_chunk_decoder: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])


class ChunkReader:
    """Reads the chunks out of events that have been checked already; `[DONE]` and comments are left out."""

    def __init__(self) -> None:
        self._parser = EventParser()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """The chunks of these events, one at a time."""
        for event in self._parser.feed(data):
            if event.data is not None and event.data != DONE:
                yield _chunk_decoder.decode(event.data)


def merge(target: dict[str, Any], delta: dict[str, Any]) -> None:
    """Add a delta to an object: strings are appended, objects merged, all other values replaced unless None is new."""
    for name, value in delta.items():
        old = target.get(name)
        if isinstance(value, str) and isinstance(old, str) and name not in _WHOLE_FIELDS:
            target[name] = old + value
        elif isinstance(value, dict) and isinstance(old, dict):
            merge(old, value)
        elif value is not None:
            target[name] = value


def call_index(call: dict[str, Any]) -> int:
    """The index of a tool call's delta. KeyError, ValueError: it is missing, or is not below `MAX_CALLS`."""
    index = call["index"]
    if not isinstance(index, int) or not 0 <= index < MAX_CALLS:
        raise ValueError("a tool call's index is out of range")
    return index


class CollectedChoice:
    """One choice, as far as its deltas have come."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.message: dict[str, Any] = {"role": "assistant", "content": None}
        self.calls: dict[int, dict[str, Any]] = {}  # by the replica's index, which may leave gaps
        self.logprobs: dict[str, list[Any]] | None = None
        self.finish_reason: str | None = None

    def add(self, choice: dict[str, Any]) -> None:
        """Add what a chunk has of this choice."""
        for name, value in choice["delta"].items():
            if name == "tool_calls":
                for call in value or ():
                    self._add_call(call)
            elif name != "role":
                merge(self.message, {name: value})
        if choice.get("logprobs"):
            self._add_logprobs(choice["logprobs"])
        self.finish_reason = choice.get("finish_reason") or self.finish_reason

    def as_dict(self) -> dict[str, Any]:
        """The choice as the API has it."""
        message = dict(self.message)
        if self.calls:
            message["tool_calls"] = [self.calls[index] for index in sorted(self.calls)]
        return {"index": self.index, "message": message, "logprobs": self.logprobs, "finish_reason": self.finish_reason}

    def _add_call(self, delta: dict[str, Any]) -> None:
        call = self.calls.setdefault(call_index(delta), {"id": None, "type": "function"})
        merge(call, {name: value for name, value in delta.items() if name != "index"})

    def _add_logprobs(self, logprobs: dict[str, Any]) -> None:
        if self.logprobs is None:
            self.logprobs = {}
        for name, entries in logprobs.items():
            self.logprobs.setdefault(name, []).extend(entries or [])


class CollectedCompletion:
    """A chat completion, made of a stream's events.

    `fields`: those at the top level but for the choices; `choices`: by index.
    """

    def __init__(self) -> None:
        self._reader = ChunkReader()
        self.fields: dict[str, Any] = {}
        self.choices: dict[int, CollectedChoice] = {}

    def feed(self, data: bytes) -> None:
        """Add events. Malformed chunks raise ValueError, TypeError, KeyError, AttributeError or IndexError."""
        for chunk in self._reader.feed(data):
            for name in _TOP_LEVEL_FIELDS:
                if chunk.get(name) is not None:
                    self.fields[name] = chunk[name]
            for choice in chunk["choices"]:
                self._add_choice(choice)

    def body(self) -> bytes:
        """The chat completion as JSON."""
        choices = [self.choices[index].as_dict() for index in sorted(self.choices)]
        return msgspec.json.encode({"object": "chat.completion", **self.fields, "choices": choices})

    def _add_choice(self, choice: dict[str, Any]) -> None:
        index = choice.get("index", 0)
        if index not in self.choices:
            self.choices[index] = CollectedChoice(index)
        self.choices[index].add(choice)
