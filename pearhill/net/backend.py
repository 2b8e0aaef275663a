"""The way to replicas over HTTP/1.1: one attempt is one request on one connection."""

from __future__ import annotations

from collections.abc import Collection
from functools import partial

from pearhill.core.deadlines import TimerKey
from pearhill.core.request import Attempt, Request
from pearhill.net.address import Address
from pearhill.net.attempt_exchange import AttemptExchange
from pearhill.net.dialect import Dialect
from pearhill.net.health_checks import HealthCheckCallback, HealthChecks
from pearhill.net.pool import Pool
from pearhill.net.releases import Releases

ADDRESS_RETENTION_US = 60_000_000  # for a replica that has left the list: attempts and releases may still need it


class HttpBackend:
    """Attempts, releases and health checks at replicas, by their numbers. `on_health_check` gets each health check's
    end."""

    def __init__(
        self,
        pool: Pool,
        dialect: Dialect,
        on_health_check: HealthCheckCallback = lambda replica, outcome, load: None,
    ) -> None:
        self.pool = pool
        self.dialect = dialect
        self.addresses: dict[int, Address] = {}
        self.check_health = HealthChecks(pool, dialect, self.addresses, on_health_check).send
        self.leaving: dict[int, TimerKey] = {}  # replicas off the list, whose addresses go when their time is over
        self.exchanges: dict[Attempt, AttemptExchange] = {}
        self.releases = Releases(pool, dialect, self.addresses)

    # Addresses.

    def update_addresses(self, addresses: dict[int, Address], gone: Collection[int], full: bool) -> None:
        """Where replicas listen; those that are `gone`, or missing from a `full` list, have left. No connections are
        kept to a replica that has left or moved."""
        for replica, address in addresses.items():
            self._set_address(replica, address)
        missing = self.addresses.keys() - addresses.keys() if full else ()
        for replica in {*gone, *missing} - self.leaving.keys():
            if replica in self.addresses:
                self._left(replica)

    def _set_address(self, replica: int, address: Address) -> None:
        previous = self.addresses.get(replica)
        self.addresses[replica] = address
        self.pool.deadlines.cancel(self.leaving.pop(replica, None))
        if previous and previous != address:
            self.pool.drop_idle(previous)

    def _left(self, replica: int) -> None:
        self.pool.drop_idle(self.addresses[replica])
        forget = partial(self._forget_address, replica)
        self.leaving[replica] = self.pool.deadlines.schedule_after(ADDRESS_RETENTION_US, forget)

    def _forget_address(self, replica: int) -> None:
        """Where replicas come and go all day under new names, whatever is kept of each would fill the memory."""
        del self.addresses[replica]
        del self.leaving[replica]

    # Attempts.

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt; it ends by `Attempt.end`."""
        self.exchanges[attempt] = AttemptExchange(self, attempt)

    def may_have_been_sent(self, attempt: Attempt) -> bool:
        """Whether the replica may have the whole request of an attempt that has not ended."""
        exchange = self.exchanges.get(attempt)
        return exchange is not None and exchange.may_have_sent

    def cancel(self, attempt: Attempt) -> bool:
        """Give an attempt up. Returns whether its replica may have the whole request."""
        exchange = self.exchanges.pop(attempt, None)
        return exchange.cancel() if exchange else False

    def forget(self, attempt: Attempt) -> None:
        """The attempt has ended."""
        self.exchanges.pop(attempt, None)

    # Releases.

    @property
    def pending_releases(self) -> int:
        """Releases that are being tried."""
        return self.releases.pending

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Release everything that these replicas hold for the request."""
        self.releases.release(request, replicas)

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Release what is held for an attempt in flight that may never have arrived."""
        self.releases.release_unless_fetched(request, replicas)
