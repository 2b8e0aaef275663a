"""The scale run: plans that cannot be, bounds, forms told apart on made data, and a tiny run from end to end."""

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
import tempfile
import time
import unittest

import psutil

from pearhill.config import ConfigError
from pearhill.eureka.registry import Registry as Client
from pearhill.lab.scale import analysis, fault_watch, figures, fit, measure, observe, plan, report, run
from pearhill.lab.scale.discovery import Registry
from pearhill.membership import gauges
from tests.standins import ROOT

PLANS = ROOT / "deploy" / "lab" / "scale"
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


def troubled(*events: str, way: str = "talk") -> str:
    head = f'[[troubles]]\nway = "{way}"\ndispatchers = 6\nreplicas = 10\naggregators = 2\n'
    return head + "".join(f"[[troubles.event]]\n{event}\n" for event in events)


class Plans(unittest.TestCase):
    def file(self, text: str) -> str:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "plan.toml"
        path.write_text(text)
        return str(path)

    def test_what_cannot_be_is_told_by_its_path(self):
        for text, why in (
            ("[scale]\nseed = 2\n", "plan.toml: grid: found nothing to run; allowed: at least one of grid, check"),
            ("[scale]\nseconds = 31.0\nfetch_s = 30\n" + GRID, "scale.seconds: found 31.0; allowed: a multiple "),
            (GRID.replace("[4]", "[]"), r"grid\[0\].dispatchers: found \[\]"),
            (GRID.replace("talk", "shout"), r"grid\[0\].way: found 'shout'; allowed: aggregators, talk"),
            (GRID + "machines = 3\n", r"grid\[0\].machines: found a key that is not known"),
            (troubled('kind = "flood"\nfrom_s = 1'), r"event\[0\].kind: found 'flood'; allowed: aggregator_lost, "),
            (
                troubled('kind = "rack"\nfrom_s = 1', 'kind = "zone"\nfrom_s = 9'),
                r"troubles\[0\].event\[1\].from_s: found 9.0; allowed: 31.0 or later",
            ),
            (troubled('kind = "aggregator_lost"\nfrom_s = 1'), r"kind: found 'aggregator_lost'; allowed: where "),
            (troubled('kind = "aggregators_lost_2"\nfrom_s = 1', way="aggregators"), "allowed: where more than 2"),
            ("[scale]\nregions = 1\n" + troubled('kind = "region_cut"\nfrom_s = 1'), "scale.regions is 2 or more"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ConfigError, why):
                plan.load(self.file(text))

    def test_a_plan_that_is_too_large_for_the_machine_is_refused_before_it_starts(self):
        for text, memory, why in (
            (GRID.replace("[4]", "[4, 5000]"), 24 << 30, r"grid\[0\]: found 5000 dispatchers .* GB; allowed: 50%"),
            ("[scale]\nper_process = 2\n" + GRID.replace("[4]", "[500]"), 1 << 42, r"processes; allowed: 300"),
            (GRID.replace("[4]", "[330]").replace("[10]", "[940]"), 4 << 30, "330 dispatchers before 940 replicas"),
            ("[scale]\nseconds = 3600.0\n" + GRID.replace("[4]", "[4, 5, 6, 7]"), 24 << 30, "a plan of some 4"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ConfigError, why):
                plan.check_bounds(plan.load(self.file(text)), memory)

    def test_the_plans_that_come_with_it_fit_a_machine_of_24_gb(self):
        found = sorted(PLANS.glob("*.toml"))
        self.assertGreaterEqual(len(found), 3)
        for path in found:
            with self.subTest(path.name):
                plan.check_bounds(plan.load(str(path)), 24 << 30)

    def test_processes_hold_unlike_counts_that_add_up(self):
        for hollow, most in ((1, 40), (2, 40), (4, 8), (20, 12), (330, 40), (333, 7)):
            hosts = plan.FleetSize("talk", hollow, 10).hosts(most)
            self.assertEqual(sum(hosts), hollow, hosts)
            self.assertLessEqual(max(hosts), most + 1, hosts)
            self.assertTrue(hollow < 3 or len(set(hosts)) > 1, hosts)


class Fits(unittest.TestCase):
    def test_a_product_a_square_a_sum_and_what_does_not_grow_are_told_apart(self):
        """On made data with 1% of noise; of ten draws one may look like another form."""
        for form, cost in (
            ("a", lambda d, r: 5.0),
            ("a + b*D", lambda d, r: 1 + 0.1 * d),
            ("a + c*R", lambda d, r: 2 + 0.01 * r),
            ("a + g*ln(D)", lambda d, r: 3 * math.log(d)),
            ("a + b*D + c*R", lambda d, r: 1 + 0.1 * d + 0.02 * r),
            ("a + e*D*R", lambda d, r: 1 + 0.002 * d * r),
            ("a + f*D^2", lambda d, r: 2 + 0.003 * d * d),
            ("a + b*D + c*R + e*D*R", lambda d, r: 5 + 0.3 * d + 0.05 * r + 0.001 * d * r),
        ):
            found = []
            for seed in range(10):
                rng = random.Random(seed)
                found.append(
                    fit.fit(
                        [
                            fit.Point(d, r, cost(d, r) * rng.uniform(0.99, 1.01))
                            for d in (10, 20, 40, 80)
                            for r in (60, 235, 470, 940)
                        ],
                        fit.Size(330, 940),
                    )
                )
            with self.subTest(form):
                right = [one for one in found if one.form == form]
                self.assertGreaterEqual(len(right), 9, [one.form for one in found])
                for one in right:
                    self.assertAlmostEqual(one.at_size / cost(330, 940), 1, delta=0.05)
                    self.assertLess(one.low, one.at_size)
                    self.assertGreater(one.high, one.at_size)

    def test_what_flattens_is_never_stretched_to_less_than_was_measured(self):
        points = [fit.Point(d, r, v) for d, v in ((20, 32.0), (40, 64.0), (80, 80.0), (160, 86.0)) for r in (60, 940)]
        self.assertGreater(fit.fit(points, fit.Size(330, 940)).at_size, 80)

    def test_an_error_that_is_carried_widens_the_interval_and_too_few_points_fit_nothing(self):
        points = [fit.Point(d, 60, 1 + 0.1 * d) for d in (10, 20, 40, 80)]
        plain, wide = fit.fit(points, fit.Size(330, 940)), fit.fit(points, fit.Size(330, 940), 0.4)
        self.assertAlmostEqual(wide.high, plain.high * 1.4)
        self.assertAlmostEqual(wide.low, plain.low * 0.6)
        self.assertIsNone(fit.fit(points[:3], fit.Size(330, 940)))

    def test_slopes_leave_out_busy_points_and_carry_a_checks_error(self):
        def point(d: int, cpu: float, busy: bool = False) -> dict:
            return {
                "kind": "hollow",
                "work": "drawn",
                "way": "talk",
                "busy": busy,
                "dispatchers": d,
                "replicas": 60,
                "dispatcher": {"cpu_cores": cpu, "bytes_in_s": 50.0, "bytes_out_s": 50.0, "memory_bytes": None},
                "aggregator": None,
                "discovery": None,
            }

        points = [point(d, 0.01 + 0.001 * d) for d in (10, 20, 40, 80)] + [point(160, 9.0, busy=True)]
        checks = analysis.compare(point(8, 0.006), point(8, 0.01), {"dispatcher": point(8, 0.0098)["dispatcher"]})
        self.assertEqual(
            [(c["quantity"], c["within"], c["carried_as_error"]) for c in checks],
            [("cpu_cores", False, 0.6667), ("bytes_s", True, 0.0), ("cpu_cores", True, 0.0), ("bytes_s", True, 0.0)],
        )
        made = {s["quantity"]: s for s in analysis.slopes(points, checks, plan.SizeTable())}
        self.assertEqual(set(made), {"cpu_cores", "bytes_s"})
        cpu = made["cpu_cores"]
        self.assertEqual((cpu["form"], cpu["fitted_over"]["dispatchers"], cpu["bound"]), ("a + b*D", [10, 80], 0.011))
        self.assertAlmostEqual(cpu["at_size"], 0.34, places=3)
        self.assertGreater(cpu["high"], 0.34 * 1.6)
        self.assertAlmostEqual(made["bytes_s"]["need_over_bound"], 100 / 7000, places=3)


class Parts(unittest.TestCase):
    def test_the_list_that_dispatchers_get_adds_up_through_deltas(self):
        registry, client, now = Registry(60.0), Client(), 100.0
        for k in range(4):
            registry.put(f"w{k}", f"127.0.0.1:{9000 + k}", "writer", "r0-z0", now)
        client.replace(json.loads(registry.body(False, now)))
        registry.drop("w1", now + 1)
        registry.put("w9", "127.0.0.1:9009", "reader", "r0-z1", now + 1)
        registry.put("w2", "127.0.0.1:9002", "writer", "r0-z0", now + 2, "OUT_OF_SERVICE", False)
        self.assertTrue(client.apply(json.loads(registry.body(True, now + 3))))
        self.assertEqual({name for _, name in client.instances}, {"w0", "w2", "w3", "w9"})
        registry.drop("w0", now + 4)
        self.assertFalse(client.apply(json.loads(registry.body(True, now + 90))))  # too old for its delta

    def test_histograms_of_processes_add_up_and_memory_is_a_slope(self):
        told = [measure.encode_histogram(measure.array("q", values)) for values in ([1000] * 98, [2000, 500_000])]
        self.assertEqual(
            {k: round(v) for k, v in measure.percentiles_ms(told).items()}, {"p50": 1, "p99": 2, "max": 500}
        )
        self.assertIsNone(measure.percentiles_ms([measure.encode_histogram(measure.array("q"))]))
        self.assertAlmostEqual(measure.slope([4, 8, 4, 8], [50.0, 62.0, 50.0, 62.0]), 3.0)

    def test_the_age_of_a_mark_is_told_from_when_its_gauge_was_read(self):
        read_at = [1000 * k for k in range(200)]
        self.assertEqual(observe.mark_ages(read_at, [(5500, 3), (5500, 5), (5500, 6), (5500, -1)], True), [2500, 500])
        # By way of aggregators a mark comes round again; the latest that can be meant is.
        left = [(150_500, 149 % observe.MARK_CODES), (150_500, 140 % observe.MARK_CODES), (0, 0)]
        self.assertEqual(observe.mark_ages(read_at, left, False), [1500, 10_500, 0])
        self.assertLess(observe.FIRST_MARK_CODE + observe.MARK_CODES, len(gauges.TOKENS))
        for k in range(observe.MARK_CODES):  # a code's own tokens come back as that code
            self.assertEqual(
                gauges.encode(int(gauges.TOKENS[observe.FIRST_MARK_CODE + k])), observe.FIRST_MARK_CODE + k
            )

    def test_how_even_the_work_of_several_processes_was(self):
        roles = {"1": "writer", "2": "writer", "3": "reader"}
        hosts = [
            {"roles": roles, "ended": {"served": 2}, "work": {"9": {"1": 99}, "10": {"1": 10}, "11": {"3": 5}}},
            {
                "roles": roles,
                "ended": {"served": 1, "refused": 4},
                "work": {"10": {"1": 5, "2": 5}, "11": {"2": 1}, "12": {"2": 99}},
            },
        ]
        self.assertEqual(
            figures.evenness_of(hosts),
            {
                "windows": 2,
                "served": 3,
                "refused": 4,
                "failed": 0,
                "writers": {"mean": 1.75, "worst": 2.0},
                "readers": {"mean": 1.0, "worst": 1.0},
            },
        )

    def test_how_long_things_were_wrong_in_a_trouble(self):
        def sample(at: float, right: float = 1.0, sums: float = 0.9) -> fault_watch.FleetSample:
            return fault_watch.FleetSample(at, 6, right, sums, 100.0, 2.0, 1.0)

        quiet = [sample(0.5 * k) for k in range(8)]
        made = fault_watch.fault_figures(
            quiet, [sample(4), sample(4.5, 0.5), sample(5, 0.9, 0.5), sample(5.5, 1, 0.5), sample(6)]
        )
        self.assertEqual((made["count_wrong_s"], made["sums_wrong_s"], made["right_at_the_end"]), (1.0, 1.0, True))
        self.assertEqual((made["least_share_right"], made["sums_least"]), (0.5, 0.556))


class Runs(unittest.TestCase):
    def children(self) -> set[int]:
        return {p.pid for p in psutil.Process().children(recursive=True)}

    def test_two_hollow_dispatchers_before_five_replicas_either_way(self):
        for way, machines in (("talk", 0), ("aggregators", 2)):
            with self.subTest(way):
                self.small(way, machines)

    def small(self, way: str, machines: int) -> None:
        before, lines = self.children(), list[str]()
        # An aggregator counts nobody's work before an earlier lease of it is surely over.
        text = TINY.replace('"talk"', f'"{way}"\naggregators = 2')
        text = text.replace("warm_s = 1.0", f"warm_s = {1 + 2 * machines}")
        made = asyncio.run(run.run(plan.validated(plan.typed.convert(plan_of(text), plan.Plan)), "tiny", lines.append))
        (point,) = made["points"]
        self.assertEqual(
            [point[what] for what in ("way", "kind", "dispatchers", "replicas", "aggregators")],
            [way, "hollow", 2, 5, machines],
            lines,
        )
        self.assertEqual(point["aggregator"] is None, machines == 0)
        d = point["dispatcher"]
        for quantity in ("cpu_cores", "bytes_in_s", "bytes_out_s", "messages_in_s", "messages_out_s"):
            self.assertGreater(d[quantity], 0, quantity)
        # Either way each message has its answer; what two who talk tell one another comes in at the other.
        self.assertAlmostEqual(d["messages_in_s"] / d["messages_out_s"], 1, delta=0.3)
        if way == "talk":
            self.assertAlmostEqual(d["bytes_in_s"] / d["bytes_out_s"], 1, delta=0.3)
        self.assertEqual(set(d["news_age_ms"]), {"p50", "p99", "max"})
        self.assertGreater(point["discovery"]["calls_s"], 0)
        self.assertGreater(point["list_age_ms"]["max"], 0)
        self.assertTrue(any("point 1 of 1" in line for line in lines), lines)
        self.assertIn("<svg", report.page("tiny", made))
        self.assertEqual(self.children(), before)

    def test_the_command_ends_its_processes_when_it_is_told_to_end(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "plan.toml"
            path.write_text(TINY.replace("seconds = 2.0", "seconds = 60.0"))
            with subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    "from pearhill.cli.main import main; main()",
                    "lab",
                    "scale",
                    str(path),
                    "--json",
                    f"{folder}/made.json",
                ],
                stderr=subprocess.PIPE,
                text=True,
                stdout=subprocess.DEVNULL,
                env=dict(os.environ),
            ) as command:
                end, own = time.monotonic() + 20, set[int]()
                while len(own) < 2 and time.monotonic() < end:
                    own = {p.pid for p in psutil.Process(command.pid).children(recursive=True)}
                    time.sleep(0.05)
                command.send_signal(signal.SIGINT)
                _, told = command.communicate(timeout=20)
            made = json.loads((pathlib.Path(folder) / "made.json").read_text())
        self.assertGreaterEqual(len(own), 2, told)
        self.assertEqual(command.returncode, 2)
        self.assertIn("ended by a signal", told)
        self.assertEqual(made["not_run"], [{"what": "the rest of the plan", "why": "ended by a signal"}])
        self.assertEqual({pid for pid in own if psutil.pid_exists(pid)}, set())


def plan_of(text: str) -> dict:
    return plan.typed.tomllib.loads(text)
