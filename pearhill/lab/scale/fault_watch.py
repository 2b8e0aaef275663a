"""What goes wrong in a fleet during a fault, and for how long.

Once in `SAMPLE_INTERVAL_S` every hollow dispatcher reports how many dispatchers it counts, and some report their
estimates of the tokens at drawn replicas. A count is right where it is the number of dispatchers that are up (in a cut:
all of them). Estimates are right where they are within `SUMS_TOLERANCE` of what they were, against the true total,
before the fault: a digest never holds all.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pearhill.lab.scale.figures import HostReport
from pearhill.lab.scale.fleet import RunningFleet

SAMPLE_INTERVAL_S = 0.5
OBSERVED_PAIRS = 12_000  # dispatchers times replicas at which estimates are compared, about
MIN_OBSERVED_REPLICAS = 40
SUMS_TOLERANCE = 0.15


@dataclass(frozen=True, slots=True)
class FleetSample:
    """A fleet at one moment. Shares are of the dispatchers.

    `at`: seconds of the run. `counting_right`: the share that counts right. `sums`: estimates over the true total.
    `bytes_s`: of each dispatcher on the mean, both directions. `late_ms`: the worst delay of a tick since the last
    sample. `list_complete`: the share that has the whole endpoint list.
    """

    at: float
    dispatchers: int
    counting_right: float
    sums: float
    bytes_s: float
    late_ms: float
    list_complete: float


class FleetWatch:
    """Samples of a fleet, over and over. `expected_count`: the right count, where it is not those that are up."""

    def __init__(self, fleet: RunningFleet) -> None:
        self.samples: list[FleetSample] = []
        self.expected_count: int | None = None
        self._fleet = fleet
        self._replicas: list[str] = []
        self._began = time.monotonic()
        self._last_bytes: tuple[float, int] | None = None  # when they were read, and their total

    def elapsed(self) -> float:
        """Seconds since the watch began."""
        return time.monotonic() - self._began

    async def draw_replicas(self, rng: random.Random) -> None:
        """Draw other replicas of those that are listed: the fewer dispatchers, the more replicas."""
        assert self._fleet.discovery
        names = (await self._fleet.discovery.call("names"))["names"]
        decode_replicas = [name for name in names if name.startswith("writer")]
        wanted = max(MIN_OBSERVED_REPLICAS, OBSERVED_PAIRS // self._fleet.size.dispatchers)
        self._replicas = rng.sample(decode_replicas, min(len(decode_replicas), wanted))

    async def sample_until(self, at: float) -> None:
        """Sample until so many seconds after the watch began."""
        while (now := self.elapsed()) < at:
            await asyncio.sleep(max(0.0, min(SAMPLE_INTERVAL_S, at - now)))
            await self._sample()

    async def _sample(self) -> None:
        hosts = await self._fleet.call_hosts("look", engines=self._replicas)
        now = time.monotonic()
        counts = [count for host in hosts for count in host["counts"]]
        up = len(counts)
        bytes_s = self._bytes_per_second(hosts, now, up)
        rows = (await self._fleet.discovery.call("counts"))["rows"] if self._fleet.discovery else 0
        listed = [entries for host in hosts for entries in host["listed"]]
        self.samples.append(
            FleetSample(
                at=now - self._began,
                dispatchers=up,
                counting_right=sum(count == (self.expected_count or up) for count in counts) / max(1, up),
                sums=_sums_over_true_total(hosts),
                bytes_s=bytes_s,
                late_ms=max(host["late_us"] for host in hosts) / 1000,
                list_complete=sum(entries == rows for entries in listed) / max(1, up),
            )
        )

    def _bytes_per_second(self, hosts: list[HostReport], now: float, up: int) -> float:
        """Of each dispatcher since the last sample; 0 at the first one."""
        total: int = sum(host["totals"].get(quantity, 0) for host in hosts for quantity in ("bytes_in", "bytes_out"))
        last = self._last_bytes
        self._last_bytes = (now, total)
        if last is None:
            return 0.0
        last_at, last_total = last
        # A dispatcher that was stopped takes its counters along, and the total may fall.
        return max(0.0, (total - last_total) / (now - last_at) / max(1, up))


def _sums_over_true_total(hosts: list[HostReport]) -> float:
    """The mean estimate over what all dispatchers together have in flight; 1 where there is nothing to compare."""
    true_total: float = sum(host["own"] for host in hosts)
    estimates: list[float] = [estimate for host in hosts for estimate in host["seen"]]
    return statistics.mean(estimates) / true_total if true_total and estimates else 1.0


def longest_wrong_s(samples: list[FleetSample], is_wrong: Callable[[FleetSample], bool]) -> float:
    """The longest time without a sample at which it was right, in seconds."""
    longest = 0.0
    since: float | None = None
    for sample in samples:
        if not is_wrong(sample):
            since = None
            continue
        if since is None:
            since = sample.at
        longest = max(longest, sample.at - since + SAMPLE_INTERVAL_S)
    return round(longest, 2)


def fault_figures(before: list[FleetSample], during: list[FleetSample]) -> dict[str, Any]:
    """What came of a fault, in the results' form. `before`: samples of the undisturbed fleet."""
    usual_sums = statistics.median(sample.sums for sample in before) if before else 1.0

    def relative_sums(sample: FleetSample) -> float:
        """The sample's estimates, relative to those of the undisturbed fleet."""
        return sample.sums / usual_sums if usual_sums else 1.0

    def sums_wrong(sample: FleetSample) -> bool:
        """Whether the estimates are further from the undisturbed ones than is allowed."""
        return abs(relative_sums(sample) - 1) > SUMS_TOLERANCE

    return {
        "count_wrong_s": longest_wrong_s(during, lambda sample: sample.counting_right < 1.0),
        "sums_wrong_s": longest_wrong_s(during, sums_wrong),
        "list_wrong_s": longest_wrong_s(during, lambda sample: sample.list_complete < 1.0),
        "right_at_the_end": during[-1].counting_right == 1.0 and not sums_wrong(during[-1]),
        "least_share_right": round(min(sample.counting_right for sample in during), 4),
        "sums_least": round(min(map(relative_sums, during)), 3),
        "sums_most": round(max(map(relative_sums, during)), 3),
        "worst_beat_ms": round(max(sample.late_ms for sample in during), 1),
        "worst_beat_before_ms": round(max((sample.late_ms for sample in before), default=0.0), 1),
        "bytes_peak_s": round(max(sample.bytes_s for sample in during), 1),
        "bytes_before_s": round(statistics.median([sample.bytes_s for sample in before] or [0.0]), 1),
    }
