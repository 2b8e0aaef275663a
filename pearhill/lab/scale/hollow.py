"""Hollow dispatchers, some dozens to a process: the program's own `ChatService` each, from an operator's file.

Each has its own sockets, endpoint list, gossip or load reports, Router, timers and seed, and no port for clients. Left
out is what clients bring: their connections, the reading of requests, the streams. Beside the program there is a tick
of the process, which draws the gauges of some of its dispatchers and looks at the marks they know, so that each has its
turn once in `TURN_INTERVAL_S`. The thread's time in it is counted apart, and subtracted from the process's.
"""

from __future__ import annotations

import asyncio
import gc
import random
import sys
import time
from array import array
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import Any

import psutil

from pearhill.chat.service import ChatService
from pearhill.chat.setup import ChatSetup, loads
from pearhill.core.replica_ids import replica_id
from pearhill.eureka.client import Eureka
from pearhill.lab.scale import observe
from pearhill.lab.scale.child import Handle, run
from pearhill.lab.scale.files import DispatcherSpec, file_of
from pearhill.lab.scale.measure import encode_histogram
from pearhill.lab.scale.plan import Workload
from pearhill.lab.scale.work import DrawnGauges, PoissonArrivals
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.net.address import Address
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.topology import Endpoint

TURN_INTERVAL_S = 0.25  # as often as gossip sends
TICKS_PER_INTERVAL = 5  # of a process, so that no timer of a dispatcher waits for the turns of all the others
TURNS_PER_SIGHTING = 2  # of a dispatcher, from one look at the mark to the next
DISPATCHERS_PER_ESTIMATE = 8  # one in so many estimates the tokens in flight
US_PER_S = 1e6

# Called with the age in seconds of a change of the endpoint list when it is in force.
OnChange = Callable[[float], None]
Order = dict[str, Any]


class HollowService(ChatService):
    """A ChatService that reports changes of its endpoint list, and that may leave marks in its own load.

    `read_at`: when its load was read, in microseconds, while it leaves marks; None: it leaves none.
    """

    def __init__(self, setup: ChatSetup, on_change: OnChange) -> None:
        self._on_change = on_change
        self._newest_change_us = 0
        self.read_at: list[int] | None = None
        super().__init__(setup)

    def _own_load(self) -> list[ReplicaLoad]:
        if self.read_at is not None:
            observe.leave_mark(self, len(self.read_at))
            self.read_at.append(_monotonic_us())
        return super()._own_load()

    def _new_eureka(self, setup: ChatSetup) -> Eureka | None:
        if not setup.eureka:
            return None
        return Eureka(self.node.pool, setup.eureka, setup.deployment, self._update_endpoints)

    def _update_endpoints(self, full: bool, entries: tuple[Endpoint, ...], addresses: dict[int, Address]) -> None:
        self.node.update_endpoints(full, entries, addresses)
        assert self._eureka
        now = time.monotonic()
        known_us = self._newest_change_us
        newest_us = known_us
        for instance in self._eureka.registry.instances.values():
            changed_us = int(instance.metadata.get("changed_us", 0))
            if changed_us <= known_us:
                continue
            newest_us = max(newest_us, changed_us)
            if known_us:  # the first list has no changes
                self._on_change(now - changed_us / US_PER_S)
        self._newest_change_us = newest_us


