"""What may be sent, repeated, refused or closed now: one answer for each question, for whoever asks.

The Router asks before it chooses, the core asks again right before the first byte leaves, and counts what it then has
to forbid as a violation. Nothing here has a memory: the facts are passed in, and an answer names its reason.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pearhill.routing.settings import Idempotency, RequestClass


class Denied(enum.StrEnum):
    """Why not."""

    ANSWERED = "answered"  # the request has had its final answer, or its client has gone
    ATTEMPT_IN_FLIGHT = "attempt-out"  # another attempt of the request is out
    NOT_LISTED = "not-listed"  # the list does not have the replica as one that takes requests
    ATTEMPTS_USED = "attempts-used"
    TOO_LATE = "too-late"  # the time by which it has to be written is over
    MAY_HAVE_EXECUTED = "may-have-run"  # its effect must not happen twice
    OUT_OF_SCOPE = "other-group"  # replicas there do not discard a repeat of what has run elsewhere
    WINDOW_OVER = "window-over"  # repeats are no longer discarded


@dataclass(frozen=True, slots=True)
class Execution:
    """The first attempt that may have run: where, as the list had it then, and when it was sent."""

    zone: int
    cell: int
    sent_at: int


def may_retry(spec: RequestClass, execution: Execution | None, zone: int, cell: int, now: int) -> Denied | None:
    """Whether the effect may be asked of a replica in this zone and cell. None: it may."""
    if execution is None or spec.idempotency == Idempotency.IDEMPOTENT:
        return None
    if spec.idempotency == Idempotency.UNSAFE:
        return Denied.MAY_HAVE_EXECUTED
    same_group = {"all": True, "zone": zone == execution.zone, "cell": cell == execution.cell}
    if not same_group[spec.idempotency_scope]:
        return Denied.OUT_OF_SCOPE
    return None if now < execution.sent_at + spec.idempotency_window else Denied.WINDOW_OVER


def may_reject(spec: RequestClass, may_have_executed: bool) -> bool:
    """Whether the client may be told that trying again is harmless."""
    return (
        not may_have_executed
        or spec.idempotency == Idempotency.IDEMPOTENT
        or (spec.idempotency == Idempotency.KEYED and spec.idempotency_scope == "all")
    )


def may_send(answered: bool, attempt_out: bool, ready: bool, attempts_left: int) -> Denied | None:
    """Whether an attempt may be made at all. None: it may."""
    if answered:
        return Denied.ANSWERED
    if attempt_out:
        return Denied.ATTEMPT_IN_FLIGHT
    if not ready:
        return Denied.NOT_LISTED
    return Denied.ATTEMPTS_USED if attempts_left <= 0 else None


def may_start(now: int, send_before: int) -> Denied | None:
    """Whether the first byte of an attempt may leave now. `by`: when its last byte has to be written; 0: whenever."""
    return Denied.TOO_LATE if send_before and now >= send_before else None


class ConnectionUse(enum.IntEnum):
    """What a client's connection is good for now, the least first: in this order connections make room for others."""

    FINISHED = 0  # it has had its last answer
    UNUSED = 1  # nothing was ever asked on it
    IDLE = 2  # between two requests
    PARTIAL_REQUEST = 3  # a request has begun and is not whole
    ANSWERING = 4  # a request is being answered


PARTIAL_REQUEST_GRACE = 1_000_000  # microseconds for which half a request is taken for one whose rest is on its way


def may_close(use: ConnectionUse, unread: bool, age: int) -> bool:
    """Whether a connection may be ended to make room. `unread`: bytes wait on it that nobody has read; `age`: since it
    came to that use. A request that is read, or half read, and closed over is lost."""
    if use == ConnectionUse.FINISHED:
        return True
    if use == ConnectionUse.ANSWERING or unread:
        return False
    return use != ConnectionUse.PARTIAL_REQUEST or age >= PARTIAL_REQUEST_GRACE
