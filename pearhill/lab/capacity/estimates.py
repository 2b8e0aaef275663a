"""What the size, the program's own constants and its protocol's bytes say of each role."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from pearhill.http1 import messages
from pearhill.lab.capacity.gossip_traffic import gossip_datagram_bytes
from pearhill.lab.capacity.report_traffic import (
    ReportTraffic,
    count_report_traffic,
    snapshot_interval_s,
)
from pearhill.lab.capacity.size import FleetSize
from pearhill.lab.capacity.units import MICROSECONDS_PER_S, in_seconds
from pearhill.lab.capacity.wire_samples import (
    DEFAULT_EUREKA,
    ENDPOINT_ENTRY,
    EUREKA_DELTA_RETENTION_S,
    EUREKA_INSTANCE,
    REPLICA_STATUS,
    TENANT_TABLES,
)
from pearhill.load_reports.peer_loads import MAX_ROWS
from pearhill.load_reports.reports import REFRESH_INTERVAL_US
from pearhill.membership.aggregator import (
    AGGREGATOR_TICK_US,
    MEMBER_LIST_INTERVAL_US,
)
from pearhill.membership.members import (
    GOSSIP_TICK_US,
    MAX_PINGS_PER_TICK,
    MIN_PINGS_PER_TICK,
    TICKS_PER_ROUND,
)
from pearhill.net.calls import MAX_COLLECTED_BYTES
from pearhill.node.limits import RESERVED_DESCRIPTORS
from pearhill.platform.schedule import (
    MAX_CALL_INTERVAL_US,
    SERVICE_TIME_PER_DISPATCHER_US,
    SHARED_WATCH_WAIT_US,
)
from pearhill.routing.admission import LATENCY_SHARE_FOR_PREFILL
from pearhill.routing.prefix_affinity import MAX_CACHED_AGE_US, MAX_CACHED_PREFIXES
from pearhill.routing.statistics import STEP_INTERVAL_US


@dataclass(frozen=True, slots=True)
class SumsAge:
    """How old the sums are that a dispatcher uses, by where the summed work lies, without the network's delay."""

    own_region_mean_s: float
    own_region_worst_s: float
    other_regions_mean_s: float
    other_regions_worst_s: float


