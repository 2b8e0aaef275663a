"""Estimates for each role, calculated from the fleet size, the program's constants and the sizes of its messages."""

from __future__ import annotations

import json
from dataclasses import dataclass

from pearhill.http1 import messages
from pearhill.lab.capacity.gossip_traffic import gossip_datagram_bytes
from pearhill.lab.capacity.report_traffic import ReportTraffic, count_report_traffic, snapshot_interval_s
from pearhill.lab.capacity.units import MICROSECONDS_PER_S, SECONDS_PER_DAY, in_seconds
from pearhill.lab.capacity.wire_samples import (
    DEFAULT_EUREKA,
    ENDPOINT_ENTRY,
    EUREKA_DELTA_RETENTION_S,
    EUREKA_INSTANCE,
    REPLICA_STATUS,
    TENANT_TABLES,
)
from pearhill.lab.capacity.workload import Workload
from pearhill.load_reports.peer_loads import MAX_ROWS
from pearhill.load_reports.reports import REFRESH_INTERVAL_US
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, MEMBER_LIST_INTERVAL_US
from pearhill.membership.members import GOSSIP_TICK_US, MAX_PINGS_PER_TICK, MIN_PINGS_PER_TICK, TICKS_PER_ROUND
from pearhill.net.calls import MAX_COLLECTED_BYTES
from pearhill.platform.schedule import MAX_CALL_INTERVAL_US, SERVICE_TIME_PER_DISPATCHER_US, SHARED_WATCH_WAIT_US
from pearhill.routing.statistics import STEP_INTERVAL_US

PACKET_HEADER_BYTES = 40  # IP and TCP
CALL_PACKETS = 4  # request, response and their acknowledgements
EMPTY_LIST_BYTES = 36
EUREKA_DELTA_HEAD_BYTES = 600
LOAD_ANSWER_HEAD_BYTES, LOAD_ANSWER_BODY_BYTES = 120, 40
QUERIES_PER_REQUEST = 4  # two candidate replicas for each of two choices (prefill and decode)
MEMBER_ROW_BYTES = 36  # a name and three numbers
MEMBER_LIST_DATAGRAM_BYTES = 1_200


@dataclass(frozen=True, slots=True)
class SumsAge:
    """Age of the load sums that a dispatcher uses, by region of the reporting dispatcher, without network delay."""

    own_region_mean_s: float
    own_region_worst_s: float
    other_regions_mean_s: float
    other_regions_worst_s: float


@dataclass(frozen=True, slots=True)
class ZoneFailure:
    """What is lost when a zone fails: its replicas, its dispatchers, the streams of its replicas, and the streams that
    its dispatchers forwarded from replicas in other zones."""

    replicas: float
    dispatchers: float
    streams: float
    forwarded_streams: float


