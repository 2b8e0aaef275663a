"""Actions: what a router has its node do. Times are integer microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a replica; the attempt ends as TIMEOUT after `attempt_timeout`.

    Where its last byte has not been written by the time `send_before`, it is WITHDRAWN; 0: whenever. `release_at`: it
    fetches a state, which has to be released at this time if the attempt has not arrived; 0: it fetches none.
    """

    request: int
    replica: int
    attempt_timeout: int
    send_before: int = 0
    release_at: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its `AttemptEnded` still comes."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not executed, and a retry is harmless (after `retry_after`, where above 0)."""

    request: int
    retry_after: int
    reason: str = ""  # for the log


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, nothing is promised."""

    request: int
    reason: str = ""  # for the log


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Release whatever replicas hold for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class MigrateStream:
    """Close a running stream in order; its client reconnects and the stream continues at another replica."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer: `TimerFired` follows after `delay`."""

    timer: int
    delay: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log."""

    text: str


@dataclass(frozen=True, slots=True)
class QueryLoad:
    """The choice for this request lies between these replicas. A `LoadKnown` follows, at once or soon."""

    request: int
    replicas: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Send a replica a health check, which queries its load; a `HealthCheckEnded` follows."""

    replica: int


Action = (
    SendAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | ReleaseState
    | MigrateStream
    | SetTimer
    | LogMessage
    | QueryLoad
    | SendHealthCheck
)
