"""What an aggregator keeps of one dispatcher that sends it reports, whether it is counted or not."""

from __future__ import annotations

from dataclasses import dataclass, field

from pearhill.membership.aggregation_messages import LEASE_US, Report
from pearhill.membership.fragments import FragmentAssembler, SendTimes


@dataclass(slots=True)
class ReporterSession:
    """One start of a dispatcher. Times are microseconds."""

    incarnation: int
    last_seen: int = 0
    answered: SendTimes = field(default_factory=SendTimes)  # by report: when its answer was sent
    newest_report: int = -1  # of which all parts came
    fragments: FragmentAssembler[Report] = field(default_factory=FragmentAssembler)

    def lease_end(self, now: int, report: Report) -> int | None:
        """Until when the report's work may count. None: it answers no recent answer of this aggregator.

        A report that no answer called for may have waited in a socket for any time, or be replayed by anybody.
        """
        sent_at = self.answered.get(report.echo)
        if sent_at is None or now - sent_at >= LEASE_US:
            return None
        return sent_at + LEASE_US

    def add(self, report: Report) -> list[Report] | None:
        """All parts of a report that is newer than any before, once the last of them comes."""
        parts = self.fragments.add(report.number, report)
        if not parts or report.number <= self.newest_report:
            return None
        self.newest_report = report.number
        return parts
