"""Feeds events to a `Router` in tests, and records the attempts and timers that it returns."""

from __future__ import annotations

from dataclasses import replace

from pearhill.routing.actions import Action, SendAttempt, SetTimer
from pearhill.routing.events import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    ReportedLoad,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import Router
from pearhill.routing.settings import Idempotency, RequestClass, RouterSettings
from pearhill.routing.topology import Endpoint, MachineKind, Phase, Role

S = 1_000_000
CLASS = RequestClass(
    latency_objective=1 * S,
    latency_objective_per_1000_tokens=40_000.0,
    deadline=4 * S,
    priority_weight=1.0,
    late_priority_weight=0.1,
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_scope="all",
    idempotency_window=5 * S,
    token_latency_objective=60_000.0,
)
SETTINGS = RouterSettings(
    instances=2,
    zone=0,
    classes=(CLASS,),
    kinds=(
        MachineKind(Role.PREFILL, 200_000),
        MachineKind(Role.DECODE, 150_000),
        MachineKind(Role.MIXED, 200_000),
    ),
    quotas=(),
    over_quota_weight=0.1,
    state_hold_time=300_000,
    local_prefill=True,
    may_cancel=True,
    hedged_requests=False,
    may_migrate=True,
    retry_hints=False,
    max_retry_after=2 * S,
    max_attempts=5,
    slow_start_window=14 * S,
    slow_start_initial_share=0.25,
    overload_window=S,
    overload_multiple=2.5,
    tick=2000,
)


def settings(idempotency: str = Idempotency.IDEMPOTENT, scope: str = "all", **changes: object) -> RouterSettings:
    spec = replace(CLASS, idempotency=idempotency, idempotency_scope=scope)
    return replace(SETTINGS, classes=(spec,), **changes)


def endpoint(
    replica: int, kind: int, cell: int = 0, zone: int = 0, phase: str = Phase.READY, started_at: int = 0
) -> Endpoint:
    return Endpoint(replica, zone, kind, cell, phase, 1.0, started_at)


FLEET = tuple(endpoint(n, 0, cell=n % 2) for n in range(1, 7)) + tuple(
    endpoint(n, 1, cell=n % 2) for n in range(11, 17)
)


class RouterDriver:
    """One router, its clock, and the latest attempt of each request."""

    def __init__(self, s: RouterSettings = SETTINGS, fleet: tuple[Endpoint, ...] = FLEET, seed: int = 1) -> None:
        self.router, self.now, self.next_request = Router(s, seed), 100 * S, 1
        self.sent: dict[int, SendAttempt] = {}
        self.attempt: dict[int, int] = {}
        self.timers: list[tuple[int, int]] = []
        self.feed(EndpointsUpdated(True, fleet))

    def feed(self, event: Event) -> list[Action]:
        actions = self.router.handle(self.now, event)
        for a in actions:
            if isinstance(a, SendAttempt):
                self.sent[a.request] = a
                self.attempt[a.request] = self.attempt.get(a.request, -1) + 1
            if isinstance(a, SetTimer):
                self.timers.append((self.now + a.delay, a.timer))
        return actions

    def wait(self, micros: int) -> list[Action]:
        """Advance the clock, and fire the timers that are due in that time."""
        end, actions = self.now + micros, []
        while self.timers and min(self.timers)[0] <= end:
            at, timer = min(self.timers)
            self.timers.remove((at, timer))
            self.now = max(self.now, at)
            actions += self.feed(TimerFired(timer))
        self.now = end
        return actions

    def arrive(
        self,
        prompt_tokens: int = 3000,
        session: int = 0,
        prefix: int = 0,
        prefix_tokens: int = 0,
        timeout: int = 4 * S,
        request_class: int = 0,
        tenant: int = 0,
        max_output_tokens: int = 100,
    ) -> tuple[int, list[Action]]:
        request, self.next_request = self.next_request, self.next_request + 1
        return request, self.feed(
            RequestArrived(
                request,
                request_class,
                tenant,
                session,
                prefix,
                prefix_tokens,
                prompt_tokens,
                max_output_tokens,
                timeout,
                False,
                False,
            )
        )

    def end(
        self,
        request: int,
        outcome: str,
        answered: bool = False,
        cached_tokens: int = 0,
        elapsed: int = 50_000,
        load: ReportedLoad | None = None,
    ) -> list[Action]:
        return self.feed(
            AttemptEnded(
                request,
                self.attempt[request],
                self.sent[request].replica,
                outcome,
                answered,
                cached_tokens,
                elapsed,
                load,
            )
        )

    def response_started(self, request: int, elapsed: int = 30_000) -> list[Action]:
        return self.feed(ResponseStarted(request, self.attempt[request], self.sent[request].replica, elapsed))

    def serve(self, request: int, cached_tokens: int = 0, elapsed: int = 50_000) -> None:
        """Report the events that take a request to its complete answer."""
        if self.sent[request].replica < 11:
            self.end(request, Outcome.PREFILLED, cached_tokens=cached_tokens, elapsed=elapsed)
        self.response_started(request)
        self.end(request, Outcome.ANSWERED, answered=True, cached_tokens=cached_tokens)


def of_type(kind: type, actions: list[Action]) -> list[Action]:
    return [a for a in actions if isinstance(a, kind)]
