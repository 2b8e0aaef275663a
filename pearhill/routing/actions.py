"""Actions that a router asks its node to carry out. Times are integer microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a replica. The attempt ends as TIMEOUT after `attempt_timeout`.

    The attempt ends as WITHDRAWN if its last byte has not been written by the time `send_before` (0: no limit).
    `release_at` is set if the attempt fetches a held state: it is the time at which the state has to be released if the
    attempt has not reached the replica by then (0: the attempt fetches no state).
    """

    request: int
    replica: int
    attempt_timeout: int
    send_before: int = 0
    release_at: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt. The node still reports its `AttemptEnded`."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Give the client its final answer: the request was not executed, and a retry is harmless.

    `retry_after` is the delay before a retry (0: none is stated).
    """

    request: int
    retry_after: int
    reason: str = ""  # for the log


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Give the client its final answer: the request failed, and may or may not have been executed."""

    request: int
    reason: str = ""  # for the log


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Release the state that replicas hold for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class MigrateStream:
    """Close a running stream gracefully. Its client reconnects, and the stream continues at another replica."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer. The node reports `TimerFired` after `delay`."""

    timer: int
    delay: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


@dataclass(frozen=True, slots=True)
class QueryLoad:
    """Query the load of the replicas that are candidates for this request.

    The node reports `LoadKnown`, immediately or once the queries are answered.
    """

    request: int
    replicas: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Send a replica a health check, which also queries its load. The node reports `HealthCheckEnded`."""

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
