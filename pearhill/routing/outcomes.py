"""How an attempt ends, and why a request is not answered by a replica."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """How an attempt ends. The values stand in log lines and under the keys of `GET /counters`."""

    ANSWERED = "answered"
    PREFILLED = "read"  # the state of the prompt waits at the replica; nothing was answered
    ERROR = "error"
    TIMEOUT = "timeout"
    TRUNCATED = "broken"  # the answer began and ended before its end
    CANCELLED = "cancelled"
    DECLINED = "declined"  # the replica found fault with the request itself; no sign of its own health
    FULL = "full"
    STATE_LOST = "no-state"  # there was no state left to fetch
    UNREACHABLE = "unreachable"
    NOT_SENT = "moot"
    WITHDRAWN = "withdrawn"  # the replica left the list before the first byte was written; no attempt is spent


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
    """Why the router rejects or fails a request. The values stand in log lines and under keys of `GET /counters`."""

    OVER_BUDGET = "over-budget"
    NO_CAPACITY = "no-room"  # no decode or mixed replica has room
    PREFILL_TOO_SLOW = "slow-reads"
    NO_REPLICA = "no-replica"
    NO_DECODE_REPLICA = "no-writer"
    ATTEMPTS_USED = "attempts-used"
    RETRY_BUDGET_EMPTY = "retry-budget"
    DEADLINE_EXCEEDED = "deadline"
