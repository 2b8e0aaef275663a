"""Outcomes of attempts, and the reasons why no replica answers a request."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """The outcome of an attempt. The values appear in log lines and in the keys of `GET /counters`."""

    ANSWERED = "answered"
    PREFILLED = "read"  # the replica holds the state of the prompt; nothing was answered
    ERROR = "error"
    TIMEOUT = "timeout"
    TRUNCATED = "broken"  # the answer began and broke off before its end
    CANCELLED = "cancelled"
    DECLINED = "declined"  # the replica found the request invalid, which says nothing about its own health
    FULL = "full"
    STATE_LOST = "no-state"  # the state to fetch was no longer held
    UNREACHABLE = "unreachable"
    NOT_SENT = "moot"
    WITHDRAWN = "withdrawn"  # the replica was unlisted before the first byte was written; no attempt is spent


# Outcomes that prove that the request was not executed.
NOT_EXECUTED = frozenset(
    (
        Outcome.PREFILLED,
        Outcome.FULL,
        Outcome.STATE_LOST,
        Outcome.UNREACHABLE,
        Outcome.NOT_SENT,
        Outcome.WITHDRAWN,
    )
)


class Reason(enum.StrEnum):
    """The reason for rejecting or failing a request. The values appear in log lines and keys of `GET /counters`."""

    OVER_BUDGET = "over-budget"
    NO_CAPACITY = "no-room"  # no decode or mixed replica has capacity
    PREFILL_TOO_SLOW = "slow-reads"
    NO_REPLICA = "no-replica"
    NO_DECODE_REPLICA = "no-writer"
    ATTEMPTS_USED = "attempts-used"
    RETRY_BUDGET_EMPTY = "retry-budget"
    DEADLINE_EXCEEDED = "deadline"
