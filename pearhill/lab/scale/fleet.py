"""One fleet, brought up: discovery with its replicas, control machines, hollow dispatchers and real ones."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import re
import statistics
import subprocess
import sys
import time
import urllib.request
from array import array
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from pearhill.chat.keys import new_key
from pearhill.lab.relay import Relay
from pearhill.lab.scale import files, observe
from pearhill.lab.scale.child import Child, ProcessFailedError, last_line
from pearhill.lab.scale.files import LOOPBACK, DispatcherSpec, file_of
from pearhill.lab.scale.measure import MAX_LATE_P99_US, ProcessUsage, encode_histogram, percentiles_ms, slope, usage_of
from pearhill.lab.scale.plan import FleetSize, ScaleTable
from pearhill.load_reports.evenness import evenness

UP_WITHIN_S, LOOK_S = 60.0, 0.25
STARTS_AT_ONCE = 4
SETTLE_S = 60.0  # beyond the warm-up, for every dispatcher to count them all
AGGREGATOR_UP = r"aggregator \S+ listens on"
CLI = ("-c", "from pearhill.cli.main import main; main()")
Told = Callable[[str], None]


class Daemon:
    """A real process: a dispatcher before clients, or a control machine."""

    def __init__(self, name: str, folder: pathlib.Path, arguments: tuple[str, ...]) -> None:
        self.name, self.log, self.arguments = name, folder / f"{name}.log", arguments
        self.process: subprocess.Popen[bytes] | None = None
        self.door = self.front = ""
        self.talks: tuple[str, int] | None = None

    @property
    def pid(self) -> int:
        assert self.process
        return self.process.pid

    async def start(self, ready: str) -> None:
        """`ready`: what its log says once it is up. Failed: it is not."""
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments], stderr=log, stdout=log, start_new_session=True
            )
        end = time.monotonic() + UP_WITHIN_S
        while not re.search(ready, told := self.log.read_text(errors="replace")):
            if self.process.poll() is not None or time.monotonic() > end:
                raise ProcessFailedError(f"{self.name} did not come up: {last_line(self.log) or 'it said nothing'}")
            await asyncio.sleep(LOOK_S / 5)
        for what, attribute in (("operators are heard", "door"), ("front listens", "front")):
            if found := re.search(rf"{what} on ([\d.]+:\d+)", told):
                setattr(self, attribute, found[1])

    async def ask(self, path: str) -> dict[str, Any]:
        def call() -> dict[str, Any]:
            with urllib.request.urlopen(f"http://{self.door}{path}", timeout=10) as answer:
                told: dict[str, Any] = json.loads(answer.read())
                return told

        try:
            return await asyncio.to_thread(call)
        except (OSError, ValueError) as e:
            raise ProcessFailedError(f"{self.name}: {path}: {e}") from None

    def kill(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class Snapshot:
    """What real processes have had so far: processor time, memory, datagrams."""

    def __init__(self, at: float, processes: list[ProcessUsage], counts: Counter[str]) -> None:
        self.at, self.processes, self.counts = at, processes, counts


class RunningFleet:
    """Use it as a context: at the end, and on any error, its processes are gone."""

    def __init__(
        self,
        size: FleetSize,
        scale: ScaleTable,
        folder: pathlib.Path,
        told: Told,
        cuttable: bool = False,
    ) -> None:
        self.size, self.scale, self.folder, self.told, self.cuttable = size, scale, folder, told, cuttable
        self.discovery: Child | None = None
        self.hosts: list[Child] = []
        self.real: list[Daemon] = []
        self.aggregators: list[Daemon] = []
        self.sites: dict[str, str] = {}  # control machines: where each listens
        self.relay: Relay | None = None
        self.places: list[DispatcherSpec] = []
        self.text = ""

    async def __aenter__(self) -> RunningFleet:
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *why: object) -> None:
        await self.close()

    @property
    def processes(self) -> int:
        return len(self.pids()) + 1

    def pids(self) -> list[int]:
        children = [*self.hosts, *([self.discovery] if self.discovery else [])]
        return [c.pid for c in children] + [d.pid for d in (*self.real, *self.aggregators) if d.process]

    async def _start(self) -> None:
        size, scale = self.size, self.scale
        key = self.folder / "key"
        if not key.exists():
            key.write_text(new_key())
        self.discovery = await Child.start("discovery", "pearhill.lab.scale.discovery", self.folder)
        opened = await self.discovery.call(
            "open", replicas=size.replicas, readers=scale.prefill_share, seed=scale.seed, zones=files.zone_names(scale)
        )
        self.places = files.dispatcher_specs(scale, size.dispatchers)
        self.sites = {f"a{k}": f"{LOOPBACK}:{port}" for k, port in enumerate(files.free_ports(size.aggregators))}
        self.text = files.file_template(scale, size.exchange, self.places, self.sites, opened["address"], str(key))
        await self._start_aggregators(str(key))
        readers = round(size.replicas * scale.prefill_share)
        common = {
            "text": self.text,
            "work": size.workload,
            "seed": scale.seed,
            "rate_per_s": size.rate_per_s,
            "streams": scale.streams,
            "spread_s": float(scale.fetch_s),
            "readers": readers,
            "writers": size.replicas - readers,
        }
        shares = [*size.hosts(scale.per_process), *[1] * size.alone]
        self.hosts = list(
            await asyncio.gather(
                *(Child.start(f"host{k}", "pearhill.lab.scale.hollow", self.folder) for k in range(len(shares)))
            )
        )
        starts, first = [], 0
        for host, share in zip(self.hosts, shares, strict=True):
            starts.append(host.call("open", places=[asdict(p) for p in self.places[first : first + share]], **common))
            first += share
        await asyncio.gather(*starts, self._start_real(self.places[first:]))

    async def _start_aggregators(self, key: str) -> None:
        peers = self.sites
        if self.cuttable and self.sites:
            self.relay = Relay(list(self.sites), self.scale.seed)
            for name, address in self.sites.items():
                host, _, port = address.rpartition(":")
                self.relay.place(name, host, int(port))
            peers = {name: self.relay.address(name) for name in self.sites}
        for name, address in self.sites.items():
            path = self.folder / f"{name}.toml"
            path.write_text(files.aggregator_file(name, address, peers, key))
            self.aggregators.append(Daemon(name, self.folder, (*CLI, "aggregator", str(path))))
        await asyncio.gather(*(a.start(AGGREGATOR_UP) for a in self.aggregators))

    async def _start_real(self, places: list[DispatcherSpec]) -> None:
        gate = asyncio.Semaphore(STARTS_AT_ONCE)

        async def one(place: DispatcherSpec) -> None:
            async with gate:
                self.real.append(await self.dispatcher(place.name, file_of(place, self.text)))

        await asyncio.gather(*map(one, places))

    async def dispatcher(self, name: str, text: str) -> Daemon:
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        daemon = Daemon(name, self.folder, ("-m", "pearhill", "--chat", str(path)))
        try:
            await daemon.start("chat front listens")
        except BaseException:
            daemon.kill()
            raise
        return daemon

    async def ask_all(self, order: str, **told: Any) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(host.call(order, **told) for host in self.hosts)))

    async def settle(self) -> bool:
        """Wait for the warm-up, and until each hollow dispatcher counts them all. False: some still don't."""
        began = time.monotonic()
        await asyncio.sleep(self.scale.warm_s)
        while time.monotonic() < began + self.scale.warm_s + SETTLE_S:
            looked = await self.ask_all("look", engines=[])
            counts = [c for told in looked for c in told["counts"] if self.size.exchange != "own"]
            if all(c == self.size.dispatchers for c in counts) and all(
                n == self.size.replicas for told in looked for n in told["listed"]
            ):
                return True
            await asyncio.sleep(1.0)
        return False

    async def snapshot(self, daemons: list[Daemon], last: bool = False) -> Snapshot:
        """`last`: of two. What it costs them to answer at the door is not to stand between the two."""
        first = [usage_of(d.pid) for d in daemons] if last else []
        at, counts = time.monotonic(), Counter[str]()
        for told in await asyncio.gather(*(d.ask("/ops/fleet") for d in daemons)):
            counts.update(observe.messages_and_bytes(told["datagrams"]))
        return Snapshot(at if last else time.monotonic(), first or [usage_of(d.pid) for d in daemons], counts)

    async def measure(self) -> dict[str, Any]:
        """One window. The point of the hollow ones, and of the real ones where there are any, in the results' form;
        `alone`: of the hollow ones that have a process each."""
        assert self.discovery
        size = self.size
        real, machines = await self.snapshot(self.real), await self.snapshot(self.aggregators)
        before = await self.discovery.call("counts")
        # Requests through the Router have work at every writer, and leave none to a mark.
        await self.ask_all("begin", marker="" if size.workload == "router" else self.places[0].name)
        await self.discovery.call("replace", count=1)  # a change whose age is seen as each dispatcher comes to fetch it
        await asyncio.sleep(self.scale.seconds)
        hosts, after = await self.ask_all("end"), await self.discovery.call("counts")
        read_at: list[int] = next((told["read_at"] for told in hosts if told["read_at"]), [])
        ages = observe.mark_ages(read_at, [mark for told in hosts for mark in told["marks"]], size.exchange == "talk")
        alone, hosts = hosts[len(hosts) - size.alone :], hosts[: len(hosts) - size.alone]
        machines_after = await self.snapshot(self.aggregators, last=True)
        real_after = await self.snapshot(self.real, last=True)
        late = percentiles_ms(told["late"] for told in hosts)
        busy = late is None or late["p99"] * 1000 > MAX_LATE_P99_US
        if busy:
            self.told(
                "    the machine was too busy for this to be read: own beats late, " f"p99 {late and late['p99']} ms"
            )
        seconds = after["at"] - before["at"]
        calls = Counter(after["counts"]) - Counter(before["counts"])
        common = {
            "way": size.exchange,
            "work": size.workload,
            "dispatchers": size.dispatchers,
            "replicas": size.replicas,
            "aggregators": size.aggregators,
            "seconds": round(self.scale.seconds, 1),
            "rate_per_dispatcher": size.rate_per_s if size.workload == "router" else 0.0,
            "processes": self.processes,
            "busy": busy,
        }
        aggregator = rates(machines, machines_after) if self.aggregators else None
        discovery = {
            "calls_s": round(calls["calls"] / seconds, 3),
            "bytes_s": round((calls["bytes_in"] + calls["bytes_out"]) / seconds, 1),
        }
        made: dict[str, Any] = {
            "hollow": {
                **common,
                "kind": "hollow",
                "dispatcher": hollow_figures(hosts),
                "aggregator": aggregator,
                "discovery": discovery,
                "list_age_ms": percentiles_ms(told["lists"] for told in hosts),
            }
        }
        made["hollow"]["dispatcher"]["news_age_ms"] = percentiles_ms([encode_histogram(array("q", ages))])
        if size.workload == "router":
            made["evenness"] = evenness_of(hosts)
        if alone:
            made["alone"] = {"dispatcher": hollow_figures(alone)}
        if self.real:
            figures = {**rates(real, real_after), "beat_late_ms": None, "news_age_ms": None}
            made["real"] = {
                **common,
                "kind": "real",
                "dispatcher": figures,
                "aggregator": aggregator,
                "discovery": None,
                "list_age_ms": None,
            }
        return made

    async def close(self) -> None:
        for daemon in (*self.real, *self.aggregators):
            daemon.kill()
        children = [*self.hosts, *([self.discovery] if self.discovery else [])]
        await asyncio.gather(*(c.close() for c in children), return_exceptions=True)
        if self.relay:
            self.relay.close()
        with contextlib.suppress(OSError):
            for log in self.folder.glob("*.log"):
                log.unlink()


