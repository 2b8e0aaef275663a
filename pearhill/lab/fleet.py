"""Many real dispatchers before stand-in engines, on one time line of faults: how even the work was, who was served."""

from __future__ import annotations

import asyncio
import pathlib
import random
import re
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass

from pearhill.chat.keys import new_key
from pearhill.lab import load
from pearhill.lab.relay import Relay
from pearhill.lab.run import operator_file, running_replicas
from pearhill.lab.scenario import FleetFault, FleetTable, Scenario
from pearhill.load_reports.evenness import evenness

START_TIMEOUT_S, POLL_INTERVAL_S = 120.0, 0.05
WINDOW_S = 1.0


class NotStartedError(Exception):
    """A dispatcher did not come up; the text says which, and its last line."""


@dataclass(frozen=True, slots=True)
class FleetResult:
    """`peaks`: peak over mean of work by engine, and `served`: share of requests served, by second of the plan;
    `idle_s`: the longest that each engine had nothing."""

    rows: list[load.Row]
    peaks: list[float]
    served: list[float]
    idle_s: list[float]
    replicas: int
    cpu_limit_note: str

    def summary(self, warm_s: float) -> str:
        peaks, rows = self.peaks[int(warm_s) :], [r for r in self.rows if r.planned_s >= warm_s]
        share = {
            kind: sum(r.outcome == kind for r in rows) / max(1, len(rows))
            for kind in (load.SERVED, load.REFUSED, load.FAILED)
        }
        late = statistics.quantiles([r.late_s for r in rows], n=100)[-1] if len(rows) > 1 else 0.0
        return (
            f"{len(rows)} requests: served {share[load.SERVED]:.1%}, refused {share[load.REFUSED]:.1%}, "
            f"failed {share[load.FAILED]:.1%}\n"
            f"peak over mean of work by engine in 1 s: mean {statistics.mean(peaks):.3f}, worst {max(peaks):.3f}\n"
            f"longest idle of {self.replicas} engines: {max(self.idle_s):.1f} s; "
            f"load tool late p99: {late * 1000:.0f} ms{self.cpu_limit_note}"
        )


class DispatcherProcesses:
    """The processes. Their logs are files in `folder`: two hundred pipes would have to be read."""

    def __init__(self, fleet: FleetTable, folder: pathlib.Path, text: str, seed: int) -> None:
        self.fleet, self.folder, self.text = fleet, folder, text
        self.names = [f"d{k}" for k in range(fleet.dispatchers)]
        self.relay = Relay(self.names, seed) if fleet.talk else None
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fronts: dict[str, load.Front] = {}
        (folder / "key").write_text(new_key())

    def _file(self, name: str) -> pathlib.Path:
        text = self.text
        if self.relay:
            text += f'\n[fleet]\nname = "{name}"\nlisten = "127.0.0.1:0"\nkey_files = ["{self.folder / "key"}"]\n'
            text += "".join(f'[[fleet.peer]]\nname = "{p}"\naddress = "{self.relay.address(p)}"\n' for p in self.names)
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    async def start(self, name: str) -> None:
        log = self.folder / f"{name}.log"
        with log.open("wb") as file:
            self.processes[name] = process = subprocess.Popen(
                [sys.executable, "-m", "pearhill", "--chat", str(self._file(name))], stderr=file
            )
        end = time.monotonic() + START_TIMEOUT_S
        while not (found := re.search(r"chat front listens on ([\d.]+):(\d+)", told := log.read_text())):
            if process.poll() is not None or time.monotonic() > end:
                raise NotStartedError(f"dispatcher {name}: {(told.splitlines() or ['said nothing'])[-1]}")
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fronts[name] = found[1], int(found[2])
        if self.relay and (talks := re.search(r"talks on ([\d.]+):(\d+)", told)):
            self.relay.place(name, talks[1], int(talks[2]))

    async def start_all(self) -> None:
        gate = asyncio.Semaphore(self.fleet.starts_at_once)

        async def one(name: str) -> None:
            async with gate:
                await self.start(name)

        await asyncio.gather(*map(one, self.names))

    def begin_fault(self, fault: FleetFault) -> None:
        who = [self.names[n] for n in fault.who]
        for name in who if fault.kind in ("stall", "crash") else ():
            self.processes[name].send_signal(signal.SIGSTOP if fault.kind == "stall" else signal.SIGKILL)
        if relay := self.relay:
            relay.drop = fault.share if fault.kind == "loss" else relay.drop
            relay.double = fault.share if fault.kind == "double" else relay.double
            relay.delay_s = fault.delay_s if fault.kind == "delay" else relay.delay_s
            if fault.kind == "cut":
                relay.cut(who, [name for name in self.names if name not in who])

    async def end_fault(self, fault: FleetFault) -> None:
        who = [self.names[n] for n in fault.who]
        if fault.kind == "stall":
            for name in who:
                self.processes[name].send_signal(signal.SIGCONT)
        elif fault.kind == "crash":
            for name in who:
                self.processes[name].wait()
            await asyncio.gather(*map(self.start, who))
        elif self.relay:
            if fault.kind == "cut":
                self.relay.cut()
            self.relay.drop = 0.0 if fault.kind == "loss" else self.relay.drop
            self.relay.double = 0.0 if fault.kind == "double" else self.relay.double
            self.relay.delay_s = 0.0 if fault.kind == "delay" else self.relay.delay_s

    def close(self) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if self.relay:
            self.relay.close()


