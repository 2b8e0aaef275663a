"""Load queries that wait for replicas' answers: access by request, by replica and by timer."""

from __future__ import annotations

import pytest

from pearhill.load_reports.pending_queries import FIRST_QUERY_TIMER, PendingQueries


@pytest.fixture
def queries() -> PendingQueries:
    return PendingQueries()


def test_a_query_is_complete_when_its_last_missing_replica_has_answered(queries: PendingQueries) -> None:
    queries.add(7, (1, 2, 3), {1, 2})
    queries.add(8, (2, 3), {2})
    assert queries.waiting_for(2) == [7, 8]
    assert not queries.record_answer(7, 2)
    assert queries.record_answer(8, 2)
    assert queries.record_answer(7, 1)
    assert queries.close(7).replicas == (1, 2, 3)
    assert 7 not in queries
    assert len(queries) == 1


def test_a_timer_returns_its_request_once_and_only_while_the_request_waits(queries: PendingQueries) -> None:
    first = queries.add(7, (1,), {1})
    second = queries.add(8, (1,), {1})
    assert FIRST_QUERY_TIMER < first < second
    assert queries.timed_out(first) == 7
    assert queries.timed_out(first) is None
    queries.close(8)
    assert queries.timed_out(second) is None


def test_a_request_whose_client_has_disconnected_waits_for_no_replica(queries: PendingQueries) -> None:
    timer = queries.add(7, (1,), {1})
    queries.drop(7)
    queries.drop(7)
    assert queries.waiting_for(1) == []
    assert queries.timed_out(timer) is None
    assert len(queries) == 0
