"""The endpoint list as last received: which replicas exist, and which of them accept requests."""

from __future__ import annotations

from collections.abc import Sequence

from pearhill.routing.topology import Endpoint, MachineKind, Phase, Role


class EndpointList:
    """The endpoints by replica, without those whose phase is GONE."""

    def __init__(self) -> None:
        self.by_replica: dict[int, Endpoint] = {}

    def update(self, full: bool, endpoints: tuple[Endpoint, ...]) -> None:
        """Apply a list: the complete list (`full`), or the endpoints that changed."""
        if full:
            self.by_replica = {}
        for endpoint in endpoints:
            if endpoint.phase == Phase.GONE:
                self.by_replica.pop(endpoint.replica, None)
            else:
                self.by_replica[endpoint.replica] = endpoint

    def accepts_requests(self, replica: int) -> bool:
        """Return whether the replica is listed as ready."""
        endpoint = self.by_replica.get(replica)
        return endpoint is not None and endpoint.phase == Phase.READY

    def has_ready_decoder(self, kinds: Sequence[MachineKind]) -> bool:
        """Return whether a decode or mixed replica is listed as ready."""
        return any(
            endpoint.phase == Phase.READY and kinds[endpoint.kind].role != Role.PREFILL
            for endpoint in self.by_replica.values()
        )
