"""The interface of a dialect, which builds requests and interprets responses in one protocol of replicas."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from pearhill.net.health_checks import HealthCheckDialect
from pearhill.net.releases import ReleaseDialect
from pearhill.routing.outcomes import Outcome


class Stream(Protocol):
    """The parser of one response's stream."""

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens found cached, as the stream has reported so far."""

    def feed(self, data: bytes) -> bytes:
        """Parse bytes, and return the part of the stream to forward now. Raises MalformedResponseError if the rest of
        the stream cannot be trusted."""

    @property
    def buffered_bytes(self) -> int:
        """The size of what was received and waits for the end of its event."""

    @property
    def complete(self) -> bool:
        """Whether the stream is complete, whatever happens on the connection next."""

    def may_end(self) -> bool:
        """Whether the stream is complete if the response's last chunk follows now."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The meaning of a response that is not a stream. `retry_after` is for how many microseconds the replica accepts no
    further request; `replica_error` is the client's final answer, in the dialect's own form."""

    outcome: Outcome
    retry_after: int = 0
    replica_error: Any = None


class Dialect(HealthCheckDialect, ReleaseDialect, Protocol):
    """Builds and interprets the messages of one protocol."""

    def request(self, payload: Any, replica: int, remaining_ms: int) -> bytes:
        """Build an attempt's request. `remaining_ms` is the time that the client has left."""

    def stream(self, payload: Any) -> Stream:
        """Return a parser for the response to this request."""

    def is_stream(self, headers: Mapping[str, str]) -> bool:
        """Whether the body of a 200 with these headers is parsed as a stream."""

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> Verdict | None:
        """Interpret a response other than 200 and 202. Returns None if the rules of the platform's protocol apply."""
