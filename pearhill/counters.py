"""Counts of requests, attempts and answers since the process started. Field names are keys of `GET /counters`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, fields
from typing import Any

# The outcomes of a request: fields of `Calls`.
SUCCESS = "success"
BUSY = "busy"
FAILURE = "failure"
_OMITTED_AT_ZERO = ("longest_tick_us", "malformed_responses")  # newer counters, without which the format stays


@dataclass(slots=True)
class Calls:
    """The requests of one class by outcome. Each is counted once, when it ends."""

    success: int = 0
    busy: int = 0
    failure: int = 0


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures that the admin endpoint reports.

    `calls`: finished requests by class. `inflight`: requests that are accepted and not finished. `backend_calls`:
    attempts that were written completely. `hosts_listed`: replicas in the endpoint list. `hosts_down`: listed replicas
    that receive no new requests.
    """

    calls: Mapping[str, Calls]
    inflight: int
    backend_calls: int
    hosts_listed: int
    hosts_down: int

    def as_dict(self) -> dict[str, Any]:
        """Returns the figures as a dictionary for JSON."""
        values = {f.name: getattr(self, f.name) for f in fields(self)}
        return {**values, "calls": {name: asdict(calls) for name, calls in self.calls.items()}}


@dataclass(slots=True)
class Counters:
    """The counters of the process. A `Counter` counts by reason code, outcome or rule."""

    taken: int = 0  # requests accepted by the core
    sent: int = 0  # attempts
    written: int = 0  # attempts whose last byte was written
    served: int = 0  # answered completely
    refused: int = 0
    failed: int = 0
    declined: int = 0  # answered with a replica's own error, caused by the request itself
    broken: int = 0  # answers that were truncated after their start
    left: int = 0  # clients that disconnected before their answer was complete
    left_in_answer: int = 0  # those of them that had received a part of the answer
    rejected: int = 0  # invalid requests, answered 4xx and not accepted
    released: int = 0  # calls that release the held state of a replica
    release_retries: int = 0
    unconfirmed: int = 0  # fetches without a response from their replica when the state had to be released
    malformed_responses: int = 0  # streams of replicas ended for an event or bytes that make no sense; left out at 0
    lists: int = 0  # endpoint lists applied
    accept_failures: int = 0  # calls of accept() that failed for lack of descriptors or memory
    longest_tick_us: int = 0  # the longest tick of the event loop while it had work; left out while none is measured
    shortages: int = 0  # sockets that failed for lack of descriptors, memory or ports
    clock_steps: int = 0  # steps of the wall clock while the process runs
    faults: int = 0  # exceptions raised by the router, or on the way of a request
    replayed: int = 0  # answers repeated from the idempotency store
    refusals: Counter[str] = field(default_factory=Counter)  # by reason
    failures: Counter[str] = field(default_factory=Counter)  # by reason
    retries: Counter[str] = field(default_factory=Counter)  # further attempts, by the outcome of the one before
    violations: Counter[str] = field(
        default_factory=Counter
    )  # by rule: actions of the router that the core rejected; empty unless there is a fault
    outcomes: Counter[str] = field(default_factory=Counter)  # of attempts
    probes: Counter[str] = field(default_factory=Counter)  # by outcome
    connections: Counter[str] = field(default_factory=Counter)  # ended, by side and reason code

    def record_refusal(self, reason: str) -> None:
        """Count a request that was rejected, after which a retry is safe, by the reason code."""
        self.refused += 1
        self.refusals[reason] += 1

    def as_dict(self) -> dict[str, Any]:
        """Returns the counters as a dictionary for JSON.

        `dataclasses.asdict` would rebuild each `Counter` from its items, and count the items instead.
        """
        values = {f.name: getattr(self, f.name) for f in fields(self)}
        for name in _OMITTED_AT_ZERO:
            if not values[name]:
                del values[name]
        return {name: dict(v) if isinstance(v, Counter) else v for name, v in values.items()}
