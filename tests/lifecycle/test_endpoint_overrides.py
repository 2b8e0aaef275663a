"""Operators' overrides, what they make of the endpoints, and the drain, free of I/O."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.drain import Drain, DrainStage
from pearhill.lifecycle.endpoint_overrides import EndpointOverrides
from pearhill.lifecycle.overrides import RETENTION_US, OperatorOverrides
from pearhill.lifecycle.shutdown_times import IDLE_GRACE_US
from pearhill.routing.topology import Endpoint, Phase
from tests.driver import S, endpoint


def phases(entries: tuple[Endpoint, ...]) -> dict[int, str]:
    return {e.replica: e.phase for e in entries}


def test_a_replica_that_is_down_is_draining_whatever_the_list_says():
    overrides = OperatorOverrides()
    endpoints = EndpointOverrides(overrides)
    assert phases(endpoints.update(True, (endpoint(1, 0), endpoint(2, 1)))) == {1: Phase.READY, 2: Phase.READY}
    overrides.set_down(1, 10 * S, True)
    assert phases(endpoints.reapply({1})) == {1: Phase.DRAINING}
    for full in (False, True):
        assert phases(endpoints.update(full, (endpoint(1, 0), endpoint(2, 1)))) == {1: Phase.DRAINING, 2: Phase.READY}
    endpoints.update(False, (endpoint(1, 0, phase=Phase.GONE),))
    assert endpoints.knows(1)
    assert endpoints.reapply({1}) == ()
    moved = replace(endpoint(1, 0), started_at=11 * S, cell=5)
    assert phases(endpoints.update(False, (moved,))) == {1: Phase.DRAINING}
    overrides.set_down(1, 12 * S, False)
    assert endpoints.reapply({1}) == (moved,)  # the list named its start
    endpoints.update(True, ())
    assert not endpoints.knows(1)


def test_two_calls_down_need_one_up_and_a_call_up_alone_is_none():
    overrides = OperatorOverrides()
    overrides.set_down(1, 5 * S, False)
    assert overrides.down == {}  # or a replica that was never down would be taken for a cold one
    for at in (10 * S, 11 * S):
        overrides.set_down(1, at, True)
    overrides.set_down(1, 12 * S, False)
    assert not overrides.is_down(1)
    assert overrides.restored(1)
    assert overrides.restored(1).since == 10 * S


def test_a_restored_replica_counts_as_cold_until_the_list_has_its_true_start():
    overrides = OperatorOverrides()
    endpoints = EndpointOverrides(overrides)
    endpoints.update(True, (endpoint(1, 0, started_at=3 * S),))
    overrides.set_down(1, 10 * S, True)
    overrides.set_down(1, 20 * S, False)
    assert endpoints.reapply({1})[0].started_at == 20 * S  # while it was down it did not warm up
    for start in (14 * S, 25 * S):
        assert endpoints.update(False, (endpoint(1, 0, started_at=start),))[0].started_at == start
    overrides.forget(20 * S + RETENTION_US + 1)
    assert overrides.down == {}


def test_overrides_in_force_are_never_forgotten():
    overrides = OperatorOverrides()
    overrides.set_down(1, S, True)
    overrides.forget(100 * RETENTION_US)
    assert overrides.is_down(1)


CALLS = st.lists(st.tuples(st.integers(0, 1), st.integers(1, 3), st.integers(0, 20), st.booleans()), max_size=30)


@given(CALLS)
def test_of_two_processes_both_end_with_the_override_that_came_last(calls):
    """Each call reaches one of two; each takes over the other's after it, whatever their clocks say."""
    both = OperatorOverrides(), OperatorOverrides()
    last: dict[int, bool] = {}
    for process, replica, at, on in calls:
        both[process].set_down(replica, at, on)
        last[replica] = on
        both[1 - process].merge(both[process].down, both[process].drain)
        both[process].merge(both[1 - process].down, both[1 - process].drain)
    assert both[0].down == both[1].down
    assert {replica: both[0].is_down(replica) for replica in last} == last


def test_a_drain_goes_through_its_stages_and_back():
    drain = Drain()
    assert drain.stage(S) is DrainStage.OPEN
    assert drain.tick(S) is None
    drain.request(S, True)
    assert (drain.stage(S), drain.tick(S)) == (DrainStage.CLOSE_AFTER_ANSWER, S + IDLE_GRACE_US)
    drain.request(S + IDLE_GRACE_US - 1, True)  # asked for twice, it does not begin anew
    assert (drain.stage(S + IDLE_GRACE_US), drain.tick(S + IDLE_GRACE_US)) == (DrainStage.CLOSE_IDLE, None)
    drain.request(9 * S, False)
    drain.request(9 * S, False)
    assert not drain.active
    assert drain.stage(9 * S) is DrainStage.OPEN


def test_the_end_of_the_operators_drain_does_not_undo_the_end_of_the_process():
    drain = Drain()
    drain.request(S, True)
    drain.end_process(2 * S, 6 * S)
    drain.request(3 * S, False)
    assert drain.active
    assert drain.stage(2 * S + IDLE_GRACE_US) is DrainStage.CLOSE_IDLE
    drain.end_process(9 * S, 6 * S)
    assert drain.stage(3 * S) is DrainStage.CLOSE_IDLE  # a second signal does not begin it anew
