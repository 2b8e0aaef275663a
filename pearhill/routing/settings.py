"""The router's settings: request classes, machine kinds and limits.

Times are integer microseconds. `pearhill.settings` reads the settings from a deployment's JSON, whose keys the errors
name.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from pearhill.routing.topology import MachineKind, Role


class Idempotency(enum.StrEnum):
    """Whether a request that may have been executed may be sent again."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"  # with an idempotency key, within the scope and the window of its class
    UNSAFE = "unsafe"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    The latency objective is for the first token, and grows with the prompt's length. `idempotency_scope` ("all", "zone"
    or "cell") and `idempotency_window` limit where and for how long replicas discard duplicates of a keyed request.
    """

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
class RouterSettings:
    """The configuration of one dispatcher's router.

    `instances` is the number of dispatchers that share the work. `quotas` are requests per second by tenant, over all
    dispatchers. `state_hold_time` is how long a prefill replica holds the state of a prompt. `slow_start_window` is how
    long a restarted replica warms up, from `slow_start_initial_share` of its capacity. A warming-up replica is
    overloaded by more than `overload_multiple` times its current capacity within `overload_window`.

    Raises `ValueError`, which names the setting's key, if a value is invalid.
    """

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
    health_checks: bool = False  # replicas answer health checks with a load report
    health_check_price: float = 0.0  # of one health check per request, in units of priority weight

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        if not self.kinds:
            raise ValueError("kinds: at least one machine kind is needed")
        for number, spec in enumerate(self.classes):
            _check_class(number, spec)
        for number, kind in enumerate(self.kinds):
            if kind.role not in tuple(Role):
                raise ValueError(f"kinds[{number}].role: unknown role {kind.role!r}")
        positive = {
            "instances": self.instances,
            "max_attempts": self.max_attempts,
            "tick": self.tick,
            "release_within": self.state_hold_time,
        }
        for key, value in positive.items():
            if value <= 0:
                raise ValueError(f"{key}: must be above 0")


def _check_class(number: int, spec: RequestClass) -> None:
    if spec.idempotency not in tuple(Idempotency):
        raise ValueError(f"classes[{number}].effect: unknown effect {spec.idempotency!r}")
    if spec.idempotency_scope not in ("all", "zone", "cell"):
        raise ValueError(f"classes[{number}].group: unknown group {spec.idempotency_scope!r}")
    if spec.latency_objective <= 0 or spec.deadline <= 0:
        raise ValueError(f"classes[{number}].aim: aim and deadline must be above 0")
