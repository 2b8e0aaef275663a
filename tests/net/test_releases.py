"""Releases beside further attempts of the same request, with a replica on loopback and a clock of the test's own."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from pearhill.core.deadlines import Deadlines
from pearhill.lifecycle.held_state import REPEAT_INTERVAL_US, UNCERTAIN_END_US
from pearhill.net.backend import HttpBackend
from pearhill.net.errors import ConnectError
from pearhill.net.release_calls import FIRST_ANSWER_TIMEOUT_US
from pearhill.platform.front import Payload
from pearhill.platform.replica import ReplicaDialect
from tests.net.test_pool import make_pool, run

REPLICA, HOLDER = 1, 2
MAX_HOLD_US = 600_000  # the platform's rule: `release-within` of 300 ms, and 300 ms more
STEP_US = 10_000
FAILED_CONNECTS = 20  # in a row; where four in five fail, a hundredth of the releases meet more
TICKS_TO_BEGIN = 20  # of the event loop, from a deadline to the release that it lets begin


class RespondingReplica:
    """A replica that answers every release, and the backend that sends them."""

    def __init__(self) -> None:
        self.now = 0
        self.deadlines = Deadlines(lambda: self.now)
        self.pool = make_pool(self.deadlines, idle_timeout=60_000_000)
        self.backend = HttpBackend(self.pool, ReplicaDialect())
        self.received = 0
        self.statuses: list[bytes] = []  # of the next answers, before all others are 204

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.backend.update_addresses({REPLICA: self.server.sockets[0].getsockname()}, [], full=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(4096):
            self.received += 1
            status = self.statuses.pop(0) if self.statuses else b"204 No Content"
            writer.write(b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n" % status)
        writer.close()

    async def step(self, micros: int) -> None:
        """Let this time pass, and some ticks of the event loop."""
        self.now += micros
        self.deadlines.run_due()
        for _ in range(TICKS_TO_BEGIN):
            await asyncio.sleep(0)

    async def advance(self, micros: int) -> int:
        """Let this time pass, in steps in which every release is answered. Returns the number of those received."""
        before = self.received
        end = self.now + micros
        while self.now < end:
            await self.step(STEP_US)
            while self.pool._connecting or len(self.pool.open) > sum(map(len, self.pool.idle.values())):
                await asyncio.sleep(0)
        return self.received - before

    async def close(self) -> None:
        self.pool.close()
        self.server.close()
        await asyncio.sleep(0)


def play(scenario: Callable[[RespondingReplica], Awaitable[None]]) -> None:
    """Run a scenario with a replica, which is closed at its end."""

    async def with_replica() -> None:
        replica = RespondingReplica()
        await replica.start()
        await scenario(replica)
        await replica.close()

    run(with_replica())


def make_request() -> Any:
    return SimpleNamespace(number=7, state_holders=set(), payload=Payload("r7", "POST", "/", b"", ""))


def make_attempt(request: Any, replica: int, deadline: int = 0) -> Any:
    return SimpleNamespace(request=request, replica=replica, deadline=deadline)


@pytest.mark.parametrize(("state_holders", "goes_on"), [(set(), True), ({3}, False)])
def test_releases_go_on_while_a_read_of_the_request_is_in_flight_at_another_replica(
    state_holders: set[int], goes_on: bool
) -> None:
    """A read that was given up ended well while the next one was in flight, and its state was held for as long."""

    async def scenario(replica: RespondingReplica) -> None:
        releases = replica.backend.releases
        request = make_request()
        releases.attempt_lost(make_attempt(request, REPLICA))
        releases.release(request, {REPLICA})
        request.state_holders = state_holders
        releases.attempt_starts(request, HOLDER)
        assert (await replica.advance(REPEAT_INTERVAL_US) > 0) == goes_on

    play(scenario)


def test_releases_are_repeated_until_the_timeout_that_the_replica_of_a_lost_attempt_was_given() -> None:
    """Behind a proxy that had closed the connection at both sides, the read went on for longer than the releases."""

    async def scenario(replica: RespondingReplica) -> None:
        releases = replica.backend.releases
        request = make_request()
        releases.attempt_lost(make_attempt(request, REPLICA, deadline=4 * UNCERTAIN_END_US))
        releases.release(request, {REPLICA})
        await replica.advance(3 * UNCERTAIN_END_US)
        assert await replica.advance(UNCERTAIN_END_US) >= UNCERTAIN_END_US // MAX_HOLD_US
        assert await replica.advance(2 * UNCERTAIN_END_US) > 0
        assert releases.pending == 0

    play(scenario)


def test_no_release_is_sent_while_another_attempt_of_the_request_is_in_flight_or_its_state_is_used() -> None:
    """A repeated release for a read that was given up released the state of the next read at the same replica."""

    async def scenario(replica: RespondingReplica) -> None:
        releases = replica.backend.releases
        request = make_request()
        releases.attempt_lost(make_attempt(request, REPLICA))
        releases.release(request, {REPLICA})
        assert await replica.advance(REPEAT_INTERVAL_US) > 0
        releases.attempt_starts(request, REPLICA)
        assert await replica.advance(UNCERTAIN_END_US // 2) == 0
        request.state_holders = {REPLICA}
        releases.attempt_over(request)
        assert await replica.advance(UNCERTAIN_END_US // 2) == 0
        request.state_holders = set()
        releases.release(request, {REPLICA})
        assert await replica.advance(REPEAT_INTERVAL_US) == 1
        assert releases.pending == 0

    play(scenario)


@pytest.mark.parametrize(
    ("status", "calls"),
    [(b"429 Busy", 2), (b"500 Error", 2), (b"502 Gone", 2), (b"503 Full", 2), (b"404 Unknown", 1), (b"501 Unknown", 1)],
)
def test_a_release_that_was_turned_away_is_repeated(status: bytes, calls: int) -> None:
    """A replica or proxy that had no room for the call answered it, and the answer counted as a release."""

    async def scenario(replica: RespondingReplica) -> None:
        replica.statuses.append(status)
        replica.backend.release(make_request(), {REPLICA})
        assert await replica.advance(MAX_HOLD_US) == calls
        assert replica.backend.pending_releases == 0

    play(scenario)


def test_a_release_is_in_time_where_many_connects_fail_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The pauses grew while four in five connects failed at once, and few of them fitted into the time limit."""

    async def scenario(replica: RespondingReplica) -> None:
        connect, failures = replica.pool._connect, iter(range(FAILED_CONNECTS))

        async def fail_at_first(address: Any, timeout: int) -> socket.socket:
            if next(failures, None) is not None:
                raise ConnectError("unreachable")
            return await connect(address, timeout)

        monkeypatch.setattr(replica.pool, "_connect", fail_at_first)
        replica.backend.release(make_request(), {REPLICA})
        assert await replica.advance(MAX_HOLD_US) == 1

    play(scenario)


