"""A plan carried out: its points, checks, choice and troubles, one after the other, and the results that come of it."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import subprocess
import tempfile
import time
from collections.abc import Callable, Coroutine, Iterable
from datetime import UTC, datetime
from typing import Any

import pearhill
from pearhill.lab.scale import faults, fit
from pearhill.lab.scale.child import Child, ProcessFailedError
from pearhill.lab.scale.files import file_of
from pearhill.lab.scale.fleet import RunningFleet
from pearhill.lab.scale.loaded import measure_under_load
from pearhill.lab.scale.measure import describe_machine, resident_bytes, usage_of
from pearhill.lab.scale.plan import (
    MAX_MEMORY_SHARE,
    MAX_PROCESSES,
    FaultsTable,
    FleetSize,
    Plan,
    SizeTable,
    check_bounds,
    check_fleets,
    evenness_fleets,
    expected_seconds,
    fault_fleet,
    grid_fleets,
)

WITHIN = 0.2  # by which hollow and real may differ
WATCH_S = 1.0
STOP_TIMES, STOP_S = 4, 300.0  # it stops itself after so many times what the plan should take, and so much
Told = Callable[[str], None]


class Stopped(Exception):
    """The run was ended before it was through; the text says why. `results`: what it had until then."""

    def __init__(self, why: str) -> None:
        super().__init__(why)
        self.results: dict[str, Any] = {}


def commit() -> str:
    """Of the program that ran; empty outside a clone."""
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        cwd=pathlib.Path(pearhill.__file__).parent,
        check=False,
    )
    return done.stdout.strip()


class Run:
    def __init__(self, plan: Plan, told: Told) -> None:
        self.plan, self.told = plan, told
        self.fleet: RunningFleet | None = None
        self.points: list[dict[str, Any]] = []
        self.checks: list[dict[str, Any]] = []
        self.choice: list[dict[str, Any]] = []
        self.evenness: list[dict[str, Any]] = []
        self.troubles: list[dict[str, Any]] = []
        self.not_run = [{"what": n.what, "why": n.why} for n in plan.not_run]
        self.load = [round(os.getloadavg()[0], 2)]
        self.began = time.monotonic()
        self.started = datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ")

    async def all(self, folder: pathlib.Path) -> None:
        plan = self.plan
        if plan.choice:
            await self._choice(folder)
        for number, (size, load_per_s) in enumerate(check_fleets(plan)):
            self.told(f"check {number + 1} of {len(plan.check)}: {described(size)}")
            await self._or_not_run(size, self._check(size, load_per_s, folder))
        sizes = grid_fleets(plan)
        for number, size in enumerate(sizes):
            self.told(f"point {number + 1} of {len(sizes)}: {described(size)}, {time.monotonic() - self.began:.0f} s")
            await self._or_not_run(size, self._point(size, folder))
        for size in evenness_fleets(plan):
            self.told(f"evenness: {described(size)}, {size.rate_per_s:g} requests a second each")
            await self._or_not_run(size, self._evenness(size, folder))
        for table in plan.faults:
            size = fault_fleet(table)
            self.told(f"troubles: {described(size)}")
            await self._or_not_run(size, self._troubles(table, size, folder))

    async def _or_not_run(self, size: FleetSize, part: Coroutine[Any, Any, None]) -> None:
        """One that fails is told of, and the plan goes on."""
        try:
            await part
        except ProcessFailedError as e:
            self.not_run.append({"what": described(size), "why": str(e)})
            self.told(f"    not run to its end: {e}")
        finally:
            self.fleet = None

    async def _troubles(self, table: FaultsTable, size: FleetSize, folder: pathlib.Path) -> None:
        async with RunningFleet(size, self.plan.scale, folder, self.told, cuttable=True) as self.fleet:
            await self._settled(self.fleet)
            await faults.run(table.event, size, self.fleet, self.plan.scale, self.told, self.troubles)

    async def _settled(self, fleet: RunningFleet) -> bool:
        """Whether the fleet came to a right count of itself. Without one, a figure is of a fleet that isn't whole."""
        if settled := await fleet.settle():
            return True
        self.told("    not all dispatchers count them all, or have the whole list: what follows is not to be read")
        return settled

    async def _point(self, size: FleetSize, folder: pathlib.Path) -> None:
        async with RunningFleet(size, self.plan.scale, folder, self.told) as self.fleet:
            settled = await self._settled(self.fleet)
            point = (await self.fleet.measure())["hollow"]
        point["busy"] = point["busy"] or not settled
        self.points.append(point)
        self.told("    " + shown(point))

    async def _evenness(self, size: FleetSize, folder: pathlib.Path) -> None:
        async with RunningFleet(size, self.plan.scale, folder, self.told) as self.fleet:
            settled = await self._settled(self.fleet)
            made = await self.fleet.measure()
        point, even = made["hollow"], made["evenness"]
        self.evenness.append(
            {
                "way": size.exchange,
                "dispatchers": size.dispatchers,
                "replicas": size.replicas,
                "aggregators": size.aggregators,
                "rate_per_dispatcher": size.rate_per_s,
                "busy": point["busy"] or not settled,
                "cpu_cores": point["dispatcher"]["cpu_cores"],
                **even,
            }
        )
        self.told(
            f"    peak over mean in 1 s: writers {even['writers']}, readers {even['readers']}; "
            f"served {even['served']}, refused {even['refused']}, failed {even['failed']}"
        )

    async def _check(self, size: FleetSize, load_per_s: float, folder: pathlib.Path) -> None:
        async with RunningFleet(size, self.plan.scale, folder, self.told) as self.fleet:
            bare = await self.fleet.dispatcher("bare", bare_text(self.fleet.text, self.fleet))
            try:
                settled = await self._settled(self.fleet)
                idle = usage_of(bare.pid)
                made = await self.fleet.measure()
                idles = usage_of(bare.pid).cpu_s - idle.cpu_s
            finally:
                bare.kill()
            if load_per_s:
                made["loaded"] = await measure_under_load(self.fleet, load_per_s)
        hollow, real = made["hollow"], made["real"]
        alone = made.pop("alone", None)
        # What a process takes without list and fleet is no control: its own memory, and its loop's idling.
        for point in (real, *(made[what] for what in ("loaded",) if what in made)):
            point["dispatcher"]["memory_bytes"] -= round(idle.unshared_bytes)
        real["dispatcher"]["cpu_cores"] = round(real["dispatcher"]["cpu_cores"] - idles / self.plan.scale.seconds, 6)
        for point in made.values():
            point["busy"] = point["busy"] or not settled
            self.points.append(point)
            self.told("    " + shown(point))
        found = compared(hollow, real, alone)
        self.checks += found
        for check in found:
            self.told(
                f"    {check['what']}, {check['quantity']}: real {check['real']:.4g}, "
                f"hollow {check['hollow']:.4g}, {check['difference']:+.0%}"
            )

    async def _choice(self, folder: pathlib.Path) -> None:
        assert self.plan.choice
        child = await Child.start("choice", "pearhill.lab.scale.choice", folder)
        try:
            for replicas in self.plan.choice.replicas:
                self.choice.append(
                    await child.call(
                        "choice",
                        replicas=replicas,
                        arrivals=self.plan.choice.arrivals,
                        instances=self.plan.size.dispatchers,
                        seed=self.plan.scale.seed,
                    )
                )
                self.told(f"choice among {replicas}: {self.choice[-1]['ms']:.3f} ms")
        finally:
            await child.close()

    async def watch(self) -> None:
        """Failed: the processes take more than they may. Danger: past the machine's memory, others' processes die."""
        most = MAX_MEMORY_SHARE * describe_machine()["memory_bytes"]
        while True:
            await asyncio.sleep(WATCH_S)
            if (fleet := self.fleet) is None:
                continue
            pids = fleet.pids()
            held = await asyncio.to_thread(resident_bytes, pids)
            if held > most or len(pids) >= MAX_PROCESSES:
                raise Stopped(
                    f"{len(pids)} processes hold {held / 1e9:.1f} GB; allowed: {MAX_PROCESSES}, and "
                    f"{MAX_MEMORY_SHARE:.0%} of the machine's memory"
                )

    def results(self, name: str) -> dict[str, Any]:
        plan = self.plan
        self.load.append(round(os.getloadavg()[0], 2))
        return {
            "version": pearhill.__version__,
            "commit": commit(),
            "seed": plan.scale.seed,
            "plan": name,
            "started": self.started,
            "machine": describe_machine(),
            "load_1m": self.load,
            "points": self.points,
            "checks": self.checks,
            "slopes": slopes(self.points, self.checks, plan.size),
            "choice": self.choice,
            "evenness": self.evenness,
            "troubles": self.troubles,
            "not_run": self.not_run,
        }


