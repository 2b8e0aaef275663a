"""Where the load of the other dispatchers comes from."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class PeerLoadEstimate(NamedTuple):
    """The other dispatchers' tokens at one replica: yet to be prefilled there, and in flight there in all.

    `confidence`: how much of that is fresh (1) and how much is assumed (0).
    """

    queued_tokens: float
    total_tokens: float
    confidence: float


class PeerLoadSource(Protocol):
    """Other dispatchers that share what they have in flight (`pearhill.membership`)."""

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int, /) -> PeerLoadEstimate:
        """What the others have at a replica where this dispatcher has so many tokens."""
