"""The results of the cases, and the Markdown page that lists them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from pearhill.conformance.case import Case


@dataclass(frozen=True, slots=True)
class CaseResult:
    """The result of one case."""

    case: Case
    failure: str  # a description of the failure; empty if the case holds


@dataclass(slots=True)
class Report:
    """The results of a run, in the order of the cases."""

    results: list[CaseResult] = field(default_factory=list)

    @property
    def passed(self) -> list[CaseResult]:
        """The cases that hold."""
        return [result for result in self.results if not result.failure]

    @property
    def failed(self) -> list[CaseResult]:
        """The cases that do not hold."""
        return [result for result in self.results if result.failure]

    def markdown(self) -> str:
        """Returns the text of the page docs/CONFORMANCE.md."""
        groups = Counter(result.case.group for result in self.results)
        lines = [
            "# Conformance",
            "",
            "Written by `pearhill conform --write docs/CONFORMANCE.md`; not by hand.",
            "",
            f"{len(self.passed)} of {len(self.results)} cases hold.",
            "",
            "| group | cases |",
            "| --- | --- |",
            *(f"| {group} | {count} |" for group, count in groups.items()),
        ]
        for group in groups:
            lines += ["", f"## {group}", "", "| case | guards against | holds |", "| --- | --- | --- |"]
            lines += [_row(result) for result in self.results if result.case.group == group]
        return "\n".join(lines) + "\n"


def _row(result: CaseResult) -> str:
    name = result.case.name.partition("/")[2]
    holds = f"no: {result.failure}" if result.failure else "yes"
    return f"| {name} | {_cell(result.case.guards_against)} | {_cell(holds)} |"


def _cell(text: str) -> str:
    return text.replace("|", "\\|").replace("\n", " ")
