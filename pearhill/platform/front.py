"""The thin front: the platform's request headers in, the core's answers out."""

from __future__ import annotations

import hashlib
import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Request, RequestSpec
from pearhill.http1.handler import Pending, Reply
from pearhill.http1.messages import Headers, RequestMessage

COMPLETIONS_PATH = "/v1/chat/completions"
NETWORK_ALLOWANCE_US = 10_000  # microseconds kept back from the client's time, for the way here and back
MAX_TIMEOUT_US = 600_000_000
_ID = re.compile(r"[\x21-\x7e]{1,128}")
TEXT_HEADERS: Headers = (("Content-Type", "text/plain"),)
EVENT_STREAM_HEADERS: Headers = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))


class BadRequestError(Exception):
    """A request that cannot be read; the text is for its client."""


@dataclass(frozen=True, slots=True)
class Payload:
    """What a replica gets of the request, unchanged."""

    id: str
    method: str
    target: str
    body: bytes
    content_type: str
    idempotency_key: str = ""  # by it the replicas discard a repeat


def retry_after_headers(micros: int) -> Headers:
    return (("Retry-After", f"{micros / 1e6:.3f}"),) if micros > 0 else ()


def affinity_key(text: str) -> int:
    """A conversation or opening as a number, the same at every dispatcher; 0 where there is none."""
    if not text:
        return 0
    if len(text) <= 16 and re.fullmatch(r"[0-9a-fA-F]+", text):
        return int(text, 16)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _number(name: str, text: str) -> int:
    if not re.fullmatch(r"[0-9]{1,10}", text):
        raise BadRequestError(f"{name} must be a whole number")
    return int(text)


class PlatformClient:
    """The core's view of one client of the platform."""

    def __init__(self, dispatcher: Dispatcher, reply: Reply, on_over: Callable[[], None]) -> None:
        self.dispatcher, self.reply, self.on_end = dispatcher, reply, on_over
        self.request: Request | None = None
        self.started = False

    def _over(self) -> None:
        """Client and request hold each other, and the body, until the collector comes."""
        self.request = None
        self.on_end()

    def reject(self, stay_away: int) -> None:
        self._over()
        self.reply.answer(503, (*TEXT_HEADERS, *retry_after_headers(stay_away)), b"refused: trying again is harmless\n")

    def fail(self) -> None:
        self._over()
        self.reply.answer(500, TEXT_HEADERS, b"failed\n")

    def decline(self, said: Any) -> None:
        """The platform's replicas have no such answer; were there one, nothing would be promised."""
        self.fail()

    async def forward(self, data: bytes) -> None:
        if not self.started:
            self.started = True
            self.reply.start(200, EVENT_STREAM_HEADERS)
        await self.reply.write(data)

    def finish(self) -> None:
        self._over()
        self.reply.finish()

    def abort(self) -> None:
        self._over()
        self.reply.abort()

    def has_disconnected(self) -> bool:
        return self.reply.has_disconnected()

    def left(self) -> None:
        request = self.request
        self._over()
        if request:
            self.dispatcher.disconnect(request)


