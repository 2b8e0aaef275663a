"""Benchmark of the budget module with 100,000 tenants with keys, most of them idle.

    .venv/bin/python benchmarks/budgets.py

Prints the time of an admission and of a settlement, the memory per tenant and the time of a tick. Compares lazily
refilled token buckets with a dictionary that a timer refills, and the heavy-hitter sketch with an exact count.
"""

from __future__ import annotations

import pathlib
import random
import statistics
import sys
import time
import tracemalloc
from collections import Counter

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from pearhill.budgets import Budgets, Limit, Plan, TenantPlan, Usage
from pearhill.structures.heavy_hitters import HeavyHitters

TENANTS = 100_000
ACTIVE_TENANTS = 2_000  # tenants that send further requests after their first one
ADMISSIONS = 100_000
TICKS = 60
REFILLS = 5
SKETCH_COUNTERS = 64
TOP = 10  # number of heavy hitters that are compared with the exact count
MICROSECONDS_PER_S = 1_000_000
START_US = 10**15  # time of the monotonic clock
WALL_S = 1_796_083_200  # time of the wall clock, in seconds
NAMES = [f"t{k}" for k in range(TENANTS)]


def format_times(times: list[int]) -> str:
    """Returns the median and 99th percentile of times in nanoseconds, as text in microseconds."""
    percentiles = statistics.quantiles(times, n=100)
    return f"median {statistics.median(times) / 1e3:.2f} us, 99% {percentiles[98] / 1e3:.2f} us"


def make_plan() -> Plan:
    """Returns a plan with limits at all three levels: for each key, each tenant and one account."""
    limit = Limit(tokens_per_min=600_000, burst=100_000, day=10**9, month=10**10, open=1_000, debt=10_000)
    return Plan(
        accounts={"school": Limit(tokens_per_min=10**9, burst=10**8)},
        capacity=10**9,
        capacity_burst=10**8,
        default=TenantPlan(limit, key_limit=limit),
        tenants={name: TenantPlan(limit, "school", 1.0, limit) for name in NAMES},
    )


def measure_memory(plan: Plan) -> Budgets:
    """Send one request for each tenant, and print the memory of a tenant's state. Returns the budgets with that
    state."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    budgets = Budgets(plan, START_US)
    for name in NAMES:
        admission = budgets.admit(START_US, WALL_S, name, f"k{name}", 10, 10)
        assert admission.reservation
        budgets.settle(START_US, admission.reservation, Usage(10, 0, 5))
    state_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"memory: {state_bytes / TENANTS:.0f} bytes per tenant with usage today, including its key and history")
    return budgets


def measure_admissions(budgets: Budgets, rng: random.Random) -> int:
    """Print the times of admissions and settlements. Returns the simulated time of the last one, in microseconds."""
    admissions: list[int] = []
    settlements: list[int] = []
    now = START_US
    for _ in range(ADMISSIONS):
        now += 50
        name = NAMES[rng.randrange(ACTIVE_TENANTS)]
        key = f"k{name}"
        started_ns = time.perf_counter_ns()
        admission = budgets.admit(now, WALL_S, name, key, 20, 100)
        admissions.append(time.perf_counter_ns() - started_ns)
        if admission.reservation:
            started_ns = time.perf_counter_ns()
            budgets.settle(now, admission.reservation, Usage(20, 0, 60))
            settlements.append(time.perf_counter_ns() - started_ns)
    print(f"admission, three levels: {format_times(admissions)}; settlement: {format_times(settlements)}")
    return now


def measure_ticks(budgets: Budgets, now: int) -> None:
    """Print the time that a tick takes, with one tick every 10 s of simulated time from `now` on."""
    ticks: list[int] = []
    for _ in range(TICKS):
        now += 10 * MICROSECONDS_PER_S
        started_ns = time.perf_counter_ns()
        budgets.tick(now)
        ticks.append(time.perf_counter_ns() - started_ns)
    print(f"tick over {TENANTS:,} tenants, bounded: {format_times(ticks)}, most {max(ticks) / 1e6:.2f} ms")


def measure_plain_refills() -> None:
    """Print the time that a timer would need to refill the bucket of every tenant, whether it is in use or not."""
    levels = dict.fromkeys(NAMES, 0.0)
    refills: list[int] = []
    for _ in range(REFILLS):
        started_ns = time.perf_counter_ns()
        for name, level in levels.items():
            levels[name] = min(100_000.0, level + 100.0)
        refills.append(time.perf_counter_ns() - started_ns)
    print(f"dictionary that a timer refills: {statistics.median(refills) / 1e6:.1f} ms per tick")


def measure_heavy_hitters(rng: random.Random) -> None:
    """Print the time and accuracy of the sketch in comparison with an exact count, with Pareto-distributed keys."""
    keys = [NAMES[min(TENANTS - 1, int(rng.paretovariate(0.9)))] for _ in range(ADMISSIONS)]
    sketch = HeavyHitters[str](SKETCH_COUNTERS)
    count = Counter[str]()
    started_ns = time.perf_counter_ns()
    for key in keys:
        sketch.add(key, 100)
    sketch_ns = time.perf_counter_ns() - started_ns
    started_ns = time.perf_counter_ns()
    for key in keys:
        count[key] += 100
    count_ns = time.perf_counter_ns() - started_ns
    found = {hitter.key for hitter in sketch.top(TOP)}
    top_keys = {key for key, _ in count.most_common(TOP)}
    print(
        f"heavy hitters: {sketch_ns / len(keys) / 1e3:.2f} us per arrival with {SKETCH_COUNTERS} counters, "
        f"{count_ns / len(keys) / 1e3:.2f} us in an exact count of {len(count):,} keys; "
        f"{len(found & top_keys)} of the top {TOP} found"
    )


def main() -> None:
    """Print a line for each measurement."""
    rng = random.Random(1)
    budgets = measure_memory(make_plan())
    now = measure_admissions(budgets, rng)
    measure_ticks(budgets, now)
    measure_plain_refills()
    measure_heavy_hitters(rng)


if __name__ == "__main__":
    main()
