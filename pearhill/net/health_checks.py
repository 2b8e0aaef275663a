"""Health checks: questions about replicas' load, over the same kept connections as requests. Which replica is checked,
and when, is decided elsewhere."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from pearhill.net.address import Address
from pearhill.net.calls import call
from pearhill.net.errors import ConnectError, PoolExhaustedError
from pearhill.net.pool import ConnectionPurpose, Pool
from pearhill.routing.events import ReportedLoad
from pearhill.routing.outcomes import Outcome

ANSWER_TIMEOUT_US = 250_000  # for a connection, and again for an answer
MAX_IN_FLIGHT = 64  # health checks must not take the descriptors that requests need
MAX_REPORT_BYTES = 4 * 1024  # of an answer
MAX_TRIES = 2  # A kept connection that the replica has closed is reset at its next use: that is no silence.

HealthCheckCallback = Callable[[int, Outcome, ReportedLoad | None], None]


class HealthCheckDialect(Protocol):
    """The protocol's message that asks for the load."""

    def health_check(self) -> bytes:
        """The call that asks for the load."""

    def load(self, status: int, body: bytes) -> ReportedLoad | None:
        """What the answer reports. None: nothing that can be used."""


class HealthChecks:
    """`on_result` gets each health check's end once: the replica, the outcome and the load it reported."""

    def __init__(
        self, pool: Pool, dialect: HealthCheckDialect, addresses: Mapping[int, Address], on_result: HealthCheckCallback
    ) -> None:
        self.pool = pool
        self.dialect = dialect
        self.addresses = addresses
        self.on_result = on_result
        self.in_flight = 0

    def send(self, replica: int) -> None:
        """Begin a health check."""
        address = self.addresses.get(replica)
        if address is None or self.in_flight >= MAX_IN_FLIGHT:
            return self.on_result(replica, Outcome.NOT_SENT, None)  # not sent: no sign of a fault
        self.in_flight += 1
        self.pool.spawn(self._check(replica, address))

    async def _check(self, replica: int, address: Address) -> None:
        outcome = Outcome.UNREACHABLE
        load = None
        try:
            for _ in range(MAX_TRIES):
                try:
                    outcome, load = await self._ask(address)
                    break
                except OSError:  # a reset
                    outcome = Outcome.UNREACHABLE
        finally:
            self.in_flight -= 1
        self.on_result(replica, outcome, load)

    async def _ask(self, address: Address) -> tuple[Outcome, ReportedLoad | None]:
        """One try. OSError: the connection broke, and another try may tell more."""
        try:
            question = self.dialect.health_check()
            status, body = await call(
                self.pool,
                address,
                question,
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
        except ValueError:  # it answers, though with nothing that can be used
            return Outcome.ANSWERED, None