@dataclass(frozen=True)
class Estimates:
    """Means, for one of each role, unless the name says otherwise."""

    size: FleetSize

    # One of each.

    @property
    def requests_s(self) -> float:
        return self.size.requests_s / self.size.dispatchers

    @property
    def tokens_s(self) -> float:
        return self.size.tokens_s / self.size.dispatchers

    @property
    def streams(self) -> float:
        """Little's law: an answer that puts out a token each 25 ms is open so long for each of its tokens."""
        return self.tokens_s * self.size.between_tokens_s

    @property
    def awaiting_first_token(self) -> float:
        """Requests of one dispatcher that wait for their first token, if all take as long as 95 in 100 may."""
        return self.requests_s * self.size.first_token_s

    @property
    def prefill_replicas(self) -> int:
        return round(self.size.replicas * self.size.prefill_share)

    @property
    def decode_replicas(self) -> int:
        return self.size.replicas - self.prefill_replicas

    @property
    def streams_per_decode_replica(self) -> float:
        return self.size.tokens_s * self.size.between_tokens_s / self.decode_replicas

    @property
    def transferred_gb_per_request(self) -> float:
        return self.size.transferred_gb_s / self.size.requests_s

    @property
    def answer_tokens(self) -> float:
        return self.size.tokens_s / self.size.requests_s

    @property
    def answer_s(self) -> float:
        return self.answer_tokens * self.size.between_tokens_s

    def uneven_requests_s(self, every: int = 20) -> tuple[float, float]:
        """Requests a second of most dispatchers and of every so-many-th, if that one has ten times the others'."""
        least = self.size.requests_s / (self.size.dispatchers * (every - 1 + self.size.busiest_over_mean) / every)
        return least, least * self.size.busiest_over_mean

    # The list and discovery.

    @property
    def entry_bytes(self) -> int:
        return len(json.dumps(ENDPOINT_ENTRY, separators=(",", ":"))) + 1

    @property
    def list_bytes(self) -> int:
        return self.entry_bytes * self.size.replicas

    @property
    def max_listed_replicas(self) -> int:
        """Replicas whose list fits into the largest answer that is gathered."""
        return MAX_COLLECTED_BYTES // self.entry_bytes

    @property
    def list_changes_per_day(self) -> float:
        """Leaving, left and a new one for each that is replaced; left and a new one for each that dies."""
        return 3 * self.size.replaced_per_day + 2 * self.size.failed_per_day

    @property
    def watch_bytes(self) -> int:
        """One call that brings nothing, both ways, with four packets' headers."""
        target = f"/v1/endpoints?after=100000&wait_ms={SHARED_WATCH_WAIT_US // 1000}"
        call = messages.request("GET", target, "10.2.0.1:8500")
        answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 36\r\n\r\n"
        return len(call) + len(answer) + 36 + 4 * 40

    @property
    def eureka_bytes(self) -> tuple[int, float]:
        """A whole list from Eureka, and a second of deltas: the changes of three minutes in each, and its own head."""
        row = len(json.dumps(EUREKA_INSTANCE, separators=(",", ":"))) + 1
        delta = 600 + self.list_changes_per_day / 86_400 * EUREKA_DELTA_RETENTION_S * row
        return row * self.size.replicas, delta / DEFAULT_EUREKA.fetch_s

    @property
    def shared_discovery_calls_s(self) -> float:
        """At one discovery that all ask, while nothing changes."""
        return self.size.dispatchers * MICROSECONDS_PER_S / SHARED_WATCH_WAIT_US

    @property
    def shared_discoveries(self) -> float:
        """How many such services that takes, at the time that schedule.py sets aside for a call."""
        return self.shared_discovery_calls_s * SERVICE_TIME_PER_DISPATCHER_US / MICROSECONDS_PER_S

    @property
    def start_spread_s(self) -> tuple[float, float]:
        """Seconds over which the first calls of a fleet that starts at once are spread, and would have to be."""
        wanted = SERVICE_TIME_PER_DISPATCHER_US * self.size.dispatchers / MICROSECONDS_PER_S
        return min(wanted, in_seconds(MAX_CALL_INTERVAL_US)), wanted

    # A request's own work.

    @property
    def router_steps_s(self) -> float:
        return MICROSECONDS_PER_S / STEP_INTERVAL_US

    @property
    def remembered_requests(self) -> tuple[float, float]:
        """Requests whose prompts the tables remember: at the mean, and at ten times that, where the tables' own length
        bounds them (two keys a request, at readers)."""
        mean = self.requests_s * MAX_CACHED_AGE_US / MICROSECONDS_PER_S
        return min(mean, MAX_CACHED_PREFIXES * self.prefill_replicas / 2), min(
            mean * self.size.busiest_over_mean, MAX_CACHED_PREFIXES * self.prefill_replicas / 2
        )

    @property
    def descriptors(self) -> tuple[float, float]:
        """Of the mean dispatcher and the heavy one: one to the client and one to the server for each open request."""
        open_ = self.streams + self.awaiting_first_token
        return 2 * open_ + RESERVED_DESCRIPTORS, 2 * open_ * self.size.busiest_over_mean + RESERVED_DESCRIPTORS

    # What dispatchers tell one another.

    def busy_replicas(self, times: float = 1.0) -> tuple[float, float]:
        """Engines at which a dispatcher has work, and of those the ones with prompts to be read, if each request falls
        on any engine alike and a read takes as long as the rules let it."""
        reads = self.requests_s * times * LATENCY_SHARE_FOR_PREFILL * self.size.first_token_s
        reading = self.prefill_replicas * (1 - math.exp(-reads / self.prefill_replicas))
        return self.decode_replicas * (1 - math.exp(-self.streams * times / self.decode_replicas)) + reading, reading

    @property
    def pings_s(self) -> float:
        """Pings a second of today's talk."""
        peers = self.size.dispatchers - 1
        return (
            min(peers, MAX_PINGS_PER_TICK, max(MIN_PINGS_PER_TICK, -(-peers // TICKS_PER_ROUND)))
            * MICROSECONDS_PER_S
            / GOSSIP_TICK_US
        )

    @property
    def gossip_bytes_s(self) -> float:
        """Both ways: each ping and its answer, mine and the others'."""
        return 4 * self.pings_s * gossip_datagram_bytes(MAX_ROWS)

    def report_traffic(self, times: float = 1.0) -> ReportTraffic:
        """What a dispatcher with so many times the mean's traffic tells its control machine, and hears."""
        work, reads = self.busy_replicas(times)
        return count_report_traffic(self.size.replicas, self.prefill_replicas, round(work), round(reads))

    def aggregator_traffic(self, alive: int) -> tuple[float, float]:
        """Datagrams and bytes a second, both ways, of one control machine of so many that live."""
        one, members = self.report_traffic(), self.size.dispatchers / alive
        parts = (alive - 1) * 2 * MICROSECONDS_PER_S / AGGREGATOR_TICK_US
        roster = (
            members * 36 * (alive - 1) * 2 * MICROSECONDS_PER_S / MEMBER_LIST_INTERVAL_US
        )  # a name and three numbers for each member
        return (
            members * one.datagrams_s + parts * one.partial_sum_datagrams + roster / 1_200,
            members * one.bytes_s + parts * one.partial_sum_bytes + roster,
        )

    def sums_age_s(self, times: float = 1.0) -> SumsAge:
        """Of a dispatcher with so many times the mean's traffic. A figure waits for the next report, from another
        region also for the next partial sum, then for the sums to be made, and for the next answer."""
        report_s = 1 / self.report_traffic(times).reports_s
        partial_sum_s = in_seconds(AGGREGATOR_TICK_US)
        snapshot_s = snapshot_interval_s(self.size.replicas)
        return SumsAge(
            own_region_mean_s=report_s + snapshot_s / 2,
            own_region_worst_s=2 * report_s + snapshot_s,
            other_regions_mean_s=report_s + partial_sum_s / 2 + snapshot_s / 2,
            other_regions_worst_s=2 * report_s + partial_sum_s + snapshot_s,
        )

    # Replicas.

    def connections(self, replicas: int, keep_s: float = 10.0) -> tuple[float, float]:
        """Of one replica of a role: kept idle ones from all dispatchers, and new ones a second. A pair of the mean
        dispatcher and this replica keeps one idle until its next request, or until it is closed as idle."""
        rate = self.requests_s / replicas
        none = math.exp(-rate * keep_s)
        return self.size.dispatchers * (1 - none), self.size.dispatchers * rate * none

    @property
    def prefill_replica_gb_s(self) -> float:
        return self.size.transferred_gb_s / self.prefill_replicas

    @property
    def decode_replica_gb_s(self) -> float:
        return self.size.transferred_gb_s / self.decode_replicas

    @property
    def load_queries(self) -> tuple[float, float, float]:
        """Where settings let engines be asked: probes a second of one dispatcher, at one replica, and one dispatcher's
        bytes a second; two engines for each of two choices a request."""
        mine = min(4 * self.requests_s, self.size.replicas * MICROSECONDS_PER_S / REFRESH_INTERVAL_US)
        call = len(messages.request("GET", "/status/load", "app.svc")) + 120 + 40 + 4 * 40
        return mine, mine * self.size.dispatchers / self.size.replicas, mine * call

    # Operators.

    @property
    def fleet_status_bytes(self) -> int:
        """One dispatcher's answer to GET /ops/fleet."""
        return len(json.dumps(REPLICA_STATUS)) * self.size.replicas

    @property
    def settings_bytes(self) -> int:
        return len(TENANT_TABLES) * self.size.tenants

    @property
    def change_every_s(self) -> float:
        return 86_400 / self.size.changes_per_day

    @property
    def tenant_requests_s(self) -> float:
        """A tenant's mean requests a second at one dispatcher."""
        return self.size.requests_s / self.size.tenants / self.size.dispatchers

    # Troubles.

    @property
    def zone_failure(self) -> dict[str, float]:
        """With one zone go its replicas, its dispatchers, and the answers of either: `passing` are those that its
        dispatchers passed on from other zones."""
        zones, streams = self.size.zones, self.streams * self.size.dispatchers
        return {
            "replicas": self.size.replicas / zones,
            "dispatchers": self.size.dispatchers / zones,
            "streams": streams / zones,
            "passing": streams / zones * (1 - 1 / zones),
        }

    @property
    def partitioned_streams(self) -> float:
        """Answers between a region that is cut off and the others, if both ends lie anywhere alike."""
        part = 1 / self.size.regions
        return self.streams * self.size.dispatchers * 2 * part * (1 - part)

    @property
    def broken_streams(self) -> float:
        """Answers that break with one replica: all of a writer's; a reader's reads can be done anew elsewhere."""
        return self.streams_per_decode_replica * self.decode_replicas / self.size.replicas

    @property
    def role_changes_per_day(self) -> float:
        return self.size.replicas * self.size.prefill_share / 2
