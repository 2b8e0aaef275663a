"""Every change at the agent reaches the list in force, whatever happens to the calls, on a virtual clock.

The model of the agent follows FLEET.md: a change counts as reported when the agent has it, whether or not a watch is
open. A change that a silent watch misses counts as reported 6 s after the silence began, or 2 s after the end of that
call's wait. The `Watch` is the real one."""

import asyncio
import itertools
import json
import random
import re
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pearhill import settings as deployments
from pearhill.core.deadlines import Deadlines
from pearhill.net.tasks import Tasks
from pearhill.net.ticks import EventLoopTicks
from pearhill.platform import discovery
from pearhill.platform.schedule import CallSchedule
from tests.standins import SETTINGS
from tests.virtual import VirtualLoop

S = 1_000_000
ENTRY = {"uid": "s-1", "endpoint": "127.0.0.1:1", "az": "north", "model": "writer", "pod_group": 1, "state": "active"}


class OpenCall:
    """An open call at the agent."""

    def __init__(self, at: int, wait: int, wake_up: asyncio.Future[Exception | None]) -> None:
        self.at, self.wait, self.wake_up = at, wait, wake_up
        self.silent_since: int | None = None


class Agent:
    """A simulated agent. `keeps_calls`: whether it answers calls made while it is down once it is back, or never."""

    def __init__(self, loop: VirtualLoop, keeps_calls: bool, grace: int, applied: dict[int, int]) -> None:
        self.loop, self.keeps_calls, self.rev, self.open = loop, keeps_calls, 1, list[OpenCall]()
        self.grace, self.applied = grace, applied
        self.down_at: int | None = None
        self.invalid_answers, self.calls = 0, 0
        self.reported: dict[int, int] = {}  # by revision

    async def call(self, pool: object, address: object, data: bytes, timeout: int, purpose: int) -> tuple[int, bytes]:
        self.calls += 1
        query = re.search(rb"after=(\d+)&wait_ms=(\d+)", data)
        after, wait = (int(query[1]), int(query[2]) * 1000) if query else (0, 0)
        this_call = OpenCall(self.loop.micros(), wait, self.loop.create_future())
        if self.down_at is not None and not self.keeps_calls:
            this_call.silent_since = this_call.at
        self.open.append(this_call)
        try:
            async with asyncio.timeout(timeout / S):
                while (
                    this_call.silent_since is not None
                    or self.down_at is not None
                    or (self.rev <= after and self.loop.micros() < this_call.at + wait)
                ):
                    left = this_call.at + wait - self.loop.micros()
                    ends = left if left > 0 and this_call.silent_since is None and self.down_at is None else None
                    done, _ = await asyncio.wait({this_call.wake_up}, timeout=ends and ends / S)
                    if done and (error := this_call.wake_up.result()):
                        raise error
                    if done:
                        this_call.wake_up = self.loop.create_future()
        finally:
            self.open.remove(this_call)
        if self.invalid_answers:
            self.invalid_answers -= 1
            return (503, b"") if self.invalid_answers % 2 else (200, b'{"rev": ')
        return 200, json.dumps(
            {"rev": self.rev, "all": not after, "targets": [ENTRY] if self.rev > after else []},
            indent=self.rev % 2 or None,
        ).encode()

    def _wake(self, error: Exception | None = None) -> None:
        for call in self.open:
            if not call.wake_up.done() and (call.silent_since is None or error):
                call.wake_up.set_result(error)

    def _report(self, now: int) -> None:
        watching = [c for c in self.open if c.silent_since is None]
        self.reported[self.rev] = (
            now
            if watching or not self.open
            else min(
                max(c.silent_since + 6 * S, c.at + c.wait + 2 * S) for c in self.open if c.silent_since is not None
            )
        )

    def _change(self, now: int) -> None:
        self.rev += 1
        if self.down_at is None:
            self._report(now)
            self._wake()

    def _silence_calls(self, now: int) -> None:
        for call in self.open:
            call.silent_since = call.silent_since or now

    def _come_back(self, now: int, down_at: int) -> None:
        was_long = now - down_at >= 2 * S
        self.down_at = None
        for rev, reported in self.reported.items():  # changes that came due during the silence could not be received
            if reported + self.grace >= down_at and rev > max(self.applied, default=0):
                self.reported[rev] = max(reported, now)
        if self.rev not in self.reported:
            self._report(now)
            self.reported[self.rev] = now if was_long else self.reported[self.rev]
        self._wake()

    def apply_step(self, what: str) -> None:
        """Run one step of a script."""
        now = self.loop.micros()
        match what:
            case "change":
                self._change(now)
            case "hush":
                self._silence_calls(now)
            case "reset":
                self._wake(ConnectionResetError())
            case "garble":
                self.invalid_answers = 2
            case "down" if self.down_at is None:
                self.down_at = now
                if not self.keeps_calls:
                    self._silence_calls(now)
            case "up" if self.down_at is not None:
                self._come_back(now, self.down_at)


