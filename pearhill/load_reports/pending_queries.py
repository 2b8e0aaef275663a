"""Load queries whose requests wait for the answers of replicas."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_QUERY_TIMER = 1 << 31  # far above the router's own timers, which are numbered from 1


@dataclass(slots=True)
class PendingQuery:
    """The load query of one request.

    `replicas`: the candidates of its choice. `missing`: the replicas that have not answered yet. `timer`: the timer
    that limits the wait.
    """

    replicas: tuple[int, ...]
    missing: set[int]
    timer: int


class PendingQueries:
    """The queries in flight, by request. One health check of a replica serves all requests that wait for it."""

    def __init__(self) -> None:
        self._by_request: dict[int, PendingQuery] = {}
        self._request_of_timer: dict[int, int] = {}
        self._last_timer = FIRST_QUERY_TIMER

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request: int) -> bool:
        return request in self._by_request

    def add(self, request: int, replicas: tuple[int, ...], missing: set[int]) -> int:
        """Add a request that waits for the `missing` replicas. Returns the number of the timer to set for it."""
        self._last_timer += 1
        self._request_of_timer[self._last_timer] = request
        self._by_request[request] = PendingQuery(replicas, missing, self._last_timer)
        return self._last_timer

    def waiting_for(self, replica: int) -> list[int]:
        """Return the requests that wait for this replica, in the order of their queries."""
        return [request for request, query in self._by_request.items() if replica in query.missing]

    def record_answer(self, request: int, replica: int) -> bool:
        """Record that a request no longer waits for this replica. Returns True if it waits for no other either."""
        missing = self._by_request[request].missing
        missing.discard(replica)
        return not missing

    def timed_out(self, timer: int) -> int | None:
        """Return the request of a timer that has fired, or None if the request no longer waits."""
        request = self._request_of_timer.pop(timer, None)
        return request if request in self._by_request else None

    def close(self, request: int) -> PendingQuery:
        """Remove and return the query of a request, with the replicas that have not answered."""
        query = self._by_request.pop(request)
        self._request_of_timer.pop(query.timer, None)
        return query

    def drop(self, request: int) -> None:
        """Remove the query of a request whose client has disconnected. Its timer is left to fire."""
        self._by_request.pop(request, None)
