"""The backend that reaches replicas over HTTP/1.1: each attempt is one request on one connection."""

from __future__ import annotations

from collections.abc import Collection
from functools import partial

from loguru import logger

from pearhill.core.deadlines import TimerKey
from pearhill.core.request import Attempt, Request
from pearhill.net.address import Address
from pearhill.net.attempt_exchange import AttemptExchange
from pearhill.net.dialect import Dialect
from pearhill.net.health_checks import HealthCheckCallback, HealthChecks
from pearhill.net.memory_limit import DEFAULT_LIMIT_BYTES, MemoryLimit
from pearhill.net.pool import Pool
from pearhill.net.releases import Releases

ADDRESS_RETENTION_US = 60_000_000  # for an unlisted replica: attempts and releases may still need its address


class HttpBackend:
    """Sends attempts, releases and health checks to replicas, which are identified by their numbers. `on_health_check`
    is called with the result of each health check. `response_memory` counts the incomplete parts of streams."""

    def __init__(
        self,
        pool: Pool,
        dialect: Dialect,
        on_health_check: HealthCheckCallback = lambda replica, outcome, load: None,
        response_memory: MemoryLimit | None = None,
    ) -> None:
        self.pool = pool
        self.dialect = dialect
        self.response_memory = response_memory or MemoryLimit(DEFAULT_LIMIT_BYTES, pool.max_connections)
        self.addresses: dict[int, Address] = {}
        self.check_health = HealthChecks(pool, dialect, self.addresses, on_health_check).send
        self.removal_timers: dict[int, TimerKey] = {}  # by unlisted replica: the timer that removes its address
        self.exchanges: dict[Attempt, AttemptExchange] = {}
        self.releases = Releases(pool, dialect, self.addresses)
        self._malformed_logged: set[int] = set()  # replicas whose first malformed response was logged

    # Addresses.

    def update_addresses(self, addresses: dict[int, Address], unlisted: Collection[int], full: bool) -> None:
        """Update the addresses of replicas. Replicas in `unlisted`, and those missing from a `full` list, are unlisted.
        Idle connections to an unlisted replica, or to a replica's previous address, are closed."""
        for replica, address in addresses.items():
            self._set_address(replica, address)
        missing = self.addresses.keys() - addresses.keys() if full else ()
        for replica in {*unlisted, *missing} - self.removal_timers.keys():
            if replica in self.addresses:
                self._unlist(replica)

    def _set_address(self, replica: int, address: Address) -> None:
        previous = self.addresses.get(replica)
        self.addresses[replica] = address
        self.pool.deadlines.cancel(self.removal_timers.pop(replica, None))
        if previous and previous != address:
            self.pool.drop_idle(previous)

    def _unlist(self, replica: int) -> None:
        self.pool.drop_idle(self.addresses[replica])
        forget = partial(self._forget_address, replica)
        self.removal_timers[replica] = self.pool.deadlines.schedule_after(ADDRESS_RETENTION_US, forget)

    def _forget_address(self, replica: int) -> None:
        """Remove a replica's address. Memory would otherwise grow without bound where replicas are replaced all day by
        others with new names."""
        del self.addresses[replica]
        del self.removal_timers[replica]
        self._malformed_logged.discard(replica)

    # Attempts.

    def send(self, attempt: Attempt) -> None:
        """Start an attempt. `Attempt.end` is called with its outcome."""
        self.exchanges[attempt] = AttemptExchange(self, attempt)

    def may_have_been_sent(self, attempt: Attempt) -> bool:
        """Whether the replica may have the complete request of an attempt that has not ended."""
        exchange = self.exchanges.get(attempt)
        return exchange is not None and exchange.may_have_sent

    def cancel(self, attempt: Attempt) -> bool:
        """Cancel an attempt. Returns whether its replica may have the complete request."""
        exchange = self.exchanges.pop(attempt, None)
        if exchange is None:
            return False
        self._resume_releases(attempt)
        return exchange.cancel()

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""
        self.exchanges.pop(attempt, None)
        self._resume_releases(attempt)

    def record_malformed_response(self, replica: int, why: str) -> None:
        """Count a response that makes no sense, and log the first one of each replica, which may send many."""
        self.pool.counters.malformed_responses += 1
        if replica not in self._malformed_logged:
            self._malformed_logged.add(replica)
            logger.warning("replica {replica}: malformed response: {why}", replica=replica, why=why)

    def _resume_releases(self, attempt: Attempt) -> None:
        """Resume the request's releases once the core has recorded the end of the attempt."""
        self.pool.loop.call_soon(self.releases.attempt_over, attempt.request)

    # Releases.

    @property
    def pending_releases(self) -> int:
        """The number of releases in progress."""
        return self.releases.pending

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Release everything that these replicas hold for the request."""
        self.releases.release(request, replicas)

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Release the state held for an attempt in flight that may never have arrived."""
        self.releases.release_unless_fetched(request, replicas)
