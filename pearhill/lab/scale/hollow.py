"""Hollow dispatchers, some dozens to a process: the program's own `ChatService` each, from an operator's file, with its
own sockets, list, talk, Router, timers and seed, and no port for clients.

Left out is what clients bring: their connections, the reading of requests, the streams. What is here beside the
program: a tick of the process, which draws the gauges of some of its dispatchers and looks at their news, so that each
has its turn once in `TICK`. The thread's own time in it is counted apart, and taken off.
"""

from __future__ import annotations

import asyncio
import gc
import random
import sys
import time
from array import array
from collections import Counter
from collections.abc import Callable
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
from pearhill.lab.scale.work import DrawnGauges, PoissonArrivals
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.net.address import Address
from pearhill.routing.topology import Endpoint

TICK_S = 0.25  # as often as a talk beats
TURNS = 5  # ticks of a process in that time, so that no beat waits for all of its dispatchers
LOOK_EVERY = 2  # of a dispatcher's turns

OnChange = Callable[[float], None]  # told how old a change of the list is when it is in force, in seconds


class HollowService(ChatService):
    """A ChatService that tells when a change of the list has come to it, and that may leave marks in its gauges."""

    def __init__(self, setup: ChatSetup, on_change: OnChange) -> None:
        self._on_change, self._newest = on_change, 0
        self.read_at: list[int] | None = None  # when its gauges were read, while it leaves marks
        super().__init__(setup)

    def _own_load(self) -> list[ReplicaLoad]:
        if self.read_at is not None:
            observe.leave_mark(self, len(self.read_at))
            self.read_at.append(time.monotonic_ns() // 1000)
        return super()._own_load()

    def _new_eureka(self, setup: ChatSetup) -> Eureka | None:
        return Eureka(self.node.pool, setup.eureka, setup.deployment, self._told) if setup.eureka else None

    def _told(self, full: bool, entries: tuple[Endpoint, ...], addresses: dict[int, Address]) -> None:
        self.node.update_endpoints(full, entries, addresses)
        assert self._eureka
        first, newest, now = not self._newest, self._newest, time.monotonic()
        for row in self._eureka.registry.instances.values():
            changed = int(row.metadata.get("changed_us", 0))
            if changed > self._newest:
                newest = max(newest, changed)
                if not first:
                    self._on_change(now - changed / 1e6)
        self._newest = newest

    def listed_names(self) -> set[str]:
        return {name for _, name in self._eureka.registry.instances} if self._eureka else set()


class Window:
    """What is measured between `begin` and `end`."""

    def __init__(self) -> None:
        self.began, self.cpu = time.monotonic(), time.process_time()
        self.own_ns = 0
        self.late, self.lists = array("q"), array("q")
        self.work: dict[int, Counter[int]] = {}  # by second of the machine's clock: tokens under way, by engine
        self.marks: list[tuple[int, int]] = []  # when a mark was looked at, and what it said


class Hollow:
    def __init__(self, host: Host, place: DispatcherSpec, work: str) -> None:
        self.host, self.place, self.work = host, place, work
        self.rng = random.Random(place.seed)
        # Danger: the process is one, but its dispatchers are not: what each had counted when a window began.
        self.before: Counter[str] = Counter()
        setup = loads(file_of(place, host.text))
        self.service = HollowService(setup, lambda age: host.window.lists.append(int(age * 1e6)))
        self.drawn: DrawnGauges | None = None
        self.arrivals: PoissonArrivals | None = None
        self._turns = self.rng.randrange(LOOK_EVERY)

    async def open(self) -> None:
        await self.service.open()
        rate = self.host.rate_per_s * self.place.weight
        if self.work == "drawn":
            self.drawn = self.host.drawn(self.place.weight)
        elif self.work == "router":
            self.arrivals = PoissonArrivals(self.service.node.dispatcher, self.service.node.deadlines, rate, self.rng)

    def turn(self, marker: str) -> None:
        """Draw the gauges or look at them, and look at the mark that `marker` has left."""
        service = self.service
        if self.drawn:
            self.drawn.apply(service.node.dispatcher.router.router, self.rng)
            if marker and (engine := observe.marked_replica(service)):
                engine.tokens_queued = engine.tokens_in_flight = 0
        elif self.arrivals:
            work = self.host.window.work.setdefault(int(time.monotonic()), Counter())
            for engine in service.node.dispatcher.router.router.replicas.values():
                if engine.tokens_in_flight:
                    work[engine.id] += engine.tokens_in_flight
        self._turns += 1
        if marker and marker != self.place.name and self._turns % LOOK_EVERY == 0:
            told = observe.read_mark(service, service.node.deadlines.clock(), marker)
            self.host.window.marks.append((time.monotonic_ns() // 1000, told))

    def reload(self, text: str) -> float:
        """Another file's text, as at SIGHUP. The seconds of processor time that it took."""
        began = time.thread_time()
        self.service.reload(loads(file_of(self.place, text)))
        return time.thread_time() - began

    async def end(self, gracefully: bool) -> None:
        """Not gracefully: it falls silent, as a process that is killed."""
        if self.arrivals:
            self.arrivals.stop()
        if gracefully:
            return await self.service.close()
        service = self.service
        service._cancel_registry_tasks()
        if service.fleet:
            service.fleet.datagrams.close()  # before anybody could say that it leaves
            service.fleet.close()
        service.node.close()


class Host:
    def __init__(self) -> None:
        self.hollows: dict[str, Hollow] = {}
        self.window = Window()
        self.text, self.work, self.rate_per_s, self.streams = "", "none", 45.0, 260.0
        self.readers = self.writers = 0
        self.seed = 0
        self.marker = ""  # who leaves marks in this window
        self._drawn: dict[float, DrawnGauges] = {}
        self._loop, self._due, self._turn = asyncio.get_running_loop(), 0.0, 0

    def _tick(self) -> None:
        """A turn for some of the dispatchers; all have had one after `TICK_S`."""
        began, now = time.thread_time_ns(), self._loop.time()
        self.window.late.append(max(0, int((now - self._due) * 1e6)))
        turns = min(TURNS, max(1, len(self.hollows)))
        for hollow in list(self.hollows.values())[self._turn % turns :: turns]:
            hollow.turn(self.marker)
        self._turn += 1
        self._due = max(self._due + TICK_S / turns, now)
        self._loop.call_at(self._due, self._tick)
        self.window.own_ns += time.thread_time_ns() - began

    def drawn(self, weight: float) -> DrawnGauges:
        """Drawn gauges are shared by those of one weight: each takes another set, turned otherwise, at each beat."""
        if weight not in self._drawn:
            self._drawn[weight] = DrawnGauges(
                self.readers, self.writers, self.rate_per_s * weight, self.streams * weight, self.seed
            )
        return self._drawn[weight]

    async def handle(self, told: dict[str, Any]) -> dict[str, Any]:
        match told["order"]:
            case "open":
                self.text, self.work, self.seed = told["text"], told["work"], told["seed"]
                self.rate_per_s, self.streams = told["rate_per_s"], told["streams"]
                self.readers, self.writers = told["readers"], told["writers"]
                gc.collect()
                gc.freeze()  # as the program does at its start
                self._due = self._loop.time()
                self._tick()
                return await self._start(told["places"], told["spread_s"])
            case "start":
                return await self._start(told["places"], 0.0)
            case "stop":
                for name in told["names"]:
                    await self.hollows.pop(name).end(told["gracefully"])
                return {}
            case "begin":
                self.window, self.marker = Window(), told["marker"]
                if self.marker in self.hollows:
                    self.hollows[self.marker].service.read_at = []
                for hollow in self.hollows.values():
                    hollow.before = observe.datagram_totals(hollow.service)
                return {}
            case "end":
                return self._end()
            case "look":
                return self._look(told)
            case "reload":
                self.text, spent = told["text"], list[float]()
                for hollow in self.hollows.values():
                    spent.append(hollow.reload(self.text))
                    await asyncio.sleep(0)  # a beat that is due waits for one reload, as in a process of its own
                return {"seconds": spent}
            case "cut":
                far = [set(map(tuple, addresses)) for addresses in told["far"]]
                for hollow in self.hollows.values():
                    observe.cut_off(hollow.service, far[hollow.place.region])
                return {}
        raise ValueError(f"order {told['order']!r}")

    async def _start(self, places: list[dict[str, Any]], spread_s: float) -> dict[str, Any]:
        """One after the other over `spread_s`. Danger: up all at once, they would go on to fetch the list at once."""
        began, rng = self._loop.time(), random.Random(places[0]["seed"])
        for k, place in enumerate(places):
            await asyncio.sleep(max(0.0, began + spread_s * (k + rng.random()) / len(places) - self._loop.time()))
            hollow = Hollow(self, DispatcherSpec(**place), self.work)
            await hollow.open()
            self.hollows[hollow.place.name] = hollow
        return {"count": len(self.hollows)}

    def _end(self) -> dict[str, Any]:
        window, seconds = self.window, time.monotonic() - self.window.began
        cpu = time.process_time() - window.cpu
        read_at, self.marker = list[int](), ""
        counts: Counter[str] = Counter()
        for hollow in self.hollows.values():
            counts.update(observe.datagram_totals(hollow.service) - hollow.before)
            read_at, hollow.service.read_at = hollow.service.read_at or read_at, None
        ended, roles = Counter[str](), dict[int, str]()
        for hollow in self.hollows.values():
            ended.update(hollow.arrivals.results if hollow.arrivals else {})
            roles.update((e.id, e.role) for e in hollow.service.node.dispatcher.router.router.replicas.values())
        gc.collect()
        return {
            "count": len(self.hollows),
            "seconds": seconds,
            "cpu_s": cpu,
            "own_s": window.own_ns / 1e9,
            "counts": dict(counts),
            "late": encode_histogram(window.late),
            "marks": window.marks,
            "read_at": read_at,
            "lists": encode_histogram(window.lists),
            "uss": psutil.Process().memory_full_info().uss,
            "ended": dict(ended),
            "work": window.work,
            "roles": roles if self.work == "router" else {},
        }

    def _look(self, told: dict[str, Any]) -> dict[str, Any]:
        """How things stand now: counts, traffic since the start, and for a few, the sums as they see them."""
        counts, total, own = [], Counter[str](), dict.fromkeys(told["engines"], 0.0)
        numbers = [replica_id(name) for name in told["engines"]]
        late = max(self.window.late, default=0)
        self.window.late = array("q")
        sums = []
        for k, hollow in enumerate(self.hollows.values()):
            now = hollow.service.node.deadlines.clock()
            counts.append(observe.counted_dispatchers(hollow.service, now) or 0)
            total.update(observe.datagram_totals(hollow.service))
            engines = hollow.service.node.dispatcher.router.router.replicas
            for name, number in zip(told["engines"], numbers, strict=True):
                own[name] += engines[number].tokens_in_flight if number in engines else 0.0
            if k % 8 == 0:
                sums.append(observe.estimated_tokens(hollow.service, now, numbers))
        lists = [len(hollow.service.node.dispatcher.endpoints) for hollow in self.hollows.values()]
        return {
            "at": time.monotonic(),
            "names": list(self.hollows),
            "counts": counts,
            "totals": dict(total),
            "own": sum(own.values()),
            "seen": sums,
            "late_us": late,
            "listed": lists,
            "cpu_s": time.process_time(),
        }


def make() -> Handle:
    return Host().handle


if __name__ == "__main__":
    run(make)
    sys.exit(0)
