"""Whose word on the others' work counts: the aggregators' sums, or what the dispatchers tell one another."""

from __future__ import annotations

from pearhill.membership.gossip import GossipProtocol
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.reporter import Reporter

SOURCE_SUMS, SOURCE_GOSSIP = "sums", "talk"


class CombinedLoadSource:
    """Satisfies `spread.scout.Peers`. While a fleet goes over from one way to the other, some dispatchers are on both;
    who is on one only is missing from the other's word."""

    def __init__(self) -> None:
        self.reporter: Reporter | None = None
        self.gossip: GossipProtocol | None = None
        self._sums_count_all = False  # as of the last `count`: they count no fewer than the talk does

    def count(self, now: int) -> int | None:
        """Dispatchers that share the work, this one among them; None: nobody has ever told. To be asked again whenever
        either source has another count."""
        sums = self.reporter.count(now) if self.reporter else None
        talk = self.gossip.count(now) if self.gossip else None
        self._sums_count_all = sums is not None and (talk is None or sums >= talk)
        # Danger: by the smaller word, each cold engine would get the shares of those that it leaves out as well.
        return max((n for n in (sums, talk) if n is not None), default=None)

    def fresh(self, now: int) -> bool:
        """The aggregators' sums are of now."""
        age_s = self.reporter.figures(now)["age_s"] if self.reporter else None
        return age_s is not None and age_s * 1e6 < MAX_SUMS_AGE_US

    def in_use(self, now: int) -> str:
        """For operators: SUMS or TALK, or nothing where there are neither fresh sums nor a talk."""
        sums = self._sums_count_all and self.fresh(now)
        return SOURCE_SUMS if sums else SOURCE_GOSSIP if self.gossip else ""

    def others(self, now: int, engine: int, waiting: int, load: int) -> tuple[float, float, float]:
        """What the others have at an engine where I have this much: tokens yet to be read, under way in all, and how
        much of that is fresh word."""
        told = 0.0, 0.0, 0.0
        if self.reporter and (self._sums_count_all or self.gossip is None):
            told = self.reporter.others(now, engine, waiting, load)
        if told[2] <= 0 and self.gossip:  # Danger: the aggregators may be gone, all of them; the talk goes on
            return self.gossip.others(now, engine, waiting, load)
        return told
