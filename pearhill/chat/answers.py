"""How the core's answers look to a client of the chat API."""

from __future__ import annotations

import json
from typing import Any

from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers
from pearhill.http1.sse import EventParser

JSON: Headers = (("Content-Type", "application/json"),)
ODD = (ValueError, TypeError, KeyError, AttributeError, IndexError)  # what chunks of an odd shape raise
EVENTS: Headers = (("Content-Type", "text/event-stream; charset=utf-8"), ("Cache-Control", "no-cache"))


def error_body(message: str, kind: str, code: str, param: str | None = None) -> bytes:
    return json.dumps({"error": {"message": message, "type": kind, "param": param, "code": code}}).encode()


def retry_headers(micros: int) -> Headers:
    """When to come back, for clients that read seconds and for those that read the finer header."""
    return (("Retry-After", f"{micros / 1e6:.3f}"), ("Retry-After-Ms", str(micros // 1000))) if micros > 0 else ()


class Collected:
    """The chunks of a stream, put together as one answer."""

    def __init__(self) -> None:
        self._parser = EventParser()
        self._top: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}

    def feed(self, data: bytes) -> None:
        for event in self._parser.feed(data):
            if event.data is None or event.data == "[DONE]":
                continue
            chunk = json.loads(event.data)
            for name in ("id", "created", "model", "system_fingerprint", "service_tier", "usage"):
                if chunk.get(name) is not None:
                    self._top[name] = chunk[name]
            for choice in chunk["choices"]:
                self._add(choice)

    def _add(self, choice: dict[str, Any]) -> None:
        index = choice.get("index", 0)
        whole = self._choices.setdefault(index, {"index": index, "message": {"role": "assistant", "content": None},
                                                 "finish_reason": None, "logprobs": None})
        message, delta = whole["message"], choice["delta"]
        for name, value in delta.items():
            if name == "tool_calls" and isinstance(value, list):
                _add_calls(message.setdefault("tool_calls", []), value)
            elif name != "role" and isinstance(value, str):
                message[name] = (message.get(name) or "") + value
            elif value is not None:
                message[name] = value
        if choice.get("logprobs"):
            whole["logprobs"] = whole["logprobs"] or {}
            for name, entries in choice["logprobs"].items():
                whole["logprobs"].setdefault(name, []).extend(entries or [])
        whole["finish_reason"] = choice.get("finish_reason") or whole["finish_reason"]

    def body(self) -> bytes:
        choices = [self._choices[index] for index in sorted(self._choices)]
        return json.dumps({"object": "chat.completion", **self._top, "choices": choices}).encode()


def _add_calls(calls: list[dict[str, Any]], parts: list[dict[str, Any]]) -> None:
    """Tool calls come in parts: the name once, the arguments piece by piece."""
    for part in parts:
        index = part.get("index", len(calls))
        while len(calls) <= index < 1000:
            calls.append({"id": None, "type": "function", "function": {"name": "", "arguments": ""}})
        call, function = calls[index], part.get("function") or {}
        call["id"] = part.get("id") or call["id"]
        call["function"]["name"] += function.get("name") or ""
        call["function"]["arguments"] += function.get("arguments") or ""


class Answer:
    """One client of the chat API, as the core sees it. `repeatable`: a failed request may be sent again."""

    def __init__(self, reply: Reply, stream: bool, repeatable: bool) -> None:
        self.reply, self.stream, self.repeatable = reply, stream, repeatable
        self.started = False
        self.collected: Collected | None = Collected()  # None: the chunks could not be put together

    def _error(self, status: int, body: bytes, again: bool, more: Headers = ()) -> None:
        self.reply.answer(status, (*JSON, ("X-Should-Retry", "true" if again else "false"), *more), body)

    def refuse(self, stay_away: int) -> None:
        self._error(503, error_body("The servers are busy; nothing was done. Please try again.", "server_error",
                                    "server_overloaded"), True, retry_headers(stay_away))

    def fail(self) -> None:
        self._error(500, error_body("The request failed or ran out of time. It may have run.", "server_error",
                                    "request_failed"), self.repeatable)

    async def pass_on(self, data: bytes) -> None:
        if not self.stream:
            try:
                if self.collected:
                    self.collected.feed(data)
            except ODD:
                self.collected = None
            return
        if not self.started:
            self.started = True
            self.reply.start(200, EVENTS)
        await self.reply.write(data)

    def finish(self) -> None:
        if self.stream:
            return self.reply.finish()
        if self.collected is None:
            return self.abort()
        self.reply.answer(200, JSON, self.collected.body())

    def abort(self) -> None:
        if self.started:
            self.reply.abort()
        else:
            self._error(502, error_body("The server's answer broke off or made no sense.", "server_error",
                                        "stream_broken"), self.repeatable)
