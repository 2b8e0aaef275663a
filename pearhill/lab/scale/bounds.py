"""The bounds within which a scale plan may run: processes, memory, time."""

from __future__ import annotations

from pearhill.config import ConfigError
from pearhill.lab.scale.plan import Plan, ScaleTable
from pearhill.lab.scale.planned_fleets import PlannedFleet, planned_fleets

MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # of the machine's memory
MAX_PLAN_SECONDS = 3 * 3600  # a plan that takes longer is refused; one that hangs is stopped well before
# Estimates of time, in seconds.
DISPATCHER_START_S = 0.25  # to bring one dispatcher up on a busy core
FLEET_START_S = 10.0  # to bring up the rest of a fleet
PARALLEL_STARTS = 4  # dispatchers that come up at the same time
CHOICE_S_PER_REPLICA = 2e-5  # of one arrival, by the Router alone


def expected_seconds(plan: Plan) -> float:
    """How long the whole plan should take, roughly."""
    choice_s = 0.0
    if plan.choice:
        choice_s = sum(plan.choice.replicas) * plan.choice.arrivals * CHOICE_S_PER_REPLICA
    return choice_s + sum(_fleet_seconds(fleet, plan.scale) for fleet in planned_fleets(plan))


def _fleet_seconds(fleet: PlannedFleet, scale: ScaleTable) -> float:
    size = fleet.size
    starting_s = max(scale.fetch_s, DISPATCHER_START_S * size.dispatchers / PARALLEL_STARTS)
    return fleet.watched_s + FLEET_START_S + starting_s + size.real * DISPATCHER_START_S


def check_bounds(plan: Plan, memory_bytes: int) -> None:
    """ConfigError: a fleet of the plan takes more than a machine with so much memory may give, or the plan too long."""
    allowed_bytes = MAX_MEMORY_SHARE * memory_bytes
    for fleet in planned_fleets(plan):
        size = fleet.size
        estimate = size.estimate(plan.scale.per_process)
        what = f"{fleet.path}: found {size.dispatchers} dispatchers before {size.replicas} replicas"
        if estimate.processes > MAX_PROCESSES:
            raise ConfigError(f"{what}, {estimate.processes} processes; allowed: {MAX_PROCESSES}")
        if estimate.memory_bytes > allowed_bytes:
            raise ConfigError(
                f"{what}, some {estimate.memory_bytes / 1e9:.1f} GB; allowed: {MAX_MEMORY_SHARE:.0%} of the "
                f"machine's memory, {allowed_bytes / 1e9:.1f} GB"
            )
    seconds = expected_seconds(plan)
    if seconds > MAX_PLAN_SECONDS:
        raise ConfigError(
            f"grid: found a plan of some {seconds / 3600:.1f} h; allowed: {MAX_PLAN_SECONDS / 3600:.0f} h"
        )
