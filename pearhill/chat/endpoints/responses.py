"""`/v1/responses` without stored state: chat's chunks become items, and a sequence of numbered events.

Source: OpenAI's API reference, "Responses", "Streaming events". Text and refusals are closed by whatever comes next;
function calls may come in turns, so they stay open to the end.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec

from pearhill.chat.collected import ChunkReader
from pearhill.chat.errors import ApiError, invalid_request
from pearhill.chat.prompt import Prompt, ResponseIdentity, Turn
from pearhill.chat.schema import responses as r
from pearhill.chat.schema.messages import MAX_CALLS
from pearhill.chat.schema.reading import Reader
from pearhill.chat.translate import items_to_messages, response_to_chat, response_usage

_reader = Reader(r.ResponseRequest)
INCOMPLETE = {"length": "max_output_tokens", "content_filter": "content_filter"}
ECHOED = (
    "instructions",
    "max_output_tokens",
    "temperature",
    "top_p",
    "tool_choice",
    "tools",
    "text",
    "metadata",
    "user",
    "parallel_tool_calls",
    "reasoning",
    "truncation",
)


class ResponseWords:
    def __init__(self, asked: r.ResponseRequest, made: ResponseIdentity) -> None:
        self._asked, self._made = asked, made
        self._chunks = ChunkReader()
        self._sequence = 0
        self._begun = False
        self._items: list[dict[str, Any]] = []
        self._open = ""  # which kind of text the last item is, while it is open
        self._calls: dict[int, int] = {}  # where the call with a server's index stands among the items
        self._usage: dict[str, Any] | None = None
        self._finish: str | None = None

    # The object.

    def _response(self, status: str, **more: Any) -> dict[str, Any]:
        asked = msgspec.to_builtins(self._asked)
        told: dict[str, Any] = {
            "tool_choice": "auto",
            "tools": [],
            "parallel_tool_calls": True,
            "metadata": {},
            "text": {"format": {"type": "text"}},
            "truncation": "disabled",
        }
        told |= {name: asked[name] for name in ECHOED if asked.get(name) is not None}
        return {
            "id": f"resp_{self._made.id}",
            "object": "response",
            "created_at": self._made.created,
            "status": status,
            "error": None,
            "incomplete_details": None,
            "instructions": None,
            "max_output_tokens": None,
            "temperature": None,
            "top_p": None,
            "reasoning": None,
            "user": None,
            "previous_response_id": None,
            "store": False,
            "background": False,
            **told,
            "model": self._made.model,
            "output": self._items if status != "in_progress" else [],
            "usage": response_usage(self._usage),
            **more,
        }

    def _final(self) -> tuple[str, dict[str, Any]]:
        if reason := INCOMPLETE.get(self._finish or ""):
            return "response.incomplete", self._response("incomplete", incomplete_details={"reason": reason})
        return "response.completed", self._response("completed")

    # Events.

    def _event(self, kind: str, **fields: Any) -> bytes:
        data = msgspec.json.encode({"type": kind, "sequence_number": self._sequence, **fields})
        self._sequence += 1
        return b"event: %b\ndata: %b\n\n" % (kind.encode(), data)

    def _add(self, chunk: dict[str, Any]) -> bytes:
        """Whatever this raises: it is no chunk of one answer."""
        out = b""
        if not self._begun:
            self._begun = True
            out += self._event("response.created", response=self._response("in_progress"))
            out += self._event("response.in_progress", response=self._response("in_progress"))
        if chunk.get("usage"):
            self._usage = chunk["usage"]
        for choice in chunk["choices"]:
            delta = choice["delta"]
            for name, kind in (("content", "output_text"), ("refusal", "refusal")):
                if delta.get(name):
                    out += self._say(kind, delta[name], (choice.get("logprobs") or {}).get(name) or [])
            for call in delta.get("tool_calls") or ():
                out += self._call(call)
            self._finish = choice.get("finish_reason") or self._finish
        return out

    def _place(self, at: int) -> dict[str, Any]:
        return {"item_id": self._items[at]["id"], "output_index": at}

    def _begin(self, prefix: str, item: dict[str, Any]) -> bytes:
        out, at = self._close_text("completed"), len(self._items)
        self._items.append({"id": f"{prefix}_{self._made.id}_{at}", **item, "status": "in_progress"})
        return out + self._event("response.output_item.added", output_index=at, item=self._items[at])

    def _say(self, kind: str, text: str, logprobs: list[Any]) -> bytes:
        out = b""
        spoken = kind == "output_text"
        key = "text" if spoken else "refusal"
        if self._open != kind:
            out += self._begin("msg", {"type": "message", "role": "assistant", "content": []})
            part: dict[str, Any] = {"type": kind, key: "", **({"annotations": [], "logprobs": []} if spoken else {})}
            self._open = kind
            out += self._event(
                "response.content_part.added", **self._place(len(self._items) - 1), content_index=0, part=part
            )
            self._items[-1]["content"].append(part)
        part = self._items[-1]["content"][0]
        part[key] += text
        if spoken:
            part["logprobs"] += logprobs
        return out + self._event(
            f"response.{kind}.delta",
            **self._place(len(self._items) - 1),
            content_index=0,
            delta=text,
            **({"logprobs": logprobs} if spoken else {}),
        )

    def _call(self, call: dict[str, Any]) -> bytes:
        index, function, out = call["index"], call.get("function") or {}, b""
        if not isinstance(index, int) or not 0 <= index < MAX_CALLS:
            raise ValueError("a tool call's index is out of range")
        if index not in self._calls:
            self._calls[index] = len(self._items)
            out += self._begin(
                "fc",
                {
                    "type": "function_call",
                    "arguments": "",
                    "name": function.get("name") or "",
                    "call_id": call.get("id") or f"call_{self._made.id}_{index}",
                },
            )
        at = self._calls[index]
        if text := function.get("arguments"):
            self._items[at]["arguments"] += text
            out += self._event("response.function_call_arguments.delta", **self._place(at), delta=text)
        return out

    def _close_text(self, status: str) -> bytes:
        if not self._open:
            return b""
        at, kind, self._open = len(self._items) - 1, self._open, ""
        item, place = self._items[at], self._place(at)
        item["status"], part = status, item["content"][0]
        told = (
            {"text": part["text"], "logprobs": part["logprobs"]}
            if kind == "output_text"
            else {"refusal": part["refusal"]}
        )
        out = self._event(f"response.{kind}.done", **place, content_index=0, **told)
        out += self._event("response.content_part.done", **place, content_index=0, part=part)
        return out + self._event("response.output_item.done", output_index=at, item=item)

    def _close(self) -> bytes:
        """Every open item is whole, or as whole as it gets."""
        status = "incomplete" if self._finish in INCOMPLETE else "completed"
        out = self._close_text(status)
        for at in self._calls.values():
            item = self._items[at]
            item["status"] = status
            out += self._event(
                "response.function_call_arguments.done",
                **self._place(at),
                name=item["name"],
                arguments=item["arguments"],
            )
            out += self._event("response.output_item.done", output_index=at, item=item)
        return out

    # Words.

    def stream(self, data: bytes) -> bytes:
        return b"".join(self._add(chunk) for chunk in self._chunks.feed(data))

    def end(self) -> bytes:
        out = self._close()
        kind, response = self._final()
        return out + self._event(kind, response=response)

    def truncated(self, error: ApiError) -> bytes:
        for item in self._items:
            item["status"] = "completed" if item["status"] == "completed" else "incomplete"
        return self._event(
            "response.failed", response=self._response("failed", error={"code": error.code, "message": error.message})
        )

    def collect(self, data: bytes) -> None:
        for chunk in self._chunks.feed(data):
            self._add(chunk)

    def complete(self) -> bytes:
        self._close()
        return msgspec.json.encode(self._final()[1])


def _turns(messages: list[dict[str, Any]]) -> list[Turn]:
    turns = []
    for message in messages:
        content = message.get("content") or ""
        texts = (
            [content]
            if isinstance(content, str)
            else [part.get("text") or part.get("refusal") or msgspec.json.encode(part).decode() for part in content]
        )
        calls = [f"{c['function']['name']}({c['function']['arguments']})" for c in message.get("tool_calls", ())]
        turns.append(Turn(message["role"], "".join(texts + calls)))
    return turns


def read(body: bytes) -> Prompt:
    """ApiError: the body is no request of this endpoint, or asks for what is not kept here."""
    asked, fields = _reader.read(body)
    asked.check()
    messages = items_to_messages(asked)
    if not messages:
        raise invalid_request("The input holds no message.", "input")
    return Prompt(
        asked.model,
        asked.stream is True,
        True,
        _turns(messages),
        asked.max_output_tokens,
        asked.metadata or {},
        response_to_chat(asked, messages, fields),
        partial(ResponseWords, asked),
    )
