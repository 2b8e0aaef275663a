"""Which source of the others' loads is used: the aggregators' sums or the dispatchers' gossip."""

from __future__ import annotations

from pearhill.load_reports.peer_load_source import PeerLoadEstimate
from pearhill.membership.gossip import GossipProtocol
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.reporter import Reporter

NOTHING_KNOWN = PeerLoadEstimate(queued_tokens=0.0, total_tokens=0.0, confidence=0.0)

SOURCE_SUMS = "sums"
SOURCE_GOSSIP = "talk"


class CombinedLoadSource:
    """Satisfies `load_reports.peer_load_source.PeerLoadSource`. While a fleet changes from one way to the other, some
    dispatchers use both; one that uses only one of them is missing from the other."""

    def __init__(self) -> None:
        self.reporter: Reporter | None = None
        self.gossip: GossipProtocol | None = None
        self._sums_count_all = False  # as of the last `count`: they count no fewer than the gossip does

    def count(self, now: int) -> int | None:
        """Dispatchers that share the work, this one among them; None: no source has ever reported. To be called again
        whenever either source has another count."""
        by_sums = self.reporter.count(now) if self.reporter else None
        by_gossip = self.gossip.count(now) if self.gossip else None
        self._sums_count_all = by_sums is not None and (by_gossip is None or by_sums >= by_gossip)
        # By the smaller count, each cold replica would get the shares of the dispatchers that it leaves out as well.
        return max((count for count in (by_sums, by_gossip) if count is not None), default=None)

    def has_fresh_sums(self, now: int) -> bool:
        """Whether the aggregators' sums are recent."""
        age_s = self.reporter.figures(now)["age_s"] if self.reporter else None
        return age_s is not None and age_s * 1e6 < MAX_SUMS_AGE_US

    def active_source(self, now: int) -> str:
        """SOURCE_SUMS or SOURCE_GOSSIP, for operators; empty where there are neither fresh sums nor gossip."""
        if self._sums_count_all and self.has_fresh_sums(now):
            return SOURCE_SUMS
        return SOURCE_GOSSIP if self.gossip else ""

    def estimate_peer_load(self, now: int, replica: int, queued_tokens: int, total_tokens: int) -> PeerLoadEstimate:
        """What the others have at a replica where this dispatcher has so many queued tokens, and in all."""
        others = NOTHING_KNOWN
        if self.reporter and (self._sums_count_all or self.gossip is None):
            others = self.reporter.estimate_peer_load(now, replica, queued_tokens, total_tokens)
        if others.confidence <= 0 and self.gossip:
            # All aggregators may be gone; the gossip goes on.
            return self.gossip.estimate_peer_load(now, replica, queued_tokens, total_tokens)
        return others
