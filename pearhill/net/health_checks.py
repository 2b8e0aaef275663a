"""Probes of engines' load, over the same kept connections as requests. Whom to ask, and when, is decided elsewhere."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from pearhill.net.address import Address
from pearhill.net.pool import REQUESTS, ConnectError, Pool, PoolExhaustedError, call
from pearhill.routing.outcomes import Outcome

PROBE_WAIT = 250_000  # for an answer, in microseconds
MAX_IN_FLIGHT = 64  # at once: probes must not take the descriptors that requests need
MAX_REPORT = 4 * 1024  # bytes of an answer
TRIES = 2  # Danger: a kept connection that the server has closed is reset at its next use. That is no silence.

HealthCheckCallback = Callable[[int, Outcome, "tuple[float, float] | None"], None]


class HealthCheckDialect(Protocol):
    def health_check(self) -> bytes:
        """The call that asks for the load."""

    def load(self, status: int, body: bytes) -> tuple[float, float] | None:
        """What the answer tells: memory share, thousands of tokens waiting. None: nothing that can be used."""


class HealthChecks:
    """`told` gets each probe's end once: the engine, the outcome and the load it reported."""

    def __init__(
        self, pool: Pool, dialect: HealthCheckDialect, addresses: Mapping[int, Address], told: HealthCheckCallback
    ) -> None:
        self.pool, self.dialect, self.addresses, self.told = pool, dialect, addresses, told
        self.out = 0

    def send(self, engine: int) -> None:
        address = self.addresses.get(engine)
        if address is None or self.out >= MAX_IN_FLIGHT:
            return self.told(engine, Outcome.NOT_SENT, None)  # never asked: that says nothing of the engine
        self.out += 1
        self.pool.spawn(self._probe(engine, address))

    async def _probe(self, engine: int, address: Address) -> None:
        outcome, load = Outcome.UNREACHABLE, None
        try:
            for _ in range(TRIES):
                try:
                    ask = self.dialect.health_check()
                    status, body = await call(self.pool, address, ask, PROBE_WAIT, MAX_REPORT, purpose=REQUESTS)
                    outcome, load = Outcome.ANSWERED, self.dialect.load(status, body)
                    break
                except TimeoutError:
                    outcome = Outcome.TIMEOUT
                    break
                except PoolExhaustedError:
                    outcome = Outcome.NOT_SENT
                    break
                except ConnectError:
                    break
                except ValueError:  # it talks, though not to the point
                    outcome = Outcome.ANSWERED
                    break
                except OSError:
                    outcome = Outcome.UNREACHABLE
        finally:
            self.out -= 1
        self.told(engine, outcome, load)
