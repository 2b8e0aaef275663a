"""From a journal's charges to what a tenant pays. Totals are sums of whole numbers: they equal the journal's."""

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
    """What one tenant used in one period.

    `prompt`, `cached`, `answer` and `debt` are tokens, `milli` is thousandths of a token at the prices in force. The
    names are the columns of the CSV file.
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
        """Count one charge."""
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
    """The charges of one month, and a line for each tenant, in the order of their names."""

    period: str  # as in 2026-12
    charges: list[c.Charge]
    lines: list[Line]

    @property
    def total(self) -> Line:
        """The sum of all lines."""
        total = Line("total")
        for line in self.lines:
            for name in COLUMNS[1:]:
                setattr(total, name, getattr(total, name) + getattr(line, name))
        return total

    def csv(self) -> str:
        """The lines and the total as CSV, headed by the columns' names."""
        out = io.StringIO()
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(("period", *COLUMNS))
        for line in (*self.lines, self.total):
            writer.writerow((self.period, *(getattr(line, name) for name in COLUMNS)))
        return out.getvalue()


def sum_up(charges: Iterable[c.Charge], period: str, tenant: str = "") -> Bill:
    """The bill of a month (`2026-12`), of one tenant or all. ValueError: the period is no month."""
    month = month_of(period)
    lines: dict[str, Line] = {}
    kept: list[c.Charge] = []
    for charge in charges:
        if charge.month != month or (tenant and charge.tenant != tenant):
            continue
        kept.append(charge)
        lines.setdefault(charge.tenant, Line(charge.tenant)).add(charge)
    return Bill(month_name(month), kept, [lines[name] for name in sorted(lines)])


def read_folder(folder: pathlib.Path) -> list[c.Charge]:
    """Every charge of a journal, once each. CorruptJournalError, OSError, ValueError: it cannot be read."""
    return [c.decode_charge(one.body) for one in read_frames(folder)]
