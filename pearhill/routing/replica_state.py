"""One dispatcher's record of one replica."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from pearhill.routing.slow_start import TokenBucket
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean
from pearhill.routing.topology import Endpoint, MachineKind

# Maximum weight of the evidence for each estimate, in samples.
MEMORY_MAX_SAMPLES = 4
SERVICE_TIME_MAX_SAMPLES = 5
ANSWER_TIME_MAX_SAMPLES = 10
FAILURE_MAX_SAMPLES = 2

CacheKey = tuple[bool, int]  # whether it is a shared prefix rather than a session, and its number


@dataclass(frozen=True, slots=True)
class UnansweredAttempt:
    """An attempt at a replica that has neither prefilled the prompt nor begun an answer yet."""

    request: int
    attempt: int
    sent_at: int
    latency_objective: int


class ReplicaState:
    """A replica's endpoint entry, this dispatcher's load there and statistics of its attempts, without logic.

    Times are in microseconds, loads in tokens. `bucket_tokens` is the initial fill of its slow-start bucket.
    """

    def __init__(self, endpoint: Endpoint, kind: MachineKind, bucket_tokens: float) -> None:
        self.id = endpoint.replica
        self.role = kind.role
        self.memory_tokens = max(1, kind.memory_tokens)
        self.endpoint = endpoint
        self.slow_start_bucket = TokenBucket(bucket_tokens)

        # Prefixes and sessions that it should have cached, with the number of tokens and the time. A table for all
        # replicas would fill with the prompts of replicas that are no longer listed.
        self.cached_prefixes: OrderedDict[CacheKey, tuple[int, int]] = OrderedDict()

        # This dispatcher's load at the replica.
        self.tokens_in_flight = 0
        self.tokens_queued = 0  # of those in flight, the ones still to be prefilled
        self.tokens_since_report = 0  # sent since its last load report
        self.unanswered: dict[int, UnansweredAttempt] = {}  # by request, the oldest first

        # What the replica reported.
        self.reported_at = 0
        self.memory_used = DecayingMean(2 * STEP_INTERVAL_US, MEMORY_MAX_SAMPLES)  # share of its memory
        self.reported_queue = 0.0  # tokens queued there by all dispatchers
        self.reported_queue_at = 0

        # Statistics of its attempts.
        # Microseconds per token to fetch a state, and to prefill a prompt.
        self.fetch_time = DecayingMean(2 * STEP_INTERVAL_US, SERVICE_TIME_MAX_SAMPLES)
        self.prefill_time = DecayingMean(2 * STEP_INTERVAL_US, SERVICE_TIME_MAX_SAMPLES)
        # Ratio of the time of its answers to the mean of their class.
        self.answer_time_ratio = DecayingMean(2 * STEP_INTERVAL_US, ANSWER_TIME_MAX_SAMPLES)
        self.failure_rate = DecayingMean(2 * STEP_INTERVAL_US, FAILURE_MAX_SAMPLES)
        self.last_answer_at = 0
        self.load_limit = 0.0  # maximum tokens in flight, set when a fetch was last late
        self.load_limit_set_at = 0  # 0: never
        self.unavailable_until = 0  # end of the pause that it asked for by Retry-After
        self.ejected_until = 0  # end of its ejection because it answers no health check

    def time_per_token(self, prefill: bool) -> DecayingMean:
        """Return the microseconds per token until an answer begins, by a prefill or by fetching a state."""
        return self.prefill_time if prefill else self.fetch_time
