"""The text of a replica's load report."""

from __future__ import annotations

import pytest

from pearhill.platform.replica import parse_load_report
from pearhill.routing.events import ReportedLoad


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("inflight=7,queue=2,x0=0.61,x1=3.5", ReportedLoad(0.61, 3.5)),
        (" x1=0 , x0=1e-3\r\n", ReportedLoad(0.001, 0.0)),
        ("", None),
        ("x0=0.5", None),
        ("x0=0.5,x1=nan", None),
        ("x0=0.5,x1=-1", None),
        ("x0=0.5,x1=3,x1=4", None),
        ("x0=0.5,x1=3,", None),
        ("x0=0.5,x1", None),
        ("x0=0.5,x1=3.", None),
        ("x0=1e999,x1=1", None),
        ("<html>" * 900, None),
    ],
)
def test_a_report_is_read_completely_or_not_at_all(text: str, load: tuple[float, float] | None) -> None:
    assert parse_load_report(text) == load
