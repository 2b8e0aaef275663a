"""The stages of a shutdown end before the platform sends SIGKILL."""

from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.shutdown_times import (
    KILL_AFTER_DEADLINE_US,
    MAX_KILL_DEADLINE_US,
    MAX_SIGNAL_DELAY_US,
    NEW_CONNECTIONS_US,
    ShutdownTimes,
)
from tests.driver import S


@given(st.integers(0, 20 * S))
def test_every_stage_ends_before_sigkill_even_if_the_signal_is_noticed_late(longest: int) -> None:
    times = ShutdownTimes.for_deadline(longest)
    kill = min(longest, MAX_KILL_DEADLINE_US) + KILL_AFTER_DEADLINE_US
    assert times.kill_after == kill
    assert times.end_by + MAX_SIGNAL_DELAY_US < kill
    assert NEW_CONNECTIONS_US <= times.accept_for < kill - MAX_SIGNAL_DELAY_US
    assert times.close_idle_after <= times.accept_for
    assert times.reject_after + MAX_SIGNAL_DELAY_US < KILL_AFTER_DEADLINE_US
