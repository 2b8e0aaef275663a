"""What a daemon's process does before and after its loop runs."""

import subprocess
import sys
import time

from tests.standins import ROOT

EARLY = """
import os, signal
from pearhill.config import ConfigError
from pearhill.node.process import run

def work():
    for number in (signal.SIGHUP, signal.SIGUSR1):
        os.kill(os.getpid(), number)
    raise ConfigError("far enough")

raise SystemExit(run(work, "INFO"))
"""


def test_a_signal_that_asks_for_a_report_or_a_reload_ends_no_process_that_is_starting():
    done = subprocess.run([sys.executable, "-c", EARLY], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert (done.returncode, done.stderr) == (2, "pearhill: far enough\n")


AGE = "import time; from pearhill.node.takeover import process_age; age = process_age(); print(age, time.monotonic())"
TRIES = 10  # the system counts a start in ticks of 10 ms: each falls elsewhere in its tick


def test_a_process_takes_itself_for_no_older_than_it_is():
    """It says yes by its age, and would say so before its elder had its time."""
    for _ in range(TRIES):
        before = time.monotonic()
        done = subprocess.run([sys.executable, "-c", AGE], cwd=ROOT, capture_output=True, text=True, timeout=60)
        age, after = done.stdout.split()
        assert int(age) <= (float(after) - before) * 1e6
