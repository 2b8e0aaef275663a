"""The replicas that the endpoint list names, and which of them take requests."""

from __future__ import annotations

import random
from dataclasses import replace

from pearhill.routing.events import EndpointsUpdated
from pearhill.routing.replica_state import ReplicaState, UnansweredAttempt
from pearhill.routing.settings import RouterSettings
from pearhill.routing.topology import Endpoint, Phase, Role


class ReplicaRegistry:
    """One record for each listed replica, kept up to date with the list.

    `replicas`: by the replica's number. `ready`: those that take requests, by role, in the order of their numbers.
    `rng`: slow-start buckets begin with a random part of a token.
    """

    def __init__(self, settings: RouterSettings, rng: random.Random) -> None:
        self.settings = settings
        self.replicas: dict[int, ReplicaState] = {}
        self.ready: dict[Role, list[ReplicaState]] = {Role.PREFILL: [], Role.DECODE: [], Role.MIXED: []}
        self._rng = rng

    def update(self, event: EndpointsUpdated) -> list[UnansweredAttempt]:
        """Take in the list, or a part of it. Returns the attempts that replicas now gone have not answered."""
        named = {endpoint.replica for endpoint in event.endpoints}
        unnamed = [replica.endpoint for replica in self.replicas.values() if replica.id not in named]
        lost: list[UnansweredAttempt] = []
        for endpoint in event.endpoints:
            lost += self._update_endpoint(endpoint)
        if event.full:
            for endpoint in unnamed:
                lost += self._update_endpoint(replace(endpoint, phase=Phase.GONE))
        for role in self.ready:
            self._update_ready(role)
        return lost

    def _update_endpoint(self, endpoint: Endpoint) -> list[UnansweredAttempt]:
        replica = self.replicas.get(endpoint.replica)
        # A replica that comes back empty would be believed to have prompts cached, and to be as it was.
        if replica is None or endpoint.started_at > replica.endpoint.started_at:
            replica = ReplicaState(endpoint, self.settings.kinds[endpoint.kind], self._rng.random())
            self.replicas[endpoint.replica] = replica
        replica.endpoint = endpoint
        if endpoint.phase != Phase.GONE:
            return []
        del self.replicas[replica.id]  # attempts in flight there hold it until they end
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
        # What fewer replicas share comes in one step, and finds slow-start tokens that nobody had asked for.
        if self._rng.random() * count_before > len(ready):
            for replica in ready:
                bucket = replica.slow_start_bucket
                bucket.tokens = min(bucket.tokens, self._rng.random())
