"""Tries of one call that overlap: a try that is not answered in time stays open beside the next one.

A replica that answers more slowly than a try waits would otherwise never be seen to answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum

from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError, ConnectRefusedError
from pearhill.net.pool import Pool
from pearhill.net.ticks import time_limit

LATE_ANSWER_TIMEOUT_US = 2_000_000  # for the answer to a try, from its start
LATE_TRIES_SHARE = 8  # one in so many connections may wait for late answers; the others are left to requests
# Answers after which a call is worth another try: the replica, or a proxy before it, may not have performed it.
RETRIED_STATUSES = frozenset({429, 500, 502, 503, 504})


class TryResult(enum.Enum):
    """How one try ended. UNANSWERED: it is to be tried again, though it may still be answered."""

    ANSWERED, UNANSWERED, REFUSED = range(3)


class LateTries:
    """Counts the late tries of all calls of a pool, each of which occupies a connection."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._count = 0

    def admit(self, task: asyncio.Task[TryResult]) -> bool:
        """Count a late try until it ends. Returns False if there are too many."""
        if self._count >= self._pool.max_connections // LATE_TRIES_SHARE:
            return False
        self._count += 1
        task.add_done_callback(self._ended)
        return True

    def _ended(self, task: asyncio.Task[TryResult]) -> None:
        self._count -= 1


class OverlappingTries:
    """The tries of one call at one replica. `answered` is set by the first answer to any of them."""

    def __init__(self, pool: Pool, address: Address, data: bytes, late_tries: LateTries) -> None:
        self.answered = asyncio.Event()
        self.address = address
        self._pool = pool
        self._data = data
        self._late_tries = late_tries
        self._open: set[asyncio.Task[TryResult]] = set()

    async def try_once(self, timeout: int, *, fresh: bool) -> TryResult:
        """Send the call, and wait for its answer for `timeout` microseconds. `fresh` forces a new connection."""
        task = self._pool.loop.create_task(self._call(fresh))
        self._open.add(task)
        task.add_done_callback(self._open.discard)
        with contextlib.suppress(TimeoutError):
            async with time_limit(self._pool.deadlines, timeout):
                return await asyncio.shield(task)
        if not self._late_tries.admit(task):
            task.cancel()
        return TryResult.UNANSWERED

    async def _call(self, fresh: bool) -> TryResult:
        try:
            status, _ = await call(self._pool, self.address, self._data, LATE_ANSWER_TIMEOUT_US, fresh=fresh)
        except ConnectRefusedError:
            return TryResult.REFUSED
        except (OSError, ValueError, ConnectError):
            return TryResult.UNANSWERED
        if status in RETRIED_STATUSES:
            return TryResult.UNANSWERED
        self.answered.set()
        return TryResult.ANSWERED

    def close(self) -> None:
        """Cancel the tries that are still open."""
        for task in self._open:
            task.cancel()
