"""The reports that a dispatcher sent recently, and its own work that aggregators' sums may still include."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from pearhill.membership.aggregation_messages import COMBINED_LEASE_US

MAX_REMEMBERED_REPORTS = 64
MAX_REPORT_AGE_US = 5_000_000
SUMS_SLACK_US = 200_000  # sums may have been computed slightly before the report that they answer
NEVER_SENT_AGE_US = 6_000_000  # exceeds the time for which sums can include a report to another aggregator


class GaugePair(NamedTuple):
    """Codes of this dispatcher's own tokens at a replica: the queued ones, and all."""

    waiting: int
    load: int


OwnGauges = dict[int, GaugePair]  # by replica
NO_GAUGE = GaugePair(0, 0)


@dataclass(slots=True)
class SentReport:
    """A report: when it was sent, to which aggregator, and the gauges that it contained."""

    sent_at: int
    to: str
    gauges: OwnGauges


class SentReports:
    """The recent reports by number. `newest_number` is the number of the newest one. Times are microseconds."""

    def __init__(self, started: int, newest_number: int) -> None:
        self.newest_number = newest_number
        self._started = started
        self._reports: OrderedDict[int, SentReport] = OrderedDict()
        self._last_sent_to: dict[str, int] = {}  # by aggregator
        self._gauges_sent_elsewhere: OwnGauges = {}  # the largest that were reported to aggregators used before

    def next_number(self) -> int:
        """Returns the number of the next report."""
        self.newest_number += 1
        return self.newest_number

    def add(self, now: int, to: str, gauges: OwnGauges) -> None:
        """Records a report that is sent now.

        Drops reports beyond MAX_REMEMBERED_REPORTS or MAX_REPORT_AGE_US: sums that old contain other gauges.
        """
        self._reports[self.next_number()] = SentReport(now, to, gauges)
        self._last_sent_to[to] = now
        while len(self._reports) > MAX_REMEMBERED_REPORTS or self._oldest_age(now) > MAX_REPORT_AGE_US:
            self._reports.popitem(last=False)

    def _oldest_age(self, now: int) -> int:
        return now - next(iter(self._reports.values())).sent_at

    def get(self, number: int) -> SentReport | None:
        """Returns the report, or None if it was never sent or has been dropped."""
        return self._reports.get(number)

    def change_aggregator(self, aggregator: str) -> None:
        """Records that reports now go to `aggregator`, and retains the largest gauges that the others were sent."""
        largest: OwnGauges = {}
        for report in self._reports.values():
            if report.to == aggregator:
                continue
            for replica, gauge in report.gauges.items():
                known = largest.get(replica, NO_GAUGE)
                largest[replica] = GaugePair(max(gauge.waiting, known.waiting), max(gauge.load, known.load))
        self._gauges_sent_elsewhere = largest

    def gauges_sent_elsewhere(self, sums_requested_at: int, aggregator: str) -> OwnGauges:
        """Returns own gauges that an aggregator's sums may still include through aggregators used before."""
        if sums_requested_at >= self._last_sent_elsewhere(aggregator) + COMBINED_LEASE_US + SUMS_SLACK_US:
            return {}
        return self._gauges_sent_elsewhere

    def quiet_ms(self, now: int, aggregator: str) -> int:
        """Returns how long no other aggregator can have received a report under this dispatcher's name.

        The time before this start is not included, because an earlier start may have sent reports then.
        """
        return max(0, now - max(self._started, self._last_sent_elsewhere(aggregator))) // 1000

    def _last_sent_elsewhere(self, aggregator: str) -> int:
        times = (sent_at for name, sent_at in self._last_sent_to.items() if name != aggregator)
        return max(times, default=-NEVER_SENT_AGE_US)
