"""Start times stated in wall-clock time, translated to the monotonic clock across steps of the wall clock."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearhill.routing.start_times import MIN_STEP_US, Epoch, StartTimes
from pearhill.routing.topology import Endpoint, Phase
from tests.driver import S

NOW = 1_000_000 * S
HOUR = 3600 * S


def list_entry(started: int, replica: int = 1, phase: str = Phase.READY) -> Endpoint:
    return Endpoint(replica, 0, 0, 0, phase, 1.0, started)


def started(times: StartTimes, now: int, wall_start: int, full: bool = False) -> int:
    (translated,) = times.translate(now, full, (list_entry(wall_start),))
    return translated.started_at


@given(
    step=st.one_of(st.integers(-2 * HOUR, -MIN_STEP_US - 1), st.integers(MIN_STEP_US + 1, 2 * HOUR)),
    before=st.integers(0, 30 * S),
    after=st.integers(0, 30 * S),
    late=st.integers(0, 5 * S),
)
def test_no_start_time_is_translated_to_an_earlier_time_than_it_was(step: int, before: int, after: int, late: int):
    """One replica starts before the step and one after it; both are reported after the step."""
    times = StartTimes(NOW, NOW)
    first = NOW + 1
    stepped = first + before
    second = stepped + after + 1
    now = second + late
    times.observe(now, now + step)
    assert started(times, now, first) >= first
    assert started(times, now, second + step) >= second
    assert started(times, now, second + step) <= now


@pytest.mark.parametrize("step", [-HOUR, -7 * S, 7 * S, HOUR])
def test_a_start_right_after_a_step_is_translated_exactly_and_keeps_its_value(step: int):
    times = StartTimes(NOW, NOW)
    times.observe(NOW + 9 * S, NOW + 9 * S)
    assert times.observe(NOW + 10 * S, NOW + 10 * S + step) == step
    wall_start = NOW + 10 * S + step + 5
    assert started(times, NOW + 10 * S + 5, wall_start) == NOW + 10 * S + 5
    times.observe(NOW + 40 * S, NOW + 40 * S - step)
    assert started(times, NOW + 41 * S, wall_start, full=True) == NOW + 10 * S + 5


def test_a_restart_after_the_clock_was_set_back_is_later_than_the_start_before_it():
    times = StartTimes(NOW, NOW)
    before = started(times, NOW, NOW - 20 * S)
    times.observe(NOW + S, NOW + S - HOUR)
    assert started(times, NOW + S, NOW + S - HOUR) > before


@pytest.mark.parametrize("second_step_seen", [True, False])
def test_a_start_between_two_steps_is_translated_exactly_by_a_process_that_began_after_both(second_step_seen: bool):
    earlier = StartTimes(NOW, NOW)
    earlier.observe(NOW + S, NOW + 8 * S)
    if second_step_seen:
        earlier.observe(NOW + 3 * S, NOW + 17 * S)
    now = NOW + 4 * S
    times = StartTimes(now, now + 14 * S, earlier.epochs)
    assert started(times, now, NOW + 9 * S) == NOW + 2 * S
    assert started(times, now, NOW - 30 * S) == NOW - 30 * S


def test_epochs_that_begin_in_the_future_are_not_used():
    first = StartTimes(NOW + S, NOW + HOUR)
    assert list(StartTimes(NOW, NOW, first.epochs).epochs) == [Epoch(0, NOW)]


def test_small_adjustments_are_no_steps_and_an_absent_start_time_stays_absent():
    times = StartTimes(NOW, NOW)
    for second in range(1, 100):
        assert times.observe(NOW + second * S, NOW + second * (S + MIN_STEP_US)) == 0
    assert started(times, NOW + 100 * S, 0) == 0
    assert started(times, NOW + 100 * S, NOW + 1000 * S) == NOW + 100 * S


def test_start_times_of_unlisted_replicas_are_dropped():
    times = StartTimes(NOW, NOW)
    times.translate(NOW, True, [list_entry(NOW - S, n) for n in range(5)])
    times.translate(NOW, False, [list_entry(NOW - S, 0, Phase.GONE)])
    assert set(times._translated) == {1, 2, 3, 4}
    times.translate(NOW, True, [list_entry(NOW - S, 4)])
    assert set(times._translated) == {4}
