"""The budget module at size: 100,000 tenants with keys, most of them silent.

    .venv/bin/python benchmarks/budgets.py

Prints the time of an admission and of a settlement, the memory of a tenant, the cost of a tick, lazy buckets against a
plain dictionary that a timer refills, and the heavy-hitter sketch against a plain count.
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
ACTIVE_TENANTS = 2_000  # ask again after their first request
ADMISSIONS = 100_000
TICKS = 60
REFILLS = 5
SKETCH_PLACES = 64
TOP = 10  # heavy hitters that are compared
S = 1_000_000  # microseconds
START_US = 10**15  # of the process's clock
WALL_S = 1_796_083_200  # of the wall clock
NAMES = [f"t{k}" for k in range(TENANTS)]


def spread(times: list[int]) -> str:
    """Median and 99th percentile of times in nanoseconds, in words."""
    percentiles = statistics.quantiles(times, n=100)
    return f"median {statistics.median(times) / 1e3:.2f} us, 99% {percentiles[98] / 1e3:.2f} us"


def make_plan() -> Plan:
    """Limits at all three levels: each key, each tenant and one account."""
    limit = Limit(tokens_per_min=600_000, burst=100_000, day=10**9, month=10**10, open=1_000, debt=10_000)
    return Plan(
        accounts={"school": Limit(tokens_per_min=10**9, burst=10**8)},
        capacity=10**9,
        capacity_burst=10**8,
        default=TenantPlan(limit, key_limit=limit),
        tenants={name: TenantPlan(limit, "school", 1.0, limit) for name in NAMES},
    )


def measure_memory(plan: Plan) -> Budgets:
    """Let each tenant ask once, and print what a tenant's state takes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    budgets = Budgets(plan, START_US)
    for name in NAMES:
        admission = budgets.admit(START_US, WALL_S, name, f"k{name}", 10, 10)
        assert admission.reservation
        budgets.settle(START_US, admission.reservation, Usage(10, 0, 5))
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"memory: {held / TENANTS:.0f} bytes a tenant that has used something today, its key and history included")
    return budgets


def measure_admissions(budgets: Budgets, rng: random.Random) -> int:
    """Print the times of admissions and settlements; returns the time of the last one, in microseconds."""
    admissions: list[int] = []
    settlements: list[int] = []
    now = START_US
    for _ in range(ADMISSIONS):
        now += 50
        name = NAMES[rng.randrange(ACTIVE_TENANTS)]
        key = f"k{name}"
        began = time.perf_counter_ns()
        admission = budgets.admit(now, WALL_S, name, key, 20, 100)
        admissions.append(time.perf_counter_ns() - began)
        if admission.reservation:
            began = time.perf_counter_ns()
            budgets.settle(now, admission.reservation, Usage(20, 0, 60))
            settlements.append(time.perf_counter_ns() - began)
    print(f"standing, three levels: {spread(admissions)}; settlement: {spread(settlements)}")
    return now


def measure_ticks(budgets: Budgets, now: int) -> None:
    """Print the time of a tick, from `now` on every 10 s."""
    ticks: list[int] = []
    for _ in range(TICKS):
        now += 10 * S
        began = time.perf_counter_ns()
        budgets.tick(now)
        ticks.append(time.perf_counter_ns() - began)
    print(f"tick over {TENANTS:,} tenants, bounded: {spread(ticks)}, most {max(ticks) / 1e6:.2f} ms")


def measure_plain_refills() -> None:
    """Print what a timer would take that refills the bucket of every tenant, asked for or not."""
    levels = dict.fromkeys(NAMES, 0.0)
    refills: list[int] = []
    for _ in range(REFILLS):
        began = time.perf_counter_ns()
        for name, level in levels.items():
            levels[name] = min(100_000.0, level + 100.0)
        refills.append(time.perf_counter_ns() - began)
    print(f"a plain dictionary that a timer refills: {statistics.median(refills) / 1e6:.1f} ms each tick")


def measure_heavy_hitters(rng: random.Random) -> None:
    """Print the sketch's time and accuracy beside an exact count, with arrivals by a Pareto distribution."""
    keys = [NAMES[min(TENANTS - 1, int(rng.paretovariate(0.9)))] for _ in range(ADMISSIONS)]
    sketch = HeavyHitters[str](SKETCH_PLACES)
    count = Counter[str]()
    began = time.perf_counter_ns()
    for key in keys:
        sketch.add(key, 100)
    sketch_ns = time.perf_counter_ns() - began
    began = time.perf_counter_ns()
    for key in keys:
        count[key] += 100
    count_ns = time.perf_counter_ns() - began
    found = {hitter.key for hitter in sketch.top(TOP)}
    true = {key for key, _ in count.most_common(TOP)}
    print(
        f"heavy hitters: {sketch_ns / len(keys) / 1e3:.2f} us an arrival in {SKETCH_PLACES} places, "
        f"{count_ns / len(keys) / 1e3:.2f} us in a count of {len(count):,}; {len(found & true)} of the top {TOP} found"
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
