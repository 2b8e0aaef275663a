"""Runs many real dispatchers in front of stand-in replicas through a plan of faults.

The result states the share of requests served and how evenly the work was spread over the replicas.
"""

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
from pearhill.lab.run import BusySpans, operator_file, running_replicas
from pearhill.lab.scenario import FleetFault, FleetTable, Scenario
from pearhill.load_reports.evenness import evenness

START_TIMEOUT_S = 120.0  # of one dispatcher
POLL_INTERVAL_S = 0.05
WINDOW_S = 1.0  # over which work and served requests are summed
MAX_LATE_S = WINDOW_S / 2  # lateness of the load tool itself beyond which the result is invalid


class NotStartedError(Exception):
    """A dispatcher did not start; the message names it and gives its last log line."""


@dataclass(frozen=True, slots=True)
class FleetResult:
    """The result of a run.

    `peaks`: peak over mean of work by replica, and `served`: share of requests served, by second of the plan; `idle_s`:
    the longest time for which each replica had no work; `cpu_limit_note`: a warning if the machine was too slow.
    """

    rows: list[load.Row]
    peaks: list[float]
    served: list[float]
    idle_s: list[float]
    replicas: int
    cpu_limit_note: str

    def summary(self, warm_s: float) -> str:
        """Returns three lines about the requests that were planned after the first `warm_s` seconds."""
        peaks = self.peaks[int(warm_s) :]
        rows = [row for row in self.rows if row.planned_s >= warm_s]
        share = {
            outcome: sum(row.outcome == outcome for row in rows) / max(1, len(rows))
            for outcome in (load.SERVED, load.REFUSED, load.FAILED)
        }
        late_p99_s = statistics.quantiles([row.late_s for row in rows], n=100)[-1] if len(rows) > 1 else 0.0
        return (
            f"{len(rows)} requests: served {share[load.SERVED]:.1%}, refused {share[load.REFUSED]:.1%}, "
            f"failed {share[load.FAILED]:.1%}\n"
            f"peak over mean of work by replica in 1 s: mean {statistics.mean(peaks):.3f}, worst {max(peaks):.3f}\n"
            f"longest idle of {self.replicas} replicas: {max(self.idle_s):.1f} s; "
            f"load tool late p99: {late_p99_s * 1000:.0f} ms{self.cpu_limit_note}"
        )


