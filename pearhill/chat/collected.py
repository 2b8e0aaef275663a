"""The chunks of a stream, put together as one whole answer of chat."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from pearhill.chat.schema.messages import MAX_CALLS
from pearhill.http1.sse import EventParser

DONE = b"[DONE]"
ODD = (ValueError, TypeError, KeyError, AttributeError, IndexError)  # what chunks of an odd shape raise
_TOP = ("id", "created", "model", "system_fingerprint", "service_tier", "usage")
_decoder: msgspec.json.Decoder[dict[str, Any]] = msgspec.json.Decoder(dict[str, Any])


class Chunks:
    """Reads the chunks out of events that have been checked already; `[DONE]` and comments are left out."""

    def __init__(self) -> None:
        self._parser = EventParser()

    def feed(self, data: bytes) -> Iterator[dict[str, Any]]:
        for event in self._parser.feed(data):
            if event.data is not None and event.data != DONE:
                yield _decoder.decode(event.data)


def merge(into: dict[str, Any], parts: dict[str, Any]) -> None:
    """Pieces of one object: strings grow, whatever else comes later counts. `id` and `type` come whole."""
    for name, value in parts.items():
        old = into.get(name)
        if isinstance(value, str) and isinstance(old, str) and name not in ("id", "type", "role", "index"):
            into[name] = old + value
        elif isinstance(value, dict) and isinstance(old, dict):
            merge(old, value)
        elif value is not None:
            into[name] = value


class Choice:
    """One of the answers asked for."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.message: dict[str, Any] = {"role": "assistant", "content": None}
        self.calls: dict[int, dict[str, Any]] = {}  # by the server's index, which may leave holes
        self.logprobs: dict[str, list[Any]] | None = None
        self.finish_reason: str | None = None

    def add(self, choice: dict[str, Any]) -> None:
        for name, value in choice["delta"].items():
            if name == "tool_calls":
                for part in value or ():
                    self._call(part)
            elif name != "role":
                merge(self.message, {name: value})
        if choice.get("logprobs"):
            self.logprobs = self.logprobs or {}
            for name, entries in choice["logprobs"].items():
                self.logprobs.setdefault(name, []).extend(entries or [])
        self.finish_reason = choice.get("finish_reason") or self.finish_reason

    def _call(self, part: dict[str, Any]) -> None:
        index = part["index"]
        if not isinstance(index, int) or not 0 <= index < MAX_CALLS:
            raise ValueError("a tool call's index is out of range")
        call = self.calls.setdefault(index, {"id": None, "type": "function"})
        merge(call, {name: value for name, value in part.items() if name != "index"})

    def as_dict(self) -> dict[str, Any]:
        message = dict(self.message)
        if self.calls:
            message["tool_calls"] = [self.calls[index] for index in sorted(self.calls)]
        return {"index": self.index, "message": message, "logprobs": self.logprobs, "finish_reason": self.finish_reason}


class Collected:
    def __init__(self) -> None:
        self._chunks = Chunks()
        self.top: dict[str, Any] = {}
        self.choices: dict[int, Choice] = {}

    def feed(self, data: bytes) -> None:
        """ODD: the chunks are no chunks of one answer."""
        for chunk in self._chunks.feed(data):
            for name in _TOP:
                if chunk.get(name) is not None:
                    self.top[name] = chunk[name]
            for choice in chunk["choices"]:
                index = choice.get("index", 0)
                if index not in self.choices:
                    self.choices[index] = Choice(index)
                self.choices[index].add(choice)

    def body(self) -> bytes:
        choices = [self.choices[index].as_dict() for index in sorted(self.choices)]
        return msgspec.json.encode({"object": "chat.completion", **self.top, "choices": choices})
