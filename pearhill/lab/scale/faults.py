"""Injects faults into one fleet, one after the other, on a time line."""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any

from pearhill.lab.scale.fault_watch import SAMPLE_INTERVAL_S, FleetWatch, fault_figures
from pearhill.lab.scale.files import zone_names
from pearhill.lab.scale.fleet import AGGREGATOR_READY, PrintLine, RunningFleet
from pearhill.lab.scale.plan import AGGREGATORS_LOST, FaultEventTable, FaultKind

SAMPLES_BEFORE = 8  # samples of the undisturbed fleet before each fault
RACKS = 60  # one rack holds one in so many dispatchers and replicas
DAY_S = 86_400
# Events per ordinary day.
REPLACEMENTS_PER_DAY = 470
FAILURES_PER_DAY = 12
SETTINGS_CHANGES_PER_DAY = 650
LEASE_S = 90.0  # after which the registry drops a replica that sends no heartbeats
MAX_OUT_IN_FILE = 800  # the value of `max_out` in the template, which a change of settings replaces

Figures = dict[str, Any]


@dataclass(frozen=True, slots=True)
class FaultDescription:
    """Texts of the results for a kind of fault: what is lost, and which part of the program propagates the change."""

    lost: str
    carried_by: str


DESCRIPTIONS = {
    FaultKind.CHURN: FaultDescription(
        "nothing: those replaced are counted short for as long as they are away",
        "pearhill/eureka, pearhill/membership",
    ),
    FaultKind.RACK: FaultDescription(
        "the work of the dispatchers in it; its replicas stay listed until their lease is over",
        "pearhill/eureka, pearhill/membership",
    ),
    FaultKind.ZONE: FaultDescription(
        "the work of the zone's dispatchers; its replicas stay listed until their lease is over",
        "pearhill/eureka, pearhill/membership",
    ),
    FaultKind.REGION_CUT: FaultDescription(
        "either side's word of the other's work",
        "pearhill/membership",
    ),
    FaultKind.AGGREGATOR_LOST: FaultDescription(
        "its members' sums, until they report to another",
        "pearhill/membership/reporter.py",
    ),
    FaultKind.TWO_AGGREGATORS_LOST: FaultDescription(
        "two thirds of the members' sums, until they report to the third",
        "pearhill/membership/reporter.py",
    ),
    FaultKind.PREFILL_SHARE: FaultDescription(
        "nothing",
        "pearhill/eureka",
    ),
    FaultKind.SETTINGS: FaultDescription(
        "nothing; each reload stands in the way of what else the process does",
        "missing: nothing carries a change to all; here the run itself hands it to each",
    ),
}


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """The interval of a fault, in seconds of the clock of the `FleetWatch`."""

    event: FaultEventTable
    began: float
    ends_at: float
    clock: Callable[[], float]

    async def sleep_until(self, at: float) -> None:
        """Sleep until `at` of the clock. Returns at once if that time has passed."""
        await asyncio.sleep(max(0.0, at - self.clock()))

    async def sleep_until_fraction(self, fraction: float) -> None:
        """Sleep until a fraction (0 to 1) of the fault's duration has passed."""
        await self.sleep_until(self.began + self.event.for_s * fraction)

    def expected_events(self, per_day: float) -> float:
        """Returns the number of events within the fault, for events that occur `per_day` times in an ordinary day."""
        return per_day * self.event.factor / DAY_S * self.event.for_s


