"""Runs a plan: starts the processes, injects the faults, and reports the violations that the oracle found."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import tempfile
from collections.abc import AsyncIterator

from pearhill.lab.soak.clients import Clients
from pearhill.lab.soak.discovery_agent import DiscoveryAgent
from pearhill.lab.soak.fault_injection import FaultInjector
from pearhill.lab.soak.fleet import SoakFleet, monotonic_us
from pearhill.lab.soak.lateness import Lateness
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.plan import ZONES, Plan, draw
from pearhill.lab.soak.processes import Dispatcher
from pearhill.lab.soak.records import Violation
from pearhill.lab.soak.replicas import DECODE, MIXED, PREFILL, Replica, Speeds
from pearhill.lab.soak.report import Report

# SIGKILL follows SIGTERM after the longest deadline, limited to `MAX_KILL_DEADLINE_S`, and `KILL_AFTER_S`.
MAX_KILL_DEADLINE_S = 3.0
KILL_AFTER_S = 0.7
SCAN_INTERVAL_S = 0.05
SPEEDS = Speeds(prefill_s=0.04, first_event_s=0.05, event_s=0.02)
TRACE_LINES = 60
FAULTS_SEED = 0x50A6  # so that the random numbers of the faults differ from those of the plan


class Soak:
    """One run of one plan."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.fleet = self._make_fleet(folder)
        self.faults = FaultInjector(self.fleet, random.Random(plan.seed ^ FAULTS_SEED))
        self._began = 0

    def _make_fleet(self, folder: pathlib.Path) -> SoakFleet:
        plan = self.plan
        kill_after_s = min(MAX_KILL_DEADLINE_S, plan.longest_timeout_s) + KILL_AFTER_S
        lateness = Lateness(monotonic_us)
        oracle = Oracle(plan.limits, lateness)
        roles = [PREFILL] * plan.prefill_replicas + [DECODE] * plan.decode_replicas + [MIXED] * plan.mixed_replicas
        replicas = [
            Replica(f"s-{n:02}", role, ZONES[n % 2], n % 2, SPEEDS, oracle, plan.seed * 100 + n, monotonic_us)
            for n, role in enumerate(roles)
        ]
        agents = [DiscoveryAgent(f"d-{n:02}", oracle, monotonic_us) for n in range(plan.dispatchers)]
        clients = Clients(plan.seed, plan.classes, oracle, monotonic_us)
        clients.kill_after_s = kill_after_s
        self._folder = folder
        return SoakFleet(oracle, lateness, clients, replicas, agents, kill_after_s)

    async def run(self) -> Report:
        """Run the plan once, until the last process has ended, and return the report."""
        await self._start_replicas()
        self.fleet.dispatchers = [self._make_dispatcher(n, agent) for n, agent in enumerate(self.fleet.agents)]
        async with self._watched():
            await self._run_plan()
        return self._report()

    async def _start_replicas(self) -> None:
        fleet = self.fleet
        await asyncio.gather(*(r.start() for r in fleet.replicas), *(a.start() for a in fleet.agents))
        for agent in fleet.agents:
            for replica in fleet.replicas:
                await agent.publish(replica.endpoint())

    def _make_dispatcher(self, number: int, agent: DiscoveryAgent) -> Dispatcher:
        return Dispatcher(
            agent.dispatcher,
            self._folder,
            self.plan.settings,
            agent.address,
            self.fleet.oracle,
            monotonic_us,
            self.plan.seed * 1000 + number,
            self.plan.sockets,
        )

    @contextlib.asynccontextmanager
    async def _watched(self) -> AsyncIterator[None]:
        """Scan for violations and record lateness within the context; at its end, end and close everything."""
        fleet = self.fleet
        watches = [
            asyncio.ensure_future(work)
            for work in (self._scan(), fleet.lateness.watch_loop(), fleet.lateness.watch_probe())
        ]
        try:
            yield
        finally:
            await asyncio.gather(*(d.kill() for d in fleet.dispatchers), return_exceptions=True)
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
            for replica in fleet.replicas:
                replica.close()
            for agent in fleet.agents:
                agent.close()

    async def _run_plan(self) -> None:
        fleet = self.fleet
        await asyncio.gather(*(d.start() for d in fleet.dispatchers))
        for dispatcher in fleet.dispatchers:
            fleet.add_to_front(dispatcher)
        self._began = monotonic_us()
        load = asyncio.ensure_future(fleet.clients.run(self.plan.rate, self.plan.seconds))
        await asyncio.gather(*(self.faults.inject(fault) for fault in self.plan.faults))
        await load
        await asyncio.gather(*(self.faults.shut_down(d) for d in fleet.dispatchers))
        await fleet.clients.finish()

    async def _scan(self) -> None:
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            self.fleet.oracle.scan(monotonic_us())

    def _report(self) -> Report:
        oracle = self.fleet.oracle
        requests = oracle.state.requests
        found = oracle.violations
        named = {v.request for v in found}
        named |= {requests[v.request].dispatcher for v in found if v.request in requests}
        violations = [Violation(v.at - self._began, v.rule, v.request, v.detail) for v in found]
        traces = {
            v.request: [record.dispatcher, record.idempotency, *record.trace, *self._close_reason(v.request)]
            for v in violations
            if (record := requests.get(v.request))
        }
        return Report(
            self.plan.seed,
            violations,
            self.fleet.clients.outcomes,
            oracle.state.exposure,
            self.fleet.lateness.worst / 1000,
            self.faults.injected,
            traces,
            {d.name: d.log[-TRACE_LINES:] for d in self.fleet.dispatchers if d.name in named},
        )

    def _close_reason(self, request: str) -> list[str]:
        reason = self.fleet.oracle.close_reason(request)
        return [f"its dispatcher logged reason={reason}"] if reason else []


def run_seed(seed: int, seconds: float, dispatchers: int) -> Report:
    """Run the plan of one seed, from the start of the first process to the end of the last one."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(draw(seed, seconds, dispatchers), pathlib.Path(folder)).run())
