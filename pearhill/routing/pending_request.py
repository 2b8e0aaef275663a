"""A request as the router tracks it, until its final answer and the end of its last attempt."""

from __future__ import annotations

from pearhill.routing.events import RequestArrived
from pearhill.routing.permissions import Execution
from pearhill.routing.replica_state import ReplicaState

# Which of the two home replicas of its prefix a prompt is prefilled at.
NO_HOME = -1
SECOND_HOME = 0
FIRST_HOME = 1  # the session's own

NEVER_QUERIED = (-2, False)


class PendingRequest:
    """A plain record. Times are microseconds, loads are tokens; `attempt` is the last attempt's index, -1 before it."""

    def __init__(self, request: RequestArrived, deadline: int, objective_at: int) -> None:
        self.request = request
        self.deadline = deadline
        self.objective_at = objective_at  # when its first token should come
        self.latency_objective = objective_at - deadline + request.timeout
        self.answered = False  # it has had its final answer, or its client has gone
        self.execution: Execution | None = None  # the first attempt that may have executed it
        self.tried_replicas: list[int] = []

        # The last attempt.
        self.attempt = -1
        self.in_flight = False
        self.replica: ReplicaState | None = None
        self.sent_at = 0
        self.is_prefilling = False  # at a prefill replica, which answers nothing itself
        self.fetches_state = False
        self.response_started = False
        self.home = NO_HOME
        self.expected_cached_tokens = 0
        self.prefill_tokens = 0  # to be prefilled there
        self.load_tokens = 0  # what it adds to the replica's tokens in flight
        self.service_tokens = 0  # what is ahead of it there, and its own

        # Where the prefilled state waits.
        self.state_holder: ReplicaState | None = None
        self.state_held_since = 0

        # The replicas whose load was queried before the last choice: for which attempt, with a state or without.
        self.last_query = NEVER_QUERIED
        self.queried_replicas: list[ReplicaState] = []

    @property
    def query_key(self) -> tuple[int, bool]:
        """Distinguishes one choice of a replica from the next: load is queried once for each."""
        return self.attempt, self.state_holder is not None
