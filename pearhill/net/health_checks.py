"""Health checks: load queries to replicas, over the same pooled connections as requests. Which replica is checked, and
when, is decided elsewhere."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError, PoolExhaustedError
from pearhill.net.pool import ConnectionPurpose, Pool
from pearhill.routing.events import ReportedLoad
from pearhill.routing.outcomes import Outcome

ANSWER_TIMEOUT_US = 250_000  # for the connect, and again for the response
MAX_IN_FLIGHT = 64  # health checks must not take the descriptors that requests need
MAX_REPORT_BYTES = 4 * 1024  # of a response
MAX_TRIES = 2  # a pooled connection that the replica has closed is reset at its next use, although the replica is up

HealthCheckCallback = Callable[[int, Outcome, ReportedLoad | None], None]


class HealthCheckDialect(Protocol):
    """Builds the load query of a protocol and interprets its response."""

    def health_check(self) -> bytes:
        """Build the load query."""

    def load(self, status: int, body: bytes) -> ReportedLoad | None:
        """Return the load that the response reports, or None if the response is not usable."""


class HealthChecks:
    """Sends health checks. `on_result` is called once for each, with the replica, the outcome and the load reported."""

    def __init__(
        self, pool: Pool, dialect: HealthCheckDialect, addresses: Mapping[int, Address], on_result: HealthCheckCallback
    ) -> None:
        self.pool = pool
        self.dialect = dialect
        self.addresses = addresses
        self.on_result = on_result
        self.in_flight = 0

    def send(self, replica: int) -> None:
        """Start a health check."""
        address = self.addresses.get(replica)
        if address is None or self.in_flight >= MAX_IN_FLIGHT:
            return self.on_result(replica, Outcome.NOT_SENT, None)  # the replica is not at fault
        self.in_flight += 1
        self.pool.spawn(self._check(replica, address))

    async def _check(self, replica: int, address: Address) -> None:
        outcome = Outcome.UNREACHABLE
        load = None
        try:
            for _ in range(MAX_TRIES):
                try:
                    outcome, load = await self._query_load(address)
                    break
                except OSError:  # a reset, which is retried
                    outcome = Outcome.UNREACHABLE
        finally:
            self.in_flight -= 1
        self.on_result(replica, outcome, load)

    async def _query_load(self, address: Address) -> tuple[Outcome, ReportedLoad | None]:
        """Query the load once. Raises OSError if the connection broke, in which case a further try may succeed."""
        try:
            query = self.dialect.health_check()
            status, body = await call(
                self.pool,
                address,
                query,
                ANSWER_TIMEOUT_US,
                MAX_REPORT_BYTES,
                purpose=ConnectionPurpose.REQUEST,
            )
            return Outcome.ANSWERED, self.dialect.load(status, body)
        except TimeoutError:
            return Outcome.TIMEOUT, None
        except PoolExhaustedError:
            return Outcome.NOT_SENT, None
        except ConnectError:
            return Outcome.UNREACHABLE, None
        except ValueError:  # the replica responds, although the response is not usable
            return Outcome.ANSWERED, None
