"""Measures how late this machine ran, and when. The soak adds this lateness to its limits, instead of a constant.

There are two sources: the soak's event loop, in which clients, replicas and proxies record their times, and a probe in
a process of its own (`python -m pearhill.lab.soak.lateness`), which the scheduler may delay as it delays a
dispatcher."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

PROBE_INTERVAL_S = 0.01
MIN_LATENESS_US = 3_000  # a smaller lateness is within the usual precision of timers
MARGIN_US = 50_000  # a span also counts for events up to this long before or after it


@dataclass(frozen=True, slots=True)
class Span:
    """A sleep that ended late by `late`; a stopped process counts with the length of its stop. In microseconds."""

    since: int
    until: int
    late: int


class Lateness:
    """Spans of lateness, in microseconds of the soak's clock. `base` is added to every limit."""

    def __init__(self, clock: Callable[[], int], base: int = 20_000) -> None:
        self.clock, self.base = clock, base
        self.loop: list[Span] = []
        self.probe: list[Span] = []
        self.stops: list[Span] = []  # dispatchers that were stopped on purpose

    def between(self, since: int, until: int) -> int:
        """Returns what to add to a limit for an event that began at `since` and was observed at `until`.

        It is the sum of all latenesses of all sources: data that passes the proxies takes several turns of the event
        loop, and each of them may be late.
        """
        return self.base + sum(self._sum(spans, since, until) for spans in (self.loop, self.probe, self.stops))

    @staticmethod
    def _sum(spans: list[Span], since: int, until: int) -> int:
        return sum(s.late for s in spans if s.since <= until + MARGIN_US and s.until >= since - MARGIN_US)

    @property
    def worst(self) -> int:
        """The largest lateness of a sleep, in microseconds."""
        return max((span.late for span in (*self.loop, *self.probe)), default=0)

    async def watch_loop(self) -> None:
        """Record how late this event loop runs, until cancelled."""
        while True:
            before = self.clock()
            await asyncio.sleep(PROBE_INTERVAL_S)
            record_sleep(self.loop, before, self.clock())

    async def watch_probe(self) -> None:
        """Record how late the probe process runs, until cancelled; then kill the process."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "pearhill.lab.soak.lateness", stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout
        try:
            while line := await process.stdout.readline():
                since, until = map(int, line.split())
                record_sleep(self.probe, since, until)
        finally:
            process.kill()
            await process.wait()


def record_sleep(spans: list[Span], since: int, until: int) -> None:
    """Record a sleep of `PROBE_INTERVAL_S` that began at `since` and ended at `until`, if it was late."""
    late = until - since - int(PROBE_INTERVAL_S * 1e6)
    if late >= MIN_LATENESS_US:
        spans.append(Span(since, until, late))


def main() -> None:
    """Print when each late sleep began and ended, in microseconds of the monotonic clock, which all processes share."""
    while True:
        before = time.monotonic_ns() // 1000
        time.sleep(PROBE_INTERVAL_S)
        after = time.monotonic_ns() // 1000
        if after - before - PROBE_INTERVAL_S * 1e6 >= MIN_LATENESS_US:
            print(before, after, flush=True)


if __name__ == "__main__":
    main()
