"""The regression check parses the output of the bench and reports what rules out a landing."""

import json
import pathlib

import pytest

from benchmarks.panels import (
    FAILED_DAYS,
    FailedDays,
    gate_failures,
    last_runs_by_age,
    least_recent_site,
    panel_failures,
    parse_report,
    replay_failures,
    table_rows,
)
from pearhill.config.typed import load

REPORT = """playing herd+vast ...
herd+vast                  G 0.385  floor 0.281  top 0.581  memory 17 of 112 MB  descriptors 52 of 768  score 0.35
join+vast                  G 0.692  floor 0.548  top 0.890  memory 18 of 112 MB  descriptors 90 of 768  score 0.42
join+vast-2                G 0.592  floor 0.548  top 0.890  memory 18 of 112 MB  descriptors 90 of 768  score 0.00
score of the real nodes 0.424 (the weighted mean of the days)
"""


def test_a_report_is_parsed_day_by_day() -> None:
    days = {"herd+vast": 0.35, "join+vast": 0.42, "join+vast-2": 0.0}
    assert (
        parse_report(REPORT) == parse_report(REPORT.replace("score 0.00", "score 0.00  BROKEN: drain")) == (0.424, days)
    )
    for nothing in ("", "score of the real nodes 0.4 (..)\n"):
        with pytest.raises(ValueError, match="in what the bench printed"):
            parse_report(nothing)


def test_a_zero_score_and_a_loss_of_score_rule_out_landing() -> None:
    assert [line.split(":")[1] for line in panel_failures("size", 0.5, {"a": 0.0, "b": 0.4}, 0.5)] == [" a is 0"]
    assert panel_failures("size", 0.46, {"b": 0.4}, 0.5) == [
        "size: 0.460 after 0.500: replay its seeds on both versions"
    ]
    assert panel_failures("size", 0.48, {"b": 0.4}, 0.5) == panel_failures("size", 0.1, {"b": 0.4}, None) == []


def test_a_gate_passes_only_if_the_report_says_so() -> None:
    assert gate_failures("gate", REPORT + "GATE passed\n") == [] == gate_failures("size", REPORT)
    assert gate_failures("gate", REPORT + "GATE failed: lost on herd+mass\n") == [
        "gate: GATE failed: lost on herd+mass"
    ]
    assert gate_failures("gate", REPORT) == ["gate: GATE said nothing"]


@pytest.mark.parametrize(
    ("played", "next_one"),
    [
        ([], "a"),
        ([("a", "calm+mass", "2")], "b"),
        ([("a", "calm+mass", "2"), ("b", "calm+mass", "1")], "b"),
        ([("a", "calm+mass", "1"), ("b", "calm+mass", "2")], "a"),
        ([("a", "herd+vast", "1")], "a"),
        ([("a", "calm+mass", "1"), ("b", None, "2")], "b"),
    ],
)
def test_the_site_with_the_oldest_run_is_due(
    tmp_path: pathlib.Path, played: list[tuple[str, str | None, str]], next_one: str
) -> None:
    for n, (site, days, at) in enumerate(played):
        entry = {"cmd": "real-score", "site": site, "panel": days and f"real:{site}:1:{days}", "at": [at, at]}
        (tmp_path / f"{n}.json").write_text(json.dumps(entry))
    brink = {"cmd": "real-score", "site": "a", "panel": "real:a:1:roll+brink+mass-1", "at": ["9", "9"]}
    (tmp_path / "brink.json").write_text(json.dumps(brink))  # an entry of another panel does not count for this one
    assert least_recent_site("gate", [pathlib.Path("x/a.toml"), pathlib.Path("y/b.toml")], tmp_path).stem == next_one


def entry(site: str, at: str, *rough: str, ok: bool = True) -> str:
    return json.dumps(
        {
            "id": f"{site}{at}",
            "ok": ok,
            "site": site,
            "at": [at, at],
            "days": [
                {
                    "rough": list(rough),
                    "seed": 7,
                    "score": 0.0,
                    "served": 0.5,
                    "served_least": 0.25,
                    "gate": "drain",
                    "fault": None,
                    "memory_mb": 19,
                    "caps": [112, 928, 0.86],
                    "files": 88,
                }
            ]
            if ok
            else [],
        }
    )


def test_kinds_of_days_without_a_run_are_due_before_those_with_the_oldest_run(tmp_path: pathlib.Path) -> None:
    for n, text in enumerate(
        (
            entry("a", "2", "join", "mass", "vast"),
            entry("a", "1", "join", "mass", "vast"),
            entry("a", "3", "join", "brink", "mass", "vast"),
            entry("b", "4", "herd", "vast"),
            entry("b", "5", "herd", "mass", ok=False),
        )
    ):
        (tmp_path / f"{n}.json").write_text(text)
    rows = last_runs_by_age(tmp_path, ["a", "b"])
    assert rows[-2:] == [("2", "a", "join+mass"), ("3", "a", "join+brink")]
    assert {row.at for row in rows[:-2]} == {""}
    assert ("", "b", "herd+mass") in rows
    assert len(rows) == 24
    assert table_rows(tmp_path, "2")[2:] == [
        "| a | join+mass | 7 | 0.00 | 0.500 (0.250) | drain | 19 of 112 MB, 88 of 928 | a2 |",
        "| a | join+brink | 7 | 0.00 | 0.500 (0.250) | drain | 19 of 112 MB, 88 of 928 | a3 |",
    ]


def test_a_replayed_day_rules_out_landing_if_it_breaks_a_rule_or_reports_nothing() -> None:
    report = REPORT
    assert replay_failures("a", report) == []
    for line in ("RULE BROKEN (zero): pinned, 1 times", "FAULT (zero): node n1 crashed"):
        assert replay_failures("a", f"{line}\n{report}") == [f"a: {line}"]
    assert replay_failures("a", "killed\n")


def test_failed_days_are_recorded_with_rule_and_cause() -> None:
    failed, _ = load(str(FAILED_DAYS), FailedDays)
    assert {day.rule for day in failed.day} >= {"drain", "pinned"}
    assert all(day.cause and day.seen for day in failed.day)
