"""What a backend has to know of one protocol of replicas: what is sent, and what a response means."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from pearhill.net.health_checks import HealthCheckDialect
from pearhill.net.releases import ReleaseDialect
from pearhill.routing.outcomes import Outcome


class Stream(Protocol):
    """One response's stream, fed what comes."""

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens found cached, as far as the stream has reported."""

    def feed(self, data: bytes) -> bytes:
        """The part of the stream to forward now. MalformedResponseError: the rest cannot be trusted."""

    @property
    def complete(self) -> bool:
        """Nothing is missing, whatever the connection does next."""

    def may_end(self) -> bool:
        """Whether the last chunk may come here."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a response that is no stream means in its dialect. `retry_after`: microseconds for which the replica wants
    no further request; `replica_error`: the client's final answer, in the dialect's own form."""

    outcome: Outcome
    retry_after: int = 0
    replica_error: Any = None


class Dialect(HealthCheckDialect, ReleaseDialect, Protocol):
    """The messages of one protocol."""

    def request(self, payload: Any, replica: int, remaining_ms: int) -> bytes:
        """An attempt's request; `remaining_ms`: the client's time that is left."""

    def stream(self, payload: Any) -> Stream:
        """What reads the response to this request."""

    def is_stream(self, headers: Mapping[str, str]) -> bool:
        """Whether the body of a 200 with these headers is to be read as a stream."""

    def verdict(self, status: int, headers: Mapping[str, str], body: bytes) -> Verdict | None:
        """What a response other than 200 and 202 means. None: as the platform's protocol has it."""
