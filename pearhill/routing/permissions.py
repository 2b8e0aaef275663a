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
    ATTEMPT_OUT = "attempt-out"  # another attempt of the request is out
    NOT_LISTED = "not-listed"  # the list does not have the replica as one that takes requests
    ATTEMPTS_USED = "attempts-used"
    TOO_LATE = "too-late"  # the time by which it has to be written is over
    MAY_HAVE_RUN = "may-have-run"  # its effect must not happen twice
    OTHER_GROUP = "other-group"  # replicas there do not discard a repeat of what has run elsewhere
    WINDOW_OVER = "window-over"  # repeats are no longer discarded


@dataclass(frozen=True, slots=True)
class Ran:
    """The first attempt that may have run: where, as the list had it then, and when it was sent."""

    zone: int
    cell: int
    at: int


def may_repeat(spec: RequestClass, ran: Ran | None, zone: int, cell: int, now: int) -> Denied | None:
    """Whether the effect may be asked of a replica in this zone and cell. None: it may."""
    if ran is None or spec.idempotency == Idempotency.IDEMPOTENT:
        return None
    if spec.idempotency == Idempotency.UNSAFE:
        return Denied.MAY_HAVE_RUN
    same_group = {"all": True, "zone": zone == ran.zone, "cell": cell == ran.cell}
    if not same_group[spec.idempotency_scope]:
        return Denied.OTHER_GROUP
    return None if now < ran.at + spec.idempotency_window else Denied.WINDOW_OVER


def may_refuse(spec: RequestClass, may_have_run: bool) -> bool:
    """Whether the client may be told that trying again is harmless."""
    return (
        not may_have_run
        or spec.idempotency == Idempotency.IDEMPOTENT
        or (spec.idempotency == Idempotency.KEYED and spec.idempotency_scope == "all")
    )


def may_send(answered: bool, attempt_out: bool, ready: bool, attempts_left: int) -> Denied | None:
    """Whether an attempt may be made at all. None: it may."""
    if answered:
        return Denied.ANSWERED
    if attempt_out:
        return Denied.ATTEMPT_OUT
    if not ready:
        return Denied.NOT_LISTED
    return Denied.ATTEMPTS_USED if attempts_left <= 0 else None


def may_begin(now: int, by: int) -> Denied | None:
    """Whether the first byte of an attempt may leave now. `by`: when its last byte has to be written; 0: whenever."""
    return Denied.TOO_LATE if by and now >= by else None


class Use(enum.IntEnum):
    """What a client's connection is good for now, the least first: in this order connections make room for others."""

    SPENT = 0  # it has had its last answer
    SILENT = 1  # nothing was ever asked on it
    IDLE = 2  # between two requests
    HALF = 3  # a request has begun and is not whole
    NEEDED = 4  # a request is being answered


HALF_SPARED = 1_000_000  # microseconds for which half a request is taken for one whose rest is on its way


def may_close(use: Use, unread: bool, age: int) -> bool:
    """Whether a connection may be ended to make room. `unread`: bytes wait on it that nobody has read; `age`: since it
    came to that use. A request that is read, or half read, and closed over is lost."""
    if use == Use.SPENT:
        return True
    if use == Use.NEEDED or unread:
        return False
    return use != Use.HALF or age >= HALF_SPARED
