"""Where the load of the other dispatchers comes from."""

from __future__ import annotations

from typing import Protocol


class PeerLoadSource(Protocol):
    """Other dispatchers that share what they have in flight (`pearhill.membership`)."""

    def others(self, now: int, replica: int, queued_tokens: int, total_tokens: int, /) -> tuple[float, float, float]:
        """The others' tokens at a replica where this dispatcher has so many: yet to be prefilled, and in all.

        Third: how much of that is fresh (1) and how much is assumed (0).
        """
