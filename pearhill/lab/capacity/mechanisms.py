"""Compares mechanisms for exchanging load information between dispatchers, at one size (docs/design/capacity.md).

All figures are calculated; none is measured. An age is that of the information in use when a replica is chosen. It
consists of half the interval between two messages and the time that a message waits on its way. It does not include the
network delay between regions.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from pearhill.lab.capacity.estimates import Estimates
from pearhill.lab.capacity.formatting import format_duration
from pearhill.lab.capacity.gossip_traffic import gossip_datagram_bytes
from pearhill.lab.capacity.report_traffic import count_report_traffic, snapshot_interval_s
from pearhill.load_reports.peer_loads import MAX_ROWS
from pearhill.membership.byte_budget import HEADER_BYTES
from pearhill.membership.message_authenticator import TAG_BYTES

HOP_DELAY_S = 0.005  # assumed time for one dispatcher to forward a message, including network and event loop
DELTA_BYTES = 5  # a slot and a signed gauge in MessagePack
REPORT_HEAD_BYTES = 60  # assumed size of a report without its rows and its authentication tag
SHORT_DIGEST_ROWS = 12
TREE_FAN_OUTS = (2, 4)
ALL_STILL_KNOWN = "all of it"
ONLY_OWN_LOAD_KNOWN = "one's own work alone"
ALL_REPLICAS = "all engines"


@dataclass(frozen=True, slots=True)
class Mechanism:
    """One mechanism at the given size.

    `bytes_s` is the traffic in both directions at the dispatcher that has the most. Ages assume that no message is
    lost. `coverage` says for which replicas a dispatcher receives load, `without_aggregators` what remains known while
    no aggregator runs.
    """

    name: str
    bytes_s: float
    mean_age_s: float
    worst_age_s: float
    coverage: str
    without_aggregators: str


def compare_mechanisms(estimates: Estimates) -> list[Mechanism]:
    """Returns all mechanisms in the order of the design note's table."""
    return [
        *_gossip(estimates),
        *_trees(estimates),
        _ring(estimates),
        *_reported_deltas(estimates),
        *_reported_gauges(estimates),
        _own_region_only(estimates),
    ]


def _gossip(estimates: Estimates) -> Iterator[Mechanism]:
    budget = estimates.size.control_bytes_s
    coverage_text = f"of {estimates.busy_replicas()[0]:.0f} engines where a dispatcher has work"
    for name, rows, pings_s in (
        ("full talk, as today", MAX_ROWS, estimates.pings_s),
        ("talk thinned to the bound", MAX_ROWS, budget / 4 / gossip_datagram_bytes(MAX_ROWS)),
        (
            "the same with shorter digests",
            SHORT_DIGEST_ROWS,
            budget / 4 / gossip_datagram_bytes(SHORT_DIGEST_ROWS),
        ),
    ):
        # In a round, each peer is received twice, at a random time.
        round_s = (estimates.size.dispatchers - 1) / pings_s
        yield Mechanism(
            name=f"{name}, a round of {format_duration(round_s)}",
            bytes_s=4 * pings_s * gossip_datagram_bytes(rows),
            mean_age_s=round_s / 3,
            worst_age_s=2 * round_s,
            coverage=f"{rows} {coverage_text}",
            without_aggregators=ALL_STILL_KNOWN,
        )


def _trees(estimates: Estimates) -> Iterator[Mechanism]:
    dispatchers, budget = estimates.size.dispatchers, estimates.size.control_bytes_s
    sums_bytes = estimates.report_traffic().sums_bytes
    for fan_out in TREE_FAN_OUTS:
        depth = math.ceil(math.log(dispatchers * (fan_out - 1) + 1, fan_out)) - 1
        interval_s = 2 * (fan_out + 1) * sums_bytes / budget
        tree_delay_s = 2 * depth * HOP_DELAY_S
        yield Mechanism(
            name=f"a tree, {fan_out} below each, a wave each {format_duration(interval_s)}",
            bytes_s=budget,
            mean_age_s=tree_delay_s + interval_s / 2,
            worst_age_s=tree_delay_s + interval_s,
            coverage=ALL_REPLICAS,
            without_aggregators="all of it, but each that falls takes those below along",
        )


def _ring(estimates: Estimates) -> Mechanism:
    cycle_s = estimates.size.dispatchers * HOP_DELAY_S
    return Mechanism(
        name=f"a ring, a lap of {format_duration(cycle_s)}",
        bytes_s=2 * estimates.report_traffic().sums_bytes / cycle_s,
        mean_age_s=cycle_s,
        worst_age_s=2 * cycle_s,
        coverage=ALL_REPLICAS,
        without_aggregators="all of it, but each that stalls or falls stops it",
    )


def _reported_deltas(estimates: Estimates) -> Iterator[Mechanism]:
    size, sums_bytes = estimates.size, estimates.report_traffic().sums_bytes
    for traffic_factor in (1.0, size.busiest_over_mean):
        reports_s = estimates.report_traffic(traffic_factor).reports_s
        # A request starts and ends at each of two stages (prefill and decode).
        changes = 4 * estimates.requests_s * traffic_factor / reports_s
        report_bytes = min(changes * DELTA_BYTES, 2 * size.replicas) + HEADER_BYTES + 1 + TAG_BYTES + REPORT_HEAD_BYTES
        ages = estimates.sums_age_s(traffic_factor)
        yield Mechanism(
            name=f"by region, deltas up, {traffic_factor:g} times the mean's traffic",
            bytes_s=(report_bytes + sums_bytes) * reports_s,
            mean_age_s=ages.other_regions_mean_s,
            worst_age_s=ages.other_regions_worst_s,
            coverage="all engines, wrong from a lost delta until both agree",
            without_aggregators=ONLY_OWN_LOAD_KNOWN,
        )


def _reported_gauges(estimates: Estimates) -> Iterator[Mechanism]:
    for traffic_factor in (1.0, estimates.size.busiest_over_mean):
        ages = estimates.sums_age_s(traffic_factor)
        yield Mechanism(
            name=f"**by region, gauges up**, {traffic_factor:g} times the mean's traffic",
            bytes_s=estimates.report_traffic(traffic_factor).bytes_s,
            mean_age_s=ages.other_regions_mean_s,
            worst_age_s=ages.other_regions_worst_s,
            coverage=ALL_REPLICAS,
            without_aggregators=ONLY_OWN_LOAD_KNOWN,
        )


def _own_region_only(estimates: Estimates) -> Mechanism:
    size = estimates.size
    region_replicas = size.replicas // size.regions
    busy, prefilling = estimates.busy_replicas()
    traffic = count_report_traffic(
        region_replicas,
        estimates.prefill_replicas // size.regions,
        round(busy / size.regions),
        round(prefilling / size.regions),
    )
    return Mechanism(
        name="by region, its own replicas alone",
        bytes_s=traffic.bytes_s,
        mean_age_s=1 / traffic.reports_s + snapshot_interval_s(region_replicas) / 2,
        worst_age_s=2 / traffic.reports_s + snapshot_interval_s(region_replicas),
        coverage=f"{region_replicas} of {size.replicas} engines",
        without_aggregators=ONLY_OWN_LOAD_KNOWN,
    )
