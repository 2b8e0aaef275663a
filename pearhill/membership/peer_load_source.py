"""Selects the source of the other dispatchers' loads: the aggregators' sums or gossip."""

from __future__ import annotations

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.membership.gossip import GossipProtocol
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.reporter import Reporter

NO_PEER_LOAD = PeerLoadEstimate(queued_tokens=0.0, total_tokens=0.0, confidence=0.0)

SOURCE_SUMS = "sums"
SOURCE_GOSSIP = "talk"


class CombinedLoadSource:
    """Implements `load_reports.peer_load_source.PeerLoadSource` with aggregators' sums and gossip.

    While a fleet is migrated from one to the other, some dispatchers use both; a dispatcher that uses only one of them
    is missing from the other.
    """

    def __init__(self) -> None:
        self.reporter: Reporter | None = None
        self.gossip: GossipProtocol | None = None
        self._sums_count_all = False  # as of the last `count`: the sums count no fewer than the gossip

    def count(self, now: int) -> int | None:
        """Returns how many dispatchers share the work, including this one, or None if no source has ever reported.

        Must be called again whenever the count of either source changes.
        """
        by_sums = self.reporter.count(now) if self.reporter else None
        by_gossip = self.gossip.count(now) if self.gossip else None
        self._sums_count_all = by_sums is not None and (by_gossip is None or by_sums >= by_gossip)
        # With the smaller count, each cold replica would also get the shares of the dispatchers that it leaves out.
        return max((count for count in (by_sums, by_gossip) if count is not None), default=None)

    def has_fresh_sums(self, now: int) -> bool:
        """Returns whether the aggregators' sums are recent."""
        age_s = self.reporter.figures(now)["age_s"] if self.reporter else None
        return age_s is not None and age_s * 1e6 < MAX_SUMS_AGE_US

    def active_source(self, now: int) -> str:
        """Returns SOURCE_SUMS or SOURCE_GOSSIP, for operators, or "" if there are neither fresh sums nor gossip."""
        if self._sums_count_all and self.has_fresh_sums(now):
            return SOURCE_SUMS
        return SOURCE_GOSSIP if self.gossip else ""

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        """Returns the estimated load of the other dispatchers at a replica.

        `queued_tokens` and `total_tokens` are this dispatcher's own tokens there.
        """
        others = NO_PEER_LOAD
        if self.reporter and (self._sums_count_all or self.gossip is None):
            others = self.reporter.estimate_peer_load(now, replica, queued_tokens, total_tokens)
        if others.confidence <= 0 and self.gossip:
            # Gossip continues even if all aggregators are down.
            return self.gossip.estimate_peer_load(now, replica, queued_tokens, total_tokens)
        return others
