"""The form of a fault case: a script with real processes on loopback, which is also run by a test.

A script exits with 0 if the rules held, with 1 if one was broken, and with 2 if the case could not run. Environment:
TROUBLE=0 leaves out the disruption, LENGTH_S is how long requests are sent, SEED is that of the random numbers.
"""

import contextlib
import os
import random
import signal
import sys
import threading
import time
import traceback
from collections.abc import Callable

CASE_LIMIT_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2
WATCH_INTERVAL_S = 0.01


class Case:
    """One run of a case: its settings, what was counted, and the rules that were broken."""

    def __init__(self) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.length_s = float(os.environ.get("LENGTH_S", "60"))
        self.seed = int(os.environ.get("SEED", "7"))
        self.rng = random.Random(self.seed)
        self.cleanup = contextlib.ExitStack()
        self.broken: list[str] = []
        self.counts: dict[str, int] = {}
        self.lateness_s = 0.0  # the longest time for which this process itself did not run
        self._lock = threading.Lock()
        self._ended = threading.Event()

    def check(self, held: bool, rule: str) -> None:
        """Record that a rule was broken, unless it held."""
        if not held:
            with self._lock:
                self.broken.append(rule)

    def count(self, what: str) -> None:
        with self._lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def watch_lateness(self) -> None:
        """Record for how long this process did not run, until the end of the case."""
        last = time.monotonic()
        while not self._ended.wait(WATCH_INTERVAL_S):
            now = time.monotonic()
            self.lateness_s = max(self.lateness_s, now - last - WATCH_INTERVAL_S)
            last = now

    def end(self) -> None:
        self._ended.set()
        self.cleanup.close()


def main(run: Callable[[Case], None]) -> None:
    """Run a case, print its report, and exit."""
    case = Case()
    signal.signal(signal.SIGALRM, lambda number, frame: _give_up())
    signal.alarm(CASE_LIMIT_S)
    threading.Thread(target=case.watch_lateness, daemon=True).start()
    status = NOT_RUN
    try:
        run(case)
        status = BROKEN if case.broken else HELD
    except Exception:
        traceback.print_exc()
    finally:
        case.end()
    print(f"seed {case.seed}, trouble {case.trouble}, {case.length_s} s, {case.lateness_s:.3f} s late: {case.counts}")
    for rule in case.broken[:20]:
        print("BROKEN:", rule)
    sys.exit(status)


def _give_up() -> None:
    raise TimeoutError(f"the case did not end within {CASE_LIMIT_S} s")
