"""The fleet runner: figures of given spans, errors of its file, and a short run of real processes with faults."""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
import unittest

import pytest

from pearhill.config import ConfigError
from pearhill.lab import fleet, scenario
from pearhill.lab.load import REFUSED, SERVED, Row
from tests.standins import ROOT

SHORT = f"""
[lab]
operator_file = "{ROOT}/deploy/lab/fleet-front.toml"
seconds = 8.0
warm_s = 1.0
seed = 5
[fleet]
dispatchers = 4
%s
[[server]]
kind = "all-in-one"
count = 4
[[tenant]]
name = "members"
rate_per_s = 12.0
model = "help-desk"
answer_tokens = 10
prefixes = 16
"""


def fault(kind: str, from_s: float, to_s: float, who: str = "[1]") -> str:
    return f'[[fleet.fault]]\nkind = "{kind}"\nwho = {who}\nfrom_s = {from_s}\nto_s = {to_s}\n'


def row(planned: float, outcome: str) -> Row:
    return Row("m", planned, 0.0, 200, outcome, 0.1, 0.2, 1)


def test_work_by_replica_and_second_idle_time_and_served_shares() -> None:
    # Of three replicas over three seconds, one works all the time, one in the second second, one never.
    work = [[(9.5, 13.5)], [(11.0, 12.0)], []]
    result = fleet.evaluate([row(0.1, SERVED), row(0.2, REFUSED), row(2.5, SERVED)], work, 10.0, 3.0)
    assert result.peaks == [3.0, 1.5, 3.0]
    assert result.idle_s == [0.0, 1.0, 3.0]
    assert result.served == [0.5, 1.0, 1.0]


class Files(unittest.TestCase):
    def load(self, faults: str) -> scenario.Scenario:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "short.toml"
        path.write_text(SHORT % faults)
        return scenario.load(str(path))

    def test_an_invalid_fault_is_reported_with_its_path(self) -> None:
        for faults, why in (
            (fault("cut", 3, 2), r"fleet.fault\[0\].to_s: found 2.0; allowed: more than from_s, 3.0"),
            (fault("stall", 1, 2, "[]"), r"fleet.fault\[0\].who: found nobody"),
            (fault("loss", 1, 2) + fault("crash", 1, 2, "[4]"), r"\[1\].who: found 4; allowed: 0 to 3"),
            (fault("flood", 1, 2), "fleet.fault.*kind: found 'flood'; allowed: crash, cut, "),
        ):
            with self.subTest(faults), pytest.raises(ConfigError, match=why):
                self.load(faults)

    def test_four_dispatchers_through_a_crash_a_stall_and_a_cut(self) -> None:
        faults = fault("crash", 1, 3, "[1]") + fault("stall", 3.5, 4.5, "[2]") + fault("cut", 5, 7, "[0, 1]")
        lines: list[str] = []
        result = asyncio.run(fleet.run(self.load(faults), lines.append))
        assert len(lines) == 7, lines
        assert len(result.rows) > 50
        # Requests that were not sent to the crashed or to the stalled dispatcher were served.
        assert sum(r.outcome == SERVED for r in result.rows) / len(result.rows) > 0.7
        later = [r for r in result.rows if r.planned_s > 5]
        assert [r.outcome for r in later if r.outcome != SERVED] == []
        assert all(0 <= idle <= 8.5 for idle in result.idle_s)
        assert sum(result.peaks) > 0
