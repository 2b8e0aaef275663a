"""Follows discovery: polls for the whole endpoint list, then watches for changes to it."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from loguru import logger

from pearhill.core.deadlines import TimerKey
from pearhill.http1 import messages
from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.pool import ConnectionPurpose, Pool
from pearhill.platform.endpoint_list import parse_endpoints
from pearhill.platform.schedule import CallSchedule
from pearhill.routing.topology import Endpoint, Phase
from pearhill.settings import Deployment

PATH = "/v1/endpoints"

# The ways in which a call may fail; any other exception is a fault of this program and is logged with its traceback.
EXPECTED_ERRORS = (OSError, TimeoutError, ValueError, KeyError, TypeError, ConnectError)

UpdateCallback = Callable[[bool, tuple[Endpoint, ...], dict[int, Address]], None]  # (is it the whole list, ..)


@dataclass(frozen=True)
class OpenCall:
    """A call that is out, and when it began, in microseconds of the process's clock."""

    task: asyncio.Task[None]
    began: int


class Watch:
    """Keeps the endpoint list of one dispatcher up to date, for as long as the process lives.

    `known`: a list in discovery's form that the dispatcher starts with. `on_update` gets each list and each change.
    """

    def __init__(
        self,
        pool: Pool,
        address: Address,
        deployment: Deployment,
        on_update: UpdateCallback,
        schedule: CallSchedule,
        known: Mapping[str, Any],
    ) -> None:
        self.pool = pool
        self.address = address
        self.deployment = deployment
        self.on_update = on_update
        self.schedule = schedule
        self.has_answered = False  # discovery has answered since the start
        self.revision = 0
        self.endpoints: dict[int, Endpoint] = {}  # as last listed
        if known.get("targets"):
            self.apply(known)
        # Whether there is a list to which the changes that come next apply. Where all poll one service, dozens of whole
        # lists would keep it busy for seconds, in which no dispatcher learns anything; changes since the known list
        # cost a line or two.
        self._has_list = bool(known.get("targets")) and schedule.shared
        self._calls: list[OpenCall] = []  # the oldest first
        self._next_call: TimerKey | None = None  # the timer of the next one, whatever becomes of the open ones
        self._last_call_at = pool.deadlines.clock()  # when the last one went out, or since when one is awaited
        self._failing_since = 0
        self._failure = ""  # the last failure since the last answer

    def start(self) -> None:
        """Schedule the first call."""
        self._call_after(self.schedule.first_call_delay())

    def stop(self) -> None:
        """End all calls with their connections: an answer to the old watch would be taken for the new one's."""
        self.pool.deadlines.cancel(self._next_call)
        calls = self._calls
        self._calls = []
        for open_call in calls:
            if open_call.task is not asyncio.current_task():
                open_call.task.cancel()

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now. Its revisions may be counted otherwise, so the whole list is requested."""
        self.stop()
        self.pool.drop_idle(self.address)
        self.address = address
        self._has_list = False
        # A reload reaches the whole fleet at once, and so would the calls for whole lists: they are spread.
        self._call_after(self.schedule.delay_after_move(self.pool.deadlines.clock() - self._last_call_at))

    def apply(self, answer: Mapping[str, Any]) -> None:
        """Put a list or a change in force.

        KeyError, TypeError or ValueError: it is neither, and nothing of it is taken.
        """
        revision = int(answer["rev"])
        whole = bool(answer["all"])
        endpoints, addresses = parse_endpoints(answer["targets"], self.deployment, self.endpoints)
        if revision < self.revision and not whole:
            # A discovery that counts anew would get requests for changes after a revision that it reaches in days.
            self._has_list = False
            raise ValueError(f"version {revision} after {self.revision}")
        self.revision = revision
        if not endpoints and not whole:
            return
        if whole:
            self.endpoints = {}
        self.endpoints.update((endpoint.replica, endpoint) for endpoint in endpoints)
        for endpoint in endpoints:
            if endpoint.phase == Phase.GONE:
                self.endpoints.pop(endpoint.replica, None)
        self.on_update(whole, endpoints, addresses)

    def _call_after(self, delay: int) -> None:
        self.pool.deadlines.cancel(self._next_call)
        if delay:
            self._next_call = self.pool.deadlines.schedule_after(delay, self._call)
        else:
            self._call()

    def _call(self) -> None:
        """Begin one more call. Discovery may stay silent: what was known then stays in force."""
        self.pool.deadlines.cancel(self._next_call)
        if len(self._calls) >= self.schedule.max_concurrent_calls:
            self._end_one_call()
        wait = self.schedule.watch_wait(self._has_list)
        self._calls.append(OpenCall(self.pool.spawn(self._poll(wait)), self.pool.deadlines.clock()))
        overlap_delay = self.schedule.overlap_delay(wait)
        if overlap_delay:
            self._next_call = self.pool.deadlines.schedule_after(
                overlap_delay, partial(self._on_silence, overlap_delay)
            )

    def _end_one_call(self) -> None:
        """End the open call that the next one replaces."""
        begun = [open_call.began for open_call in self._calls]
        index = self.schedule.call_to_replace(self.pool.deadlines.clock(), begun)
        self._calls.pop(index).task.cancel()

    def _on_silence(self, elapsed: int) -> None:
        """The last call is unanswered for so long: another one goes out beside it."""
        if not self.schedule.failures:
            self._record_failure(f"anything: silent for {elapsed // 1000} ms")
            self.schedule.delay_after_failure(elapsed)
        self._call()

    async def _poll(self, wait: int) -> None:
        """Make one call, and schedule the one that follows it."""
        target = f"{PATH}?after={self.revision}&wait_ms={max(1, wait // 1000)}" if self._has_list else PATH
        task = asyncio.current_task()
        clock = self.pool.deadlines.clock
        revision = self.revision
        # Not set sooner: a move in the same moment ends a call before it has begun.
        began = self._last_call_at = clock()
        try:
            await self._fetch(target, wait)
        except Exception as e:
            # Whatever a body makes the parser do, the calls have to go on: nothing else would make the next one.
            if not isinstance(e, EXPECTED_ERRORS):
                logger.opt(exception=e).error("discovery: an answer to {target} could not be read", target=target)
            still_open = [open_call for open_call in self._calls if open_call.task is not task]
            if len(still_open) < len(self._calls):
                self._calls = still_open
                self._record_failure(f"{target}: {e!r}")
                self._call_after(self.schedule.delay_after_failure(clock() - began))
            return
        self.stop()
        self.has_answered = True
        self._has_list = True
        self._record_recovery()
        early = bool(wait) and self.revision == revision and clock() - began < wait // 2
        self._call_after(self.schedule.delay_after_answer(early))

    async def _fetch(self, target: str, wait: int) -> None:
        """Call discovery and apply its answer; what it raises beside `EXPECTED_ERRORS` is unexpected."""
        status, body = await call(
            self.pool,
            self.address,
            messages.request("GET", target, f"{self.address[0]}:{self.address[1]}"),
            self.schedule.answer_timeout(wait),
            purpose=ConnectionPurpose.DISCOVERY,
        )
        if status != 200:
            raise ValueError(f"status {status}")
        self.apply(json.loads(body))

    def _record_failure(self, failure: str) -> None:
        """Log a failure, the same one in a row once: at a dozen calls a second its lines would fill the log."""
        if not self._failure:
            self._failing_since = self.pool.deadlines.clock()
        if failure != self._failure:
            self._failure = failure
            logger.warning("discovery: no answer to {why}", why=failure)

    def _record_recovery(self) -> None:
        if self._failure:
            logger.info(
                "discovery: answers again after {failures} failures, {ms} ms",
                failures=self.schedule.failures,
                ms=(self.pool.deadlines.clock() - self._failing_since) // 1000,
            )
        self._failure = ""
