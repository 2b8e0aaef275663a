"""Bounds how long one tick of the event loop is spent on clients' input, whatever that is and however many send it.

Deadlines, replicas' streams and answers have no queue: they run in every tick. Clients' input runs while the tick's
time for it lasts, and otherwise waits for a later tick. Of what waits, short requests go first, in order: most clients
send them, and they need little. Long requests get the rest of the tick's time, those first that have cost least so far
(foreground-background scheduling: Nuyens, Wierman, "The Foreground-Background Queue: A Survey", 2008). Each level of
cost gets at least one step in each tick, so that shorter requests do not starve it.
"""

from __future__ import annotations

import asyncio
import enum
import time
from bisect import bisect
from collections import deque
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")
Step = Callable[[], None]
INPUT_S_PER_TICK = 0.002  # after which no further step begins
LONG_REQUEST_BYTES = 16 * 1024  # received of a request, beyond which it is a long one
PART_COST_BYTES = 256  # bytes of a body that take as long to read as one header field, or one chunk's framing
# The levels of long requests end at these costs, in bytes of a body: the first holds most prompts, the second all
# bodies that are sent in parts of usual size, and what is beyond consists of very small parts.
LEVEL_COSTS = (64 * 1024, 512 * 1024)


class InputLength(enum.Enum):
    """How much input a request has, as far as it is known."""

    SHORT = enum.auto()
    LONG = enum.auto()


def input_length(size: int) -> InputLength:
    """Return the length of a request whose input has cost as much as `size` bytes of a body."""
    return InputLength.LONG if size > LONG_REQUEST_BYTES else InputLength.SHORT


class InputScheduler:
    """Runs steps of input: each a callable that reads or handles a bounded amount of it. `clock` returns seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float] = time.perf_counter) -> None:
        self._loop = loop
        self._clock = clock
        self._short = deque[Step]()
        self._long = [deque[Step]() for _ in range(len(LEVEL_COSTS) + 1)]  # by level
        self._spent_s = 0.0  # in this tick
        self._running = False  # a step
        self._tick_scheduled = False

    def submit(self, step: Step, length: InputLength, cost: int = 0) -> None:
        """Run a step in this tick or, in its order, in a later one. What a step submits itself is a part of it.

        `cost`: of the request's input up to now, in bytes of a body.
        """
        if self._running:
            step()
        elif self._may_run_now(length):
            self._run_timed(step)
        else:
            self._enqueue(step, length, cost)

    async def run(self, work: Callable[[], T], length: InputLength, cost: int = 0) -> T:
        """Run a step as `submit` does, and return its result. If the caller is cancelled before the step began, it
        is not run."""
        if self._may_run_now(length):
            return self._run_timed(work)
        result: asyncio.Future[T] = self._loop.create_future()

        def step() -> None:
            """Run the work, unless the caller was cancelled. The work itself may cancel the caller."""
            if result.done():
                return
            try:
                value = work()
            except Exception as error:
                if not result.done():
                    result.set_exception(error)
                return
            if not result.done():
                result.set_result(value)

        self._enqueue(step, length, cost)
        return await result

    def _may_run_now(self, length: InputLength) -> bool:
        if self._short or self._spent_s >= INPUT_S_PER_TICK:
            return False
        return length is InputLength.SHORT or not any(self._long)

    def _enqueue(self, step: Step, length: InputLength, cost: int) -> None:
        queue = self._short if length is InputLength.SHORT else self._long[bisect(LEVEL_COSTS, cost)]
        queue.append(step)
        self._schedule_tick()

    def _run_timed(self, work: Callable[[], T]) -> T:
        began = self._clock()
        self._running = True
        try:
            return work()
        finally:
            self._running = False
            self._spent_s += self._clock() - began
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Have `_begin_tick` called in the next tick."""
        if not self._tick_scheduled:
            self._tick_scheduled = True
            self._loop.call_soon(self._begin_tick)

    def _begin_tick(self) -> None:
        self._tick_scheduled = False
        self._spent_s = 0.0
        if self._short or any(self._long):
            self._schedule_tick()
        self._run_while_time_lasts(self._short)
        for queue in self._long:
            if queue:
                self._run_timed(queue.popleft())
        for queue in self._long:
            self._run_while_time_lasts(queue)

    def _run_while_time_lasts(self, queue: deque[Step]) -> None:
        while queue and self._spent_s < INPUT_S_PER_TICK:
            self._run_timed(queue.popleft())