class DispatcherProcesses:
    """The dispatchers' processes, and the relay between them if they gossip.

    Their logs are written to files in `folder`: pipes of hundreds of processes would have to be read continuously.
    `text` is the content of the operator's file for all of them. `close` ends the processes.
    """

    def __init__(self, fleet: FleetTable, folder: pathlib.Path, text: str, seed: int) -> None:
        self.fleet, self.folder, self.text = fleet, folder, text
        self.names = [f"d{k}" for k in range(fleet.dispatchers)]
        self.relay = Relay(self.names, seed) if fleet.talk else None
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.fronts: dict[str, load.Front] = {}
        (folder / "key").write_text(new_key())

    async def start_all(self) -> None:
        """Start all dispatchers, `starts_at_once` at a time. Raises NotStartedError if one of them does not start."""
        start_limit = asyncio.Semaphore(self.fleet.starts_at_once)

        async def start_in_turn(name: str) -> None:
            async with start_limit:
                await self.start(name)

        await asyncio.gather(*map(start_in_turn, self.names))

    async def start(self, name: str) -> None:
        """Start one dispatcher and wait until it listens. Raises NotStartedError if it exits or is too slow."""
        log = self.folder / f"{name}.log"
        with log.open("wb") as file:
            self.processes[name] = process = subprocess.Popen(
                [sys.executable, "-m", "pearhill", "--chat", str(self._operator_file(name))], stderr=file
            )
        end = time.monotonic() + START_TIMEOUT_S
        while not (front := re.search(r"chat front listens on ([\d.]+):(\d+)", lines := log.read_text())):
            if process.poll() is not None or time.monotonic() > end:
                raise NotStartedError(f"dispatcher {name}: {(lines.splitlines() or ['no log output'])[-1]}")
            await asyncio.sleep(POLL_INTERVAL_S)
        self.fronts[name] = front[1], int(front[2])
        if self.relay and (gossip := re.search(r"uses UDP address ([\d.]+):(\d+)", lines)):
            self.relay.register(name, gossip[1], int(gossip[2]))

    def _operator_file(self, name: str) -> pathlib.Path:
        text = self.text
        if self.relay:
            text += f'\n[fleet]\nname = "{name}"\nlisten = "127.0.0.1:0"\nkey_files = ["{self.folder / "key"}"]\n'
            text += "".join(f'[[fleet.peer]]\nname = "{p}"\naddress = "{self.relay.address(p)}"\n' for p in self.names)
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    def begin_fault(self, fault: FleetFault) -> None:
        """Inject a fault."""
        names = self._affected(fault)
        if fault.kind == "stall":
            self._signal(names, signal.SIGSTOP)
        elif fault.kind == "crash":
            self._signal(names, signal.SIGKILL)
        elif self.relay and fault.kind == "cut":
            self.relay.cut(names, [name for name in self.names if name not in names])
        elif self.relay:
            _impair(self.relay, fault.kind, fault.share, fault.delay_s)

    async def end_fault(self, fault: FleetFault) -> None:
        """End a fault, and start crashed dispatchers again. Raises NotStartedError if one of them does not start."""
        names = self._affected(fault)
        if fault.kind == "stall":
            self._signal(names, signal.SIGCONT)
        elif fault.kind == "crash":
            for name in names:
                self.processes[name].wait()
            await asyncio.gather(*map(self.start, names))
        elif self.relay and fault.kind == "cut":
            self.relay.cut()
        elif self.relay:
            _impair(self.relay, fault.kind, share=0.0, delay_s=0.0)

    def _affected(self, fault: FleetFault) -> list[str]:
        return [self.names[number] for number in fault.who]

    def _signal(self, names: list[str], number: signal.Signals) -> None:
        for name in names:
            self.processes[name].send_signal(number)

    def close(self) -> None:
        """Kill all processes, including stopped ones, and wait until they have exited."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        if self.relay:
            self.relay.close()


def _impair(relay: Relay, kind: str, share: float, delay_s: float) -> None:
    """Set the relay's loss, duplication or delay of all datagrams, for a fault of kind `loss`, `double` or `delay`."""
    if kind == "loss":
        relay.drop = share
    elif kind == "double":
        relay.double = share
    elif kind == "delay":
        relay.delay_s = delay_s


async def _run_faults(dispatchers: DispatcherProcesses, began: float, report_line: Callable[[str], None]) -> None:
    """Begin and end the plan's faults at their times; `began`: the load's start by the monotonic clock."""
    faults = dispatchers.fleet.fault
    begins = [(fault.from_s, 0, k) for k, fault in enumerate(faults)]
    ends = [(fault.to_s, 1, k) for k, fault in enumerate(faults)]
    for at, is_end, k in sorted(begins + ends):
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        fault = faults[k]
        report_line(f"{at:6.1f} s: {fault.kind} {'ends' if is_end else 'begins'} {fault.who or ''}")
        if is_end:
            await dispatchers.end_fault(fault)
        else:
            dispatchers.begin_fault(fault)


