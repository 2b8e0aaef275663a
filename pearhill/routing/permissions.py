"""What may be sent, retried, rejected or closed now: one answer for each question.

The router checks before it chooses, the core checks again right before the first byte leaves, and counts what it then
has to forbid as a violation. Nothing here has state: the facts are passed in, and an answer names its reason.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pearhill.routing.settings import Idempotency, RequestClass


class Denied(enum.StrEnum):
    """Why something is not allowed. The values stand under keys of `GET /counters`."""

    ANSWERED = "answered"  # the request has had its final answer, or its client has gone
    ATTEMPT_IN_FLIGHT = "attempt-out"  # another attempt of the request is in flight
    NOT_LISTED = "not-listed"  # the list does not have the replica as one that takes requests
    ATTEMPTS_USED = "attempts-used"
    TOO_LATE = "too-late"  # the time by which it has to be written is over
    MAY_HAVE_EXECUTED = "may-have-run"  # the request must not be executed twice
    OUT_OF_SCOPE = "other-group"  # replicas there do not discard a repeat of what was executed elsewhere
    WINDOW_OVER = "window-over"  # repeats are no longer discarded


@dataclass(frozen=True, slots=True)
class Execution:
    """The first attempt that may have been executed: where, by the endpoint list of then, and when it was sent."""

    zone: int
    cell: int
    sent_at: int


def retry_denial(spec: RequestClass, execution: Execution | None, zone: int, cell: int, now: int) -> Denied | None:
    """Whether the request may be sent to a replica in this zone and cell for execution. None: it may."""
    if execution is None or spec.idempotency == Idempotency.IDEMPOTENT:
        return None
    if spec.idempotency == Idempotency.UNSAFE:
        return Denied.MAY_HAVE_EXECUTED
    same_group = {"all": True, "zone": zone == execution.zone, "cell": cell == execution.cell}
    if not same_group[spec.idempotency_scope]:
        return Denied.OUT_OF_SCOPE
    return None if now < execution.sent_at + spec.idempotency_window else Denied.WINDOW_OVER


def may_reject(spec: RequestClass, may_have_executed: bool) -> bool:
    """Whether the client may get a rejection, which means that a retry is harmless."""
    return (
        not may_have_executed
        or spec.idempotency == Idempotency.IDEMPOTENT
        or (spec.idempotency == Idempotency.KEYED and spec.idempotency_scope == "all")
    )


def attempt_denial(answered: bool, attempt_out: bool, ready: bool, attempts_left: int) -> Denied | None:
    """Whether an attempt may be made at all. None: it may."""
    if answered:
        return Denied.ANSWERED
    if attempt_out:
        return Denied.ATTEMPT_IN_FLIGHT
    if not ready:
        return Denied.NOT_LISTED
    return Denied.ATTEMPTS_USED if attempts_left <= 0 else None


def send_denial(now: int, send_before: int) -> Denied | None:
    """Whether the first byte of an attempt may leave now.

    `send_before`: when its last byte has to be written; 0: whenever.
    """
    return Denied.TOO_LATE if send_before and now >= send_before else None


class ConnectionState(enum.IntEnum):
    """What a client's connection is good for now, the least first: in this order connections make room for others."""

    FINISHED = 0  # it has had its last answer
    UNUSED = 1  # no request has come on it yet
    IDLE = 2  # between two requests
    PARTIAL_REQUEST = 3  # a request has begun and is not complete
    ANSWERING = 4  # a request is being answered


PARTIAL_REQUEST_GRACE_US = 1_000_000  # for which the rest of a partial request is taken to be on its way


def may_close(state: ConnectionState, unread: bool, age: int) -> bool:
    """Whether a connection may be ended to make room for another.

    `unread`: bytes wait on it that have not been read. `age`: microseconds since it came to that use. A request that
    was read, if only in part, is lost when its connection is closed.
    """
    if state == ConnectionState.FINISHED:
        return True
    if state == ConnectionState.ANSWERING or unread:
        return False
    return state != ConnectionState.PARTIAL_REQUEST or age >= PARTIAL_REQUEST_GRACE_US
