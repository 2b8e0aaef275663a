"""An id is open once, and one whose request may have been executed is not executed again."""

import pytest

from pearhill.core.expiring_keys import ExpiringKeys
from pearhill.core.request_ids import KEY_BITS, RETENTION_US, TABLE_BYTES, ClaimResult, RequestIds, request_key


class Locks:
    """The locks of one process of several, which share `held`. `failing`: the system cannot tell."""

    def __init__(self, held: set[int]) -> None:
        self.held = held
        self.failing = False

    def acquire(self, key: int) -> bool:
        if self.failing:
            raise OSError("scripted")
        if key in self.held:
            return False
        self.held.add(key)
        return True

    def release(self, key: int) -> None:
        self.held.discard(key)


class TwoProcesses:
    def __init__(self) -> None:
        self.now = 10**6
        tables = [ExpiringKeys(memoryview(bytearray(TABLE_BYTES))) for _ in range(2)]
        self.locks = Locks(set())
        self.old, self.new = (
            RequestIds(own, [other], self.locks, lambda: self.now) for own, other in (tables, reversed(tables))
        )


@pytest.fixture
def processes() -> TwoProcesses:
    return TwoProcesses()


def test_an_open_id_is_rejected_at_both_processes_until_its_request_has_ended(processes: TwoProcesses) -> None:
    old, new = processes.old, processes.new
    assert old.claim("a", False) is ClaimResult.GRANTED
    assert [old.claim("a", True), new.claim("a", True)] == [ClaimResult.OPEN] * 2
    assert new.claim("b", True) is ClaimResult.GRANTED
    old.release("a", may_have_executed=False)
    assert new.claim("a", False) is ClaimResult.GRANTED


def test_an_executed_id_is_rejected_at_both_processes_until_its_retention_is_over(processes: TwoProcesses) -> None:
    old, new = processes.old, processes.new
    old.claim("a", False)
    old.record_execution("a")
    old.release("a", may_have_executed=True)
    assert [old.claim("a", True), new.claim("a", False)] == [ClaimResult.MAY_HAVE_EXECUTED] * 2
    assert processes.locks.held == set()
    processes.now += RETENTION_US
    assert new.claim("a", False) is ClaimResult.GRANTED


def test_the_execution_at_a_process_that_was_killed_is_known(processes: TwoProcesses) -> None:
    processes.old.claim("a", False)
    processes.old.record_execution("a")
    processes.locks.held.clear()  # as the system does when the process exits
    assert processes.new.claim("a", False) is ClaimResult.MAY_HAVE_EXECUTED


def test_an_attempt_that_certainly_did_not_execute_leaves_the_id_free(processes: TwoProcesses) -> None:
    processes.old.claim("a", False)
    processes.old.record_execution("a")
    processes.old.release("a", may_have_executed=False)
    assert processes.new.claim("a", False) is ClaimResult.GRANTED


def test_without_a_lock_only_what_may_be_repeated_begins(processes: TwoProcesses) -> None:
    processes.locks.failing = True
    assert processes.old.claim("a", False) is ClaimResult.UNKNOWN
    assert processes.old.claim("a", True) is ClaimResult.GRANTED
    assert processes.old.claim("a", True) is ClaimResult.OPEN


def test_ids_that_were_not_claimed_are_ignored(processes: TwoProcesses) -> None:
    """A front end whose clients send no ids claims none, and all its requests have the same empty one."""
    processes.old.record_execution("")
    processes.old.release("", may_have_executed=True)
    assert processes.old.claim("", False) is ClaimResult.GRANTED


def test_a_key_is_a_position_in_a_file() -> None:
    keys = {request_key(f"{number:016x}") for number in range(1_000)}
    assert len(keys) == 1_000
    assert all(0 < key < 2**KEY_BITS for key in keys)
