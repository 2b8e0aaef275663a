"""All of pearhill's decisions. The types of its settings, events and actions are in `pearhill/routing/`.

The ordinary path: a capped share of the prompt tokens, only short or kept prompts, is read directly at
writers; all other prompts go to the emptier of two readers hashed from their prefix, and a nearby writer is
picked after the read. Mixed servers take their share whole. All else guards that path. A node may see one
request in two hundred: what it knows of an engine (`Faded`) fades to what it knows of its kind or zone.
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pearhill.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    LogMessage,
    QueryLoad,
    RejectRequest,
    ReleaseState,
    SendAttempt,
    SetTimer,
)
from pearhill.routing.events import (
    AdmissionStatus,
    AttemptEnded,
    ClientDisconnected,
    EndpointsUpdated,
    Event,
    LoadKnown,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome
from pearhill.routing.permissions import Execution, may_reject, may_retry
from pearhill.routing.settings import Idempotency, RouterSettings
from pearhill.routing.slow_start import STEP_EVERY, SlowStart, TokenBucket
from pearhill.routing.topology import Endpoint, MachineKind, Phase, Role

RATIO_START, RATIO_STEP, RATIO_MAX = 0.2, 0.1, 0.3  # design; it moves at each step, every two seconds
SHORT = 2_000  # design: fewer uncached tokens than this may be read at a writer
PAD = 500  # tokens that a step of an engine costs even for the shortest prompt, roughly
PATIENCE = 4  # an attempt may take this many times what is expected of it
SHED = 0.35  # share of the first-token aim a read may take; twice that for the class of most worth
STRETCH = 1.4  # mixed servers and writers whose answers take so many times the mean get no reads
OUTLIER = 1 / 3  # an engine or zone whose attempts fail this much more often than its peers' is out
FULL_MEMORY = 0.92  # share of a writer's memory above which nothing is read or placed there
LATE_FETCH, CUT, REGROW = 0.2, 0.8, 8_000_000  # a late fetch, of the aim; what it leaves; doubles in this
RETRY_SHARE, RETRY_BURST = 0.2, 2  # further attempts for each arrival, and how many may be saved up
CROWD = 1.5  # a writer with so many times the others' work, and one request's, gets no more for now
GIANT = 2  # prompts of more than so many times their class's usual length are not as kept as others
WIDE = 2  # a prefix with a reader's fair share of the reading has so many homes, and two for any less
DRAWN_KEEP, DRAWN_LEAST = 0.9, 10  # of that share: kept by each step; from fewer requests it tells little
KEYS, KEEP = 1_000, 600_000_000  # entries of an engine's table, and how long any stays: a pause in a talk


def mix(key: int, engine: int) -> int:
    """Rendezvous weight of an engine for a key: the same at every node, whatever its seed."""
    x = (key ^ (engine * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
    for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
        x = ((x ^ (x >> shift)) * factor) & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 31)


def keys(req: RequestArrived) -> list[tuple[tuple[bool, int], int]]:
    """Where an engine's prefix table holds a prompt's session and prefix, and how long they are."""
    both = ((False, req.session), req.prompt_tokens), ((True, req.prefix), req.prefix_tokens)
    return [(key, tokens) for key, tokens in both if key[1]]


class DecayingMean:
    """A running mean; its evidence halves with each `half` of age and is worth `most` samples at most."""

    def __init__(self, half_life: float, max_weight: float, value: float = 0.0) -> None:
        self.half_life, self.max_weight, self.value, self.weight, self.updated_at = half_life, max_weight, value, 0.0, 0

    def weight_at(self, now: int) -> float:
        return self.weight * 0.5 ** ((now - self.updated_at) / self.half_life) if self.weight else 0.0

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        earlier_weight = self.weight_at(now)
        self.value += (value - self.value) * weight / (earlier_weight + weight)
        self.weight, self.updated_at = min(self.max_weight, earlier_weight + weight), now

    def value_with_prior(self, now: int, prior: float, prior_weight: float = 1.0) -> float:
        """The mean, with what its evidence has faded away filled by a prior that is worth so many samples."""
        weight = self.weight_at(now)
        return (weight * self.value + prior_weight * prior) / (weight + prior_weight)


class ReplicaState:
    """What I know of one engine: its list entry, my work there and how it has treated me."""

    def __init__(self, entry: Endpoint, kind: MachineKind, phase: float) -> None:
        self.id, self.role, self.memory_tokens, self.endpoint = (
            entry.replica,
            kind.role,
            max(1, kind.memory_tokens),
            entry,
        )
        # The prefix table. In one table for all, prompts kept by engines long gone fill the memory.
        self.cached_prefixes: OrderedDict[tuple[bool, int], tuple[int, int]] = OrderedDict()
        self.tokens_in_flight = self.tokens_queued = self.tokens_since_report = (
            0  # my tokens: under way, to be read, sent since its report
        )
        self.unanswered: dict[int, PendingRequest] = {}
        self.time_per_token = [
            DecayingMean(2 * STEP_EVERY, 5),
            DecayingMean(2 * STEP_EVERY, 5),
        ]  # fetching a state, reading a prompt
        self.failure_rate = DecayingMean(2 * STEP_EVERY, 2)
        self.memory_used = DecayingMean(2 * STEP_EVERY, 4)  # share of memory, from its reports
        self.answer_time_ratio = DecayingMean(2 * STEP_EVERY, 10)  # answers' times against the mean of their class
        self.reported_at, self.last_answer_at, self.slow_start_bucket = 0, 0, TokenBucket(phase)  # of slow start
        self.load_limit, self.load_limit_set_at = (
            0.0,
            0,
        )  # my tokens there that it bore when a fetch was last late; 0: never
        self.unavailable_until = 0  # until then it wants nothing more
        self.ejected_until, self.reported_queue, self.reported_queue_at = (
            0,
            0.0,
            0,
        )  # it answers no probe; tokens it said wait


class PendingRequest:
    """One request, until its final answer and the end of its last attempt."""

    def __init__(self, req: RequestArrived, end: int, aim_at: int) -> None:
        self.request, self.deadline, self.objective_at, self.latency_objective = (
            req,
            end,
            aim_at,
            aim_at - end + req.timeout,
        )
        self.replica: ReplicaState | None = None
        self.attempt = self.home = -1
        self.sent_at = self.service_tokens = self.prefill_tokens = self.load_tokens = self.expected_cached_tokens = (
            self.state_held_since
        ) = 0
        self.is_prefilling = self.fetches_state = self.response_started = self.answered = self.in_flight = False
        self.state_holder: ReplicaState | None = None
        self.execution: Execution | None = None
        self.tried_replicas: list[int] = []
        self.last_query, self.queried_replicas = (
            (-2, False),
            list[ReplicaState](),
        )  # the choice asked for, and between whom


class Router:
    """Decides for one node. Feed it every event with its time; do what it returns, in order."""

    def __init__(self, settings: RouterSettings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now, self.actions = 0, list[Action]()
        self.slow_start = SlowStart(settings, (Role.PREFILL, Role.DECODE, Role.MIXED))
        self.reconfigure(settings)
        self.replicas: dict[int, ReplicaState] = {}
        self.ready: dict[str, list[ReplicaState]] = {Role.PREFILL: [], Role.DECODE: [], Role.MIXED: []}
        self.pending: dict[int, PendingRequest] = {}
        self.timers, self.timer = dict[int, int](), 0
        self.local_prefill_ratio, self.local_prefill_allowance, self.retries = RATIO_START, 0.0, float(RETRY_BURST)
        self.prefill_latency_share = DecayingMean(STEP_EVERY, 30, 0.5)
        self.waits = {role: DecayingMean(STEP_EVERY / 2, 6) for role in self.ready}  # tokens, as told lately
        self.query_roles = frozenset[str]()  # roles at which the engines of a choice are asked before it
        self.drawn, self.drawn_all = dict[int, float](), 0.0  # tokens read, by prefix, over ten steps or so
        self.asked: dict[int, float] = {}  # by tenant, over the last five steps or so
        least = (
            min(spec.latency_objective for spec in settings.classes) / SHORT
        )  # until seen, reads are just quick enough
        self.guess = [(0.0, least / (16 if kind.role == Role.PREFILL else 4)) for kind in settings.kinds]
        self.paces = [
            (DecayingMean(STEP_EVERY, 30), DecayingMean(STEP_EVERY, 30)) for _ in settings.kinds
        ]  # a kind's all
        self.helds = [DecayingMean(STEP_EVERY, 30) for _ in settings.kinds]
        self.zones: dict[int, DecayingMean] = {}  # failed attempts, by zone
        self.found = [
            DecayingMean(2 * STEP_EVERY, 30),
            DecayingMean(2 * STEP_EVERY, 30),
        ]  # kept share of prompts, by home
        self.sends = dict.fromkeys(self.ready, 0.0)
        self.lengths, self.lasts = dict[int, DecayingMean](), dict[int, DecayingMean]()  # by class: prompts', answers'
        self.handlers: dict[type, Callable[[Any], None]] = {
            EndpointsUpdated: self._listed,
            RequestArrived: self._arrived,
            ResponseStarted: self._began,
            AttemptEnded: self._ended,
            ClientDisconnected: self._left,
            TimerFired: self._due,
            LoadKnown: self._looked,
        }

    def reconfigure(self, settings: RouterSettings) -> None:
        """Other figures for the same classes, kinds and zones."""
        self.settings, self.best = settings, max(spec.priority_weight for spec in settings.classes) or 1
        self.slow_start.settings = settings

    def handle(self, now: int, event: Event) -> list[Action]:
        """One event in, the actions it asks for out."""
        self.now, self.actions = now, []
        if not self.timer:
            self._timer(-1, STEP_EVERY)
        self.handlers[type(event)](event)
        return self.actions

    def _listed(self, event: EndpointsUpdated) -> None:
        named = {entry.replica for entry in event.endpoints}
        gone = [replace(e.endpoint, phase=Phase.GONE) for e in self.replicas.values() if e.id not in named]
        for entry in list(event.endpoints) + (gone if event.full else []):
            e = self.replicas.get(entry.replica)
            # An engine that comes back empty would be believed to keep prompts, and to be as it was.
            if e is None or entry.started_at > e.endpoint.started_at:
                e = self.replicas[entry.replica] = ReplicaState(
                    entry, self.settings.kinds[entry.kind], self.rng.random()
                )
            e.endpoint = entry
            if entry.phase == Phase.GONE:
                del self.replicas[e.id]  # its attempts still out hold it until they end
                if self.settings.may_cancel:  # Work at a lost engine would wait for its whole time-out.
                    self.actions += [CancelAttempt(job.request.request, job.attempt) for job in e.unanswered.values()]
        for role in self.ready:
            ready = [e for e in self.replicas.values() if e.role == role and e.endpoint.phase == Phase.READY]
            before, self.ready[role] = len(self.ready[role]), sorted(ready, key=lambda e: e.id)
            # What fewer engines share comes in one step, and finds tokens that nobody had asked for.
            for e in self.ready[role] if self.rng.random() * before > len(self.ready[role]) else []:
                e.slow_start_bucket.tokens = min(e.slow_start_bucket.tokens, self.rng.random())

    def _belief(self, e: ReplicaState, req: RequestArrived, home: int = -1) -> int:
        """Prompt tokens an engine should still keep: entries that its memory's worth of new tokens has not
        pushed out, or what reads found lately at the pair (home 1: the session's own one, 0: the other)."""
        # A prompt of many times the usual length is new text; believed kept, it jams all readers.
        usual = (
            GIANT * self.lengths[req.request_class].value if req.request_class in self.lengths else req.prompt_tokens
        )
        best = int(self.found[home].value * min(req.prompt_tokens, usual)) if home >= 0 else 0
        for key, most in keys(req):
            tokens, at = e.cached_prefixes.get(key, (0, 0))
            if (self.now - at) * self.sends[e.role] < e.memory_tokens:
                best = max(best, min(tokens, most))
        return best

    def _learn(self, e: ReplicaState, req: RequestArrived) -> None:
        for key, tokens in keys(req):
            e.cached_prefixes[key] = (tokens, self.now)
            e.cached_prefixes.move_to_end(key)
        while e.cached_prefixes and (
            len(e.cached_prefixes) > KEYS or next(iter(e.cached_prefixes.values()))[1] < self.now - KEEP
        ):
            e.cached_prefixes.popitem(last=False)

    def _warm(self, e: ReplicaState) -> bool:
        return self.slow_start.is_warm(e.endpoint, self.now)

    def _bears(self, e: ReplicaState) -> bool:
        return self.slow_start.admits(e.endpoint, e.role, e.slow_start_bucket, self.now)

    def _open(self, pool: list[ReplicaState], job: PendingRequest) -> list[ReplicaState]:
        """The engines of a pool that may get this request, without those that fail more than their peers."""
        fit = [e for e in pool if e.unavailable_until <= self.now and self._legal(job, e) and self._bears(e)]
        # A cut zone: each of its engines was tried too seldom to tell, all of them together were not.
        fails = {zone: fails.value_with_prior(self.now, 0.0) for zone, fails in self.zones.items()}
        line = min(fails.values(), default=0.0) + OUTLIER
        near = [e for e in fit if fails.get(e.endpoint.zone, 0.0) < line] or fit
        well = [
            e
            for e in near
            if e.ejected_until <= self.now
            and e.failure_rate.value_with_prior(self.now, fails.get(e.endpoint.zone, 0.0)) < line
        ]
        # Panic threshold. Where most look bad the judgement is at fault; ejected, they bury the rest.
        well = well if 2 * len(well) >= len(near) else near
        return [e for e in well if e.id not in job.tried_replicas] or well

    def _legal(self, job: PendingRequest, e: ReplicaState) -> bool:
        """Whether this request may be sent to this replica at all."""
        if job.request.allowed_kinds and e.endpoint.kind not in job.request.allowed_kinds:
            return False
        spec = self.settings.classes[job.request.request_class]
        return may_retry(spec, job.execution, e.endpoint.zone, e.endpoint.cell, self.now) is None

    def _held(self, e: ReplicaState, tokens: int) -> float:
        """The share of its memory held there: as reported, the older the more its kind's, and sent since.
        With no reports, my work against what it last bore. Memory of a jam outlives the jam."""
        bore = e.load_limit * 2 ** min(9.0, (self.now - e.load_limit_set_at) / REGROW)
        if bore and not self.helds[e.endpoint.kind].weight:
            return FULL_MEMORY * (e.tokens_in_flight + tokens) / bore if e.tokens_in_flight else 0.0
        usual = self.helds[e.endpoint.kind].value_with_prior(self.now, 0.0, 0.2)
        return e.memory_used.value_with_prior(self.now, usual, 0.2) + (e.tokens_since_report + tokens) / e.memory_tokens

    def _emptier(self, pool: list[ReplicaState]) -> ReplicaState:
        two = self.rng.sample(pool, min(2, len(pool)))
        told = Role.DECODE in self.query_roles  # then its own word of its memory says more than my part
        return min(
            two,
            key=lambda e: (
                e.ejected_until > self.now,
                self._held(e, 0) if told else 0.0,
                e.tokens_in_flight / (e.endpoint.weight or 1),
                self._held(e, 0),
            ),
        )

    def _takes(self, e: ReplicaState, weight: float, reads: bool = True) -> float:
        """How long reading a prompt, or fetching its state, should take until the first token."""
        pool = self.paces[e.endpoint.kind][reads]
        # A node that refuses all hears nothing more. What it believes of a jam must fade as well.
        usual = pool.value_with_prior(self.now, self.guess[e.endpoint.kind][reads], 0.2)
        return weight * e.time_per_token[reads].value_with_prior(self.now, usual)

    def _read_time(self, e: ReplicaState, req: RequestArrived, home: int = -1) -> float:
        return self._takes(e, self._ahead(e) + req.prompt_tokens - self._belief(e, req, home) + PAD)

    def _ahead(self, e: ReplicaState) -> float:
        """Tokens that all nodes have waiting there, as far as I am told. Taken for slow reading,
        others' queue at one engine has me refuse what the idle ones could read, long after it is gone."""
        return max(
            e.tokens_queued,
            e.reported_queue if e.reported_queue_at == self.now else self.waits[e.role].value_with_prior(self.now, 0.0),
        )

    def _arrived(self, req: RequestArrived) -> None:
        if req.admission in (AdmissionStatus.OVER_LIMIT, AdmissionStatus.OVERDRAWN):
            return self.actions.append(
                RejectRequest(req.request, req.retry_after if self.settings.retry_hints else 0, "over-budget")
            )
        aim = (
            self.settings.classes[req.request_class].latency_objective
            + self.settings.classes[req.request_class].latency_objective_per_1000_tokens * req.prompt_tokens / 1000
        )
        job = self.pending[req.request] = PendingRequest(req, self.now + req.timeout, int(self.now + aim))
        self.lengths.setdefault(req.request_class, DecayingMean(2 * STEP_EVERY, 30)).add(self.now, req.prompt_tokens)
        self._timer(req.request, max(1, req.timeout - 4 * self.settings.tick))
        self.asked[req.tenant] = self.asked.get(req.tenant, 0.0) + (not req.is_retry)
        self.local_prefill_allowance = min(
            4 * SHORT, self.local_prefill_allowance + self.local_prefill_ratio * req.prompt_tokens
        )
        self.retries = min(RETRY_BURST, self.retries + RETRY_SHARE)
        self._place(job)

    def _place(self, job: PendingRequest) -> None:
        """The ordinary path of a prompt that is not read yet."""
        req, usual = job.request, self.lengths[job.request.request_class].value
        fair = int(min(req.prompt_tokens, usual))  # By its length what is long is refused by idle ones, too
        roomy = [e for e in self._open(self.ready[Role.DECODE], job) if self._held(e, fair) < FULL_MEMORY]
        mixed = [e for e in self._order(self.ready[Role.MIXED], job) if self._held(e, fair) < FULL_MEMORY]
        # Load shedding. A prompt that is read with no writer in sight is read for nothing.
        if job.attempt < 0 and not roomy and not mixed:
            return self._close(job, "no-room")
        if mixed and self._quick(whole := min(mixed[:2], key=lambda e: self._held(e, 0)), job):
            return None if self._look(job, mixed[:2]) else self._send(job, whole)  # long reads stall streams
        if roomy and self.settings.local_prefill and self.local_prefill_ratio and (local := self._local(job, roomy)):
            self.local_prefill_allowance -= req.prompt_tokens - self._belief(local, req)
            return self._send(job, local)
        # A prompt read by the last attempt that is allowed is read for nothing.
        if (order := self._order(self.ready[Role.PREFILL], job)) and job.attempt + 2 < self.settings.max_attempts:
            line = (min(job.objective_at, job.deadline) - self.now) * SHED * (1 + self._worth(req) / self.best)
            # All nodes send a favourite to one pair, and each sees it idle. The more it draws, the
            # more homes; the pair among them is the session's own, so that most stay as the count changes.
            homes, session = order[: self._homes(req, len(order))], req.session or req.request
            pair = sorted(homes, key=lambda e: mix(session, e.id))[:2]
            if self._look(job, pair):
                return None
            reader = min(pair, key=lambda e: (e.ejected_until > self.now, self._ahead(e)))  # or by session
            job.home = int(reader is pair[0])
            takes = self._read_time(reader, req, job.home)
            line += self._takes(reader, max(0.0, req.prompt_tokens - self._belief(reader, req, job.home) - usual))
            # A long prompt or a favourite jams its pair while others idle. Past a pair over the line
            # the next in order finds it kept; last come mixed servers, that it delays for half as long.
            quick = (e for e in order + mixed[:2] if self._read_time(e, req) <= line / (1 + (e in mixed)))
            if takes > line and (other := next(quick, None)):
                reader, job.home = other, -1
            # Load shedding, least worth first. Work that is late anyway delays what could be in time.
            elif takes > line and job.attempt < 0:
                return self._close(job, "slow-reads")
            return self._send(job, reader)
        # No reader is left: the exception reads at a writer or mixed server, whatever the prompt's length.
        rest = mixed + (roomy if self.settings.local_prefill else [])
        self._pick(job, rest) if rest else self._close(job, "no-replica")

    def _look(self, job: PendingRequest, pool: list[ReplicaState]) -> bool:
        """Ask what the engines of a choice tell of themselves, once before each that is worth it."""
        if (
            len(pool) < 2
            or pool[0].role not in self.query_roles
            or job.last_query == (job.attempt, bool(job.state_holder))
        ):
            return False
        job.last_query, job.queried_replicas = (job.attempt, bool(job.state_holder)), pool
        self.actions.append(QueryLoad(job.request.request, tuple(e.id for e in pool)))
        return True

    def _pick(self, job: PendingRequest, pool: list[ReplicaState]) -> None:
        if self.query_roles:
            pool = [e for e in job.queried_replicas if e in pool] or self.rng.sample(pool, min(2, len(pool)))
        if not self._look(job, pool):
            self._send(job, self._emptier(pool))

    def _looked(self, event: LoadKnown) -> None:
        for told in event.reports:
            if e := self.replicas.get(told.replica):
                e.ejected_until, e.reported_queue, e.reported_queue_at = (
                    told.ejected_until,
                    told.queued_tokens,
                    self.now,
                )
                if told.confidence > 0.5:
                    self.waits[e.role].add(self.now, told.queued_tokens)
                    self._reported(e, told.memory_used)
        if (job := self.pending.get(event.request)) and not job.answered and not job.in_flight:
            (self._write if job.state_holder else self._place)(job)

    def _reported(self, e: ReplicaState, held: float) -> None:
        e.memory_used.add(self.now, held, e.memory_used.max_weight)
        self.helds[e.endpoint.kind].add(self.now, held)
        e.tokens_since_report, e.reported_at = 0, self.now

    def _order(self, pool: list[ReplicaState], job: PendingRequest) -> list[ReplicaState]:
        """The open engines of a pool in the hash order of the prefix, else the session."""
        key = job.request.prefix or job.request.session or job.request.request
        return sorted(self._open(pool, job), key=lambda e: mix(key, e.id))

    def _homes(self, req: RequestArrived, readers: int) -> int:
        """How many readers share the prompts that begin alike, out of so many that are open: two, or what the
        prefix draws of all reading, as far as my few requests tell."""
        least = DRAWN_LEAST * (PAD + max(0, req.prompt_tokens - req.prefix_tokens))  # a client may say any
        share = self.drawn.get(req.prefix, 0.0) / (self.drawn_all + least) if req.prefix else 0.0
        return max(2, math.ceil(WIDE * share * readers))

    def _worth(self, req: RequestArrived) -> float:
        """Worth of a request, less its tenant's part beyond its share, as far as my part of it tells."""
        # What is lent out must not crowd out a guarantee.
        over, worth = (
            float(req.admission == AdmissionStatus.BURST),
            self.settings.classes[req.request_class].priority_weight,
        )
        if not over and req.tenant < len(self.settings.quotas):  # five requests weigh, whatever my few say
            mine = self.settings.quotas[req.tenant] / self.settings.instances * 5 * STEP_EVERY / 1_000_000
            over = max(0.0, 1 - (mine + 5) / (self.asked.get(req.tenant, 0.0) + 5))
        return worth * (1 - over * (1 - self.settings.over_quota_weight))

    def _local(self, job: PendingRequest, pool: list[ReplicaState]) -> ReplicaState | None:
        """The writer that reads this prompt itself, if it is short there and the cap allows it."""
        e, req = max(pool, key=lambda e: self._belief(e, job.request)), job.request
        e = e if self._belief(e, req) else self._emptier(pool)
        return (
            e
            if req.prompt_tokens - self._belief(e, req) <= self.local_prefill_allowance and self._quick(e, job)
            else None
        )

    def _quick(self, e: ReplicaState, job: PendingRequest) -> bool:
        """A short read, to be done within a quarter of the aim, and no streams that it delays."""
        return (
            job.request.prompt_tokens - self._belief(e, job.request) < SHORT
            and e.answer_time_ratio.value_with_prior(self.now, 1.0) < STRETCH
            and self._read_time(e, job.request) < job.latency_objective / 4
            and e.tokens_in_flight <= self._crowd(job.request)
        )

    def _crowd(self, req: RequestArrived) -> float:
        """My work at a writer past which it gets no more. A favourite, or the one that a release
        left in a cell, gets all, while others idle. How slow its answers are shows late, my work at once."""
        pool = self.ready[Role.DECODE] + self.ready[Role.MIXED]
        return CROWD * (
            sum(p.tokens_in_flight for p in pool) / max(1, len(pool)) + req.prompt_tokens + req.max_output_tokens // 2
        )

    def _write(self, job: PendingRequest) -> None:
        """The state waits at a reader: pick a writer near it."""
        assert job.state_holder is not None
        at, pool = job.state_holder.endpoint, self._open(self.ready[Role.DECODE] + self.ready[Role.MIXED], job)
        roomy = [
            e for e in pool if self._held(e, job.request.prompt_tokens) < FULL_MEMORY
        ] or pool  # exception: no room
        line = self._crowd(job.request)
        calm = [e for e in roomy if e.tokens_in_flight <= line]
        cell = [e for e in calm if e.endpoint.cell == at.cell]
        near = cell or [e for e in calm if e.endpoint.zone == at.zone] or calm or roomy
        self._pick(job, near) if near else self._close(job, "no-writer")

    def _send(self, job: PendingRequest, e: ReplicaState) -> None:
        req, left, spec = job.request, job.deadline - self.now, self.settings.classes[job.request.request_class]
        job.is_prefilling, job.fetches_state, job.replica = e.role == Role.PREFILL, job.state_holder is not None, e
        job.expected_cached_tokens = 0 if job.fetches_state else self._belief(e, req)
        job.prefill_tokens = (
            0 if job.fetches_state else req.prompt_tokens - self._belief(e, req, job.home if job.is_prefilling else -1)
        )
        job.load_tokens = job.prefill_tokens if job.is_prefilling else req.prompt_tokens + req.max_output_tokens // 2
        job.service_tokens = int(self._ahead(e)) + job.prefill_tokens + PAD
        job.attempt, job.sent_at, job.in_flight = job.attempt + 1, self.now, True
        job.tried_replicas.append(e.id)
        e.tokens_queued += job.prefill_tokens
        e.tokens_in_flight, e.tokens_since_report = (
            e.tokens_in_flight + job.load_tokens,
            e.tokens_since_report + (0 if job.is_prefilling else req.prompt_tokens),
        )
        self.sends[e.role] += (
            job.prefill_tokens * self.settings.instances / max(1, len(self.ready[e.role])) * 0.2 / STEP_EVERY
        )
        e.unanswered[req.request] = job
        e.slow_start_bucket.tokens -= 1
        # A silent engine eats the client's whole time. Leave time for another attempt, unless a hasty
        # client's time is too short: many short attempts would all be in vain.
        wait = max(
            PATIENCE * self._takes(e, job.service_tokens, not job.fetches_state),
            job.latency_objective / (2 - job.fetches_state),
        )
        last = job.attempt + 1 >= self.settings.max_attempts or wait > left
        held_until = job.state_held_since + self.settings.state_hold_time if job.state_holder else 0
        by = [held_until] if held_until else []  # its connection may come up late
        by += (
            [job.execution.sent_at + spec.idempotency_window]
            if job.execution and spec.idempotency == Idempotency.KEYED and not job.is_prefilling
            else []
        )
        patience = max(1, int(left if last else min(wait, left / 2)))
        self.actions.append(SendAttempt(req.request, e.id, patience, min(by, default=0), held_until))

    def _began(self, event: ResponseStarted) -> None:
        if (
            (job := self.pending.get(event.request))
            and job.in_flight
            and job.replica
            and job.replica.id == event.replica
        ):
            self._answers(job.replica, job, event.elapsed)
            if job.fetches_state and event.elapsed > LATE_FETCH * job.latency_objective:
                self._filled(job.replica, job)
            job.response_started, job.state_holder = True, None

    def _ended(self, event: AttemptEnded) -> None:
        job = self.pending.get(event.request)
        if not job or not job.in_flight or not (e := job.replica) or e.id != event.replica:
            return
        job.in_flight = job.response_started = False
        e.tokens_queued -= job.prefill_tokens if e.unanswered.pop(event.request, None) else 0
        e.tokens_in_flight -= job.load_tokens
        e.unavailable_until = max(e.unavailable_until, self.now + event.retry_after if event.retry_after else 0)
        e.tokens_since_report -= (
            job.request.prompt_tokens if not job.is_prefilling and job.sent_at >= e.reported_at else 0
        )
        if event.load:
            self._reported(e, event.load[0])
        if event.outcome in (Outcome.PREFILLED, Outcome.ANSWERED):
            self._finished(e, job)
            if event.cached_tokens * 2 < job.expected_cached_tokens - PAD:
                e.cached_prefixes.clear()  # It has lost what it kept, and I would read long prompts there.
            if job.is_prefilling and job.home >= 0:
                self.found[job.home].add(self.now, min(1.0, event.cached_tokens / max(1, job.request.prompt_tokens)))
            if e.role == Role.DECODE and not job.fetches_state:
                self.local_prefill_allowance += job.prefill_tokens + event.cached_tokens - job.request.prompt_tokens
        if event.outcome == Outcome.PREFILLED:
            job.state_holder = e
            self._answers(e, job, event.elapsed)
            self.prefill_latency_share.add(self.now, event.elapsed / job.latency_objective)
            drawn = max(0, job.request.prompt_tokens - event.cached_tokens) + PAD
            self.drawn[job.request.prefix] = self.drawn.get(job.request.prefix, 0.0) + drawn
            self.drawn_all += drawn
        elif event.outcome in (Outcome.TIMEOUT, Outcome.ERROR, Outcome.UNREACHABLE, Outcome.TRUNCATED):
            if event.outcome == Outcome.TIMEOUT:  # From what answers alone, a jam looks quick.
                self._paced(e, job, event.elapsed)
                if job.fetches_state:
                    e.memory_used.add(self.now, 1.0, e.memory_used.max_weight)
                    self._filled(e, job)
            if event.outcome != Outcome.TIMEOUT or e.last_answer_at <= job.sent_at:
                self._judged(e, 1.0, event.outcome)
        job.state_holder = None if event.outcome == Outcome.STATE_LOST else job.state_holder
        if event.outcome not in (
            Outcome.UNREACHABLE,
            Outcome.WITHDRAWN,
            Outcome.NOT_SENT,
        ):  # else the time of what is held runs on
            job.state_held_since = self.now
        if event.outcome not in NOT_EXECUTED and not job.is_prefilling:
            job.execution = job.execution or Execution(e.endpoint.zone, e.endpoint.cell, job.sent_at)
        if event.outcome == Outcome.ANSWERED:
            mean = self.lasts.setdefault(job.request.request_class, DecayingMean(2 * STEP_EVERY, 20, event.elapsed))
            mean.add(self.now, event.elapsed)
            e.answer_time_ratio.add(self.now, event.elapsed / max(1, mean.value))
        if event.answered or job.answered:
            self.actions.append(ReleaseState(event.request))
            del self.pending[event.request]
        elif event.outcome == Outcome.PREFILLED:
            self._write(job)
        else:
            if event.outcome == Outcome.WITHDRAWN:  # never begun: no attempt is spent, and no retry
                job.attempt, self.retries = job.attempt - 1, self.retries + 1
            self._again(job)

    def _again(self, job: PendingRequest) -> None:
        """An attempt has failed: try elsewhere while that is allowed and of use."""
        # Retry budget. Attempts that fail under load add to it. _legal stops unsafe ones.
        if job.attempt + 1 >= self.settings.max_attempts:
            return self._close(job, "attempts-used")
        if self.retries < 1:
            return self._close(job, "retry-budget")
        self.retries -= 1
        if job.state_holder and self.now < job.state_held_since + self.settings.state_hold_time:
            return self._write(job)
        job.state_holder = None
        # A state may wait at a reader that was cut off, or while no writer's connection comes up.
        self.actions.append(ReleaseState(job.request.request))
        self._place(job)

    def _close(self, job: PendingRequest, why: str) -> None:
        """The final answer, and whatever is held goes with it. A refused client is told to stay away for as
        long as it heeds. Those who come back at once add to the jam that they were refused for."""
        # Even a read counts as one that may run until it has ended, and a refusal would be a lie.
        spec, away = (
            self.settings.classes[job.request.request_class],
            self.settings.max_retry_after if self.settings.retry_hints else 0,
        )
        if may_reject(spec, job.execution is not None or job.in_flight):
            self.actions.append(RejectRequest(job.request.request, away, why))
        else:
            self.actions.append(FailRequest(job.request.request, why))
        self._drop(job)

    def _drop(self, job: PendingRequest) -> None:
        """A state that stays pinned. REFUSE, FAIL and a client's leaving let go of nothing."""
        job.answered = True
        if not job.in_flight:
            self.actions.append(ReleaseState(self.pending.pop(job.request.request).request.request))
        elif self.settings.may_cancel and not job.response_started:
            self.actions.append(CancelAttempt(job.request.request, job.attempt))

    def _left(self, event: ClientDisconnected) -> None:
        if job := self.pending.get(event.request):
            self._drop(job)

    def _answers(self, e: ReplicaState, job: PendingRequest, rtt: int) -> None:
        """An engine has read a prompt or begun an answer."""
        e.tokens_queued -= job.prefill_tokens if e.unanswered.pop(job.request.request, None) else 0
        if not job.fetches_state:  # A state that was fetched is not kept there, but would be read anew.
            self._learn(e, job.request)
        e.last_answer_at = self.now
        if (
            not e.failure_rate.value or job.sent_at > e.failure_rate.updated_at
        ):  # an older answer is no sign of recovery
            self._judged(e, 0.0, "")
        self._paced(e, job, rtt)

    def _finished(self, e: ReplicaState, job: PendingRequest) -> None:
        """An engine has done what it was asked for. An empty one begins answers far faster than it finishes them: those
        that have only begun tell nothing of what it bears."""
        if self._warm(e):
            warm_weight = sum(p.endpoint.weight or 1 for p in self.ready[e.role] if self._warm(p))
            self.slow_start.answered(e.role, warm_weight, self._mean_requests(job))

    def _mean_requests(self, job: PendingRequest) -> float:
        """How many requests of its class's mean work this one is, one at most. On a cold engine each weighs as that
        mean, while warm ones of a role may get light ones above all: what they answer is not what a cold one bears."""
        if job.fetches_state:  # writing an answer takes what it takes, whatever was read before it
            return 1.0
        return min(1.0, (job.request.prompt_tokens + PAD) / (self.lengths[job.request.request_class].value + PAD))

    def _filled(self, e: ReplicaState, job: PendingRequest) -> None:
        """No slot or no memory came free in time: with less of my work there it may. One jam cuts once."""
        if job.sent_at >= e.load_limit_set_at:
            e.load_limit, e.load_limit_set_at = (
                max(CUT * (e.tokens_in_flight + (0 if job.in_flight else job.load_tokens)), job.load_tokens),
                self.now,
            )

    def _paced(self, e: ReplicaState, job: PendingRequest, rtt: int) -> None:
        reads, pool = not job.fetches_state, self.paces[e.endpoint.kind][not job.fetches_state]
        pace = min(rtt / job.service_tokens, PATIENCE * pool.value if pool.weight else rtt)  # one giant is not all
        e.time_per_token[reads].add(self.now, pace)
        pool.add(self.now, pace)

    def _judged(self, e: ReplicaState, failed: float, why: str) -> None:
        """One attempt has failed, or not. A dead engine and a cut zone go on catching requests."""
        bad = e.failure_rate.value > OUTLIER
        e.failure_rate.add(self.now, failed)
        self.zones.setdefault(e.endpoint.zone, DecayingMean(STEP_EVERY, 4)).add(self.now, failed)
        if bad != (e.failure_rate.value > OUTLIER):
            self.actions.append(LogMessage(f"engine {e.id} {'out: ' + why if failed else 'is back'}"))

    def _timer(self, what: int, wait: int) -> None:
        self.timer += 1
        self.timers[self.timer] = what
        self.actions.append(SetTimer(self.timer, wait))

    def _due(self, event: TimerFired) -> None:
        if (what := self.timers.pop(event.timer, -2)) == -1:
            self._step()
        elif (job := self.pending.get(what)) and not job.answered and not job.response_started:
            self._close(job, "deadline")

    def _step(self) -> None:
        """The ratio's step. Reads still out count with their age. A hung reader looks fast."""
        self._timer(-1, STEP_EVERY)
        for e in self.ready[Role.PREFILL]:
            if oldest := next(iter(e.unanswered.values()), None):
                self.prefill_latency_share.add(self.now, (self.now - oldest.sent_at) / oldest.latency_objective)
        step = RATIO_STEP if (share := self.prefill_latency_share.value) > 0.5 else -RATIO_STEP if share < 0.25 else 0.0
        self.local_prefill_ratio = round(min(RATIO_MAX, max(0.0, self.local_prefill_ratio + step)), 1)
        self.drawn = {prefix: n * DRAWN_KEEP for prefix, n in self.drawn.items() if n >= PAD / 2}
        self.drawn_all = sum(self.drawn.values())
        self.asked = {tenant: n * 0.8 for tenant, n in self.asked.items()}
        for role in self.ready:
            self.sends[role] *= 0.8
        self.slow_start.step()
