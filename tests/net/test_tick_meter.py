"""The longest tick of the event loop is measured while the loop has work, and idle time does not count."""

import asyncio
import socket

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.socket_reader import SocketReader
from pearhill.net.tick_meter import TickMeter
from pearhill.net.ticks import EventLoopTicks
from tests.net.loops import UvloopTestCase


class TestTickMeter(UvloopTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.now_s = 0.0
        self.counters = Counters()
        self.tick_meter = TickMeter(self.loop, self.counters, lambda: self.now_s)

    def work(self, seconds: float) -> None:
        self.tick_meter.record_work()
        self.now_s += seconds

    async def tick(self) -> None:
        """Wait until the callbacks of the present tick and of the next have run."""
        done = self.loop.create_future()
        self.loop.call_soon(self.loop.call_soon, done.set_result, None)
        await done

    async def test_the_work_of_all_callbacks_of_a_tick_counts_together(self) -> None:
        for _ in range(3):
            self.loop.call_soon(self.work, 0.25)
        await self.tick()
        assert self.counters.longest_tick_us == 750_000

    async def test_ticks_that_follow_each_other_are_measured_one_by_one(self) -> None:
        for seconds in (0.25, 0.5, 0.125):
            self.work(seconds)
            await asyncio.sleep(0)
        await self.tick()
        assert self.counters.longest_tick_us == 500_000

    async def test_time_without_work_does_not_count(self) -> None:
        self.work(0.25)
        await self.tick()
        self.now_s += 60.0  # the loop waits for a socket
        self.work(0.125)
        await self.tick()
        assert self.counters.longest_tick_us == 250_000

    async def test_a_tick_counts_from_the_socket_that_wakes_the_loop_up(self) -> None:
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        ours.setblocking(False)
        reader = SocketReader(self.loop, ours, self.tick_meter.record_work)
        self.addCleanup(reader.close)
        theirs.sendall(b"x")
        await reader.recv_into(bytearray(8))
        self.now_s += 0.25
        await self.tick()
        assert self.counters.longest_tick_us == 250_000

    async def test_a_tick_counts_from_a_sweep_of_deadlines(self) -> None:
        deadlines = Deadlines(lambda: 0)
        ticks = EventLoopTicks(self.loop, deadlines, self.tick_meter)
        self.addCleanup(ticks.close)
        ran = self.loop.create_future()

        def run() -> None:
            self.now_s += 0.25
            ran.set_result(None)

        deadlines.schedule_at(0, run)
        await ran
        await self.tick()
        assert self.counters.longest_tick_us == 250_000
