"""An aggregator's state about one dispatcher that sends it reports, whether the dispatcher is counted or not."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearhill.membership.aggregation_messages import LEASE_US, Report
from pearhill.membership.fragments import FragmentAssembler, SendTimes


@dataclass(slots=True)
class ReporterSession:
    """The reports of one start of a dispatcher. Times are microseconds."""

    incarnation: int
    last_seen: int = 0
    answer_times: SendTimes = field(default_factory=SendTimes)  # by report number: when the answer was sent
    newest_report: int = -1  # newest report of which all parts were received
    fragments: FragmentAssembler[Report] = field(default_factory=FragmentAssembler)

    def lease_end(self, now: int, report: Report) -> int | None:
        """Returns until when the report's work may count, or None if it names no recent answer of this aggregator.

        A report that names no recent answer may have waited in a socket for any length of time, or may be a replay.
        """
        sent_at = self.answer_times.get(report.echo)
        if sent_at is None or now - sent_at >= LEASE_US:
            return None
        return sent_at + LEASE_US

    def add(self, report: Report) -> list[Report] | None:
        """Adds one part. Returns all parts of its report if they are complete and it is the newest, else None."""
        parts = self.fragments.add(report.number, report)
        if not parts or report.number <= self.newest_report:
            return None
        self.newest_report = report.number
        return parts
