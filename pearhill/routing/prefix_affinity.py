"""Prefix affinity: at which replicas a prompt's prefix is likely cached, and which ones to send it to.

Replicas are ranked for a prefix by rendezvous hashing (Thaler and Ravishankar, 1996), the same at every dispatcher.
Each prefix has two home replicas, at which its prompts are prefilled and stay cached, and more where it draws more than
its part of all prefilling.
"""

from __future__ import annotations

import math

from pearhill.routing.events import RequestArrived
from pearhill.routing.pending_request import FIRST_HOME, NO_HOME, SECOND_HOME
from pearhill.routing.replica_state import CacheKey, ReplicaState
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean
from pearhill.routing.topology import Role

BATCH_OVERHEAD_TOKENS = 500  # what one step of a replica costs even for the shortest prompt, roughly, in tokens
LONG_PROMPT_RATIO = 2  # prompts longer than so many times their class's mean are not as cached as others
HOMES_PER_FAIR_SHARE = 2  # home replicas for a prefix that draws one replica's fair share of the prefilling
MIN_HOMES = 2
PREFIX_LOAD_DECAY = 0.9  # what a step leaves of the tokens counted by prefix
MIN_REQUESTS_FOR_SHARE = 10  # a prefix's share of fewer requests is too uncertain
CACHE_FILL_DECAY = 0.8  # what a step leaves of the rate at which caches fill
MAX_CACHED_PREFIXES = 1_000  # entries of a replica's table
MAX_SAMPLES = 30  # what the evidence of a mean is worth at most
MAX_CACHED_AGE_US = 600_000_000  # a pause in a conversation, at most


def rendezvous_weight(key: int, replica: int) -> int:
    """The replica's weight for a key, 64 bits: the same at every dispatcher, whatever its seed."""
    mixed = (key ^ (replica * 0x9E3779B97F4A7C15)) & 0xFFFFFFFFFFFFFFFF
    for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
        mixed = ((mixed ^ (mixed >> shift)) * factor) & 0xFFFFFFFFFFFFFFFF
    return mixed ^ (mixed >> 31)


def cache_keys(request: RequestArrived) -> list[tuple[CacheKey, int]]:
    """Under which keys a replica's table holds the prompt's session and prefix, and how many tokens each has."""
    found: list[tuple[CacheKey, int]] = []
    if request.session:
        found.append(((False, request.session), request.prompt_tokens))
    if request.prefix:
        found.append(((True, request.prefix), request.prefix_tokens))
    return found


