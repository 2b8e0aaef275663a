"""What one dispatcher knows of one replica."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from pearhill.routing.slow_start import TokenBucket
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean
from pearhill.routing.topology import Endpoint, MachineKind

# What an estimate's evidence is worth at most, in samples.
MEMORY_MAX_SAMPLES = 4
SERVICE_TIME_MAX_SAMPLES = 5
ANSWER_TIME_MAX_SAMPLES = 10
FAILURE_MAX_SAMPLES = 2

CacheKey = tuple[bool, int]  # whether it is a shared prefix, and the number of the prefix or session


@dataclass(frozen=True, slots=True)
class UnansweredAttempt:
    """An attempt at a replica that has neither prefilled a prompt nor begun an answer yet."""

    request: int
    attempt: int
    sent_at: int
    latency_objective: int


class ReplicaState:
    """A replica's endpoint entry, this dispatcher's load there, and how its attempts went. A plain record.

    Times are microseconds, loads are tokens. `bucket_tokens`: with how many tokens its slow-start bucket begins.
    """

    def __init__(self, endpoint: Endpoint, kind: MachineKind, bucket_tokens: float) -> None:
        self.id = endpoint.replica
        self.role = kind.role
        self.memory_tokens = max(1, kind.memory_tokens)
        self.endpoint = endpoint
        self.slow_start_bucket = TokenBucket(bucket_tokens)

        # Prefixes and sessions that it should have cached: how many tokens, and since when. One table for all replicas
        # would fill with the prompts of replicas that are long gone.
        self.cached_prefixes: OrderedDict[CacheKey, tuple[int, int]] = OrderedDict()

        # This dispatcher's load there.
        self.tokens_in_flight = 0
        self.tokens_queued = 0  # of them, yet to be prefilled
        self.tokens_since_report = 0  # sent since its last load report
        self.unanswered: dict[int, UnansweredAttempt] = {}  # by request, the oldest first

        # What it reported.
        self.reported_at = 0
        self.memory_used = DecayingMean(2 * STEP_INTERVAL_US, MEMORY_MAX_SAMPLES)  # share
        self.reported_queue = 0.0  # tokens that wait there for all dispatchers
        self.reported_queue_at = 0

        # How its attempts went.
        # Microseconds a token until a state is fetched, and until a prompt is prefilled.
        self.fetch_time = DecayingMean(2 * STEP_INTERVAL_US, SERVICE_TIME_MAX_SAMPLES)
        self.prefill_time = DecayingMean(2 * STEP_INTERVAL_US, SERVICE_TIME_MAX_SAMPLES)
        # Of its answers to the mean of their class.
        self.answer_time_ratio = DecayingMean(2 * STEP_INTERVAL_US, ANSWER_TIME_MAX_SAMPLES)
        self.failure_rate = DecayingMean(2 * STEP_INTERVAL_US, FAILURE_MAX_SAMPLES)
        self.last_answer_at = 0
        self.load_limit = 0.0  # tokens in flight that it bore when a fetch was last late
        self.load_limit_set_at = 0  # 0: never
        self.unavailable_until = 0  # until then by its Retry-After
        self.ejected_until = 0  # it answers no health check

    def time_per_token(self, prefill: bool) -> DecayingMean:
        """Microseconds a token until an answer begins: by prefilling the prompt, or by fetching its state."""
        return self.prefill_time if prefill else self.fetch_time
