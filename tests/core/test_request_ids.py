"""An id is open once, and one whose request may have been executed is not executed again."""

import pytest

from pearhill.core.request_ids import RETENTION_US, ClaimResult, RequestIds, request_key


class Process:
    def __init__(self) -> None:
        self.now = 10**6
        self.ids = RequestIds(lambda: self.now)


@pytest.fixture
def process() -> Process:
    return Process()


def test_an_open_id_is_rejected_until_its_request_has_ended(process: Process) -> None:
    assert [process.ids.claim("a"), process.ids.claim("a")] == [ClaimResult.GRANTED, ClaimResult.OPEN]
    process.ids.release("a", may_have_executed=False)
    assert process.ids.claim("a") is ClaimResult.GRANTED


def test_an_executed_id_is_rejected_until_its_retention_is_over(process: Process) -> None:
    process.ids.claim("a")
    process.ids.record_execution("a")
    process.ids.release("a", may_have_executed=True)
    assert process.ids.claim("a") is ClaimResult.MAY_HAVE_EXECUTED
    process.now += RETENTION_US
    assert process.ids.claim("a") is ClaimResult.GRANTED


def test_an_attempt_that_certainly_did_not_execute_leaves_the_id_free(process: Process) -> None:
    process.ids.claim("a")
    process.ids.record_execution("a")
    process.ids.release("a", may_have_executed=False)
    assert process.ids.claim("a") is ClaimResult.GRANTED


def test_ids_that_were_not_claimed_are_ignored(process: Process) -> None:
    """A front end whose clients send no ids claims none, and all its requests have the same empty one."""
    process.ids.record_execution("")
    process.ids.release("", may_have_executed=True)
    assert process.ids.claim("") is ClaimResult.GRANTED


def test_ids_have_different_keys() -> None:
    keys = {request_key(f"{number:016x}") for number in range(1_000)}
    assert len(keys) == 1_000
    assert min(keys) > 0
