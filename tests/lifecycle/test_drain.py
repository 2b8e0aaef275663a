"""The stages of a drain that operators, a signal or a successor began."""

from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.drain import Drain, DrainStage
from pearhill.lifecycle.shutdown_times import IDLE_GRACE_US, ShutdownTimes
from tests.driver import S

deadlines = st.integers(0, 20 * S)


def test_a_drain_goes_through_its_stages_and_back() -> None:
    drain = Drain()
    assert drain.stage(S) is DrainStage.OPEN
    assert drain.tick(S) is None
    drain.request(S, True)
    assert (drain.stage(S), drain.tick(S)) == (DrainStage.CLOSE_AFTER_ANSWER, S + IDLE_GRACE_US)
    drain.request(S + IDLE_GRACE_US - 1, True)  # a repeated request does not restart it
    assert (drain.stage(S + IDLE_GRACE_US), drain.tick(S + IDLE_GRACE_US)) == (DrainStage.CLOSE_IDLE, None)
    drain.request(9 * S, False)
    drain.request(9 * S, False)
    assert not drain.active
    assert drain.stage(9 * S) is DrainStage.OPEN


def test_the_end_of_the_operators_drain_does_not_cancel_the_shutdown() -> None:
    drain = Drain()
    drain.request(S, True)
    drain.end_process(2 * S, 6 * S)
    drain.request(3 * S, False)
    assert drain.active
    assert drain.stage(2 * S + IDLE_GRACE_US) is DrainStage.CLOSE_IDLE
    drain.end_process(9 * S, 6 * S)
    assert drain.stage(3 * S) is DrainStage.CLOSE_IDLE  # a second signal does not restart it


@given(deadlines, deadlines, st.integers(0, S))
def test_changed_deadlines_after_the_signal_never_delay_the_end(first: int, second: int, later: int) -> None:
    drain = Drain()
    drain.end_process(S, first)
    drain.end_process(S + later, second)
    assert (drain.ending_since, drain.times) == (S, ShutdownTimes.for_deadline(min(first, second)))


def test_partial_requests_are_closed_only_during_a_shutdown() -> None:
    drain = Drain()
    drain.request(0, True)
    assert not drain.closes_all(100 * S)
    drain.end_process(S, S)
    assert not drain.closes_all(S + drain.times.end_by - 1)
    assert drain.closes_all(S + drain.times.end_by)
