"""When the releases of one request are sent, and when they are complete. Times are in microseconds."""

from __future__ import annotations

import pytest

from pearhill.lifecycle.held_state import (
    FIRST_REPEAT_US,
    REPEAT_INTERVAL_US,
    SILENT_REPEAT_INTERVAL_US,
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
    held.attempt_given_up(0, ATTEMPT, WRITER)
    held.release_answered(10, READER, 10)
    held.attempt_ended(20, ATTEMPT, responded=True)
    assert READER in held.unreleased
    assert held.next_release_at(FIRST_REPEAT_US) == FIRST_REPEAT_US
    held.release_answered(20, READER, 20)
    assert READER not in held.unreleased


def test_a_release_that_was_sent_before_the_end_of_an_attempt_does_not_count_when_it_is_answered_after_it(
    held: HeldState,
) -> None:
    held.attempt_given_up(0, ATTEMPT, READER)
    held.attempt_ended(20, ATTEMPT, responded=True)
    held.release_answered(10, READER, 10)
    assert READER in held.unreleased


@pytest.mark.parametrize("ended_by", ["attempt_lost", "attempt_ended"])
def test_releases_are_repeated_in_time_after_an_attempt_whose_end_is_not_seen(held: HeldState, ended_by: str) -> None:
    if ended_by == "attempt_lost":
        held.attempt_lost(0, READER)
    else:
        held.attempt_given_up(0, ATTEMPT, READER)
        held.attempt_ended(0, ATTEMPT, responded=False)
    now, sent = 0, []
    while READER in held.unreleased:
        sent.append(now)
        held.release_answered(now, READER, now)
        now = held.next_release_at(now)
    assert sent[-1] >= UNCERTAIN_END_US
    assert all(later - earlier < MAX_HOLD_US for earlier, later in zip(sent, sent[1:], strict=False))


def test_releases_wait_while_the_replica_of_a_given_up_attempt_is_silent(held: HeldState) -> None:
    held.attempt_given_up(0, ATTEMPT, WRITER)
    assert not held.release_answered(0, READER, 0)
    assert held.next_release_at(0) == FIRST_REPEAT_US
    assert held.next_release_at(FIRST_REPEAT_US) == FIRST_REPEAT_US + SILENT_REPEAT_INTERVAL_US
    assert held.release_answered(10**6, WRITER, 10**6)  # it responds again: the attempt may end now
    assert not held.release_answered(10**6, WRITER, 10**6)
    assert held.next_release_at(10**6) == 10**6 + REPEAT_INTERVAL_US


def test_state_that_the_request_uses_again_is_not_released(held: HeldState) -> None:
    held.return_to_request({READER})
    assert held.unreleased == {WRITER}


def test_a_replica_that_cannot_be_reached_is_abandoned(held: HeldState) -> None:
    held.abandon(READER)
    held.abandon(WRITER)
    assert held.is_settled(0)


def test_releases_go_on_until_the_replica_of_a_lost_attempt_has_answered_one(held: HeldState) -> None:
    """The connection may have ended before the replica, while the replica does not respond."""
    held.attempt_lost(0, WRITER)
    now = 2 * UNCERTAIN_END_US
    assert not held.release_answered(now, READER, now)
    assert READER in held.unreleased
    assert held.next_release_at(now) == now + SILENT_REPEAT_INTERVAL_US
    assert held.release_answered(now, WRITER, now)
    assert held.next_release_at(now) == now + REPEAT_INTERVAL_US
    held.release_answered(now + UNCERTAIN_END_US, READER, now + UNCERTAIN_END_US)
    assert held.unreleased == {WRITER}
