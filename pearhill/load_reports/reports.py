"""What replicas have reported of their load, and how far that still holds.

A report is old when it arrives (a replica writes it a few times a second, and it travels), and work comes and goes:
what it says of the queue counts half after `HALF_LIFE_US`. Nothing is assumed here of replicas that have reported
nothing; the router has its own evidence of those.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

from pearhill.routing.events import LoadReport, ReportedLoad

HALF_LIFE_US = 400_000  # of a report: prefills take 0.1 to 0.5 s each
MAX_HALF_LIVES = 5  # after which a report counts nothing
REFRESH_INTERVAL_US = 300_000  # of replicas' reports: queried again sooner, they would report the same
MAX_QUEUED_KTOKENS = 10_000.0  # a report of more is discarded
TOKENS_PER_KTOKEN = 1000


class _Received(NamedTuple):
    at: int
    memory_used: float
    queued_tokens: float


class Reports:
    """The last report of each replica."""

    def __init__(self) -> None:
        self._last: dict[int, _Received] = {}

    def __len__(self) -> int:
        return len(self._last)

    def receive(self, now: int, replica: int, load: ReportedLoad | None) -> bool:
        """Take in a report. False: there is none, or it cannot be true, and the last one stays."""
        if load is None or not _is_plausible(load):
            return False
        queued_tokens = load.queued_ktokens * TOKENS_PER_KTOKEN
        self._last[replica] = _Received(now, min(1.0, load.memory_used), queued_tokens)
        return True

    def fresh(self, now: int, replica: int) -> bool:
        """Whether a query would bring nothing new."""
        last = self._last.get(replica)
        return last is not None and now - last.at < REFRESH_INTERVAL_US

    def report(self, now: int, replica: int, ejected_until: int = 0) -> LoadReport:
        """What is known of the replica now; `ejected_until` is passed on."""
        last = self._last.get(replica)
        if last is None:
            return LoadReport(replica, 0.0, 0.0, 0.0, ejected_until)
        confidence = _confidence(now - last.at)
        return LoadReport(replica, last.memory_used, last.queued_tokens * confidence, confidence, ejected_until)

    def keep(self, replicas: Collection[int]) -> None:
        """Forget all but these: where machines come and go under new names, the rest would fill the memory."""
        for gone in self._last.keys() - set(replicas):
            del self._last[gone]


def _is_plausible(load: ReportedLoad) -> bool:
    """No NaN in particular: it compares as neither more nor less, and would win every choice."""
    return all(math.isfinite(value) and value >= 0 for value in load) and load.queued_ktokens <= MAX_QUEUED_KTOKENS


def _confidence(age: int) -> float:
    """Half after a half-life; 0 after a few, since an old report must not outweigh fresh evidence."""
    if age >= MAX_HALF_LIVES * HALF_LIFE_US:
        return 0.0
    confidence: float = 0.5 ** (age / HALF_LIFE_US)
    return confidence
