"""What all rules of the oracle share: the requests' records, the faults' spans, and the violations found so far."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from pearhill.lab.soak.endings import ProcessEnds
from pearhill.lab.soak.lateness import Lateness
from pearhill.lab.soak.records import SECOND, RequestRecord, Violation
from pearhill.lab.soak.slow_start import PlatformLimits

OPEN_END_US = 10**12  # of a span that is not over, after its beginning


class FaultSpans:
    """When a fault was in force, by the replica or dispatcher that it met. Times are microseconds."""

    def __init__(self) -> None:
        self._spans: dict[str, list[list[int]]] = {}

    def mark(self, at: int, name: str, on: bool) -> None:
        """The fault begins there, or the one that began last ends."""
        if on:
            self._spans.setdefault(name, []).append([at, at + OPEN_END_US])
        elif name in self._spans:
            self._spans[name][-1][1] = at

    def overlap(self, name: str, since: int, until: int, after: int = 0) -> bool:
        """Whether the fault was in force there within these times, or had ended less than `after` before them."""
        return any(begin <= until and end + after >= since for begin, end in self._spans.get(name, ()))


@dataclass(slots=True)
class OracleState:
    """`exposure` counts how often each rule could have been broken: nothing found is not nothing tried."""

    limits: PlatformLimits
    lateness: Lateness
    requests: dict[str, RequestRecord] = field(default_factory=dict)
    open_requests: set[str] = field(default_factory=set)  # those that have not ended
    process_ends: ProcessEnds = field(default_factory=ProcessEnds)
    exposure: Counter[str] = field(default_factory=Counter)
    found: list[Violation] = field(default_factory=list)
    unreachable: FaultSpans = field(default_factory=FaultSpans)  # replicas that were cut off
    failing: FaultSpans = field(default_factory=FaultSpans)  # dispatchers whose reads and writes broke connections
    flooded: FaultSpans = field(default_factory=FaultSpans)  # dispatchers that a flood of connections filled
    broken_clients: set[tuple[str, int]] = field(default_factory=set)  # ports whose connections the system broke

    def add_violation(
        self, at: int, rule: str, request: str, detail: str, excess: int | None = None, since: int | None = None
    ) -> None:
        """A rule was broken; `excess` and `since` as in `Violation`."""
        self.found.append(Violation(at, rule, request, detail, excess, at if since is None else since))

    @property
    def violations(self) -> list[Violation]:
        """What no lateness explains. Asked for at the end, since a lateness is known only when it is over."""
        return [v for v in self.found if v.excess is None or v.excess > self.lateness.between(v.since, v.at)]

    def was_cut_off(self, replica: str, since: int, until: int) -> bool:
        """Whether the replica was cut off then. After a cut connections have to be made anew."""
        return self.unreachable.overlap(replica, since, until, after=SECOND)
