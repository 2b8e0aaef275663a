"""Rules for what may be sent, retried, rejected or closed.

The router applies them before it chooses. The core applies them again immediately before the first byte is written, and
counts what it has to deny then as a violation. The functions have no state: the facts are passed in, and a denial
states its reason.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pearhill.routing.settings import Idempotency, RequestClass


class Denied(enum.StrEnum):
    """The reason for a denial. The values appear in the keys of `GET /counters`."""

    ANSWERED = "answered"  # the request has had its final answer, or its client has disconnected
    ATTEMPT_IN_FLIGHT = "attempt-out"  # another attempt of the request is in flight
    NOT_LISTED = "not-listed"  # the endpoint list does not state the replica as ready
    ATTEMPTS_USED = "attempts-used"
    TOO_LATE = "too-late"  # the time by which it has to be written has passed
    MAY_HAVE_EXECUTED = "may-have-run"  # the request must not be executed twice
    OUT_OF_SCOPE = "other-group"  # replicas there do not discard duplicates of requests executed elsewhere
    WINDOW_OVER = "window-over"  # replicas no longer discard duplicates


@dataclass(frozen=True, slots=True)
class Execution:
    """The first attempt that may have been executed.

    `zone` and `cell` are those of its replica in the endpoint list at that time, `sent_at` is when it was sent.
    """

    zone: int
    cell: int
    sent_at: int


def retry_denial(spec: RequestClass, execution: Execution | None, zone: int, cell: int, now: int) -> Denied | None:
    """Return why the request may not be sent for execution to a replica in this zone and cell, or None if it may."""
    if execution is None or spec.idempotency == Idempotency.IDEMPOTENT:
        return None
    if spec.idempotency == Idempotency.UNSAFE:
        return Denied.MAY_HAVE_EXECUTED
    same_group = {"all": True, "zone": zone == execution.zone, "cell": cell == execution.cell}
    if not same_group[spec.idempotency_scope]:
        return Denied.OUT_OF_SCOPE
    return None if now < execution.sent_at + spec.idempotency_window else Denied.WINDOW_OVER


def may_reject(spec: RequestClass, may_have_executed: bool) -> bool:
    """Return whether the client may get a rejection, which states that a retry is harmless."""
    return (
        not may_have_executed
        or spec.idempotency == Idempotency.IDEMPOTENT
        or (spec.idempotency == Idempotency.KEYED and spec.idempotency_scope == "all")
    )


def attempt_denial(answered: bool, has_attempt_in_flight: bool, ready: bool, attempts_left: int) -> Denied | None:
    """Return why no attempt may be made, or None if one may."""
    if answered:
        return Denied.ANSWERED
    if has_attempt_in_flight:
        return Denied.ATTEMPT_IN_FLIGHT
    if not ready:
        return Denied.NOT_LISTED
    return Denied.ATTEMPTS_USED if attempts_left <= 0 else None


def send_denial(now: int, send_before: int) -> Denied | None:
    """Return why the first byte of an attempt may not be written now, or None if it may.

    `send_before` is the time by which the last byte has to be written (0: no limit).
    """
    return Denied.TOO_LATE if send_before and now >= send_before else None


class ConnectionState(enum.IntEnum):
    """The state of a client's connection, in the order in which connections are closed to free capacity for others."""

    FINISHED = 0  # its last answer has been sent
    FRAGMENTED_REQUEST = 1  # a request has begun in very many, very small parts, and is not complete
    UNUSED = 2  # no request has been received on it yet
    IDLE = 3  # between two requests
    PARTIAL_REQUEST = 4  # a request has begun and is not complete
    ANSWERING = 5  # a request is being answered


PARTIAL_REQUEST_GRACE_US = 1_000_000  # time for which the rest of a partial request is assumed to be in transit


def may_close(state: ConnectionState, unread: bool, age: int) -> bool:
    """Return whether a connection may be closed to free its place for another.

    `unread` tells whether received bytes have not been read yet. `age` is the time since its current state began, in
    microseconds. Closing a connection loses a request that was read, even in part. One in very many small parts is
    rejected before, whether the rest of it has been received or not: reading it may take longer than many others.
    """
    if state in (ConnectionState.FINISHED, ConnectionState.FRAGMENTED_REQUEST):
        return True
    if state == ConnectionState.ANSWERING or unread:
        return False
    return state != ConnectionState.PARTIAL_REQUEST or age >= PARTIAL_REQUEST_GRACE_US