def hollow_figures(hosts: list[dict[str, Any]]) -> dict[str, Any]:
    """For one dispatcher. The thread's time in the hollow ones' own ticks is taken off."""
    count = sum(told["count"] for told in hosts)
    seconds = statistics.mean(told["seconds"] for told in hosts)
    counts: Counter[str] = Counter()
    for told in hosts:
        counts.update(told["counts"])
    cpu = sum(told["cpu_s"] - told["own_s"] for told in hosts)
    memory = slope([told["count"] for told in hosts], [told["uss"] for told in hosts])
    return {
        "cpu_cores": round(cpu / seconds / count, 6),
        **{
            f"{what}_s": round(counts[what] / seconds / count, 2)
            for what in ("bytes_in", "bytes_out", "messages_in", "messages_out")
        },
        "memory_bytes": round(memory) if memory == memory else None,
        "beat_late_ms": percentiles_ms(told["late"] for told in hosts),
        "news_age_ms": None,
    }


def evenness_of(hosts: list[dict[str, Any]]) -> dict[str, Any]:
    """Peak over mean of all dispatchers' work by engine, in windows of a second, for writers and for readers; and what
    became of the requests since the fleet came up. The first and the last window are not whole."""
    roles: dict[str, str] = {}
    ended, windows = Counter[str](), dict[str, Counter[str]]()
    for told in hosts:
        roles.update(told["roles"])
        ended.update(told["ended"])
        for second, work in told["work"].items():
            windows.setdefault(second, Counter()).update(work)
    whole = [windows[second] for second in sorted(windows, key=int)[1:-1]]
    made: dict[str, Any] = {"windows": len(whole), **{how: ended[how] for how in ("served", "refused", "failed")}}
    for role in ("writer", "reader"):
        names = [engine for engine, known in roles.items() if known == role]
        peaks = [evenness({name: float(work[name]) for name in names}).peak for work in whole]
        made[f"{role}s"] = {"mean": round(statistics.mean(peaks), 3), "worst": round(max(peaks), 3)} if peaks else None
    return made


def rates(before: Snapshot, after: Snapshot) -> dict[str, Any]:
    """For one process of several alike."""
    seconds, count = after.at - before.at, len(after.processes)
    cpu = sum(b.cpu_s - a.cpu_s for a, b in zip(before.processes, after.processes, strict=True))
    counts = after.counts - before.counts
    return {
        "cpu_cores": round(cpu / seconds / count, 6),
        **{
            f"{what}_s": round(counts[what] / seconds / count, 2)
            for what in ("bytes_in", "bytes_out", "messages_in", "messages_out")
        },
        "memory_bytes": round(statistics.mean(p.unshared_bytes for p in after.processes)),
    }
