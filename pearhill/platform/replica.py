"""The protocol of the platform's replicas: the requests to them, their load reports and their streams."""

from __future__ import annotations

import re
from collections.abc import Mapping

from pearhill.http1 import messages
from pearhill.http1.sse import EventParser, EventStreamError
from pearhill.net.errors import MalformedResponseError
from pearhill.platform.front import Payload
from pearhill.routing.events import ReportedLoad

HOST = "app.svc"
USAGE_TAIL_BYTES = 512  # at the end of a stream, which contain its usage
STATUSES_WITH_LOAD = (200, 503)  # a replica that is not ready (503) still reports its load
_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?([eE][+-]?\d{1,2})?")
_CACHED_TOKENS = re.compile(rb'"cached_tokens"\s*:\s*(\d+)')


def parse_load_report(report: str) -> ReportedLoad | None:
    """Parse the text of a replica's load report.

    Returns None if the text lacks a required value, is malformed, or repeats a value: then none of it can be trusted.
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
    """Reads one stream. Its events are forwarded byte for byte; only the usage near its end is parsed."""

    def __init__(self) -> None:
        self._tail = b""
        self._parser = EventParser()

    @property
    def cached_tokens(self) -> int:
        """Return the number of cached prompt tokens that the stream has reported so far."""
        matches = _CACHED_TOKENS.findall(self._tail)
        return int(matches[-1]) if matches else 0

    @property
    def buffered_bytes(self) -> int:
        """Return the size in bytes of the incomplete event that waits for its end."""
        return self._parser.buffered_bytes

    @property
    def complete(self) -> bool:
        """Return whether the events show that the stream is complete.

        Always false: a stream of the platform is complete only with its last chunk.
        """
        return False

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes, to be forwarded now. A partial event is kept until it is complete.

        Raises MalformedResponseError if the bytes are not valid events.
        """
        try:
            complete_events = b"".join(event.raw for event in self._parser.feed(data))
        except EventStreamError as e:
            raise MalformedResponseError(str(e)) from None
        self._tail = (self._tail + complete_events)[-USAGE_TAIL_BYTES:]
        return complete_events

    def may_end(self) -> bool:
        """Return whether the stream may end here."""
        return self._parser.between_events


class ReplicaDialect:
    """Writes the requests to the platform's replicas and interprets their answers."""

    def request(self, payload: Payload, replica: int, remaining_ms: int) -> bytes:
        """Return the request of one attempt. `remaining_ms`: the time left for it."""
        headers = [
            ("Request-Id", payload.id),
            ("Request-Timeout-Ms", str(remaining_ms)),
            ("Content-Type", payload.content_type),
        ]
        if payload.idempotency_key:  # without the key a replica would execute a repeated request twice
            headers.append(("Idempotency-Key", payload.idempotency_key))
        return messages.request(payload.method, payload.target, HOST, headers, payload.body)

    def release(self, payload: Payload, replica: int) -> bytes:
        """Return the call that releases the held state of a request."""
        return messages.request("DELETE", f"/state/{payload.id}", HOST)

    def health_check(self) -> bytes:
        """Return the call that requests a load report."""
        return messages.request("GET", "/status/load", HOST)

    def load(self, status: int, body: bytes) -> ReportedLoad | None:
        """Return the load that a health check reports (see `parse_load_report`), or None if the answer has none."""
        if status not in STATUSES_WITH_LOAD:
            return None
        return parse_load_report(body.decode("latin-1"))

    def stream(self, payload: Payload) -> ReplicaStream:
        """Return a reader for the stream that answers this request."""
        return ReplicaStream()

    def is_stream(self, headers: Mapping[str, str]) -> bool:
        """Return whether the body of a 200 with these headers is a stream. The platform's always is."""
        return True

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> None:
        """Interpret another status. Returns None: the platform has no rules beyond those of the protocol."""
