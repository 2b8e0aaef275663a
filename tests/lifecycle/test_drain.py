"""The stages of a shutdown within what the platform leaves it."""

from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.drain import Drain
from pearhill.lifecycle.shutdown_times import (
    KILL_AFTER_DEADLINE_US,
    MAX_KILL_DEADLINE_US,
    MAX_SIGNAL_DELAY_US,
    NEW_CONNECTIONS_US,
    ShutdownTimes,
)
from tests.driver import S

deadlines = st.integers(0, 20 * S)


@given(deadlines)
def test_every_stage_ends_before_the_kill_even_of_a_process_that_heard_of_the_signal_late(longest):
    times = ShutdownTimes.for_deadline(longest)
    kill = min(longest, MAX_KILL_DEADLINE_US) + KILL_AFTER_DEADLINE_US
    assert times.kill_after == kill
    assert times.end_by + MAX_SIGNAL_DELAY_US < kill
    assert NEW_CONNECTIONS_US <= times.accept_for < kill - MAX_SIGNAL_DELAY_US
    assert times.close_idle_after <= times.accept_for
    assert times.reject_after + MAX_SIGNAL_DELAY_US < KILL_AFTER_DEADLINE_US


@given(deadlines, deadlines, st.integers(0, S))
def test_other_deadlines_after_the_signal_bring_the_end_forward_and_never_put_it_off(first, second, later):
    drain = Drain()
    drain.end_process(S, first)
    drain.end_process(S + later, second)
    assert (drain.ending_since, drain.times) == (S, ShutdownTimes.for_deadline(min(first, second)))


def test_what_is_half_sent_is_ended_only_when_the_process_ends():
    drain = Drain()
    drain.request(0, True)
    assert not drain.closes_all(100 * S)
    drain.end_process(S, S)
    assert not drain.closes_all(S + drain.times.end_by - 1)
    assert drain.closes_all(S + drain.times.end_by)
