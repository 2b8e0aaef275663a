"""A process with dozens of hollow dispatchers: each is the program's own `ChatService`, from a configuration file.

Each has its own sockets, endpoint list, gossip or load reports, Router, timers and seed. It has no port for clients, so
the costs of client connections, request parsing and streams are absent. A periodic tick of the process draws new gauges
for some of its dispatchers and reads the marks that they have received, so that each dispatcher has a turn once per
`TURN_INTERVAL_S`. The thread's CPU time in the tick is measured separately and subtracted from that of the process.
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
from dataclasses import replace
from typing import Any

import psutil

from pearhill.core.replica_ids import replica_id
from pearhill.lab.scale import observe
from pearhill.lab.scale.child import CommandHandler, run
from pearhill.lab.scale.files import DispatcherSpec
from pearhill.lab.scale.hollow_dispatcher import US_PER_S, Command, HollowDispatcher, HostSettings, MeasurementWindow
from pearhill.lab.scale.measure import encode_histogram
from pearhill.lab.scale.plan import Workload
from pearhill.lab.scale.work import DrawnGauges

TURN_INTERVAL_S = 0.25  # the interval at which gossip sends
TICKS_PER_INTERVAL = 5  # ticks of a process; with one, a dispatcher's timer would wait for the turns of all others
DISPATCHERS_PER_ESTIMATE = 8  # one in so many dispatchers estimates the tokens in flight


class HollowHost:
    """The process: its dispatchers, their turns, and the commands of the parent process."""

    settings: HostSettings

    def __init__(self) -> None:
        self.window = MeasurementWindow()
        self._dispatchers: dict[str, HollowDispatcher] = {}
        self._marker = ""  # the dispatcher that writes marks in this window; empty if none does
        self._gauges: dict[float, DrawnGauges] = {}
        self._loop = asyncio.get_running_loop()
        self._tick_due = 0.0
        self._ticks = 0
        self._commands: dict[str, Callable[[Command], Awaitable[dict[str, Any]]]] = {
            "open": self._open,
            "start": self._start,
            "stop": self._stop,
            "begin": self._begin,
            "end": self._end,
            "look": self._sample,
            "reload": self._reload,
            "cut": self._cut,
        }

    async def handle(self, command: Command) -> dict[str, Any]:
        """Execute one command of the parent process. Raises ValueError if the command is unknown."""
        name = command["order"]
        if name not in self._commands:
            raise ValueError(f"unknown command {name!r}")
        return await self._commands[name](command)

    def gauges_for(self, weight: float) -> DrawnGauges:
        """Returns the gauges of all dispatchers of one weight. Each turn draws a set of them and a rotation."""
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
        """Run the turn of some of the dispatchers. All have had a turn after `TURN_INTERVAL_S`."""
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

    async def _open(self, command: Command) -> dict[str, Any]:
        """Start the ticks, and start the first dispatchers, spread over `spread_s`."""
        self.settings = HostSettings.from_command(command)
        gc.collect()
        gc.freeze()  # the program does the same at its start
        self._tick_due = self._loop.time()
        self._tick()
        return await self._start_spread(command["places"], command["spread_s"])

    async def _start(self, command: Command) -> dict[str, Any]:
        """Start dispatchers one after the other, without a pause."""
        return await self._start_spread(command["places"], 0.0)

    async def _start_spread(self, specs: list[dict[str, Any]], spread_s: float) -> dict[str, Any]:
        """Start dispatchers, spread over `spread_s`.

        Dispatchers that start at the same time would also fetch the endpoint list at the same times later.
        """
        began = self._loop.time()
        rng = random.Random(specs[0]["seed"])
        for k, spec in enumerate(specs):
            due = began + spread_s * (k + rng.random()) / len(specs)
            await asyncio.sleep(max(0.0, due - self._loop.time()))
            dispatcher = HollowDispatcher(self, DispatcherSpec(**spec))
            await dispatcher.open()
            self._dispatchers[dispatcher.spec.name] = dispatcher
        return {"count": len(self._dispatchers)}

    async def _stop(self, command: Command) -> dict[str, Any]:
        for name in command["names"]:
            await self._dispatchers.pop(name).stop(command["gracefully"])
        return {}

    async def _reload(self, command: Command) -> dict[str, Any]:
        """Reload every dispatcher with another file. Dispatchers that are started later use the new file as well."""
        self.settings = replace(self.settings, template=command["text"])
        seconds: list[float] = []
        for dispatcher in self._dispatchers.values():
            seconds.append(dispatcher.reload(self.settings.template))
            await asyncio.sleep(0)  # a due timer waits for one reload only, as in a process with one dispatcher
        return {"seconds": seconds}

    async def _cut(self, command: Command) -> dict[str, Any]:
        """Cut off every dispatcher from the addresses that `far` lists for its region."""
        far_by_region = [set(map(tuple, addresses)) for addresses in command["far"]]
        for dispatcher in self._dispatchers.values():
            observe.cut_off(dispatcher.service, far_by_region[dispatcher.spec.region])
        return {}

    async def _begin(self, command: Command) -> dict[str, Any]:
        """Begin a measurement window, in which one dispatcher may write marks."""
        self.window = MeasurementWindow()
        self._marker = command["marker"]
        if self._marker in self._dispatchers:
            self._dispatchers[self._marker].service.read_at = []
        for dispatcher in self._dispatchers.values():
            dispatcher.begin_window()
        return {}

    async def _end(self, command: Command) -> dict[str, Any]:
        """End the window and return its measurements."""
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
            "marks": window.observations,
            "read_at": read_at,
            "lists": encode_histogram(window.list_ages),
            "uss": psutil.Process().memory_full_info().uss,
            "ended": dict(results),
            "work": window.work,
            "roles": self._roles() if self.settings.workload is Workload.ROUTER else {},
        }

    def _end_marks(self) -> list[int]:
        """Returns when the marker's load was read; empty if the marker is in another process. Ends the marks."""
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

    async def _sample(self, command: Command) -> dict[str, Any]:
        """Returns the current counts, the totals since the start, and estimates of the tokens at some replicas."""
        replica_ids = [replica_id(name) for name in command["engines"]]
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


def new_handler() -> CommandHandler:
    """Returns the handler of all commands. It must be called within the event loop."""
    return HollowHost().handle


if __name__ == "__main__":
    run(new_handler)
    sys.exit(0)
