"""Events that a node reports to its router. Times are integer microseconds, sizes are in tokens."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import NamedTuple

from pearhill.routing.outcomes import Outcome
from pearhill.routing.topology import Endpoint


class AdmissionStatus(enum.StrEnum):
    """A token budget's decision on a request."""

    NO_BUDGET = ""
    WITHIN_LIMIT = "within"  # within the tenant's guaranteed budget
    BURST = "spare"  # admitted out of capacity that other tenants leave unused
    OVER_LIMIT = "over"  # not to be admitted now
    OVERDRAWN = "debt"  # not to be admitted until the overdraft is paid off


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The endpoint list was updated: `endpoints` is the whole list if `full`, else the changed endpoints."""

    full: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client has sent a request. `session` and `prefix` are 0 if it has none.

    `is_retry` marks a request that the client sends again, `resumed` one that continues a migrated stream.
    `allowed_kinds` lists the machine kinds that may serve it (empty: all). `retry_after` is the time until its token
    budget would admit it.
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
    """The answer of this attempt has begun, and is forwarded to the client from now on."""

    request: int
    attempt: int
    replica: int
    elapsed: int


class ReportedLoad(NamedTuple):
    """A replica's report of its own load.

    `memory_used` is the share of its memory in use. `queued_ktokens` counts the tokens still to be prefilled or fetched
    there, in thousands. Neither value is validated: code that reads them has to expect any number.
    """

    memory_used: float
    queued_ktokens: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    `answered` tells whether the request has had its final answer. `load` is the replica's report, or None without one.
    `retry_after` is the time for which the replica asked to be sent no more requests (0: none).
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
    """The client has disconnected, so its request needs no answer any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that a `SetTimer` requested has expired."""

    timer: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """A health check has ended.

    `outcome` is ANSWERED for an answer of any kind, NOT_SENT if the check was not sent, and any other value if no
    answer came. `load` is the replica's report, or None without one.
    """

    replica: int
    outcome: Outcome
    elapsed: int
    load: ReportedLoad | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The known load of one replica.

    `memory_used` is the share of its memory in use. `queued_tokens` counts the tokens still to be prefilled or fetched
    there; it decays with `confidence`, which is 1 for a fresh report and 0 if nothing is known. A replica that answers
    no health check gets no requests until the time `ejected_until`, in microseconds (0: it answers).
    """

    replica: int
    memory_used: float
    queued_tokens: float
    confidence: float
    ejected_until: int


@dataclass(frozen=True, slots=True)
class LoadKnown:
    """A `QueryLoad` has been answered, with one report for each of its replicas, in the same order."""

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
