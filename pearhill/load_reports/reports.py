"""The load that replicas have reported, and the confidence in it, which decays with age.

A report is already old when it arrives: a replica writes it a few times a second, and it takes time to be delivered.
The load also changes, so the reported queue counts half after `HALF_LIFE_US`. This module assumes nothing about
replicas that have not reported; the router has its own evidence of those.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

from pearhill.routing.events import LoadReport, ReportedLoad

HALF_LIFE_US = 400_000  # of a report: prefills take 0.1 to 0.5 s each
MAX_HALF_LIVES = 5  # after which a report has no weight
REFRESH_INTERVAL_US = 300_000  # at which replicas update their reports: queried sooner, they report the same
MAX_QUEUED_KTOKENS = 10_000.0  # a report with more is discarded
TOKENS_PER_KTOKEN = 1000


class _Received(NamedTuple):
    received_at: int
    memory_used: float
    queued_tokens: float


class LoadReports:
    """The latest report of each replica."""

    def __init__(self) -> None:
        self._latest: dict[int, _Received] = {}

    def __len__(self) -> int:
        return len(self._latest)

    def receive(self, now: int, replica: int, load: ReportedLoad | None) -> bool:
        """Store a report. Returns False, and keeps the last one, if there is no report or it is implausible."""
        if load is None or not _is_plausible(load):
            return False
        queued_tokens = load.queued_ktokens * TOKENS_PER_KTOKEN
        self._latest[replica] = _Received(now, min(1.0, load.memory_used), queued_tokens)
        return True

    def is_fresh(self, now: int, replica: int) -> bool:
        """Return whether the last report is so recent that a query would bring nothing new."""
        last = self._latest.get(replica)
        return last is not None and now - last.received_at < REFRESH_INTERVAL_US

    def report(self, now: int, replica: int, ejected_until: int = 0) -> LoadReport:
        """Return the load that is known of the replica now. `ejected_until` is copied into it."""
        last = self._latest.get(replica)
        if last is None:
            return LoadReport(replica, 0.0, 0.0, 0.0, ejected_until)
        confidence = _confidence(now - last.received_at)
        return LoadReport(replica, last.memory_used, last.queued_tokens * confidence, confidence, ejected_until)

    def keep(self, replicas: Collection[int]) -> None:
        """Discard the reports of all replicas except these.

        Where machines are replaced under new names, the reports of old ones would otherwise fill the memory.
        """
        for unlisted in self._latest.keys() - set(replicas):
            del self._latest[unlisted]


def _is_plausible(load: ReportedLoad) -> bool:
    """Return whether the reported values are possible.

    NaN in particular is rejected: it compares as neither more nor less, and would win every choice.
    """
    return all(math.isfinite(value) and value >= 0 for value in load) and load.queued_ktokens <= MAX_QUEUED_KTOKENS


def _confidence(age: int) -> float:
    """Return the confidence in a report of this age, in microseconds: half after a half-life.

    It is 0 after `MAX_HALF_LIVES`, since an old report must not outweigh fresh evidence.
    """
    if age >= MAX_HALF_LIVES * HALF_LIFE_US:
        return 0.0
    confidence: float = 0.5 ** (age / HALF_LIFE_US)
    return confidence
