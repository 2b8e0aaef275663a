"""Measures of how evenly work is distributed over replicas."""

from __future__ import annotations

import pytest

from pearhill.load_reports.evenness import Evenness, evenness


def test_equal_work_is_even() -> None:
    assert evenness({"a": 5.0, "b": 5.0}) == Evenness(1.0, 0.0, ())


def test_all_work_at_one_of_four_replicas_gives_the_largest_peak_and_gini() -> None:
    assert evenness({"d": 8.0, "a": 0.0, "c": 0.0, "b": 0.0}) == Evenness(4.0, 0.75, ("a", "b", "c"))


def test_work_in_proportion_to_the_replicas_sizes_is_even() -> None:
    result = evenness({"small": 1.0, "large": 3.0}, {"large": 3.0})
    assert result.peak == pytest.approx(1.0)
    assert result.gini == pytest.approx(0.0)


@pytest.mark.parametrize("work", [{}, {"a": 0.0, "b": 0.0}])
def test_no_work_is_even_and_no_replica_is_idle(work: dict[str, float]) -> None:
    assert evenness(work) == Evenness(1.0, 0.0, ())
