"""Injects a plan's faults: signals, restarts, cut networks, silent agents, floods and failing system calls."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace

from pearhill.lab.soak.connection_flood import ConnectionFlood
from pearhill.lab.soak.fleet import SoakFleet, monotonic_us
from pearhill.lab.soak.lateness import Span
from pearhill.lab.soak.plan import (
    CONNECTION_BREAKING_CALLS,
    DIES,
    DISCOVERY_IS_DOWN,
    REPLICAS_ARE_REPLACED,
    SHUTDOWN,
    Fault,
)
from pearhill.lab.soak.processes import DelayedSignal, Dispatcher
from pearhill.lab.soak.records import SECOND
from pearhill.lab.soak.replicas import Replica

NEW_CONNECTIONS_S = (0.2, 0.4)  # for which clients still open connections to a dispatcher after SIGTERM
BETWEEN_SIGNALS_S = 0.05
REPLACED_REPLICAS = 3  # during a flood that uses up the file descriptors


class FaultInjector:
    """Injects faults, which may overlap; no other fault restarts a dispatcher that is being restarted.

    `injected`: a line for each fault that has begun.
    """

    def __init__(self, fleet: SoakFleet, rng: random.Random) -> None:
        self.injected: list[str] = []
        self._fleet = fleet
        self._rng = rng
        self._wall_offset_us = 0  # the sum of all steps of the wall clock, which all machines share
        self._restarting: set[str] = set()  # names of dispatchers
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
            "stop-replica": self._stop_replica,
            "busy-replica": self._make_busy,
        }

    async def inject(self, fault: Fault) -> None:
        """Wait for the fault's time, inject it, and wait until it is over."""
        await asyncio.sleep(fault.at_s)
        self.injected.append(
            f"{fault.at_s:.3f} {fault.kind} {fault.variant} {fault.amount} for {fault.duration_s:.3f} s, "
            f"pick {fault.pick:.3f}"
        )
        await self._injectors[fault.kind](fault)

    def _pick_dispatcher(self, fault: Fault) -> Dispatcher | None:
        free = [d for d in self._fleet.dispatchers if d.name not in self._restarting]
        return free[int(fault.pick * len(free))] if free else None

    def _pick_replica(self, fault: Fault) -> Replica:
        return self._fleet.replicas[int(fault.pick * len(self._fleet.replicas))]

    async def _terminate(self, fault: Fault) -> None:
        if dispatcher := self._pick_dispatcher(fault):
            await self._terminate_one(dispatcher, fault)

    async def _terminate_one(self, dispatcher: Dispatcher, fault: Fault) -> None:
        self._restarting.add(dispatcher.name)
        if fault.variant == "list":
            await self._restart_replica(fault)
        signals = self._signals_after_sigterm(fault.variant)
        self._fleet.oracle.count(f"SIGTERM in the series {fault.variant}")
        await self.shut_down(dispatcher, signals)
        await self._restart(dispatcher)

    async def shut_down(self, dispatcher: Dispatcher, further_signals: Sequence[DelayedSignal] = ()) -> None:
        """Send SIGTERM and the signals that follow it, and wait for the process's end.

        The dispatcher gets new connections for a short time after SIGTERM, `NEW_CONNECTIONS_S`.
        """
        ended = asyncio.ensure_future(dispatcher.terminate(self._fleet.kill_after_s, further_signals))
        self._fleet.clients.dispatcher_terminated(dispatcher.name)
        await asyncio.sleep(self._rng.uniform(*NEW_CONNECTIONS_S))
        self._fleet.clients.addresses.pop(dispatcher.name, None)
        await ended

    def _signals_after_sigterm(self, series: str) -> list[DelayedSignal]:
        """Returns the signals that follow a SIGTERM in this series, at random intervals."""
        numbers = {
            "plain": [],
            "twice": [signal.SIGTERM],
            "reload": [signal.SIGHUP, signal.SIGHUP],
            "report": [signal.SIGUSR1, signal.SIGUSR1],
            "all": [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGHUP],
            "list": [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM],
        }[series]
        return [DelayedSignal(number, self._rng.uniform(0, 0.3)) for number in numbers]

    async def _hang_and_terminate(self, fault: Fault) -> None:
        """Restart a dispatcher while all replicas of one role hang, including those that the old process has called."""
        chosen = self._pick_replica(fault)
        hanging = [r for r in self._fleet.replicas if r.role == chosen.role]
        for replica in hanging:
            replica.misbehaviour, replica.misbehaving_share = "hang", 1.0
        await self._terminate(fault)
        for replica in hanging:
            replica.misbehaving_share = 0.0

    async def _kill(self, fault: Fault) -> None:
        if dispatcher := self._pick_dispatcher(fault):
            self._restarting.add(dispatcher.name)
            self._fleet.clients.addresses.pop(dispatcher.name, None)
            await dispatcher.kill()
            await self._restart(dispatcher)

    async def _restart(self, dispatcher: Dispatcher) -> None:
        await dispatcher.start()
        self._fleet.add_to_front(dispatcher)
        self._restarting.discard(dispatcher.name)

    async def _reload(self, fault: Fault) -> None:
        """Reload all running dispatchers in quick succession.

        Every second turn also sends SIGUSR1. Half of the faults end with a SIGTERM to one dispatcher.
        """
        for turn in range(int(fault.amount)):
            for dispatcher in self._fleet.dispatchers:
                if dispatcher.name not in self._restarting:
                    dispatcher.reload(dispatcher.discovery)
                    if turn % 2:
                        dispatcher.signal(signal.SIGUSR1)
            await asyncio.sleep(self._rng.uniform(0, BETWEEN_SIGNALS_S))
        if fault.pick < 0.5:
            self._fleet.oracle.count("SIGTERM during a reload")
            await self._terminate(replace(fault, variant="reload"))

    async def _hold(self, fault: Fault) -> None:
        since = monotonic_us()
        for dispatcher in self._fleet.dispatchers:
            dispatcher.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration_s)
        self._fleet.lateness.stops.append(Span(since, monotonic_us(), monotonic_us() - since))
        for dispatcher in self._fleet.dispatchers:
            dispatcher.signal(signal.SIGCONT)

    async def _wall(self, fault: Fault) -> None:
        """Step the wall clock of all machines, and restart a replica shortly after.

        The restarted replica states its start in the time of the stepped clock.
        """
        self._wall_offset_us += int(fault.amount * SECOND)
        for dispatcher in self._fleet.dispatchers:
            dispatcher.command(f"wall {fault.amount}", lasting=True)
        await asyncio.sleep(0.3)
        await self._restart_replica(fault)

    async def _restart_replica(self, fault: Fault) -> None:
        await self._restart_as_cold(self._pick_replica(fault))

    async def _restart_as_cold(self, replica: Replica) -> None:
        replica.restart(int(time.time() * 1000) + self._wall_offset_us // 1000)
        if not any(agent.is_silent for agent in self._fleet.agents):
            self._fleet.oracle.attempts.replica_started(monotonic_us(), replica.uid)
        await self._publish(replica)

    async def _drain_replica(self, fault: Fault) -> None:
        replica = self._pick_replica(fault)
        if sum(r.role == replica.role and r.state == "active" for r in self._fleet.replicas) < 3:
            return
        replica.state = "leaving"
        await self._publish(replica)

    async def _publish(self, replica: Replica) -> None:
        for agent in self._fleet.agents:
            await agent.publish(replica.endpoint())

    async def _cut(self, fault: Fault) -> None:
        """Cut the network to the replicas of one role in one zone."""
        chosen = self._pick_replica(fault)
        cut = [r for r in self._fleet.replicas if r.role == chosen.role and r.zone == chosen.zone]
        for replica in cut:
            self._fleet.oracle.replica_cut_off(monotonic_us(), replica.uid, True)
            replica.proxy.cut(True)
        await asyncio.sleep(fault.duration_s)
        for replica in cut:
            replica.proxy.cut(False)
            self._fleet.oracle.replica_cut_off(monotonic_us(), replica.uid, False)

    async def _stop_replica(self, fault: Fault) -> None:
        """Stop a replica's process, which then goes on, or dies with what it has begun."""
        replica = self._pick_replica(fault)
        replica.stop()
        self._fleet.oracle.count(f"replicas that were stopped, and then {fault.variant}")
        await asyncio.sleep(fault.duration_s)
        if fault.variant == DIES:
            await self._restart_as_cold(replica)
        else:
            replica.resume()

    async def _make_busy(self, fault: Fault) -> None:
        """Let a replica prefill slowly, notice the end of attempts late, and answer releases late."""
        replica = self._pick_replica(fault)
        replica.busy_delay_s = fault.amount
        self._fleet.oracle.count("replicas that were busy")
        await asyncio.sleep(fault.duration_s)
        replica.busy_delay_s = 0.0

    async def _misbehave(self, fault: Fault) -> None:
        replica = self._pick_replica(fault)
        replica.misbehaviour, replica.misbehaving_share = fault.variant, fault.amount
        await asyncio.sleep(fault.duration_s)
        replica.misbehaving_share = 0.0

    async def _silence_agents(self, fault: Fault) -> None:
        """Silence the discovery agents of all dispatchers, and drain a replica shortly after they answer again."""
        for agent in self._fleet.agents:
            await agent.set_silent(True)
        await asyncio.sleep(fault.duration_s)
        for agent in self._fleet.agents:
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
        breaks_connections = any(call in CONNECTION_BREAKING_CALLS for call, _, _ in calls)
        for dispatcher in self._fleet.dispatchers:
            for call, error, share in calls:
                dispatcher.command(f"fail {call} {error} {share}")
            if breaks_connections:
                self._fleet.oracle.system_calls_fail(monotonic_us(), dispatcher.name, True)
        await asyncio.sleep(fault.duration_s)
        for dispatcher in self._fleet.dispatchers:
            for call, error, _ in calls:
                dispatcher.command(f"fail {call} {error} 0")
            if breaks_connections:
                self._fleet.oracle.system_calls_fail(monotonic_us(), dispatcher.name, False)

    async def _pieces(self, fault: Fault) -> None:
        for dispatcher in self._fleet.dispatchers:
            dispatcher.command(f"pieces {int(fault.amount)}")
        await asyncio.sleep(fault.duration_s)
        for dispatcher in self._fleet.dispatchers:
            dispatcher.command("pieces 0")

    async def _run_during_flood(self, flooded: set[str], fault: Fault) -> None:
        """Do what the fault's variant names while a flood uses up the file descriptors of these dispatchers."""
        if fault.variant == DISCOVERY_IS_DOWN:
            await self._silence_agents(fault)
        elif fault.variant == REPLICAS_ARE_REPLACED:
            await self._replace_replicas(fault)
        elif fault.variant == SHUTDOWN:
            free = [d for d in self._fleet.dispatchers if d.name in flooded and d.name not in self._restarting]
            for dispatcher in free[:1]:
                await self._terminate_one(dispatcher, replace(fault, variant="all"))
        else:
            await asyncio.sleep(fault.duration_s)

    async def _replace_replicas(self, fault: Fault) -> None:
        for _ in range(REPLACED_REPLICAS):
            await self._restart_replica(replace(fault, pick=self._rng.random()))
            await asyncio.sleep(fault.duration_s / REPLACED_REPLICAS)

    async def _flood(self, fault: Fault) -> None:
        """Flood a third of the dispatchers with idle connections, which use up their file descriptors."""
        addresses = list(self._fleet.clients.addresses.values())
        self._rng.shuffle(addresses)
        chosen = addresses[: max(1, len(addresses) // 3)]
        floods = [ConnectionFlood(each.name, each.host, each.port, int(fault.amount)) for each in chosen]
        try:
            for flood in floods:
                self._fleet.oracle.dispatcher_flooded(monotonic_us(), flood.name, True)
            await asyncio.gather(*(flood.start() for flood in floods))
            self._fleet.oracle.count(f"crowds: {fault.variant or 'nothing else'}")
            await self._run_during_flood({flood.name for flood in floods}, fault)
        finally:
            await asyncio.gather(*(flood.stop() for flood in floods))
        for flood in floods:
            self._fleet.oracle.dispatcher_flooded(monotonic_us() + SECOND, flood.name, False)
