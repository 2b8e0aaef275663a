"""Attempts on the pool's connections: resource shortages, attempts written too late, and unlisted replicas."""

import asyncio
import errno
import os
import unittest
from unittest.mock import Mock, patch

import pytest

from pearhill.core.deadlines import Deadlines
from pearhill.counters import Counters
from pearhill.net.backend import HttpBackend
from pearhill.net.errors import PoolExhaustedError
from pearhill.net.pool import DISCOVERY_CONNECTIONS, ConnectionPurpose, Pool
from pearhill.platform.front import Payload
from pearhill.platform.replica import ReplicaDialect
from pearhill.routing.outcomes import Outcome


class TestAttemptExchange(unittest.IsolatedAsyncioTestCase):
    """A backend and a pool with one connection for requests, and a listening socket on loopback."""

    async def asyncSetUp(self) -> None:
        self.now = 0
        self.deadlines = Deadlines(lambda: self.now)
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        self.address = server.sockets[0].getsockname()
        self.pool = Pool(
            asyncio.get_running_loop(),
            self.deadlines,
            Counters(),
            connect_timeout=10**6,
            idle_timeout=10**6,
            max_connections=1,
            reserved_connections=DISCOVERY_CONNECTIONS + 2,
        )
        self.addCleanup(self.pool.close)

    async def test_control_calls_get_connections_after_requests_have_used_all_of_theirs(self) -> None:
        """Control calls that use all of their connections still leave those for the endpoint list."""
        for purpose, capacity in (
            (ConnectionPurpose.REQUEST, 1),
            (ConnectionPurpose.CONTROL, 2),
            (ConnectionPurpose.DISCOVERY, DISCOVERY_CONNECTIONS),
        ):
            for _ in range(capacity):
                await self.pool.acquire(self.address, purpose)
            for full_purpose in range(purpose + 1):
                with pytest.raises(PoolExhaustedError):
                    await self.pool.acquire(self.address, ConnectionPurpose(full_purpose))

    async def test_an_attempt_that_finds_the_pool_exhausted_ends_as_not_sent(self) -> None:
        backend = HttpBackend(self.pool, ReplicaDialect())
        backend.update_addresses({1: self.address}, [], full=True)
        await self.pool.acquire(self.address)
        attempt = Mock(replica=1, deadline=10**6, send_before=0)
        backend.send(attempt)
        task = backend.exchanges[attempt].task
        assert task
        await task
        attempt.end.assert_called_once_with(Outcome.NOT_SENT, 0, False, 0, None)

    async def test_an_attempt_is_retried_then_not_sent_if_the_system_lacks_descriptors_or_ports(self) -> None:
        """The attempt does not end at once either, because the shortage may be over soon."""
        backend = HttpBackend(self.pool, ReplicaDialect())
        backend.update_addresses({1: self.address}, [], full=True)
        for number in (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL):
            attempt = Mock(replica=1, deadline=self.now + 10**7, send_before=0, ended=False, may_start=lambda: False)
            with patch("pearhill.net.pool.socket.socket", side_effect=OSError(number, os.strerror(number))):
                backend.send(attempt)
                task = backend.exchanges[attempt].task
                assert task
                for _ in range(100):
                    await asyncio.sleep(0)
                assert not task.done(), errno.errorcode[number]
                self.now += 10**6  # the connect timeout is over
                while not task.done():
                    self.deadlines.run_due()
                    await asyncio.sleep(0)
            attempt.end.assert_called_once_with(Outcome.NOT_SENT, 0, False, 0, None)

    async def test_an_attempt_whose_last_byte_is_not_written_in_time_is_withdrawn(self) -> None:
        """Otherwise a replica that reads slowly would execute it after that time."""
        backend = HttpBackend(self.pool, ReplicaDialect())
        backend.update_addresses({1: self.address}, [], full=True)
        request = Mock(number=1, state_holders=(), payload=Payload("r1", "POST", "/", bytes(64 << 20), ""))
        attempt = Mock(replica=1, deadline=10**9, send_before=500_000, request=request)
        backend.send(attempt)
        while not backend.exchanges[attempt].may_have_sent:
            await asyncio.sleep(0)
        self.now = attempt.send_before - 1
        self.deadlines.run_due()
        attempt.withdraw.assert_not_called()
        self.now = attempt.send_before
        self.deadlines.run_due()
        attempt.withdraw.assert_called_once_with()
        assert backend.may_have_been_sent(attempt)
        assert backend.cancel(attempt)

    async def test_addresses_of_unlisted_replicas_are_removed_once_no_release_can_need_them(self) -> None:
        backend = HttpBackend(self.pool, ReplicaDialect())
        for n in range(1000):
            backend.update_addresses({n: self.address}, [], full=True)  # each list has one replica, which is new
            assert (n - 1 if n else n) in backend.addresses  # a release to the previous one may still be outstanding
            self.now += 1_000_000
            self.deadlines.run_due()
        assert len(backend.addresses) < 100
        backend.update_addresses({}, [999], full=False)
        backend.update_addresses({999: self.address}, [], full=False)  # it is listed again
        self.now += 100_000_000
        self.deadlines.run_due()
        assert set(backend.addresses) == {999}
        connection = await self.pool.acquire(self.address)
        self.pool.put_back(connection)
        assert list(self.pool.idle) == [self.address]
        backend.update_addresses({}, [999], full=False)
        assert (self.pool.idle, connection.closed) == ({}, True)
