"""A request as the router tracks it, until its final answer and the end of its last attempt."""

from __future__ import annotations

from pearhill.routing.events import RequestArrived
from pearhill.routing.permissions import Execution
from pearhill.routing.replica_state import ReplicaState

# At which of the two home replicas of its prefix a prompt is prefilled.
NO_HOME = -1
SECOND_HOME = 0
FIRST_HOME = 1  # the one that the session prefers

NEVER_QUERIED = (-2, False)


class PendingRequest:
    """A record without logic. Times are in microseconds, loads in tokens.

    `attempt` is the index of the last attempt, or -1 before the first one.
    """

    def __init__(self, request: RequestArrived, deadline: int, objective_at: int) -> None:
        self.request = request
        self.deadline = deadline
        self.objective_at = objective_at  # time by which its first token is due
        self.latency_objective = objective_at - deadline + request.timeout
        self.answered = False  # it has had its final answer, or its client has disconnected
        self.execution: Execution | None = None  # the first attempt that may have executed it
        self.tried_replicas: list[int] = []

        # The last attempt.
        self.attempt = -1
        self.in_flight = False
        self.replica: ReplicaState | None = None
        self.sent_at = 0
        self.is_prefilling = False  # at a prefill replica, which sends no answer itself
        self.fetches_state = False
        self.response_started = False
        self.home = NO_HOME
        self.expected_cached_tokens = 0
        self.prefill_tokens = 0  # to be prefilled at the replica
        self.load_tokens = 0  # added to the replica's tokens in flight
        self.service_tokens = 0  # queued ahead of it at the replica, and its own

        # The replica that holds the prefilled state.
        self.state_holder: ReplicaState | None = None
        self.state_held_since = 0

        # The key of the last load query (see `query_key`), and the replicas that it queried.
        self.last_query = NEVER_QUERIED
        self.queried_replicas: list[ReplicaState] = []

    @property
    def query_key(self) -> tuple[int, bool]:
        """Identifies one choice of a replica. The load is queried once for each choice."""
        return self.attempt, self.state_holder is not None
