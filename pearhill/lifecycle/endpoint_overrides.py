"""Discovery's list and the operators' wishes, as the one list that the Router is told."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from pearhill.lifecycle.overrides import OperatorOverrides
from pearhill.routing.topology import Endpoint, Phase


class EndpointOverrides:
    """The list as it came, apart from what is told of it: an engine that is put back is what the list then says."""

    def __init__(self, overrides: OperatorOverrides) -> None:
        self.overrides = overrides
        self.endpoints: dict[int, Endpoint] = {}

    def update(self, full: bool, entries: tuple[Endpoint, ...]) -> tuple[Endpoint, ...]:
        """A list as discovery gives it; the same as the Router is told it."""
        if full:
            self.endpoints = {}
        for entry in entries:
            if entry.phase == Phase.GONE:
                self.endpoints.pop(entry.replica, None)
            else:
                self.endpoints[entry.replica] = entry
        return tuple(self._effective(entry) for entry in entries)

    def reapply(self, replicas: Iterable[int]) -> tuple[Endpoint, ...]:
        """What to tell of these engines now that a wish has changed."""
        return tuple(self._effective(self.endpoints[engine]) for engine in replicas if engine in self.endpoints)

    def knows(self, replica: int) -> bool:
        """Somebody has this id: it is listed, or out by hand and may come back."""
        return replica in self.endpoints or self.overrides.is_down(replica)

    def _effective(self, entry: Endpoint) -> Endpoint:
        if self.overrides.is_down(entry.replica):
            return replace(entry, phase=Phase.DRAINING) if entry.phase == Phase.READY else entry
        back = self.overrides.restored(entry.replica)
        # Danger: operators restart what is out, and the list tells of it seconds late. Taken for warm, it is pushed
        # over. A start that the list names, during the absence or later, is the true one.
        if back and entry.started_at < back.since:
            return replace(entry, started_at=back.set_at)
        return entry
