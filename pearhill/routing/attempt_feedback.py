"""What the course of attempts tells of their replicas: health, speed, memory, cached prompts, and what warm ones bear.

Free of decisions: the estimates that it feeds are read by `placement` and others.
"""

from __future__ import annotations

from collections.abc import Mapping

from pearhill.routing.actions import Action, LogMessage
from pearhill.routing.events import AttemptEnded
from pearhill.routing.load_estimates import LoadEstimates
from pearhill.routing.local_prefill import LocalPrefill
from pearhill.routing.outcomes import Outcome
from pearhill.routing.outlier_detection import OutlierDetector
from pearhill.routing.pending_request import NO_HOME, PendingRequest
from pearhill.routing.prefix_affinity import BATCH_OVERHEAD_TOKENS, PrefixAffinity
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.slow_start import SlowStart
from pearhill.routing.topology import Role

LATE_FETCH_SHARE = 0.2  # of the latency objective: a state that takes longer to fetch found no slot or no memory

FAILURES = frozenset((Outcome.TIMEOUT, Outcome.ERROR, Outcome.UNREACHABLE, Outcome.TRUNCATED))


class AttemptFeedback:
    """Feeds the estimates with what attempts show. Times are microseconds; actions are lines for the log at most.

    `ready`: the replicas that take requests, by role.
    """

    def __init__(
        self,
        ready: Mapping[Role, list[ReplicaState]],
        slow_start: SlowStart,
        outliers: OutlierDetector,
        affinity: PrefixAffinity,
        loads: LoadEstimates,
        local_prefill: LocalPrefill,
    ) -> None:
        self._ready = ready
        self._slow_start = slow_start
        self._outliers = outliers
        self._affinity = affinity
        self._loads = loads
        self._local_prefill = local_prefill

    def response_started(self, now: int, pending: PendingRequest, replica: ReplicaState, elapsed: int) -> list[Action]:
        """The replica has begun its answer after so long."""
        actions = self._record_first_token(now, pending, replica, elapsed)
        if pending.fetches_state and elapsed > LATE_FETCH_SHARE * pending.latency_objective:
            self._loads.record_late_fetch(now, replica, pending)
        return actions

    def attempt_ended(
        self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState
    ) -> list[Action]:
        """The attempt is over, and its load was taken off the replica (`AttemptAccounting.end`)."""
        if event.retry_after:
            replica.unavailable_until = max(replica.unavailable_until, now + event.retry_after)
        if event.load is not None:
            self._loads.record_memory(now, replica, event.load.memory_used)
        if event.outcome in FAILURES:
            return self._record_failure(now, event, pending, replica)
        if event.outcome not in (Outcome.PREFILLED, Outcome.ANSWERED):
            return []
        self._record_success(now, event, pending, replica)
        if event.outcome == Outcome.PREFILLED:
            return self._record_prefilled(now, event, pending, replica)
        self._loads.record_answer(now, replica, pending.request.request_class, event.elapsed)
        return []

    def record_waiting(self, now: int) -> None:
        """Prompts still being prefilled count with their age: a replica that hangs would look fast."""
        for replica in self._ready[Role.PREFILL]:
            oldest = next(iter(replica.unanswered.values()), None)
            if oldest is not None:
                self._local_prefill.record_latency(now, now - oldest.sent_at, oldest.latency_objective)

    # Attempts that have prefilled their prompt, or answered.

    def _record_success(self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState) -> None:
        self._count_for_slow_start(now, pending, replica)
        if event.cached_tokens * 2 < pending.expected_cached_tokens - BATCH_OVERHEAD_TOKENS:
            replica.cached_prefixes.clear()  # it has lost its cache, and long prompts would be prefilled there
        prompt_tokens = pending.request.prompt_tokens
        if pending.is_prefilling and pending.home != NO_HOME:
            self._affinity.record_cached_share(now, pending.home, event.cached_tokens, prompt_tokens)
        if replica.role == Role.DECODE and not pending.fetches_state:
            self._local_prefill.spend(prompt_tokens - event.cached_tokens - pending.prefill_tokens)

    def _count_for_slow_start(self, now: int, pending: PendingRequest, replica: ReplicaState) -> None:
        """Only finished work tells what a replica bears: an empty one begins answers faster than it finishes them."""
        if not self._slow_start.is_warm(replica.endpoint, now):
            return
        peers = self._ready[replica.role]
        warm_weight = sum(peer.endpoint.weight or 1 for peer in peers if self._slow_start.is_warm(peer.endpoint, now))
        self._slow_start.answered(replica.role, warm_weight, self._mean_requests(pending))

    def _mean_requests(self, pending: PendingRequest) -> float:
        """How many requests of its class's mean work this one is, one at most.

        On a warming-up replica each counts as that mean, while warm ones of a role may get light ones above all: what
        they answer is not what a warming-up one bears.
        """
        if pending.fetches_state:  # decoding takes what it takes, whatever was prefilled before it
            return 1.0
        request = pending.request
        mean = self._affinity.mean_prompt_tokens(request)
        return min(1.0, (request.prompt_tokens + BATCH_OVERHEAD_TOKENS) / (mean + BATCH_OVERHEAD_TOKENS))

    def _record_prefilled(
        self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState
    ) -> list[Action]:
        actions = self._record_first_token(now, pending, replica, event.elapsed)
        self._local_prefill.record_latency(now, event.elapsed, pending.latency_objective)
        self._affinity.record_prefilled(pending.request, event.cached_tokens)
        return actions

    def _record_first_token(
        self, now: int, pending: PendingRequest, replica: ReplicaState, elapsed: int
    ) -> list[Action]:
        """A replica has prefilled a prompt, or begun an answer."""
        if not pending.fetches_state:  # a state that was fetched is not cached there
            self._affinity.record_cached(now, replica, pending.request)
        replica.last_answer_at = now
        actions: list[Action] = []
        # An answer to an attempt from before the last failure is no sign of recovery.
        if not replica.failure_rate.value or pending.sent_at > replica.failure_rate.updated_at:
            actions = self.record_health(now, replica, failed=False)
        self._loads.record_time(now, replica, pending, elapsed)
        return actions

    # Attempts that have failed.

    def _record_failure(
        self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState
    ) -> list[Action]:
        if event.outcome != Outcome.TIMEOUT:
            return self.record_health(now, replica, failed=True, outcome=event.outcome)
        # By the answers alone, a jam would look quick.
        self._loads.record_time(now, replica, pending, event.elapsed)
        if pending.fetches_state:
            replica.memory_used.add(now, 1.0, replica.memory_used.max_weight)
            self._loads.record_late_fetch(now, replica, pending)
        if replica.last_answer_at > pending.sent_at:
            return []
        return self.record_health(now, replica, failed=True, outcome=event.outcome)

    def record_health(self, now: int, replica: ReplicaState, failed: bool, outcome: str = "") -> list[Action]:
        """One attempt has failed, or has not. A dead replica and a cut zone would go on catching requests."""
        if not self._outliers.record(now, replica, failed):
            return []
        change = f"ejected: {outcome}" if failed else "no longer ejected"
        return [LogMessage(f"replica {replica.id} {change}")]
