"""The work of the dispatchers that report to this aggregator, each counted under a lease.

No work is counted twice, because each lease (Gray and Cheriton, 1989) has an end that both sides can determine: a
report names the newest answer that its sender has received, so the report is no older than that answer. Its work counts
until `aggregation_messages.LEASE_US` after that answer was sent, however long the report was in transit. Times are
microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.membership.aggregation_messages import COMBINED_LEASE_US, Report
from pearhill.membership.gauges import unpack
from pearhill.membership.member_directory import Incarnation
from pearhill.membership.slot_table import SlotTable
from pearhill.membership.slot_totals import SlotTotals

NOT_COUNTED = -1


@dataclass(slots=True)
class LeasedWork:
    """One dispatcher's work: codes by slot, in the totals until `lease_end` (or NOT_COUNTED)."""

    incarnation: Incarnation
    counts_from: int  # before this time, its work may be in another aggregator's sums
    lease_end: int = NOT_COUNTED
    report_number: int = -1  # of the report that is in the totals
    loads: bytes = b""
    waits: bytes = b""

    @property
    def is_counted(self) -> bool:
        """Whether the work is in the totals."""
        return self.lease_end >= 0


class ReportedWork:
    """Work by dispatcher, and its totals by slot. `started` is the start of this aggregator that reports must name."""

    def __init__(self, started: int, table: SlotTable, totals: SlotTotals) -> None:
        self.members: dict[str, LeasedWork] = {}
        self.totals = totals
        self._started = started
        self._table = table

    def renew_member(self, now: int, name: str, incarnation: Incarnation, quiet_us: int) -> None:
        """Records a sign of life of a dispatcher that reports here.

        `quiet_us` is how long the dispatcher has not reported to any other aggregator.
        """
        member = self.members.get(name)
        if member is None or (member.incarnation != incarnation and member.lease_end < now):
            if member:  # Work whose lease has ended stays in the totals until the next tick.
                self._withdraw(member)
            self.members[name] = LeasedWork(incarnation, now + max(0, COMBINED_LEASE_US - quiet_us))
            return
        if member.incarnation.started != incarnation.started:
            # While the lease runs here, no other aggregator has begun to count the work.
            self._withdraw(member)
            self.members[name] = LeasedWork(incarnation, now)
            return
        member.incarnation = incarnation

    def count(self, now: int, name: str, incarnation: Incarnation, reports: list[Report], lease_end: int) -> None:
        """Counts the work in all parts of a report, unless another aggregator may still count the dispatcher's work."""
        member = self.members.get(name)
        if member is None or member.incarnation != incarnation or now < member.counts_from:
            return
        loads = bytearray(len(self._table))
        waits = bytearray(len(self._table))
        for report in reports:
            self._add_slots(report, loads, waits)
        for report in reports:
            self._add_unassigned(now, report, loads, waits)
        new_loads = bytes(loads)
        new_waits = bytes(waits)
        self.totals.replace(member.loads, member.waits, new_loads, new_waits)
        member.loads = new_loads
        member.waits = new_waits
        member.report_number = reports[0].number
        member.lease_end = lease_end

    def _add_slots(self, report: Report, loads: bytearray, waits: bytearray) -> None:
        """Adds the gauges by slot if the sender's table is that of this start."""
        if report.known_incarnation != self._started:
            return
        first = report.first_slot
        end = min(first + report.slot_count, len(self._table))
        loads[first:end] = unpack(report.loads, report.slot_count)[: max(0, end - first)]
        waits[first:end] = unpack(report.waits, report.slot_count)[: max(0, end - first)]
        if report.known_version >= self._table.reused_version:
            return
        # The gauge of a reassigned slot is that of its former replica and must not count for the current one.
        for slot in range(first, end):
            if self._table.changed_since(slot, report.known_version):
                loads[slot] = 0
                waits[slot] = 0

    def _add_unassigned(self, now: int, report: Report, loads: bytearray, waits: bytearray) -> None:
        """Adds the gauges of replicas for which the sender has no slot."""
        for replica, waiting, load in report.unassigned:
            slot = self._table.slot_for(now, replica)
            if slot is None:
                continue
            if slot >= len(loads):
                loads.extend(bytes(slot + 1 - len(loads)))
                waits.extend(bytes(slot + 1 - len(waits)))
            if not loads[slot] and not waits[slot]:
                loads[slot] = load
                waits[slot] = waiting

    def remove(self, name: str) -> None:
        """Removes a dispatcher that no longer reports here, and its work."""
        member = self.members.pop(name, None)
        if member:
            self._withdraw(member)

    def expire(self, now: int) -> None:
        """Removes work whose lease has ended from the totals."""
        for member in self.members.values():
            if 0 <= member.lease_end <= now:
                self._withdraw(member)

    def _withdraw(self, member: LeasedWork) -> None:
        if not member.is_counted:
            return
        self.totals.replace(member.loads, member.waits, b"", b"")
        member.loads = b""
        member.waits = b""
        member.lease_end = NOT_COUNTED
        member.report_number = -1

    def counted_reports(self) -> dict[str, tuple[int, int]]:
        """Returns, by dispatcher, its start and the number of its report that is in the totals."""
        return {
            name: (member.incarnation.started, member.report_number)
            for name, member in self.members.items()
            if member.is_counted
        }

    def reporting(self) -> int:
        """Returns how many dispatchers' work is in the totals."""
        return sum(member.is_counted for member in self.members.values())
