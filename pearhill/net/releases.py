"""Releases of the state that replicas hold for requests, repeated until every replica has certainly released it.

A replica releases nothing while an attempt waits for the state, so a release that arrives before the end of that
attempt is ignored silently. The connections of given-up fetches stay open (`keep_open`) until every holder is
reachable, and only then is their sending ended. Until a replica ends its side too, a given-up attempt may leave state
there; `HeldState` decides when a release is sent again.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

from pearhill.core.request import Attempt, Request
from pearhill.lifecycle.held_state import LOST_ATTEMPT_RETENTION_US, HeldState
from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError
from pearhill.net.given_up_attempts import GivenUpAttempt
from pearhill.net.pool import Pool
from pearhill.net.pooled_connection import PooledConnection
from pearhill.net.release_calls import FIRST_ANSWER_TIMEOUT_US, ReleaseCall, ReleaseCalls
from pearhill.net.ticks import time_limit


class ReleaseDialect(Protocol):
    """Builds the message of a protocol that releases state."""

    def release(self, payload: Any, replica: int) -> bytes:
        """Build the call that releases the state held for a request."""


class RequestReleases:
    """What one request may have left at replicas, and the releases of it that are in progress.

    `releasing`: the replicas that have a task of releases. `unreached`: those that have not answered one yet. `kept`:
    given-up fetches that count as in flight.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.held = HeldState()
        self.releasing: set[int] = set()
        self.unreached: set[int] = set()
        self.kept: list[GivenUpAttempt] = []
        self._changed = asyncio.Event()

    @property
    def change(self) -> asyncio.Event:
        """The event that is set at the next change of `held`."""
        return self._changed

    def notify(self) -> None:
        """Let all releases of the request consider a change of `held`."""
        self._changed.set()
        self._changed = asyncio.Event()


