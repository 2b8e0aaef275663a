"""Tests of the scale run: invalid plans, resource limits, forms fitted to generated data, and tiny runs end to end."""

from __future__ import annotations

import asyncio
import json
import math
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from enum import StrEnum
from typing import get_args

import psutil
import pytest

from pearhill.config import ConfigError
from pearhill.eureka.registry import Registry as Client
from pearhill.lab.scale import (
    analysis,
    bounds,
    fault_watch,
    figures,
    fit,
    measure,
    observe,
    plan,
    planned_fleets,
    report,
    run,
)
from pearhill.lab.scale.discovery import InstanceStatus, Registry
from pearhill.membership import gauges
from tests.standins import ROOT

MEMORY_24_GB = 24 << 30
PLANS = sorted((ROOT / "deploy" / "lab" / "scale").glob("*.toml"))
SIZE = fit.Size(330, 940)
GRID = '[[grid]]\nway = "talk"\ndispatchers = [4]\nreplicas = [10]\n'
TINY = """
[scale]
warm_s = 1.0
seconds = 2.0
fetch_s = 1
tenants = 4
per_process = 2
[[grid]]
way = "talk"
dispatchers = [2]
replicas = [5]
"""
COMMAND = ("-c", "from pearhill.cli.main import main; main()", "lab", "scale")


def fault_plan(*events: str, way: str = "talk") -> str:
    head = f'[[troubles]]\nway = "{way}"\ndispatchers = 6\nreplicas = 10\naggregators = 2\n'
    return head + "".join(f"[[troubles.event]]\n{event}\n" for event in events)


def load_plan(folder: pathlib.Path, text: str) -> plan.Plan:
    path = folder / "plan.toml"
    path.write_text(text)
    return plan.load(str(path))


class TestPlans:
    @pytest.mark.parametrize(
        ("text", "why"),
        [
            ("[scale]\nseed = 2\n", "plan.toml: grid: found nothing to run; allowed: at least one of grid, check"),
            ("[scale]\nseconds = 31.0\nfetch_s = 30\n" + GRID, "scale.seconds: found 31.0; allowed: a multiple "),
            (GRID.replace("[4]", "[]"), r"grid\[0\].dispatchers: found \[\]"),
            (GRID.replace("talk", "shout"), r"grid\[0\].way: found 'shout'; allowed: aggregators, talk"),
            (GRID + "machines = 3\n", r"grid\[0\].machines: found an unknown key"),
            (fault_plan('kind = "flood"\nfrom_s = 1'), r"event\[0\].kind: found 'flood'; allowed: aggregator_lost, "),
            (
                fault_plan('kind = "rack"\nfrom_s = 1', 'kind = "zone"\nfrom_s = 9'),
                r"troubles\[0\].event\[1\].from_s: found 9.0; allowed: 31.0 or later",
            ),
            (fault_plan('kind = "aggregator_lost"\nfrom_s = 1'), r"kind: found 'aggregator_lost'; allowed: where "),
            (fault_plan('kind = "aggregators_lost_2"\nfrom_s = 1', way="aggregators"), "allowed: where more than 2"),
            ("[scale]\nregions = 1\n" + fault_plan('kind = "region_cut"\nfrom_s = 1'), "scale.regions is 2 or more"),
        ],
    )
    def test_an_invalid_value_is_reported_with_its_path(self, tmp_path: pathlib.Path, text: str, why: str) -> None:
        with pytest.raises(ConfigError, match=why):
            load_plan(tmp_path, text)

    @pytest.mark.parametrize(
        ("text", "memory_bytes", "why"),
        [
            (GRID.replace("[4]", "[4, 5000]"), MEMORY_24_GB, r"grid\[0\]: found 5000 dispatchers .* GB; allowed: 50%"),
            ("[scale]\nper_process = 2\n" + GRID.replace("[4]", "[500]"), 1 << 42, r"processes; allowed: 300"),
            (GRID.replace("[4]", "[330]").replace("[10]", "[940]"), 4 << 30, "330 dispatchers before 940 replicas"),
            ("[scale]\nseconds = 3600.0\n" + GRID.replace("[4]", "[4, 5, 6, 7]"), MEMORY_24_GB, "a plan of about 4"),
        ],
    )
    def test_a_plan_that_is_too_large_for_the_machine_is_rejected_before_it_starts(
        self, tmp_path: pathlib.Path, text: str, memory_bytes: int, why: str
    ) -> None:
        loaded = load_plan(tmp_path, text)
        with pytest.raises(ConfigError, match=why):
            bounds.check_bounds(loaded, memory_bytes)

    def test_the_repository_contains_scale_plans(self) -> None:
        assert len(PLANS) >= 3

    @pytest.mark.parametrize("path", PLANS, ids=lambda path: path.name)
    def test_the_plans_of_the_repository_fit_a_machine_with_24_gb(self, path: pathlib.Path) -> None:
        bounds.check_bounds(plan.load(str(path)), MEMORY_24_GB)

    @pytest.mark.parametrize(("hollow", "max_per_process"), [(1, 40), (2, 40), (4, 8), (20, 12), (330, 40), (333, 7)])
    def test_processes_have_different_counts_that_add_up_to_all_hollow_dispatchers(
        self, hollow: int, max_per_process: int
    ) -> None:
        hosts = planned_fleets.FleetSize(plan.LoadExchange.GOSSIP, hollow, 10).hollow_per_process(max_per_process)
        assert sum(hosts) == hollow
        assert max(hosts) <= max_per_process + 1
        assert hollow < 3 or len(set(hosts)) > 1

    @pytest.mark.parametrize(
        ("enum", "literal"),
        [
            (plan.LoadExchange, plan.AnyExchangeKey),
            (plan.Workload, plan.WorkloadKey),
            (plan.FaultKind, plan.FaultKey),
        ],
    )
    def test_the_keys_of_a_table_are_the_values_of_the_enum(self, enum: type[StrEnum], literal: object) -> None:
        assert [member.value for member in enum] == list(get_args(literal))


