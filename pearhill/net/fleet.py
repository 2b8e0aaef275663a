"""A dispatcher's part in a fleet, on one UDP socket: the talk with other dispatchers, the reports to aggregators, or
both."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.load_reports.evenness import evenness
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import AggregationCodec
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.gossip import GossipProtocol
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.peer_load_source import CombinedLoadSource
from pearhill.membership.reporter import Reporter
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams
from pearhill.net.gossip import Gossip
from pearhill.net.reporting import Reporting

if TYPE_CHECKING:
    from pearhill.node.node import Node

SUMS_TIMEOUT_US = 3_000_000  # without fresh sums; a move to another aggregator takes less


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """The dispatchers that this one talks to, and the aggregators that it may report to, with where they listen."""

    name: str
    listen: Address
    keys: tuple[bytes, ...]
    peers: Mapping[str, Address]
    region: str = ""
    sites: tuple[AggregatorSite, ...] = ()
    aggregators: Mapping[str, Address] | None = None


class Fleet:
    """`work` tells my own tokens at each engine, as they are now. `sources` is for the Router's `talk`."""

    def __init__(
        self, setup: FleetSetup, seed: int, deadlines: Deadlines, work: Callable[[], Iterable[ReplicaLoad]]
    ) -> None:
        self.setup, self.seed, self.deadlines, self._work = setup, seed, deadlines, work
        self.datagrams, self.sources = Datagrams(deadlines), CombinedLoadSource()
        self.gossip: Gossip | None = None
        self.reporting: Reporting | None = None
        self.on_count: Callable[[int], None] = lambda count: None  # told how many dispatchers share the work
        self._count: int | None = None
        self._reports_to: str | None = ""  # as last logged; None: to nobody
        self._silent_since: int | None = None

    async def open(self) -> Address:
        """OSError: the address cannot be used."""
        address = await self.datagrams.open(self.setup.listen)
        self._settle()
        return address

    def reconfigure(self, setup: FleetSetup) -> None:
        """Other keys, peers and aggregators, one way more or less; what is known of those that stay, stays. Name,
        region and address are those of the start."""
        started = self.setup
        self.setup = replace(setup, name=started.name, listen=started.listen, region=started.region)
        self._settle()

    def _settle(self) -> None:
        """The ways that the setup asks for, as it asks for them."""
        setup, deadlines = self.setup, self.deadlines
        # The start's own time is its incarnation; its seed too. Danger: in step, all would ping the same one.
        started = deadlines.clock()
        rng, keys = random.Random(started ^ self.seed), list(setup.keys)
        talks, reports = bool(setup.peers) or not setup.sites, bool(setup.sites)
        if self.gossip and talks:
            self.gossip.reconfigure(GossipCodec(keys), setup.peers)
        elif talks:
            council = GossipProtocol(setup.name, setup.peers, started, rng, self._work)
            self.sources.gossip = council
            self.gossip = Gossip(council, GossipCodec(keys), setup.peers, deadlines, self.datagrams)
            self.gossip.on_count = self._recount
            self.gossip.start()
        elif self.gossip:
            self.gossip.close()
            self.gossip = self.sources.gossip = None
        addresses = setup.aggregators or {}
        if self.reporting and reports:
            self.reporting.reconfigure(AggregationCodec(keys), setup.sites, addresses)
        elif reports:
            reporter = Reporter(setup.name, setup.region, setup.sites, started, rng, self._work)
            self.sources.reporter = reporter
            self.reporting = Reporting(reporter, AggregationCodec(keys), addresses, deadlines, self.datagrams)
            self.reporting.on_count, self.reporting.on_exchange = self._recount, self._look
            self.reporting.start()
        elif self.reporting:
            self.reporting.close()
            self.reporting = self.sources.reporter = None
        self._recount()

    def _recount(self) -> None:
        count = self.sources.count(self.deadlines.clock())
        if count is not None and count != self._count:
            self._count = count
            logger.info(
                "fleet: {count} dispatchers share the work, {there} of them are heard of",
                count=count,
                there=self._heard(),
            )
            self.on_count(count)

    def _heard(self) -> int:
        """Dispatchers of which there is word, this one among them."""
        there = len(self.gossip.protocol.members.reachable()) if self.gossip else 1
        return max(there, self.reporting.reporter.figures(self.deadlines.clock())["heard"]) if self.reporting else there

    def _look(self, now: int) -> None:
        """Tell the log which aggregator sums up, or that none has for so long that it is no move to another one."""
        assert self.reporting
        if self.sources.fresh(now):
            self._silent_since, at = None, self.reporting.reporter.figures(now)["aggregator"]
            if at != self._reports_to:
                self._reports_to = at
                logger.info("fleet: reports to {aggregator}", aggregator=at)
            return
        if self._silent_since is None:
            self._silent_since = now
        elif now - self._silent_since >= SUMS_TIMEOUT_US and self._reports_to is not None:
            self._reports_to = None
            logger.warning(
                "fleet: no aggregator answers: {what}",
                what="the talk goes on" if self.gossip else "each goes by its own work and the last count",
            )

    def told(self, node: Node) -> dict[str, Any]:
        """What is known here of the fleet, for operators. `shares`: dispatchers among whom shares of cold engines and
        the like are divided; 0: as many as the settings say."""
        now, sources, scout = self.deadlines.clock(), self.sources, node.dispatcher.router
        engines, total = list[dict[str, Any]](), dict[str, float]()
        for engine, (waiting, load, avoided) in scout.loads(now).items():
            theirs = sources.others(now, engine, waiting, load)
            address = "{}:{}".format(*node.backend.addresses.get(engine, ("", 0)))
            total[address] = load + theirs[1]
            engines.append(
                {
                    "address": address,
                    "avoided": avoided,
                    "mine": {"waiting": waiting, "load": load},
                    "others": {"waiting": round(theirs[0]), "load": round(theirs[1]), "sure": round(theirs[2], 3)},
                }
            )
        even = evenness(total)
        members = self.gossip.protocol.members.members if self.gossip else {}
        return {
            "name": self.setup.name,
            "count": sources.count(now),
            "shares": node.dispatcher_count,
            "source": sources.in_use(now),
            "members": {
                name: {"state": str(m.state), "incarnation": m.incarnation, "for_s": (now - m.state_since) / 1e6}
                for name, m in members.items()
            },
            "reports": self.reporting.reporter.figures(now) if self.reporting else None,
            "engines": engines,
            "datagrams": dict(self.datagrams.counts),
            "evenness": {"peak_over_mean": round(even.peak, 3), "gini": round(even.gini, 3), "idle": list(even.idle)},
        }

    def close(self) -> None:
        """At the end: nothing is taken or sent any more."""
        if self.reporting:
            self.reporting.close()
        if self.gossip:
            self.gossip.close()
        self.datagrams.close()
