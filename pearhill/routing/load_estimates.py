"""How long a replica should take, what is queued ahead there, and how full its memory is.

What this dispatcher knows of one replica decays to what it knows of the replica's machine kind. Times are microseconds,
loads are tokens.
"""

from __future__ import annotations

from pearhill.routing.events import LoadReport
from pearhill.routing.pending_request import NO_HOME, PendingRequest
from pearhill.routing.prefix_affinity import BATCH_OVERHEAD_TOKENS, PrefixAffinity
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.settings import RouterSettings
from pearhill.routing.statistics import STEP_INTERVAL_US, DecayingMean
from pearhill.routing.topology import MachineKind, Role

SHORT_PROMPT_TOKENS = 2_000  # fewer uncached tokens than this may be prefilled at a decode replica (design)
MAX_SERVICE_TIME_RATIO = 4  # an attempt may take this many times what is expected of it
FULL_MEMORY = 0.92  # share of memory above which nothing is placed at a replica
LOAD_LIMIT_CUT = 0.8  # what a late fetch leaves of the load that a replica gets
LOAD_LIMIT_DOUBLING_US = 8_000_000  # in which that limit doubles again
MAX_LOAD_LIMIT_DOUBLINGS = 9.0
MIN_REPORT_CONFIDENCE = 0.5
KIND_PRIOR_WEIGHT = 0.2  # samples that the prior of a machine kind is worth
# What an estimate's evidence is worth at most, in samples.
KIND_MAX_SAMPLES = 30
QUEUE_MAX_SAMPLES = 6
ANSWER_TIME_MAX_SAMPLES = 20
# How much faster than the slowest useful speed prefilling is taken to be before anything was observed.
PREFILL_REPLICA_SPEED = 16
OTHER_REPLICA_SPEED = 4


class _KindEstimates:
    """What is known of all replicas of one machine kind."""

    def __init__(self, kind: MachineKind, shortest_objective: int) -> None:
        slowest = shortest_objective / SHORT_PROMPT_TOKENS
        speed = PREFILL_REPLICA_SPEED if kind.role == Role.PREFILL else OTHER_REPLICA_SPEED
        self.initial_prefill_time = slowest / speed
        self.fetch_time = DecayingMean(STEP_INTERVAL_US, KIND_MAX_SAMPLES)
        self.prefill_time = DecayingMean(STEP_INTERVAL_US, KIND_MAX_SAMPLES)
        self.memory_used = DecayingMean(STEP_INTERVAL_US, KIND_MAX_SAMPLES)

    def time_per_token(self, prefill: bool) -> DecayingMean:
        """As `ReplicaState.time_per_token`, for the kind."""
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
        """Microseconds until the first token, with so many tokens to be prefilled there, or their state fetched."""
        kind = self._kinds[replica.endpoint.kind]
        initial = kind.initial_prefill_time if prefill else 0.0
        # A dispatcher that rejects all requests measures nothing more. What it believes of a jam has to decay as well.
        usual = kind.time_per_token(prefill).value_with_prior(now, initial, KIND_PRIOR_WEIGHT)
        return tokens * replica.time_per_token(prefill).value_with_prior(now, usual)

    def prefill_time(self, now: int, replica: ReplicaState, pending: PendingRequest, home: int = NO_HOME) -> float:
        """Microseconds until the replica has prefilled this prompt, behind what is queued there."""
        request = pending.request
        ahead = self.queue_ahead(now, replica)
        cached = self._affinity.cached_tokens(now, replica, request, home)
        return self.expected_time(now, replica, ahead + request.prompt_tokens - cached + BATCH_OVERHEAD_TOKENS)

    def queue_ahead(self, now: int, replica: ReplicaState) -> float:
        """Tokens that all dispatchers have queued there, as far as is known.

        Only a report of this moment counts for the replica itself. Taken for slow prefilling, others' queue at one
        replica would have this dispatcher reject what idle ones could prefill, long after the queue is gone.
        """
        if replica.reported_queue_at == now:
            return max(replica.tokens_queued, replica.reported_queue)
        return max(replica.tokens_queued, self._reported_queues[replica.role].value_with_prior(now, 0.0))

    def memory_utilization(self, now: int, replica: ReplicaState, tokens: int) -> float:
        """The share of its memory in use with so many tokens more.

        By its reports, the older the more by its kind's, and by what was sent since. Where no replica reports, by this
        dispatcher's load against what the replica last bore: the memory of a jam outlives the jam.
        """
        kind = self._kinds[replica.endpoint.kind]
        doublings = min(MAX_LOAD_LIMIT_DOUBLINGS, (now - replica.load_limit_set_at) / LOAD_LIMIT_DOUBLING_US)
        limit = replica.load_limit * 2**doublings
        if limit and not kind.memory_used.weight:
            return FULL_MEMORY * (replica.tokens_in_flight + tokens) / limit if replica.tokens_in_flight else 0.0
        usual = kind.memory_used.value_with_prior(now, 0.0, KIND_PRIOR_WEIGHT)
        reported = replica.memory_used.value_with_prior(now, usual, KIND_PRIOR_WEIGHT)
        return reported + (replica.tokens_since_report + tokens) / replica.memory_tokens

    def record_memory(self, now: int, replica: ReplicaState, memory_used: float) -> None:
        """The replica has reported the share of its memory in use."""
        replica.memory_used.add(now, memory_used, replica.memory_used.max_weight)
        self._kinds[replica.endpoint.kind].memory_used.add(now, memory_used)
        replica.tokens_since_report = 0
        replica.reported_at = now

    def record_report(self, now: int, replica: ReplicaState, report: LoadReport) -> None:
        """The replica's load is known as of now."""
        replica.ejected_until = report.ejected_until
        replica.reported_queue = report.queued_tokens
        replica.reported_queue_at = now
        if report.confidence > MIN_REPORT_CONFIDENCE:
            self._reported_queues[replica.role].add(now, report.queued_tokens)
            self.record_memory(now, replica, report.memory_used)

    def record_time(self, now: int, replica: ReplicaState, pending: PendingRequest, elapsed: int) -> None:
        """An attempt at the replica has taken so long until its first token, or until its time-out."""
        prefill = not pending.fetches_state
        kind_time = self._kinds[replica.endpoint.kind].time_per_token(prefill)
        # One attempt that takes very long is not the rule for all.
        longest = MAX_SERVICE_TIME_RATIO * kind_time.value if kind_time.weight else elapsed
        time_per_token = min(elapsed / pending.service_tokens, longest)
        replica.time_per_token(prefill).add(now, time_per_token)
        kind_time.add(now, time_per_token)

    def record_answer(self, now: int, replica: ReplicaState, request_class: int, elapsed: int) -> None:
        """The replica has finished an answer after so long."""
        mean = self._answer_times.setdefault(
            request_class, DecayingMean(2 * STEP_INTERVAL_US, ANSWER_TIME_MAX_SAMPLES, elapsed)
        )
        mean.add(now, elapsed)
        replica.answer_time_ratio.add(now, elapsed / max(1, mean.value))

    def record_late_fetch(self, now: int, replica: ReplicaState, pending: PendingRequest) -> None:
        """No slot or no memory came free in time: with less load from here it may. One jam lowers the limit once."""
        if pending.sent_at < replica.load_limit_set_at:
            return
        ended_load = 0 if pending.in_flight else pending.load_tokens
        borne = LOAD_LIMIT_CUT * (replica.tokens_in_flight + ended_load)
        replica.load_limit = max(borne, pending.load_tokens)
        replica.load_limit_set_at = now
