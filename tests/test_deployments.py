"""Property test of the router: load with random faults on randomly drawn deployment settings.

The settings vary in every way in which known deployments differ: roles, cells, zones, load reports, cancellation,
migration, number of dispatchers, limits. Each action of the router is checked against the rules of routing.
"""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, replace
from typing import Any

from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from pearhill.load_reports.load_aware_router import LoadAwareRouter
from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    MigrateStream,
    RejectRequest,
    ReleaseState,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
)
from pearhill.routing.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    ReportedLoad,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.settings import Idempotency, RouterSettings
from pearhill.routing.topology import Endpoint, MachineKind, Phase, Role
from tests.driver import CLASS, SETTINGS, S

MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.TRUNCATED, Outcome.CANCELLED)
LOADS = (
    None,
    ReportedLoad(0.4, 7.0),
    ReportedLoad(0.99, 0.0),
    ReportedLoad(math.nan, 1.0),
    ReportedLoad(-1.0, math.inf),
)
TIMEOUT = 4 * S  # deadline of each request after its arrival
DAY_START = 100 * S
MEAN_ARRIVAL_GAP = 40_000


@dataclass
class RequestAudit:
    """The state of one request as the audit has observed it."""

    request_class: int
    deadline: int
    attempt: SendAttempt | None = None  # in flight
    endpoint: Endpoint | None = None  # of the last attempt
    attempts: int = 0
    response_started: bool = False
    final_answers: int = 0  # rejections and failures; 1 also once the client has disconnected
    may_have_run_at: Endpoint | None = None  # the first decode or mixed replica that may have run the request
    state_held: bool = False

    @property
    def settled(self) -> bool:
        """Whether the client has received an answer or the beginning of one, or has disconnected."""
        return self.response_started or bool(self.final_answers)


@dataclass(frozen=True)
class Arrival:
    """The arrival of a request."""

    request: int


@dataclass(frozen=True)
class ResponseStarts:
    """A replica starts its response to an attempt."""

    attempt: SendAttempt


@dataclass(frozen=True)
class AttemptEnds:
    """The end of an attempt."""

    attempt: SendAttempt
    outcome: Outcome


