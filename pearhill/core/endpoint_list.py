"""The endpoint list as it was last received: which replicas there are, and which of them take requests."""

from __future__ import annotations

from collections.abc import Sequence

from pearhill.routing.topology import Endpoint, MachineKind, Phase, Role


class EndpointList:
    """The endpoints by replica; those that are gone are not in it."""

    def __init__(self) -> None:
        self.by_replica: dict[int, Endpoint] = {}

    def update(self, full: bool, endpoints: tuple[Endpoint, ...]) -> None:
        """Apply a list: all endpoints (`full`), or those that changed."""
        if full:
            self.by_replica = {}
        for endpoint in endpoints:
            if endpoint.phase == Phase.GONE:
                self.by_replica.pop(endpoint.replica, None)
            else:
                self.by_replica[endpoint.replica] = endpoint

    def accepts_requests(self, replica: int) -> bool:
        """Whether the replica is listed as ready."""
        endpoint = self.by_replica.get(replica)
        return endpoint is not None and endpoint.phase == Phase.READY

    def has_ready_decoder(self, kinds: Sequence[MachineKind]) -> bool:
        """Whether a replica that decodes is listed as ready."""
        return any(
            endpoint.phase == Phase.READY and kinds[endpoint.kind].role != Role.PREFILL
            for endpoint in self.by_replica.values()
        )
