"""Requests whose choice waits for the answers of replicas."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_QUERY_TIMER = 1 << 31  # the router numbers its own timers from 1


@dataclass(slots=True)
class PendingQuery:
    """One request's query: the replicas of its choice, those that have yet to answer, and the timer that bounds it."""

    replicas: tuple[int, ...]
    missing: set[int]
    timer: int


class PendingQueries:
    """The queries that are out, by request. One health check of a replica serves all that wait for it."""

    def __init__(self) -> None:
        self._by_request: dict[int, PendingQuery] = {}
        self._request_of_timer: dict[int, int] = {}
        self._last_timer = FIRST_QUERY_TIMER

    def __len__(self) -> int:
        return len(self._by_request)

    def __contains__(self, request: int) -> bool:
        return request in self._by_request

    def add(self, request: int, replicas: tuple[int, ...], missing: set[int]) -> int:
        """A request waits for the `missing` of these replicas; the number of the timer to set for it."""
        self._last_timer += 1
        self._request_of_timer[self._last_timer] = request
        self._by_request[request] = PendingQuery(replicas, missing, self._last_timer)
        return self._last_timer

    def waiting_for(self, replica: int) -> list[int]:
        """The requests that wait for this replica, in the order of their queries."""
        return [request for request, query in self._by_request.items() if replica in query.missing]

    def record_answer(self, request: int, replica: int) -> bool:
        """The request waits for this replica no longer. True: nor for any other."""
        missing = self._by_request[request].missing
        missing.discard(replica)
        return not missing

    def timed_out(self, timer: int) -> int | None:
        """The request whose timer this is; None: it waits no longer."""
        request = self._request_of_timer.pop(timer, None)
        return request if request in self._by_request else None

    def close(self, request: int) -> PendingQuery:
        """The request waits no longer: its query, with what is still missing."""
        query = self._by_request.pop(request)
        self._request_of_timer.pop(query.timer, None)
        return query

    def drop(self, request: int) -> None:
        """The request's client has gone; the timer runs out by itself."""
        self._by_request.pop(request, None)
