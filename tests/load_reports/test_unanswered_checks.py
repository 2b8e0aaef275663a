"""The ejection of replicas that leave health checks unanswered."""

from __future__ import annotations

import random

import pytest

from pearhill.load_reports.unanswered_checks import FIRST_EJECTION_US, JITTER, MAX_EJECTION_US, UnansweredChecks

NOW = 10**9


@pytest.fixture
def checks() -> UnansweredChecks:
    return UnansweredChecks(random.Random(1))


def test_ejections_double_with_each_unanswered_check_up_to_a_bound(checks: UnansweredChecks) -> None:
    expected = FIRST_EJECTION_US
    for _ in range(12):
        checks.record_failure(NOW, 1)
        ejection = checks.ejected_until(NOW, 1) - NOW
        assert JITTER[0] * expected - 1 <= ejection <= JITTER[1] * expected
        expected = min(MAX_EJECTION_US, 2 * expected)
    assert expected == MAX_EJECTION_US


def test_an_ejection_expires(checks: UnansweredChecks) -> None:
    checks.record_failure(NOW, 1)
    until = checks.ejected_until(NOW, 1)
    assert checks.ejected_until(until - 1, 1) == until
    assert checks.ejected_until(until, 1) == 0


def test_an_answer_ends_an_ejection_and_resets_its_backoff(checks: UnansweredChecks) -> None:
    for _ in range(4):
        checks.record_failure(NOW, 1)
    checks.record_answer(1)
    assert checks.ejected_until(NOW, 1) == 0
    checks.record_failure(NOW, 1)
    assert checks.ejected_until(NOW, 1) - NOW <= JITTER[1] * FIRST_EJECTION_US


def test_a_delayed_answer_ejects_for_as_long_again_and_shortens_no_ejection(checks: UnansweredChecks) -> None:
    checks.record_delay(NOW, 1, 20_000)
    assert checks.ejected_until(NOW, 1) == NOW + 20_000
    checks.record_failure(NOW, 1)
    until = checks.ejected_until(NOW, 1)
    checks.record_delay(NOW, 1, 20_000)
    assert checks.ejected_until(NOW, 1) == until


def test_records_of_unlisted_replicas_are_discarded(checks: UnansweredChecks) -> None:
    checks.record_failure(NOW, 1)
    checks.record_failure(NOW, 2)
    checks.keep({2})
    assert checks.ejected_until(NOW, 1) == 0
    assert checks.ejected_until(NOW, 2) > 0