class FaultInjector:
    """Injects a fault into a fleet, and reverts it at its end."""

    def __init__(self, fleet: RunningFleet) -> None:
        self.rng = random.Random(fleet.scale.seed)
        self._fleet = fleet
        self._host_of: dict[str, int] = {}  # key: dispatcher name; value: index of its process
        self._stopped: set[str] = set()
        self._revision = 0
        self._injections: dict[FaultKind, Callable[[FaultWindow], Awaitable[Figures]]] = {
            FaultKind.CHURN: self._churn,
            FaultKind.RACK: self._lose_rack,
            FaultKind.ZONE: self._lose_zone,
            FaultKind.REGION_CUT: self._cut_region,
            FaultKind.AGGREGATOR_LOST: self._lose_aggregators,
            FaultKind.TWO_AGGREGATORS_LOST: self._lose_aggregators,
            FaultKind.PREFILL_SHARE: self._raise_prefill_share,
            FaultKind.SETTINGS: self._change_settings,
        }

    async def find_hosts(self) -> None:
        """Record which process each dispatcher runs in. It must be called once, before the first fault."""
        for k, host in enumerate(await self._fleet.call_hosts("look", engines=[])):
            self._host_of.update(dict.fromkeys(host["names"], k))

    async def inject(self, window: FaultWindow) -> Figures:
        """Inject a fault, revert it at its end, and return the figures that only this kind of fault has."""
        return await self._injections[window.event.fault](window)

    async def _stop(self, names: list[str], gracefully: bool) -> None:
        """Stop the named dispatchers in their processes."""

        async def stop_in(k: int) -> None:
            """Stop the named dispatchers that run in the process with index `k`."""
            in_host = [name for name in names if self._host_of[name] == k]
            if in_host:
                await self._fleet.hosts[k].call("stop", names=in_host, gracefully=gracefully)

        await asyncio.gather(*map(stop_in, range(len(self._fleet.hosts))))
        self._stopped |= set(names)

    async def _start(self, names: list[str]) -> None:
        """Start stopped dispatchers again, in the processes in which they ran before."""

        async def start_in(k: int) -> None:
            """Start the named dispatchers that belong to the process with index `k`."""
            specs = [spec for spec in self._fleet.dispatchers if spec.name in names and self._host_of[spec.name] == k]
            if specs:
                await self._fleet.hosts[k].call("start", places=[asdict(spec) for spec in specs])

        await asyncio.gather(*map(start_in, range(len(self._fleet.hosts))))
        self._stopped -= set(names)

    async def _call_discovery(self, command: str, **arguments: Any) -> dict[str, Any]:
        assert self._fleet.discovery
        return await self._fleet.discovery.call(command, **arguments)

    async def _churn(self, window: FaultWindow) -> Figures:
        """Replace and kill dispatchers and replicas, drawn in proportion to their numbers.

        A replaced machine is available again at once, a dead one at the end of the fault.
        """
        counts = {"replicas_replaced": 0, "dispatchers_replaced": 0, "replicas_dead": 0, "dispatchers_dead": 0}
        dead: list[str] = []
        size = self._fleet.size
        dispatcher_fraction = size.dispatchers / (size.dispatchers + size.replicas)
        for at, is_replaced in self._churn_moments(window):
            await window.sleep_until(min(at, window.ends_at))
            is_dispatcher = self.rng.random() < dispatcher_fraction
            machines = "dispatchers" if is_dispatcher else "replicas"
            counts[f"{machines}_{'replaced' if is_replaced else 'dead'}"] += 1
            if not is_dispatcher:
                command = "replace" if is_replaced else "die"
                await self._call_discovery(command, count=1, listed_s=LEASE_S / window.event.factor)
                continue
            name = self.rng.choice([spec.name for spec in self._fleet.dispatchers if spec.name not in self._stopped])
            await self._stop([name], gracefully=is_replaced)
            if is_replaced:
                await self._start([name])
            else:
                dead.append(name)
        await window.sleep_until(window.ends_at)
        await self._start(dead)
        if counts["replicas_dead"]:
            await self._call_discovery("add", count=counts["replicas_dead"])
        return counts

    def _churn_moments(self, window: FaultWindow) -> list[tuple[float, bool]]:
        """Returns when each machine stops, and whether it is replaced at once."""
        replaced = round(window.expected_events(REPLACEMENTS_PER_DAY))
        dead = max(1, round(window.expected_events(FAILURES_PER_DAY)))
        replacements = [True] * replaced + [False] * dead
        return sorted(
            (window.began + window.event.for_s * self.rng.random(), is_replaced) for is_replaced in replacements
        )

    async def _lose_rack(self, window: FaultWindow) -> Figures:
        size = self._fleet.size
        names = [spec.name for spec in self._fleet.dispatchers]
        lost = self.rng.sample(names, max(1, size.dispatchers // RACKS))
        return await self._lose_machines(window, lost, count=max(1, size.replicas // RACKS))

    async def _lose_zone(self, window: FaultWindow) -> Figures:
        lost = [spec.name for spec in self._fleet.dispatchers if spec.zone == 0]
        return await self._lose_machines(window, lost, zone=zone_names(self._fleet.scale)[0])

    async def _lose_machines(self, window: FaultWindow, dispatchers: list[str], **replicas: Any) -> Figures:
        """Kill these dispatchers and some replicas until the end of the fault.

        `replicas` are the arguments of discovery's command "die", which select the replicas.
        """
        lease_s = min(LEASE_S, window.event.for_s / 2)
        await self._stop(dispatchers, gracefully=False)
        dead = (await self._call_discovery("die", listed_s=lease_s, **replicas))["changed"]
        await window.sleep_until(window.ends_at)
        await self._start(dispatchers)
        zones = [replicas["zone"]] if "zone" in replicas else None
        for kind in ("reader", "writer"):
            count = sum(name.startswith(kind) for name in dead)
            await self._call_discovery("add", count=count, kind=kind, zones=zones)
        return {"dispatchers_gone": len(dispatchers), "replicas_gone": len(dead), "lease_s": lease_s}

    async def _cut_region(self, window: FaultWindow) -> Figures:
        """Cut off the dispatchers and aggregators of region 0 from those of all other regions, in both directions."""
        fleet = self._fleet
        regions = fleet.scale.regions
        inside, outside = self._addresses_by_side()
        await fleet.call_hosts("cut", far=[outside if region == 0 else inside for region in range(regions)])
        if fleet.relay:
            names = list(fleet.aggregator_addresses)
            fleet.relay.cut(
                [name for k, name in enumerate(names) if k % regions == 0],
                [name for k, name in enumerate(names) if k % regions != 0],
            )
        await window.sleep_until(window.ends_at)
        await fleet.call_hosts("cut", far=[[] for _ in range(regions)])
        if fleet.relay:
            fleet.relay.cut()
        return {}

    def _addresses_by_side(self) -> tuple[list[tuple[str, int]], list[tuple[str, int]]]:
        """Returns the addresses in region 0 and in all others. Aggregators are assigned to the regions in turn."""
        inside: list[tuple[str, int]] = []
        outside: list[tuple[str, int]] = []
        for spec in self._fleet.dispatchers:
            side = inside if spec.region == 0 else outside
            side.append(_parse_address(spec.listen))
        for k, address in enumerate(self._fleet.aggregator_addresses.values()):
            side = inside if k % self._fleet.scale.regions == 0 else outside
            side.append(_parse_address(address))
        return inside, outside

    async def _lose_aggregators(self, window: FaultWindow) -> Figures:
        count = AGGREGATORS_LOST[window.event.fault]
        lost = self._fleet.aggregators[:count]
        for aggregator in lost:
            aggregator.kill()
        await window.sleep_until(window.ends_at)
        await asyncio.gather(*(aggregator.start(AGGREGATOR_READY) for aggregator in lost))
        return {}

    async def _raise_prefill_share(self, window: FaultWindow) -> Figures:
        """Increase the number of prefill replicas by half, in even steps. Each is a new replica with a new address."""
        count = round(self._fleet.size.replicas * self._fleet.scale.prefill_share / 2)
        steps = max(1, min(count, int(window.event.for_s)))
        converted = 0
        for k in range(steps):
            await window.sleep_until_fraction(k / steps)
            missing = count * (k + 1) // steps - converted
            converted += len((await self._call_discovery("turn", count=missing, kind="reader"))["changed"])
        await window.sleep_until(window.ends_at)
        return {"turned": converted}

    async def _change_settings(self, window: FaultWindow) -> Figures:
        """Change all dispatchers' settings at `factor` times the usual rate, then `burst` times without a pause."""
        burst = window.event.burst
        count = max(1, round(window.expected_events(SETTINGS_CHANGES_PER_DAY)))
        reload_cpu_s: list[float] = []
        distribution_s: list[float] = []
        for k in range(count + burst):
            if k < count:
                await window.sleep_until_fraction(k / count)
            began = time.monotonic()
            for host in await self._fleet.call_hosts("reload", text=self._changed_template()):
                reload_cpu_s += host["seconds"]
            distribution_s.append(time.monotonic() - began)
        await window.sleep_until(window.ends_at)
        mean_cpu_s = statistics.mean(reload_cpu_s)
        return {
            "changes": count,
            "burst": burst,
            "reload_cpu_ms": round(mean_cpu_s * 1000, 2),
            "reload_cpu_ms_worst": round(max(reload_cpu_s) * 1000, 2),
            "handed_by_the_run_to_all_s": round(max(distribution_s), 2),
            "cpu_cores_at_650_a_day": round(mean_cpu_s * SETTINGS_CHANGES_PER_DAY / DAY_S, 8),
        }

    def _changed_template(self) -> str:
        """Returns the template of the dispatchers' files with a value of `max_out` that was not used before."""
        self._revision += 1
        value = MAX_OUT_IN_FILE + 1 + self._revision
        return self._fleet.template.replace(f"max_out = {MAX_OUT_IN_FILE}", f"max_out = {value}", 1)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def rate_factor(event: FaultEventTable) -> float:
    """Returns how many times faster than in ordinary days the fault proceeds.

    An ordinary change of the fraction of prefill replicas takes a day.
    """
    return round(DAY_S / event.for_s, 1) if event.fault is FaultKind.PREFILL_SHARE else event.factor


async def run(
    events: list[FaultEventTable], fleet: RunningFleet, results: list[dict[str, Any]], print_line: PrintLine
) -> None:
    """Inject every fault in turn into a settled fleet. The result of each is added to `results` at its end."""
    injector = FaultInjector(fleet)
    await injector.find_hosts()
    watch = FleetWatch(fleet)
    for event in events:
        result = await _run_fault(event, fleet, injector, watch, print_line)
        results.append(result)
        worst_beat_ms = result["figures"]["worst_beat_ms"]
        print_line(
            f"          counts or sums wrong for {result['for_s']:.1f} s, worst tick delay {worst_beat_ms:.0f} ms"
        )


async def _run_fault(
    event: FaultEventTable, fleet: RunningFleet, injector: FaultInjector, watch: FleetWatch, print_line: PrintLine
) -> dict[str, Any]:
    """Sample the undisturbed fleet, inject one fault, and sample until the fleet should have recovered.

    Returns the fault's entry of the results file.
    """
    await watch.draw_replicas(injector.rng)
    await watch.sample_until(max(event.from_s, watch.elapsed() + SAMPLES_BEFORE * SAMPLE_INTERVAL_S))
    before = watch.samples[-SAMPLES_BEFORE:]
    first = len(watch.samples)
    began = watch.elapsed()
    window = FaultWindow(event, began, began + event.for_s, watch.elapsed)
    print_line(f"  {began:6.1f} s: {event.kind} for {event.for_s:.0f} s")
    # During a network partition, dispatchers on the other side are still counted.
    watch.expected_count = fleet.size.dispatchers if event.fault is FaultKind.REGION_CUT else None
    injection = asyncio.create_task(injector.inject(window))
    try:
        await watch.sample_until(window.ends_at)
        specific_figures = await injection
    finally:
        injection.cancel()
    await watch.sample_until(window.ends_at + event.settle_s)
    watch.expected_count = None
    return _result(event, fleet, fault_figures(before, watch.samples[first:]), specific_figures)


def _result(event: FaultEventTable, fleet: RunningFleet, figures: Figures, specific_figures: Figures) -> dict[str, Any]:
    description = DESCRIPTIONS[event.fault]
    return {
        "kind": event.kind,
        "factor": rate_factor(event),
        "lost": description.lost,
        "for_s": max(figures["count_wrong_s"], figures["sums_wrong_s"]),
        "carried_by": description.carried_by,
        "figures": {
            **figures,
            **specific_figures,
            "lasted_s": event.for_s,
            "way": fleet.size.exchange.value,
            "dispatchers": fleet.size.dispatchers,
            "replicas": fleet.size.replicas,
        },
    }
