"""Combines discovery's endpoints and the operators' overrides into the list that the router uses."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.routing.topology import Endpoint, Phase


class EndpointOverrides:
    """Stores the endpoints as discovery reported them, and computes the effective ones for the router.

    They are stored without the overrides, so that a restored replica has the state that discovery reports.
    """

    def __init__(self, overrides: OperatorOverrides) -> None:
        self.overrides = overrides
        self.endpoints: dict[int, Endpoint] = {}

    def update(self, full: bool, entries: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """Store endpoints as discovery reports them, and return the effective ones for the router.

        With `full`, they replace all others.
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
        """Returns the effective endpoints of these replicas, for the router, after an override has changed."""
        return tuple(self._effective(self.endpoints[replica]) for replica in replicas if replica in self.endpoints)

    def is_known(self, replica: int) -> bool:
        """Whether a replica with this id is listed, or is administratively down and may be listed again."""
        return replica in self.endpoints or self.overrides.is_down(replica)

    def _effective(self, entry: Endpoint) -> Endpoint:
        if self.overrides.is_down(entry.replica):
            return replace(entry, phase=Phase.DRAINING) if entry.phase == Phase.READY else entry
        restored = self.overrides.restoring_override(entry.replica)
        # Operators restart a replica that is down, and the endpoint list reports the new start seconds late. Until then
        # the replica counts as started when it was restored, or it would be considered warm and be overloaded. A start
        # time in the list that lies after the replica was taken down is the actual one.
        if restored and entry.started_at < restored.since:
            return replace(entry, started_at=restored.set_at)
        return entry