class SimulatedDay:
    """One router with simulated replicas that fail at random. Each action is checked when the router returns it."""

    def __init__(self, s: RouterSettings, zones: int, reports: bool, rng: random.Random) -> None:
        self.settings = s
        self.reports = reports
        self.rng = rng
        self.now = DAY_START
        self.events: list[tuple[int, int, Any]] = []  # a heap ordered by time, then by the number of the event
        self.event_count = 0
        self.router = LoadAwareRouter(s, rng.randrange(1 << 60))
        self.requests: dict[int, RequestAudit] = {}
        self.checks_in_flight: set[int] = set()  # replicas with a health check in flight
        self.endpoints: dict[int, Endpoint] = {}
        for replica in range(1, rng.randrange(4, 16)):
            started_at = 0 if rng.random() < 0.8 else self.now
            weight = rng.choice((0.0, 1.0, 2.5))
            self.endpoints[replica] = Endpoint(
                replica=replica,
                zone=replica % zones,
                kind=replica % len(s.kinds),
                cell=replica % zones * 10 + replica % 2,
                phase=Phase.READY,
                weight=weight,
                started_at=started_at,
            )
        self.feed(EndpointsUpdated(True, tuple(self.endpoints.values())))

    def schedule(self, delay: int, event: Any) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, event))

    def feed(self, event: Event) -> None:
        for action in self.router.handle(self.now, event):
            self.audit(action)

    # Actions of the router.

    def audit(self, action: Action) -> None:
        match action:
            case SetTimer():
                self.schedule(action.delay, TimerFired(action.timer))
            case LogMessage():
                pass
            case SendHealthCheck():
                self.audit_health_check(action)
            case SendAttempt():
                self.audit_attempt(action, self.requests[action.request])
            case RejectRequest() | FailRequest():
                self.audit_final_answer(action, self.requests[action.request])
            case CancelAttempt():
                assert self.settings.may_cancel
                assert not self.requests[action.request].response_started
            case ReleaseState():
                self.requests[action.request].state_held = False
            case _:
                assert isinstance(action, MigrateStream)
                assert action.request in self.requests
                assert self.settings.may_migrate

    def audit_health_check(self, check: SendHealthCheck) -> None:
        assert self.settings.health_checks
        assert check.replica in self.endpoints
        assert check.replica not in self.checks_in_flight
        elapsed = int(self.rng.lognormvariate(9, 2))
        outcome = self.rng.choice((Outcome.ANSWERED,) * 6 + (Outcome.NOT_SENT, Outcome.TIMEOUT))
        load = self.rng.choice(LOADS)
        if self.rng.random() < 0.98:  # otherwise the end of the health check is never reported
            self.checks_in_flight.add(check.replica)
            self.schedule(elapsed, HealthCheckEnded(check.replica, outcome, elapsed, load))

    def audit_attempt(self, attempt: SendAttempt, request: RequestAudit) -> None:
        assert not request.attempt, "a second attempt"
        assert not request.final_answers, "an attempt after the final answer"
        assert request.attempts < self.settings.max_attempts
        assert attempt.attempt_timeout > 0
        endpoint = self.endpoints.get(attempt.replica)
        assert endpoint, "an attempt at a replica that is not listed"
        assert endpoint.phase == Phase.READY, "an attempt at a replica that is not ready in the endpoint list"
        role = self.settings.kinds[endpoint.kind].role
        if request.may_have_run_at:
            self.audit_repeat(endpoint, request.may_have_run_at, request)
        if role != Role.PREFILL and not request.state_held:
            may_prefill = self.settings.local_prefill or role == Role.MIXED
            assert may_prefill, "no state to fetch, and the replica may not prefill"
        request.attempt = attempt
        request.endpoint = endpoint
        request.attempts += 1
        self.schedule(*self.draw_outcome(attempt, role))

    def audit_repeat(self, endpoint: Endpoint, ran_at: Endpoint, request: RequestAudit) -> None:
        """Check an attempt of a request that another replica may have run."""
        spec = self.settings.classes[request.request_class]
        assert spec.idempotency != Idempotency.UNSAFE, "an unsafe request that may have run was sent again"
        if spec.idempotency == Idempotency.IDEMPOTENT or self.settings.kinds[endpoint.kind].role == Role.PREFILL:
            return
        in_scope = {"all": True, "zone": endpoint.zone == ran_at.zone, "cell": endpoint.cell == ran_at.cell}
        assert in_scope[spec.idempotency_scope], "a keyed request was repeated outside of its scope"

    def audit_final_answer(self, answer: RejectRequest | FailRequest, request: RequestAudit) -> None:
        request.final_answers += 1
        assert not request.response_started
        assert request.final_answers == 1
        assert self.now <= request.deadline
        if isinstance(answer, FailRequest):
            return
        if self.settings.classes[request.request_class].idempotency == Idempotency.UNSAFE:
            assert not request.may_have_run_at, "rejected as not executed, although it may have run"
            assert not request.attempt, "rejected while an attempt is in flight"
        assert answer.retry_after >= 0
        assert answer.retry_after <= (self.settings.max_retry_after if self.settings.retry_hints else 0)

    # Outcomes of attempts.

    def draw_outcome(self, attempt: SendAttempt, role: str) -> tuple[int, ResponseStarts | AttemptEnds]:
        """Draw the next event of an attempt, which may be its time-out without an answer; returns delay and event."""
        elapsed = int(self.rng.lognormvariate(11.5, 1.2))
        if elapsed >= attempt.attempt_timeout or self.rng.random() < 0.05:
            return attempt.attempt_timeout, AttemptEnds(attempt, Outcome.TIMEOUT)
        faults: tuple[Outcome, ...] = (Outcome.ERROR, Outcome.TRUNCATED, Outcome.FULL, Outcome.UNREACHABLE)
        if role != Role.PREFILL:
            faults += (Outcome.STATE_LOST,)
        if self.rng.random() >= 0.8:
            return elapsed, AttemptEnds(attempt, self.rng.choice(faults))
        if role == Role.PREFILL:
            return elapsed, AttemptEnds(attempt, Outcome.PREFILLED)
        return elapsed, ResponseStarts(attempt)

    def start_response(self, attempt: SendAttempt) -> None:
        request = self.requests[attempt.request]
        if request.final_answers:  # the client has its answer already, or has disconnected
            self.end_attempt(attempt, Outcome.CANCELLED)
            return
        request.response_started = True
        request.state_held = False
        self.feed(
            ResponseStarted(attempt.request, request.attempts - 1, attempt.replica, max(1, self.elapsed(request)))
        )
        outcome = Outcome.ANSWERED if self.rng.random() < 0.9 else Outcome.TRUNCATED
        self.schedule(self.rng.randrange(1, 3 * S), AttemptEnds(attempt, outcome))

    def end_attempt(self, attempt: SendAttempt, outcome: Outcome) -> None:
        request = self.requests[attempt.request]
        assert request.endpoint
        request.attempt = None
        if outcome in MAY_HAVE_RUN and self.settings.kinds[request.endpoint.kind].role != Role.PREFILL:
            request.may_have_run_at = request.may_have_run_at or request.endpoint
        settled = request.settled
        request.state_held = outcome == Outcome.PREFILLED or (request.state_held and outcome != Outcome.STATE_LOST)
        has_load = self.reports and self.rng.random() < 0.7
        load = ReportedLoad(self.rng.random(), 5.0) if has_load else None
        self.feed(
            AttemptEnded(
                request=attempt.request,
                attempt=request.attempts - 1,
                replica=attempt.replica,
                outcome=outcome,
                answered=settled,
                cached_tokens=self.rng.randrange(3000) if outcome in (Outcome.PREFILLED, Outcome.ANSWERED) else 0,
                elapsed=max(1, self.elapsed(request)),
                load=load,
                retry_after=self.rng.choice((0, 0, 0, S)),
            )
        )
        query_pending = attempt.request in self.router.pending_queries  # bounded by a timer that is set
        continues = settled or request.attempt or request.final_answers or query_pending
        assert continues, "an attempt has ended, and its request has neither an answer nor another attempt"
        assert (
            request.attempt or query_pending or not request.state_held
        ), "a held state is neither released nor fetched"

    def elapsed(self, request: RequestAudit) -> int:
        """Returns the microseconds since the request arrived."""
        return self.now - (request.deadline - TIMEOUT)

    # Events that do not follow from attempts.

    def inject_change(self) -> None:
        """Change the endpoint list, disconnect a client, or reload the settings."""
        replica = self.rng.choice(list(self.endpoints))
        kind = self.rng.randrange(4)
        if kind == 0 and len(self.endpoints) > 3:
            removed = replace(self.endpoints.pop(replica), phase=Phase.GONE)
            self.feed(EndpointsUpdated(False, (removed,)))
        elif kind == 1:
            phase = self.rng.choice((Phase.READY, Phase.DRAINING))
            self.endpoints[replica] = replace(self.endpoints[replica], phase=phase, started_at=self.now)
            self.feed(EndpointsUpdated(False, (self.endpoints[replica],)))
        elif kind == 2 and self.requests:
            number = self.rng.choice(list(self.requests))
            if not self.requests[number].settled:
                self.requests[number].final_answers = 1
                self.feed(ClientDisconnected(number))
        else:
            self.router.reconfigure(self.settings)

    def arrive(self, number: int) -> None:
        request_class = self.rng.randrange(len(self.settings.classes))
        prompt_tokens = self.rng.choice((40, 900, 5000, 60_000))
        self.requests[number] = RequestAudit(request_class, self.now + TIMEOUT)
        self.feed(
            RequestArrived(
                request=number,
                request_class=request_class,
                tenant=self.rng.randrange(3),
                session=self.rng.randrange(9),
                prefix=self.rng.randrange(4),
                prefix_tokens=prompt_tokens // 2,
                prompt_tokens=prompt_tokens,
                max_output_tokens=self.rng.choice((0, 300)),
                timeout=TIMEOUT,
                is_retry=self.rng.random() < 0.1,
                resumed=self.settings.may_migrate and self.rng.random() < 0.1,
            )
        )
        if self.rng.random() < 0.08:
            self.inject_change()

    def simulate(self, arrivals: int) -> None:
        """Simulate this number of arrivals, and check that every request is answered and no state remains."""
        at = self.now
        for number in range(1, arrivals + 1):
            at += int(self.rng.expovariate(1) * MEAN_ARRIVAL_GAP)
            heapq.heappush(self.events, (at, -number, Arrival(number)))
        end = at + 40 * S
        while self.events and self.now < end:
            self.now, _, event = heapq.heappop(self.events)
            self.handle_event(event)
        assert all(request.settled for request in self.requests.values()), "a request without an answer"
        assert not self.router.router.pending, "the router still has pending requests"
        assert not self.router.pending_queries, "the router still has pending load queries"
        assert all(r.tokens_in_flight == r.tokens_queued == 0 for r in self.router.router.replicas.values())

    def handle_event(self, event: Any) -> None:
        match event:
            case Arrival():
                self.arrive(event.request)
            case HealthCheckEnded():
                self.checks_in_flight.discard(event.replica)
                self.feed(event)
            case TimerFired():
                self.feed(event)
            case ResponseStarts() | AttemptEnds():
                if self.requests[event.attempt.request].attempt is not event.attempt:
                    return  # cancelled, or the request has ended
                if isinstance(event, ResponseStarts):
                    self.start_response(event.attempt)
                else:
                    self.end_attempt(event.attempt, event.outcome)


