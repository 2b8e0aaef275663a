"""Limits on the processes, memory and time that a scale plan may use."""

from __future__ import annotations

from pearhill.config import ConfigError
from pearhill.lab.scale.plan import Plan, ScaleTable
from pearhill.lab.scale.planned_fleets import PlannedFleet, planned_fleets

MAX_PROCESSES = 300
MAX_MEMORY_FRACTION = 0.5  # of the machine's memory
# A plan that is expected to take longer is rejected. A run that hangs is stopped well before this time.
MAX_PLAN_SECONDS = 3 * 3600
# Estimated times in seconds.
DISPATCHER_START_S = 0.25  # to start one dispatcher on a busy core
FLEET_START_S = 10.0  # to start the rest of a fleet
PARALLEL_STARTS = 4  # dispatchers that start at the same time
CHOICE_S_PER_REPLICA = 2e-5  # the Router's own time for one arriving request


def expected_seconds(plan: Plan) -> float:
    """Returns an estimate of the time that the whole plan takes."""
    choice_s = 0.0
    if plan.choice:
        choice_s = sum(plan.choice.replicas) * plan.choice.arrivals * CHOICE_S_PER_REPLICA
    return choice_s + sum(_fleet_seconds(fleet, plan.scale) for fleet in planned_fleets(plan))


def _fleet_seconds(fleet: PlannedFleet, scale: ScaleTable) -> float:
    size = fleet.size
    start_s = max(scale.fetch_s, DISPATCHER_START_S * size.dispatchers / PARALLEL_STARTS)
    return fleet.observed_s + FLEET_START_S + start_s + size.real * DISPATCHER_START_S


def check_bounds(plan: Plan, memory_bytes: int) -> None:
    """Raises ConfigError if a fleet exceeds the limits of a machine with `memory_bytes`, or the plan takes too long."""
    allowed_bytes = MAX_MEMORY_FRACTION * memory_bytes
    for fleet in planned_fleets(plan):
        size = fleet.size
        estimate = size.estimate(plan.scale.per_process)
        description = f"{fleet.path}: found {size.dispatchers} dispatchers before {size.replicas} replicas"
        if estimate.processes > MAX_PROCESSES:
            raise ConfigError(f"{description}, {estimate.processes} processes; allowed: {MAX_PROCESSES}")
        if estimate.memory_bytes > allowed_bytes:
            raise ConfigError(
                f"{description}, about {estimate.memory_bytes / 1e9:.1f} GB; allowed: {MAX_MEMORY_FRACTION:.0%} of the "
                f"machine's memory, {allowed_bytes / 1e9:.1f} GB"
            )
    seconds = expected_seconds(plan)
    if seconds > MAX_PLAN_SECONDS:
        raise ConfigError(
            f"grid: found a plan of about {seconds / 3600:.1f} h; allowed: {MAX_PLAN_SECONDS / 3600:.0f} h"
        )
