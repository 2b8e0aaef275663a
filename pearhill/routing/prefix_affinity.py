"""Prefix affinity: estimates which replicas have a prompt's prefix cached, and ranks replicas for a prefix.

Replicas are ranked by rendezvous hashing (Thaler and Ravishankar, 1996), in the same order at every dispatcher. Each
prefix has two home replicas, at which its prompts are prefilled and stay cached, and more if it causes more than its
fair share of the prefill load.
"""

from __future__ import annotations

import math

from pearhill.routing.events import RequestArrived
from pearhill.routing.pending_request import FIRST_HOME, NO_HOME, SECOND_HOME
from pearhill.routing.replica_state import CacheKey, ReplicaState
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean
from pearhill.routing.topology import Role

BATCH_OVERHEAD_TOKENS = 500  # approximate cost of one batch step even for the shortest prompt, in tokens
LONG_PROMPT_RATIO = 2  # at most this many times the class's mean length of a prompt is assumed cached
HOMES_PER_FAIR_SHARE = 2  # home replicas of a prefix that causes one replica's fair share of the prefill load
MIN_HOMES = 2
PREFIX_LOAD_DECAY = 0.9  # factor applied to the token counts of prefixes at each step
MIN_REQUESTS_FOR_SHARE = 10  # from fewer requests, a prefix's share is too uncertain
CACHE_FILL_DECAY = 0.8  # factor applied to the fill rates of caches at each step
MAX_CACHED_PREFIXES = 1_000  # entries of a replica's table
MAX_SAMPLES = 30  # maximum weight of the evidence for a mean
MAX_CACHED_AGE_US = 600_000_000  # longest pause in a conversation