STEPS = st.sampled_from(["change", "change", "hush", "reset", "garble", "down", "up"])
SCRIPTS = st.lists(st.tuples(st.integers(1, 4_000), STEPS), min_size=1, max_size=25)


@pytest.mark.parametrize("grace", [250_000, 500_000, 1_000_000])
@settings(max_examples=60, deadline=None, derandomize=True)
@given(script=SCRIPTS, keeps_calls=st.booleans(), seed=st.integers(0, 9))
def test_every_change_is_in_force_within_the_grace_after_it_counts_as_reported(
    grace: int, script: list[tuple[int, str]], keeps_calls: bool, seed: int
) -> None:
    loop = VirtualLoop()
    applied: dict[int, int] = {}
    deadlines = Deadlines(loop.micros)
    deployment = deployments.parse({**SETTINGS, "rules": {**SETTINGS["rules"], "drain-grace": grace}})
    agent = Agent(loop, keeps_calls, grace, applied)

    async def run_scenario() -> None:
        ticks = EventLoopTicks(loop, deadlines)
        pool: Any = SimpleNamespace(
            spawn=Tasks(loop, "a call").spawn, deadlines=deadlines, drop_idle=lambda address: None
        )
        schedule = CallSchedule(deployment.shared_discovery, 200, deployment.drain_grace, random.Random(seed))

        def apply(*changes: object) -> None:
            applied.setdefault(watch.revision, loop.micros())

        watch = discovery.Watch(
            pool,
            ("127.0.0.1", 1),
            deployment,
            apply,
            schedule,
            {},
        )
        with patch.object(discovery, "call", agent.call):
            watch.start()
            for wait_ms, what in script:
                await asyncio.sleep(wait_ms / 1000)
                agent.apply_step(what)
            agent.apply_step("up")
            await asyncio.sleep(15)
            watch.stop()
            await asyncio.sleep(0.01)
        ticks.close()

    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run_scenario())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    for rev, reported in agent.reported.items():
        received = min((at for later, at in applied.items() if later >= rev), default=None)
        assert received is not None, f"version {rev} was never received"
        assert (
            received <= reported + grace
        ), f"version {rev} was reported at {reported}, received {(received - reported) / S:.3f} s later"
    # Without this bound a watch that polls every few milliseconds would pass too.
    seconds = 15 + sum(wait for wait, _ in script) / 1000
    assert agent.calls <= 5 * seconds * S / min(grace, S // 2) + 2 * len(script) + 10


NONSENSE = (b"[" * 100_000, b'{"rev": 1e999, "all": true, "targets": []}', b"7", b"\xff")


@pytest.mark.parametrize("shared", [True, False])
def test_invalid_answers_do_not_end_a_watch(shared: bool) -> None:
    """Calls continue, and the next valid list is applied."""

    async def run_scenario(loop: VirtualLoop) -> int:
        bodies = [*NONSENSE, json.dumps({"rev": 2, "all": True, "targets": [ENTRY]}).encode()]
        lists = list[bool]()

        async def call(*args: object, **more: object) -> tuple[int, bytes]:
            if not bodies:
                await asyncio.sleep(3600)
            return 200, bodies.pop(0)

        deadlines = Deadlines(loop.micros)
        ticks = EventLoopTicks(loop, deadlines)
        pool: Any = SimpleNamespace(
            deadlines=deadlines, spawn=Tasks(loop, "a call").spawn, drop_idle=lambda address: None
        )
        schedule = CallSchedule(shared, 3, 500_000, random.Random(1))
        deployment = deployments.parse(SETTINGS)
        with patch.object(discovery, "call", call):
            watch = discovery.Watch(pool, ("127.0.0.1", 1), deployment, lambda *a: lists.append(True), schedule, {})
            watch.start()
            await asyncio.sleep(30)
            watch.stop()
        ticks.close()
        return len(lists)

    loop = VirtualLoop()
    try:
        assert loop.run_until_complete(run_scenario(loop)) == 1
    finally:
        loop.close()


def test_an_agent_that_takes_almost_a_second_for_each_answer_is_heard() -> None:
    """This happens on an overloaded machine. Further calls must not end the ones that still wait for their answers."""

    async def run_scenario(loop: VirtualLoop) -> int:
        lists = list[bool]()

        async def call(*args: object, **more: object) -> tuple[int, bytes]:
            await asyncio.sleep(0.9)
            return 200, json.dumps({"rev": 2, "all": True, "targets": [ENTRY]}).encode()

        deadlines = Deadlines(loop.micros)
        ticks = EventLoopTicks(loop, deadlines)
        pool: Any = SimpleNamespace(
            deadlines=deadlines, spawn=Tasks(loop, "a call").spawn, drop_idle=lambda address: None
        )
        schedule = CallSchedule(False, 3, 500_000, random.Random(1))
        deployment = deployments.parse(SETTINGS)
        with patch.object(discovery, "call", call):
            watch = discovery.Watch(pool, ("127.0.0.1", 1), deployment, lambda *a: lists.append(True), schedule, {})
            watch.start()
            await asyncio.sleep(30)
            watch.stop()
        ticks.close()
        return len(lists)

    loop = VirtualLoop()
    try:
        assert loop.run_until_complete(run_scenario(loop)) > 0
    finally:
        loop.close()


@pytest.mark.parametrize("grace", [1_000, 250_000, 1_000_000])
@pytest.mark.parametrize("latency_s", [0.02, 0.6, 1.5, 3.0])
def test_a_list_of_a_slow_agent_is_applied_within_three_latencies_after_a_silence(latency_s: float, grace: int) -> None:
    """For 7 s the agent loses all calls. From then on it answers each new call after the same latency."""

    async def run_scenario(loop: VirtualLoop) -> float:
        lists = list[float]()
        back_at = loop.now + 7

        async def call(*args: object, **more: object) -> tuple[int, bytes]:
            if loop.now < back_at:
                await asyncio.sleep(3600)
            await asyncio.sleep(latency_s)
            return 200, json.dumps({"rev": 2, "all": True, "targets": [ENTRY]}).encode()

        deadlines = Deadlines(loop.micros)
        ticks = EventLoopTicks(loop, deadlines)
        pool: Any = SimpleNamespace(
            deadlines=deadlines, spawn=Tasks(loop, "a call").spawn, drop_idle=lambda address: None
        )
        schedule = CallSchedule(False, 3, grace, random.Random(1))
        deployment = deployments.parse(SETTINGS)

        def apply(*changes: object) -> None:
            lists.append(loop.now)

        with patch.object(discovery, "call", call):
            watch = discovery.Watch(pool, ("127.0.0.1", 1), deployment, apply, schedule, {})
            watch.start()
            await asyncio.sleep(30)
            watch.stop()
        ticks.close()
        return lists[0] - back_at if lists else float("inf")

    loop = VirtualLoop()
    try:
        delay = loop.run_until_complete(run_scenario(loop))
    finally:
        loop.close()
    assert latency_s <= delay <= 3 * latency_s + 0.2


def test_repeated_changes_of_the_address_do_not_postpone_calls() -> None:
    """Each configuration names another discovery, and the delay of the first call is drawn again each time. A change
    still counts as reported after 6 s."""

    async def run_scenario(loop: VirtualLoop, seed: int, every_s: float) -> float:
        calls = [loop.now]

        async def call(*args: object, **more: object) -> tuple[int, bytes]:
            calls.append(loop.now)
            raise OSError("not now")

        deadlines = Deadlines(loop.micros)
        ticks = EventLoopTicks(loop, deadlines)
        pool: Any = SimpleNamespace(
            deadlines=deadlines, spawn=Tasks(loop, "a call").spawn, drop_idle=lambda address: None
        )
        schedule = CallSchedule(True, 200, 500_000, random.Random(seed))
        deployment = deployments.parse(SETTINGS)
        with patch.object(discovery, "call", call):
            watch = discovery.Watch(pool, ("127.0.0.1", 1), deployment, lambda *a: None, schedule, {})
            watch.start()
            for number in range(int(30 / every_s)):
                await asyncio.sleep(every_s)
                watch.move(("127.0.0.1", 2 + number))
            watch.stop()
        ticks.close()
        calls.append(loop.now)
        return max(later - sooner for sooner, later in zip(calls, calls[1:], strict=False))

    for seed, every_s in itertools.product(range(20), (0.5, 1.0, 3.0)):
        loop = VirtualLoop()
        try:
            assert loop.run_until_complete(run_scenario(loop, seed, every_s)) <= 3.6, f"seed {seed}, every {every_s} s"
        finally:
            loop.close()
