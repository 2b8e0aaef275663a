"""Measures which values are wrong in a fleet during a fault, and for how long.

Once per `SAMPLE_INTERVAL_S` every hollow dispatcher reports how many dispatchers it counts, and some report their
estimates of the tokens at randomly drawn replicas. A count is right if it equals the number of running dispatchers
(during a network partition: the number of all dispatchers). Estimates are right if their ratio to the true total is
within `ESTIMATE_TOLERANCE` of the ratio before the fault. The ratio before the fault is not 1, as a digest never
contains all load.
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
OBSERVED_PAIRS = 12_000  # approximate number of (dispatcher, replica) pairs whose estimates are compared
MIN_OBSERVED_REPLICAS = 40
ESTIMATE_TOLERANCE = 0.15


@dataclass(frozen=True, slots=True)
class FleetSample:
    """The state of a fleet at one moment.

    `at` is in seconds since the watch began. `right_count_fraction` is the fraction of dispatchers whose count is
    right. `estimate_ratio` is the mean estimate divided by the true total. `bytes_s` is the mean rate of a dispatcher,
    both directions together. `max_tick_delay_ms` is the longest delay of a tick since the last sample. `list_complete`
    is the fraction of dispatchers that have the complete endpoint list.
    """

    at: float
    dispatchers: int
    right_count_fraction: float
    estimate_ratio: float
    bytes_s: float
    max_tick_delay_ms: float
    list_complete: float


class FleetWatch:
    """Samples a fleet periodically. `expected_count` is the right count; None stands for all running dispatchers."""

    def __init__(self, fleet: RunningFleet) -> None:
        self.samples: list[FleetSample] = []
        self.expected_count: int | None = None
        self._fleet = fleet
        self._replicas: list[str] = []
        self._began = time.monotonic()
        self._last_bytes: tuple[float, int] | None = None  # time of reading in monotonic seconds, total

    def elapsed(self) -> float:
        """Seconds since the watch began."""
        return time.monotonic() - self._began

    async def draw_replicas(self, rng: random.Random) -> None:
        """Draw the observed decode replicas anew from the registry. A fleet of fewer dispatchers has more of them."""
        assert self._fleet.discovery
        names = (await self._fleet.discovery.call("names"))["names"]
        decode_replicas = [name for name in names if name.startswith("writer")]
        replica_count = max(MIN_OBSERVED_REPLICAS, OBSERVED_PAIRS // self._fleet.size.dispatchers)
        self._replicas = rng.sample(decode_replicas, min(len(decode_replicas), replica_count))

    async def sample_until(self, at: float) -> None:
        """Sample until `at` seconds after the watch began."""
        while (now := self.elapsed()) < at:
            await asyncio.sleep(max(0.0, min(SAMPLE_INTERVAL_S, at - now)))
            await self._sample()

    async def _sample(self) -> None:
        hosts = await self._fleet.call_hosts("look", engines=self._replicas)
        now = time.monotonic()
        counts = [count for host in hosts for count in host["counts"]]
        running = len(counts)
        bytes_s = self._bytes_per_second(hosts, now, running)
        rows = (await self._fleet.discovery.call("counts"))["rows"] if self._fleet.discovery else 0
        listed = [entries for host in hosts for entries in host["listed"]]
        self.samples.append(
            FleetSample(
                at=now - self._began,
                dispatchers=running,
                right_count_fraction=sum(count == (self.expected_count or running) for count in counts)
                / max(1, running),
                estimate_ratio=_estimates_over_true_total(hosts),
                bytes_s=bytes_s,
                max_tick_delay_ms=max(host["late_us"] for host in hosts) / 1000,
                list_complete=sum(entries == rows for entries in listed) / max(1, running),
            )
        )

    def _bytes_per_second(self, hosts: list[HostReport], now: float, running: int) -> float:
        """Returns the mean bytes per second of a dispatcher since the last sample, or 0 at the first sample."""
        total: int = sum(host["totals"].get(quantity, 0) for host in hosts for quantity in ("bytes_in", "bytes_out"))
        last = self._last_bytes
        self._last_bytes = (now, total)
        if last is None:
            return 0.0
        last_at, last_total = last
        # The total can decrease: the counters of a stopped dispatcher are no longer part of it.
        return max(0.0, (total - last_total) / (now - last_at) / max(1, running))


def _estimates_over_true_total(hosts: list[HostReport]) -> float:
    """Returns the mean estimate divided by the total in flight of all dispatchers, or 1 if there is no data."""
    true_total: float = sum(host["own"] for host in hosts)
    estimates: list[float] = [estimate for host in hosts for estimate in host["seen"]]
    return statistics.mean(estimates) / true_total if true_total and estimates else 1.0


def longest_wrong_s(samples: list[FleetSample], is_wrong: Callable[[FleetSample], bool]) -> float:
    """Returns the duration in seconds of the longest sequence of wrong samples."""
    longest = 0.0
    wrong_since: float | None = None
    for sample in samples:
        if not is_wrong(sample):
            wrong_since = None
            continue
        if wrong_since is None:
            wrong_since = sample.at
        longest = max(longest, sample.at - wrong_since + SAMPLE_INTERVAL_S)
    return round(longest, 2)


def fault_figures(before: list[FleetSample], during: list[FleetSample]) -> dict[str, Any]:
    """Returns the effects of a fault in the form of the results file. `before` are samples of the undisturbed fleet."""
    baseline_ratio = statistics.median(sample.estimate_ratio for sample in before) if before else 1.0

    def relative_ratio(sample: FleetSample) -> float:
        """Returns the sample's estimates relative to those of the undisturbed fleet."""
        return sample.estimate_ratio / baseline_ratio if baseline_ratio else 1.0

    def estimates_wrong(sample: FleetSample) -> bool:
        """Returns whether the estimates differ from the undisturbed ones by more than `ESTIMATE_TOLERANCE`."""
        return abs(relative_ratio(sample) - 1) > ESTIMATE_TOLERANCE

    return {
        "count_wrong_s": longest_wrong_s(during, lambda sample: sample.right_count_fraction < 1.0),
        "sums_wrong_s": longest_wrong_s(during, estimates_wrong),
        "list_wrong_s": longest_wrong_s(during, lambda sample: sample.list_complete < 1.0),
        "right_at_the_end": during[-1].right_count_fraction == 1.0 and not estimates_wrong(during[-1]),
        "least_share_right": round(min(sample.right_count_fraction for sample in during), 4),
        "sums_least": round(min(map(relative_ratio, during)), 3),
        "sums_most": round(max(map(relative_ratio, during)), 3),
        "worst_beat_ms": round(max(sample.max_tick_delay_ms for sample in during), 1),
        "worst_beat_before_ms": round(max((sample.max_tick_delay_ms for sample in before), default=0.0), 1),
        "bytes_peak_s": round(max(sample.bytes_s for sample in during), 1),
        "bytes_before_s": round(statistics.median([sample.bytes_s for sample in before] or [0.0]), 1),
    }