def described(size: FleetSize) -> str:
    real = f" and {size.real} real" if size.real else ""
    return (
        f"{size.exchange}, {size.hollow} hollow{real} dispatchers before {size.replicas} replicas, work {size.workload}"
        + (f", {size.aggregators} aggregators" if size.aggregators else "")
    )


def shown(point: dict[str, Any]) -> str:
    d, a = point["dispatcher"], point["aggregator"]
    memory = f"{d['memory_bytes'] / 1e6:.2f} MB" if d["memory_bytes"] else "memory not told"
    text = (
        f"{point['kind']}: {d['cpu_cores']:.2%} of a core, {d['bytes_in_s'] / 1e3:.2f} KB/s in, "
        f"{d['bytes_out_s'] / 1e3:.2f} out, {memory}"
    )
    if age := d["news_age_ms"]:
        text += f", news {age['p50']:.0f} ms old, p99 {age['p99']:.0f}"
    return text + (f"; aggregator {a['cpu_cores']:.1%} of a core, {a['memory_bytes'] / 1e6:.0f} MB" if a else "")


def bare_text(text: str, fleet: RunningFleet) -> str:
    """The operator's file without list and fleet: what a process takes before any control."""
    head = text[: text.index("\n[eureka]")].replace("admin_addr", "# admin_addr")
    place = fleet.places[0]
    return file_of(place, head) + '\n[[server]]\nuid = "one"\naddress = "127.0.0.1:9"\nkind = "writer"\n'


