"""Tests of the capacity page: it matches its results and constants, names only files that exist, and marks every figure
that was not measured."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest
from typing import Any

import pytest

from pearhill.config import ConfigError
from pearhill.lab import capacity
from pearhill.membership.byte_budget import HEADER_BYTES, MAX_BYTES_PER_S
from tests.standins import ROOT

SIZE = capacity.FleetSize()
COST = {
    "cpu_cores": 0.008,
    "bytes_in_s": 3000.0,
    "bytes_out_s": 1200.0,
    "messages_in_s": 4.0,
    "messages_out_s": 2.0,
    "memory_bytes": 9.0e6,
    "beat_late_ms": {"p50": 1, "p99": 12, "max": 40},
    "news_age_ms": {"p50": 612, "p99": 1190, "max": 1701},
}


def point(
    way: str = capacity.AGGREGATORS, dispatchers: int = 330, replicas: int = 940, **fields: Any
) -> dict[str, Any]:
    return {
        "way": way,
        "kind": "hollow",
        "work": "drawn",
        "dispatchers": dispatchers,
        "replicas": replicas,
        "aggregators": 3,
        "seconds": 15.0,
        "rate_per_dispatcher": 45.0,
        "processes": 10,
        "busy": False,
        "dispatcher": COST,
        "aggregator": COST | {"cpu_cores": 0.25},
        "discovery": {"calls_s": 11, "bytes_s": 9e3},
        "list_age_ms": None,
        **fields,
    }


def slope(way: str, quantity: str, at_size: float, **fields: Any) -> dict[str, Any]:
    return {
        "way": way,
        "role": "dispatcher",
        "quantity": quantity,
        "form": "a + b*D",
        "coefficients": {"a": 1, "b": 2},
        "low": at_size * 0.9,
        "high": at_size * 1.1,
        "fitted_over": {"dispatchers": [20, 80]},
        "stretched": 4.1,
        "at_size": at_size,
        "bound": 1.0,
        "need_over_bound": at_size,
        **fields,
    }


def result(started: str = "2026-12-02T05:50:00Z", **fields: Any) -> dict[str, Any]:
    return {
        "version": "0.3.0",
        "commit": "abc",
        "seed": 1,
        "plan": "control.toml",
        "started": started,
        "machine": {"processor": "P", "cores": 8, "memory_bytes": 1, "python": "3.11.7"},
        "load_1m": [1.5, 2.5],
        "points": [],
        "checks": [],
        "slopes": [],
        "choice": [],
        "troubles": [],
        "not_run": [],
        **fields,
    }


class TemporaryRepositoryTestCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        (self.root / capacity.RESULTS_FOLDER).mkdir(parents=True)

    def write_result(self, name: str, content: Any) -> None:
        text = content if isinstance(content, str) else json.dumps(content)
        (self.root / capacity.RESULTS_FOLDER / f"{name}.json").write_text(text)

    def page(self) -> str:
        capacity.write_pages(self.root)
        return (self.root / capacity.PAGE_PATH).read_text()


class CommittedPages(unittest.TestCase):
    """The pages that are committed in the repository."""

    def test_the_committed_pages_match_their_results(self) -> None:
        advice = "differs from its results: run `pearhill lab scale --page`"
        page = capacity.render_page(capacity.read_results(ROOT / capacity.RESULTS_FOLDER))
        assert (ROOT / capacity.PAGE_PATH).read_text() == page, f"{capacity.PAGE_PATH} {advice}"
        note = (ROOT / capacity.NOTE_PATH).read_text()
        assert note == capacity.update_note(note), f"{capacity.NOTE_PATH} {advice}"

    def test_every_duty_names_an_existing_file_or_package_or_is_marked_missing(self) -> None:
        rows = list(capacity.find_implementations((ROOT / capacity.PAGE_PATH).read_text()))
        assert len(rows) > 50
        missing = {
            f"{duty}: {name}"
            for duty, named in rows
            for name in named
            if not (name.startswith("pearhill/") and (ROOT / name).exists())
        }
        assert missing == set()


class FindImplementations(unittest.TestCase):
    def test_files_missing_implementations_and_empty_cells_are_distinguished(self) -> None:
        text = (
            "| a | b | carried by |\n| --- | --- | --- |\n| 1 | x | `pearhill/a.py`, `pearhill/b` |\n"
            "| 2 | x | missing: all |\n| 3 | x |  |\n\n| a | b |\n| --- | --- |\n| 4 | `x` |\n"
        )
        assert list(capacity.find_implementations(text)) == [
            ("1", ["pearhill/a.py", "pearhill/b"]),
            ("2", []),
            ("3", [""]),
        ]


class EstimatesTests(unittest.TestCase):
    def test_estimates_match_the_operators_figures(self) -> None:
        estimates = capacity.Estimates(SIZE)
        for what, found, expected, tolerance in (
            ("requests", estimates.requests_s, 45, 0.02),
            ("heavy", estimates.requests_s * 10, 450, 0.02),
            ("tokens", estimates.tokens_s, 10_300, 0.01),
            ("streams", estimates.streams, 260, 0.01),
            ("readers", estimates.prefill_replicas, 273, 0),
            ("writers", estimates.decode_replicas, 667, 0),
            ("streams a writer", estimates.streams_per_decode_replica, 128, 0.01),
            ("GB a request", estimates.transferred_gb_per_request, 0.5, 0),
        ):
            with self.subTest(what):
                assert abs(found - expected) <= expected * tolerance

    def test_uneven_traffic_sums_to_the_same_request_rate(self) -> None:
        least, most = capacity.Estimates(SIZE).uneven_requests_s()
        assert abs(330 / 20 * (19 * least + most) - 15_000) < 5e-8
        assert abs(most / least - 10) < 5e-8

    def test_reports_stay_within_their_byte_budget_and_full_gossip_exceeds_it(self) -> None:
        estimates = capacity.Estimates(SIZE)
        for times in (0.1, 1.0, 10.0):
            with self.subTest(times):
                traffic = estimates.report_traffic(times)
                # The counted period may contain one exchange more or less.
                exchange_bytes_s = (
                    (traffic.report_bytes + traffic.sums_bytes) * capacity.MICROSECONDS_PER_S / capacity.COUNTED_US
                )
                assert traffic.bytes_s < MAX_BYTES_PER_S + exchange_bytes_s
        assert estimates.gossip_bytes_s > 10 * SIZE.control_bytes_s
        assert capacity.gossip_datagram_bytes(48) <= 1400 + HEADER_BYTES

    def test_a_gauge_takes_at_most_one_byte_and_almost_none_without_load(self) -> None:
        few, many = capacity.count_report_traffic(300, 0, 10, 0), capacity.count_report_traffic(300, 0, 300, 0)
        assert few.report_bytes < 38 + 10 + 200
        assert many.report_bytes < 300 + 200
        assert many.report_bytes > few.report_bytes + 100
        assert max(few.sums_bytes, many.sums_bytes) < 300 + 200


class RenderedPages(TemporaryRepositoryTestCase):
    def test_without_runs_the_page_has_all_sections_and_says_so(self) -> None:
        page = self.page()
        for part in (
            "## The size",
            "### The choice among 940",
            "### Dispatcher",
            "### Control machine",
            "### Discovery",
            "### Replica",
            "### The network",
            "### The one who",
            "## Need over bound",
            "## Troubles",
            "## Hollow dispatchers",
            "## Not run",
        ):
            assert part in page
        assert "No run stands in" in page
        assert page.count(capacity.NOT_MEASURED) > 30
        assert "\n\n\n" not in page

    def test_measured_figures_are_shown_with_the_name_of_their_run(self) -> None:
        self.write_result(
            "control",
            result(
                points=[point(), point(dispatchers=20, replicas=60, aggregator=None)],
                slopes=[
                    slope(capacity.GOSSIP, "cpu_cores", 0.09),
                    slope(capacity.GOSSIP, "bytes_in_s", 50e3),
                    slope(capacity.GOSSIP, "bytes_out_s", 40e3),
                ],
                choice=[{"replicas": 60, "ms": 0.24, "remembered_bytes": 650.0}, {"replicas": 940, "ms": 3.3}],
                checks=[
                    {
                        "what": "hollow against real",
                        "quantity": "bytes_s",
                        "real": 4000,
                        "hollow": 4400,
                        "difference": 0.1,
                        "within": True,
                        "carried_as_error": None,
                    }
                ],
                troubles=[
                    {
                        "kind": "zone",
                        "factor": 12.0,
                        "lost": "a | b",
                        "for_s": 40.5,
                        "carried_by": "x",
                        "figures": {
                            "way": "talk",
                            "dispatchers": 30,
                            "replicas": 235,
                            "lasted_s": 10,
                            "count_wrong_s": 40.5,
                            "sums_wrong_s": 3,
                            "right_at_the_end": False,
                            "dispatchers_gone": 5,
                            "lease_s": 9.5,
                            "why": "a | b",
                        },
                    },
                    {"kind": "settings", "figures": {"reload_cpu_ms": 81.5}},
                ],
                not_run=[{"what": "talk, 330 dispatchers", "why": "more than half of the memory"}],
            ),
        )
        page = self.page()
        for expected in (
            "0.8% of a core (control)",
            "4.20 KB/s (control)",
            "90 KB/s (slope of control, 4.1 times as far)",
            "9% of a core (slope of control, 4.1 times as far)",
            "612, 1,190, 1,701 (control)",
            "| 940 | 3.30 ms | 15% of a core | 1.5 core |",
            "| +10% | yes |",
            "| talk 30 x 235, 10 s, sped up 12 times: counts or sums wrong for 40.5 s (control) |",
            "| control | zone | talk 30 x 235 | 12 times | 10 s | 40.5 s | 3 s | not measured |",
            "| **no** | not measured | dispatchers gone 5; lease 9.50 s; why a / b |",
            "a reload: 81.5 ms (control)",
            "- talk, 330 dispatchers: more than half of the memory (control)",
            "full talk: bytes, both ways | 90 KB/s | 7 KB/s | 12.9 |",
            "its choices at 940 over those at 60 | 13.8 | 2 | 6.88 | control |",
        ):
            with self.subTest(expected):
                assert expected in page

    def test_a_gossip_slope_is_not_extrapolated_beyond_the_ping_limit(self) -> None:
        self.write_result(
            "talk",
            result(
                points=[
                    point(way=capacity.GOSSIP, dispatchers=80, replicas=60, aggregator=None),
                    point(way=capacity.GOSSIP, dispatchers=20, replicas=940, aggregator=None, busy=True),
                ],
                slopes=[slope(capacity.GOSSIP, "cpu_cores", 0.41)],
            ),
        )
        page = self.page()
        assert "0.8% of a core (at least: talk, 80 x 60)" in page
        assert "41% of a core (slope" not in page

    def test_unimplemented_requirements_come_first_then_the_largest_ratios(self) -> None:
        self.write_result(
            "a", result(slopes=[slope(capacity.GOSSIP, "cpu_cores", 1.1), slope(capacity.GOSSIP, "memory_bytes", 16e6)])
        )
        rows = capacity.requirements(
            capacity.Estimates(SIZE), capacity.Runs(capacity.read_results(self.root / capacity.RESULTS_FOLDER), SIZE)
        )
        carried = [row for row in rows if row.carried_by]
        assert carried == rows[len(rows) - len(carried) :]
        assert abs((carried[0].ratio or 0) - 100) < 5e-8
        measured = [row.ratio for row in carried if row.ratio is not None]
        assert measured == sorted(measured, reverse=True)
        assert all(row.ratio is None for row in carried[len(measured) :])

    def test_later_runs_win_busy_points_are_skipped_and_points_precede_slopes(self) -> None:
        def cores(value: float, **fields: Any) -> dict[str, Any]:
            return point(dispatcher=COST | {"cpu_cores": value}, **fields)

        self.write_result("b-early", result("2026-12-01T00:00:00Z", points=[cores(0.001)]))
        self.write_result(
            "a-late",
            result(
                "2026-12-02T00:00:00Z",
                points=[cores(0.002), cores(0.004, work="router")],
                slopes=[slope(capacity.AGGREGATORS, "cpu_cores", 0.009)],
            ),
        )
        self.write_result("c-busy", result("2026-12-03T00:00:00Z", points=[cores(0.003, busy=True)]))
        runs = capacity.Runs(capacity.read_results(self.root / capacity.RESULTS_FOLDER), SIZE)
        assert runs.figure(capacity.AGGREGATORS, "dispatcher", "cpu_cores") == capacity.SourcedFigure(0.002, "a-late")
        assert "| busy |" in self.page()

    def test_only_the_tables_of_the_design_note_are_replaced(self) -> None:
        path = self.root / capacity.NOTE_PATH
        path.parent.mkdir(parents=True)
        template = (
            "before\n<!-- weighed: pearhill lab scale --page -->\n{}<!-- /weighed -->\n"
            "between\n<!-- times: pearhill lab scale --page -->\n{}<!-- /times -->\nafter\n"
        )
        path.write_text(template.format("old\n", ""))
        self.page()
        assert path.read_text() == template.format(capacity.mechanisms_table(), capacity.protocol_times_table())
        path.write_text("no table")
        with pytest.raises(ConfigError, match="capacity.md: found no table of weighed; allowed: one between"):
            capacity.write_pages(self.root)


class InvalidResults(TemporaryRepositoryTestCase):
    def test_an_invalid_result_names_the_file_key_found_value_and_allowed_values(self) -> None:
        incomplete_point = point(dispatcher=COST | {"beat_late_ms": {"p50": 1, "p99": 2}})
        for what, content, complaint in (
            ("no JSON", "{", r"bad\.json: Expecting"),
            ("a list", [], r"bad\.json: .*found \[\]; allowed: a table"),
            (
                "no seed",
                {k: v for k, v in result().items() if k != "seed"},
                r"bad\.json: seed: found nothing; allowed: a whole number",
            ),
            (
                "a text for a number",
                result(points=[point(dispatchers="20")]),
                r"bad\.json: points\[0\]\.dispatchers: found '20'; allowed: a whole number",
            ),
            (
                "a spread without its worst",
                result(points=[incomplete_point]),
                r"bad\.json: points\[0\]\.dispatcher\.beat_late_ms\.max: found nothing; allowed: a number",
            ),
            (
                "a choice without its time",
                result(choice=[{"replicas": 14}]),
                r"bad\.json: choice\[0\]\.ms: found nothing; allowed: a number",
            ),
        ):
            with self.subTest(what):
                self.write_result("bad", content)
                with pytest.raises(ConfigError, match=complaint):
                    capacity.write_pages(self.root)