def rendezvous_weight(key: int, replica: int) -> int:
    """Return the replica's 64-bit weight for a key, which is the same at every dispatcher, whatever its seed."""
    mixed = (key ^ (replica * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
    for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
        mixed = ((mixed ^ (mixed >> shift)) * factor) & 0xFFFFFFFFFFFFFFFF
    return mixed ^ (mixed >> 31)


def cache_keys(request: RequestArrived) -> list[tuple[CacheKey, int]]:
    """Return the table keys of the prompt's session and prefix, each with its number of tokens."""
    found: list[tuple[CacheKey, int]] = []
    if request.session:
        found.append(((False, request.session), request.prompt_tokens))
    if request.prefix:
        found.append(((True, request.prefix), request.prefix_tokens))
    return found


class PrefixAffinity:
    """Estimates which prompts are cached, by what was sent to each replica and what prefills found cached there."""

    def __init__(self) -> None:
        # By home: the share of a prompt that prefills found cached.
        self.cached_share = {
            SECOND_HOME: DecayingMean(2 * STEP_INTERVAL_US, MAX_SAMPLES),
            FIRST_HOME: DecayingMean(2 * STEP_INTERVAL_US, MAX_SAMPLES),
        }
        self.prompt_lengths: dict[int, DecayingMean] = {}  # by request class, in tokens
        # By role: tokens per microsecond that all dispatchers add to a replica's cache, evicting others.
        self.cache_fill_rate: dict[Role, float] = dict.fromkeys((Role.PREFILL, Role.DECODE, Role.MIXED), 0.0)
        # Tokens prefilled, by prefix and in total, over about ten steps.
        self.prefix_load: dict[int, float] = {}
        self.total_load = 0.0

    def record_arrival(self, now: int, request: RequestArrived) -> None:
        """Count the prompt's length in the mean of its class."""
        lengths = self.prompt_lengths.setdefault(request.request_class, DecayingMean(2 * STEP_INTERVAL_US, MAX_SAMPLES))
        lengths.add(now, request.prompt_tokens)

    def mean_prompt_tokens(self, request: RequestArrived) -> float:
        """Return the mean prompt length of the request's class, of which a request must have been recorded."""
        return self.prompt_lengths[request.request_class].value

    def cached_tokens(self, now: int, replica: ReplicaState, request: RequestArrived, home: int = NO_HOME) -> int:
        """Return how many of the prompt's tokens the replica should still have cached.

        An entry of the replica's table counts until as many new tokens as fit into its memory have been added. At a
        home replica, the share of a prompt that recent prefills found cached counts as well.
        """
        best = 0
        if home != NO_HOME:
            best = int(self.cached_share[home].value * min(request.prompt_tokens, self._max_cached_tokens(request)))
        for key, tokens_in_prompt in cache_keys(request):
            tokens, cached_at = replica.cached_prefixes.get(key, (0, 0))
            if (now - cached_at) * self.cache_fill_rate[replica.role] < replica.memory_tokens:
                best = max(best, min(tokens, tokens_in_prompt))
        return best

    def _max_cached_tokens(self, request: RequestArrived) -> float:
        """Return how many tokens of a prompt may be assumed cached.

        A prompt of many times the usual length is new text. If it were assumed cached, it would overload all prefill
        replicas.
        """
        lengths = self.prompt_lengths.get(request.request_class)
        return LONG_PROMPT_RATIO * lengths.value if lengths else request.prompt_tokens

    def record_cached(self, now: int, replica: ReplicaState, request: RequestArrived) -> None:
        """Record that the replica has prefilled this prompt and has it cached now."""
        table = replica.cached_prefixes
        for key, tokens in cache_keys(request):
            table[key] = (tokens, now)
            table.move_to_end(key)
        while table and self._must_evict(now, replica):
            table.popitem(last=False)

    @staticmethod
    def _must_evict(now: int, replica: ReplicaState) -> bool:
        table = replica.cached_prefixes
        if len(table) > MAX_CACHED_PREFIXES:
            return True
        _, oldest_at = next(iter(table.values()))
        return oldest_at < now - MAX_CACHED_AGE_US

    def record_sent(self, replica: ReplicaState, prefill_tokens: int, instances: int, replicas: int) -> None:
        """Count an attempt that fills the replica's cache, assuming that all dispatchers fill it at the same rate."""
        per_replica = prefill_tokens * instances / max(1, replicas)
        self.cache_fill_rate[replica.role] += per_replica * 0.2 / STEP_INTERVAL_US

    def record_cached_share(self, now: int, home: int, cached_tokens: int, prompt_tokens: int) -> None:
        """Record how many of a prompt's tokens a prefill at a home replica found cached."""
        self.cached_share[home].add(now, min(1.0, cached_tokens / max(1, prompt_tokens)))

    def record_prefilled(self, request: RequestArrived, cached_tokens: int) -> None:
        """Count the tokens that a prefill replica had to prefill towards the load of the prompt's prefix."""
        tokens = max(0, request.prompt_tokens - cached_tokens) + BATCH_OVERHEAD_TOKENS
        self.prefix_load[request.prefix] = self.prefix_load.get(request.prefix, 0.0) + tokens
        self.total_load += tokens

    def home_count(self, request: RequestArrived, replicas: int) -> int:
        """Return how many of the prefill replicas share the prompts of this prefix, by this dispatcher's own counts."""
        if not request.prefix:
            return MIN_HOMES
        # The client states the length of a prefix, so it may be any number.
        new_tokens = max(0, request.prompt_tokens - request.prefix_tokens)
        min_load = MIN_REQUESTS_FOR_SHARE * (BATCH_OVERHEAD_TOKENS + new_tokens)
        share = self.prefix_load.get(request.prefix, 0.0) / (self.total_load + min_load)
        return max(MIN_HOMES, math.ceil(HOMES_PER_FAIR_SHARE * share * replicas))

    def home_pair(self, ranked: list[ReplicaState], request: RequestArrived) -> list[ReplicaState]:
        """Return the two replicas of a ranking to choose from, the one that the session prefers first.

        If a hot prefix had one pair, all dispatchers would send it there, and each would see the pair idle. So a prefix
        has more homes the more load it causes. The session determines the pair among them, so that most sessions keep
        their pair when the number of homes changes.
        """
        homes = ranked[: self.home_count(request, len(ranked))]
        session = request.session or request.request
        return sorted(homes, key=lambda replica: rendezvous_weight(session, replica.id))[:2]

    def step(self) -> None:
        """Let the counts and rates decay. Called every `STEP_INTERVAL_US`."""
        self.prefix_load = {
            prefix: tokens * PREFIX_LOAD_DECAY
            for prefix, tokens in self.prefix_load.items()
            if tokens >= BATCH_OVERHEAD_TOKENS / 2
        }
        self.total_load = sum(self.prefix_load.values())
        for role in self.cache_fill_rate:
            self.cache_fill_rate[role] *= CACHE_FILL_DECAY


def rank(replicas: list[ReplicaState], request: RequestArrived) -> list[ReplicaState]:
    """Return the replicas in the rendezvous order of the request's prefix, or of its session if it has no prefix."""
    key = request.prefix or request.session or request.request
    return sorted(replicas, key=lambda replica: rendezvous_weight(key, replica.id))
