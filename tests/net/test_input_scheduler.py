"""One tick of the event loop spends a bounded time on input, whatever that costs and however many clients send it."""

import asyncio
import random

import pytest

from pearhill.net.input_scheduler import INPUT_S_PER_TICK, LEVEL_COSTS, InputLength, InputScheduler
from tests.net.loops import UvloopTestCase

STEPS_PER_TICK = 4
STEP_S = INPUT_S_PER_TICK / STEPS_PER_TICK
SHORT = InputLength.SHORT
LONG = InputLength.LONG


class TestInputScheduler(UvloopTestCase):
    """`ran` records the name of each step and the tick in which it ran. Time passes in steps alone."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.now_s = 0.0
        self.tick = 0
        self.ran: list[tuple[str, int]] = []
        self.scheduler = InputScheduler(self.loop, lambda: self.now_s)

    def step(self, name: str, seconds: float) -> str:
        self.ran.append((name, self.tick))
        self.now_s += seconds
        return name

    def start(self, name: str, length: InputLength, seconds: float = STEP_S, cost: int = 0) -> asyncio.Task[str]:
        return self.loop.create_task(self.scheduler.run(lambda: self.step(name, seconds), length, cost))

    async def run_ticks(self, *tasks: asyncio.Task[str]) -> None:
        """Count ticks until the tasks are done."""
        while not all(task.done() for task in tasks):
            self.tick += 1
            await asyncio.sleep(0)

    def seconds_by_tick(self, seconds: float = STEP_S) -> dict[int, float]:
        spent: dict[int, float] = {}
        for _, tick in self.ran:
            spent[tick] = spent.get(tick, 0.0) + seconds
        return spent

    async def test_a_tick_spends_its_time_for_input_and_leaves_the_rest_to_later_ticks(self) -> None:
        tasks = [self.start(str(number), SHORT) for number in range(40)]
        await self.run_ticks(*tasks)
        assert [name for name, _ in self.ran] == [str(number) for number in range(40)]
        assert max(self.seconds_by_tick().values()) <= INPUT_S_PER_TICK
        assert len(self.seconds_by_tick()) <= 11

    async def test_other_work_runs_between_the_ticks_of_a_long_queue(self) -> None:
        tasks = [self.start(str(number), LONG, seconds=1.0) for number in range(20)]
        other_work = 0
        while not all(task.done() for task in tasks):
            other_work += 1
            await asyncio.sleep(0)
        assert other_work >= 20

    async def test_short_requests_go_before_long_ones_that_came_first(self) -> None:
        tasks = [self.start(f"long {number}", LONG) for number in range(20)]
        await asyncio.sleep(0)
        tasks += [self.start(f"short {number}", SHORT) for number in range(3)]
        await self.run_ticks(*tasks)
        order = [name for name, _ in self.ran]
        first_short = order.index("short 0")
        assert first_short <= 2 * STEPS_PER_TICK  # what ran before the short requests came
        assert order[first_short : first_short + 3] == ["short 0", "short 1", "short 2"]

    async def test_long_requests_go_on_while_short_ones_never_end(self) -> None:
        long_tasks = [self.start(f"long {number}", LONG) for number in range(5)]
        short_tasks: list[asyncio.Task[str]] = []
        for number in range(20):
            short_tasks += [self.start(f"short {number}-{more}", SHORT) for more in range(8)]
            await asyncio.sleep(0)
        assert all(task.done() for task in long_tasks)
        await self.run_ticks(*short_tasks)

    async def test_of_long_requests_those_that_have_cost_less_go_before_those_that_have_cost_much(self) -> None:
        tasks = [self.start(f"costly {number}", LONG, cost=LEVEL_COSTS[-1]) for number in range(40)]
        await asyncio.sleep(0)
        tasks += [self.start(f"usual {number}", LONG, cost=LEVEL_COSTS[0] - 1) for number in range(8)]
        await self.run_ticks(*tasks)
        order = [name for name, _ in self.ran]
        began = order.index("usual 0")
        assert began <= 2 * STEPS_PER_TICK
        assert [name.split()[0] for name in order[began : began + 12]].count("usual") == 8

    async def test_each_level_of_cost_goes_on_while_shorter_requests_never_end(self) -> None:
        costs = (0, *LEVEL_COSTS)
        long_tasks = [self.start(f"long {cost}", LONG, cost=cost) for cost in costs for _ in range(5)]
        short_tasks: list[asyncio.Task[str]] = []
        for number in range(20):
            short_tasks += [self.start(f"short {number}-{more}", SHORT) for more in range(8)]
            await asyncio.sleep(0)
        assert all(task.done() for task in long_tasks)
        await self.run_ticks(*short_tasks)

    async def test_a_cancelled_step_runs_nothing(self) -> None:
        first = self.start("first", SHORT, seconds=1.0)
        waiting = self.start("waiting", SHORT)
        await asyncio.sleep(0)
        waiting.cancel()
        last = self.start("last", SHORT)
        await self.run_ticks(first, waiting, last)
        assert [name for name, _ in self.ran] == ["first", "last"]

    async def test_a_step_that_fails_raises_in_its_caller_alone(self) -> None:
        def fail() -> str:
            raise ValueError("scripted")

        first = self.start("first", SHORT, seconds=1.0)
        failing = self.loop.create_task(self.scheduler.run(fail, SHORT))
        last = self.start("last", SHORT)
        await self.run_ticks(first, failing, last)
        assert (await first, await last) == ("first", "last")
        with pytest.raises(ValueError, match="scripted"):
            await failing

    async def test_a_step_may_cancel_its_own_caller(self) -> None:
        """A step that closes a connection cancels its reader, which waits for the step."""
        first = self.start("first", SHORT, seconds=1.0)
        closing = self.loop.create_task(self.scheduler.run(lambda: closing.cancel(), SHORT))
        last = self.start("last", SHORT)
        await asyncio.wait([first, closing, last])
        assert closing.cancelled()
        assert await last == "last"

    async def test_what_a_step_submits_is_a_part_of_it(self) -> None:
        """An answer that ends at once begins the next request of its connection."""
        self.scheduler.submit(lambda: self.scheduler.submit(lambda: self.ran.append(("inner", 0)), LONG), SHORT)
        assert self.ran == [("inner", 0)]

    async def test_a_submitted_step_waits_when_the_time_of_its_tick_is_spent(self) -> None:
        self.scheduler.submit(lambda: self.ran.append((self.step("first", 1.0), 0)), SHORT)
        self.ran.clear()
        self.scheduler.submit(lambda: self.ran.append(("second", 0)), SHORT)
        assert self.ran == []
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert self.ran == [("second", 0)]

    async def test_steps_of_any_cost_run_once_each_and_exceed_the_time_by_two_of_them_at_most(self) -> None:
        seed = random.randrange(1 << 32)
        print(f"seed {seed}")
        rng = random.Random(seed)
        costs: dict[str, float] = {}
        tasks = []
        for number in range(300):
            name = str(number)
            costs[name] = rng.uniform(0.0, 3 * INPUT_S_PER_TICK)
            tasks.append(self.start(name, rng.choice((SHORT, LONG)), costs[name]))
            if rng.random() < 0.1:
                self.tick += 1
                await asyncio.sleep(0)
        await self.run_ticks(*tasks)
        assert sorted(name for name, _ in self.ran) == sorted(costs)
        spent: dict[int, list[float]] = {}
        for name, tick in self.ran:
            spent.setdefault(tick, []).append(costs[name])
        for steps in spent.values():
            assert sum(steps) <= INPUT_S_PER_TICK + 2 * max(steps)
