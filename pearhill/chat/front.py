"""The front of the chat API: reads a request by the operator's rules, and answers as OpenAI-style clients expect.

Nothing here needs the platform's headers. What the core asks of a request is found, in this order:
class          a header, a field of the body's `metadata`, the first rule that fits, the default
conversation   a header, a field of `metadata`, else the messages up to the first user's
opening        the leading system and developer messages
lengths        characters over `chars_per_token`; `max_completion_tokens` or `max_tokens`, else `max_out`
deadline       a header in milliseconds, else the rule's, at most the class's
"""

from __future__ import annotations

import hashlib
import json
import secrets
from collections.abc import Callable
from typing import Any

from pearhill import interface as i
from pearhill.chat.answers import JSON, Answer, error_body, retry_headers
from pearhill.chat.records import Record, Spawn, Store
from pearhill.chat.servers import ChatPayload
from pearhill.chat.setup import Reading
from pearhill.core.dispatcher import Ask, Dispatcher, Request
from pearhill.http1.handler import Pending, Reply
from pearhill.http1.messages import Headers, RequestMessage

PATH, MODELS = "/v1/chat/completions", "/v1/models"
CALLS = {PATH: "POST", MODELS: "GET", "/ready": "GET", "/counters": "GET"}


class BadRequest(Exception):
    def __init__(self, message: str, param: str | None = None) -> None:
        super().__init__(message)
        self.param = param


def _number_of(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(errors="replace"), digest_size=8).digest()) or 1


def _object(body: dict[str, Any], name: str) -> dict[str, Any]:
    value = body.get(name)
    return value if isinstance(value, dict) else {}


def _text_of(message: dict[str, Any]) -> str:
    content = message.get("content")
    if isinstance(content, list):  # parts; a part that is no text counts by its own length
        return "".join(part["text"] if isinstance(part, dict) and isinstance(part.get("text"), str)
                       else json.dumps(part) for part in content)
    return content if isinstance(content, str) else ""