COSTS: dict[str, Callable[[float, float], float]] = {
    "a": lambda d, r: 5.0,
    "a + b*D": lambda d, r: 1 + 0.1 * d,
    "a + c*R": lambda d, r: 2 + 0.01 * r,
    "a + g*ln(D)": lambda d, r: 3 * math.log(d),
    "a + b*D + c*R": lambda d, r: 1 + 0.1 * d + 0.02 * r,
    "a + e*D*R": lambda d, r: 1 + 0.002 * d * r,
    "a + f*D^2": lambda d, r: 2 + 0.003 * d * d,
    "a + b*D + c*R + e*D*R": lambda d, r: 5 + 0.3 * d + 0.05 * r + 0.001 * d * r,
}


def noisy_points(cost: Callable[[float, float], float], seed: int) -> list[fit.Point]:
    """Returns points on a grid of four by four, with 1% of noise."""
    rng = random.Random(seed)
    return [
        fit.Point(d, r, cost(d, r) * rng.uniform(0.99, 1.01)) for d in (10, 20, 40, 80) for r in (60, 235, 470, 940)
    ]


def result_point(dispatchers: int, cpu_cores: float, busy: bool = False) -> dict:
    figures_of_one = {"cpu_cores": cpu_cores, "bytes_in_s": 50.0, "bytes_out_s": 50.0, "memory_bytes": None}
    return {
        "kind": "hollow",
        "work": "drawn",
        "way": "talk",
        "busy": busy,
        "dispatchers": dispatchers,
        "replicas": 60,
        "dispatcher": figures_of_one,
        "aggregator": None,
        "discovery": None,
    }


class TestFits:
    @pytest.mark.parametrize("form", COSTS)
    def test_a_fit_finds_the_form_of_generated_data(self, form: str) -> None:
        """The data is generated with 1% of noise. Noise may make one of ten draws look like another form."""
        cost = COSTS[form]
        found = [fit.fit(noisy_points(cost, seed), SIZE) for seed in range(10)]
        right = [one for one in found if one.form == form]
        assert len(right) >= 9, [one.form for one in found]
        for one in right:
            assert abs(one.at_size / cost(330, 940) - 1) <= 0.05
            assert one.low < one.at_size < one.high

    def test_a_cost_that_flattens_is_not_extrapolated_below_the_measured_values(self) -> None:
        points = [fit.Point(d, r, v) for d, v in ((20, 32.0), (40, 64.0), (80, 80.0), (160, 86.0)) for r in (60, 940)]
        assert fit.fit(points, SIZE).at_size > 80

    def test_a_carried_error_widens_the_interval_and_too_few_points_yield_no_fit(self) -> None:
        points = [fit.Point(d, 60, 1 + 0.1 * d) for d in (10, 20, 40, 80)]
        plain = fit.fit(points, SIZE)
        wide = fit.fit(points, SIZE, 0.4)
        assert round(wide.high - plain.high * 1.4, 7) == 0
        assert round(wide.low - plain.low * 0.6, 7) == 0
        assert fit.fit(points[:3], SIZE) is None

    def test_slopes_exclude_busy_points_and_include_the_error_of_a_check(self) -> None:
        points = [result_point(d, 0.01 + 0.001 * d) for d in (10, 20, 40, 80)] + [result_point(160, 9.0, busy=True)]
        alone = {"dispatcher": result_point(8, 0.0098)["dispatcher"]}
        checks = analysis.compare(result_point(8, 0.006), result_point(8, 0.01), alone)
        assert [(c["quantity"], c["within"], c["carried_as_error"]) for c in checks] == [
            ("cpu_cores", False, 0.6667),
            ("bytes_s", True, 0.0),
            ("cpu_cores", True, 0.0),
            ("bytes_s", True, 0.0),
        ]
        by_quantity = {slope["quantity"]: slope for slope in analysis.slopes(points, checks, plan.SizeTable())}
        assert set(by_quantity) == {"cpu_cores", "bytes_s"}
        cpu = by_quantity["cpu_cores"]
        assert (cpu["form"], cpu["fitted_over"]["dispatchers"], cpu["bound"]) == ("a + b*D", [10, 80], 0.011)
        assert round(cpu["at_size"] - 0.34, 3) == 0
        assert cpu["high"] > 0.34 * 1.6
        assert round(by_quantity["bytes_s"]["need_over_bound"] - 100 / 7000, 3) == 0


