"""A third deployment must not surprise: settings drawn over every way in which the first two differ (roles, racks,
zones, reports, cancelling, resuming, members, limits), a day of trouble on each, the rules audited from outside."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass, replace
from typing import Any

from hypothesis import given, seed
from hypothesis import settings as examples
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
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import Outcome
from pearhill.routing.settings import Idempotency, RouterSettings
from pearhill.routing.topology import Endpoint, MachineKind, Phase, Role
from tests.driver import CLASS, SETTINGS, S

RUNS = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.TRUNCATED, Outcome.CANCELLED)  # it may have run
FINAL = (RejectRequest, FailRequest)


@dataclass
class Seen:
    """What an auditor knows of one request."""

    cls: int
    end: int
    out: SendAttempt | None = None
    at: Endpoint | None = None
    attempts: int = 0
    began: bool = False
    answers: int = 0
    ran: Endpoint | None = None
    held: bool = False


class Day:
    """One router before engines that do as they like. Checks each action as it comes."""

    def __init__(self, s: RouterSettings, zones: int, reports: bool, rng: random.Random) -> None:
        self.s, self.rng, self.reports = s, rng, reports
        self.now, self.heap, self.count = 100 * S, [], 0
        self.router, self.seen, self.probed = LoadAwareRouter(s, rng.randrange(1 << 60)), {}, set()
        self.listed = {}
        for n in range(1, rng.randrange(4, 16)):
            started, weight = 0 if rng.random() < 0.8 else self.now, rng.choice((0.0, 1.0, 2.5))
            self.listed[n] = Endpoint(
                n, n % zones, n % len(s.kinds), n % zones * 10 + n % 2, Phase.READY, weight, started
            )
        self.feed(EndpointsUpdated(True, tuple(self.listed.values())))

    def later(self, wait: int, event: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + wait, self.count, event))

    def feed(self, event: Event) -> None:
        for action in self.router.handle(self.now, event):
            self.audit(action)

    def audit(self, a: Action) -> None:
        if isinstance(a, SetTimer):
            return self.later(a.delay, TimerFired(a.timer))
        if isinstance(a, LogMessage):
            return None
        if isinstance(a, SendHealthCheck):
            assert self.s.health_checks and a.replica in self.listed and a.replica not in self.probed
            took, end = (
                int(self.rng.lognormvariate(9, 2)),
                self.rng.choice((Outcome.ANSWERED,) * 6 + (Outcome.NOT_SENT, Outcome.TIMEOUT)),
            )
            load = self.rng.choice((None, (0.4, 7.0), (0.99, 0.0), (math.nan, 1.0), (-1.0, math.inf)))
            if self.rng.random() < 0.98:  # or nobody ever says how it ended
                self.probed.add(a.replica)
                self.later(took, HealthCheckEnded(a.replica, end, took, load))
            return None
        seen = self.seen[a.request]
        spec = self.s.classes[seen.cls]
        if isinstance(a, SendAttempt):
            assert not seen.out and not seen.answers, "a second attempt, or one after the final answer"
            assert seen.attempts < self.s.max_attempts and a.attempt_timeout > 0
            e = self.listed.get(a.replica)
            assert e and e.phase == Phase.READY, "a send to an engine that the list does not call ready"
            reads = self.s.kinds[e.kind].role == Role.PREFILL
            if seen.ran:
                assert spec.idempotency != Idempotency.UNSAFE, "an unsafe request that may have run went out again"
                same = {"all": True, "zone": e.zone == seen.ran.zone, "cell": e.cell == seen.ran.cell}[
                    spec.idempotency_scope
                ]
                assert spec.idempotency == Idempotency.IDEMPOTENT or same or reads
            if not reads and not seen.held:
                assert (
                    self.s.local_prefill or self.s.kinds[e.kind].role == Role.MIXED
                ), "nothing to fetch, and none may read"
            seen.out, seen.at, seen.attempts = a, e, seen.attempts + 1
            self.later(*self.fate(a, e, reads, seen))
        elif isinstance(a, FINAL):
            seen.answers += 1
            assert not seen.began and seen.answers == 1 and self.now <= seen.end
            if isinstance(a, RejectRequest):
                assert not (
                    seen.ran and spec.idempotency == Idempotency.UNSAFE
                ), "refused as harmless, and it may have run"
                assert not (seen.out and spec.idempotency == Idempotency.UNSAFE)
                assert 0 <= a.retry_after <= (self.s.max_retry_after if self.s.retry_hints else 0)
        elif isinstance(a, CancelAttempt):
            assert self.s.may_cancel and not seen.began
        elif isinstance(a, ReleaseState):
            seen.held = False
        else:
            assert isinstance(a, MigrateStream) and self.s.may_migrate

    def fate(self, a: SendAttempt, e: Endpoint, reads: bool, seen: Seen) -> tuple[int, Any]:
        """What becomes of an attempt, and when: it may also never be heard of again until its patience ends."""
        took = int(self.rng.lognormvariate(11.5, 1.2))
        if took >= a.attempt_timeout or self.rng.random() < 0.05:
            return a.attempt_timeout, (a, Outcome.TIMEOUT)
        usual = Outcome.PREFILLED if reads else "began"
        odd = (Outcome.ERROR, Outcome.TRUNCATED, Outcome.FULL, Outcome.UNREACHABLE) + (
            () if reads else (Outcome.STATE_LOST,)
        )
        return took, (a, usual if self.rng.random() < 0.8 else self.rng.choice(odd))

    def ended(self, a: SendAttempt, outcome: str) -> None:
        seen = self.seen[a.request]
        took = self.now - (seen.end - 4 * S)
        e = seen.at
        if outcome == "began":
            if seen.answers:  # too late: the client has its answer
                outcome = Outcome.CANCELLED
            else:
                seen.began, seen.held = True, False
                self.feed(ResponseStarted(a.request, seen.attempts - 1, a.replica, max(1, took)))
                end = Outcome.ANSWERED if self.rng.random() < 0.9 else Outcome.TRUNCATED
                return self.later(self.rng.randrange(1, 3 * S), (a, end))
        seen.out = None
        reads = self.s.kinds[e.kind].role == Role.PREFILL
        if outcome in RUNS and not reads:
            seen.ran = seen.ran or e
        settled = seen.began or bool(seen.answers)
        seen.held = outcome == Outcome.PREFILLED or (seen.held and outcome != Outcome.STATE_LOST)
        load = (self.rng.random(), 5.0) if self.reports and self.rng.random() < 0.7 else None
        self.feed(
            AttemptEnded(
                a.request,
                seen.attempts - 1,
                a.replica,
                outcome,
                settled,
                self.rng.randrange(3000) if outcome in (Outcome.PREFILLED, Outcome.ANSWERED) else 0,
                max(1, took),
                load,
                self.rng.choice((0, 0, 0, S)),
            )
        )
        asking = a.request in self.router.pending_queries  # for a bounded time: its timer is set
        assert settled or seen.out or seen.answers or asking, "an attempt ended, and its request is left alone"
        assert seen.out or asking or not seen.held, "a state stays pinned"

    def disturb(self) -> None:
        """The list changes, a client leaves, or the settings are read anew."""
        n = self.rng.choice(list(self.listed))
        kind = self.rng.randrange(4)
        if kind == 0 and len(self.listed) > 3:
            gone = replace(self.listed.pop(n), phase=Phase.GONE)
            self.feed(EndpointsUpdated(False, (gone,)))
        elif kind == 1:
            self.listed[n] = replace(
                self.listed[n], phase=self.rng.choice((Phase.READY, Phase.DRAINING)), started_at=self.now
            )
            self.feed(EndpointsUpdated(False, (self.listed[n],)))
        elif kind == 2 and self.seen:
            number = self.rng.choice(list(self.seen))
            if not self.seen[number].answers and not self.seen[number].began:
                self.seen[number].answers = 1  # nothing is owed to it any more
                self.feed(ClientDisconnected(number))
        else:
            self.router.reconfigure(self.s)

    def play(self, arrivals: int) -> None:
        at = self.now
        for n in range(1, arrivals + 1):
            at += int(self.rng.expovariate(1) * 40_000)
            heapq.heappush(self.heap, (at, -n, "arrival"))
        while self.heap and self.now < at + 40 * S:
            self.now, order, event = heapq.heappop(self.heap)
            if event == "arrival":
                cls, prompt = self.rng.randrange(len(self.s.classes)), self.rng.choice((40, 900, 5000, 60_000))
                self.seen[-order] = Seen(cls, self.now + 4 * S)
                self.feed(
                    RequestArrived(
                        -order,
                        cls,
                        self.rng.randrange(3),
                        self.rng.randrange(9),
                        self.rng.randrange(4),
                        prompt // 2,
                        prompt,
                        self.rng.choice((0, 300)),
                        4 * S,
                        self.rng.random() < 0.1,
                        self.s.may_migrate and self.rng.random() < 0.1,
                    )
                )
                if self.rng.random() < 0.08:
                    self.disturb()
            elif isinstance(event, HealthCheckEnded):
                self.probed.discard(event.replica)
                self.feed(event)
            elif isinstance(event, TimerFired):
                self.feed(event)
            elif self.seen[event[0].request].out is event[0]:
                self.ended(*event)
        assert all(s.answers or s.began for s in self.seen.values()), "a request without its final answer"
        assert not self.router.router.pending and not self.router.pending_queries, "books that do not close"
        assert all(e.tokens_in_flight == e.tokens_queued == 0 for e in self.router.router.replicas.values())


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
COLD = st.tuples(st.sampled_from((S, 13 * S)), st.sampled_from((0.05, 0.27, 1.0)), st.sampled_from((S, 1_500_000)))


@seed(1)
@examples(max_examples=120, deadline=None, database=None)
@given(
    roles=ROLES,
    classes=CLASSES,
    zones=st.integers(1, 3),
    instances=st.sampled_from((1, 2, 3, 40, 200)),
    reports=st.booleans(),
    probing=st.booleans(),
    local=st.booleans(),
    cancel=st.booleans(),
    resume=st.booleans(),
    hints=st.booleans(),
    attempts=st.integers(1, 6),
    quotas=st.sampled_from(((), (5.0,), (3.0, 0.0, 40.0))),
    cold=COLD,
    day=st.integers(0, 1 << 30),
)
def test_a_day_of_trouble_keeps_the_rules_on_any_deployment(
    roles, classes, zones, instances, reports, probing, local, cancel, resume, hints, attempts, quotas, cold, day
):
    kinds = tuple(MachineKind(role, 150_000) for role in roles)
    s = replace(
        SETTINGS,
        instances=instances,
        kinds=kinds,
        quotas=quotas,
        classes=tuple(
            replace(CLASS, idempotency=effect, idempotency_scope=group, latency_objective=aim, priority_weight=worth)
            for effect, group, aim, worth in classes
        ),
        health_checks=probing,
        local_prefill=local,
        may_cancel=cancel,
        may_migrate=resume,
        retry_hints=hints,
        max_attempts=attempts,
        slow_start_window=cold[0],
        slow_start_initial_share=cold[1],
        overload_window=cold[2],
    )
    Day(s, zones, reports, random.Random(day)).play(120)