async def run(scenario: Scenario, report_line: Callable[[str], None] = lambda line: None) -> FleetResult:
    """Start replicas and dispatchers, send the load through the plan of faults, and evaluate it.

    `report_line` is called with lines of progress. Raises NotStartedError if a dispatcher does not start, ValueError if
    the scenario has no fleet.
    """
    fleet, lab = scenario.fleet, scenario.lab
    if fleet is None:
        raise ValueError("fleet: found nothing; allowed: a table with the count of dispatchers")
    keys = {tenant.name: new_key() for tenant in scenario.tenant}
    work: list[BusySpans] = []
    with tempfile.TemporaryDirectory() as folder:
        async with running_replicas(scenario, work) as addresses:
            text = operator_file(scenario, addresses, keys)
            dispatchers = DispatcherProcesses(fleet, pathlib.Path(folder), text, lab.seed)
            try:
                await dispatchers.start_all()
                report_line(f"{fleet.dispatchers} dispatchers, {len(addresses)} replicas, seed {lab.seed}")
                rows, began = await _run_load(scenario, fleet, dispatchers, keys, report_line)
            finally:
                dispatchers.close()
    return evaluate(rows, work, began, lab.seconds)


async def _run_load(
    scenario: Scenario,
    fleet: FleetTable,
    dispatchers: DispatcherProcesses,
    keys: dict[str, str],
    report_line: Callable[[str], None],
) -> tuple[list[load.Row], float]:
    """Send the load, and return its rows and its start by the monotonic clock. Faults are timed from that start."""
    rng = random.Random(scenario.lab.seed)
    weights = [fleet.heavy if k % fleet.heavy_every == 0 else 1.0 for k in range(fleet.dispatchers)]
    began = 0.0
    faults: asyncio.Task[None] | None = None

    def start_faults(at: float) -> None:
        nonlocal began, faults
        began = at
        faults = asyncio.create_task(_run_faults(dispatchers, at, report_line))

    rows = await load.run(
        scenario,
        lambda: dispatchers.fronts[rng.choices(dispatchers.names, weights)[0]],
        keys,
        lambda done, total: None,
        start_faults,
    )
    if faults:
        await faults
    return rows, began


def evaluate(rows: list[load.Row], work: list[BusySpans], began: float, seconds: float) -> FleetResult:
    """Returns the figures of a run.

    `work`: the requests' spans at each replica; the work of a second is the time that requests spent there within it.
    `began`: the load's start, by the clock of `work`.
    """
    windows = int(seconds // WINDOW_S)
    peaks = [
        evenness({str(k): busy_s for k, busy_s in enumerate(window)}).peak
        for window in _work_by_window(work, began, windows)
    ]
    late_s = max((row.late_s for row in rows), default=0.0)
    return FleetResult(
        rows=rows,
        peaks=peaks,
        served=[_served_share(rows, window) for window in range(windows)],
        idle_s=[_longest_idle_s(spans, began, seconds) for spans in work],
        replicas=len(work),
        cpu_limit_note=("; the machine was too slow for this load: figures invalid" if late_s > MAX_LATE_S else ""),
    )


def _work_by_window(work: list[BusySpans], began: float, windows: int) -> list[list[float]]:
    """Returns the seconds that requests spent at each replica, by window."""
    spent = [[0.0] * len(work) for _ in range(windows)]
    for k, spans in enumerate(work):
        for begin, end in sorted(spans):
            for w in range(max(0, int(begin - began)), min(windows - 1, int(end - began)) + 1):
                spent[w][k] += max(0.0, min(end - began, w + 1) - max(begin - began, w))
    return spent


def _longest_idle_s(spans: BusySpans, began: float, seconds: float) -> float:
    """Returns the longest time within the load in which a replica had no request."""
    longest_s, busy_until = 0.0, began
    for begin, end in sorted(spans):
        if begin < began + seconds:
            longest_s = max(longest_s, begin - busy_until)
            busy_until = max(busy_until, end)
    return max(longest_s, began + seconds - busy_until)


def _served_share(rows: list[load.Row], window: int) -> float:
    """Returns the served share of the requests that were planned in a window, or 1 if there were none."""
    served = [row.outcome == load.SERVED for row in rows if window <= row.planned_s < window + 1]
    return sum(served) / len(served) if served else 1.0