@dataclass(frozen=True)
class Estimates(Workload):
    """The workload, and the resulting figures for discovery, gossip, reports, operators' calls and faults."""

    # The endpoint list and discovery.

    @property
    def entry_bytes(self) -> int:
        """Bytes of one entry of the endpoint list, including the comma that separates entries."""
        return len(json.dumps(ENDPOINT_ENTRY, separators=(",", ":"))) + 1

    @property
    def list_bytes(self) -> int:
        """Bytes of the complete endpoint list."""
        return self.entry_bytes * self.size.replicas

    @property
    def max_listed_replicas(self) -> int:
        """Number of replicas whose endpoint list fits into the largest response body that a call accepts."""
        return MAX_COLLECTED_BYTES // self.entry_bytes

    @property
    def list_changes_per_day(self) -> float:
        """Changes of the endpoint list per day: three for each replaced replica (it is listed as draining, it is
        removed, its successor is added), and two for each failed one."""
        return 3 * self.size.replaced_per_day + 2 * self.size.failed_per_day

    @property
    def watch_bytes(self) -> int:
        """Bytes of one watch call that returns no change, in both directions, including packet headers."""
        target = f"/v1/endpoints?after=100000&wait_ms={SHARED_WATCH_WAIT_US // 1000}"
        request = messages.request("GET", target, "10.2.0.1:8500")
        answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 36\r\n\r\n"
        return len(request) + len(answer) + EMPTY_LIST_BYTES + CALL_PACKETS * PACKET_HEADER_BYTES

    @property
    def eureka_bytes(self) -> tuple[int, float]:
        """Bytes of a complete list from Eureka, and bytes per second of its deltas. Each delta repeats all changes
        within the registry's retention period."""
        instance = len(json.dumps(EUREKA_INSTANCE, separators=(",", ":"))) + 1
        changes_s = self.list_changes_per_day / SECONDS_PER_DAY
        delta = EUREKA_DELTA_HEAD_BYTES + changes_s * EUREKA_DELTA_RETENTION_S * instance
        return instance * self.size.replicas, delta / DEFAULT_EUREKA.fetch_s

    @property
    def shared_discovery_calls_s(self) -> float:
        """Calls per second at one discovery service that all dispatchers watch, while the list does not change."""
        return self.size.dispatchers * MICROSECONDS_PER_S / SHARED_WATCH_WAIT_US

    @property
    def shared_discoveries(self) -> float:
        """Number of discovery services that these calls keep busy, at the service time that the call schedule
        assumes."""
        return self.shared_discovery_calls_s * SERVICE_TIME_PER_DISPATCHER_US / MICROSECONDS_PER_S

    @property
    def start_spread_s(self) -> tuple[float, float]:
        """Seconds over which a fleet that starts simultaneously spreads its first discovery calls, and the seconds that
        one discovery service needs to serve them."""
        required_s = in_seconds(SERVICE_TIME_PER_DISPATCHER_US * self.size.dispatchers)
        return min(required_s, in_seconds(MAX_CALL_INTERVAL_US)), required_s

    @property
    def router_steps_s(self) -> float:
        """Steps per second of one Router."""
        return MICROSECONDS_PER_S / STEP_INTERVAL_US

    # Load information that dispatchers exchange.

    @property
    def pings_s(self) -> float:
        """Gossip pings per second that one dispatcher sends."""
        peers = self.size.dispatchers - 1
        per_round = -(-peers // TICKS_PER_ROUND)  # rounded up
        per_tick = min(peers, MAX_PINGS_PER_TICK, max(MIN_PINGS_PER_TICK, per_round))
        return per_tick * MICROSECONDS_PER_S / GOSSIP_TICK_US

    @property
    def gossip_bytes_s(self) -> float:
        """Bytes per second of gossip at one dispatcher, in both directions: the pings that it sends, the pings that its
        peers send to it, and the answers to both."""
        return 4 * self.pings_s * gossip_datagram_bytes(MAX_ROWS)

    def report_traffic(self, traffic_factor: float = 1.0) -> ReportTraffic:
        """Returns the traffic of reports and their answers for a dispatcher with `traffic_factor` times the mean
        traffic."""
        busy, prefilling = self.busy_replicas(traffic_factor)
        return count_report_traffic(self.size.replicas, self.prefill_replicas, round(busy), round(prefilling))

    def aggregator_traffic(self, alive: int) -> tuple[float, float]:
        """Returns datagrams and bytes per second, in both directions, of one aggregator while `alive` of them run."""
        reports, members = self.report_traffic(), self.size.dispatchers / alive
        partial_sums_s = (alive - 1) * 2 * MICROSECONDS_PER_S / AGGREGATOR_TICK_US
        member_list_s = members * MEMBER_ROW_BYTES * (alive - 1) * 2 * MICROSECONDS_PER_S / MEMBER_LIST_INTERVAL_US
        return (
            members * reports.datagrams_s
            + partial_sums_s * reports.partial_sum_datagrams
            + member_list_s / MEMBER_LIST_DATAGRAM_BYTES,
            members * reports.bytes_s + partial_sums_s * reports.partial_sum_bytes + member_list_s,
        )

    def sums_age_s(self, traffic_factor: float = 1.0) -> SumsAge:
        """Returns the age of the sums at a dispatcher with `traffic_factor` times the mean traffic.

        A load figure waits for the next report, then until the aggregator computes the sums, then for the next answer.
        A figure from another region also waits for the next partial sum.
        """
        report_s = 1 / self.report_traffic(traffic_factor).reports_s
        partial_sum_s = in_seconds(AGGREGATOR_TICK_US)
        snapshot_s = snapshot_interval_s(self.size.replicas)
        return SumsAge(
            own_region_mean_s=report_s + snapshot_s / 2,
            own_region_worst_s=2 * report_s + snapshot_s,
            other_regions_mean_s=report_s + partial_sum_s / 2 + snapshot_s / 2,
            other_regions_worst_s=2 * report_s + partial_sum_s + snapshot_s,
        )

    @property
    def load_queries(self) -> tuple[float, float, float]:
        """Load if the settings enable load queries: queries per second of one dispatcher, queries per second at one
        replica, and bytes per second of one dispatcher."""
        queries_s = min(
            QUERIES_PER_REQUEST * self.requests_s, self.size.replicas * MICROSECONDS_PER_S / REFRESH_INTERVAL_US
        )
        answer_bytes = LOAD_ANSWER_HEAD_BYTES + LOAD_ANSWER_BODY_BYTES
        request = messages.request("GET", "/status/load", "app.svc")
        call_bytes = len(request) + answer_bytes + CALL_PACKETS * PACKET_HEADER_BYTES
        return queries_s, queries_s * self.size.dispatchers / self.size.replicas, queries_s * call_bytes

    # Operators' calls and settings.

    @property
    def fleet_status_bytes(self) -> int:
        """Bytes of one dispatcher's response to GET /ops/fleet."""
        return len(json.dumps(REPLICA_STATUS)) * self.size.replicas

    @property
    def settings_bytes(self) -> int:
        """Bytes of the tenant tables in the operator's file."""
        return len(TENANT_TABLES) * self.size.tenants

    @property
    def change_every_s(self) -> float:
        """Mean seconds between two changes of settings."""
        return SECONDS_PER_DAY / self.size.changes_per_day

    # Faults.

    @property
    def zone_failure(self) -> ZoneFailure:
        """What is lost when one zone fails, if everything is spread evenly over zones."""
        zones, streams = self.size.zones, self.streams * self.size.dispatchers
        return ZoneFailure(
            replicas=self.size.replicas / zones,
            dispatchers=self.size.dispatchers / zones,
            streams=streams / zones,
            forwarded_streams=streams / zones * (1 - 1 / zones),
        )

    @property
    def partitioned_streams(self) -> float:
        """Streams between one region and the others, if both ends of a stream are uniformly distributed over
        regions."""
        share = 1 / self.size.regions
        return self.streams * self.size.dispatchers * 2 * share * (1 - share)

    @property
    def broken_streams(self) -> float:
        """Mean number of streams that break when one replica fails, over all replicas. A failed prefill replica breaks
        none, because another replica can prefill its prompts again."""
        return self.streams_per_decode_replica * self.decode_replicas / self.size.replicas

    @property
    def role_changes_per_day(self) -> float:
        """Replicas that change roles per day, if the prefill share changes by half within a day."""
        return self.size.replicas * self.size.prefill_share / 2
