"""What the process accepts, sends and answers, counted since its start. Field names are keys of `GET /counters`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields
from typing import Any

# How a request ends: fields of `Calls`.
SUCCESS = "success"
BUSY = "busy"
FAILURE = "failure"


@dataclass(slots=True)
class Calls:
    """One class's requests by how they ended, each counted once, at its end."""

    success: int = 0
    busy: int = 0
    failure: int = 0


@dataclass(frozen=True, slots=True)
class Figures:
    """What operators see.

    `calls`: by class. `inflight`: requests accepted and not ended. `backend_calls`: attempts written completely.
    `hosts_listed`: replicas in the endpoint list. `hosts_down`: those of them that get no new requests.
    """

    calls: Mapping[str, Calls]
    inflight: int
    backend_calls: int
    hosts_listed: int
    hosts_down: int

    def as_dict(self) -> dict[str, Any]:
        """For JSON."""
        values = {f.name: getattr(self, f.name) for f in fields(self)}
        return {**values, "calls": {name: asdict(calls) for name, calls in self.calls.items()}}


@dataclass(slots=True)
class Counters:
    """Counts of the whole process. A `Counter` counts by reason code, outcome or rule."""

    taken: int = 0  # requests accepted by the core
    sent: int = 0  # attempts
    written: int = 0  # attempts whose last byte went out
    served: int = 0  # answered completely
    refused: int = 0
    failed: int = 0
    declined: int = 0  # answered with a replica's own error: the request itself was at fault
    broken: int = 0  # answers that ended after their start
    left: int = 0  # clients that went before their answer was complete
    left_in_answer: int = 0  # of them, those that had a part of it
    rejected: int = 0  # bad input, answered 4xx and not accepted
    released: int = 0  # calls that release what a replica may hold
    release_retries: int = 0
    unconfirmed: int = 0  # fetches with no sign of their replica when the state had to be released
    lists: int = 0  # endpoint lists applied
    accept_failures: int = 0  # accepts that failed for want of descriptors or memory
    shortages: int = 0  # connections to replicas that the system had no descriptor, memory or port for
    clock_steps: int = 0  # of the wall clock, while the process runs
    faults: int = 0  # exceptions out of the router
    replayed: int = 0  # answers repeated from the idempotency store
    refusals: Counter[str] = field(default_factory=Counter)  # by reason
    failures: Counter[str] = field(default_factory=Counter)  # by reason
    retries: Counter[str] = field(default_factory=Counter)  # further attempts, by the outcome of the one before
    violations: Counter[str] = field(
        default_factory=Counter
    )  # by rule: what the core had to forbid; empty without a fault
    outcomes: Counter[str] = field(default_factory=Counter)  # of attempts
    probes: Counter[str] = field(default_factory=Counter)  # by outcome
    connections: Counter[str] = field(default_factory=Counter)  # ended, by side and reason code

    def as_dict(self) -> dict[str, Any]:
        """For JSON. `dataclasses.asdict` would rebuild a `Counter` from its pairs, and count those."""
        values = {f.name: getattr(self, f.name) for f in fields(self)}
        return {name: dict(v) if isinstance(v, Counter) else v for name, v in values.items()}
