"""Operators' overrides, without I/O."""

from hypothesis import given
from hypothesis import strategies as st

from pearhill.lifecycle.overrides import RETENTION_US, OperatorOverrides
from tests.driver import S

CALLS = st.lists(st.tuples(st.integers(0, 1), st.integers(1, 3), st.integers(0, 20), st.booleans()), max_size=30)


def test_one_call_up_ends_two_calls_down_and_is_ignored_without_any() -> None:
    overrides = OperatorOverrides()
    overrides.set_down(1, 5 * S, False)
    assert overrides.down == {}  # otherwise a replica that was never down would count as restarted
    for at in (10 * S, 11 * S):
        overrides.set_down(1, at, True)
    overrides.set_down(1, 12 * S, False)
    assert not overrides.is_down(1)
    restored = overrides.restoring_override(1)
    assert restored
    assert restored.since == 10 * S


def test_overrides_in_force_never_expire() -> None:
    overrides = OperatorOverrides()
    overrides.set_down(1, S, True)
    overrides.delete_expired(100 * RETENTION_US)
    assert overrides.is_down(1)


@given(CALLS)
def test_two_processes_converge_on_the_latest_override(calls: list[tuple[int, int, int, bool]]) -> None:
    """Each call reaches one of two processes with different clocks, which then merge each other's overrides."""
    both = OperatorOverrides(), OperatorOverrides()
    last: dict[int, bool] = {}
    for process, replica, at, on in calls:
        both[process].set_down(replica, at, on)
        last[replica] = on
        both[1 - process].merge(both[process].down, both[process].drain)
        both[process].merge(both[1 - process].down, both[1 - process].drain)
    assert both[0].down == both[1].down
    assert {replica: both[0].is_down(replica) for replica in last} == last