def _monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class MeasurementWindow:
    """What is measured from the order "begin" to the order "end". Array values are microseconds."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.cpu_s = time.process_time()
        self.tick_cpu_ns = 0
        self.tick_delays = array("q")
        self.list_ages = array("q")
        # By second of the machine's monotonic clock: tokens in flight by replica.
        self.work: dict[int, Counter[int]] = {}
        # When a mark was looked at, in microseconds, and the number that it stood for.
        self.sightings: list[tuple[int, int]] = []


class HollowDispatcher:
    """One dispatcher of the process."""

    def __init__(self, host: HollowHost, spec: DispatcherSpec) -> None:
        self.spec = spec
        self._host = host
        self._rng = random.Random(spec.seed)
        # At the window's beginning. The process has one window, but each dispatcher counts for itself.
        self._totals_before: Counter[str] = Counter()
        self.service = HollowService(loads(file_of(spec, host.settings.template)), self._add_list_age)
        self._gauges: DrawnGauges | None = None
        self._arrivals: PoissonArrivals | None = None
        self._turns = self._rng.randrange(TURNS_PER_SIGHTING)

    def _add_list_age(self, age_s: float) -> None:
        self._host.window.list_ages.append(int(age_s * US_PER_S))

    async def open(self) -> None:
        """Start the service, then its workload."""
        await self.service.open()
        settings = self._host.settings
        node = self.service.node
        if settings.workload is Workload.DRAWN:
            self._gauges = self._host.gauges_for(self.spec.weight)
        elif settings.workload is Workload.ROUTER:
            rate_per_s = settings.rate_per_s * self.spec.weight
            self._arrivals = PoissonArrivals(node.dispatcher, node.deadlines, rate_per_s, self._rng)

    @property
    def now(self) -> int:
        """Microseconds of the dispatcher's own clock."""
        return self.service.node.deadlines.clock()

    @property
    def replicas(self) -> dict[int, ReplicaState]:
        """The Router's record of its replicas, by number."""
        return self.service.node.dispatcher.router.router.replicas

    @property
    def results(self) -> dict[str, int]:
        """What became of its requests since it started."""
        return self._arrivals.results if self._arrivals else {}

    def begin_window(self) -> None:
        """Remember the socket's totals as they are now."""
        self._totals_before = observe.datagram_totals(self.service)

    def window_totals(self) -> Counter[str]:
        """Messages and bytes at its fleet socket since the window's beginning."""
        return observe.datagram_totals(self.service) - self._totals_before

    def take_turn(self, marker: str) -> None:
        """Draw the gauges or add up the work in flight; now and then look at the mark that `marker` has left."""
        if self._gauges:
            self._draw(self._gauges, marker)
        elif self._arrivals:
            self._add_work()
        self._turns += 1
        if marker and marker != self.spec.name and self._turns % TURNS_PER_SIGHTING == 0:
            number = observe.read_mark(self.service, self.now, marker)
            self._host.window.sightings.append((_monotonic_us(), number))

    def _draw(self, gauges: DrawnGauges, marker: str) -> None:
        gauges.apply(self.service.node.dispatcher.router.router, self._rng)
        if not marker:
            return
        marked = observe.marked_replica(self.service)
        if marked:
            marked.tokens_queued = 0
            marked.tokens_in_flight = 0

    def _add_work(self) -> None:
        work = self._host.window.work.setdefault(int(time.monotonic()), Counter())
        for replica in self.replicas.values():
            if replica.tokens_in_flight:
                work[replica.id] += replica.tokens_in_flight

    def reload(self, template: str) -> float:
        """Take another file, as at SIGHUP. The seconds of processor time that it took."""
        began = time.thread_time()
        self.service.reload(loads(file_of(self.spec, template)))
        return time.thread_time() - began

    async def stop(self, gracefully: bool) -> None:
        """End it. Not gracefully: it falls silent, as a process that is killed."""
        if self._arrivals:
            self._arrivals.stop()
        if gracefully:
            return await self.service.close()
        service = self.service
        service._cancel_registry_tasks()
        if service.fleet:
            service.fleet.datagrams.close()  # first, so that nobody is sent a message that it leaves
            service.fleet.close()
        service.node.close()


@dataclass(frozen=True, slots=True)
class HostSettings:
    """What the dispatchers of a process have in common, from the order "open".

    `template`: their file. `rate_per_s`, `streams`: of a dispatcher of mean traffic.
    """

    template: str
    workload: Workload
    seed: int
    rate_per_s: float
    streams: float
    prefill_replicas: int
    decode_replicas: int

    @classmethod
    def from_order(cls, order: Order) -> HostSettings:
        """The settings in an order "open"."""
        return cls(
            template=order["text"],
            workload=Workload(order["work"]),
            seed=order["seed"],
            rate_per_s=order["rate_per_s"],
            streams=order["streams"],
            prefill_replicas=order["readers"],
            decode_replicas=order["writers"],
        )


