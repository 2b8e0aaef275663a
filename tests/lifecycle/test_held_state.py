"""When the releases of one request are sent, and when they are complete. Times are in microseconds."""

from __future__ import annotations

import pytest

from pearhill.lifecycle.held_state import (
    FIRST_REPEAT_US,
    LOST_ATTEMPT_RETENTION_US,
    UNCERTAIN_END_US,
    HeldState,
)

READER, WRITER = 1, 2
ATTEMPT = "attempt"
MAX_HOLD_US = 600_000  # the platform's rule: `release-within` of 300 ms, and 300 ms more


@pytest.fixture
def held() -> HeldState:
    """A read and a fetch have left something at two replicas."""
    held = HeldState()
    held.may_hold(READER)
    held.may_hold(WRITER)
    return held


def test_one_answer_is_enough_where_all_attempts_have_ended(held: HeldState) -> None:
    held.release_answered(0, READER, 0)
    assert held.unreleased == {WRITER}
    held.release_answered(0, WRITER, 0)
    assert held.is_settled(0)


def test_no_release_is_complete_before_the_end_of_a_given_up_attempt(held: HeldState) -> None:
    held.attempt_given_up(0, ATTEMPT)
    held.release_answered(10, READER, 10)
    held.attempt_ended(20, ATTEMPT)
    assert READER in held.unreleased
    assert held.next_release_at(FIRST_REPEAT_US, 10) == FIRST_REPEAT_US
    held.release_answered(20, READER, 20)
    assert READER not in held.unreleased


def test_a_release_that_was_sent_before_the_end_of_an_attempt_does_not_count_when_it_is_answered_after_it(
    held: HeldState,
) -> None:
    held.attempt_given_up(0, ATTEMPT)
    held.attempt_ended(20, ATTEMPT)
    held.release_answered(10, READER, 10)
    assert READER in held.unreleased


@pytest.mark.parametrize("timeout_at", [-1, 0, 4_000_000])
@pytest.mark.parametrize("given_up", [False, True])
def test_releases_are_repeated_in_time_after_an_attempt_whose_end_is_not_seen(
    held: HeldState, given_up: bool, timeout_at: int
) -> None:
    if given_up:
        held.attempt_given_up(0, ATTEMPT)
        held.attempt_ended(0, ATTEMPT)
    held.attempt_lost(0, READER, timeout_at)
    now, sent = 0, []
    while READER in held.unreleased:
        sent.append(now)
        held.release_answered(now, READER, now)
        now = held.next_release_at(now, now)
    assert sent[-1] >= max(0, timeout_at) + UNCERTAIN_END_US
    assert all(later - earlier < MAX_HOLD_US for earlier, later in zip(sent, sent[1:], strict=False))


@pytest.mark.parametrize("lost", [False, True])
def test_releases_are_repeated_in_time_until_the_replica_of_a_given_up_attempt_responds(
    held: HeldState, lost: bool
) -> None:
    """The attempt may end at any time, and its end may not be seen: its replica is silent, or cut off."""
    if lost:
        held.attempt_lost(0, WRITER, 0)
    else:
        held.attempt_given_up(0, ATTEMPT)
    now, sent = 0, []
    while now < 10**7:
        sent.append(now)
        held.release_answered(now, READER, now)
        assert READER in held.unreleased
        now = held.next_release_at(now, now)
    assert all(later - earlier < MAX_HOLD_US for earlier, later in zip(sent, sent[1:], strict=False))
    held.attempt_ended(now, ATTEMPT)
    held.attempt_lost(now, WRITER, 0)
    held.release_answered(now, WRITER, now)
    held.release_answered(now + UNCERTAIN_END_US, READER, now + UNCERTAIN_END_US)
    assert held.unreleased == {WRITER}


def test_a_lost_attempt_is_remembered_while_its_request_goes_on() -> None:
    held = HeldState()
    held.attempt_lost(0, WRITER, 0)
    assert not held.is_settled(UNCERTAIN_END_US)
    assert held.is_settled(LOST_ATTEMPT_RETENTION_US)


def test_state_that_the_request_uses_again_is_not_released(held: HeldState) -> None:
    held.return_to_request({READER})
    assert held.unreleased == {WRITER}


def test_a_replica_that_cannot_be_reached_is_abandoned(held: HeldState) -> None:
    held.abandon(READER)
    held.abandon(WRITER)
    assert held.is_settled(0)


@pytest.mark.parametrize("over_before_answer", [False, True])
@pytest.mark.parametrize("is_fetch", [False, True])
def test_a_release_does_not_count_if_an_attempt_that_may_use_the_state_was_in_flight_since_it_was_sent(
    held: HeldState, is_fetch: bool, over_before_answer: bool
) -> None:
    """It was sent before that attempt, and may have arrived after it, so that the replica ignored it."""
    held.attempt_starts(WRITER if is_fetch else READER, is_fetch)
    if over_before_answer:
        held.attempt_over(50)
    held.release_answered(60, READER, 10)
    assert READER in held.unreleased
    held.attempt_over(70)
    held.release_answered(90, READER, 80)
    assert READER not in held.unreleased


def test_a_release_counts_beside_an_attempt_at_another_replica_that_fetches_nothing(held: HeldState) -> None:
    held.attempt_starts(WRITER, is_fetch=False)
    held.release_answered(60, READER, 10)
    assert READER not in held.unreleased
