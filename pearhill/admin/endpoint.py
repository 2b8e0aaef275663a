"""The operators' calls, one a connection: 2xx means yes, 4xx and 5xx mean no."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol
from urllib.parse import parse_qsl

from pearhill.counters import Figures
from pearhill.http1.handler import Reply
from pearhill.http1.messages import Headers, RequestMessage

TEXT: Headers = (("Content-Type", "text/plain"),)
JSON: Headers = (("Content-Type", "application/json"), ("Cache-Control", "no-store"))


class AdminTarget(Protocol):
    """What the door works on."""

    def can_serve(self) -> bool: ...
    def figures(self) -> Figures: ...
    def set_replica_down(self, uid: str, out: bool) -> bool:
        """False: nobody has this id."""

    def drain(self, on: bool) -> None: ...
    def fleet(self) -> dict[str, Any] | None:
        """What is known of the other dispatchers and of the work of all. None: this one talks to nobody."""


class InvalidCallError(Exception):
    """A call that cannot be read; the text is for its caller."""


def _target(query: str) -> str:
    try:
        values = [
            value for name, value in parse_qsl(query, keep_blank_values=True, max_num_fields=16) if name == "target"
        ]
    except ValueError:
        raise InvalidCallError("too many parameters; allowed: one, target=ID") from None
    if len(values) != 1 or not values[0]:
        found = "none" if not values else f"{len(values)}" if len(values) > 1 else "an empty one"
        raise InvalidCallError(f"target: found {found}; allowed: one id of a replica, as in ?target=ID")
    return values[0]


Call = Callable[[str, Reply], None]  # gets the query


class CallTable:
    """What answers calls, by path: the method, and what is done."""

    def __init__(self, calls: Mapping[str, tuple[str, Call]]) -> None:
        self._calls = calls

    def handle(self, message: RequestMessage, reply: Reply) -> None:
        path, _, query = message.target.partition("?")
        if path not in self._calls:
            return reply.answer(404, TEXT, b"no such call\n")
        method, call = self._calls[path]
        if message.method != method:
            reply.answer(405, (*TEXT, ("Allow", method)), f"this call is a {method}\n".encode())
        else:
            try:
                call(query, reply)
            except InvalidCallError as e:
                reply.answer(400, TEXT, f"{e}\n".encode())

    def rejected(self, status: int, why: str) -> tuple[Headers, bytes]:
        return TEXT, f"{why}\n".encode()


class AdminEndpoint(CallTable):
    def __init__(self, operated: AdminTarget) -> None:
        self.operated = operated
        super().__init__(
            {
                "/ops/readiness": ("GET", self._readiness),
                "/ops/stats": ("GET", self._stats),
                "/ops/replicas/down": ("POST", lambda query, reply: self._replica(query, reply, True)),
                "/ops/replicas/up": ("POST", lambda query, reply: self._replica(query, reply, False)),
                "/ops/fleet": ("GET", self._fleet),
                "/ops/drain/start": ("POST", lambda query, reply: self._drain(reply, True)),
                "/ops/drain/stop": ("POST", lambda query, reply: self._drain(reply, False)),
            }
        )

    def _readiness(self, query: str, reply: Reply) -> None:
        yes = self.operated.can_serve()
        reply.answer(200 if yes else 503, TEXT, b"yes\n" if yes else b"no: it cannot serve yet\n")

    def _stats(self, query: str, reply: Reply) -> None:
        reply.answer(200, JSON, json.dumps(self.operated.figures().as_dict()).encode() + b"\n")

    def _fleet(self, query: str, reply: Reply) -> None:
        told = self.operated.fleet()
        if told is None:
            return reply.answer(404, TEXT, b"no such call\n")
        reply.answer(200, JSON, json.dumps(told).encode() + b"\n")

    def _replica(self, query: str, reply: Reply, out: bool) -> None:
        if self.operated.set_replica_down(_target(query), out):
            reply.answer(200, TEXT, b"out\n" if out else b"in use\n")
        else:
            reply.answer(404, TEXT, b"no replica has this id\n")

    def _drain(self, reply: Reply, on: bool) -> None:
        self.operated.drain(on)
        reply.answer(200, TEXT, b"draining\n" if on else b"serving\n")
