"""The output items of a response of `/v1/responses`, and the events that announce what is added to them.

Source: OpenAI's API reference, "Responses", "Streaming events". A message is closed by the item that follows it;
function calls may be streamed alternately, so that they stay open until the end.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from pearhill.chat.collected import call_index


class TextKind(StrEnum):
    """The kinds of content of a message. Values as in the part's `type` and in the events' names."""

    OUTPUT_TEXT = "output_text"
    REFUSAL = "refusal"

    @property
    def field(self) -> str:
        """The part's field that has the text."""
        return "text" if self is TextKind.OUTPUT_TEXT else "refusal"


class EventSequence:
    """Encodes a stream's events and numbers them from 0."""

    def __init__(self) -> None:
        self._next_number = 0

    def encode(self, event_type: str, **fields: Any) -> bytes:
        """The next event, as it is sent."""
        data = msgspec.json.encode({"type": event_type, "sequence_number": self._next_number, **fields})
        self._next_number += 1
        return b"event: %b\ndata: %b\n\n" % (event_type.encode(), data)


class OutputItems:
    """The items in their order. Each method returns the events for what it has changed.

    `items`: as the API has them; `response_id`: which the items' ids contain.
    """

    def __init__(self, response_id: str, events: EventSequence) -> None:
        self.items: list[dict[str, Any]] = []
        self._response_id = response_id
        self._events = events
        self._open_text: TextKind | None = None  # of the last item, while that is an open message
        self._calls: dict[int, int] = {}  # by the replica's index of a call: its place in `items`

    def add_text(self, kind: TextKind, text: str, logprobs: list[Any]) -> bytes:
        """Add text to the open message of this kind, or to a new one. `logprobs`: chat's entries for the text."""
        events = b""
        if self._open_text != kind:
            events += self._open_message(kind)
        part = self.items[-1]["content"][0]
        part[kind.field] += text
        fields: dict[str, Any] = {"content_index": 0, "delta": text}
        if kind == TextKind.OUTPUT_TEXT:
            part["logprobs"] += logprobs
            fields["logprobs"] = logprobs
        return events + self._events.encode(f"response.{kind}.delta", **self._last_place(), **fields)

    def add_call(self, delta: dict[str, Any]) -> bytes:
        """Add a tool call's delta. ValueError, KeyError: its index is missing or out of range."""
        events = b""
        function = delta.get("function") or {}
        index = call_index(delta)
        if index not in self._calls:
            self._calls[index] = len(self.items)
            events += self._open_call(index, delta.get("id"), function)
        position = self._calls[index]
        arguments = function.get("arguments")
        if arguments:
            self.items[position]["arguments"] += arguments
            place = self._place(position)
            events += self._events.encode("response.function_call_arguments.delta", **place, delta=arguments)
        return events

    def close(self, status: str) -> bytes:
        """Close all open items with this status, as the stream has ended."""
        events = self._close_message(status)
        for position in self._calls.values():
            events += self._close_call(position, status)
        return events

    def mark_truncated(self) -> None:
        """Give the items that are not complete the status of such, as the stream has broken off."""
        for item in self.items:
            if item["status"] != "completed":
                item["status"] = "incomplete"

    def _place(self, position: int) -> dict[str, Any]:
        return {"item_id": self.items[position]["id"], "output_index": position}

    def _last_place(self) -> dict[str, Any]:
        return self._place(len(self.items) - 1)

    def _open_item(self, id_prefix: str, fields: dict[str, Any]) -> bytes:
        events = self._close_message("completed")
        position = len(self.items)
        item = {"id": f"{id_prefix}_{self._response_id}_{position}", **fields, "status": "in_progress"}
        self.items.append(item)
        return events + self._events.encode("response.output_item.added", output_index=position, item=item)

    def _open_message(self, kind: TextKind) -> bytes:
        events = self._open_item("msg", {"type": "message", "role": "assistant", "content": []})
        part: dict[str, Any] = {"type": kind.value, kind.field: ""}
        if kind == TextKind.OUTPUT_TEXT:
            part |= {"annotations": [], "logprobs": []}
        self._open_text = kind
        place = self._last_place()
        events += self._events.encode("response.content_part.added", **place, content_index=0, part=part)
        self.items[-1]["content"].append(part)
        return events

    def _open_call(self, index: int, call_id: str | None, function: dict[str, Any]) -> bytes:
        fields = {
            "type": "function_call",
            "arguments": "",
            "name": function.get("name") or "",
            "call_id": call_id or f"call_{self._response_id}_{index}",
        }
        return self._open_item("fc", fields)

    def _close_message(self, status: str) -> bytes:
        kind = self._open_text
        if kind is None:
            return b""
        self._open_text = None
        item = self.items[-1]
        item["status"] = status
        part = item["content"][0]
        text = {kind.field: part[kind.field]}
        if kind == TextKind.OUTPUT_TEXT:
            text["logprobs"] = part["logprobs"]
        place = self._last_place()
        events = self._events.encode(f"response.{kind}.done", **place, content_index=0, **text)
        events += self._events.encode("response.content_part.done", **place, content_index=0, part=part)
        return events + self._item_done(len(self.items) - 1)

    def _close_call(self, position: int, status: str) -> bytes:
        item = self.items[position]
        item["status"] = status
        events = self._events.encode(
            "response.function_call_arguments.done",
            **self._place(position),
            name=item["name"],
            arguments=item["arguments"],
        )
        return events + self._item_done(position)

    def _item_done(self, position: int) -> bytes:
        return self._events.encode("response.output_item.done", output_index=position, item=self.items[position])
