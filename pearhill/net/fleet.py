"""A dispatcher's part in a fleet, on one UDP socket: gossip with other dispatchers, reports to aggregators, or both."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger

from pearhill.core.deadlines import Deadlines
from pearhill.load_reports.peer_loads import ReplicaLoad
from pearhill.membership.aggregation_messages import AggregationCodec
from pearhill.membership.aggregator_choice import AggregatorSite
from pearhill.membership.gossip import GossipProtocol
from pearhill.membership.gossip_messages import GossipCodec
from pearhill.membership.peer_load_source import CombinedLoadSource
from pearhill.membership.reporter import Reporter
from pearhill.net.address import Address
from pearhill.net.datagrams import Datagrams
from pearhill.net.fleet_figures import FleetNode, member_figures, replica_figures
from pearhill.net.gossip import Gossip
from pearhill.net.reporting import Reporting

SUMS_TIMEOUT_US = 3_000_000  # without fresh sums, until a warning; a switch to another aggregator takes less


@dataclass(frozen=True, slots=True)
class FleetSetup:
    """The dispatchers to gossip with and the aggregators to which reports may be sent, with their addresses."""

    name: str
    listen: Address
    keys: tuple[bytes, ...]
    peers: Mapping[str, Address]
    region: str = ""
    sites: tuple[AggregatorSite, ...] = ()
    aggregators: Mapping[str, Address] | None = None

    @property
    def uses_gossip(self) -> bool:
        """Whether this dispatcher gossips."""
        return bool(self.peers) or not self.sites

    @property
    def uses_reports(self) -> bool:
        """Whether this dispatcher reports to aggregators."""
        return bool(self.sites)


class Fleet:
    """Runs gossip and reports. `own_loads` returns this dispatcher's current tokens at each replica. `sources` is for
    the router's `set_peer_load_source`."""

    def __init__(
        self, setup: FleetSetup, seed: int, deadlines: Deadlines, own_loads: Callable[[], Iterable[ReplicaLoad]]
    ) -> None:
        self.setup = setup
        self.seed = seed
        self.deadlines = deadlines
        self.datagrams = Datagrams(deadlines)
        self.sources = CombinedLoadSource()
        self.gossip: Gossip | None = None
        self.reporting: Reporting | None = None
        self.on_count_change: Callable[[int], None] = lambda count: None  # called with the new number of dispatchers
        self._own_loads = own_loads
        self._count: int | None = None
        self._logged_aggregator: str | None = ""  # None if none answers
        self._no_sums_since: int | None = None

    async def open(self) -> Address:
        """Open the socket, start, and return the socket's address. Raises OSError if the address cannot be used."""
        address = await self.datagrams.open(self.setup.listen)
        self._apply_setup()
        return address

    def reconfigure(self, setup: FleetSetup) -> None:
        """Replace the keys, peers and aggregators. Gossip or reports may start or stop. State about those that remain
        is retained. Name, region and address remain those of the start."""
        initial = self.setup
        self.setup = replace(setup, name=initial.name, listen=initial.listen, region=initial.region)
        self._apply_setup()

    def _apply_setup(self) -> None:
        """Start, reconfigure or close gossip and reports, as the setup requires."""
        # The start time is the incarnation, and seeds the random generator: with equal seeds, all dispatchers would
        # ping the same one at the same time.
        started_at = self.deadlines.clock()
        rng = random.Random(started_at ^ self.seed)
        self._apply_gossip_setup(started_at, rng)
        self._apply_reporting_setup(started_at, rng)
        self._update_count()

    def _apply_gossip_setup(self, started_at: int, rng: random.Random) -> None:
        setup = self.setup
        codec = GossipCodec(list(setup.keys))
        if self.gossip and setup.uses_gossip:
            self.gossip.reconfigure(codec, setup.peers)
        elif setup.uses_gossip:
            protocol = GossipProtocol(setup.name, setup.peers, started_at, rng, self._own_loads)
            self.sources.gossip = protocol
            self.gossip = Gossip(protocol, codec, setup.peers, self.deadlines, self.datagrams)
            self.gossip.on_count_change = self._update_count
            self.gossip.start()
        elif self.gossip:
            self.gossip.close()
            self.gossip = None
            self.sources.gossip = None

    def _apply_reporting_setup(self, started_at: int, rng: random.Random) -> None:
        setup = self.setup
        codec = AggregationCodec(list(setup.keys))
        addresses = setup.aggregators or {}
        if self.reporting and setup.uses_reports:
            self.reporting.reconfigure(codec, setup.sites, addresses)
        elif setup.uses_reports:
            reporter = Reporter(setup.name, setup.region, setup.sites, started_at, rng, self._own_loads)
            self.sources.reporter = reporter
            self.reporting = Reporting(reporter, codec, addresses, self.deadlines, self.datagrams)
            self.reporting.on_count_change = self._update_count
            self.reporting.on_exchange = self._log_aggregator
            self.reporting.start()
        elif self.reporting:
            self.reporting.close()
            self.reporting = None
            self.sources.reporter = None

    def _update_count(self) -> None:
        count = self.sources.count(self.deadlines.clock())
        if count is None or count == self._count:
            return
        self._count = count
        logger.info(
            "fleet: {count} dispatchers share the work, {there} of them reachable",
            count=count,
            there=self._count_received(),
        )
        self.on_count_change(count)

    def _count_received(self) -> int:
        """Return the number of dispatchers from which a message was received recently, including this one."""
        reachable = len(self.gossip.protocol.members.reachable()) if self.gossip else 1
        if self.reporting is None:
            return reachable
        reporting: int = self.reporting.reporter.figures(self.deadlines.clock())["heard"]
        return max(reachable, reporting)

    def _log_aggregator(self, now: int) -> None:
        """Log which aggregator answers, or that none has answered for longer than a switch to another one takes."""
        assert self.reporting
        if self.sources.has_fresh_sums(now):
            self._no_sums_since = None
            aggregator = self.reporting.reporter.figures(now)["aggregator"]
            if aggregator != self._logged_aggregator:
                self._logged_aggregator = aggregator
                logger.info("fleet: reports to {aggregator}", aggregator=aggregator)
        elif self._no_sums_since is None:
            self._no_sums_since = now
        elif now - self._no_sums_since >= SUMS_TIMEOUT_US and self._logged_aggregator is not None:
            self._logged_aggregator = None
            logger.warning(
                "fleet: no aggregator answers: {what}",
                what="gossip continues" if self.gossip else "using this dispatcher's own load and the last count",
            )

    def figures(self, node: FleetNode) -> dict[str, Any]:
        """Return this dispatcher's view of the fleet, for operators. `shares` is the number of dispatchers among which
        the shares of cold replicas and the like are divided, or 0 if the number in the settings applies."""
        now = self.deadlines.clock()
        replicas, evenness = replica_figures(now, node, self.sources)
        return {
            "name": self.setup.name,
            "count": self.sources.count(now),
            "shares": node.dispatcher_count,
            "source": self.sources.active_source(now),
            "members": member_figures(now, self.gossip.protocol.members) if self.gossip else {},
            "reports": self.reporting.reporter.figures(now) if self.reporting else None,
            "engines": replicas,
            "datagrams": dict(self.datagrams.counts),
            "evenness": evenness,
        }

    def close(self) -> None:
        """Leave the fleet and close the socket."""
        if self.reporting:
            self.reporting.close()
        if self.gossip:
            self.gossip.close()
        self.datagrams.close()
