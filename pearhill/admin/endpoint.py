"""The admin endpoint of a dispatcher: readiness, figures, overrides of replicas, the drain and the fleet."""

from __future__ import annotations

import json
from typing import Any, Protocol
from urllib.parse import parse_qsl

from pearhill.admin.call_table import JSON, TEXT, CallTable, InvalidCallError
from pearhill.counters import Figures
from pearhill.http1.handler import Reply

MAX_PARAMETERS = 16  # limit on the parameters of a query


class AdminTarget(Protocol):
    """The operations that the calls need."""

    def can_serve(self) -> bool:
        """Whether the dispatcher is ready."""

    def figures(self) -> Figures:
        """Returns the request counts and the state of the replicas."""

    def set_replica_down(self, uid: str, down: bool) -> bool:
        """Take a replica administratively down, or restore it. Returns False if no replica has this id."""

    def drain(self, on: bool) -> None:
        """Begin or end the drain."""

    def fleet(self) -> dict[str, Any] | None:
        """Returns the state of the other dispatchers and the load of all, or None if there is no fleet."""


class AdminEndpoint(CallTable):
    """Answers the calls by means of `operations`."""

    def __init__(self, operations: AdminTarget) -> None:
        self.operations = operations
        super().__init__(
            {
                "/ops/readiness": ("GET", self._readiness),
                "/ops/stats": ("GET", self._stats),
                "/ops/replicas/down": ("POST", lambda query, reply: self._set_replica_down(query, reply, True)),
                "/ops/replicas/up": ("POST", lambda query, reply: self._set_replica_down(query, reply, False)),
                "/ops/fleet": ("GET", self._fleet),
                "/ops/drain/start": ("POST", lambda query, reply: self._drain(reply, True)),
                "/ops/drain/stop": ("POST", lambda query, reply: self._drain(reply, False)),
            }
        )

    def _readiness(self, query: str, reply: Reply) -> None:
        if self.operations.can_serve():
            reply.answer(200, TEXT, b"yes\n")
        else:
            reply.answer(503, TEXT, b"no: it cannot serve yet\n")

    def _stats(self, query: str, reply: Reply) -> None:
        reply.answer(200, JSON, json.dumps(self.operations.figures().as_dict()).encode() + b"\n")

    def _fleet(self, query: str, reply: Reply) -> None:
        fleet = self.operations.fleet()
        if fleet is None:
            return reply.answer(404, TEXT, b"no such call\n")
        reply.answer(200, JSON, json.dumps(fleet).encode() + b"\n")

    def _set_replica_down(self, query: str, reply: Reply, down: bool) -> None:
        if self.operations.set_replica_down(_replica_uid(query), down):
            reply.answer(200, TEXT, b"out\n" if down else b"in use\n")
        else:
            reply.answer(404, TEXT, b"no replica has this id\n")

    def _drain(self, reply: Reply, on: bool) -> None:
        self.operations.drain(on)
        reply.answer(200, TEXT, b"draining\n" if on else b"serving\n")


def _replica_uid(query: str) -> str:
    """Returns the query's `target`. Raises InvalidCallError if it is absent, repeated or empty."""
    try:
        parameters = parse_qsl(query, keep_blank_values=True, max_num_fields=MAX_PARAMETERS)
    except ValueError:
        raise InvalidCallError("too many parameters; allowed: one, target=ID") from None
    values = [value for name, value in parameters if name == "target"]
    if len(values) == 1 and values[0]:
        return values[0]
    raise InvalidCallError(f"target: found {_count(values)}; allowed: one id of a replica, as in ?target=ID")


def _count(values: list[str]) -> str:
    if not values:
        return "none"
    return "an empty one" if len(values) == 1 else f"{len(values)}"
