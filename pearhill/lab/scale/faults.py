"""Troubles on a time line, in one fleet that lives through all of them: what goes wrong meanwhile, and for how long.

Once in `LOOK_S` every hollow dispatcher tells how many it counts, and some tell their sums at drawn replicas. A count
is right where it is the number of dispatchers that are there (in a cut: all of them). Sums are right where they are
within `SUMS_WITHIN` of what they were, against the true total, before the trouble: a digest never holds all.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

from pearhill.lab.scale.files import zone_names
from pearhill.lab.scale.fleet import AGGREGATOR_UP, RunningFleet
from pearhill.lab.scale.plan import FaultEventTable, FleetSize, ScaleTable

LOOK_S = 0.5
STREAMS_SEEN = 12_000  # dispatchers times replicas at which sums are looked at, about
BASE_LOOKS = 8  # before a trouble, for what the sums are without it
SUMS_WITHIN = 0.15
RACK = 60  # one in so many of everything stands in one rack
REPLACED_A_DAY, DEAD_A_DAY, SETTINGS_A_DAY, DAY_S = 470, 12, 650, 86_400
LEASE_S = 90.0  # after which the registry forgets a replica that says nothing

LOST = {
    "churn": "nothing: those replaced are counted short for as long as they are away",
    "rack": "the work of the dispatchers in it; its replicas stay listed until their lease is over",
    "zone": "the work of the zone's dispatchers; its replicas stay listed until their lease is over",
    "region_cut": "either side's word of the other's work",
    "aggregator_lost": "its members' sums, until they report to another",
    "aggregators_lost_2": "two thirds of the members' sums, until they report to the third",
    "readers_share": "nothing",
    "settings": "nothing; each reload stands in the way of what else the process does",
}
CARRIED = {
    "churn": "pearhill/eureka, pearhill/membership",
    "rack": "pearhill/eureka, pearhill/membership",
    "zone": "pearhill/eureka, pearhill/membership",
    "region_cut": "pearhill/membership",
    "aggregator_lost": "pearhill/membership/reporter.py",
    "aggregators_lost_2": "pearhill/membership/reporter.py",
    "readers_share": "pearhill/eureka",
    "settings": "missing: nothing carries a change to all; here the run itself hands it to each",
}


@dataclass(frozen=True, slots=True)
class Look:
    """Of one moment: seconds of the run, dispatchers that are there, the share of them that count right, their sums
    over the true total, bytes a second for each, its worst beat, the share whose list is whole."""

    at: float
    there: int
    right: float
    sums: float
    bytes_s: float
    late_ms: float
    listed: float


@dataclass
class Watch:
    """Looks at a fleet over and over. `counted`: what a right count is, where it is not those that are there."""

    fleet: RunningFleet
    engines: list[str]
    began: float
    counted: int | None = None
    looks: list[Look] = field(default_factory=list)
    _last: tuple[float, int] | None = None

    async def draw(self, rng: random.Random) -> None:
        """Other replicas, of those that are listed: the fewer dispatchers, the more replicas even out their draws."""
        assert self.fleet.discovery
        writers = [id for id in (await self.fleet.discovery.call("names"))["names"] if id.startswith("writer")]
        self.engines = rng.sample(writers, min(len(writers), max(40, STREAMS_SEEN // self.fleet.size.dispatchers)))

    async def look(self) -> None:
        told = await self.fleet.ask_all("look", engines=self.engines)
        counts = [c for host in told for c in host["counts"]]
        there = len(counts)
        own = sum(host["own"] for host in told)
        seen = [s for host in told for s in host["seen"]]
        total = sum(host["totals"].get(what, 0) for host in told for what in ("bytes_in", "bytes_out"))
        now = time.monotonic()
        # Danger: whoever was stopped took its counters along, and the total would go down.
        rate = max(0.0, (total - self._last[1]) / (now - self._last[0]) / max(1, there)) if self._last else 0.0
        self._last = now, total
        rows = (await self.fleet.discovery.call("counts"))["rows"] if self.fleet.discovery else 0
        listed = [n for host in told for n in host["listed"]]
        self.looks.append(
            Look(
                now - self.began,
                there,
                sum(c == (self.counted or there) for c in counts) / max(1, there),
                statistics.mean(seen) / own if own and seen else 1.0,
                rate,
                max(h["late_us"] for h in told) / 1000,
                sum(n == rows for n in listed) / max(1, there),
            )
        )

    async def until(self, at: float) -> None:
        while (now := time.monotonic() - self.began) < at:
            await asyncio.sleep(max(0.0, min(LOOK_S, at - now)))
            await self.look()


def wrong_for(looks: list[Look], wrong: Callable[[Look], bool]) -> float:
    """The longest time without a look at which it was right."""
    longest, since = 0.0, None
    for look in looks:
        if not wrong(look):
            since = None
        else:
            since = look.at if since is None else since
            longest = max(longest, look.at - since + LOOK_S)
    return round(longest, 2)


def figures(before: list[Look], during: list[Look]) -> dict[str, Any]:
    """What came of one trouble: `before` are looks at the quiet fleet."""
    base = statistics.median(look.sums for look in before) if before else 1.0
    count_wrong = wrong_for(during, lambda look: look.right < 1.0)
    sums_wrong = wrong_for(during, lambda look: abs(look.sums / base - 1) > SUMS_WITHIN if base else False)
    list_wrong = wrong_for(during, lambda look: look.listed < 1.0)
    last = during[-1]
    return {
        "count_wrong_s": count_wrong,
        "sums_wrong_s": sums_wrong,
        "list_wrong_s": list_wrong,
        "right_at_the_end": last.right == 1.0 and (not base or abs(last.sums / base - 1) <= SUMS_WITHIN),
        "least_share_right": round(min(look.right for look in during), 4),
        "sums_least": round(min(look.sums / base if base else 1.0 for look in during), 3),
        "sums_most": round(max(look.sums / base if base else 1.0 for look in during), 3),
        "worst_beat_ms": round(max(look.late_ms for look in during), 1),
        "worst_beat_before_ms": round(max((look.late_ms for look in before), default=0.0), 1),
        "bytes_peak_s": round(max(look.bytes_s for look in during), 1),
        "bytes_before_s": round(statistics.median([look.bytes_s for look in before] or [0.0]), 1),
    }


class Timeline:
    def __init__(self, fleet: RunningFleet, scale: ScaleTable) -> None:
        self.fleet, self.scale, self.rng = fleet, scale, random.Random(scale.seed)
        self.host_of = dict[str, int]()
        self.down = set[str]()
        self.revision = 0
        self.extra: dict[str, Any] = {}

    async def find_hosts(self) -> None:
        for k, told in enumerate(await self.fleet.ask_all("look", engines=[])):
            self.host_of.update(dict.fromkeys(told["names"], k))

    async def stop(self, names: list[str], gracefully: bool) -> None:
        async def one(k: int) -> None:
            if mine := [name for name in names if self.host_of[name] == k]:
                await self.fleet.hosts[k].call("stop", names=mine, gracefully=gracefully)

        await asyncio.gather(*map(one, range(len(self.fleet.hosts))))
        self.down |= set(names)

    async def start(self, names: list[str]) -> None:
        async def one(k: int) -> None:
            places = [asdict(p) for p in self.fleet.places if p.name in names and self.host_of[p.name] == k]
            if places:
                await self.fleet.hosts[k].call("start", places=places)

        await asyncio.gather(*map(one, range(len(self.fleet.hosts))))
        self.down -= set(names)

    async def _discovery(self, order: str, **told: Any) -> dict[str, Any]:
        assert self.fleet.discovery
        return await self.fleet.discovery.call(order, **told)

    async def play(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        """From its begin to its end; what follows from it is undone there."""
        self.extra = {}
        await getattr(self, f"_{event.kind}")(event, end, now)

    async def _sleep_until(self, at: float, now: Callable[[], float]) -> None:
        await asyncio.sleep(max(0.0, at - now()))

    async def _churn(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        """Machines of both kinds by their number: each replaced one is back at once, each dead one when it ends."""
        size, began = self.fleet.size, now()
        machines = size.dispatchers + size.replicas
        replaced, dead = (n * event.factor / DAY_S * event.for_s for n in (REPLACED_A_DAY, DEAD_A_DAY))
        moments = sorted(
            [(began + event.for_s * self.rng.random(), True) for _ in range(round(replaced))]
            + [(began + event.for_s * self.rng.random(), False) for _ in range(max(1, round(dead)))]
        )
        died = list[str]()
        done = {"replicas_replaced": 0, "dispatchers_replaced": 0, "replicas_dead": 0, "dispatchers_dead": 0}
        for at, comes_back in moments:
            await self._sleep_until(min(at, end), now)
            what = "dispatchers" if self.rng.random() < size.dispatchers / machines else "replicas"
            done[f"{what}_{'replaced' if comes_back else 'dead'}"] += 1
            if what == "replicas":
                await self._discovery("replace" if comes_back else "die", count=1, listed_s=LEASE_S / event.factor)
                continue
            there = [p.name for p in self.fleet.places if p.name not in self.down]
            name = self.rng.choice(there)
            await self.stop([name], gracefully=comes_back)
            if comes_back:
                await self.start([name])
            else:
                died.append(name)
        await self._sleep_until(end, now)
        await self.start(died)
        if done["replicas_dead"]:
            await self._discovery("add", count=done["replicas_dead"])
        self.extra = done

    async def _gone(
        self, event: FaultEventTable, end: float, now: Callable[[], float], names: list[str], **replicas: Any
    ) -> None:
        await self.stop(names, gracefully=False)
        died = (await self._discovery("die", listed_s=min(LEASE_S, event.for_s / 2), **replicas))["changed"]
        self.extra = {
            "dispatchers_gone": len(names),
            "replicas_gone": len(died),
            "lease_s": min(LEASE_S, event.for_s / 2),
        }
        await self._sleep_until(end, now)
        await self.start(names)
        for kind in ("reader", "writer"):
            count = sum(id.startswith(kind) for id in died)
            await self._discovery(
                "add", count=count, kind=kind, zones=[replicas["zone"]] if "zone" in replicas else None
            )

    async def _rack(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        size = self.fleet.size
        names = self.rng.sample([p.name for p in self.fleet.places], max(1, size.dispatchers // RACK))
        await self._gone(event, end, now, names, count=max(1, size.replicas // RACK))

    async def _zone(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        await self._gone(
            event, end, now, [p.name for p in self.fleet.places if p.zone == 0], zone=zone_names(self.scale)[0]
        )

    async def _region_cut(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        """Region 0 hears nothing of the others, nor they of it."""

        def address(text: str) -> tuple[str, int]:
            host, _, port = text.rpartition(":")
            return host, int(port)

        fleet, regions = self.fleet, self.scale.regions
        sides: list[list[tuple[str, int]]] = [[], []]
        for place in fleet.places:
            sides[place.region > 0].append(address(place.listen))
        for k, site in enumerate(fleet.sites.values()):
            sides[k % regions > 0].append(address(site))
        await fleet.ask_all("cut", far=[sides[1 if region == 0 else 0] for region in range(regions)])
        if fleet.relay:
            names = list(fleet.sites)
            fleet.relay.cut(
                [n for k, n in enumerate(names) if k % regions == 0], [n for k, n in enumerate(names) if k % regions]
            )
        await self._sleep_until(end, now)
        await fleet.ask_all("cut", far=[[] for _ in range(regions)])
        if fleet.relay:
            fleet.relay.cut()

    async def _lose(self, count: int, end: float, now: Callable[[], float]) -> None:
        lost = self.fleet.aggregators[:count]
        for daemon in lost:
            daemon.kill()
        await self._sleep_until(end, now)
        await asyncio.gather(*(daemon.start(AGGREGATOR_UP) for daemon in lost))

    async def _aggregator_lost(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        await self._lose(1, end, now)

    async def _aggregators_lost_2(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        await self._lose(2, end, now)

    async def _readers_share(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        """Half as many readers again as there were, in even steps; each is another replica at another address."""
        count = round(self.fleet.size.replicas * self.scale.prefill_share / 2)
        steps, began, turned = max(1, min(count, int(event.for_s))), now(), 0
        for k in range(steps):
            await self._sleep_until(began + event.for_s * k / steps, now)
            part = count * (k + 1) // steps - turned
            turned += len((await self._discovery("turn", count=part, kind="reader"))["changed"])
        await self._sleep_until(end, now)
        self.extra = {"turned": turned}

    async def _settings(self, event: FaultEventTable, end: float, now: Callable[[], float]) -> None:
        """So many changes as that many ordinary days' share of the time holds, then the burst, each at every one."""
        count, began = max(1, round(SETTINGS_A_DAY * event.factor / DAY_S * event.for_s)), now()
        spent, in_force = list[float](), list[float]()
        for k in range(count + event.burst):
            if k < count:
                await self._sleep_until(began + event.for_s * k / count, now)
            self.revision += 1
            text = self.fleet.text.replace("max_out = 800", f"max_out = {801 + self.revision}", 1)
            asked = time.monotonic()
            for told in await self.fleet.ask_all("reload", text=text):
                spent += told["seconds"]
            in_force.append(time.monotonic() - asked)
        await self._sleep_until(end, now)
        self.extra = {
            "changes": count,
            "burst": event.burst,
            "reload_cpu_ms": round(statistics.mean(spent) * 1000, 2),
            "reload_cpu_ms_worst": round(max(spent) * 1000, 2),
            "handed_by_the_run_to_all_s": round(max(in_force), 2),
            "cpu_cores_at_650_a_day": round(statistics.mean(spent) * SETTINGS_A_DAY / DAY_S, 8),
        }


