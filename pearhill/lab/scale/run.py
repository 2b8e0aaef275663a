"""Runs a plan: choice, checks, grid points, evenness and faults, one after the other. Collects the results."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import pearhill
from pearhill.lab.scale import faults
from pearhill.lab.scale.analysis import Check, Point, compare, slopes
from pearhill.lab.scale.bounds import MAX_MEMORY_FRACTION, MAX_PROCESSES, check_bounds, expected_seconds
from pearhill.lab.scale.child import Child, ProcessFailedError
from pearhill.lab.scale.figures import FleetMeasurement
from pearhill.lab.scale.files import render_file
from pearhill.lab.scale.fleet import PrintLine, RunningFleet
from pearhill.lab.scale.loaded import measure_under_load
from pearhill.lab.scale.measure import describe_machine, resident_bytes, usage_of
from pearhill.lab.scale.plan import FaultsTable, Plan
from pearhill.lab.scale.planned_fleets import FleetSize, check_fleets, evenness_fleets, fault_fleet, grid_fleets

RESOURCE_POLL_S = 1.0
# The run stops itself after `MAX_OVERRUN_FACTOR` times the plan's expected duration plus `MAX_OVERRUN_S`.
MAX_OVERRUN_FACTOR = 4
MAX_OVERRUN_S = 300.0
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class RunStoppedError(Exception):
    """The run was stopped before its end. The message is the reason; `results` are the results up to then."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.results: dict[str, Any] = {}


@dataclass(frozen=True, slots=True)
class _CheckMeasurement:
    """The measurements of a check.

    `under_load` is the point of the real dispatchers under load, if the check has one. `baseline_memory_bytes` and
    `baseline_cpu_s` are the memory, and the CPU time in the window, of a dispatcher without endpoint list and fleet.
    `settled` is whether all dispatchers had the complete endpoint list and counted the whole fleet.
    """

    fleet: FleetMeasurement
    under_load: Point | None
    baseline_memory_bytes: float
    baseline_cpu_s: float
    settled: bool


