"""Placement: which replica a request goes to next.

A capped share of the prompt tokens, only short or cached prompts, is prefilled directly at decode replicas. All other
prompts go to one of two prefill replicas that are hashed from their prefix, and a nearby decode replica is picked after
that, by power of two choices (Mitzenmacher, 2001). Mixed replicas take their share of requests whole.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from pearhill.routing.admission import Admission
from pearhill.routing.load_estimates import FULL_MEMORY, SHORT_PROMPT_TOKENS, LoadEstimates
from pearhill.routing.local_prefill import LocalPrefill
from pearhill.routing.outcomes import Reason
from pearhill.routing.outlier_detection import OutlierDetector
from pearhill.routing.pending_request import FIRST_HOME, NO_HOME, SECOND_HOME, PendingRequest
from pearhill.routing.permissions import retry_denial
from pearhill.routing.prefix_affinity import PrefixAffinity, rank
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.settings import RouterSettings
from pearhill.routing.slow_start import SlowStart
from pearhill.routing.topology import Role

MAX_ANSWER_TIME_RATIO = 1.4  # replicas whose answers take so many times the mean of their class prefill nothing
QUICK_PREFILL_SHARE = 1 / 4  # of the latency objective
CROWDED_RATIO = 1.5  # a replica with so many times its peers' mean load, and one request's, gets no more for now


@dataclass(frozen=True, slots=True)
class Assign:
    """Send the request to this replica.

    `home`: which home of its prefix it is. `local_tokens`: to be prefilled at a decode replica, out of the allowance.
    """

    replica: ReplicaState
    home: int = NO_HOME
    local_tokens: int = 0


@dataclass(frozen=True, slots=True)
class QueryFirst:
    """The choice lies between these replicas; what load they report has to be known first."""

    replicas: list[ReplicaState]


@dataclass(frozen=True, slots=True)
class Decline:
    """No replica is to get the request."""

    reason: Reason


Decision = Assign | QueryFirst | Decline


class Placement:
    """Reads what the router knows, and decides. Changes nothing but its random generator and slow-start buckets' fill.

    `ready`: the replicas that take requests, by role; the router keeps it up to date. `query_roles`: roles at which
    load is queried before a choice.
    """

    def __init__(
        self,
        settings: RouterSettings,
        rng: random.Random,
        ready: Mapping[Role, list[ReplicaState]],
        slow_start: SlowStart,
        outliers: OutlierDetector,
        affinity: PrefixAffinity,
        loads: LoadEstimates,
        admission: Admission,
        local_prefill: LocalPrefill,
    ) -> None:
        self.settings = settings
        self.query_roles = frozenset[str]()
        self._rng = rng
        self._ready = ready
        self._slow_start = slow_start
        self._outliers = outliers
        self._affinity = affinity
        self._loads = loads
        self._admission = admission
        self._local_prefill = local_prefill

    # A prompt that has not been prefilled.

    def place_prompt(self, now: int, pending: PendingRequest) -> Decision:
        """Where to send a request whose prompt has not been prefilled anywhere."""
        decode = self._with_room(now, pending, self.eligible(now, self._ready[Role.DECODE], pending))
        mixed = self._with_room(now, pending, self._ranked(now, Role.MIXED, pending))
        # Load shedding: a prompt that is prefilled with no decode replica in sight is prefilled for nothing.
        if pending.attempt < 0 and not decode and not mixed:
            return Decline(Reason.NO_CAPACITY)
        return (
            self._at_mixed_replica(now, pending, mixed)
            or self._at_decode_replica(now, pending, decode)
            or self._at_prefill_replica(now, pending, mixed)
            or self._wherever_possible(now, pending, mixed, decode)
        )

    def _with_room(self, now: int, pending: PendingRequest, pool: list[ReplicaState]) -> list[ReplicaState]:
        """The replicas of a pool with room for a prompt of the usual length at most.

        By its own length, a long prompt would be rejected by idle replicas too.
        """
        tokens = int(min(pending.request.prompt_tokens, self._affinity.mean_prompt_tokens(pending.request)))
        return [replica for replica in pool if self._loads.memory_utilization(now, replica, tokens) < FULL_MEMORY]

    def _at_mixed_replica(self, now: int, pending: PendingRequest, mixed: list[ReplicaState]) -> Decision | None:
        """A mixed replica takes the whole request if it prefills it quickly: long prompts would delay its streams."""
        if not mixed:
            return None
        nearest = mixed[:2]
        emptiest = min(nearest, key=lambda replica: self._loads.memory_utilization(now, replica, 0))
        if not self._is_quick(now, emptiest, pending):
            return None
        if self._needs_query(pending, nearest):
            return QueryFirst(nearest)
        return Assign(emptiest)

    def _at_decode_replica(self, now: int, pending: PendingRequest, decode: list[ReplicaState]) -> Decision | None:
        """A decode replica prefills the prompt itself, if it is short there and within the allowance."""
        if not (decode and self.settings.local_prefill and self._local_prefill.ratio):
            return None
        request = pending.request
        replica = max(decode, key=lambda candidate: self._affinity.cached_tokens(now, candidate, request))
        if not self._affinity.cached_tokens(now, replica, request):
            replica = self.less_loaded_of_two(now, decode)
        uncached = request.prompt_tokens - self._affinity.cached_tokens(now, replica, request)
        if uncached > self._local_prefill.allowance or not self._is_quick(now, replica, pending):
            return None
        return Assign(replica, local_tokens=uncached)

    def _at_prefill_replica(self, now: int, pending: PendingRequest, mixed: list[ReplicaState]) -> Decision | None:
        """One of the prefix's two home replicas, or the next in order where prefilling takes too long at both."""
        ranked = self._ranked(now, Role.PREFILL, pending)
        # A prompt that the last allowed attempt prefills is prefilled for nothing.
        if not ranked or pending.attempt + 2 >= self.settings.max_attempts:
            return None
        pair = self._affinity.home_pair(ranked, pending.request)
        if self._needs_query(pending, pair):
            return QueryFirst(pair)
        chosen = min(pair, key=lambda r: (r.ejected_until > now, self._loads.queue_ahead(now, r)))
        home = FIRST_HOME if chosen is pair[0] else SECOND_HOME
        limit = self._prefill_time_limit(now, pending, chosen, home)
        if self._loads.prefill_time(now, chosen, pending, home) <= limit:
            return Assign(chosen, home)
        other = self._quick_enough(now, pending, ranked, mixed, limit)
        if other is not None:
            return Assign(other)
        # Load shedding, lowest priority first: work that is late anyway delays what could be in time.
        if pending.attempt < 0:
            return Decline(Reason.PREFILL_TOO_SLOW)
        return Assign(chosen, home)

    def _prefill_time_limit(self, now: int, pending: PendingRequest, replica: ReplicaState, home: int) -> float:
        """Microseconds that prefilling may take; a prompt beyond the usual length gets the time for the excess."""
        request = pending.request
        time_left = min(pending.objective_at, pending.deadline) - now
        uncached = request.prompt_tokens - self._affinity.cached_tokens(now, replica, request, home)
        excess = max(0.0, uncached - self._affinity.mean_prompt_tokens(request))
        limit = self._admission.prefill_time_limit(request, time_left)
        return limit + self._loads.expected_time(now, replica, excess)

    def _quick_enough(
        self,
        now: int,
        pending: PendingRequest,
        ranked: list[ReplicaState],
        mixed: list[ReplicaState],
        limit: float,
    ) -> ReplicaState | None:
        """The first replica in order that prefills in time.

        A long prompt or a hot prefix fills the queues of its pair while others idle; the next in order finds it
        cached. Last come mixed replicas, whose streams it delays for half as long.
        """
        for replica in ranked + mixed[:2]:
            allowed = limit / (1 + (replica in mixed))
            if self._loads.prefill_time(now, replica, pending) <= allowed:
                return replica
        return None

    def _wherever_possible(
        self,
        now: int,
        pending: PendingRequest,
        mixed: list[ReplicaState],
        decode: list[ReplicaState],
    ) -> Decision:
        """Without a prefill replica, a decode or mixed replica prefills the prompt, whatever its length."""
        pool = mixed + (decode if self.settings.local_prefill else [])
        return self._pick(now, pending, pool) if pool else Decline(Reason.NO_REPLICA)

    # A prompt whose state waits at a prefill replica.

    def place_prefilled(self, now: int, pending: PendingRequest) -> Decision:
        """A decode or mixed replica near the one that holds the state, with room and not crowded if there is any."""
        assert pending.state_holder is not None
        holder = pending.state_holder.endpoint
        pool = self.eligible(now, self._ready[Role.DECODE] + self._ready[Role.MIXED], pending)
        tokens = pending.request.prompt_tokens
        roomy = [r for r in pool if self._loads.memory_utilization(now, r, tokens) < FULL_MEMORY] or pool
        limit = self._crowded_load(pending)
        calm = [replica for replica in roomy if replica.tokens_in_flight <= limit]
        in_cell = [replica for replica in calm if replica.endpoint.cell == holder.cell]
        in_zone = [replica for replica in calm if replica.endpoint.zone == holder.zone]
        nearest = in_cell or in_zone or calm or roomy
        return self._pick(now, pending, nearest) if nearest else Decline(Reason.NO_DECODE_REPLICA)

    # Parts of both.

    def eligible(self, now: int, pool: list[ReplicaState], pending: PendingRequest) -> list[ReplicaState]:
        """The replicas of a pool that may get this request, without outliers, and untried ones if there are any."""
        candidates = [
            replica
            for replica in pool
            if replica.unavailable_until <= now
            and self._is_permitted(now, replica, pending)
            and self._slow_start.admits(replica.endpoint, replica.role, replica.slow_start_bucket, now)
        ]
        healthy = self._outliers.healthy(now, candidates)
        tried = pending.tried_replicas
        return [replica for replica in healthy if replica.id not in tried] or healthy

    def _is_permitted(self, now: int, replica: ReplicaState, pending: PendingRequest) -> bool:
        """Whether this request may be sent to this replica at all."""
        request = pending.request
        endpoint = replica.endpoint
        if request.allowed_kinds and endpoint.kind not in request.allowed_kinds:
            return False
        if pending.execution is None:
            return True
        spec = self.settings.classes[request.request_class]
        return retry_denial(spec, pending.execution, endpoint.zone, endpoint.cell, now) is None

    def _ranked(self, now: int, role: Role, pending: PendingRequest) -> list[ReplicaState]:
        return rank(self.eligible(now, self._ready[role], pending), pending.request)

    def _is_quick(self, now: int, replica: ReplicaState, pending: PendingRequest) -> bool:
        """Whether prefilling there is short and soon done, and delays no streams."""
        request = pending.request
        if request.prompt_tokens - self._affinity.cached_tokens(now, replica, request) >= SHORT_PROMPT_TOKENS:
            return False
        if replica.answer_time_ratio.value_with_prior(now, 1.0) >= MAX_ANSWER_TIME_RATIO:
            return False
        if self._loads.prefill_time(now, replica, pending) >= pending.latency_objective * QUICK_PREFILL_SHARE:
            return False
        return replica.tokens_in_flight <= self._crowded_load(pending)

    def _crowded_load(self, pending: PendingRequest) -> float:
        """This dispatcher's tokens in flight at a replica from which on it gets no more.

        A replica that is preferred, or the only one that a release left in a cell, would get all requests while others
        idle. How slow its answers are shows late, this dispatcher's own load at once.
        """
        pool = self._ready[Role.DECODE] + self._ready[Role.MIXED]
        request = pending.request
        mean = sum(replica.tokens_in_flight for replica in pool) / max(1, len(pool))
        return CROWDED_RATIO * (mean + request.prompt_tokens + request.max_output_tokens // 2)

    def _pick(self, now: int, pending: PendingRequest, pool: list[ReplicaState]) -> Decision:
        """The less loaded of two; where load is queried, of the two that were."""
        if self.query_roles:
            queried = [replica for replica in pending.queried_replicas if replica in pool]
            pool = queried or self._rng.sample(pool, min(2, len(pool)))
        if self._needs_query(pending, pool):
            return QueryFirst(pool)
        return Assign(self.less_loaded_of_two(now, pool))

    def _needs_query(self, pending: PendingRequest, pool: list[ReplicaState]) -> bool:
        """Whether the load of these has to be queried: once before each choice for which it pays."""
        if len(pool) < 2 or pool[0].role not in self.query_roles:
            return False
        return pending.last_query != pending.query_key

    def less_loaded_of_two(self, now: int, pool: list[ReplicaState]) -> ReplicaState:
        """The less loaded of two replicas drawn at random from a pool."""
        two = self._rng.sample(pool, min(2, len(pool)))
        reported = Role.DECODE in self.query_roles  # if so, a load report counts all dispatchers' work

        def load(replica: ReplicaState) -> tuple[bool, float, float, float]:
            """Sort key: ejected ones last, then by memory if replicas report it, tokens in flight by weight, memory."""
            memory = self._loads.memory_utilization(now, replica, 0)
            weighted = replica.tokens_in_flight / (replica.endpoint.weight or 1)
            return replica.ejected_until > now, memory if reported else 0.0, weighted, memory

        return min(two, key=load)
