"""Updates the estimates from the course of attempts: health, speed, memory, cached prompts and warm capacity.

The module makes no decisions: `placement` and other modules read the estimates.
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

LATE_FETCH_SHARE = 0.2  # of the latency objective; a fetch that takes longer found no free slot or memory

FAILURES = frozenset((Outcome.TIMEOUT, Outcome.ERROR, Outcome.UNREACHABLE, Outcome.TRUNCATED))


class AttemptFeedback:
    """Updates the estimates from observed attempts. Times are in microseconds; the only actions are log lines.

    `ready` has the replicas that accept requests, by role.
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
        """Record that the replica began its answer after `elapsed` microseconds."""
        actions = self._record_first_token(now, pending, replica, elapsed)
        if pending.fetches_state and elapsed > LATE_FETCH_SHARE * pending.latency_objective:
            self._loads.record_late_fetch(now, replica, pending)
        return actions

    def attempt_ended(
        self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState
    ) -> list[Action]:
        """Record the outcome of an attempt whose load `AttemptAccounting.end` has already taken off the replica."""
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

    def record_unfinished_prefills(self, now: int) -> None:
        """Record the age of the oldest unfinished prefill of each prefill replica.

        If only finished prefills counted, a replica that hangs would look fast.
        """
        for replica in self._ready[Role.PREFILL]:
            oldest = next(iter(replica.unanswered.values()), None)
            if oldest is not None:
                self._local_prefill.record_latency(now, now - oldest.sent_at, oldest.latency_objective)

    # Attempts that prefilled a prompt or answered.

    def _record_success(self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState) -> None:
        self._count_for_slow_start(now, pending, replica)
        if event.cached_tokens * 2 < pending.expected_cached_tokens - BATCH_OVERHEAD_TOKENS:
            replica.cached_prefixes.clear()  # it lost its cache; the entries would attract long prompts to prefill
        prompt_tokens = pending.request.prompt_tokens
        if pending.is_prefilling and pending.home != NO_HOME:
            self._affinity.record_cached_share(now, pending.home, event.cached_tokens, prompt_tokens)
        if replica.role == Role.DECODE and not pending.fetches_state:
            self._local_prefill.spend(prompt_tokens - event.cached_tokens - pending.prefill_tokens)

    def _count_for_slow_start(self, now: int, pending: PendingRequest, replica: ReplicaState) -> None:
        """Count finished work towards the capacity that slow start derives from warm replicas.

        Answers that have only begun do not count: an idle replica begins answers faster than it finishes them.
        """
        if not self._slow_start.is_warm(replica.endpoint, now):
            return
        peers = self._ready[replica.role]
        warm_weight = sum(peer.endpoint.weight or 1 for peer in peers if self._slow_start.is_warm(peer.endpoint, now))
        self._slow_start.record_finished(replica.role, warm_weight, self._relative_work(pending))

    def _relative_work(self, pending: PendingRequest) -> float:
        """Return the work of this request in units of its class's mean work, at most 1.

        Each request at a warming-up replica counts as one mean request. Warm replicas of the role may get mostly light
        requests, whose number would overstate the capacity of a warming-up replica.
        """
        if pending.fetches_state:  # the work of decoding does not depend on the prefill before it
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
        """Record that a replica has prefilled a prompt or begun an answer."""
        if not pending.fetches_state:  # a fetched state is not cached at the replica
            self._affinity.record_cached(now, replica, pending.request)
        replica.last_answer_at = now
        actions: list[Action] = []
        # An answer to an attempt sent before the last failure does not show that the replica has recovered.
        if not replica.failure_rate.value or pending.sent_at > replica.failure_rate.updated_at:
            actions = self.record_health(now, replica, failed=False)
        self._loads.record_time(now, replica, pending, elapsed)
        return actions

    # Failed attempts.

    def _record_failure(
        self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState
    ) -> list[Action]:
        if event.outcome != Outcome.TIMEOUT:
            return self.record_health(now, replica, failed=True, outcome=event.outcome)
        # If only answers were measured, an overloaded replica would look fast.
        self._loads.record_time(now, replica, pending, event.elapsed)
        if pending.fetches_state:
            replica.memory_used.add(now, 1.0, replica.memory_used.max_weight)
            self._loads.record_late_fetch(now, replica, pending)
        if replica.last_answer_at > pending.sent_at:
            return []
        return self.record_health(now, replica, failed=True, outcome=event.outcome)

    def record_health(self, now: int, replica: ReplicaState, failed: bool, outcome: str = "") -> list[Action]:
        """Record a failed or successful attempt in the failure rates of the replica and its zone.

        Without these rates, a failed replica or a disconnected zone would keep receiving requests. Returns a log line
        if the replica became an outlier or ceased to be one.
        """
        if not self._outliers.record(now, replica, failed):
            return []
        change = f"ejected: {outcome}" if failed else "no longer ejected"
        return [LogMessage(f"replica {replica.id} {change}")]