class PlanRun:
    """The run of one plan, with its results so far."""

    def __init__(self, plan: Plan, print_line: PrintLine) -> None:
        self._plan = plan
        self._print_line = print_line
        self._fleet: RunningFleet | None = None  # the running fleet, if any
        self._points: list[Point] = []
        self._checks: list[Check] = []
        self._choice: list[dict[str, Any]] = []
        self._evenness: list[dict[str, Any]] = []
        self._faults: list[dict[str, Any]] = []
        self._not_run = [{"what": part.what, "why": part.why} for part in plan.not_run]
        self._load_averages = [_load_average()]
        self._began = time.monotonic()
        self._started = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")

    async def run_all(self, folder: pathlib.Path) -> None:
        """Run all parts of the plan. The files of the processes are in `folder`."""
        plan = self._plan
        if plan.choice:
            await self._run_choice(folder)
        for number, (size, load_per_s) in enumerate(check_fleets(plan), 1):
            self._print_line(f"check {number} of {len(plan.check)}: {describe(size)}")
            await self._run_or_record_failure(size, self._run_check(size, load_per_s, folder))
        sizes = grid_fleets(plan)
        for number, size in enumerate(sizes, 1):
            elapsed_s = time.monotonic() - self._began
            self._print_line(f"point {number} of {len(sizes)}: {describe(size)}, {elapsed_s:.0f} s")
            await self._run_or_record_failure(size, self._run_point(size, folder))
        for size in evenness_fleets(plan):
            self._print_line(f"evenness: {describe(size)}, {size.rate_per_s:g} requests a second each")
            await self._run_or_record_failure(size, self._run_evenness(size, folder))
        for table in plan.faults:
            size = fault_fleet(table)
            self._print_line(f"troubles: {describe(size)}")
            await self._run_or_record_failure(size, self._run_faults(table, size, folder))

    async def _run_or_record_failure(self, size: FleetSize, part: Coroutine[Any, Any, None]) -> None:
        """Run a part of the plan. If it fails, the results list it as not run, and the plan continues."""
        try:
            await part
        except ProcessFailedError as e:
            self.add_not_run(describe(size), e)
            self._print_line(f"    this part failed: {e}")
        finally:
            self._fleet = None

    def add_not_run(self, description: str, reason: Exception) -> None:
        """Add a part that was not run to the results, with the reason."""
        self._not_run.append({"what": description, "why": str(reason)})

    def _new_fleet(self, size: FleetSize, folder: pathlib.Path, can_be_partitioned: bool = False) -> RunningFleet:
        return RunningFleet(size, self._plan.scale, folder, self._print_line, can_be_partitioned)

    async def _settle(self, fleet: RunningFleet) -> bool:
        """Wait until the fleet has settled. Returns False if it has not: its figures are not valid then."""
        settled = await fleet.settle()
        if not settled:
            self._print_line(
                "    some dispatchers have a wrong fleet count or an incomplete list: the next figures are invalid"
            )
        return settled

    async def _run_choice(self, folder: pathlib.Path) -> None:
        choice = self._plan.choice
        assert choice
        child = await Child.start("choice", "pearhill.lab.scale.choice", folder)
        try:
            for replicas in choice.replicas:
                result = await child.call(
                    "choice",
                    replicas=replicas,
                    arrivals=choice.arrivals,
                    instances=self._plan.size.dispatchers,
                    seed=self._plan.scale.seed,
                )
                self._choice.append(result)
                self._print_line(f"choice among {replicas}: {result['ms']:.3f} ms")
        finally:
            await child.close()

    async def _run_check(self, size: FleetSize, load_per_s: float, folder: pathlib.Path) -> None:
        async with self._new_fleet(size, folder) as self._fleet:
            measured = await self._measure_check(self._fleet, load_per_s)
        hollow = measured.fleet.hollow
        real = measured.fleet.real
        assert real
        # Memory and idle event loop of a process without endpoint list and fleet are not part of the control costs.
        real["dispatcher"]["memory_bytes"] -= round(measured.baseline_memory_bytes)
        if measured.under_load:
            measured.under_load["dispatcher"]["memory_bytes"] -= round(measured.baseline_memory_bytes)
        baseline_cpu_cores = measured.baseline_cpu_s / self._plan.scale.seconds
        real["dispatcher"]["cpu_cores"] = round(real["dispatcher"]["cpu_cores"] - baseline_cpu_cores, 6)
        for point in (hollow, real, measured.under_load):
            if point:
                self._add_point(point, measured.settled)
        self._add_checks(compare(hollow, real, measured.fleet.alone))

    async def _measure_check(self, fleet: RunningFleet, load_per_s: float) -> _CheckMeasurement:
        baseline = await fleet.start_dispatcher("bare", baseline_file(fleet))
        try:
            settled = await self._settle(fleet)
            before = usage_of(baseline.pid)
            measurement = await fleet.measure()
            baseline_cpu_s = usage_of(baseline.pid).cpu_s - before.cpu_s
        finally:
            baseline.kill()
        under_load = await measure_under_load(fleet, load_per_s) if load_per_s else None
        return _CheckMeasurement(measurement, under_load, before.unshared_bytes, baseline_cpu_s, settled)

    def _add_point(self, point: Point, settled: bool) -> None:
        point["busy"] = point["busy"] or not settled
        self._points.append(point)
        self._print_line("    " + summarize(point))

    def _add_checks(self, checks: list[Check]) -> None:
        self._checks += checks
        for check in checks:
            self._print_line(
                f"    {check['what']}, {check['quantity']}: real {check['real']:.4g}, "
                f"hollow {check['hollow']:.4g}, {check['difference']:+.0%}"
            )

    async def _run_point(self, size: FleetSize, folder: pathlib.Path) -> None:
        async with self._new_fleet(size, folder) as self._fleet:
            settled = await self._settle(self._fleet)
            measurement = await self._fleet.measure()
        self._add_point(measurement.hollow, settled)

    async def _run_evenness(self, size: FleetSize, folder: pathlib.Path) -> None:
        async with self._new_fleet(size, folder) as self._fleet:
            settled = await self._settle(self._fleet)
            measurement = await self._fleet.measure()
        point = measurement.hollow
        evenness = measurement.evenness
        assert evenness
        self._evenness.append(
            {
                "way": size.exchange.value,
                "dispatchers": size.dispatchers,
                "replicas": size.replicas,
                "aggregators": size.aggregators,
                "rate_per_dispatcher": size.rate_per_s,
                "busy": point["busy"] or not settled,
                "cpu_cores": point["dispatcher"]["cpu_cores"],
                **evenness,
            }
        )
        self._print_line(
            f"    peak over mean in 1 s: writers {evenness['writers']}, readers {evenness['readers']}; "
            f"served {evenness['served']}, refused {evenness['refused']}, failed {evenness['failed']}"
        )

    async def _run_faults(self, table: FaultsTable, size: FleetSize, folder: pathlib.Path) -> None:
        async with self._new_fleet(size, folder, can_be_partitioned=True) as self._fleet:
            await self._settle(self._fleet)
            await faults.run(table.event, self._fleet, self._faults, self._print_line)

    async def watch_resources(self) -> None:
        """Poll the resources until cancelled. Raises RunStoppedError if the processes exceed the limits.

        If the machine ran out of memory, the system could kill processes that do not belong to the run.
        """
        allowed_bytes = MAX_MEMORY_FRACTION * describe_machine()["memory_bytes"]
        while True:
            await asyncio.sleep(RESOURCE_POLL_S)
            if self._fleet is None:
                continue
            pids = self._fleet.pids()
            used_bytes = await asyncio.to_thread(resident_bytes, pids)
            if used_bytes > allowed_bytes or len(pids) >= MAX_PROCESSES:
                raise RunStoppedError(
                    f"{len(pids)} processes hold {used_bytes / 1e9:.1f} GB; allowed: {MAX_PROCESSES}, and "
                    f"{MAX_MEMORY_FRACTION:.0%} of the machine's memory"
                )

    def results(self, name: str) -> dict[str, Any]:
        """Returns the results so far in the form of the results file. `name` is the plan's. It must be called once."""
        self._load_averages.append(_load_average())
        return {
            "version": pearhill.__version__,
            "commit": git_commit(),
            "seed": self._plan.scale.seed,
            "plan": name,
            "started": self._started,
            "machine": describe_machine(),
            "load_1m": self._load_averages,
            "points": self._points,
            "checks": self._checks,
            "slopes": slopes(self._points, self._checks, self._plan.size),
            "choice": self._choice,
            "evenness": self._evenness,
            "troubles": self._faults,
            "not_run": self._not_run,
        }


