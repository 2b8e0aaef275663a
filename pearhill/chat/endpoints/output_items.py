"""The output items of a response of `/v1/responses`, and the stream events for each addition to them.

Source: OpenAI's API reference, "Responses", "Streaming events". A message is closed when the next item begins. Function
calls stay open until the end of the stream, because a replica may interleave the deltas of several calls.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from pearhill.chat.collected import call_index


class TextKind(StrEnum):
    """The kinds of content of a message. The values are those of the part's `type` and occur in the names of events."""

    OUTPUT_TEXT = "output_text"
    REFUSAL = "refusal"

    @property
    def field(self) -> str:
        """The name of the part's field that contains the text."""
        return "text" if self is TextKind.OUTPUT_TEXT else "refusal"


class EventSequence:
    """Encodes a stream's events and numbers them from 0."""

    def __init__(self) -> None:
        self._next_number = 0

    def encode(self, event_type: str, **fields: Any) -> bytes:
        """Returns the next event in the form in which it is sent."""
        data = msgspec.json.encode({"type": event_type, "sequence_number": self._next_number, **fields})
        self._next_number += 1
        return b"event: %b\ndata: %b\n\n" % (event_type.encode(), data)


class OutputItems:
    """The items in the order in which they were opened. Methods that change items return the events for the change.

    `items`: the items in the API's format; `response_id`: the id that is part of each item's id.
    """

    def __init__(self, response_id: str, events: EventSequence) -> None:
        self.items: list[dict[str, Any]] = []
        self._response_id = response_id
        self._events = events
        self._open_message_kind: TextKind | None = None  # kind of the last item if that is an open message
        self._call_positions: dict[int, int] = {}  # position in `items`, by the replica's index of the call

    def add_text(self, kind: TextKind, text: str, logprobs: list[Any]) -> bytes:
        """Add text to the open message of this kind, or to a new message if none is open.

        `logprobs`: the entries for this text, in the format of chat completions.
        """
        events = b""
        if self._open_message_kind != kind:
            events += self._open_message(kind)
        part = self.items[-1]["content"][0]
        part[kind.field] += text
        fields: dict[str, Any] = {"content_index": 0, "delta": text}
        if kind == TextKind.OUTPUT_TEXT:
            part["logprobs"] += logprobs
            fields["logprobs"] = logprobs
        return events + self._events.encode(f"response.{kind}.delta", **self._last_position_fields(), **fields)

    def add_call(self, delta: dict[str, Any]) -> bytes:
        """Add a delta of a tool call.

        Raises KeyError or ValueError if the index of the call is missing or out of range.
        """
        events = b""
        function = delta.get("function") or {}
        index = call_index(delta)
        if index not in self._call_positions:
            self._call_positions[index] = len(self.items)
            events += self._open_call(index, delta.get("id"), function)
        position = self._call_positions[index]
        arguments = function.get("arguments")
        if arguments:
            self.items[position]["arguments"] += arguments
            position_fields = self._position_fields(position)
            events += self._events.encode("response.function_call_arguments.delta", **position_fields, delta=arguments)
        return events

    def close(self, status: str) -> bytes:
        """Close all open items with this status at the end of the stream."""
        events = self._close_message(status)
        for position in self._call_positions.values():
            events += self._close_call(position, status)
        return events

    def mark_truncated(self) -> None:
        """Set the status of all items that are not completed to `incomplete`, after the stream was cut short."""
        for item in self.items:
            if item["status"] != "completed":
                item["status"] = "incomplete"

    def _position_fields(self, position: int) -> dict[str, Any]:
        return {"item_id": self.items[position]["id"], "output_index": position}

    def _last_position_fields(self) -> dict[str, Any]:
        return self._position_fields(len(self.items) - 1)

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
        self._open_message_kind = kind
        position_fields = self._last_position_fields()
        events += self._events.encode("response.content_part.added", **position_fields, content_index=0, part=part)
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
        kind = self._open_message_kind
        if kind is None:
            return b""
        self._open_message_kind = None
        item = self.items[-1]
        item["status"] = status
        part = item["content"][0]
        text = {kind.field: part[kind.field]}
        if kind == TextKind.OUTPUT_TEXT:
            text["logprobs"] = part["logprobs"]
        position_fields = self._last_position_fields()
        events = self._events.encode(f"response.{kind}.done", **position_fields, content_index=0, **text)
        events += self._events.encode("response.content_part.done", **position_fields, content_index=0, part=part)
        return events + self._encode_item_done(len(self.items) - 1)

    def _close_call(self, position: int, status: str) -> bytes:
        item = self.items[position]
        item["status"] = status
        events = self._events.encode(
            "response.function_call_arguments.done",
            **self._position_fields(position),
            name=item["name"],
            arguments=item["arguments"],
        )
        return events + self._encode_item_done(position)

    def _encode_item_done(self, position: int) -> bytes:
        return self._events.encode("response.output_item.done", output_index=position, item=self.items[position])
