"""Events: what a node reports to its router. Times are integer microseconds, sizes are tokens."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint


class AdmissionStatus(enum.StrEnum):
    """How a request stands with its token budget."""

    NO_BUDGET = ""
    WITHIN_LIMIT = "within"  # guaranteed
    BURST = "spare"  # admitted out of capacity that others leave unused
    OVER_LIMIT = "over"  # not to be admitted now
    OVERDRAWN = "debt"  # not to be admitted until an overdraft is paid off


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list: all of it (`full`), or the endpoints that changed."""

    full: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request. `session` and `prefix` are 0 where there is none.

    `is_retry`: the client sends it again. `resumed`: it continues a stream that was migrated. `allowed_kinds`: the
    machine kinds that may serve it; empty: all. `retry_after`: microseconds until its budget would admit it.
    """

    request: int
    request_class: int
    tenant: int
    session: int
    prefix: int
    prefix_tokens: int
    prompt_tokens: int
    max_output_tokens: int
    timeout: int
    is_retry: bool
    resumed: bool
    allowed_kinds: tuple[int, ...] = ()
    admission: AdmissionStatus = AdmissionStatus.NO_BUDGET
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of this attempt has begun; from now on the attempt belongs to the client."""

    request: int
    attempt: int
    replica: int
    elapsed: int


class ReportedLoad(NamedTuple):
    """What a replica reports of its own load.

    `memory_used`: the share of its memory in use. `queued_ktokens`: thousands of tokens yet to be prefilled or fetched
    there. Both as they came: whoever reads them has to expect any number.
    """

    memory_used: float
    queued_ktokens: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt is over.

    `answered`: the request has had its final answer. `load`: the replica's report, None without one. `retry_after`: for
    how long the replica has asked to be sent nothing more.
    """

    request: int
    attempt: int
    replica: int
    outcome: Outcome
    answered: bool
    cached_tokens: int
    elapsed: int
    load: ReportedLoad | None
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; no answer is owed any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that `SetTimer` asked for has run out."""

    timer: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """How a health check ended: ANSWERED, whatever the answer was; NOT_SENT; anything else: no answer came.

    `load`: the replica's report, None where it gave none.
    """

    replica: int
    outcome: Outcome
    elapsed: int
    load: ReportedLoad | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What is known of one replica's load.

    `memory_used` is a share; `queued_tokens` are yet to be prefilled or fetched there, and decay with `confidence` (1:
    as fresh as it can be, 0: nothing is known). `ejected_until`: it answers no health check, and gets no requests until
    then, in microseconds of the clock; 0 where it answers.
    """

    replica: int
    memory_used: float
    queued_tokens: float
    confidence: float
    ejected_until: int


@dataclass(frozen=True, slots=True)
class LoadKnown:
    """The answer to a `QueryLoad`: one report for each replica it named, in its order."""

    request: int
    reports: tuple[LoadReport, ...]


Event = (
    EndpointsUpdated
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | LoadKnown
)