def test_a_release_is_sent_to_another_replica_too_while_its_own_does_not_answer() -> None:
    """While connections to the holder do not come up or are silent, its time limit runs on."""

    async def scenario(replica: RespondingReplica) -> None:
        address = replica.backend.addresses[REPLICA]
        replica.pool.put_back(await replica.pool.acquire(address))
        with socket.create_server(("127.0.0.1", 0)) as silent:
            replica.backend.update_addresses({HOLDER: silent.getsockname()}, [], full=False)
            request = make_request()
            replica.backend.release(request, {HOLDER})
            while not replica.received:
                await replica.step(FIRST_ANSWER_TIMEOUT_US)
            assert replica.now <= MAX_HOLD_US
            assert replica.backend.pending_releases == 1

    play(scenario)


def test_releases_are_repeated_while_the_replica_of_an_attempt_that_was_lost_long_before_is_silent() -> None:
    """The lost attempt was forgotten while the request made others, and its replica ended it after the last release."""

    async def scenario(replica: RespondingReplica) -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            replica.backend.update_addresses({HOLDER: silent.getsockname()}, [], full=False)
            request = make_request()
            releases = replica.backend.releases
            releases.attempt_lost(make_attempt(request, HOLDER))
            releases.attempt_starts(request, REPLICA)
            releases.attempt_over(request)
            await replica.advance(2 * UNCERTAIN_END_US)
            releases.release(request, {REPLICA, HOLDER})
            before = replica.received
            while replica.received < before + 4:
                await replica.step(FIRST_ANSWER_TIMEOUT_US)

    play(scenario)