async def _run_faults(dispatchers: DispatcherProcesses, began: float, report_line: Callable[[str], None]) -> None:
    moments = sorted(
        [(f.from_s, 0, k) for k, f in enumerate(dispatchers.fleet.fault)]
        + [(f.to_s, 1, k) for k, f in enumerate(dispatchers.fleet.fault)]
    )
    for at, ends, k in moments:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        fault = dispatchers.fleet.fault[k]
        report_line(f"{at:6.1f} s: {fault.kind} {'ends' if ends else 'begins'} {fault.who or ''}")
        if ends:
            await dispatchers.end_fault(fault)
        else:
            dispatchers.begin_fault(fault)


async def run(scenario: Scenario, report_line: Callable[[str], None] = lambda line: None) -> FleetResult:
    """NotUp, ValueError: there is no such fleet, or it does not come up."""
    fleet, lab = scenario.fleet, scenario.lab
    if fleet is None:
        raise ValueError("fleet: found nothing; allowed: a table with the count of dispatchers")
    keys, work, began = {tenant.name: new_key() for tenant in scenario.tenant}, list[list[tuple[float, float]]](), 0.0
    rng = random.Random(lab.seed)
    with tempfile.TemporaryDirectory() as folder:
        async with running_replicas(scenario, work) as addresses:
            text = operator_file(scenario, addresses, keys)
            dispatchers = DispatcherProcesses(fleet, pathlib.Path(folder), text, lab.seed)
            timeline: asyncio.Task[None] | None = None

            def start(at: float) -> None:
                nonlocal began, timeline
                began, timeline = at, asyncio.create_task(_run_faults(dispatchers, at, report_line))

            weights = [fleet.heavy if k % fleet.heavy_every == 0 else 1.0 for k in range(fleet.dispatchers)]
            try:
                await dispatchers.start_all()
                report_line(f"{fleet.dispatchers} dispatchers, {len(addresses)} engines, seed {lab.seed}")
                rows = await load.run(
                    scenario,
                    lambda: dispatchers.fronts[rng.choices(dispatchers.names, weights)[0]],
                    keys,
                    lambda done, total: None,
                    start,
                )
                if timeline:
                    await timeline
            finally:
                dispatchers.close()
    return evaluate(rows, work, began, lab.seconds)


def evaluate(rows: list[load.Row], work: list[list[tuple[float, float]]], began: float, seconds: float) -> FleetResult:
    """Work by engine and second is the time that requests spent there."""
    count = int(seconds // WINDOW_S)
    area = [[0.0] * len(work) for _ in range(count)]
    idle = []
    for k, spans in enumerate(work):
        longest, busy_to = 0.0, began
        for a, b in sorted(spans):
            if a < began + seconds:
                longest, busy_to = max(longest, a - busy_to), max(busy_to, b)
            for w in range(max(0, int(a - began)), min(count - 1, int(b - began)) + 1):
                area[w][k] += max(0.0, min(b - began, w + 1) - max(a - began, w))
        idle.append(max(longest, began + seconds - busy_to))
    peaks = [evenness({str(k): v for k, v in enumerate(window)}).peak for window in area]
    served = []
    for w in range(count):
        mine = [r.outcome == load.SERVED for r in rows if w <= r.planned_s < w + 1]
        served.append(sum(mine) / len(mine) if mine else 1.0)
    late = max((r.late_s for r in rows), default=0.0)
    note = "; the machine was too small for this: read nothing from it" if late > WINDOW_S / 2 else ""
    return FleetResult(rows, peaks, served, idle, len(work), note)