def _load_average() -> float:
    """Returns the load average of the last minute."""
    return round(os.getloadavg()[0], 2)


def git_commit() -> str:
    """Returns the short hash of the running program's commit, or an empty string outside of a Git clone."""
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        cwd=pathlib.Path(pearhill.__file__).parent,
        check=False,
    )
    return done.stdout.strip()


def describe(size: FleetSize) -> str:
    """Returns a description of a fleet for printed lines."""
    real = f" and {size.real} real" if size.real else ""
    aggregators = f", {size.aggregators} aggregators" if size.aggregators else ""
    dispatchers = f"{size.exchange}, {size.hollow} hollow{real} dispatchers"
    return f"{dispatchers} before {size.replicas} replicas, work {size.workload}{aggregators}"


def summarize(point: Point) -> str:
    """Returns a summary of a point's figures for printed lines."""
    dispatcher = point["dispatcher"]
    memory_bytes = dispatcher["memory_bytes"]
    memory = f"{memory_bytes / 1e6:.2f} MB" if memory_bytes else "memory not measured"
    text = (
        f"{point['kind']}: {dispatcher['cpu_cores']:.2%} of a core, {dispatcher['bytes_in_s'] / 1e3:.2f} KB/s in, "
        f"{dispatcher['bytes_out_s'] / 1e3:.2f} out, {memory}"
    )
    age_ms = dispatcher["news_age_ms"]
    if age_ms:
        text += f", age of load data {age_ms['p50']:.0f} ms, p99 {age_ms['p99']:.0f}"
    aggregator = point["aggregator"]
    if aggregator:
        megabytes = aggregator["memory_bytes"] / 1e6
        text += f"; aggregator {aggregator['cpu_cores']:.1%} of a core, {megabytes:.0f} MB"
    return text


def baseline_file(fleet: RunningFleet) -> str:
    """Returns the configuration file of a dispatcher without endpoint list and fleet.

    Its process uses the resources of any dispatcher before any control traffic.
    """
    head = fleet.template[: fleet.template.index("\n[eureka]")].replace("admin_addr", "# admin_addr")
    server = '\n[[server]]\nuid = "one"\naddress = "127.0.0.1:9"\nkind = "writer"\n'
    return render_file(fleet.dispatchers[0], head) + server


async def run(plan: Plan, name: str, print_line: PrintLine = lambda line: None) -> dict[str, Any]:
    """Run a plan and return its results in the form of the results file.

    Raises ConfigError if the plan is too large for this machine. Raises RunStoppedError if the run was stopped before
    its end; its processes are ended in this case, too.
    """
    check_bounds(plan, describe_machine()["memory_bytes"])
    expected_s = expected_seconds(plan)
    print_line(f"expected duration {expected_s / 60:.0f} min, seed {plan.scale.seed}")
    plan_run = PlanRun(plan, print_line)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await _run_guarded(plan_run, pathlib.Path(folder), MAX_OVERRUN_FACTOR * expected_s + MAX_OVERRUN_S)
        except (ProcessFailedError, RunStoppedError, OSError) as e:
            plan_run.add_not_run("the rest of the plan", e)
            stopped = RunStoppedError(str(e))
            stopped.results = plan_run.results(name)
            raise stopped from e
    return plan_run.results(name)


async def _run_guarded(plan_run: PlanRun, folder: pathlib.Path, timeout_s: float) -> None:
    """Run the plan until its end, a signal, the time limit or an excess of resources, whichever comes first."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    work = asyncio.create_task(plan_run.run_all(folder))
    watch = asyncio.create_task(plan_run.watch_resources())
    stopped: asyncio.Task[Any] = asyncio.create_task(stop.wait())
    try:
        done, _ = await asyncio.wait((work, watch, stopped), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        if work in done:
            return await work
        if watch in done:
            return await watch
        raise RunStoppedError("ended by a signal" if stopped in done else f"not finished after {timeout_s:.0f} s")
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
        for task in (work, watch, stopped):
            task.cancel()
        await asyncio.gather(work, watch, stopped, return_exceptions=True)
