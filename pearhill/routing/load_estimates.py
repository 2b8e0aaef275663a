"""Estimates of each replica's service time, queue and memory use.

As the evidence on one replica ages, its estimates return to those of its machine kind. Times are in microseconds, loads
in tokens.
"""

from __future__ import annotations

from pearhill.routing.events import LoadReport
from pearhill.routing.pending_request import NO_HOME, PendingRequest
from pearhill.routing.prefix_affinity import BATCH_OVERHEAD_TOKENS, PrefixAffinity
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.settings import RouterSettings
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean
from pearhill.routing.topology import MachineKind, Role

SHORT_PROMPT_TOKENS = 2_000  # a prompt with fewer uncached tokens may be prefilled at a decode replica
MAX_SERVICE_TIME_RATIO = 4  # an attempt may take this many times its expected time
MAX_MEMORY_UTILIZATION = 0.92  # share of memory in use from which a replica gets no more requests
LOAD_LIMIT_FACTOR = 0.8  # a late fetch limits a replica's load to this share of its current load
LOAD_LIMIT_DOUBLING_US = 8_000_000  # time in which the load limit doubles again
MAX_LOAD_LIMIT_DOUBLINGS = 9.0
MIN_REPORT_CONFIDENCE = 0.5
KIND_PRIOR_WEIGHT = 0.2  # weight of a machine kind's prior, in samples
# Maximum weight of the evidence for each estimate, in samples.
KIND_MAX_SAMPLES = 30
QUEUE_MAX_SAMPLES = 6
ANSWER_TIME_MAX_SAMPLES = 20
# Assumed prefill speed before the first observation, as a multiple of the slowest useful speed.
PREFILL_REPLICA_SPEED = 16
OTHER_REPLICA_SPEED = 4


class _KindEstimates:
    """Estimates for all replicas of one machine kind."""

    def __init__(self, kind: MachineKind, shortest_objective: int) -> None:
        slowest_time_per_token = shortest_objective / SHORT_PROMPT_TOKENS
        speed = PREFILL_REPLICA_SPEED if kind.role == Role.PREFILL else OTHER_REPLICA_SPEED
        self.initial_prefill_time = slowest_time_per_token / speed
        self.fetch_time = DecayingMean(STEP_INTERVAL_US, KIND_MAX_SAMPLES)
        self.prefill_time = DecayingMean(STEP_INTERVAL_US, KIND_MAX_SAMPLES)
        self.memory_used = DecayingMean(STEP_INTERVAL_US, KIND_MAX_SAMPLES)

    def time_per_token(self, prefill: bool) -> DecayingMean:
        """Return the same estimate as `ReplicaState.time_per_token`, for the machine kind."""
        return self.prefill_time if prefill else self.fetch_time