class PlatformFront:
    """`refuses`: whether a request that was read at this time is to be refused, since the process ends."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        is_ready: Callable[[], bool],
        refuses: Callable[[int], bool] = lambda arrived: False,
    ) -> None:
        self.dispatcher, self.is_ready, self.is_refused = dispatcher, is_ready, refuses
        self.open_ids: set[str] = set()
        names = dispatcher.deployment.class_names
        self._classes = {name: k for k, name in enumerate(names)}
        self._tenants = {name: k for k, name in enumerate(dispatcher.deployment.tenant_names)}

    def handle(self, message: RequestMessage, reply: Reply) -> Pending | None:
        path, method, counters = message.path, message.method, self.dispatcher.counters
        if path == "/ready" and method == "GET":
            ready = self.is_ready()
            reply.answer(200 if ready else 503, TEXT_HEADERS, b"ready\n" if ready else b"not ready\n")
        elif path == "/counters" and method == "GET":
            reply.answer(200, (("Content-Type", "application/json"),), json.dumps(counters.as_dict()).encode())
        elif path != COMPLETIONS_PATH or method != "POST":
            counters.rejected += 1
            known = {COMPLETIONS_PATH: "POST", "/ready": "GET", "/counters": "GET"}.get(path)
            reply.answer(
                405 if known else 404, (*TEXT_HEADERS, ("Allow", known)) if known else TEXT_HEADERS, b"no such call\n"
            )
        else:
            return self._take(message, reply)
        return None

    def rejected(self, status: int, why: str) -> tuple[Headers, bytes]:
        return TEXT_HEADERS, f"{why}\n".encode()

    def _take(self, message: RequestMessage, reply: Reply) -> Pending | None:
        dispatcher = self.dispatcher
        try:
            id, ask = self._read(message)
        except BadRequestError as e:
            dispatcher.counters.rejected += 1
            reply.reject(400, TEXT_HEADERS, f"{e}\n".encode())
            return None
        if id in self.open_ids:  # Two requests of one id could not be told apart at a replica.
            dispatcher.counters.rejected += 1
            reply.reject(409, TEXT_HEADERS, b"a request with this Request-Id is open\n")
            return None
        if len(dispatcher.requests) >= dispatcher.deployment.most_held:
            dispatcher.record_rejection(ask.request_class)
            reply.answer(
                503,
                (*TEXT_HEADERS, *retry_after_headers(dispatcher.deployment.router.max_retry_after)),
                b"too many open\n",
            )
            return None
        if message.arrived is not None and self.is_refused(message.arrived):
            dispatcher.record_rejection(ask.request_class, "ending")
            reply.answer(
                503,
                (*TEXT_HEADERS, *retry_after_headers(0)),
                b"this process ends: trying again elsewhere is harmless\n",
            )
            return None
        self.open_ids.add(id)
        client = PlatformClient(dispatcher, reply, lambda: self.open_ids.discard(id))
        payload = Payload(
            id,
            message.method,
            message.target,
            message.body,
            message.headers.get("content-type", "application/json"),
            message.headers.get("idempotency-key", ""),
        )
        request = dispatcher.accept(ask, client, payload, message.arrived)
        client.request = None if request.answered else request
        return client

    def _read(self, message: RequestMessage) -> tuple[str, RequestSpec]:
        headers = message.headers
        for name in ("Request-Id", "Request-Class", "Request-Timeout-Ms"):
            if not headers.get(name.lower()):
                raise BadRequestError(f"{name} is missing")
        id = headers["request-id"]
        if not _ID.fullmatch(id):
            raise BadRequestError("Request-Id is malformed")
        cls = self._classes.get(headers["request-class"])
        if cls is None:
            raise BadRequestError("Request-Class is unknown")
        ttl = _number("Request-Timeout-Ms", headers["request-timeout-ms"]) * 1000
        if not 0 < ttl <= MAX_TIMEOUT_US:
            raise BadRequestError("Request-Timeout-Ms is out of range")
        try:
            body = json.loads(message.body)
        except (ValueError, RecursionError):
            raise BadRequestError("the body is no JSON") from None
        if not isinstance(body, dict):
            raise BadRequestError("the body is no JSON object")
        info: dict[str, str] = {}
        for part in filter(None, (p.strip() for p in headers.get("request-info", "").split(","))):
            name, equals, value = part.partition("=")
            if not equals:
                raise BadRequestError("Request-Info is malformed")
            info[name.strip()] = value.strip()
        prompt = _number("prompt_len", info.get("prompt_len", str(len(message.body) // 4)))
        max_out = _number("max_out", info.get("max_out", "0"))
        tenant = self._tenants.get(headers.get("tenant", ""), 0)
        return id, RequestSpec(
            cls,
            max(1, ttl - NETWORK_ALLOWANCE_US),
            prompt,
            max_out,
            session=affinity_key(headers.get("affinity-key", "")),
            prefix=affinity_key(info.get("prefix", "")),
            prefix_tokens=_number("prefix_len", info.get("prefix_len", "0")),
            tenant=tenant,
            is_retry=headers.get("client-retry") == "1",
            resumed=headers.get("client-retry") == "again",
            id=id,
        )
