"""The client of the discovery service: polls for the complete endpoint list, then watches for changes to it."""

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

ENDPOINTS_PATH = "/v1/endpoints"

# What a failed call may raise. Any other exception is a bug in this program and is logged with its traceback.
EXPECTED_ERRORS = (OSError, TimeoutError, ValueError, KeyError, TypeError, ConnectError)

UpdateCallback = Callable[[bool, tuple[Endpoint, ...], dict[int, Address]], None]  # (complete, endpoints, addresses)


@dataclass(frozen=True)
class OpenCall:
    """An unanswered call and when it began, in microseconds of the process's clock."""

    task: asyncio.Task[None]
    started_at: int


class Watch:
    """Keeps the endpoint list of one dispatcher up to date.

    `known`: the endpoint list at the start, in the form of discovery's answers. `on_update` is called with each list
    and each change.
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
        self.has_answered = False  # whether discovery has answered since the start
        self.first_call_at: int | None = None  # when discovery was called first, or None if it was not called yet
        self.revision = 0
        self.endpoints: dict[int, Endpoint] = {}  # by replica, as last listed
        if known.get("targets"):
            self.apply(known)
        # Whether there is a list that the next changes apply to. At a service that all dispatchers share, the known
        # list is such a list: dozens of complete lists would keep the service busy for seconds, in which no dispatcher
        # gets an update, while the changes since the known list take a line or two each.
        self._has_list = bool(known.get("targets")) and schedule.shared
        self._calls: list[OpenCall] = []  # oldest first
        self._next_call: TimerKey | None = None  # the timer of the next call, whatever happens to the open ones
        self._last_call_at = pool.deadlines.clock()  # when the last call was sent; at first, when the watch was created
        self._failing_since = 0
        self._failure = ""  # the last failure since the last answer; empty if there is none

    def start(self) -> None:
        """Schedule the first call."""
        self._call_after(self.schedule.first_call_delay())

    def stop(self) -> None:
        """Cancel all calls with their connections: a late answer would be taken for the answer to a later call."""
        self.pool.deadlines.cancel(self._next_call)
        calls = self._calls
        self._calls = []
        for open_call in calls:
            if open_call.task is not asyncio.current_task():
                open_call.task.cancel()

    def move(self, address: Address) -> None:
        """Switch to discovery at another address. Its revisions may differ, so the complete list is requested."""
        self.stop()
        self.pool.drop_idle(self.address)
        self.address = address
        self._has_list = False
        # A reload reaches the whole fleet at once, so the calls for complete lists are spread over time.
        self._call_after(self.schedule.delay_after_move(self.pool.deadlines.clock() - self._last_call_at))

    def apply(self, answer: Mapping[str, Any]) -> None:
        """Apply a list or a change.

        Raises KeyError, TypeError or ValueError if the answer is neither. Then no part of it is applied.
        """
        revision = int(answer["rev"])
        complete = bool(answer["all"])
        endpoints, addresses = parse_endpoints(answer["targets"], self.deployment, self.endpoints)
        if revision < self.revision and not complete:
            # Discovery has restarted its count. It would reach the revision that a watch names only after days.
            self._has_list = False
            raise ValueError(f"revision {revision} is older than the current revision {self.revision}")
        self.revision = revision
        if not endpoints and not complete:
            return
        if complete:
            self.endpoints = {}
        self.endpoints.update((endpoint.replica, endpoint) for endpoint in endpoints)
        for endpoint in endpoints:
            if endpoint.phase == Phase.GONE:
                self.endpoints.pop(endpoint.replica, None)
        self.on_update(complete, endpoints, addresses)

    def _call_after(self, delay: int) -> None:
        self.pool.deadlines.cancel(self._next_call)
        if delay:
            self._next_call = self.pool.deadlines.schedule_after(delay, self._call)
        else:
            self._call()

    def _call(self) -> None:
        """Begin one more call. If discovery does not answer, the current list stays in force."""
        self.pool.deadlines.cancel(self._next_call)
        if len(self._calls) >= self.schedule.max_concurrent_calls:
            self._cancel_one_call()
        wait = self.schedule.watch_wait(self._has_list)
        self._calls.append(OpenCall(self.pool.spawn(self._poll(wait)), self.pool.deadlines.clock()))
        overlap_delay = self.schedule.overlap_delay(wait)
        if overlap_delay:
            self._next_call = self.pool.deadlines.schedule_after(
                overlap_delay, partial(self._on_silence, overlap_delay)
            )

    def _cancel_one_call(self) -> None:
        """Cancel the open call that the next one replaces."""
        start_times = [open_call.started_at for open_call in self._calls]
        index = self.schedule.call_to_replace(self.pool.deadlines.clock(), start_times)
        self._calls.pop(index).task.cancel()

    def _on_silence(self, elapsed: int) -> None:
        """Send another call beside the last one, which has been unanswered for `elapsed` microseconds."""
        if not self.schedule.failures:
            self._record_failure(f"anything: silent for {elapsed // 1000} ms")
            self.schedule.delay_after_failure(elapsed)
        self._call()

    async def _poll(self, wait: int) -> None:
        """Make one call and schedule the next one."""
        target = (
            f"{ENDPOINTS_PATH}?after={self.revision}&wait_ms={max(1, wait // 1000)}"
            if self._has_list
            else ENDPOINTS_PATH
        )
        task = asyncio.current_task()
        clock = self.pool.deadlines.clock
        revision = self.revision
        # Set here and not when the task is created: `move` may cancel the task before it runs.
        started_at = self._last_call_at = clock()
        if self.first_call_at is None:
            self.first_call_at = started_at
        try:
            await self._request_update(target, wait)
        except Exception as e:
            # The next call has to be scheduled whatever the parser raises: no other code would schedule it.
            if not isinstance(e, EXPECTED_ERRORS):
                logger.opt(exception=e).error("discovery: an answer to {target} could not be parsed", target=target)
            still_open = [open_call for open_call in self._calls if open_call.task is not task]
            if len(still_open) < len(self._calls):
                self._calls = still_open
                self._record_failure(f"{target}: {e!r}")
                self._call_after(self.schedule.delay_after_failure(clock() - started_at))
            return
        self.stop()
        self.has_answered = True
        self._has_list = True
        self._record_recovery()
        early = bool(wait) and self.revision == revision and clock() - started_at < wait // 2
        self._call_after(self.schedule.delay_after_answer(early))

    async def _request_update(self, target: str, wait: int) -> None:
        """Call discovery and apply its answer. Raises one of `EXPECTED_ERRORS` if the call fails."""
        status, body = await call(
            self.pool,
            self.address,
            messages.request("GET", target, f"{self.address[0]}:{self.address[1]}"),
            self.schedule.answer_timeout(wait),
            purpose=ConnectionPurpose.DISCOVERY,
        )
        if status != 200:
            raise ValueError(f"discovery answered with status {status}")
        self.apply(json.loads(body))

    def _record_failure(self, failure: str) -> None:
        """Log a failure unless it repeats the last one: at a dozen calls a second the lines would fill the log."""
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