class TestDiscovery:
    def test_a_client_updates_its_list_by_deltas_until_a_change_has_expired(self) -> None:
        registry = Registry(60.0)
        client = Client()
        now = 100.0
        for k in range(4):
            registry.put(f"w{k}", f"127.0.0.1:{9000 + k}", "writer", "r0-z0", now)
        client.replace(json.loads(registry.body(False, now)))
        registry.remove("w1", now + 1)
        registry.put("w9", "127.0.0.1:9009", "reader", "r0-z1", now + 1)
        registry.put("w2", "127.0.0.1:9002", "writer", "r0-z0", now + 2, InstanceStatus.DRAINING, started=False)
        assert client.apply(json.loads(registry.body(True, now + 3)))
        assert {name for _, name in client.instances} == {"w0", "w2", "w3", "w9"}
        registry.remove("w0", now + 4)
        # The change is older than the retention of deltas.
        assert not client.apply(json.loads(registry.body(True, now + 90)))


class TestFigures:
    def test_histograms_are_merged_and_memory_is_measured_as_a_slope(self) -> None:
        histograms = [measure.encode_histogram(measure.array("q", values)) for values in ([1000] * 98, [2000, 500_000])]
        rounded = {name: round(value) for name, value in measure.percentiles_ms(histograms).items()}
        assert rounded == {"p50": 1, "p99": 2, "max": 500}
        assert measure.percentiles_ms([measure.encode_histogram(measure.array("q"))]) is None
        assert round(measure.slope([4, 8, 4, 8], [50.0, 62.0, 50.0, 62.0]) - 3.0, 7) == 0

    def test_the_age_of_a_mark_is_measured_from_the_reading_of_its_load(self) -> None:
        read_at = [1000 * k for k in range(200)]
        whole = [(5500, 3), (5500, 5), (5500, 6), (5500, -1)]
        assert observe.mark_ages(read_at, whole, True) == [2500, 500]
        # With aggregators marks repeat, and a mark stands for the latest possible number.
        remainders = [(150_500, 149 % observe.MARK_CODES), (150_500, 140 % observe.MARK_CODES), (0, 0)]
        assert observe.mark_ages(read_at, remainders, False) == [1500, 10_500, 0]

    def test_encoding_the_tokens_of_a_mark_returns_its_code(self) -> None:
        assert len(gauges.TOKENS) > observe.FIRST_MARK_CODE + observe.MARK_CODES
        for k in range(observe.MARK_CODES):
            code = observe.FIRST_MARK_CODE + k
            assert gauges.encode(int(gauges.TOKENS[code])) == code

    def test_evenness_is_computed_over_the_work_of_all_processes(self) -> None:
        roles = {"1": "writer", "2": "writer", "3": "reader"}
        hosts = [
            {"roles": roles, "ended": {"served": 2}, "work": {"9": {"1": 99}, "10": {"1": 10}, "11": {"3": 5}}},
            {
                "roles": roles,
                "ended": {"served": 1, "refused": 4},
                "work": {"10": {"1": 5, "2": 5}, "11": {"2": 1}, "12": {"2": 99}},
            },
        ]
        assert figures.evenness_of(hosts) == {
            "windows": 2,
            "served": 3,
            "refused": 4,
            "failed": 0,
            "writers": {"mean": 1.75, "worst": 2.0},
            "readers": {"mean": 1.0, "worst": 1.0},
        }

    def test_fault_figures_report_how_long_counts_and_estimates_were_wrong(self) -> None:
        def sample(
            at: float, right_count_fraction: float = 1.0, estimate_ratio: float = 0.9
        ) -> fault_watch.FleetSample:
            return fault_watch.FleetSample(at, 6, right_count_fraction, estimate_ratio, 100.0, 2.0, 1.0)

        before = [sample(0.5 * k) for k in range(8)]
        during = [sample(4), sample(4.5, 0.5), sample(5, 0.9, 0.5), sample(5.5, 1, 0.5), sample(6)]
        found = fault_watch.fault_figures(before, during)
        assert (found["count_wrong_s"], found["sums_wrong_s"], found["right_at_the_end"]) == (1.0, 1.0, True)
        assert (found["least_share_right"], found["sums_least"]) == (0.5, 0.556)


