"""Wishes, the roster and the drain, free of I/O."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.drain import Drain, DrainStage
from pearhill.lifecycle.endpoint_overrides import EndpointOverrides
from pearhill.lifecycle.overrides import RETENTION_US, OperatorOverrides
from pearhill.lifecycle.shutdown_times import IDLE_GRACE_US
from pearhill.routing.topology import Endpoint, Phase
from tests.driver import S, entry


def phases(entries: tuple[Endpoint, ...]) -> dict[int, str]:
    return {e.replica: e.phase for e in entries}


def test_what_is_out_is_told_as_draining_whatever_the_list_says():
    roster = EndpointOverrides(wishes := OperatorOverrides())
    assert phases(roster.update(True, (entry(1, 0), entry(2, 1)))) == {1: Phase.READY, 2: Phase.READY}
    wishes.set_down(1, 10 * S, True)
    assert phases(roster.reapply({1})) == {1: Phase.DRAINING}
    for full in (False, True):
        assert phases(roster.update(full, (entry(1, 0), entry(2, 1)))) == {1: Phase.DRAINING, 2: Phase.READY}
    roster.update(False, (entry(1, 0, phase=Phase.GONE),))
    assert roster.knows(1) and roster.reapply({1}) == ()  # not listed, and still out
    moved = replace(entry(1, 0), started_at=11 * S, cell=5)
    assert phases(roster.update(False, (moved,))) == {1: Phase.DRAINING}
    wishes.set_down(1, 12 * S, False)
    assert roster.reapply({1}) == (moved,)  # the list named its start
    roster.update(True, ())
    assert not roster.knows(1)


def test_two_calls_out_need_one_back_and_a_call_back_alone_is_none():
    wishes = OperatorOverrides()
    wishes.set_down(1, 5 * S, False)
    assert wishes.down == {}  # or an engine that was never out would be taken for a cold one
    for at in (10 * S, 11 * S):
        wishes.set_down(1, at, True)
    wishes.set_down(1, 12 * S, False)
    assert not wishes.is_down(1)
    assert wishes.restored(1) and wishes.restored(1).since == 10 * S


def test_what_is_back_counts_as_cold_until_the_list_tells_its_true_start():
    roster = EndpointOverrides(wishes := OperatorOverrides())
    roster.update(True, (entry(1, 0, started=3 * S),))
    wishes.set_down(1, 10 * S, True)
    wishes.set_down(1, 20 * S, False)
    assert roster.reapply({1})[0].started_at == 20 * S  # absence is not warmth
    for start in (14 * S, 25 * S):
        assert roster.update(False, (entry(1, 0, started=start),))[0].started_at == start
    wishes.forget(20 * S + RETENTION_US + 1)
    assert wishes.down == {}


def test_wishes_that_stand_are_never_forgotten():
    wishes = OperatorOverrides()
    wishes.set_down(1, S, True)
    wishes.forget(100 * RETENTION_US)
    assert wishes.is_down(1)


CALLS = st.lists(st.tuples(st.integers(0, 1), st.integers(1, 3), st.integers(0, 20), st.booleans()), max_size=30)


@given(CALLS)
def test_of_two_processes_both_end_with_the_wish_that_came_last(calls):
    """Each call reaches one of two; each takes over the other's after it, whatever their clocks say."""
    both = OperatorOverrides(), OperatorOverrides()
    last: dict[int, bool] = {}
    for who, engine, at, on in calls:
        both[who].set_down(engine, at, on)
        last[engine] = on
        both[1 - who].merge(both[who].down, both[who].drain)
        both[who].merge(both[1 - who].down, both[1 - who].drain)
    assert both[0].down == both[1].down
    assert {engine: both[0].is_down(engine) for engine in last} == last


def test_a_drain_goes_through_its_stages_and_back():
    drain = Drain()
    assert drain.stage(S) is DrainStage.OPEN and drain.tick(S) is None
    drain.request(S, True)
    assert (drain.stage(S), drain.tick(S)) == (DrainStage.CLOSE_AFTER_ANSWER, S + IDLE_GRACE_US)
    drain.request(S + IDLE_GRACE_US - 1, True)  # asked for twice, it does not begin anew
    assert (drain.stage(S + IDLE_GRACE_US), drain.tick(S + IDLE_GRACE_US)) == (DrainStage.CLOSE_IDLE, None)
    drain.request(9 * S, False)
    drain.request(9 * S, False)
    assert not drain.active and drain.stage(9 * S) is DrainStage.OPEN


def test_the_end_of_the_operators_drain_does_not_undo_the_end_of_the_process():
    drain = Drain()
    drain.request(S, True)
    drain.end_process(2 * S, 6 * S)
    drain.request(3 * S, False)
    assert drain.active and drain.stage(2 * S + IDLE_GRACE_US) is DrainStage.CLOSE_IDLE
    drain.end_process(9 * S, 6 * S)
    assert drain.stage(3 * S) is DrainStage.CLOSE_IDLE  # a second signal does not begin it anew
