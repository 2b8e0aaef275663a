"""The start of a daemon's process, before its event loop runs."""

import subprocess
import sys

from tests.standins import ROOT

START_SCRIPT = """
import os, signal
from pearhill.config import ConfigError
from pearhill.node.process import run

def work():
    for number in (signal.SIGHUP, signal.SIGUSR1):
        os.kill(os.getpid(), number)
    raise ConfigError("far enough")

raise SystemExit(run(work, "INFO"))
"""


def test_sighup_and_sigusr1_do_not_end_a_process_that_is_starting() -> None:
    done = subprocess.run([sys.executable, "-c", START_SCRIPT], cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert (done.returncode, done.stderr) == (2, "pearhill: far enough\n")