ROLES = st.lists(st.sampled_from((Role.PREFILL, Role.DECODE, Role.MIXED)), min_size=1, max_size=4)
CLASSES = st.lists(
    st.tuples(
        st.sampled_from((Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.UNSAFE)),
        st.sampled_from(("all", "zone", "cell")),
        st.sampled_from((300_000, S, 3 * S)),
        st.sampled_from((0.0, 1.0, 5.0)),
    ),
    min_size=1,
    max_size=3,
)
SLOW_STARTS = st.tuples(
    st.sampled_from((S, 13 * S)), st.sampled_from((0.05, 0.27, 1.0)), st.sampled_from((S, 1_500_000))
)


@seed(1)
@hypothesis_settings(max_examples=120, deadline=None, database=None)
@given(
    roles=ROLES,
    classes=CLASSES,
    zones=st.integers(1, 3),
    instances=st.sampled_from((1, 2, 3, 40, 200)),
    reports=st.booleans(),
    health_checks=st.booleans(),
    local_prefill=st.booleans(),
    may_cancel=st.booleans(),
    may_migrate=st.booleans(),
    retry_hints=st.booleans(),
    max_attempts=st.integers(1, 6),
    quotas=st.sampled_from(((), (5.0,), (3.0, 0.0, 40.0))),
    slow_start=SLOW_STARTS,
    day_seed=st.integers(0, 1 << 30),
)
def test_random_faults_violate_no_routing_rule_on_any_deployment(
    roles: list[Role],
    classes: list[tuple[Idempotency, str, int, float]],
    zones: int,
    instances: int,
    reports: bool,
    health_checks: bool,
    local_prefill: bool,
    may_cancel: bool,
    may_migrate: bool,
    retry_hints: bool,
    max_attempts: int,
    quotas: tuple[float, ...],
    slow_start: tuple[int, float, int],
    day_seed: int,
) -> None:
    kinds = tuple(MachineKind(role, 150_000) for role in roles)
    s = replace(
        SETTINGS,
        instances=instances,
        kinds=kinds,
        quotas=quotas,
        classes=tuple(
            replace(
                CLASS,
                idempotency=idempotency,
                idempotency_scope=scope,
                latency_objective=latency_objective,
                priority_weight=priority_weight,
            )
            for idempotency, scope, latency_objective, priority_weight in classes
        ),
        health_checks=health_checks,
        local_prefill=local_prefill,
        may_cancel=may_cancel,
        may_migrate=may_migrate,
        retry_hints=retry_hints,
        max_attempts=max_attempts,
        slow_start_window=slow_start[0],
        slow_start_initial_share=slow_start[1],
        overload_window=slow_start[2],
    )
    SimulatedDay(s, zones, reports, random.Random(day_seed)).simulate(120)
