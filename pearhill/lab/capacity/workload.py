"""The load of one dispatcher or one replica at the planned size: requests, tokens, streams and connections."""

from __future__ import annotations

import math
from dataclasses import dataclass

from pearhill.lab.capacity.size import FleetSize
from pearhill.lab.capacity.units import MICROSECONDS_PER_S
from pearhill.node.limits import RESERVED_DESCRIPTORS
from pearhill.routing.admission import LATENCY_SHARE_FOR_PREFILL
from pearhill.routing.prefix_affinity import MAX_CACHED_AGE_US, MAX_CACHED_PREFIXES

PREFIXES_PER_REQUEST = 2  # entries that the prefix tables store for one request


@dataclass(frozen=True)
class Workload:
    """The load of the mean dispatcher and the mean replica, unless a name says otherwise.

    Requests are assumed to be spread evenly over all replicas of a role.
    """

    size: FleetSize

    @property
    def requests_s(self) -> float:
        """Requests per second at one dispatcher."""
        return self.size.requests_s / self.size.dispatchers

    @property
    def tokens_s(self) -> float:
        """Generated tokens per second that one dispatcher forwards."""
        return self.size.tokens_s / self.size.dispatchers

    @property
    def streams(self) -> float:
        """Open streams at one dispatcher, by Little's law: a stream stays open until its last token."""
        return self.tokens_s * self.size.between_tokens_s

    @property
    def awaiting_first_token(self) -> float:
        """Requests of one dispatcher that wait for their first token, if each waits as long as the limit for 95 in 100
        requests allows."""
        return self.requests_s * self.size.first_token_s

    @property
    def prefill_replicas(self) -> int:
        """Number of prefill replicas."""
        return round(self.size.replicas * self.size.prefill_share)

    @property
    def decode_replicas(self) -> int:
        """Number of decode replicas."""
        return self.size.replicas - self.prefill_replicas

    @property
    def streams_per_decode_replica(self) -> float:
        """Open streams at one decode replica, from all dispatchers."""
        return self.size.tokens_s * self.size.between_tokens_s / self.decode_replicas

    @property
    def transferred_gb_per_request(self) -> float:
        """Gigabytes that one request transfers from prefill to decode."""
        return self.size.transferred_gb_s / self.size.requests_s

    @property
    def prefill_replica_gb_s(self) -> float:
        """Gigabytes per second sent by one prefill replica."""
        return self.size.transferred_gb_s / self.prefill_replicas

    @property
    def decode_replica_gb_s(self) -> float:
        """Gigabytes per second received by one decode replica."""
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
        """Requests per second of one tenant at one dispatcher."""
        return self.size.requests_s / self.size.tenants / self.size.dispatchers

    def uneven_requests_s(self, every: int = 20) -> tuple[float, float]:
        """Returns the requests per second of most dispatchers, and of every `every`th one, if the latter receives
        `busiest_over_mean` times as many as the others."""
        typical_requests_s = self.size.requests_s / (
            self.size.dispatchers * (every - 1 + self.size.busiest_over_mean) / every
        )
        return typical_requests_s, typical_requests_s * self.size.busiest_over_mean

    @property
    def remembered_requests(self) -> tuple[float, float]:
        """Requests whose prompts the prefix tables hold, at the mean and at the busiest dispatcher. The maximum length
        of the tables bounds both."""
        mean = self.requests_s * MAX_CACHED_AGE_US / MICROSECONDS_PER_S
        max_requests = MAX_CACHED_PREFIXES * self.prefill_replicas / PREFIXES_PER_REQUEST
        return min(mean, max_requests), min(mean * self.size.busiest_over_mean, max_requests)

    @property
    def descriptors(self) -> tuple[float, float]:
        """File descriptors of the mean and of the busiest dispatcher. Each open request uses two connections."""
        connections = 2 * (self.streams + self.awaiting_first_token)
        return (
            connections + RESERVED_DESCRIPTORS,
            connections * self.size.busiest_over_mean + RESERVED_DESCRIPTORS,
        )

    def busy_replicas(self, traffic_factor: float = 1.0) -> tuple[float, float]:
        """Returns the number of replicas at which a dispatcher with `traffic_factor` times the mean traffic has work,
        and how many of them are prefill replicas, if a prefill takes as long as the router allows."""
        prefills = self.requests_s * traffic_factor * LATENCY_SHARE_FOR_PREFILL * self.size.first_token_s
        prefilling = self.prefill_replicas * (1 - math.exp(-prefills / self.prefill_replicas))
        decoding = self.decode_replicas * (1 - math.exp(-self.streams * traffic_factor / self.decode_replicas))
        return decoding + prefilling, prefilling

    def connections(self, replicas: int, idle_timeout_s: float = 10.0) -> tuple[float, float]:
        """Returns the idle connections from all dispatchers to one replica, and new connections per second, for a role
        with `replicas` replicas. A dispatcher reuses an idle connection for its next request to the replica, and closes
        it after `idle_timeout_s` seconds without one."""
        pair_requests_s = self.requests_s / replicas
        closed_as_idle = math.exp(-pair_requests_s * idle_timeout_s)
        return self.size.dispatchers * (1 - closed_as_idle), self.size.dispatchers * pair_requests_s * closed_as_idle
