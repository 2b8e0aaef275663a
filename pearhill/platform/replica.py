"""The dialect of the platform's replicas: the requests to them, and their load reports and streams."""

from __future__ import annotations

import re
from collections.abc import Mapping

from pearhill.http1 import messages
from pearhill.http1.sse import EventParser, EventStreamError
from pearhill.net.errors import MalformedResponseError
from pearhill.platform.front import Payload
from pearhill.routing.events import ReportedLoad

HOST = "app.svc"
USAGE_TAIL_BYTES = 512  # at the end of a stream, in which its usage stands
STATUSES_WITH_LOAD = (200, 503)  # a replica that is not ready reports its load all the same
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")
_CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')


def parse_load_report(report: str) -> ReportedLoad | None:
    """The replica's load, out of the text of its report.

    None: the text lacks one of them, is torn, or repeats a value, and may be wrong throughout.
    """
    values: dict[str, float] = {}
    for part in report.strip().split(","):
        name, equals, value = part.strip().partition("=")
        if not equals or name in values or not _NUMBER.fullmatch(value):
            return None
        values[name] = float(value)
    if "x0" not in values or "x1" not in values:
        return None
    return ReportedLoad(memory_used=values["x0"], queued_ktokens=values["x1"])


class ReplicaStream:
    """One stream. Its events are passed on as they come, byte for byte; only the usage near its end is read."""

    def __init__(self) -> None:
        self._tail = b""
        self._parser = EventParser()

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens that the replica found cached, as far as the stream has reported."""
        found = _CACHED_TOKENS.findall(self._tail)
        return int(found[-1]) if found else 0

    @property
    def complete(self) -> bool:
        """Whether nothing is missing: the platform's streams are complete with their last chunk, and not before."""
        return False

    def feed(self, data: bytes) -> bytes:
        """The complete events to pass on now: a stream may break off in the middle of one.

        MalformedResponseError: these are no events.
        """
        try:
            ready = b"".join(event.raw for event in self._parser.feed(data))
        except EventStreamError as e:
            raise MalformedResponseError(str(e)) from None
        self._tail = (self._tail + ready)[-USAGE_TAIL_BYTES:]
        return ready

    def may_end(self) -> bool:
        """Whether the last chunk may come here."""
        return self._parser.between_events


class ReplicaDialect:
    """What is written to the platform's replicas, and what their answers mean."""

    def request(self, payload: Payload, replica: int, remaining_ms: int) -> bytes:
        """The request of one attempt; `remaining_ms` is the time that is left to it."""
        headers = [
            ("Request-Id", payload.id),
            ("Request-Timeout-Ms", str(remaining_ms)),
            ("Content-Type", payload.content_type),
        ]
        if payload.idempotency_key:  # without it a repeat of an idempotent request would run twice
            headers.append(("Idempotency-Key", payload.idempotency_key))
        return messages.request(payload.method, payload.target, HOST, headers, payload.body)

    def release(self, payload: Payload, replica: int) -> bytes:
        """The call that releases the state of a request."""
        return messages.request("DELETE", f"/state/{payload.id}", HOST)

    def health_check(self) -> bytes:
        """The call for a load report."""
        return messages.request("GET", "/status/load", HOST)

    def load(self, status: int, body: bytes) -> ReportedLoad | None:
        """What a health check reports (see `parse_load_report`). None: nothing that can be used."""
        if status not in STATUSES_WITH_LOAD:
            return None
        return parse_load_report(body.decode("latin-1"))

    def stream(self, payload: Payload) -> ReplicaStream:
        """A reader for the stream that answers this request."""
        return ReplicaStream()

    def is_stream(self, headers: Mapping[str, str]) -> bool:
        """Whether the body of a 200 with these headers is a stream: the platform's always is."""
        return True

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """What another status means: nothing beyond the protocol's own rules."""
