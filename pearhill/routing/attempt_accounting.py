"""Accounting at the start and end of attempts: the load of their replicas and the records of their requests."""

from __future__ import annotations

from collections.abc import Mapping

from pearhill.routing.events import AttemptEnded
from pearhill.routing.load_estimates import LoadEstimates
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome
from pearhill.routing.pending_request import NO_HOME, PendingRequest
from pearhill.routing.permissions import Execution
from pearhill.routing.prefix_affinity import BATCH_OVERHEAD_TOKENS, PrefixAffinity
from pearhill.routing.replica_state import ReplicaState, UnansweredAttempt
from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Role

# After these outcomes nothing has reached a replica, so the hold time of a state is not restarted.
NOT_ARRIVED = frozenset((Outcome.UNREACHABLE, Outcome.WITHDRAWN, Outcome.NOT_SENT))


class AttemptAccounting:
    """Updates the records of requests and replicas as attempts start and end. Loads are in tokens.

    `ready` has the replicas that accept requests, by role.
    """

    def __init__(
        self,
        settings: RouterSettings,
        ready: Mapping[Role, list[ReplicaState]],
        affinity: PrefixAffinity,
        loads: LoadEstimates,
    ) -> None:
        self.settings = settings
        self._ready = ready
        self._affinity = affinity
        self._loads = loads

    def begin(self, now: int, pending: PendingRequest, replica: ReplicaState) -> None:
        """Record the start of the request's next attempt, at this replica."""
        pending.replica = replica
        pending.is_prefilling = replica.role == Role.PREFILL
        pending.fetches_state = pending.state_holder is not None
        self._estimate_tokens(now, pending, replica)
        pending.attempt += 1
        pending.sent_at = now
        pending.in_flight = True
        pending.tried_replicas.append(replica.id)
        self._add_load(pending, replica)

    def _estimate_tokens(self, now: int, pending: PendingRequest, replica: ReplicaState) -> None:
        request = pending.request
        pending.expected_cached_tokens = 0
        pending.prefill_tokens = 0
        if not pending.fetches_state:
            home = pending.home if pending.is_prefilling else NO_HOME
            pending.expected_cached_tokens = self._affinity.cached_tokens(now, replica, request)
            cached_tokens = self._affinity.cached_tokens(now, replica, request, home)
            pending.prefill_tokens = request.prompt_tokens - cached_tokens
        pending.load_tokens = pending.prefill_tokens
        if not pending.is_prefilling:
            pending.load_tokens = request.prompt_tokens + request.max_output_tokens // 2
        ahead = int(self._loads.queue_ahead(now, replica))
        pending.service_tokens = ahead + pending.prefill_tokens + BATCH_OVERHEAD_TOKENS

    def _add_load(self, pending: PendingRequest, replica: ReplicaState) -> None:
        request = pending.request
        replica.tokens_queued += pending.prefill_tokens
        replica.tokens_in_flight += pending.load_tokens
        if not pending.is_prefilling:
            replica.tokens_since_report += request.prompt_tokens
        peers = len(self._ready[replica.role])
        self._affinity.record_sent(replica, pending.prefill_tokens, self.settings.instances, peers)
        replica.unanswered[request.request] = UnansweredAttempt(
            request.request, pending.attempt, pending.sent_at, pending.latency_objective
        )
        replica.slow_start_bucket.tokens -= 1

    def start_response(self, pending: PendingRequest, replica: ReplicaState) -> None:
        """Record that the answer has begun: the prompt is prefilled, and a held state has been fetched."""
        _remove_from_queue(pending, replica)
        pending.response_started = True
        pending.state_holder = None

    def end(self, now: int, event: AttemptEnded, pending: PendingRequest, replica: ReplicaState) -> None:
        """Record the end of an attempt: take its load off the replica, note a held state or a possible execution."""
        pending.in_flight = False
        pending.response_started = False
        _remove_load(pending, replica)
        if event.outcome == Outcome.PREFILLED:
            pending.state_holder = replica
        elif event.outcome == Outcome.STATE_LOST:
            pending.state_holder = None
        if event.outcome not in NOT_ARRIVED:
            pending.state_held_since = now
        if event.outcome not in NOT_EXECUTED and not pending.is_prefilling and pending.execution is None:
            pending.execution = Execution(replica.endpoint.zone, replica.endpoint.cell, pending.sent_at)


def _remove_load(pending: PendingRequest, replica: ReplicaState) -> None:
    _remove_from_queue(pending, replica)
    replica.tokens_in_flight -= pending.load_tokens
    if not pending.is_prefilling and pending.sent_at >= replica.reported_at:
        replica.tokens_since_report -= pending.request.prompt_tokens


def _remove_from_queue(pending: PendingRequest, replica: ReplicaState) -> None:
    if replica.unanswered.pop(pending.request.request, None) is not None:
        replica.tokens_queued -= pending.prefill_tokens
