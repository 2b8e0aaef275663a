"""Discovery's endpoints and the operators' overrides, as the one list that the router works with."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.routing.topology import Endpoint, Phase


class EndpointOverrides:
    """Keeps the endpoints as discovery reported them, apart from the effective ones that the router gets: a restored
    replica is as discovery reports it then."""

    def __init__(self, overrides: OperatorOverrides) -> None:
        self.overrides = overrides
        self.endpoints: dict[int, Endpoint] = {}

    def update(self, full: bool, entries: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Take over endpoints as discovery reports them; the effective ones, for the router.

        `full`: they replace all others.
        """
        if full:
            self.endpoints = {}
        for entry in entries:
            if entry.phase == Phase.GONE:
                self.endpoints.pop(entry.replica, None)
            else:
                self.endpoints[entry.replica] = entry
        return tuple(self._effective(entry) for entry in entries)

    def reapply(self, replicas: Iterable[int]) -> tuple[Endpoint, ...]:
        """The effective endpoints of these replicas, for the router, after an override has changed."""
        return tuple(self._effective(self.endpoints[replica]) for replica in replicas if replica in self.endpoints)

    def knows(self, replica: int) -> bool:
        """Whether a replica has this id: it is listed, or administratively down and may come back."""
        return replica in self.endpoints or self.overrides.is_down(replica)

    def _effective(self, entry: Endpoint) -> Endpoint:
        if self.overrides.is_down(entry.replica):
            return replace(entry, phase=Phase.DRAINING) if entry.phase == Phase.READY else entry
        restored = self.overrides.restored(entry.replica)
        # Operators restart what is down, and the list reports the start seconds late: taken for warm, the replica would
        # be overloaded. A start that the list reports, within the time it was down or later, is the true one.
        if restored and entry.started_at < restored.since:
            return replace(entry, started_at=restored.set_at)
        return entry
