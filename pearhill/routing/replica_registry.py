"""The replicas of the endpoint list, and which of them accept requests."""

from __future__ import annotations

import random
from dataclasses import replace

from pearhill.routing.events import EndpointsUpdated
from pearhill.routing.replica_state import ReplicaState, UnansweredAttempt
from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Endpoint, Phase, Role


class ReplicaRegistry:
    """Keeps one record for each listed replica, up to date with the list.

    `replicas` has the records by replica number, `ready` those of the replicas that accept requests, by role, in the
    order of their numbers. `rng` draws the part of a token with which each slow-start bucket begins.
    """

    def __init__(self, settings: RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.replicas: dict[int, ReplicaState] = {}
        self.ready: dict[Role, list[ReplicaState]] = {Role.PREFILL: [], Role.DECODE: [], Role.MIXED: []}
        self._rng = rng

    def update(self, event: EndpointsUpdated) -> list[UnansweredAttempt]:
        """Apply an update of the endpoint list. Returns the unanswered attempts at replicas no longer listed."""
        updated = {endpoint.replica for endpoint in event.endpoints}
        others = [replica.endpoint for replica in self.replicas.values() if replica.id not in updated]
        unanswered: list[UnansweredAttempt] = []
        for endpoint in event.endpoints:
            unanswered += self._update_endpoint(endpoint)
        if event.full:
            for endpoint in others:
                unanswered += self._update_endpoint(replace(endpoint, phase=Phase.GONE))
        for role in self.ready:
            self._update_ready(role)
        return unanswered

    def _update_endpoint(self, endpoint: Endpoint) -> list[UnansweredAttempt]:
        replica = self.replicas.get(endpoint.replica)
        # With its old record, a restarted replica would be assumed to have prompts cached and to perform as before.
        if replica is None or endpoint.started_at > replica.endpoint.started_at:
            replica = ReplicaState(endpoint, self.settings.kinds[endpoint.kind], self._rng.random())
            self.replicas[endpoint.replica] = replica
        replica.endpoint = endpoint
        if endpoint.phase != Phase.GONE:
            return []
        del self.replicas[replica.id]  # attempts in flight reference the record until they end
        return list(replica.unanswered.values())

    def _update_ready(self, role: Role) -> None:
        ready = [
            replica
            for replica in self.replicas.values()
            if replica.role == role and replica.endpoint.phase == Phase.READY
        ]
        ready.sort(key=lambda replica: replica.id)
        count_before = len(self.ready[role])
        self.ready[role] = ready
        # If a role loses replicas, the load of the others rises at once, and their slow-start buckets have filled with
        # tokens that were not needed before. These would be spent in one burst.
        if self._rng.random() * count_before > len(ready):
            for replica in ready:
                bucket = replica.slow_start_bucket
                bucket.tokens = min(bucket.tokens, self._rng.random())
