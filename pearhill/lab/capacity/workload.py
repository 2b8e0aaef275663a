"""What the size means for one dispatcher or one replica: requests, tokens, streams and connections."""

from __future__ import annotations

import math
from dataclasses import dataclass

from pearhill.lab.capacity.size import FleetSize
from pearhill.lab.capacity.units import MICROSECONDS_PER_S
from pearhill.node.limits import RESERVED_DESCRIPTORS
from pearhill.routing.admission import LATENCY_SHARE_FOR_PREFILL
from pearhill.routing.prefix_affinity import MAX_CACHED_AGE_US, MAX_CACHED_PREFIXES

PREFIXES_PER_REQUEST = 2  # that the prefix tables remember of a request


@dataclass(frozen=True)
class Workload:
    """The mean dispatcher's and the mean replica's share of the fleet's work, unless a name says otherwise.

    Requests fall on all replicas of a role alike.
    """

    size: FleetSize

    @property
    def requests_s(self) -> float:
        """Requests a second at one dispatcher."""
        return self.size.requests_s / self.size.dispatchers

    @property
    def tokens_s(self) -> float:
        """Tokens a second that pass one dispatcher."""
        return self.size.tokens_s / self.size.dispatchers

    @property
    def streams(self) -> float:
        """Open streams at one dispatcher, by Little's law: an answer is open for the time of all its tokens."""
        return self.tokens_s * self.size.between_tokens_s

    @property
    def awaiting_first_token(self) -> float:
        """Requests of one dispatcher that wait for their first token, if all take as long as 95 in 100 may."""
        return self.requests_s * self.size.first_token_s

    @property
    def prefill_replicas(self) -> int:
        """Replicas that read prompts."""
        return round(self.size.replicas * self.size.prefill_share)

    @property
    def decode_replicas(self) -> int:
        """Replicas that stream answers."""
        return self.size.replicas - self.prefill_replicas

    @property
    def streams_per_decode_replica(self) -> float:
        """Open streams at one decode replica, of all dispatchers."""
        return self.size.tokens_s * self.size.between_tokens_s / self.decode_replicas

    @property
    def transferred_gb_per_request(self) -> float:
        """Gigabytes that one request hands over from prefill to decode."""
        return self.size.transferred_gb_s / self.size.requests_s

    @property
    def prefill_replica_gb_s(self) -> float:
        """Gigabytes a second out of one prefill replica."""
        return self.size.transferred_gb_s / self.prefill_replicas

    @property
    def decode_replica_gb_s(self) -> float:
        """Gigabytes a second into one decode replica."""
        return self.size.transferred_gb_s / self.decode_replicas

    @property
    def answer_tokens(self) -> float:
        """Tokens of one answer."""
        return self.size.tokens_s / self.size.requests_s

    @property
    def answer_s(self) -> float:
        """Seconds from an answer's first token to its last."""
        return self.answer_tokens * self.size.between_tokens_s

    @property
    def tenant_requests_s(self) -> float:
        """A tenant's requests a second at one dispatcher."""
        return self.size.requests_s / self.size.tenants / self.size.dispatchers

    def uneven_requests_s(self, every: int = 20) -> tuple[float, float]:
        """Requests a second of most dispatchers, and of each `every`th, if that one has ten times the others'."""
        least = self.size.requests_s / (self.size.dispatchers * (every - 1 + self.size.busiest_over_mean) / every)
        return least, least * self.size.busiest_over_mean

    @property
    def remembered_requests(self) -> tuple[float, float]:
        """Requests whose prompts the prefix tables remember: at the mean, and at the busiest dispatcher. The length of
        the tables bounds both."""
        mean = self.requests_s * MAX_CACHED_AGE_US / MICROSECONDS_PER_S
        longest = MAX_CACHED_PREFIXES * self.prefill_replicas / PREFIXES_PER_REQUEST
        return min(mean, longest), min(mean * self.size.busiest_over_mean, longest)

    @property
    def descriptors(self) -> tuple[float, float]:
        """File descriptors of the mean dispatcher and of the busiest: two connections for each open request."""
        connections = 2 * (self.streams + self.awaiting_first_token)
        return (
            connections + RESERVED_DESCRIPTORS,
            connections * self.size.busiest_over_mean + RESERVED_DESCRIPTORS,
        )

    def busy_replicas(self, times: float = 1.0) -> tuple[float, float]:
        """Replicas at which a dispatcher with so many times the mean's traffic has work, and those of them that read
        prompts for it, if a prefill takes as long as the router allows."""
        prefills = self.requests_s * times * LATENCY_SHARE_FOR_PREFILL * self.size.first_token_s
        prefilling = self.prefill_replicas * (1 - math.exp(-prefills / self.prefill_replicas))
        decoding = self.decode_replicas * (1 - math.exp(-self.streams * times / self.decode_replicas))
        return decoding + prefilling, prefilling

    def connections(self, replicas: int, keep_s: float = 10.0) -> tuple[float, float]:
        """Of one replica of a role with so many replicas: idle connections that all dispatchers keep, and new ones a
        second. A dispatcher keeps one until its next request to the replica, or until it is closed after `keep_s`."""
        pair_requests_s = self.requests_s / replicas
        closed_as_idle = math.exp(-pair_requests_s * keep_s)
        return self.size.dispatchers * (1 - closed_as_idle), self.size.dispatchers * pair_requests_s * closed_as_idle