def factor(event: FaultEventTable) -> float:
    """How many times faster than on an ordinary day. A move of the readers' share takes a day."""
    return round(DAY_S / event.for_s, 1) if event.kind == "readers_share" else event.factor


async def run(
    events: list[FaultEventTable],
    size: FleetSize,
    fleet: RunningFleet,
    scale: ScaleTable,
    told: Callable[[str], None],
    made: list[dict[str, Any]],
) -> None:
    """Every event in its turn, in a fleet that has settled; what came of each goes to `made` once it is over."""
    line = Timeline(fleet, scale)
    await line.find_hosts()
    watch = Watch(fleet, [], time.monotonic())
    for event in events:
        await watch.draw(line.rng)
        await watch.until(max(event.from_s, time.monotonic() - watch.began + BASE_LOOKS * LOOK_S))
        before, first = watch.looks[-BASE_LOOKS:], len(watch.looks)
        began = time.monotonic() - watch.began
        end = began + event.for_s
        told(f"  {began:6.1f} s: {event.kind} for {event.for_s:.0f} s")
        watch.counted = size.dispatchers if event.kind == "region_cut" else None
        playing = asyncio.create_task(line.play(event, end, lambda: time.monotonic() - watch.began))
        try:
            await watch.until(end)
            await playing
        finally:
            playing.cancel()
        await watch.until(end + event.settle_s)
        watch.counted = None
        came = figures(before, watch.looks[first:])
        for_s = max(came["count_wrong_s"], came["sums_wrong_s"])
        made.append(
            {
                "kind": event.kind,
                "factor": factor(event),
                "lost": LOST[event.kind],
                "for_s": for_s,
                "carried_by": CARRIED[event.kind],
                "figures": {
                    **came,
                    **line.extra,
                    "lasted_s": event.for_s,
                    "way": size.exchange,
                    "dispatchers": size.dispatchers,
                    "replicas": size.replicas,
                },
            }
        )
        told(f"          counts or sums wrong for {for_s:.1f} s, worst beat {came['worst_beat_ms']:.0f} ms late")