def _value(figures: dict[str, Any], quantity: str) -> float | None:
    if quantity == "bytes_s" and "bytes_s" not in figures:
        return float(figures["bytes_in_s"] + figures["bytes_out_s"])
    value = figures[quantity]
    return None if value is None else float(value)


def compared(hollow: dict[str, Any], real: dict[str, Any], alone: dict[str, Any] | None) -> list[dict[str, Any]]:
    """The check of hollow against real. What differs by more than `WITHIN` is carried on, whole. What hollow ones with
    a process each show tells how much of it comes of sharing one; nothing is fitted to them, so nothing is carried."""
    made = []
    where = f", {hollow['way']}, {hollow['dispatchers']} dispatchers before {hollow['replicas']} replicas"
    for what, figures in (
        (f"hollow against real{where}", hollow["dispatcher"]),
        (f"hollow with a process each against real{where}", alone and alone["dispatcher"]),
    ):
        for quantity in ("cpu_cores", "bytes_s", "memory_bytes"):
            a, b = _value(real["dispatcher"], quantity), figures and _value(figures, quantity)
            if not a or not b:
                continue
            difference = b / a - 1
            within = abs(difference) <= WITHIN
            carried = 0.0 if within or figures is not hollow["dispatcher"] else abs(a / b - 1)
            made.append(
                {
                    "what": what,
                    "quantity": quantity,
                    "real": a,
                    "hollow": b,
                    "difference": round(difference, 4),
                    "within": within,
                    "carried_as_error": round(carried, 4),
                }
            )
    return made


