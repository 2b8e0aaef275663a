"""Plays a plan: starts the processes, brings the troubles, and tells what the oracle found."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

from pearhill.lab.soak.clients import Clients, ConnectionFlood
from pearhill.lab.soak.lateness import Lateness, Span
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.plan import BREAKING, ZONES, Plan, Trouble, draw
from pearhill.lab.soak.processes import Dispatcher, SignalAt
from pearhill.lab.soak.records import SECOND, Violation
from pearhill.lab.soak.replicas import MIXED, READER, WRITER, Agent, Replica, Speeds

NEWS_OF_TERM_S = (0.2, 0.4)  # for so long after SIGTERM the front still gives out new connections
LONGEST_S, KILL_AFTER_S = 3.0, 0.7  # SIGKILL comes the longest deadline, 3 s at most, and so much after SIGTERM
BETWEEN_SIGNALS_S = 0.05
SCAN_EVERY_S = 0.05
DRAIN_NEWS_S = 0.6  # between the list's word that a replica leaves and its end
SPEEDS = Speeds(read_s=0.04, first_event_s=0.05, event_s=0.02)
TRACE_LINES = 60


def _now() -> int:
    return time.monotonic_ns() // 1000


@dataclass(slots=True)
class Report:
    """What came of one seed. `logs`: the last lines of each dispatcher that a violation names."""

    seed: int
    violations: list[Violation]
    outcomes: Counter[str]
    exposure: Counter[str]
    latest_ms: float
    troubles: list[str] = field(default_factory=list)
    traces: dict[str, list[str]] = field(default_factory=dict)
    logs: dict[str, list[str]] = field(default_factory=dict)

    def text(self) -> str:
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations, {dict(self.outcomes)}",
            f"  could have been broken: {dict(sorted(self.exposure.items()))}; latest {self.latest_ms:.0f} ms",
        ]
        if self.violations:
            lines += [f"  trouble {line}" for line in self.troubles]
            for v in self.violations:
                lines.append(f"  VIOLATION at {v.at / SECOND:.3f} {v.rule} {v.request}: {v.detail}")
                lines.append(f"    {'; '.join(self.traces.get(v.request, ()))}")
        return "\n".join(lines)


class Soak:
    """One run of one plan."""

    def __init__(self, plan: Plan, folder: pathlib.Path) -> None:
        self.plan, self.rng = plan, random.Random(plan.seed ^ 0x50A6)
        self.lateness = Lateness(_now)
        self.oracle = Oracle(plan.rules, self.lateness)
        self.wall_us = 0  # the step of everybody's wall clock
        roles = [READER] * plan.readers + [WRITER] * plan.writers + [MIXED] * plan.mixed
        self.replicas = [
            Replica(f"s-{n:02}", role, ZONES[n % 2], n % 2, SPEEDS, self.oracle, plan.seed * 100 + n, _now)
            for n, role in enumerate(roles)
        ]
        self.agents = [Agent(f"d-{n:02}", self.oracle, _now) for n in range(plan.dispatchers)]
        self.folder = folder
        self.dispatchers: list[Dispatcher] = []
        self.clients = Clients(plan.seed, plan.classes, self.oracle, _now)
        self.clients.kill_after_s = self._term_s
        self.played: list[str] = []
        self._began = 0
        self._busy: set[str] = set()  # dispatchers that are being restarted

    async def run(self) -> Report:
        await asyncio.gather(*(r.start() for r in self.replicas), *(a.start() for a in self.agents))
        for agent in self.agents:
            for replica in self.replicas:
                await agent.tell(replica.target())
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
                self._open(dispatcher)
            self._began = _now()
            load = asyncio.ensure_future(self.clients.run(self.plan.rate, self.plan.seconds))
            await asyncio.gather(*(self._bring(trouble) for trouble in self.plan.troubles))
            await load
            await asyncio.gather(*(self._end(d, ()) for d in self.dispatchers))
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
            self.oracle.requests[v.request].dispatcher
            for v in self.oracle.violations
            if v.request in self.oracle.requests
        }
        violations = [Violation(v.at - self._began, v.rule, v.request, v.detail) for v in self.oracle.violations]
        traces = {
            v.request: [asked.dispatcher, asked.effect, *asked.trace]
            for v in violations
            if (asked := self.oracle.requests.get(v.request))
        }
        return Report(
            self.plan.seed,
            violations,
            self.clients.outcomes,
            self.oracle.exposure,
            self.lateness.worst / 1000,
            self.played,
            traces,
            {d.name: d.log[-TRACE_LINES:] for d in self.dispatchers if d.name in named},
        )

    @property
    def _term_s(self) -> float:
        """From SIGTERM to SIGKILL."""
        return min(LONGEST_S, self.plan.longest_s) + KILL_AFTER_S

    def _open(self, dispatcher: Dispatcher) -> None:
        if dispatcher.door:
            self.clients.add_dispatcher(dispatcher.door)

    async def _scan(self) -> None:
        while True:
            await asyncio.sleep(SCAN_EVERY_S)
            self.oracle.scan(_now())

    async def _bring(self, trouble: Trouble) -> None:
        await asyncio.sleep(trouble.at)
        self.played.append(
            f"{trouble.at:.3f} {trouble.kind} {trouble.how} {trouble.amount} for {trouble.lasts:.3f} s, "
            f"pick {trouble.pick:.3f}"
        )
        await getattr(self, "_" + trouble.kind.replace("-", "_"))(trouble)

    def _dispatcher(self, trouble: Trouble) -> Dispatcher | None:
        free = [d for d in self.dispatchers if d.name not in self._busy]
        return free[int(trouble.pick * len(free))] if free else None

    def _replica(self, trouble: Trouble) -> Replica:
        return self.replicas[int(trouble.pick * len(self.replicas))]

    # Troubles.

    async def _terminate(self, trouble: Trouble) -> None:
        if dispatcher := self._dispatcher(trouble):
            self._busy.add(dispatcher.name)
            await self._end(dispatcher, self._series(trouble.how))
            await self._again(dispatcher)

    async def _end(self, dispatcher: Dispatcher, others: Sequence[SignalAt]) -> None:
        ended = asyncio.ensure_future(dispatcher.terminate(self._term_s, others))
        self.clients.dispatcher_terminated(dispatcher.name)
        await asyncio.sleep(self.rng.uniform(*NEWS_OF_TERM_S))
        self.clients.addresses.pop(dispatcher.name, None)
        await ended

    def _series(self, how: str) -> list[SignalAt]:
        """What follows a SIGTERM."""
        numbers = {
            "plain": [],
            "twice": [signal.SIGTERM],
            "reload": [signal.SIGHUP, signal.SIGHUP],
            "report": [signal.SIGUSR1, signal.SIGUSR1],
            "all": [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGHUP],
        }[how]
        return [SignalAt(number, self.rng.uniform(0, 0.3)) for number in numbers]

    async def _hang_and_terminate(self, trouble: Trouble) -> None:
        """A restart while all replicas of one role hang, also those that the last process has asked."""
        chosen = self._replica(trouble)
        hanging = [r for r in self.replicas if r.role == chosen.role]
        for replica in hanging:
            replica.how, replica.misbehaves = "hang", 1.0
        await self._terminate(trouble)
        for replica in hanging:
            replica.misbehaves = 0.0

    async def _kill(self, trouble: Trouble) -> None:
        if dispatcher := self._dispatcher(trouble):
            self._busy.add(dispatcher.name)
            self.clients.addresses.pop(dispatcher.name, None)
            await dispatcher.kill()
            await self._again(dispatcher)

    async def _again(self, dispatcher: Dispatcher) -> None:
        await dispatcher.start()
        self._open(dispatcher)
        self._busy.discard(dispatcher.name)

    async def _reload(self, trouble: Trouble) -> None:
        """In quick succession, for all that run; sometimes a SIGTERM in the midst, or a report."""
        for turn in range(int(trouble.amount)):
            for dispatcher in self.dispatchers:
                if dispatcher.name not in self._busy:
                    dispatcher.reload(dispatcher.discovery)
                    if turn % 2:
                        dispatcher.signal(signal.SIGUSR1)
            await asyncio.sleep(self.rng.uniform(0, BETWEEN_SIGNALS_S))
        if trouble.pick < 0.5:
            await self._terminate(replace(trouble, how="reload"))

    async def _hold(self, trouble: Trouble) -> None:
        since = _now()
        for dispatcher in self.dispatchers:
            dispatcher.signal(signal.SIGSTOP)
        await asyncio.sleep(trouble.lasts)
        self.lateness.holds.append(Span(since, _now(), _now() - since))
        for dispatcher in self.dispatchers:
            dispatcher.signal(signal.SIGCONT)

    async def _wall(self, trouble: Trouble) -> None:
        """Every machine reads the same clock. A moment later a replica comes back cold."""
        self.wall_us += int(trouble.amount * SECOND)
        for dispatcher in self.dispatchers:
            dispatcher.command(f"wall {trouble.amount}", lasting=True)
        await asyncio.sleep(0.3)
        await self._restart_replica(trouble)

    async def _restart_replica(self, trouble: Trouble) -> None:
        replica = self._replica(trouble)
        replica.restart(int(time.time() * 1000) + self.wall_us // 1000)
        if not any(agent.is_silent for agent in self.agents):
            self.oracle.started(_now(), replica.uid)
        await self._tell(replica)

    async def _drain_replica(self, trouble: Trouble) -> None:
        replica = self._replica(trouble)
        if sum(r.role == replica.role and r.state == "active" for r in self.replicas) < 3:
            return
        replica.state = "leaving"
        await self._tell(replica)

    async def _tell(self, replica: Replica) -> None:
        for agent in self.agents:
            await agent.tell(replica.target())

    async def _cut(self, trouble: Trouble) -> None:
        """A zone's replicas of one role fall silent."""
        chosen = self._replica(trouble)
        cut = [r for r in self.replicas if r.role == chosen.role and r.zone == chosen.zone]
        for replica in cut:
            self.oracle.cut(_now(), replica.uid, True)
            replica.proxy.cut(True)
        await asyncio.sleep(trouble.lasts)
        for replica in cut:
            replica.proxy.cut(False)
            self.oracle.cut(_now(), replica.uid, False)

    async def _misbehave(self, trouble: Trouble) -> None:
        replica = self._replica(trouble)
        replica.how, replica.misbehaves = trouble.how, trouble.amount
        await asyncio.sleep(trouble.lasts)
        replica.misbehaves = 0.0

    async def _silence_agents(self, trouble: Trouble) -> None:
        """Discovery is down for all. A replica begins to leave within a moment of its return."""
        for agent in self.agents:
            await agent.silence(True)
        await asyncio.sleep(trouble.lasts)
        for agent in self.agents:
            await agent.silence(False)
        await asyncio.sleep(0.2)
        await self._drain_replica(trouble)

    async def _resets(self, trouble: Trouble) -> None:
        replica = self._replica(trouble)
        replica.proxy.reset_share = trouble.amount
        await asyncio.sleep(trouble.lasts)
        replica.proxy.reset_share = 0.0

    async def _fail_calls(self, trouble: Trouble) -> None:
        calls = [each.split() for each in trouble.how.split(",")]
        breaks = any(call in BREAKING for call, _, _ in calls)
        for dispatcher in self.dispatchers:
            for call, error, share in calls:
                dispatcher.command(f"fail {call} {error} {share}")
            if breaks:
                self.oracle.calls_fail(_now(), dispatcher.name, True)
        await asyncio.sleep(trouble.lasts)
        for dispatcher in self.dispatchers:
            for call, error, _ in calls:
                dispatcher.command(f"fail {call} {error} 0")
            if breaks:
                self.oracle.calls_fail(_now(), dispatcher.name, False)

    async def _pieces(self, trouble: Trouble) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.command(f"pieces {int(trouble.amount)}")
        await asyncio.sleep(trouble.lasts)
        for dispatcher in self.dispatchers:
            dispatcher.command("pieces 0")

    async def _crowd(self, trouble: Trouble) -> None:
        """Idle clients fill the descriptors of some, also while discovery is down."""
        doors = list(self.clients.addresses.values())
        self.rng.shuffle(doors)
        crowds = [ConnectionFlood(door, int(trouble.amount)) for door in doors[: max(1, len(doors) // 3)]]
        for crowd in crowds:
            self.oracle.crowded(_now(), crowd.address.name, True)
            crowd.start()
        if trouble.how:
            await self._silence_agents(trouble)
        else:
            await asyncio.sleep(trouble.lasts)
        for crowd in crowds:
            crowd.stop()
            self.oracle.crowded(_now() + SECOND, crowd.address.name, False)


def play(seed: int, seconds: float, dispatchers: int) -> Report:
    """One seed, from its first process to its last."""
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(Soak(draw(seed, seconds, dispatchers), pathlib.Path(folder)).run())
