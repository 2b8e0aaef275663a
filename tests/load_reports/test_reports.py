"""The decay of a replica's report with age, and which reports are discarded."""

from __future__ import annotations

import math

import pytest

from pearhill.load_reports.reports import HALF_LIFE_US, MAX_HALF_LIVES, Reports
from pearhill.routing.events import ReportedLoad


def test_a_report_fades_and_counts_nothing_after_a_few_half_lives() -> None:
    reports = Reports()
    assert reports.receive(0, 1, ReportedLoad(0.5, 8.0))
    fresh = reports.report(0, 1)
    assert (fresh.queued_tokens, fresh.confidence) == (8000, 1)
    old = reports.report(HALF_LIFE_US, 1)
    assert (old.queued_tokens, old.confidence) == (4000, 0.5)
    gone = reports.report((MAX_HALF_LIVES + 1) * HALF_LIFE_US, 1)
    assert (gone.queued_tokens, gone.confidence) == (0, 0)


@pytest.mark.parametrize(
    "load", [None, *(ReportedLoad(*values) for values in ((math.nan, 1.0), (0.1, math.inf), (-0.1, 1.0), (0.1, 1e9)))]
)
def test_a_report_that_cannot_be_true_changes_nothing(load: ReportedLoad | None) -> None:
    reports = Reports()
    reports.receive(0, 1, ReportedLoad(0.5, 8.0))
    assert not reports.receive(HALF_LIFE_US // 4, 1, load)
    assert reports.report(0, 1).queued_tokens == 8000
    assert reports.report(HALF_LIFE_US, 1).confidence == 0.5


def test_reports_of_replicas_that_have_left_are_forgotten() -> None:
    reports = Reports()
    reports.receive(0, 1, ReportedLoad(0.5, 8.0))
    reports.keep([2])
    assert len(reports) == 0
