"""Plays a plan: starts the processes, brings the troubles, and tells what the oracle found."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from pearhill.lab.soak.clients import Clients
from pearhill.lab.soak.connection_flood import ConnectionFlood
from pearhill.lab.soak.discovery_agent import DiscoveryAgent
from pearhill.lab.soak.lateness import Lateness, Span
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.plan import CONNECTION_BREAKING_CALLS, ZONES, Fault, Plan, draw
from pearhill.lab.soak.processes import Dispatcher, SignalAt
from pearhill.lab.soak.records import SECOND, Violation
from pearhill.lab.soak.replicas import DECODE, MIXED, PREFILL, Replica, Speeds
from pearhill.lab.soak.report import Report

NEW_CONNECTIONS_S = (0.2, 0.4)  # for so long after SIGTERM the front still gives out new connections
MAX_KILL_DEADLINE_S, KILL_AFTER_S = (
    3.0,
    0.7,
)  # SIGKILL comes the longest deadline, 3 s at most, and so much after SIGTERM
BETWEEN_SIGNALS_S = 0.05
SCAN_EVERY_S = 0.05
DRAIN_NOTICE_S = 0.6  # between the list's word that a replica leaves and its end
SPEEDS = Speeds(prefill_s=0.04, first_event_s=0.05, event_s=0.02)
TRACE_LINES = 60


def _now() -> int:
    return time.monotonic_ns() // 1000


class Soak:
    """One run of one plan."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed ^ 0x50A6)
        self.lateness = Lateness(_now)
        self.oracle = Oracle(plan.rules, self.lateness)
        self.wall_offset_us = 0  # the step of everybody's wall clock
        roles = [PREFILL] * plan.prefill_replicas + [DECODE] * plan.decode_replicas + [MIXED] * plan.mixed_replicas
        self.replicas = [
            Replica(f"s-{n:02}", role, ZONES[n % 2], n % 2, SPEEDS, self.oracle, plan.seed * 100 + n, _now)
            for n, role in enumerate(roles)
        ]
        self.agents = [DiscoveryAgent(f"d-{n:02}", self.oracle, _now) for n in range(plan.dispatchers)]
        self.folder = folder
        self.dispatchers: list[Dispatcher] = []
        self.clients = Clients(plan.seed, plan.classes, self.oracle, _now)
        self.clients.kill_after_s = self._kill_after_s
        self.injected: list[str] = []
        self._began = 0
        self._busy: set[str] = set()  # dispatchers that are being restarted
        self._injectors: dict[str, Callable[[Fault], Awaitable[None]]] = {
            "terminate": self._terminate,
            "kill": self._kill,
            "reload": self._reload,
            "hold": self._hold,
            "wall": self._wall,
            "cut": self._cut,
            "misbehave": self._misbehave,
            "restart-replica": self._restart_replica,
            "drain-replica": self._drain_replica,
            "silence-agents": self._silence_agents,
            "resets": self._resets,
            "fail-calls": self._fail_calls,
            "pieces": self._pieces,
            "crowd": self._flood,
            "hang-and-terminate": self._hang_and_terminate,
        }

    async def run(self) -> Report:
        """Play the plan once, to the end of the last process."""
        await asyncio.gather(*(r.start() for r in self.replicas), *(a.start() for a in self.agents))
        for agent in self.agents:
            for replica in self.replicas:
                await agent.publish(replica.endpoint())
        self.dispatchers = [
            Dispatcher(
                agent.dispatcher,
                self.folder,
                self.plan.settings,
                agent.address,
                self.oracle,
                _now,
                self.plan.seed * 1000 + n,
                self.plan.sockets,
            )
            for n, agent in enumerate(self.agents)
        ]
        watches = [
            asyncio.ensure_future(work)
            for work in (self._scan(), self.lateness.watch_loop(), self.lateness.watch_probe())
        ]
        try:
            await asyncio.gather(*(d.start() for d in self.dispatchers))
            for dispatcher in self.dispatchers:
                self._add_to_front(dispatcher)
            self._began = _now()
            load = asyncio.ensure_future(self.clients.run(self.plan.rate, self.plan.seconds))
            await asyncio.gather(*(self._inject(fault) for fault in self.plan.faults))
            await load
            await asyncio.gather(*(self._shut_down(d, ()) for d in self.dispatchers))
            await self.clients.finish()
        finally:
            await asyncio.gather(*(d.kill() for d in self.dispatchers), return_exceptions=True)
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
            for replica in self.replicas:
                replica.close()
            for agent in self.agents:
                agent.close()
        return self._report()

    def _report(self) -> Report:
        named = {v.request for v in self.oracle.violations}
        named |= {
            self.oracle.state.requests[v.request].dispatcher
            for v in self.oracle.violations
            if v.request in self.oracle.state.requests
        }
        violations = [Violation(v.at - self._began, v.rule, v.request, v.detail) for v in self.oracle.violations]
        traces = {
            v.request: [record.dispatcher, record.idempotency, *record.trace]
            for v in violations
            if (record := self.oracle.state.requests.get(v.request))
        }
        return Report(
            self.plan.seed,
            violations,
            self.clients.outcomes,
            self.oracle.state.exposure,
            self.lateness.worst / 1000,
            self.injected,
            traces,
            {d.name: d.log[-TRACE_LINES:] for d in self.dispatchers if d.name in named},
        )

    @property
    def _kill_after_s(self) -> float:
        """From SIGTERM to SIGKILL."""
        return min(MAX_KILL_DEADLINE_S, self.plan.longest_timeout_s) + KILL_AFTER_S

    def _add_to_front(self, dispatcher: Dispatcher) -> None:
        if dispatcher.address:
            self.clients.add_dispatcher(dispatcher.address)

    async def _scan(self) -> None:
        while True:
            await asyncio.sleep(SCAN_EVERY_S)
            self.oracle.scan(_now())

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        self.injected.append(
            f"{fault.at_s:.3f} {fault.kind} {fault.variant} {fault.amount} for {fault.duration_s:.3f} s, "
            f"pick {fault.pick:.3f}"
        )
        await self._injectors[fault.kind](fault)

    def _pick_dispatcher(self, fault: Fault) -> Dispatcher | None:
        free = [d for d in self.dispatchers if d.name not in self._busy]
        return free[int(fault.pick * len(free))] if free else None

    def _pick_replica(self, fault: Fault) -> Replica:
        return self.replicas[int(fault.pick * len(self.replicas))]

    # Troubles.

    async def _terminate(self, fault: Fault) -> None:
        if dispatcher := self._pick_dispatcher(fault):
            self._busy.add(dispatcher.name)
            await self._shut_down(dispatcher, self._signals_after_sigterm(fault.variant))
            await self._restart(dispatcher)

    async def _shut_down(self, dispatcher: Dispatcher, others: Sequence[SignalAt]) -> None:
        ended = asyncio.ensure_future(dispatcher.terminate(self._kill_after_s, others))
        self.clients.dispatcher_terminated(dispatcher.name)
        await asyncio.sleep(self.rng.uniform(*NEW_CONNECTIONS_S))
        self.clients.addresses.pop(dispatcher.name, None)
        await ended

    def _signals_after_sigterm(self, how: str) -> list[SignalAt]:
        """What follows a SIGTERM."""
        numbers = {
            "plain": [],
            "twice": [signal.SIGTERM],
            "reload": [signal.SIGHUP, signal.SIGHUP],
            "report": [signal.SIGUSR1, signal.SIGUSR1],
            "all": [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGHUP],
        }[how]
        return [SignalAt(number, self.rng.uniform(0, 0.3)) for number in numbers]

    async def _hang_and_terminate(self, fault: Fault) -> None:
        """A restart while all replicas of one role hang, also those that the last process has asked."""
        chosen = self._pick_replica(fault)
        hanging = [r for r in self.replicas if r.role == chosen.role]
        for replica in hanging:
            replica.misbehaviour, replica.misbehaving_share = "hang", 1.0
        await self._terminate(fault)
        for replica in hanging:
            replica.misbehaving_share = 0.0

    async def _kill(self, fault: Fault) -> None:
        if dispatcher := self._pick_dispatcher(fault):
            self._busy.add(dispatcher.name)
            self.clients.addresses.pop(dispatcher.name, None)
            await dispatcher.kill()
            await self._restart(dispatcher)

    async def _restart(self, dispatcher: Dispatcher) -> None:
        await dispatcher.start()
        self._add_to_front(dispatcher)
        self._busy.discard(dispatcher.name)

    async def _reload(self, fault: Fault) -> None:
        """In quick succession, for all that run; sometimes a SIGTERM in the midst, or a report."""
        for turn in range(int(fault.amount)):
            for dispatcher in self.dispatchers:
                if dispatcher.name not in self._busy:
                    dispatcher.reload(dispatcher.discovery)
                    if turn % 2:
                        dispatcher.signal(signal.SIGUSR1)
            await asyncio.sleep(self.rng.uniform(0, BETWEEN_SIGNALS_S))
        if fault.pick < 0.5:
            await self._terminate(replace(fault, variant="reload"))

    async def _hold(self, fault: Fault) -> None:
        since = _now()
        for dispatcher in self.dispatchers:
            dispatcher.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        self.lateness.stops.append(Span(since, _now(), _now() - since))
        for dispatcher in self.dispatchers:
            dispatcher.signal(signal.SIGCONT)

    async def _wall(self, fault: Fault) -> None:
        """Every machine reads the same clock. A moment later a replica comes back cold."""
        self.wall_offset_us += int(fault.amount * SECOND)
        for dispatcher in self.dispatchers:
            dispatcher.command(f"wall {fault.amount}", lasting=True)
        await asyncio.sleep(0.3)
        await self._restart_replica(fault)

    async def _restart_replica(self, fault: Fault) -> None:
        replica = self._pick_replica(fault)
        replica.restart(int(time.time() * 1000) + self.wall_offset_us // 1000)
        if not any(agent.is_silent for agent in self.agents):
            self.oracle.attempts.replica_started(_now(), replica.uid)
        await self._publish(replica)

    async def _drain_replica(self, fault: Fault) -> None:
        replica = self._pick_replica(fault)
        if sum(r.role == replica.role and r.state == "active" for r in self.replicas) < 3:
            return
        replica.state = "leaving"
        await self._publish(replica)

    async def _publish(self, replica: Replica) -> None:
        for agent in self.agents:
            await agent.publish(replica.endpoint())

    async def _cut(self, fault: Fault) -> None:
        """A zone's replicas of one role fall silent."""
        chosen = self._pick_replica(fault)
        cut = [r for r in self.replicas if r.role == chosen.role and r.zone == chosen.zone]
        for replica in cut:
            self.oracle.replica_cut_off(_now(), replica.uid, True)
            replica.proxy.cut(True)
        await asyncio.sleep(fault.duration_s)
        for replica in cut:
            replica.proxy.cut(False)
            self.oracle.replica_cut_off(_now(), replica.uid, False)

    async def _misbehave(self, fault: Fault) -> None:
        replica = self._pick_replica(fault)
        replica.misbehaviour, replica.misbehaving_share = fault.variant, fault.amount
        await asyncio.sleep(fault.duration_s)
        replica.misbehaving_share = 0.0

    async def _silence_agents(self, fault: Fault) -> None:
        """Discovery is down for all. A replica begins to leave within a moment of its return."""
        for agent in self.agents:
            await agent.set_silent(True)
        await asyncio.sleep(fault.duration_s)
        for agent in self.agents:
            await agent.set_silent(False)
        await asyncio.sleep(0.2)
        await self._drain_replica(fault)

    async def _resets(self, fault: Fault) -> None:
        replica = self._pick_replica(fault)
        replica.proxy.reset_share = fault.amount
        await asyncio.sleep(fault.duration_s)
        replica.proxy.reset_share = 0.0

    async def _fail_calls(self, fault: Fault) -> None:
        calls = [each.split() for each in fault.variant.split(",")]
        breaks = any(call in CONNECTION_BREAKING_CALLS for call, _, _ in calls)
        for dispatcher in self.dispatchers:
            for call, error, share in calls:
                dispatcher.command(f"fail {call} {error} {share}")
            if breaks:
                self.oracle.system_calls_fail(_now(), dispatcher.name, True)
        await asyncio.sleep(fault.duration_s)
        for dispatcher in self.dispatchers:
            for call, error, _ in calls:
                dispatcher.command(f"fail {call} {error} 0")
            if breaks:
                self.oracle.system_calls_fail(_now(), dispatcher.name, False)

    async def _pieces(self, fault: Fault) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.command(f"pieces {int(fault.amount)}")
        await asyncio.sleep(fault.duration_s)
        for dispatcher in self.dispatchers:
            dispatcher.command("pieces 0")

    async def _flood(self, fault: Fault) -> None:
        """Idle clients fill the descriptors of some, also while discovery is down."""
        addresses = list(self.clients.addresses.values())
        self.rng.shuffle(addresses)
        floods = [ConnectionFlood(address, int(fault.amount)) for address in addresses[: max(1, len(addresses) // 3)]]
        for flood in floods:
            self.oracle.dispatcher_flooded(_now(), flood.address.name, True)
            flood.start()
        if fault.variant:
            await self._silence_agents(fault)
        else:
            await asyncio.sleep(fault.duration_s)
        for flood in floods:
            flood.stop()
            self.oracle.dispatcher_flooded(_now() + SECOND, flood.address.name, False)


def play(seed: int, seconds: float, dispatchers: int) -> Report:
    """One seed, from its first process to its last."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(draw(seed, seconds, dispatchers), pathlib.Path(folder)).run())
