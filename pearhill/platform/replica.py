"""What is said to the platform's replicas."""

from __future__ import annotations

import re
from collections.abc import Mapping

from pearhill.http1 import messages
from pearhill.http1.sse import BadEvents, EventParser
from pearhill.net.errors import MalformedResponseError
from pearhill.platform.front import Payload

HOST = "app.svc"
TAIL = 512  # bytes at the end of a stream in which its usage stands
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")
_KEPT = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')


def load_of(report: str) -> tuple[float, float] | None:
    """The memory share and the thousands of tokens waiting, out of a load report. None: it lacks one, or is torn, or
    says something twice, and may be wrong throughout."""
    values: dict[str, float] = {}
    for part in report.strip().split(","):
        name, equals, value = part.strip().partition("=")
        if not equals or name in values or not _NUMBER.fullmatch(value):
            return None
        values[name] = float(value)
    return (values["x0"], values["x1"]) if "x0" in values and "x1" in values else None


class ReplicaStream:
    """Its events are passed on as they come, byte for byte; only the usage near its end is read."""

    def __init__(self) -> None:
        self._tail = b""
        self._parser = EventParser()

    @property
    def cached_tokens(self) -> int:
        found = _KEPT.findall(self._tail)
        return int(found[-1]) if found else 0

    @property
    def whole(self) -> bool:
        return False  # the platform's streams are whole with their last chunk, and not before

    def feed(self, data: bytes) -> bytes:
        # Danger: a stream may be spoilt in the middle of an event. Only whole ones go on.
        try:
            ready = b"".join(event.raw for event in self._parser.feed(data))
        except BadEvents as e:
            raise MalformedResponseError(str(e)) from None
        self._tail = (self._tail + ready)[-TAIL:]
        return ready

    def ends_well(self) -> bool:
        return self._parser.between_events


class ReplicaDialect:
    def request(self, payload: Payload, engine: int, wait_ms: int) -> bytes:
        headers = [
            ("Request-Id", payload.id),
            ("Request-Timeout-Ms", str(wait_ms)),
            ("Content-Type", payload.content_type),
        ]
        if payload.idempotency_key:  # Danger: without it a repeat of a keyed request runs twice.
            headers.append(("Idempotency-Key", payload.idempotency_key))
        return messages.request(payload.method, payload.target, HOST, headers, payload.body)

    def release(self, payload: Payload, engine: int) -> bytes:
        return messages.request("DELETE", f"/state/{payload.id}", HOST)

    def health_check(self) -> bytes:
        return messages.request("GET", "/status/load", HOST)

    def load(self, status: int, body: bytes) -> tuple[float, float] | None:
        return load_of(body.decode("latin-1")) if status in (200, 503) else None

    def stream(self, payload: Payload) -> ReplicaStream:
        return ReplicaStream()

    def accepts(self, headers: Mapping[str, str]) -> bool:
        return True

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Nothing beyond the protocol's own words."""
