"""The fault cases, in the size that fits a run of all tests."""

import os
import subprocess
import sys

import pytest

from tests.faults.case import HELD
from tests.standins import ROOT

LENGTH_S = "8"


@pytest.mark.parametrize("name", ["asgi", "eureka", "membership"])
def test_a_short_fault_case_breaks_no_rule(name: str) -> None:
    command = [sys.executable, "-m", f"tests.faults.{name}_case"]
    environ = {**os.environ, "LENGTH_S": LENGTH_S}
    result = subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=120, check=False)
    print(result.stdout)
    assert result.returncode == HELD, result.stdout + result.stderr[-4000:]