def descendants_of(process: psutil.Process) -> set[int]:
    return {child.pid for child in process.children(recursive=True)}


class TestRuns:
    @pytest.mark.parametrize(("way", "aggregators", "warm_s"), [("talk", 0, 1), ("aggregators", 2, 5)])
    def test_a_run_measures_two_hollow_dispatchers_with_gossip_or_aggregators(
        self, tmp_path: pathlib.Path, way: str, aggregators: int, warm_s: int
    ) -> None:
        before = descendants_of(psutil.Process())
        lines: list[str] = []
        # An aggregator does not count the load of dispatchers until any lease of its previous incarnation has expired.
        text = TINY.replace('"talk"', f'"{way}"\naggregators = 2').replace("warm_s = 1.0", f"warm_s = {warm_s}")
        results = asyncio.run(run.run(load_plan(tmp_path, text), "tiny", lines.append))
        (point,) = results["points"]
        size = [point[key] for key in ("way", "kind", "dispatchers", "replicas", "aggregators")]
        assert size == [way, "hollow", 2, 5, aggregators], lines
        assert (point["aggregator"] is None) == (aggregators == 0)
        dispatcher = point["dispatcher"]
        for quantity in ("cpu_cores", "bytes_in_s", "bytes_out_s", "messages_in_s", "messages_out_s"):
            assert dispatcher[quantity] > 0, quantity
        # Each message has a reply in both modes. With gossip, the bytes that one dispatcher sends arrive at the other.
        assert abs(dispatcher["messages_in_s"] / dispatcher["messages_out_s"] - 1) <= 0.3
        if way == "talk":
            assert abs(dispatcher["bytes_in_s"] / dispatcher["bytes_out_s"] - 1) <= 0.3
        assert set(dispatcher["news_age_ms"]) == {"p50", "p99", "max"}
        assert point["discovery"]["calls_s"] > 0
        assert point["list_age_ms"]["max"] > 0
        assert any("point 1 of 1" in line for line in lines), lines
        assert "<svg" in report.render_page("tiny", results)
        assert descendants_of(psutil.Process()) == before

    def test_the_page_lists_the_faults(self) -> None:
        results = json.loads((ROOT / "docs" / "capacity" / "troubles.json").read_text())
        page = report.render_page("troubles", results)
        assert "<h2>Faults</h2>" in page
        assert "<th>Fault</th>" in page
        assert all(f"<tr><td>{fault['kind']}</td>" in page for fault in results["troubles"])

    def test_the_command_ends_its_processes_when_it_is_interrupted(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / "plan.toml"
        path.write_text(TINY.replace("seconds = 2.0", "seconds = 60.0"))
        results_file = tmp_path / "results.json"
        with subprocess.Popen(
            [sys.executable, *COMMAND, str(path), "--json", str(results_file)],
            stderr=subprocess.PIPE,
            text=True,
            stdout=subprocess.DEVNULL,
            env=dict(os.environ),
        ) as command:
            deadline = time.monotonic() + 20
            processes: set[int] = set()
            while len(processes) < 2 and time.monotonic() < deadline:
                processes = descendants_of(psutil.Process(command.pid))
                time.sleep(0.05)
            command.send_signal(signal.SIGINT)
            _, printed = command.communicate(timeout=20)
        results = json.loads(results_file.read_text())
        assert len(processes) >= 2, printed
        assert command.returncode == 2
        assert "ended by a signal" in printed
        assert results["not_run"] == [{"what": "the rest of the plan", "why": "ended by a signal"}]
        assert {pid for pid in processes if psutil.pid_exists(pid)} == set()