class _Direct:
    """A client whose request ends with it: what comes is passed straight on."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self.request: Request | None = None

    def left(self) -> None:
        if self.request:
            self._dispatcher.leave(self.request)


class ChatFront:
    def __init__(self, dispatcher: Dispatcher, reading: Reading, store: Store, host: str, spawn: Spawn,
                 is_ready: Callable[[], bool]) -> None:
        self.dispatcher, self.reading, self.store, self.host = dispatcher, reading, store, host
        self.spawn, self.is_ready = spawn, is_ready
        self._classes = {name: k for k, name in enumerate(dispatcher.deployment.class_names)}

    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        path, method, counters = message.path, message.method, self.dispatcher.counters
        if CALLS.get(path) != method:
            counters.rejected += 1
            allow = (("Allow", CALLS[path]),) if path in CALLS else ()
            reply.answer(405 if allow else 404, (*JSON, *allow),
                         error_body(f"There is no {method} {path}", "invalid_request_error", "unknown_url"))
        elif path == PATH:
            return self.take(message, reply)
        elif path == "/ready":
            ready = self.is_ready()
            reply.answer(200 if ready else 503, JSON, json.dumps({"ready": ready}).encode())
        elif path == "/counters":
            reply.answer(200, JSON, json.dumps(counters.as_dict()).encode())
        else:
            models = [{"id": name, "object": "model", "created": 0, "owned_by": "pearhill"}
                      for name in self.reading.models]
            reply.answer(200, JSON, json.dumps({"object": "list", "data": models}).encode())
        return None

    def rejected(self, status: int, why: str) -> tuple[Headers, bytes]:
        return JSON, error_body(why, "invalid_request_error", "bad_http")

    def take(self, message: RequestMessage, reply: Reply) -> Pending | None:
        """One chat request, to its place in the core or to the answer that it has already."""
        try:
            body = self._body(message)
            ask, payload = self._read(message, body)
        except BadRequest as e:
            self._turn_away(reply, 400, str(e), "invalid_value", e.param)
            return None
        safe = self.dispatcher.deployment.router.classes[ask.cls].effect == i.SAFE
        answer = Answer(reply, body.get("stream") is True, safe)
        key = message.headers.get("idempotency-key", "")
        if len(key) > 256:
            self._turn_away(reply, 400, "Idempotency-Key is longer than 256 characters", "invalid_value")
            return None
        if key:
            return self._once(key, message, ask, payload, answer)
        if not self._has_room(answer):
            return None
        if safe:
            direct = _Direct(self.dispatcher)
            direct.request = self.dispatcher.take(ask, answer, payload)
            return direct
        return self._run(Record(payload.id, b"", self.spawn), ask, payload, answer)

    def _turn_away(self, reply: Reply, status: int, why: str, code: str, param: str | None = None) -> None:
        self.dispatcher.counters.rejected += 1
        reply.turn_away(status, JSON, error_body(why, "invalid_request_error", code, param))

    def _has_room(self, answer: Answer) -> bool:
        dispatcher = self.dispatcher
        if len(dispatcher.requests) < dispatcher.deployment.most_held:
            return True
        dispatcher.counters.refused += 1
        answer.reply.answer(429, (*JSON, *retry_headers(dispatcher.deployment.router.max_retry_after)), error_body(
            "Too many requests are open.", "rate_limit_error", "rate_limit_exceeded"))
        return False

    def _run(self, record: Record, ask: Ask, payload: ChatPayload, answer: Answer) -> Pending:
        """Danger: a booking whose client leaves in mid-stream may have run. It is seen through to one outcome."""
        follower = record.follow(answer)
        self.dispatcher.take(ask, record, payload)
        return follower

    def _once(self, key: str, message: RequestMessage, ask: Ask, payload: ChatPayload, answer: Answer,
              ) -> Pending | None:
        """The run that this key stands for: the one there is, else a new one."""
        # Danger: keys are each client's own; two clients that pick the same must not read each other's answers.
        owner = message.headers.get("authorization", "")
        name = hashlib.blake2b(f"{owner}\n{key}".encode(), digest_size=16).digest()
        digest = hashlib.blake2b(message.body, digest_size=16).digest()
        if record := self.store.get(name):
            if record.digest != digest:
                self._turn_away(answer.reply, 422, "This Idempotency-Key was used with another request.",
                                "idempotency_key_reused")
                return None
            if record.dropped:
                self._turn_away(answer.reply, 409, f"The request has ended ({record.state}) and is not run again; "
                                "its answer is not kept any more.", "answer_not_kept")
                return None
            self.dispatcher.counters.replayed += 1
            return record.follow(answer)
        if not self._has_room(answer):
            return None
        record = Record(payload.id, digest, self.spawn)
        if not self.store.add(name, record):
            self.dispatcher.counters.refused += 1
            answer.refuse(self.dispatcher.deployment.router.max_retry_after)
            return None
        return self._run(record, ask, payload, answer)

    def _body(self, message: RequestMessage) -> dict[str, Any]:
        try:
            body = json.loads(message.body)
        except (ValueError, RecursionError):
            raise BadRequest("The body is no JSON.") from None
        if not isinstance(body, dict):
            raise BadRequest("The body must be a JSON object.")
        if not isinstance(body.get("model"), str) or not body["model"]:
            raise BadRequest("A model must be named.", "model")
        messages = body.get("messages")
        if not isinstance(messages, list) or not messages or not all(
                isinstance(m, dict) and isinstance(m.get("role"), str) for m in messages):
            raise BadRequest("messages must be a list of objects with a role.", "messages")
        if not isinstance(body.get("stream") or False, bool):
            raise BadRequest("stream must be true or false.", "stream")
        return body

    def _read(self, message: RequestMessage, body: dict[str, Any]) -> tuple[Ask, ChatPayload]:
        reading, headers = self.reading, message.headers
        metadata = _object(body, "metadata")
        rule = next((rule for rule in reading.rules if rule.fits(body["model"], headers)), None)
        named = headers.get(reading.class_header) or metadata.get(reading.class_field)
        if named and (not isinstance(named, str) or named not in self._classes):
            raise BadRequest(f"There is no class {named!r}.", "metadata")
        cls = self._classes[named] if named else rule.cls if rule else reading.default_class
        texts = [(m["role"], _text_of(m)) for m in body["messages"]]
        opening, talk = "", ""
        for role, text in texts:
            talk += f"{role}\n{text}\n"
            if role not in ("system", "developer"):
                break
            opening += text
        conversation = headers.get(reading.conversation_header) or metadata.get(reading.conversation_field) or talk
        limit = next((body[n] for n in ("max_completion_tokens", "max_tokens") if body.get(n) is not None),
                     reading.max_out)
        if not isinstance(limit, int) or isinstance(limit, bool) or not 0 < limit <= 1_000_000:
            raise BadRequest("max_tokens must be a whole number above 0.", "max_tokens")
        ask = Ask(cls, self._time(headers, cls, rule.deadline if rule else 0),
                  int(sum(len(text) for _, text in texts) / reading.chars_per_token), limit,
                  session=_number_of(str(conversation)), prefix=_number_of(opening) if opening else 0,
                  prefix_len=int(len(opening) / reading.chars_per_token))
        options = _object(body, "stream_options")
        asked = {**body, "stream": True, "stream_options": {**options, "include_usage": True}}
        wants_usage = body.get("stream") is not True or options.get("include_usage") is True
        return ask, ChatPayload(secrets.token_hex(8), message.target, self.host, json.dumps(asked).encode(),
                                wants_usage, headers.get("authorization", ""))

    def _time(self, headers: dict[str, str], cls: int, rule: int) -> int:
        most = self.dispatcher.deployment.router.classes[cls].deadline
        told = headers.get(self.reading.timeout_header)
        if told is None:
            return min(most, rule) if rule > 0 else most
        if not told.isdecimal() or not int(told[:10]) > 0 or len(told) > 10:
            raise BadRequest(f"{self.reading.timeout_header} must be a whole number of milliseconds above 0.")
        return min(most, int(told) * 1000)
