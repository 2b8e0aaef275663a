"""The types between a node and `pearhill.rules`: settings, events and actions.

Times are integer microseconds, sizes are tokens. Nothing here decides anything. A *reader* reads prompts
(prefill), a *writer* streams answers (decode), a *mixed* server does both.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Role(enum.StrEnum):
    """What a replica does: prefill reads prompts, decode streams answers, mixed does both."""

    PREFILL = "reader"
    DECODE = "writer"
    MIXED = "mixed"


class Idempotency(enum.StrEnum):
    """Whether a request that may have been executed may be sent again."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # with an idempotency key: within the scope and the window of its class
    UNSAFE = "unsafe"


class Phase(enum.StrEnum):
    """How the endpoint list has a replica."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(enum.StrEnum):
    """How an attempt ends. The values stand in log lines and under the keys of `GET /counters`."""

    ANSWERED = "answered"
    PREFILLED = "read"  # the state of the prompt waits at the replica; nothing was answered
    ERROR = "error"
    TIMEOUT = "timeout"
    TRUNCATED = "broken"  # the answer began and ended before its end
    CANCELLED = "cancelled"
    DECLINED = "declined"  # the replica found fault with the request itself; says nothing of the replica's health
    FULL = "full"
    STATE_LOST = "no-state"  # there was no state left to fetch
    UNREACHABLE = "unreachable"
    NOT_SENT = "moot"
    WITHDRAWN = "withdrawn"  # the replica left the list before the first byte was written; no attempt is spent


# These outcomes prove that the request was not executed.
NOT_EXECUTED = frozenset(
    (
        Outcome.PREFILLED,
        Outcome.FULL,
        Outcome.STATE_LOST,
        Outcome.UNREACHABLE,
        Outcome.NOT_SENT,
        Outcome.WITHDRAWN,
    )
)


class AdmissionStatus(enum.StrEnum):
    """How a request stands with its token budget."""

    NO_BUDGET = ""
    WITHIN_LIMIT = "within"  # guaranteed
    BURST = "spare"  # admitted out of capacity that others leave unused
    OVER_LIMIT = "over"  # not to be admitted now
    OVERDRAWN = "debt"  # not to be admitted until an overdraft is paid off


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request. `group` and `window` bound the repeats of a keyed class."""

    latency_objective: int
    latency_objective_per_1000_tokens: float
    deadline: int
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    idempotency_scope: str
    idempotency_window: int
    token_latency_objective: float


@dataclass(frozen=True, slots=True)
class MachineKind:
    """One machine kind: what it does and how many tokens its memory takes."""

    role: Role
    memory_tokens: int


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """What a node is told once, at its start."""

    instances: int
    zone: int
    classes: tuple[RequestClass, ...]
    kinds: tuple[MachineKind, ...]
    quotas: tuple[float, ...]
    over_quota_weight: float
    state_hold_time: int
    local_prefill: bool
    may_cancel: bool
    hedged_requests: bool
    may_migrate: bool
    retry_hints: bool
    max_retry_after: int
    max_attempts: int
    slow_start_window: int
    slow_start_initial_share: float
    overload_window: int
    overload_multiple: float
    tick: int
    health_checks: bool = False  # engines tell their load to whoever asks
    health_check_price: float = 0.0  # of the worth asked for, for one probe a request

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        if not self.kinds:
            raise ValueError("kinds: at least one machine kind is needed")
        for i, spec in enumerate(self.classes):
            if spec.idempotency not in tuple(Idempotency):
                raise ValueError(f"classes[{i}].effect: unknown effect {spec.idempotency!r}")
            if spec.idempotency_scope not in ("all", "zone", "cell"):
                raise ValueError(f"classes[{i}].group: unknown group {spec.idempotency_scope!r}")
            if spec.latency_objective <= 0 or spec.deadline <= 0:
                raise ValueError(f"classes[{i}].aim: aim and deadline must be above 0")
        for i, kind in enumerate(self.kinds):
            if kind.role not in tuple(Role):
                raise ValueError(f"kinds[{i}].role: unknown role {kind.role!r}")
        positive = {
            "instances": self.instances,
            "max_attempts": self.max_attempts,
            "tick": self.tick,
            "release_within": self.state_hold_time,
        }
        for key, value in positive.items():
            if value <= 0:
                raise ValueError(f"{key}: must be above 0")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One engine in the list. `started` is 0 where its last start is long past."""

    replica: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    weight: float
    started_at: int


# Events: what a node tells the router.


@dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The list of engines: all of it (`full`), or the entries that changed."""

    full: bool
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request. `session` and `prefix` are 0 where there is none."""

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
    allowed_kinds: tuple[int, ...] = ()  # of machines that may serve it; none named: all
    admission: AdmissionStatus = AdmissionStatus.NO_BUDGET  # of its budget, where there is one
    retry_after: int = 0  # microseconds until its budget would let it in


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of this attempt has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    replica: int
    elapsed: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """One attempt is over. `load` is the engine's load report as (memory share, thousands to read); `rest` is for how
    long, in microseconds, the engine has asked to be sent nothing more."""

    request: int
    attempt: int
    replica: int
    outcome: Outcome
    answered: bool
    cached_tokens: int
    elapsed: int
    load: tuple[float, float] | None
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has gone; nothing is owed to it any more."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer has run out."""

    timer: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """How a probe has ended: ANSWERED, whatever was said; MOOT, where it was never sent; else no answer came. `load` is
    the engine's report as (memory share, thousands of tokens to read or fetch), None where it told none."""

    replica: int
    outcome: Outcome
    elapsed: int
    load: tuple[float, float] | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What is known of one engine from its own word: its memory share and the tokens it has yet to read or fetch,
    both faded with `sure` (1: as fresh as it can be, 0: nothing is known). `ejected_until`: it answers no
    probe, and is left alone until then, in microseconds of the clock; 0 where it answers."""

    replica: int
    memory_used: float
    queued_tokens: float
    confidence: float
    ejected_until: int


@dataclass(frozen=True, slots=True)
class LoadKnown:
    """The answer to a Look: one Told for each engine it named, in its order."""

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


# Actions: what the router asks of the node.


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to an engine; the attempt ends as TIMEOUT after `patience`. Where the whole of it has not been
    written by the time `by`, it is WITHDRAWN; 0: whenever. `held_until`: it fetches a state, which has to be let go of
    at this time if the attempt has not arrived; 0: it fetches none."""

    request: int
    replica: int
    attempt_timeout: int
    send_before: int = 0
    release_at: int = 0


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its Ended still comes."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not done, and trying again is harmless (after `stay_away`, where above 0). `why`: for the log."""

    request: int
    retry_after: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, nothing is promised. `why`: for the log."""

    request: int
    reason: str = ""


@dataclass(frozen=True, slots=True)
class ReleaseState:
    """Let go of whatever is held for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class MigrateStream:
    """Close a running stream in order; its client comes again and the stream goes on elsewhere."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Due event."""

    timer: int
    delay: int


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the log."""

    text: str


@dataclass(frozen=True, slots=True)
class QueryLoad:
    """The choice for this request lies between these engines. A Looked follows, at once or soon."""

    request: int
    replicas: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Ask an engine for its load; a Probed follows."""

    replica: int


Action = (
    SendAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | ReleaseState
    | MigrateStream
    | SetTimer
    | LogMessage
    | QueryLoad
    | SendHealthCheck
)