def slopes(points: Iterable[dict[str, Any]], checks: Iterable[dict[str, Any]], size: SizeTable) -> list[dict[str, Any]]:
    """Each quantity of each role over the grid; points of a busy machine are left out."""
    made = []
    good = [p for p in points if p["kind"] == "hollow" and p["work"] == "drawn" and not p["busy"]]
    bounds: dict[tuple[str, str], float] = {
        ("dispatcher", "cpu_cores"): size.cpu_cores,
        ("dispatcher", "bytes_s"): size.bytes_s,
        ("dispatcher", "memory_bytes"): size.memory_bytes,
        ("aggregator", "cpu_cores"): 1.0,
        ("aggregator", "memory_bytes"): 1e9,
    }
    for way in sorted({p["way"] for p in good}):
        errors = {
            c["quantity"]: c["carried_as_error"] for c in checks if c["what"].startswith(f"hollow against real, {way},")
        }
        for role, quantities in (
            ("dispatcher", ("cpu_cores", "bytes_s", "memory_bytes")),
            ("aggregator", ("cpu_cores", "bytes_s", "memory_bytes")),
            ("discovery", ("calls_s", "bytes_s")),
        ):
            for quantity in quantities:
                rows = [
                    fit.Point(p["dispatchers"], p["replicas"], value)
                    for p in good
                    if p["way"] == way and p[role] and (value := _value(p[role], quantity)) is not None
                ]
                carried = errors.get(quantity, 0.0) if role == "dispatcher" else 0.0
                found = fit.fit(rows, fit.Size(size.dispatchers, size.replicas), carried)
                if not found:
                    continue
                bound = bounds.get((role, quantity))
                most = max(p.dispatchers for p in rows), max(p.replicas for p in rows)
                made.append(
                    {
                        "way": way,
                        "role": role,
                        "quantity": quantity,
                        "form": found.form,
                        "coefficients": found.coefficients,
                        "low": found.low,
                        "high": found.high,
                        "fitted_over": {
                            "dispatchers": [min(p.dispatchers for p in rows), most[0]],
                            "replicas": [min(p.replicas for p in rows), most[1]],
                        },
                        "stretched": round(max(1.0, size.dispatchers / most[0], size.replicas / most[1]), 2),
                        "at_size": found.at_size,
                        "bound": bound,
                        "need_over_bound": round(found.at_size / bound, 4) if bound else None,
                    }
                )
    return made


async def run(plan: Plan, name: str, told: Told = lambda line: None) -> dict[str, Any]:
    """The results. ConfigError: the plan is too large for this machine. Stopped: it did not come through; its processes
    are gone then, too."""
    check_bounds(plan, describe_machine()["memory_bytes"])
    told(f"some {expected_seconds(plan) / 60:.0f} min, seed {plan.scale.seed}")
    made = Run(plan, told)
    with tempfile.TemporaryDirectory() as folder:
        try:
            await _guarded(made, pathlib.Path(folder), STOP_TIMES * expected_seconds(plan) + STOP_S)
        except (ProcessFailedError, Stopped, OSError) as e:
            made.not_run.append({"what": "the rest of the plan", "why": str(e)})
            stopped = Stopped(str(e))
            stopped.results = made.results(name)
            raise stopped from e
    return made.results(name)


async def _guarded(made: Run, folder: pathlib.Path, within_s: float) -> None:
    """The run, its watch, its time limit and the signals that end it: whichever comes first."""
    loop, stop = asyncio.get_running_loop(), asyncio.Event()
    numbers = (signal.SIGINT, signal.SIGTERM)
    for number in numbers:
        loop.add_signal_handler(number, stop.set)
    work, watch = asyncio.create_task(made.all(folder)), asyncio.create_task(made.watch())
    stopped: asyncio.Task[Any] = asyncio.create_task(stop.wait())
    try:
        done, _ = await asyncio.wait((work, watch, stopped), timeout=within_s, return_when=asyncio.FIRST_COMPLETED)
        if work in done:
            return await work
        if watch in done:
            return await watch
        raise Stopped("ended by a signal" if stopped in done else f"not through after {within_s:.0f} s")
    finally:
        for number in numbers:
            loop.remove_signal_handler(number)
        for task in (work, watch, stopped):
            task.cancel()
        await asyncio.gather(work, watch, stopped, return_exceptions=True)
