"""The program constants that the page template reads as `c`. Times are in seconds."""

from __future__ import annotations

from pearhill.lab.capacity.units import in_seconds
from pearhill.lab.capacity.wire_samples import DEFAULT_EUREKA
from pearhill.load_reports.peer_loads import MAX_ROWS
from pearhill.load_reports.reports import REFRESH_INTERVAL_US
from pearhill.membership.aggregation_messages import COMBINED_LEASE_US, PARTIAL_SUM_LEASE_US
from pearhill.membership.aggregator import AGGREGATOR_TICK_US, MEMBER_LIST_INTERVAL_US
from pearhill.membership.aggregator_choice import (
    ANSWER_TIMEOUT_US,
    MAX_BACKOFF_US,
    MAX_UNANSWERED_REPORTS,
    MIN_BACKOFF_US,
)
from pearhill.membership.member_directory import PARTITION_TIMEOUT_US
from pearhill.membership.members import MAX_PINGS_PER_TICK, TICKS_PER_ROUND
from pearhill.membership.peer_sums import MAX_SUMS_AGE_US
from pearhill.membership.sent_reports import MAX_REMEMBERED_REPORTS
from pearhill.membership.slot_table import SLOT_IDLE_US
from pearhill.net.health_checks import MAX_IN_FLIGHT
from pearhill.net.release_calls import CONCURRENT_RETRIES, RETRY_LIMIT_US
from pearhill.platform.schedule import SERVICE_TIME_PER_DISPATCHER_US, SHARED_WATCH_WAIT_US, WATCH_WAIT_US
from pearhill.routing.local_prefill import MAX_RATIO
from pearhill.routing.prefix_affinity import MAX_CACHED_AGE_US, MAX_CACHED_PREFIXES
from pearhill.routing.statistics import STEP_INTERVAL_US

PROGRAM_CONSTANTS = {
    # gossip
    "ticks_per_round": TICKS_PER_ROUND,
    "max_pings": MAX_PINGS_PER_TICK,
    "digest_rows": MAX_ROWS,
    "partition_timeout_s": in_seconds(PARTITION_TIMEOUT_US),
    # reports and aggregators
    "partial_sum_interval_s": in_seconds(AGGREGATOR_TICK_US),
    "partial_sum_lease_s": in_seconds(PARTIAL_SUM_LEASE_US),
    "combined_lease_s": in_seconds(COMBINED_LEASE_US),
    "slot_idle_s": in_seconds(SLOT_IDLE_US),
    "member_list_interval_s": in_seconds(MEMBER_LIST_INTERVAL_US),
    "max_unanswered_reports": MAX_UNANSWERED_REPORTS,
    "answer_timeout_s": in_seconds(ANSWER_TIMEOUT_US),
    "max_sums_age_s": in_seconds(MAX_SUMS_AGE_US),
    "min_backoff_s": in_seconds(MIN_BACKOFF_US),
    "max_backoff_s": in_seconds(MAX_BACKOFF_US),
    "max_remembered_reports": MAX_REMEMBERED_REPORTS,
    # discovery
    "watch_wait_s": in_seconds(WATCH_WAIT_US),
    "shared_watch_wait_s": in_seconds(SHARED_WATCH_WAIT_US),
    "service_time_s": in_seconds(SERVICE_TIME_PER_DISPATCHER_US),
    "eureka_fetch_s": DEFAULT_EUREKA.fetch_s,
    # router, health checks, releases
    "max_cached_prefixes": MAX_CACHED_PREFIXES,
    "max_cached_age_s": in_seconds(MAX_CACHED_AGE_US),
    "router_step_s": in_seconds(STEP_INTERVAL_US),
    "max_local_prefill_ratio": MAX_RATIO,
    "load_refresh_s": in_seconds(REFRESH_INTERVAL_US),
    "max_health_checks_in_flight": MAX_IN_FLIGHT,
    "concurrent_release_retries": CONCURRENT_RETRIES,
    "release_retry_limit_s": in_seconds(RETRY_LIMIT_US),
}
