"""The state that all rules of the oracle share: records of requests, spans of faults, and the violations so far."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from pearhill.lab.soak.endings import ProcessEnds
from pearhill.lab.soak.lateness import Lateness
from pearhill.lab.soak.records import SECOND, RequestRecord, Violation
from pearhill.lab.soak.slow_start import PlatformLimits

OPEN_END_US = 10**12  # the length of a span that has not ended yet


class FaultSpans:
    """The spans in which a fault was active, by affected replica or dispatcher. Times are in microseconds."""

    def __init__(self) -> None:
        self._spans: dict[str, list[list[int]]] = {}

    def mark(self, at: int, name: str, on: bool) -> None:
        """Record that the fault begins at this replica or dispatcher, or that the last one to begin there ends."""
        if on:
            self._spans.setdefault(name, []).append([at, at + OPEN_END_US])
        elif name in self._spans:
            self._spans[name][-1][1] = at

    def is_active(self, name: str, at: int) -> bool:
        """Returns whether the fault is active there now."""
        return self.overlap(name, at, at)

    def overlap(self, name: str, since: int, until: int, after: int = 0) -> bool:
        """Returns whether the fault was active there within these times, or ended at most `after` before them."""
        return any(begin <= until and end + after >= since for begin, end in self._spans.get(name, ()))


@dataclass(slots=True)
class OracleState:
    """The shared state. `exposure` counts the occasions on which rules could have been broken.

    With these counts a run without violations differs from a run that exercised nothing.
    """

    limits: PlatformLimits
    lateness: Lateness
    requests: dict[str, RequestRecord] = field(default_factory=dict)
    open_requests: set[str] = field(default_factory=set)  # those that have not ended
    process_ends: ProcessEnds = field(default_factory=ProcessEnds)
    exposure: Counter[str] = field(default_factory=Counter)
    found: list[Violation] = field(default_factory=list)
    unreachable: FaultSpans = field(default_factory=FaultSpans)  # replicas that were cut off
    stopped: FaultSpans = field(default_factory=FaultSpans)  # replicas whose process was stopped
    failing: FaultSpans = field(default_factory=FaultSpans)  # dispatchers whose failing system calls break connections
    flooded: FaultSpans = field(default_factory=FaultSpans)  # dispatchers that are flooded with connections
    broken_clients: set[tuple[str, int]] = field(default_factory=set)  # dispatcher, client's port
    close_reasons: dict[tuple[str, int], str] = field(default_factory=dict)  # by dispatcher and client's port

    def add_violation(
        self, at: int, rule: str, request: str, detail: str, excess: int | None = None, since: int | None = None
    ) -> Violation:
        """Record that a rule was broken; `excess` and `since` as in `Violation`."""
        violation = Violation(at, rule, request, detail, excess, at if since is None else since)
        self.found.append(violation)
        return violation

    def is_unexplained(self, violation: Violation) -> bool:
        """Returns whether no lateness that is known so far explains the violation."""
        if violation.excess is None:
            return True
        return violation.excess > self.lateness.between(violation.since, violation.at)

    def is_settled(self, violation: Violation | None) -> bool:
        """Returns whether a lasting violation need not be recorded again: it was, and no lateness explains it yet."""
        return violation is not None and self.is_unexplained(violation)

    @property
    def violations(self) -> list[Violation]:
        """The violations that no lateness explains, to be read at the end: a lateness is known once it is over."""
        return [violation for violation in self.found if self.is_unexplained(violation)]

    def was_cut_off(self, replica: str, since: int, until: int) -> bool:
        """Returns whether the network to the replica was cut between `since` and `until`, or less than a second before.

        After a cut, connections have to be opened again.
        """
        return self.unreachable.overlap(replica, since, until, after=SECOND)
