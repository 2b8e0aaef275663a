"""Placement: chooses the replica for the next stage of a request.

Decode replicas prefill a limited share of the prompt tokens themselves, of short or cached prompts only. All other
prompts go to one of the two prefill replicas that their prefix hashes to; a nearby decode replica is chosen after that,
by power of two choices (Mitzenmacher, 2001). Mixed replicas both prefill and decode the requests that they get.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from pearhill.routing.admission import Admission
from pearhill.routing.load_estimates import MAX_MEMORY_UTILIZATION, SHORT_PROMPT_TOKENS, LoadEstimates
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

MAX_ANSWER_TIME_RATIO = 1.4  # replicas whose answers take this many times the mean of their class prefill nothing
QUICK_PREFILL_SHARE = 1 / 4  # of the latency objective
MAX_LOAD_RATIO = 1.5  # of the peers' mean load plus one request's; a replica above it gets no more for now


@dataclass(frozen=True, slots=True)
class Assign:
    """Send the request to this replica.

    `home` tells which home replica of the prefix it is. `local_tokens` are to be prefilled at a decode replica, and are
    taken off the allowance for local prefills.
    """

    replica: ReplicaState
    home: int = NO_HOME
    local_tokens: int = 0


@dataclass(frozen=True, slots=True)
class QueryFirst:
    """Query the load of these candidates before choosing one of them."""

    replicas: list[ReplicaState]


@dataclass(frozen=True, slots=True)
class Decline:
    """Send the request to no replica."""

    reason: Reason


Decision = Assign | QueryFirst | Decline


class Placement:
    """Chooses replicas from the router's estimates. It changes only its random generator and slow-start buckets' fill.

    `ready` has the replicas that accept requests, by role; the router keeps it up to date. `query_roles` are the roles
    whose load is queried before a choice.
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

    # Requests whose prompt has not been prefilled.

    def place_prompt(self, now: int, pending: PendingRequest) -> Decision:
        """Choose a replica for a request whose prompt has not been prefilled anywhere."""
        decode = self._with_capacity(now, pending, self.eligible(now, self._ready[Role.DECODE], pending))
        mixed = self._with_capacity(now, pending, self._ranked(now, Role.MIXED, pending))
        # Load shedding: a prefill is wasted work if no replica has capacity to decode the request.
        if pending.attempt < 0 and not decode and not mixed:
            return Decline(Reason.NO_CAPACITY)
        return (
            self._at_mixed_replica(now, pending, mixed)
            or self._at_decode_replica(now, pending, decode)
            or self._at_prefill_replica(now, pending, mixed)
            or self._at_any_replica(now, pending, mixed, decode)
        )

    def _with_capacity(self, now: int, pending: PendingRequest, pool: list[ReplicaState]) -> list[ReplicaState]:
        """Return the replicas of a pool with capacity for the prompt, counted up to its class's mean length.

        Counted by its whole length, a long prompt would be rejected even by idle replicas.
        """
        tokens = int(min(pending.request.prompt_tokens, self._affinity.mean_prompt_tokens(pending.request)))
        return [
            replica for replica in pool if self._loads.memory_utilization(now, replica, tokens) < MAX_MEMORY_UTILIZATION
        ]

    def _at_mixed_replica(self, now: int, pending: PendingRequest, mixed: list[ReplicaState]) -> Decision | None:
        """Choose a mixed replica if it prefills the prompt quickly: long prompts would delay its streams."""
        if not mixed:
            return None
        nearest = mixed[:2]
        least_full = min(nearest, key=lambda replica: self._loads.memory_utilization(now, replica, 0))
        if not self._prefills_quickly(now, least_full, pending):
            return None
        if self._needs_query(pending, nearest):
            return QueryFirst(nearest)
        return Assign(least_full)

    def _at_decode_replica(self, now: int, pending: PendingRequest, decode: list[ReplicaState]) -> Decision | None:
        """Choose a decode replica that prefills the prompt itself, if that is quick and within the allowance."""
        if not (decode and self.settings.local_prefill and self._local_prefill.ratio):
            return None
        request = pending.request
        replica = max(decode, key=lambda candidate: self._affinity.cached_tokens(now, candidate, request))
        if not self._affinity.cached_tokens(now, replica, request):
            replica = self.less_loaded_of_two(now, decode)
        uncached = request.prompt_tokens - self._affinity.cached_tokens(now, replica, request)
        if uncached > self._local_prefill.allowance or not self._prefills_quickly(now, replica, pending):
            return None
        return Assign(replica, local_tokens=uncached)

    def _at_prefill_replica(self, now: int, pending: PendingRequest, mixed: list[ReplicaState]) -> Decision | None:
        """Choose one of the prefix's two home replicas, or the next in rank if prefilling takes too long there."""
        ranked = self._ranked(now, Role.PREFILL, pending)
        # A prefill by the last allowed attempt is wasted work, since no attempt would be left for decoding.
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
        other = self._first_within_limit(now, pending, ranked, mixed, limit)
        if other is not None:
            return Assign(other)
        # Load shedding, lowest priority first: requests that will be late anyway delay those that could be in time.
        if pending.attempt < 0:
            return Decline(Reason.PREFILL_TOO_SLOW)
        return Assign(chosen, home)

    def _prefill_time_limit(self, now: int, pending: PendingRequest, replica: ReplicaState, home: int) -> float:
        """Return how many microseconds the prefill may take. A prompt beyond the mean length gets extra time."""
        request = pending.request
        time_left = min(pending.objective_at, pending.deadline) - now
        uncached = request.prompt_tokens - self._affinity.cached_tokens(now, replica, request, home)
        excess = max(0.0, uncached - self._affinity.mean_prompt_tokens(request))
        limit = self._admission.prefill_time_limit(request, time_left)
        return limit + self._loads.expected_time(now, replica, excess)

    def _first_within_limit(
        self,
        now: int,
        pending: PendingRequest,
        ranked: list[ReplicaState],
        mixed: list[ReplicaState],
        limit: float,
    ) -> ReplicaState | None:
        """Return the first replica in rank order that prefills the prompt in time, or None.

        A long prompt or a hot prefix fills the queues of its home pair while other replicas idle. With a fixed order,
        later prompts find the prefix cached at the next replica too. Mixed replicas come last and get half the time,
        since a prefill delays their streams.
        """
        for replica in ranked + mixed[:2]:
            allowed = limit / (1 + (replica in mixed))
            if self._loads.prefill_time(now, replica, pending) <= allowed:
                return replica
        return None

    def _at_any_replica(
        self,
        now: int,
        pending: PendingRequest,
        mixed: list[ReplicaState],
        decode: list[ReplicaState],
    ) -> Decision:
        """Choose a decode or mixed replica for a prompt of any length, since no prefill replica is available."""
        pool = mixed + (decode if self.settings.local_prefill else [])
        return self._pick(now, pending, pool) if pool else Decline(Reason.NO_REPLICA)

    # Requests whose state is held by a prefill replica.

    def place_prefilled(self, now: int, pending: PendingRequest) -> Decision:
        """Choose a decode or mixed replica near the state's holder, preferably with free memory and little load."""
        assert pending.state_holder is not None
        holder = pending.state_holder.endpoint
        pool = self.eligible(now, self._ready[Role.DECODE] + self._ready[Role.MIXED], pending)
        tokens = pending.request.prompt_tokens
        with_memory = [
            r for r in pool if self._loads.memory_utilization(now, r, tokens) < MAX_MEMORY_UTILIZATION
        ] or pool
        limit = self._max_load(pending)
        below_limit = [replica for replica in with_memory if replica.tokens_in_flight <= limit]
        in_cell = [replica for replica in below_limit if replica.endpoint.cell == holder.cell]
        in_zone = [replica for replica in below_limit if replica.endpoint.zone == holder.zone]
        nearest = in_cell or in_zone or below_limit or with_memory
        return self._pick(now, pending, nearest) if nearest else Decline(Reason.NO_DECODE_REPLICA)

    # Common to both.

    def eligible(self, now: int, pool: list[ReplicaState], pending: PendingRequest) -> list[ReplicaState]:
        """Return the replicas of a pool that may get this request, without outliers, and only untried ones if any."""
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
        """Return whether this request may be sent to this replica at all."""
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

    def _prefills_quickly(self, now: int, replica: ReplicaState, pending: PendingRequest) -> bool:
        """Return whether the replica would prefill the prompt in a short time, without delaying its streams."""
        request = pending.request
        if request.prompt_tokens - self._affinity.cached_tokens(now, replica, request) >= SHORT_PROMPT_TOKENS:
            return False
        if replica.answer_time_ratio.value_with_prior(now, 1.0) >= MAX_ANSWER_TIME_RATIO:
            return False
        if self._loads.prefill_time(now, replica, pending) >= pending.latency_objective * QUICK_PREFILL_SHARE:
            return False
        return replica.tokens_in_flight <= self._max_load(pending)

    def _max_load(self, pending: PendingRequest) -> float:
        """Return this dispatcher's tokens in flight at a replica above which the replica gets no more requests.

        Without the limit, a preferred replica, or the only one that a release left in a cell, would get all requests
        while others idle. Slow answers show this late; this dispatcher's own load shows it immediately.
        """
        pool = self._ready[Role.DECODE] + self._ready[Role.MIXED]
        request = pending.request
        mean = sum(replica.tokens_in_flight for replica in pool) / max(1, len(pool))
        return MAX_LOAD_RATIO * (mean + request.prompt_tokens + request.max_output_tokens // 2)

    def _pick(self, now: int, pending: PendingRequest, pool: list[ReplicaState]) -> Decision:
        """Choose the less loaded of two replicas, and of the queried two if load is queried."""
        if self.query_roles:
            queried = [replica for replica in pending.queried_replicas if replica in pool]
            pool = queried or self._rng.sample(pool, min(2, len(pool)))
        if self._needs_query(pending, pool):
            return QueryFirst(pool)
        return Assign(self.less_loaded_of_two(now, pool))

    def _needs_query(self, pending: PendingRequest, pool: list[ReplicaState]) -> bool:
        """Return whether the load of these replicas has to be queried: once before each choice of a queried role."""
        if len(pool) < 2 or pool[0].role not in self.query_roles:
            return False
        return pending.last_query != pending.query_key

    def less_loaded_of_two(self, now: int, pool: list[ReplicaState]) -> ReplicaState:
        """Return the less loaded of two replicas drawn at random from a pool."""
        two = self._rng.sample(pool, min(2, len(pool)))
        reported = Role.DECODE in self.query_roles  # if queried, a load report counts the work of all dispatchers

        def load(replica: ReplicaState) -> tuple[bool, float, float, float]:
            """Sort key: ejected replicas last, then memory if reported, tokens in flight by weight, and memory."""
            memory = self._loads.memory_utilization(now, replica, 0)
            weighted = replica.tokens_in_flight / (replica.endpoint.weight or 1)
            return replica.ejected_until > now, memory if reported else 0.0, weighted, memory

        return min(two, key=load)
