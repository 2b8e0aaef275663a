"""Applies the operators' overrides: replicas that are administratively down, and the drain that they request."""

from __future__ import annotations

from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.lifecycle.endpoint_overrides import EndpointOverrides
from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.net.backend import HttpBackend
from pearhill.net.pool import Pool
from pearhill.node.drain_control import DrainControl
from pearhill.routing.topology import Endpoint


class OverrideControl:
    """Stores the operators' overrides, and applies them to the dispatcher, the connection pool and the drain."""

    def __init__(
        self,
        deadlines: Deadlines,
        dispatcher: Dispatcher,
        backend: HttpBackend,
        pool: Pool,
        drain_control: DrainControl,
    ) -> None:
        self.overrides = OperatorOverrides()
        self._endpoints = EndpointOverrides(self.overrides)
        self._deadlines = deadlines
        self._dispatcher = dispatcher
        self._backend = backend
        self._pool = pool
        self._drain_control = drain_control

    def update_endpoints(self, full: bool, entries: tuple[Endpoint, ...]) -> None:
        """Apply the overrides to endpoints from discovery and pass them on to the dispatcher.

        With `full`, they replace all others.
        """
        self._dispatcher.update_endpoints(full, self._endpoints.update(full, entries))

    def set_replica_down(self, replica: int, down: bool) -> bool:
        """Take a replica administratively down, or restore it. Returns False if no replica has this id."""
        if not self._endpoints.is_known(replica):
            return False
        self.overrides.set_down(replica, self._deadlines.clock(), down)
        self.apply({replica}, False)
        return True

    def request_drain(self, on: bool) -> None:
        """Begin or end the drain that operators have requested."""
        self.overrides.set_drain(self._deadlines.clock(), on)
        self.apply(set(), True)

    def apply(self, replicas: set[int], drain: bool) -> None:
        """Apply the changed overrides of these replicas and, if `drain` is set, the changed drain.

        An override may have been set at this process or at another process of the dispatcher.
        """
        if drain and self.overrides.drain:
            self._drain_control.request(self.overrides.drain.on)
        for replica in replicas:
            # Operators restart a replica while it is down: a request on an older connection would be reset.
            address = self._backend.addresses.get(replica)
            if address:
                self._pool.drop_idle(address)
        changed = self._endpoints.reapply(replicas)
        if changed:
            self._dispatcher.update_endpoints(False, changed)
