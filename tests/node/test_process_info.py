"""The age of a process, as the system reports it."""

import subprocess
import sys
import time

from tests.standins import ROOT

AGE_SCRIPT = """
import time
from pearhill.node.process_info import process_age

age = process_age()
print(age, time.monotonic())
"""


ATTEMPTS = 10  # the system gives the start in ticks of 10 ms, and each start lies at another point of its tick


def test_the_reported_age_is_never_above_the_true_age() -> None:
    """A successor reports ready by its age. If that were too high, its predecessor would be ended too early."""
    for _ in range(ATTEMPTS):
        before = time.monotonic()
        done = subprocess.run([sys.executable, "-c", AGE_SCRIPT], cwd=ROOT, capture_output=True, text=True, timeout=60)
        age, after = done.stdout.split()
        assert int(age) <= (float(after) - before) * 1e6
