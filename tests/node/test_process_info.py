"""What the system tells of a process."""

import subprocess
import sys
import time

from tests.standins import ROOT

AGE = """
import time
from pearhill.node.process_info import process_age

age = process_age()
print(age, time.monotonic())
"""


ATTEMPTS = 10  # the system counts a start in ticks of 10 ms: each falls elsewhere in its tick


def test_a_process_reckons_with_no_more_than_its_true_age() -> None:
    """It reports ready by its age, and otherwise would do so before its predecessor had its time."""
    for _ in range(ATTEMPTS):
        before = time.monotonic()
        done = subprocess.run([sys.executable, "-c", AGE], cwd=ROOT, capture_output=True, text=True, timeout=60)
        age, after = done.stdout.split()
        assert int(age) <= (float(after) - before) * 1e6
