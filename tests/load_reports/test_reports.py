"""The decay of a replica's report with age, and which reports are discarded."""

from __future__ import annotations

import math

import pytest

from pearhill.load_reports.reports import HALF_LIFE_US, MAX_HALF_LIVES, LoadReports
from pearhill.routing.events import ReportedLoad


def test_a_report_decays_and_has_no_weight_after_a_few_half_lives() -> None:
    reports = LoadReports()
    assert reports.receive(0, 1, ReportedLoad(0.5, 8.0))
    fresh = reports.report(0, 1)
    assert (fresh.queued_tokens, fresh.confidence) == (8000, 1)
    old = reports.report(HALF_LIFE_US, 1)
    assert (old.queued_tokens, old.confidence) == (4000, 0.5)
    expired = reports.report((MAX_HALF_LIVES + 1) * HALF_LIFE_US, 1)
    assert (expired.queued_tokens, expired.confidence) == (0, 0)


@pytest.mark.parametrize(
    "load", [None, *(ReportedLoad(*values) for values in ((math.nan, 1.0), (0.1, math.inf), (-0.1, 1.0), (0.1, 1e9)))]
)
def test_an_implausible_report_is_discarded(load: ReportedLoad | None) -> None:
    reports = LoadReports()
    reports.receive(0, 1, ReportedLoad(0.5, 8.0))
    assert not reports.receive(HALF_LIFE_US // 4, 1, load)
    assert reports.report(0, 1).queued_tokens == 8000
    assert reports.report(HALF_LIFE_US, 1).confidence == 0.5


def test_reports_of_unlisted_replicas_are_discarded() -> None:
    reports = LoadReports()
    reports.receive(0, 1, ReportedLoad(0.5, 8.0))
    reports.keep([2])
    assert len(reports) == 0
