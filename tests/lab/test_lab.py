"""Load tests: the stand-in servers, the load and the reports, on a run of two seconds."""

import asyncio
import pathlib
import re
import subprocess
import sys
import tempfile
import unittest

import numpy
import pytest

from pearhill.config import ConfigError
from pearhill.lab import load, report, run, scenario
from pearhill.lab.load import REFUSED, SERVED, Row
from tests.standins import ROOT

LAB = ROOT / "deploy" / "lab"
SMALL = """
[lab]
operator_file = "%s/front.toml"
seconds = 2.0
warm_s = 0.0
seed = 5
[[server]]
kind = "all-in-one"
count = 2
write_tokens_per_s = 400.0
%s
[[tenant]]
name = "one"
rate_per_s = 20.0
model = "help-desk"
answer_tokens = 5
[[tenant]]
name = "two"
rate_per_s = 10.0
model = "help-desk"
answer_tokens = 5
"""


class Runs(unittest.TestCase):
    def setUp(self) -> None:
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = pathlib.Path(made.name)

    def scenario(self, fault: str = "", name: str = "small") -> pathlib.Path:
        path = self.folder / f"{name}.toml"
        path.write_text(SMALL % (LAB, fault))
        return path

    def cli(self, *arguments: str) -> subprocess.CompletedProcess:
        return subprocess.run(
            [sys.executable, "-c", "from pearhill.cli.main import main; main()", "lab", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )

    def test_a_run_writes_its_files_and_two_runs_can_be_compared(self) -> None:
        for name in ("small", "other"):
            done = self.cli("run", str(self.scenario(name=name)), "--out", str(self.folder))
            assert done.returncode == 0, done.stderr
        rows, parameters = run.read_rows(self.folder / "small.parquet")
        assert parameters["seconds"] == 2.0
        assert {row.outcome for row in rows} == {SERVED}
        assert {row.tokens for row in rows} == {5}
        assert all(0 < row.first_s <= row.end_s for row in rows)
        planned = [(row.tenant, row.planned_s) for row in rows]
        assert planned == [(r.tenant, r.planned_s) for r in run.read_rows(self.folder / "other.parquet")[0]]
        page = (self.folder / "small.html").read_text()
        assert (page.count("<polyline"), page.count("<td>one</td>")) == (4, 1)
        done = self.cli(
            "compare",
            *(str(self.folder / f"{n}.parquet") for n in ("small", "other")),
            "--out",
            str(self.folder / "c.html"),
        )
        assert (done.returncode, (self.folder / "c.html").read_text().count("<polyline")) == (0, 8)

    def test_faults_of_servers_appear_in_the_outcomes(self) -> None:
        made = scenario.load(str(self.scenario('[[server.fault]]\nkind = "refuse"')))
        assert {row.outcome for row in asyncio.run(run.run(made))} == {REFUSED}
        made = scenario.load(str(self.scenario('[[server.fault]]\nkind = "garble"\nshare = 0.5')))
        found = {row.outcome for row in asyncio.run(run.run(made))}
        assert found == {SERVED, load.FAILED}

    def test_an_unusable_scenario_or_result_is_reported_in_one_line(self) -> None:
        bad = self.folder / "bad.toml"
        bad.write_text(self.scenario().read_text().replace("seconds = 2.0", "seconds = 0"))
        for arguments, why in (
            (("run", str(bad)), r"bad.toml: lab.seconds: found 0; allowed: a number > 0"),
            (("run", "nowhere.toml"), "nowhere.toml"),
            (("compare", str(bad), str(bad)), "bad.toml|magic"),
        ):
            done = self.cli(*arguments)
            assert (done.returncode, done.stderr.count("\n")) == (2, 1), done.stderr
            assert re.search(why, done.stderr), done.stderr

    def test_the_scenarios_in_deploy_are_valid_and_a_duplicate_tenant_is_rejected(self) -> None:
        for path in sorted(LAB.glob("*.toml")):
            if not path.name.endswith("front.toml"):
                scenario.load(str(path))
        twice = self.scenario().read_text().replace('name = "two"', 'name = "one"')
        (self.folder / "twice.toml").write_text(twice)
        with pytest.raises(ConfigError):
            scenario.load(str(self.folder / "twice.toml"))


class Plans(unittest.TestCase):
    def test_arrivals_are_seeded_and_denser_in_a_burst(self) -> None:
        tenant = scenario.TenantTable("a", 50.0, "m", times=4.0, from_s=10.0, to_s=20.0)
        times = load.draw_arrivals(tenant, 40.0, numpy.random.SeedSequence(3))
        assert times == load.draw_arrivals(tenant, 40.0, numpy.random.SeedSequence(3))
        inside = sum(10 <= t < 20 for t in times)
        assert 1_800 < inside < 2_200, (inside, len(times))
        assert 1_350 < len(times) - inside < 1_650, (inside, len(times))

    def test_figures_count_from_the_planned_time_and_exclude_the_warm_up(self) -> None:
        rows = [
            Row("a", t, 0.001, 200 if t % 2 else 429, SERVED if t % 2 else REFUSED, 0.1 * t, 0.2 * t, 10)
            for t in range(10)
        ]
        (made,) = report.tenant_figures(rows, {"seconds": 10.0, "warm_s": 5.0})
        assert (made.asked, made.served, made.refused, made.tokens_per_s) == (5, 0.6, 0.4, 6.0)
        assert abs(made.first_p50 - 700) <= 2
        svg = report.plot(rows, 10.0, SERVED)
        assert len(re.findall(r"points=\"([^\"]+)\"", svg)[0].split()) == 10