class HollowHost:
    """The process: its dispatchers, their turns, and the orders of the command."""

    settings: HostSettings

    def __init__(self) -> None:
        self.window = MeasurementWindow()
        self._dispatchers: dict[str, HollowDispatcher] = {}
        self._marker = ""  # the dispatcher that leaves marks in this window; empty: none
        self._gauges: dict[float, DrawnGauges] = {}
        self._loop = asyncio.get_running_loop()
        self._tick_due = 0.0
        self._ticks = 0
        self._orders: dict[str, Callable[[Order], Awaitable[dict[str, Any]]]] = {
            "open": self._open,
            "start": self._start,
            "stop": self._stop,
            "begin": self._begin,
            "end": self._end,
            "look": self._look,
            "reload": self._reload,
            "cut": self._cut,
        }

    async def handle(self, order: Order) -> dict[str, Any]:
        """Carry out one order of the command. ValueError: it is not known."""
        name = order["order"]
        if name not in self._orders:
            raise ValueError(f"order {name!r}")
        return await self._orders[name](order)

    def gauges_for(self, weight: float) -> DrawnGauges:
        """The gauges of all dispatchers of one weight: each takes another set, rotated otherwise, at each turn."""
        if weight not in self._gauges:
            settings = self.settings
            self._gauges[weight] = DrawnGauges(
                settings.prefill_replicas,
                settings.decode_replicas,
                settings.rate_per_s * weight,
                settings.streams * weight,
                settings.seed,
            )
        return self._gauges[weight]

    def _tick(self) -> None:
        """A turn for some of the dispatchers; all have had one after `TURN_INTERVAL_S`."""
        began_ns = time.thread_time_ns()
        now = self._loop.time()
        self.window.tick_delays.append(max(0, int((now - self._tick_due) * US_PER_S)))
        ticks = min(TICKS_PER_INTERVAL, max(1, len(self._dispatchers)))
        for dispatcher in list(self._dispatchers.values())[self._ticks % ticks :: ticks]:
            dispatcher.take_turn(self._marker)
        self._ticks += 1
        self._tick_due = max(self._tick_due + TURN_INTERVAL_S / ticks, now)
        self._loop.call_at(self._tick_due, self._tick)
        self.window.tick_cpu_ns += time.thread_time_ns() - began_ns

    async def _open(self, order: Order) -> dict[str, Any]:
        """Begin to tick, and start the first dispatchers over `spread_s`."""
        self.settings = HostSettings.from_order(order)
        gc.collect()
        gc.freeze()  # as the program does at its start
        self._tick_due = self._loop.time()
        self._tick()
        return await self._start_over(order["places"], order["spread_s"])

    async def _start(self, order: Order) -> dict[str, Any]:
        """Start dispatchers at once, one after the other."""
        return await self._start_over(order["places"], 0.0)

    async def _start_over(self, specs: list[dict[str, Any]], spread_s: float) -> dict[str, Any]:
        """Start dispatchers over `spread_s`: started all at once, they would go on to fetch the list all at once."""
        began = self._loop.time()
        rng = random.Random(specs[0]["seed"])
        for k, spec in enumerate(specs):
            due = began + spread_s * (k + rng.random()) / len(specs)
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            dispatcher = HollowDispatcher(self, DispatcherSpec(**spec))
            await dispatcher.open()
            self._dispatchers[dispatcher.spec.name] = dispatcher
        return {"count": len(self._dispatchers)}

    async def _stop(self, order: Order) -> dict[str, Any]:
        for name in order["names"]:
            await self._dispatchers.pop(name).stop(order["gracefully"])
        return {}

    async def _reload(self, order: Order) -> dict[str, Any]:
        """Have every dispatcher take another file. Those that are started later take the new one as well."""
        self.settings = replace(self.settings, template=order["text"])
        seconds: list[float] = []
        for dispatcher in self._dispatchers.values():
            seconds.append(dispatcher.reload(self.settings.template))
            await asyncio.sleep(0)  # a timer that is due waits for one reload, as in a process of its own
        return {"seconds": seconds}

    async def _cut(self, order: Order) -> dict[str, Any]:
        """Cut every dispatcher off from the addresses that are far from its region."""
        far_by_region = [set(map(tuple, addresses)) for addresses in order["far"]]
        for dispatcher in self._dispatchers.values():
            observe.cut_off(dispatcher.service, far_by_region[dispatcher.spec.region])
        return {}

    async def _begin(self, order: Order) -> dict[str, Any]:
        """Begin a measurement window, in which one dispatcher may leave marks."""
        self.window = MeasurementWindow()
        self._marker = order["marker"]
        if self._marker in self._dispatchers:
            self._dispatchers[self._marker].service.read_at = []
        for dispatcher in self._dispatchers.values():
            dispatcher.begin_window()
        return {}

    async def _end(self, order: Order) -> dict[str, Any]:
        """End the window; what was measured in it."""
        window = self.window
        seconds = time.monotonic() - window.began
        cpu_s = time.process_time() - window.cpu_s
        self._marker = ""
        totals: Counter[str] = Counter()
        results: Counter[str] = Counter()
        for dispatcher in self._dispatchers.values():
            totals.update(dispatcher.window_totals())
            results.update(dispatcher.results)
        read_at = self._end_marks()
        gc.collect()
        return {
            "count": len(self._dispatchers),
            "seconds": seconds,
            "cpu_s": cpu_s,
            "own_s": window.tick_cpu_ns / 1e9,
            "counts": dict(totals),
            "late": encode_histogram(window.tick_delays),
            "marks": window.sightings,
            "read_at": read_at,
            "lists": encode_histogram(window.list_ages),
            "uss": psutil.Process().memory_full_info().uss,
            "ended": dict(results),
            "work": window.work,
            "roles": self._roles() if self.settings.workload is Workload.ROUTER else {},
        }

    def _end_marks(self) -> list[int]:
        """When the load of the one that left marks was read; empty: it is in another process."""
        read_at: list[int] = []
        for dispatcher in self._dispatchers.values():
            read_at = dispatcher.service.read_at or read_at
            dispatcher.service.read_at = None
        return read_at

    def _roles(self) -> dict[int, str]:
        return {
            replica.id: replica.role
            for dispatcher in self._dispatchers.values()
            for replica in dispatcher.replicas.values()
        }

    async def _look(self, order: Order) -> dict[str, Any]:
        """How things stand now: counts, totals since the start, and estimates of the tokens at some replicas."""
        replica_ids = [replica_id(name) for name in order["engines"]]
        worst_delay = max(self.window.tick_delays, default=0)
        self.window.tick_delays = array("q")
        counts: list[int] = []
        totals: Counter[str] = Counter()
        in_flight = 0.0
        estimates: list[float] = []
        for k, dispatcher in enumerate(self._dispatchers.values()):
            now = dispatcher.now
            counts.append(observe.counted_dispatchers(dispatcher.service, now) or 0)
            totals.update(observe.datagram_totals(dispatcher.service))
            replicas = dispatcher.replicas
            in_flight += sum(replicas[number].tokens_in_flight for number in replica_ids if number in replicas)
            if k % DISPATCHERS_PER_ESTIMATE == 0:
                estimates.append(observe.estimated_tokens(dispatcher.service, now, replica_ids))
        return {
            "at": time.monotonic(),
            "names": list(self._dispatchers),
            "counts": counts,
            "totals": dict(totals),
            "own": in_flight,
            "seen": estimates,
            "late_us": worst_delay,
            "listed": [len(d.service.node.dispatcher.endpoints) for d in self._dispatchers.values()],
            "cpu_s": time.process_time(),
        }


def new_handler() -> Handle:
    """The handler of all orders, within the event loop."""
    return HollowHost().handle


if __name__ == "__main__":
    run(new_handler)
    sys.exit(0)
