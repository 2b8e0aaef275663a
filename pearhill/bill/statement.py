"""Sums the charges of a journal by tenant. The totals are integer sums, so that they equal those of the journal."""

from __future__ import annotations

import csv
import io
import pathlib
from collections.abc import Iterable
from dataclasses import dataclass, fields

from pearhill.budgets import charges as c
from pearhill.budgets.periods import month_name, month_of
from pearhill.durable.recovery import read_frames


@dataclass(slots=True)
class Line:
    """The use of one tenant in one period.

    `prompt`, `cached`, `answer` and `debt` are in tokens; `milli` is the cost in thousandths of a token at the
    prices in force. The names are the columns of the CSV file.
    """

    tenant: str
    requests: int = 0
    prompt: int = 0
    cached: int = 0
    answer: int = 0
    refused: int = 0
    failed: int = 0
    debt: int = 0
    milli: int = 0

    def add(self, charge: c.Charge) -> None:
        """Add one charge, or the rejections of one record."""
        if charge.outcome == c.REJECTED:
            self.refused += charge.count
            return
        self.requests += 1
        self.prompt += charge.prompt
        self.cached += charge.cached
        self.answer += charge.answer
        self.failed += charge.outcome in (c.FAILED, c.TRUNCATED)
        self.debt += charge.debt
        self.milli += charge.milli


COLUMNS = tuple(field.name for field in fields(Line))


@dataclass(slots=True)
class Bill:
    """The charges of one month, and a line for each tenant, sorted by name."""

    period: str  # YYYY-MM
    charges: list[c.Charge]
    lines: list[Line]

    @property
    def total(self) -> Line:
        """Returns the sum of all lines."""
        total = Line("total")
        for line in self.lines:
            for name in COLUMNS[1:]:
                setattr(total, name, getattr(total, name) + getattr(line, name))
        return total

    def csv(self) -> str:
        """Formats the lines and the total as CSV with a header row."""
        out = io.StringIO()
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(("period", *COLUMNS))
        for line in (*self.lines, self.total):
            writer.writerow((self.period, *(getattr(line, name) for name in COLUMNS)))
        return out.getvalue()


def sum_up(charges: Iterable[c.Charge], period: str, tenant: str = "") -> Bill:
    """Returns the bill of a month such as `2026-12`, of one tenant or all. Raises ValueError for an invalid month."""
    month = month_of(period)
    lines: dict[str, Line] = {}
    selected: list[c.Charge] = []
    for charge in charges:
        if charge.month != month or (tenant and charge.tenant != tenant):
            continue
        selected.append(charge)
        lines.setdefault(charge.tenant, Line(charge.tenant)).add(charge)
    return Bill(month_name(month), selected, [lines[name] for name in sorted(lines)])


def read_folder(folder: pathlib.Path) -> list[c.Charge]:
    """Returns every charge of a journal once.

    Raises CorruptJournalError, OSError or ValueError if the journal cannot be read.
    """
    return [c.decode_charge(frame.body) for frame in read_frames(folder)]
