"""The result of running the plan of one seed."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from pearhill.lab.soak.records import SECOND, Violation


@dataclass(slots=True)
class Report:
    """The result of one seed. `logs`: the last log lines of each dispatcher that a violation names."""

    seed: int
    violations: list[Violation]
    outcomes: Counter[str]
    exposure: Counter[str]
    latest_ms: float
    faults: list[str] = field(default_factory=list)
    traces: dict[str, list[str]] = field(default_factory=dict)
    logs: dict[str, list[str]] = field(default_factory=dict)

    def text(self) -> str:
        """Returns a readable summary: the counts and, if there are violations, the faults and each request's trace."""
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations, {dict(self.outcomes)}",
            f"  could have been broken: {dict(sorted(self.exposure.items()))}; latest {self.latest_ms:.0f} ms",
        ]
        if self.violations:
            lines += [f"  fault {line}" for line in self.faults]
            for v in self.violations:
                lines.append(f"  VIOLATION at {v.at / SECOND:.3f} {v.rule} {v.request}: {v.detail}")
                lines.append(f"    {'; '.join(self.traces.get(v.request, ()))}")
        return "\n".join(lines)
