"""How late this machine ran, and when: what the soak's limits are widened by, instead of a constant.

Two sources: the soak's own event loop, in which clients, replicas and proxies note their times, and a probe in a
process of its own (`python -m pearhill.lab.soak.lateness`), which is as late as any dispatcher may be kept from its
core."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

PROBE_INTERVAL_S = 0.01
MIN_LATENESS_US = 3_000  # microseconds; less is how timers are
MARGIN_US = 50_000  # a span counts for what happened so long before or after it


@dataclass(frozen=True, slots=True)
class Span:
    """One sleep that ended late, by `late`; a stop counts with its whole length. Microseconds."""

    since: int
    until: int
    late: int


class Lateness:
    """Spans in which something ran late, in microseconds of the soak's clock. `base` is always granted."""

    def __init__(self, clock: Callable[[], int], base: int = 20_000) -> None:
        self.clock, self.base = clock, base
        self.loop: list[Span] = []
        self.probe: list[Span] = []
        self.stops: list[Span] = []  # dispatchers that were stopped on purpose

    def between(self, since: int, until: int) -> int:
        """What may be added to a limit for something that began and was seen then: all that each source was late by.
        What passes proxies takes several turns of the loop, and each may be late."""
        return self.base + sum(self._sum(spans, since, until) for spans in (self.loop, self.probe, self.stops))

    @staticmethod
    def _sum(spans: list[Span], since: int, until: int) -> int:
        return sum(s.late for s in spans if s.since <= until + MARGIN_US and s.until >= since - MARGIN_US)

    @property
    def worst(self) -> int:
        """By how much the latest sleep was late, in microseconds."""
        return max((span.late for span in (*self.loop, *self.probe)), default=0)

    async def watch_loop(self) -> None:
        """Record how late this event loop runs, until cancelled."""
        while True:
            before = self.clock()
            await asyncio.sleep(PROBE_INTERVAL_S)
            record_sleep(self.loop, before, self.clock())

    async def watch_probe(self) -> None:
        """Record how late a process of its own runs, until cancelled; the process ends with this."""
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
    """A sleep of `PROBE_INTERVAL_S` began and ended then."""
    late = until - since - int(PROBE_INTERVAL_S * 1e6)
    if late >= MIN_LATENESS_US:
        spans.append(Span(since, until, late))


def main() -> None:
    """Tells each late sleep: when it began and ended, in microseconds of the monotonic clock, which processes share."""
    while True:
        before = time.monotonic_ns() // 1000
        time.sleep(PROBE_INTERVAL_S)
        after = time.monotonic_ns() // 1000
        if after - before - PROBE_INTERVAL_S * 1e6 >= MIN_LATENESS_US:
            print(before, after, flush=True)


if __name__ == "__main__":
    main()
