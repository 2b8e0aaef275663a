"""What is said to servers that speak the chat API, and when their streams can be trusted."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from pearhill.http1 import messages
from pearhill.http1.sse import BadEvents, EventParser
from pearhill.net.backend import Malformed

DONE = "[DONE]"


@dataclass(frozen=True, slots=True)
class ChatPayload:
    """What a server gets of a chat request."""

    id: str
    path: str
    host: str
    body: bytes  # always asks for a stream with its usage: the router learns from it what was kept
    wants_usage: bool  # whether the client has asked for the usage event itself
    authorization: str = ""


def chunk_of(text: str) -> dict[str, Any]:
    """One event's chunk. Malformed where it is none."""
    try:
        chunk = json.loads(text)
    except (ValueError, RecursionError):
        raise Malformed("an event is no JSON") from None
    if not isinstance(chunk, dict) or not isinstance(chunk.get("choices"), list):
        raise Malformed("an event is no chunk of an answer")
    for choice in chunk["choices"]:
        if not isinstance(choice, dict) or not isinstance(choice.get("delta"), dict):
            raise Malformed("a choice has no delta")
    return chunk


class ChatStream:
    """Passes on whole events that make sense, unchanged, and is whole with `[DONE]`."""

    def __init__(self, wants_usage: bool) -> None:
        self.kept, self._whole, self._chunks = 0, False, 0
        self._wants_usage = wants_usage
        self._parser = EventParser()

    @property
    def whole(self) -> bool:
        return self._whole

    def feed(self, data: bytes) -> bytes:
        ready = b""
        try:
            for event in self._parser.feed(data):
                if self._whole:
                    raise Malformed("events after the last one")
                if event.data is None:
                    continue  # a comment: it keeps the connection alive and tells nothing
                if event.data == DONE:
                    if not self._chunks:
                        raise Malformed("an end without an answer")
                    self._whole = True
                elif not self._read(chunk_of(event.data)):
                    continue
                ready += event.raw
        except BadEvents as e:
            raise Malformed(str(e)) from None
        return ready

    def _read(self, chunk: dict[str, Any]) -> bool:
        """Whether the client is to see this chunk."""
        self._chunks += bool(chunk["choices"])
        usage = chunk.get("usage")
        if isinstance(usage, dict):
            details = usage.get("prompt_tokens_details")
            kept = details.get("cached_tokens") if isinstance(details, dict) else None
            self.kept = kept if isinstance(kept, int) and kept >= 0 else self.kept
        return bool(chunk["choices"]) or self._wants_usage

    def ends_well(self) -> bool:
        return self._whole


class ChatDialect:
    def request(self, payload: ChatPayload, wait_ms: int) -> bytes:
        headers = [("Request-Id", payload.id), ("Request-Timeout-Ms", str(wait_ms)),
                   ("Content-Type", "application/json"), ("Accept", "text/event-stream")]
        if payload.authorization:
            headers.append(("Authorization", payload.authorization))
        return messages.request("POST", payload.path, payload.host, headers, payload.body)

    def release(self, payload: ChatPayload) -> bytes:
        return messages.request("DELETE", f"/state/{payload.id}", payload.host)

    def stream(self, payload: ChatPayload) -> ChatStream:
        return ChatStream(payload.wants_usage)
