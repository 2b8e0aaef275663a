"""The regression check reads what the bench prints and says what speaks against landing."""

import json
import pathlib

import pytest

from benchmarks.panels import due, gate, read, verdict

REPORT = """playing herd+vast ...
herd+vast                  G 0.385  floor 0.281  top 0.581  memory 17 of 112 MB  descriptors 52 of 768  score 0.35
join+vast                  G 0.692  floor 0.548  top 0.890  memory 18 of 112 MB  descriptors 90 of 768  score 0.42
join+vast-2                G 0.592  floor 0.548  top 0.890  memory 18 of 112 MB  descriptors 90 of 768  score 0.00
score of the real nodes 0.424 (the weighted mean of the days)
"""


def test_a_report_is_read_day_by_day():
    assert read(REPORT) == (0.424, {"herd+vast": 0.35, "join+vast": 0.42, "join+vast-2": 0.0})
    for nothing in ("", "score of the real nodes 0.4 (..)\n"):
        with pytest.raises(ValueError, match="in what the bench printed"):
            read(nothing)


def test_a_day_of_nothing_and_a_loss_speak_against_landing():
    assert [line.split(":")[1] for line in verdict("size", 0.5, {"a": 0.0, "b": 0.4}, 0.5)] == [" a is 0"]
    assert verdict("size", 0.46, {"b": 0.4}, 0.5) == ["size: 0.460 after 0.500: replay its seeds on both versions"]
    assert verdict("size", 0.48, {"b": 0.4}, 0.5) == verdict("size", 0.1, {"b": 0.4}, None) == []


def test_only_a_gate_that_says_so_is_passed():
    assert gate("gate", REPORT + "GATE passed\n") == [] == gate("size", REPORT)
    assert gate("gate", REPORT + "GATE failed: lost on herd+mass\n") == ["gate: GATE failed: lost on herd+mass"]
    assert gate("gate", REPORT) == ["gate: GATE said nothing"]


@pytest.mark.parametrize("played, next_one", [
    ([], "a"), ([("a", "calm+mass", "2")], "b"), ([("a", "calm+mass", "2"), ("b", "calm+mass", "1")], "b"),
    ([("a", "calm+mass", "1"), ("b", "calm+mass", "2")], "a"), ([("a", "herd+vast", "1")], "a"),
    ([("a", "calm+mass", "1"), ("b", None, "2")], "b")])
def test_the_site_that_was_not_played_for_longest_is_due(tmp_path, played, next_one):
    for n, (site, days, at) in enumerate(played):
        entry = {"cmd": "real-score", "site": site, "panel": days and f"real:{site}:1:{days}", "at": [at, at]}
        (tmp_path / f"{n}.json").write_text(json.dumps(entry))
    assert due("gate", [pathlib.Path("x/a.toml"), pathlib.Path("y/b.toml")], tmp_path).stem == next_one
