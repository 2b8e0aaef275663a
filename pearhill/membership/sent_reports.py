"""The reports that a dispatcher sent lately, and what of its own work may still be in somebody's sums."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from pearhill.membership.aggregation_messages import COMBINED_LEASE_US

MAX_REMEMBERED_REPORTS = 64
MAX_REPORT_AGE_US = 5_000_000
SUMS_SLACK_US = 200_000  # sums may be made a little before the report that they answer
LONG_AGO_US = 6_000_000  # longer than any sums are used after the last report to another aggregator


class GaugePair(NamedTuple):
    """Codes of this dispatcher's own tokens at a replica: those still queued, and all."""

    waiting: int
    load: int


OwnGauges = dict[int, GaugePair]  # by replica
NO_GAUGE = GaugePair(0, 0)


@dataclass(slots=True)
class SentReport:
    """A report: when it was sent, to which aggregator, and which gauges it held."""

    sent_at: int
    to: str
    gauges: OwnGauges


class SentReports:
    """`newest_number`: of the newest report; they are numbered in sequence. Times are microseconds."""

    def __init__(self, started: int, newest_number: int) -> None:
        self.newest_number = newest_number
        self._started = started
        self._reports: OrderedDict[int, SentReport] = OrderedDict()
        self._last_sent_to: dict[str, int] = {}  # by aggregator
        self._gauges_elsewhere: OwnGauges = {}  # the most that was reported to aggregators left since

    def next_number(self) -> int:
        """The number of the next report."""
        self.newest_number += 1
        return self.newest_number

    def add(self, now: int, to: str, gauges: OwnGauges) -> None:
        """A report goes out. Reports are dropped after a while: sums that old hold other gauges than these."""
        self._reports[self.next_number()] = SentReport(now, to, gauges)
        self._last_sent_to[to] = now
        while len(self._reports) > MAX_REMEMBERED_REPORTS or self._oldest_age(now) > MAX_REPORT_AGE_US:
            self._reports.popitem(last=False)

    def _oldest_age(self, now: int) -> int:
        return now - next(iter(self._reports.values())).sent_at

    def get(self, number: int) -> SentReport | None:
        """None: it was never sent, or too long ago."""
        return self._reports.get(number)

    def move_to(self, aggregator: str) -> None:
        """From now on reports go to another aggregator: keep the largest gauges that the others were sent."""
        largest: OwnGauges = {}
        for report in self._reports.values():
            if report.to == aggregator:
                continue
            for replica, gauge in report.gauges.items():
                known = largest.get(replica, NO_GAUGE)
                largest[replica] = GaugePair(max(gauge.waiting, known.waiting), max(gauge.load, known.load))
        self._gauges_elsewhere = largest

    def gauges_elsewhere(self, sums_asked_at: int, aggregator: str) -> OwnGauges:
        """Own gauges that may still be in an aggregator's sums by way of others that were left."""
        if sums_asked_at >= self._last_sent_elsewhere(aggregator) + COMBINED_LEASE_US + SUMS_SLACK_US:
            return {}
        return self._gauges_elsewhere

    def quiet_ms(self, now: int, aggregator: str) -> int:
        """How long no other aggregator can have had a report of this name: an earlier start of it may have sent some,
        up to this start."""
        return max(0, now - max(self._started, self._last_sent_elsewhere(aggregator))) // 1000

    def _last_sent_elsewhere(self, aggregator: str) -> int:
        times = (sent_at for name, sent_at in self._last_sent_to.items() if name != aggregator)
        return max(times, default=-LONG_AGO_US)
