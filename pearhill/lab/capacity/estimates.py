"""What follows from the size, the program's own constants and the bytes of its protocols, for each role."""

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
CALL_PACKETS = 4  # request, answer and their acknowledgements
EMPTY_LIST_BYTES = 36
EUREKA_DELTA_HEAD_BYTES = 600
LOAD_ANSWER_HEAD_BYTES, LOAD_ANSWER_BODY_BYTES = 120, 40
QUERIES_PER_REQUEST = 4  # two replicas for each of two choices
MEMBER_ROW_BYTES = 36  # a name and three numbers
MEMBER_LIST_DATAGRAM_BYTES = 1_200


@dataclass(frozen=True, slots=True)
class SumsAge:
    """How old the sums are that a dispatcher uses, by where the summed work lies, without the network's delay."""

    own_region_mean_s: float
    own_region_worst_s: float
    other_regions_mean_s: float
    other_regions_worst_s: float


@dataclass(frozen=True, slots=True)
class ZoneFailure:
    """What a zone takes with it: its replicas, its dispatchers, the streams of its replicas, and the streams that its
    dispatchers forwarded from other zones' replicas."""

    replicas: float
    dispatchers: float
    streams: float
    forwarded_streams: float


@dataclass(frozen=True)
class Estimates(Workload):
    """The workload, and what it makes of discovery, gossip, reports, operators' calls and faults."""

    # The endpoint list and discovery.

    @property
    def entry_bytes(self) -> int:
        """One entry of the endpoint list, with its comma."""
        return len(json.dumps(ENDPOINT_ENTRY, separators=(",", ":"))) + 1

    @property
    def list_bytes(self) -> int:
        """The whole endpoint list."""
        return self.entry_bytes * self.size.replicas

    @property
    def max_listed_replicas(self) -> int:
        """Replicas whose list fits into the largest answer that a call collects."""
        return MAX_COLLECTED_BYTES // self.entry_bytes

    @property
    def list_changes_per_day(self) -> float:
        """Three for a replica that is replaced (draining, gone, its successor), two for one that fails."""
        return 3 * self.size.replaced_per_day + 2 * self.size.failed_per_day

    @property
    def watch_bytes(self) -> int:
        """One watch call that returns no change, both ways, with its packets' headers."""
        target = f"/v1/endpoints?after=100000&wait_ms={SHARED_WATCH_WAIT_US // 1000}"
        request = messages.request("GET", target, "10.2.0.1:8500")
        answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 36\r\n\r\n"
        return len(request) + len(answer) + EMPTY_LIST_BYTES + CALL_PACKETS * PACKET_HEADER_BYTES

    @property
    def eureka_bytes(self) -> tuple[int, float]:
        """Bytes of a whole list from Eureka, and bytes a second of its deltas, each of which repeats the changes of the
        registry's retention."""
        instance = len(json.dumps(EUREKA_INSTANCE, separators=(",", ":"))) + 1
        changes_s = self.list_changes_per_day / SECONDS_PER_DAY
        delta = EUREKA_DELTA_HEAD_BYTES + changes_s * EUREKA_DELTA_RETENTION_S * instance
        return instance * self.size.replicas, delta / DEFAULT_EUREKA.fetch_s

    @property
    def shared_discovery_calls_s(self) -> float:
        """Calls a second at one discovery service that all dispatchers watch, while nothing changes."""
        return self.size.dispatchers * MICROSECONDS_PER_S / SHARED_WATCH_WAIT_US

    @property
    def shared_discoveries(self) -> float:
        """How many such services the calls take, with the service time that the call schedule assumes."""
        return self.shared_discovery_calls_s * SERVICE_TIME_PER_DISPATCHER_US / MICROSECONDS_PER_S

    @property
    def start_spread_s(self) -> tuple[float, float]:
        """Seconds over which a fleet that starts at once spreads its first calls, and over which it would have to."""
        wanted = in_seconds(SERVICE_TIME_PER_DISPATCHER_US * self.size.dispatchers)
        return min(wanted, in_seconds(MAX_CALL_INTERVAL_US)), wanted

    @property
    def router_steps_s(self) -> float:
        """Steps a second of one Router."""
        return MICROSECONDS_PER_S / STEP_INTERVAL_US

    # What dispatchers report to each other.

    @property
    def pings_s(self) -> float:
        """Gossip pings a second that one dispatcher sends."""
        peers = self.size.dispatchers - 1
        per_round = -(-peers // TICKS_PER_ROUND)  # rounded up
        per_tick = min(peers, MAX_PINGS_PER_TICK, max(MIN_PINGS_PER_TICK, per_round))
        return per_tick * MICROSECONDS_PER_S / GOSSIP_TICK_US

    @property
    def gossip_bytes_s(self) -> float:
        """Bytes a second of gossip, both ways: a ping and its answer, of this dispatcher and of its peers."""
        return 4 * self.pings_s * gossip_datagram_bytes(MAX_ROWS)

    def report_traffic(self, times: float = 1.0) -> ReportTraffic:
        """The reports of a dispatcher with so many times the mean's traffic, and their answers."""
        busy, prefilling = self.busy_replicas(times)
        return count_report_traffic(self.size.replicas, self.prefill_replicas, round(busy), round(prefilling))

    def aggregator_traffic(self, alive: int) -> tuple[float, float]:
        """Datagrams and bytes a second, both ways, of one aggregator of so many that are alive."""
        reports, members = self.report_traffic(), self.size.dispatchers / alive
        partial_sums_s = (alive - 1) * 2 * MICROSECONDS_PER_S / AGGREGATOR_TICK_US
        member_list_s = members * MEMBER_ROW_BYTES * (alive - 1) * 2 * MICROSECONDS_PER_S / MEMBER_LIST_INTERVAL_US
        return (
            members * reports.datagrams_s
            + partial_sums_s * reports.partial_sum_datagrams
            + member_list_s / MEMBER_LIST_DATAGRAM_BYTES,
            members * reports.bytes_s + partial_sums_s * reports.partial_sum_bytes + member_list_s,
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

    @property
    def load_queries(self) -> tuple[float, float, float]:
        """Where settings allow load queries: queries a second of one dispatcher, queries a second at one replica, and
        one dispatcher's bytes a second."""
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
        """One dispatcher's answer to GET /ops/fleet."""
        return len(json.dumps(REPLICA_STATUS)) * self.size.replicas

    @property
    def settings_bytes(self) -> int:
        """The operator's file with all its tenants."""
        return len(TENANT_TABLES) * self.size.tenants

    @property
    def change_every_s(self) -> float:
        """Seconds between two changes of settings."""
        return SECONDS_PER_DAY / self.size.changes_per_day

    # Faults.

    @property
    def zone_failure(self) -> ZoneFailure:
        """The loss of one zone of the size."""
        zones, streams = self.size.zones, self.streams * self.size.dispatchers
        return ZoneFailure(
            replicas=self.size.replicas / zones,
            dispatchers=self.size.dispatchers / zones,
            streams=streams / zones,
            forwarded_streams=streams / zones * (1 - 1 / zones),
        )

    @property
    def partitioned_streams(self) -> float:
        """Streams between one region and the others, if a stream's two ends lie in any region alike."""
        share = 1 / self.size.regions
        return self.streams * self.size.dispatchers * 2 * share * (1 - share)

    @property
    def broken_streams(self) -> float:
        """Streams that break with one replica, on the mean over all: a prefill replica's prompts can be read again."""
        return self.streams_per_decode_replica * self.decode_replicas / self.size.replicas

    @property
    def role_changes_per_day(self) -> float:
        """Replicas that change their role, if the prefill share moves by half in a day."""
        return self.size.replicas * self.size.prefill_share / 2
