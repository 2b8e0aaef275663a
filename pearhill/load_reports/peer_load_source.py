"""The interface to the load of the other dispatchers."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class PeerLoadEstimate(NamedTuple):
    """The other dispatchers' tokens at one replica.

    `queued_tokens` are yet to be prefilled there. `total_tokens` are all that are in flight there. `confidence` is the
    fresh part of that load: 1 if all of it is fresh, 0 if all of it is assumed.
    """

    queued_tokens: float
    total_tokens: float
    confidence: float


class PeerLoadSource(Protocol):
    """Provides the load that the other dispatchers report (implemented in `pearhill.membership`)."""

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int, /) -> PeerLoadEstimate:
        """Return the load of the other dispatchers at a replica. The tokens passed in are this dispatcher's own."""