class LoadEstimates:
    """Estimates by replica, machine kind and role."""

    def __init__(self, settings: RouterSettings, affinity: PrefixAffinity) -> None:
        shortest_objective = min(spec.latency_objective for spec in settings.classes)
        self._affinity = affinity
        self._kinds = [_KindEstimates(kind, shortest_objective) for kind in settings.kinds]
        self._reported_queues = {role: DecayingMean(STEP_INTERVAL_US / 2, QUEUE_MAX_SAMPLES) for role in Role}  # tokens
        self._answer_times: dict[int, DecayingMean] = {}  # by request class

    def expected_time(self, now: int, replica: ReplicaState, tokens: float, prefill: bool = True) -> float:
        """Return the expected microseconds until the first token, to prefill `tokens` there or to fetch their state."""
        kind = self._kinds[replica.endpoint.kind]
        initial = kind.initial_prefill_time if prefill else 0.0
        # A dispatcher that rejects all requests measures nothing any more, so its estimate of an overload has to decay.
        prior = kind.time_per_token(prefill).value_with_prior(now, initial, KIND_PRIOR_WEIGHT)
        return tokens * replica.time_per_token(prefill).value_with_prior(now, prior)

    def prefill_time(self, now: int, replica: ReplicaState, pending: PendingRequest, home: int = NO_HOME) -> float:
        """Return the expected microseconds until the replica has prefilled this prompt, including its queue."""
        request = pending.request
        ahead = self.queue_ahead(now, replica)
        cached = self._affinity.cached_tokens(now, replica, request, home)
        return self.expected_time(now, replica, ahead + request.prompt_tokens - cached + BATCH_OVERHEAD_TOKENS)

    def queue_ahead(self, now: int, replica: ReplicaState) -> float:
        """Return how many tokens all dispatchers have queued at the replica, as far as is known.

        A report of the replica itself counts only at the time of the report; otherwise the mean of its role's reports
        counts. If the queue of other dispatchers at one replica were taken for slow prefilling, this dispatcher would
        reject requests that idle replicas could prefill, long after the queue is empty.
        """
        if replica.reported_queue_at == now:
            return max(replica.tokens_queued, replica.reported_queue)
        return max(replica.tokens_queued, self._reported_queues[replica.role].value_with_prior(now, 0.0))

    def memory_utilization(self, now: int, replica: ReplicaState, tokens: int) -> float:
        """Return the share of the replica's memory in use if `tokens` were added.

        The estimate is based on the replica's reports, which give way to those of its machine kind as they age, and on
        the tokens sent since the last report. If no replica of the kind reports, this dispatcher's load is compared
        with the load limit set by the last late fetch: a memory estimate from an overload would outlast the overload.
        """
        kind = self._kinds[replica.endpoint.kind]
        doublings = min(MAX_LOAD_LIMIT_DOUBLINGS, (now - replica.load_limit_set_at) / LOAD_LIMIT_DOUBLING_US)
        limit = replica.load_limit * 2**doublings
        if limit and not kind.memory_used.weight:
            return (
                MAX_MEMORY_UTILIZATION * (replica.tokens_in_flight + tokens) / limit
                if replica.tokens_in_flight
                else 0.0
            )
        prior = kind.memory_used.value_with_prior(now, 0.0, KIND_PRIOR_WEIGHT)
        reported = replica.memory_used.value_with_prior(now, prior, KIND_PRIOR_WEIGHT)
        return reported + (replica.tokens_since_report + tokens) / replica.memory_tokens

    def record_memory(self, now: int, replica: ReplicaState, memory_used: float) -> None:
        """Record the share of memory in use that the replica reported."""
        replica.memory_used.add(now, memory_used, replica.memory_used.max_weight)
        self._kinds[replica.endpoint.kind].memory_used.add(now, memory_used)
        replica.tokens_since_report = 0
        replica.reported_at = now

    def record_report(self, now: int, replica: ReplicaState, report: LoadReport) -> None:
        """Record a load report that is valid now."""
        replica.ejected_until = report.ejected_until
        replica.reported_queue = report.queued_tokens
        replica.reported_queue_at = now
        if report.confidence > MIN_REPORT_CONFIDENCE:
            self._reported_queues[replica.role].add(now, report.queued_tokens)
            self.record_memory(now, replica, report.memory_used)

    def record_time(self, now: int, replica: ReplicaState, pending: PendingRequest, elapsed: int) -> None:
        """Record how many microseconds an attempt took until its first token or its time-out."""
        prefill = not pending.fetches_state
        kind_time = self._kinds[replica.endpoint.kind].time_per_token(prefill)
        # The sample is capped, so that one very slow attempt does not dominate the estimate.
        max_time_per_token = MAX_SERVICE_TIME_RATIO * kind_time.value if kind_time.weight else elapsed
        time_per_token = min(elapsed / pending.service_tokens, max_time_per_token)
        replica.time_per_token(prefill).add(now, time_per_token)
        kind_time.add(now, time_per_token)

    def record_answer(self, now: int, replica: ReplicaState, request_class: int, elapsed: int) -> None:
        """Record that the replica finished an answer after `elapsed` microseconds."""
        mean = self._answer_times.setdefault(
            request_class, DecayingMean(2 * STEP_INTERVAL_US, ANSWER_TIME_MAX_SAMPLES, elapsed)
        )
        mean.add(now, elapsed)
        replica.answer_time_ratio.add(now, elapsed / max(1, mean.value))

    def record_late_fetch(self, now: int, replica: ReplicaState, pending: PendingRequest) -> None:
        """Lower the replica's load limit after a late fetch of a state.

        The replica had no free slot or memory in time, and may have under less load from this dispatcher. An attempt
        sent before the last cut is ignored, so that one overload lowers the limit once.
        """
        if pending.sent_at < replica.load_limit_set_at:
            return
        ended_load = 0 if pending.in_flight else pending.load_tokens
        reduced_load = LOAD_LIMIT_FACTOR * (replica.tokens_in_flight + ended_load)
        replica.load_limit = max(reduced_load, pending.load_tokens)
        replica.load_limit_set_at = now