class Releases:
    """The releases of one process. `pending` counts those in progress."""

    def __init__(self, pool: Pool, dialect: ReleaseDialect, addresses: Mapping[int, Address]) -> None:
        self.pool = pool
        self.dialect = dialect
        self.addresses = addresses
        self.pending = 0
        self._calls = ReleaseCalls(pool)
        # By the request's number. The request itself would keep its prompt in memory, and during a network partition
        # there are hundreds.
        self._requests: dict[int, RequestReleases] = {}

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Release everything that these replicas hold for the request. None of its attempts may be in flight."""
        entry = self._entry(request.number)
        for release in self._build_calls(request, replicas):
            entry.held.may_hold(release.replica)
            entry.unreached.add(release.replica)
            if release.replica not in entry.releasing:
                entry.releasing.add(release.replica)
                self.pending += 1
                self.pool.spawn(self._release_at(entry, release))
        entry.held.attempt_over(self.pool.deadlines.clock())
        entry.notify()

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Release the state once while an attempt that fetches it is in flight, in case that attempt never arrived. If
        the attempt did arrive, the release has no effect."""
        attempt = request.current_attempt
        for release in self._build_calls(request, replicas):
            self.pending += 1
            self.pool.spawn(self._release_once(release, lambda: request.current_attempt is attempt))

    def _build_calls(self, request: Request, replicas: Collection[int]) -> list[ReleaseCall]:
        elsewhere = self._call_elsewhere(request, replicas)
        calls = []
        for replica in replicas:
            address = self.addresses.get(replica)
            if address:
                message = self.dialect.release(request.payload, replica)
                calls.append(ReleaseCall(replica, address, message, elsewhere))
        return calls

    def _call_elsewhere(self, request: Request, holders: Collection[int]) -> ReleaseCall | None:
        """Return the release for the replica, other than the holders, whose idle connection was used last."""
        used = [
            (idle[-1].idle_timer or (0, 0), replica, address)
            for replica, address in self.addresses.items()
            if (idle := self.pool.idle.get(address)) and replica not in holders
        ]
        if not used:
            return None
        _, replica, address = max(used)
        return ReleaseCall(replica, address, self.dialect.release(request.payload, replica))

    async def _release_once(self, release: ReleaseCall, is_needed: Callable[[], bool]) -> None:
        try:
            await self._calls.send(release, is_needed)
        finally:
            self.pending -= 1

    async def _release_at(self, entry: RequestReleases, release: ReleaseCall) -> None:
        """Send a request's releases to one replica until it certainly holds nothing."""
        held = entry.held
        try:
            while release.replica in held.unreleased:
                sent_at = self.pool.deadlines.clock()
                if not held.needs_release(release.replica):
                    await entry.change.wait()
                elif await self._send(entry, release, sent_at):
                    await self._wait_until_next(entry, release.replica, sent_at)
        finally:
            self.pending -= 1
            entry.releasing.discard(release.replica)
            self._forget_if_settled(entry)

    async def _send(self, entry: RequestReleases, release: ReleaseCall, sent_at: int) -> bool:
        """Send one release until it is answered. Returns False if it is not needed any more, or was abandoned."""
        held = entry.held
        is_answered = await self._calls.send(
            release, lambda: held.needs_release(release.replica), lambda: not held.has_attempt_in_flight
        )
        if is_answered:
            held.release_answered(self.pool.deadlines.clock(), release.replica, sent_at)
        elif held.needs_release(release.replica):
            held.abandon(release.replica)
        else:
            return False
        entry.unreached.discard(release.replica)
        if not entry.unreached:
            # State that an attempt waits for is not released: the answers only showed that all are reachable.
            self._end_sending(entry)
        return is_answered

    async def _wait_until_next(self, entry: RequestReleases, replica: int, sent_at: int) -> None:
        """Wait until another release is due at a replica that has answered one, or the attempts have changed."""
        now = self.pool.deadlines.clock()
        due_in = entry.held.next_release_at(now, sent_at) - now
        if replica not in entry.held.unreleased or due_in <= 0:
            return
        with contextlib.suppress(TimeoutError):
            async with time_limit(self.pool.deadlines, due_in):
                await entry.change.wait()

    # Attempts that were given up.

    def keep_open(self, attempt: Attempt, connection: PooledConnection) -> None:
        """Keep the connection of a given-up fetch open until the request is forwarded again, or all replicas that hold
        state for it have answered a release: one of these always follows."""
        entry = self._entry(attempt.request.number)
        entry.kept.append(self._follow(entry, attempt, connection))

    def give_up(self, attempt: Attempt, connection: PooledConnection) -> None:
        """End the sending of an attempt, and follow it until its replica has ended it too."""
        self._follow(self._entry(attempt.request.number), attempt, connection).end_sending()

    def _follow(self, entry: RequestReleases, attempt: Attempt, connection: PooledConnection) -> GivenUpAttempt:
        given_up = GivenUpAttempt(self.pool, connection, attempt, lambda ended: self._attempt_ended(entry, ended))
        entry.held.attempt_given_up(self.pool.deadlines.clock(), given_up)
        return given_up

    def attempt_lost(self, attempt: Attempt) -> None:
        """Note that the connection of an attempt has ended without a response, which its replica may notice later."""
        entry = self._entry(attempt.request.number)
        entry.held.attempt_lost(self.pool.deadlines.clock(), attempt.replica, attempt.deadline)
        self._forget_later(entry)

    def attempt_starts(self, request: Request, replica: int) -> None:
        """Give up the fetches that are kept open, because another attempt starts, and pause the releases of what that
        attempt may use."""
        entry = self._requests.get(request.number)
        if entry:
            entry.held.attempt_starts(replica, is_fetch=bool(request.state_holders))
            self._end_sending(entry)

    def attempt_over(self, request: Request) -> None:
        """Go on with the releases that an attempt has paused. State that the request still uses is not released."""
        entry = self._requests.get(request.number)
        if entry:
            entry.held.return_to_request(request.state_holders)
            entry.held.attempt_over(self.pool.deadlines.clock())
            entry.notify()
            self._forget_if_settled(entry)

    def _end_sending(self, entry: RequestReleases) -> None:
        """Give up the request's fetches that are kept open."""
        kept, entry.kept = entry.kept, []
        for attempt in kept:
            entry.held.attempt_given_up(self.pool.deadlines.clock(), attempt)
            attempt.end_sending()
        if kept:
            entry.notify()

    def _attempt_ended(self, entry: RequestReleases, attempt: GivenUpAttempt) -> None:
        """Release the state that the end of an attempt has left."""
        if attempt in entry.kept:
            entry.kept.remove(attempt)
        now = self.pool.deadlines.clock()
        entry.held.attempt_ended(now, attempt)
        if not attempt.responded:
            entry.held.attempt_lost(now, attempt.replica, attempt.timeout_at)
        entry.notify()
        self._forget_if_settled(entry)
        self._forget_later(entry)

    def _entry(self, number: int) -> RequestReleases:
        entry = self._requests.get(number)
        if entry is None:
            entry = self._requests[number] = RequestReleases(number)
        return entry

    def _forget_later(self, entry: RequestReleases) -> None:
        self.pool.deadlines.schedule_after(LOST_ATTEMPT_RETENTION_US, lambda: self._forget_if_settled(entry))

    def _forget_if_settled(self, entry: RequestReleases) -> None:
        is_current = self._requests.get(entry.number) is entry
        if is_current and not entry.releasing and entry.held.is_settled(self.pool.deadlines.clock()):
            del self._requests[entry.number]

    async def may_replace(self, request: Request) -> bool:
        """Whether another fetch may replace a given-up one that is still in flight. If the new fetch finds no state,
        any state still held is useless, and its holders may be unreachable or unresponsive. So the prefill replica has
        to answer now. A decode replica that received a fetch usually hangs and answers nothing, but it has to be
        reachable."""
        entry = self._requests.get(request.number)
        if entry is None or not entry.kept:
            return True
        holders = request.state_holders | entry.held.unreleased
        reached = await asyncio.gather(*(self._is_reachable(request, replica) for replica in holders))
        return all(reached)

    async def _is_reachable(self, request: Request, replica: int) -> bool:
        """Whether a replica answers a release. It releases nothing while an attempt that fetches the state is in
        flight, so the release is harmless."""
        address = self.addresses.get(replica)
        if address is None:
            return False
        for timeout, fresh in ((FIRST_ANSWER_TIMEOUT_US, False), (2 * FIRST_ANSWER_TIMEOUT_US, True)):
            try:
                await call(self.pool, address, self.dialect.release(request.payload, replica), timeout, fresh=fresh)
                return True
            except TimeoutError:  # a connection was established, but no answer arrived
                if fresh and replica != request.prefill_replica:
                    return True
            except (OSError, ValueError, ConnectError):
                pass
        return False
