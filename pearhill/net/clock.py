"""The process's clock: microseconds that never go back, counted so that they read as Unix time at the start."""

from __future__ import annotations

import time
from collections.abc import Callable


def start_clock() -> Callable[[], int]:
    """Danger: list entries tell starts in Unix time. On one origin, taken once, the same start reads the same
    for ever; a conversion at each list would make every engine look restarted."""
    origin = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + origin) // 1000
