"""The fleets of a scale plan, and an estimate of the resources that each uses."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from pearhill.lab.scale.plan import (
    CheckTable,
    EvennessTable,
    FaultsTable,
    GridTable,
    LoadExchange,
    Plan,
    ScaleTable,
    Workload,
)

# Memory estimates, rounded up from trials. They only serve to reject a plan before it starts and are not reported.
PROCESS_BYTES = 80 << 20
DISPATCHER_BYTES = 4 << 20
BYTES_PER_REPLICA = 5_000  # within a dispatcher, for each replica in its endpoint list
BYTES_PER_PEER = 3_000  # within a dispatcher, for each other dispatcher
PROCESS_FILL = 0.75  # mean number of dispatchers in a process over the allowed maximum


@dataclass(frozen=True, slots=True)
class ResourceEstimate:
    """A rough estimate, rather too high, of the resources of a fleet. It includes the parent process."""

    processes: int
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class FleetSize:
    """One fleet to bring up: hollow and real dispatchers, replicas, aggregators.

    `hollow` dispatchers share processes; the `alone` ones are hollow too and have a process each.
    """

    exchange: LoadExchange
    hollow: int
    replicas: int
    real: int = 0
    aggregators: int = 0
    alone: int = 0
    workload: Workload = Workload.DRAWN
    rate_per_s: float = 45.0

    @property
    def dispatchers(self) -> int:
        """The number of all dispatchers: hollow, real and alone."""
        return self.hollow + self.real + self.alone

    def hollow_per_process(self, max_per_process: int) -> list[int]:
        """Returns the number of hollow dispatchers of each process.

        The numbers differ, so that the memory of one dispatcher can be measured as a slope over the number.
        """
        process_count = max(min(2, self.hollow), math.ceil(self.hollow / (PROCESS_FILL * max_per_process)))
        weights = [1 + k % 2 for k in range(process_count)]
        counts: list[int] = []
        remaining = self.hollow
        for k, weight in enumerate(weights):
            count = max(1, round(remaining * weight / sum(weights[k:])))
            counts.append(count)
            remaining -= count
        return counts

    def estimate(self, max_per_process: int) -> ResourceEstimate:
        """Returns the estimated processes and bytes of the fleet."""
        processes = len(self.hollow_per_process(max_per_process)) + self.real + self.alone + self.aggregators + 2
        per_dispatcher = DISPATCHER_BYTES + BYTES_PER_REPLICA * self.replicas + BYTES_PER_PEER * self.dispatchers
        memory_bytes = processes * PROCESS_BYTES + self.dispatchers * float(per_dispatcher)
        return ResourceEstimate(processes, memory_bytes)


@dataclass(frozen=True, slots=True)
class PlannedFleet:
    """One fleet of a plan, its path in the plan file, and the seconds for which it is observed."""

    path: str
    size: FleetSize
    observed_s: float


def grid_fleets(plan: Plan) -> list[FleetSize]:
    """Returns the fleets of all grid points, in the order in which they run."""
    return [size for table in plan.grid for size in _grid_fleets(table, plan.scale)]


def _grid_fleets(grid: GridTable, scale: ScaleTable) -> list[FleetSize]:
    exchange = LoadExchange(grid.exchange)
    return [
        FleetSize(
            exchange,
            dispatchers,
            replicas,
            aggregators=_aggregators_of(exchange, grid.aggregators),
            workload=Workload(grid.workload),
            rate_per_s=scale.rate_per_s,
        )
        for replicas in grid.replicas
        for dispatchers in grid.dispatchers
    ]


def _aggregators_of(exchange: LoadExchange, count: int) -> int:
    return count if exchange is LoadExchange.AGGREGATORS else 0


def check_fleets(plan: Plan) -> list[tuple[FleetSize, float]]:
    """Returns the fleet of each check, and the requests per second of each real dispatcher in its window under load.

    The rate is 0 if the check has no window under load.
    """
    return [(_check_fleet(table), table.load_per_s) for table in plan.check]


def _check_fleet(check: CheckTable) -> FleetSize:
    exchange = LoadExchange(check.exchange)
    return FleetSize(
        exchange,
        check.dispatchers,
        check.replicas,
        real=check.dispatchers,
        aggregators=_aggregators_of(exchange, check.aggregators),
        alone=check.alone,
        workload=Workload.NONE,
    )


def evenness_fleets(plan: Plan) -> list[FleetSize]:
    """Returns the fleets whose evenness is measured, one for each load exchange of each table."""
    return [size for table in plan.evenness for size in _evenness_fleets(table)]


def _evenness_fleets(evenness: EvennessTable) -> list[FleetSize]:
    return [
        FleetSize(
            exchange,
            evenness.dispatchers,
            evenness.replicas,
            aggregators=_aggregators_of(exchange, evenness.aggregators),
            workload=Workload.ROUTER,
            rate_per_s=evenness.rate_per_s,
        )
        for exchange in map(LoadExchange, evenness.exchanges)
    ]


def fault_fleet(table: FaultsTable) -> FleetSize:
    """Returns the fleet into which the faults of the table are injected."""
    exchange = LoadExchange(table.exchange)
    aggregators = _aggregators_of(exchange, table.aggregators)
    return FleetSize(exchange, table.dispatchers, table.replicas, aggregators=aggregators)


def planned_fleets(plan: Plan) -> Iterator[PlannedFleet]:
    """Returns every fleet of the plan."""
    window_s = plan.scale.warm_s + plan.scale.seconds
    for k, grid in enumerate(plan.grid):
        for size in _grid_fleets(grid, plan.scale):
            yield PlannedFleet(f"grid[{k}]", size, window_s)
    for k, (size, load_per_s) in enumerate(check_fleets(plan)):
        windows = 2 if load_per_s else 1
        yield PlannedFleet(f"check[{k}]", size, window_s * windows)
    for k, evenness in enumerate(plan.evenness):
        for size in _evenness_fleets(evenness):
            yield PlannedFleet(f"evenness[{k}]", size, window_s)
    for k, faults in enumerate(plan.faults):
        observed_s = plan.scale.warm_s + faults.event[-1].settled_s
        yield PlannedFleet(f"troubles[{k}]", fault_fleet(faults), observed_s)