class PrefixAffinity:
    """Estimates of cached prompts, by what was sent to each replica and what prefilling found there."""

    def __init__(self) -> None:
        # By home: the share of a prompt that prefilling found cached.
        self.cached_share = {
            SECOND_HOME: DecayingMean(2 * STEP_INTERVAL_US, MAX_SAMPLES),
            FIRST_HOME: DecayingMean(2 * STEP_INTERVAL_US, MAX_SAMPLES),
        }
        self.prompt_lengths: dict[int, DecayingMean] = {}  # by request class, in tokens
        # By role: tokens a microsecond that all dispatchers write into a replica's cache, pushing others out.
        self.cache_fill_rate: dict[Role, float] = dict.fromkeys((Role.PREFILL, Role.DECODE, Role.MIXED), 0.0)
        # Tokens prefilled, by prefix and in all, over some ten steps.
        self.prefix_load: dict[int, float] = {}
        self.total_load = 0.0

    def record_arrival(self, now: int, request: RequestArrived) -> None:
        """Count the prompt's length in the mean of its class."""
        lengths = self.prompt_lengths.setdefault(request.request_class, DecayingMean(2 * STEP_INTERVAL_US, MAX_SAMPLES))
        lengths.add(now, request.prompt_tokens)

    def mean_prompt_tokens(self, request: RequestArrived) -> float:
        """The mean length of prompts of this request's class, which has to have arrived."""
        return self.prompt_lengths[request.request_class].value

    def cached_tokens(self, now: int, replica: ReplicaState, request: RequestArrived, home: int = NO_HOME) -> int:
        """How many of the prompt's tokens the replica should still have cached.

        Counted are the entries of its table that a memory's worth of new tokens has not pushed out, and for a home
        replica what prefilling found cached there lately.
        """
        best = 0
        if home != NO_HOME:
            best = int(self.cached_share[home].value * min(request.prompt_tokens, self._usual_length(request)))
        for key, tokens_in_prompt in cache_keys(request):
            tokens, cached_at = replica.cached_prefixes.get(key, (0, 0))
            if (now - cached_at) * self.cache_fill_rate[replica.role] < replica.memory_tokens:
                best = max(best, min(tokens, tokens_in_prompt))
        return best

    def _usual_length(self, request: RequestArrived) -> float:
        """A prompt of many times the usual length is new text; taken for cached, it would jam all prefill replicas."""
        lengths = self.prompt_lengths.get(request.request_class)
        return LONG_PROMPT_RATIO * lengths.value if lengths else request.prompt_tokens

    def record_cached(self, now: int, replica: ReplicaState, request: RequestArrived) -> None:
        """The replica has prefilled this prompt, and has it cached now."""
        table = replica.cached_prefixes
        for key, tokens in cache_keys(request):
            table[key] = (tokens, now)
            table.move_to_end(key)
        while table and self._has_excess(now, replica):
            table.popitem(last=False)

    @staticmethod
    def _has_excess(now: int, replica: ReplicaState) -> bool:
        table = replica.cached_prefixes
        if len(table) > MAX_CACHED_PREFIXES:
            return True
        _, oldest_at = next(iter(table.values()))
        return oldest_at < now - MAX_CACHED_AGE_US

    def record_sent(self, replica: ReplicaState, prefill_tokens: int, instances: int, replicas: int) -> None:
        """An attempt was sent that fills the replica's cache; all dispatchers together fill it alike."""
        per_replica = prefill_tokens * instances / max(1, replicas)
        self.cache_fill_rate[replica.role] += per_replica * 0.2 / STEP_INTERVAL_US

    def record_cached_share(self, now: int, home: int, cached_tokens: int, prompt_tokens: int) -> None:
        """Prefilling at a home replica found so many of the prompt's tokens cached."""
        self.cached_share[home].add(now, min(1.0, cached_tokens / max(1, prompt_tokens)))

    def record_prefilled(self, request: RequestArrived, cached_tokens: int) -> None:
        """A prefill replica has read a prompt: count what it had to read for the prompt's prefix."""
        tokens = max(0, request.prompt_tokens - cached_tokens) + BATCH_OVERHEAD_TOKENS
        self.prefix_load[request.prefix] = self.prefix_load.get(request.prefix, 0.0) + tokens
        self.total_load += tokens

    def home_count(self, request: RequestArrived, replicas: int) -> int:
        """How many of so many prefill replicas share the prompts of this prefix, by this dispatcher's own counts."""
        if not request.prefix:
            return MIN_HOMES
        # The length of a prefix is given by the client, and may be any number.
        new_tokens = max(0, request.prompt_tokens - request.prefix_tokens)
        least = MIN_REQUESTS_FOR_SHARE * (BATCH_OVERHEAD_TOKENS + new_tokens)
        share = self.prefix_load.get(request.prefix, 0.0) / (self.total_load + least)
        return max(MIN_HOMES, math.ceil(HOMES_PER_FAIR_SHARE * share * replicas))

    def home_pair(self, ranked: list[ReplicaState], request: RequestArrived) -> list[ReplicaState]:
        """The two replicas of a ranking to choose from, the session's own first.

        All dispatchers send a hot prefix to one pair, and each sees it idle. The more the prefix draws, the more
        homes it has; the pair among them is the session's own, so that most sessions stay where they are as the count
        changes.
        """
        homes = ranked[: self.home_count(request, len(ranked))]
        session = request.session or request.request
        return sorted(homes, key=lambda replica: rendezvous_weight(session, replica.id))[:2]

    def step(self) -> None:
        """Every `STEP_INTERVAL_US`: what was counted decays."""
        self.prefix_load = {
            prefix: tokens * PREFIX_LOAD_DECAY
            for prefix, tokens in self.prefix_load.items()
            if tokens >= BATCH_OVERHEAD_TOKENS / 2
        }
        self.total_load = sum(self.prefix_load.values())
        for role in self.cache_fill_rate:
            self.cache_fill_rate[role] *= CACHE_FILL_DECAY


def rank(replicas: list[ReplicaState], request: RequestArrived) -> list[ReplicaState]:
    """Replicas in the rendezvous order of the request's prefix, else of its session."""
    key = request.prefix or request.session or request.request
    return sorted(replicas, key=lambda replica: rendezvous_weight(key, replica.id))
