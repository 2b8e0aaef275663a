"""Release calls to replicas: each is repeated until the replica answers it.

Only an answer, other than one of an overloaded or failing server, shows that a running replica has performed the call:
the system buffers what is sent to a process that does not respond, and may discard it. A few calls at a time are
repeated at each replica, so that hundreds of requests whose replica is unresponsive do not use up the connections; all
others wait until one of these is answered, or until a late answer to one of their own tries.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple
from weakref import WeakValueDictionary

from loguru import logger

from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.overlapping_tries import LateTries, OverlappingTries, TryResult
from pearhill.net.pool import Pool
from pearhill.net.ticks import pause

RETRY_LIMIT_US = 60_000_000  # how long a release is repeated at an unresponsive replica
REFUSED_RETRY_LIMIT_US = 20_000_000  # the same while connects are refused: the process that held the state has ended
# How long the answer to a release, with its connect, is waited for before it is retried on a new connection. The first
# time is the shortest, because an idle connection may have failed silently while the time limit for the release runs.
FIRST_ANSWER_TIMEOUT_US = 50_000
MAX_ANSWER_TIMEOUT_US = 250_000
FIRST_BACKOFF_US = 20_000  # between tries of a release
# From then on, or from the first refused connect, the backoff is doubled after each try. Until then the time limit of
# the release may run, and many connects in a row may fail at once.
BACKOFF_GROWS_AFTER_US = 600_000
# A replica that responds again may hold a state from that moment on, which has to be released within 600 ms: one try
# and the pause before the next one take 350 ms.
MAX_BACKOFF_US = 100_000
MAX_REFUSED_BACKOFF_US = 500_000
# A release at another replica is repeated this long, and at this interval, while the replica itself answers none.
ELSEWHERE_LIMIT_US = 2_000_000
ELSEWHERE_INTERVAL_US = 350_000
CONCURRENT_RETRIES = 2  # at one replica


class ReleaseCall(NamedTuple):
    """One release to one replica: the replica, its address and the message. `elsewhere`: the same release for another
    replica. Replicas release what is held for a request wherever it is held (PROTOCOL, `DELETE`)."""

    replica: int
    address: Address
    data: bytes
    elsewhere: ReleaseCall | None = None


class ReleaseCalls:
    """Sends the release calls of one process."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._retry_slots: WeakValueDictionary[Address, asyncio.Semaphore] = WeakValueDictionary()
        self._late_tries = LateTries(pool)

    async def send(
        self,
        release: ReleaseCall,
        is_needed: Callable[[], bool],
        may_go_elsewhere: Callable[[], bool] = lambda: True,
    ) -> bool:
        """Send a release until it is answered. `may_go_elsewhere`: whether
        another replica may get it too. Returns False if it was abandoned, or is no longer needed."""
        began_at = self._pool.deadlines.clock()
        tries = OverlappingTries(self._pool, release.address, release.data, self._late_tries)
        try:
            if await _is_answered_on_idle(tries):
                return True
            repeat_elsewhere = self._pool.spawn(self._repeat_elsewhere(release, is_needed, may_go_elsewhere))
            try:
                return await self._retry_until_answered(tries, is_needed, began_at)
            finally:
                repeat_elsewhere.cancel()
        finally:
            tries.close()

    async def _retry_until_answered(
        self, tries: OverlappingTries, is_needed: Callable[[], bool], began_at: int
    ) -> bool:
        """Retry until any of the tries is answered, an earlier one too."""
        loop = self._pool.loop
        retry = loop.create_task(self._retry_in_turn(tries, is_needed, began_at))
        late_answer = loop.create_task(tries.answered.wait())
        try:
            await asyncio.wait((retry, late_answer), return_when=asyncio.FIRST_COMPLETED)
            return tries.answered.is_set() or await retry
        finally:
            retry.cancel()
            late_answer.cancel()

    async def _repeat_elsewhere(
        self, release: ReleaseCall, is_needed: Callable[[], bool], may_go_elsewhere: Callable[[], bool]
    ) -> None:
        """Send the release to another replica while its own one does not answer."""
        deadlines = self._pool.deadlines
        end = deadlines.clock() + ELSEWHERE_LIMIT_US
        while release.elsewhere and is_needed() and deadlines.clock() < end:
            if may_go_elsewhere():
                with contextlib.suppress(OSError, ValueError, ConnectError):
                    await call(self._pool, release.elsewhere.address, release.elsewhere.data, MAX_ANSWER_TIMEOUT_US)
            await pause(deadlines, ELSEWHERE_INTERVAL_US)

    async def _retry_in_turn(self, tries: OverlappingTries, is_needed: Callable[[], bool], began_at: int) -> bool:
        slots = self._retry_slots.setdefault(tries.address, asyncio.Semaphore(CONCURRENT_RETRIES))
        must_wait = slots.locked()
        async with slots:
            # Once a replica responds again, the calls that waited for it follow each other on the same connection.
            if must_wait and is_needed() and await _is_answered_on_idle(tries):
                return True
            return await self._retry(tries, is_needed, began_at)

    async def _retry(self, tries: OverlappingTries, is_needed: Callable[[], bool], began_at: int) -> bool:
        deadlines = self._pool.deadlines
        backoff = FIRST_BACKOFF_US
        timeout = FIRST_ANSWER_TIMEOUT_US
        limit = RETRY_LIMIT_US
        max_backoff = MAX_BACKOFF_US
        while is_needed():
            elapsed = deadlines.clock() - began_at
            if elapsed >= limit:
                logger.warning("a release at {peer} was abandoned without an answer", peer=_name(tries.address))
                return False
            self._pool.counters.release_retries += 1
            await pause(deadlines, backoff)
            timeout = min(2 * timeout, MAX_ANSWER_TIMEOUT_US)
            result = await tries.try_once(timeout, fresh=True)
            if result == TryResult.ANSWERED:
                return True
            refused = result == TryResult.REFUSED
            limit = REFUSED_RETRY_LIMIT_US if refused else RETRY_LIMIT_US
            max_backoff = MAX_REFUSED_BACKOFF_US if refused else MAX_BACKOFF_US
            if refused or elapsed >= BACKOFF_GROWS_AFTER_US:
                backoff = min(2 * backoff, max_backoff)
        return False


async def _is_answered_on_idle(tries: OverlappingTries) -> bool:
    return await tries.try_once(FIRST_ANSWER_TIMEOUT_US, fresh=False) == TryResult.ANSWERED


def _name(address: Address) -> str:
    return "{}:{}".format(*address)
