"""Merges the chunks of a stream into one chat completion.

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
_ATOMIC_FIELDS = ("id", "type", "role", "index")  # replaced, not appended to: they are never split over chunks
_chunk_decoder: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])


class ChunkReader:
    """Decodes the chunks of events that have been validated before. `[DONE]` and comments are skipped."""

    def __init__(self) -> None:
        self._parser = EventParser()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        """Yields the chunks of these events."""
        for event in self._parser.feed(data):
            if event.data is not None and event.data != DONE:
                yield _chunk_decoder.decode(event.data)


def merge(target: dict[str, Any], delta: dict[str, Any]) -> None:
    """Merge a delta into an object. Strings are appended, objects merged, other values replaced unless by None."""
    for name, value in delta.items():
        old = target.get(name)
        if isinstance(value, str) and isinstance(old, str) and name not in _ATOMIC_FIELDS:
            target[name] = old + value
        elif isinstance(value, dict) and isinstance(old, dict):
            merge(old, value)
        elif value is not None:
            target[name] = value


def call_index(call: dict[str, Any]) -> int:
    """Returns the index of a tool call's delta.

    Raises KeyError if it is missing, and ValueError if it is no integer from 0 to below `MAX_CALLS`.
    """
    index = call["index"]
    if not isinstance(index, int) or not 0 <= index < MAX_CALLS:
        raise ValueError("a tool call's index is out of range")
    return index


class CollectedChoice:
    """One choice, made of the deltas received so far."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.message: dict[str, Any] = {"role": "assistant", "content": None}
        self.calls: dict[int, dict[str, Any]] = {}  # by the replica's index; indexes may have gaps
        self.logprobs: dict[str, list[Any]] | None = None
        self.finish_reason: str | None = None

    def add(self, choice: dict[str, Any]) -> None:
        """Add the delta of this choice in one chunk."""
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
        """Returns the choice as in a chat completion object."""
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
    """A chat completion that is built from a stream's events.

    `fields` has the fields at the top level except the choices; `choices` has the choices by index.
    """

    def __init__(self) -> None:
        self._reader = ChunkReader()
        self.fields: dict[str, Any] = {}
        self.choices: dict[int, CollectedChoice] = {}

    def feed(self, data: bytes) -> None:
        """Add events.

        Raises ValueError, TypeError, KeyError, AttributeError or IndexError if a chunk is malformed.
        """
        for chunk in self._reader.feed(data):
            for name in _TOP_LEVEL_FIELDS:
                if chunk.get(name) is not None:
                    self.fields[name] = chunk[name]
            for choice in chunk["choices"]:
                self._add_choice(choice)

    def body(self) -> bytes:
        """Returns the chat completion as JSON."""
        choices = [self.choices[index].as_dict() for index in sorted(self.choices)]
        return msgspec.json.encode({"object": "chat.completion", **self.fields, "choices": choices})

    def _add_choice(self, choice: dict[str, Any]) -> None:
        index = choice.get("index", 0)
        if index not in self.choices:
            self.choices[index] = CollectedChoice(index)
        self.choices[index].add(choice)
