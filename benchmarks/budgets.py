"""The budget module at size: 100,000 tenants with keys, most of them silent.

    .venv/bin/python benchmarks/budgets.py

Prints the time of a standing (admit) and of a settlement, the memory of a tenant, the cost of a tick, lazy buckets
against a plain dictionary that a timer refills, and the heavy-hitter sketch against a plain count.
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

TENANTS, ACTIVE, ROUNDS = 100_000, 2_000, 100_000
S, WALL = 1_000_000, 1_796_083_200


def spread(times: list[int]) -> str:
    cuts = statistics.quantiles(times, n=100)
    return f"median {statistics.median(times) / 1e3:.2f} us, 99% {cuts[98] / 1e3:.2f} us"


def main() -> None:
    limit = Limit(tokens_per_min=600_000, burst=100_000, day=10**9, month=10**10, open=1_000, debt=10_000)
    plan = Plan(
        accounts={"school": Limit(tokens_per_min=10**9, burst=10**8)},
        capacity=10**9,
        capacity_burst=10**8,
        default=TenantPlan(limit, key_limit=limit),
        tenants={f"t{k}": TenantPlan(limit, "school", 1.0, limit) for k in range(TENANTS)},
    )
    names = [f"t{k}" for k in range(TENANTS)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    budgets, now, rng = Budgets(plan, 10**15), 10**15, random.Random(1)
    for name in names:  # each has asked once
        standing = budgets.admit(now, WALL, name, f"k{name}", 10, 10)
        assert standing.reservation
        budgets.settle(now, standing.reservation, Usage(10, 0, 5))
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    print(f"memory: {held / TENANTS:.0f} bytes a tenant that has used something today, its key and history included")
    admits, settles, looks = [], [], 0
    for _ in range(ROUNDS):
        now += 50
        name = names[rng.randrange(ACTIVE)]
        key = f"k{name}"
        at = time.perf_counter_ns()
        standing = budgets.admit(now, WALL, name, key, 20, 100)
        admits.append(time.perf_counter_ns() - at)
        if standing.reservation:
            at = time.perf_counter_ns()
            budgets.settle(now, standing.reservation, Usage(20, 0, 60))
            settles.append(time.perf_counter_ns() - at)
    print(f"standing, three levels: {spread(admits)}; settlement: {spread(settles)}")
    ticks = []
    while looks < 60:
        now += 10 * S
        at = time.perf_counter_ns()
        budgets.tick(now)
        ticks.append(time.perf_counter_ns() - at)
        looks += 1
    print(f"tick over {TENANTS:,} tenants, bounded: {spread(ticks)}, most {max(ticks) / 1e6:.2f} ms")
    plain = dict.fromkeys(names, 0.0)
    refills = []
    for _ in range(5):
        at = time.perf_counter_ns()
        for name, level in plain.items():  # what a timer does with every bucket, asked for or not
            plain[name] = min(100_000.0, level + 100.0)
        refills.append(time.perf_counter_ns() - at)
    print(f"a plain dictionary that a timer refills: {statistics.median(refills) / 1e6:.1f} ms each tick")
    keys = [names[min(TENANTS - 1, int(rng.paretovariate(0.9)))] for _ in range(ROUNDS)]
    sketch, count = HeavyHitters[str](64), Counter[str]()
    at = time.perf_counter_ns()
    for key in keys:
        sketch.add(key, 100)
    sketched = time.perf_counter_ns() - at
    at = time.perf_counter_ns()
    for key in keys:
        count[key] += 100
    counted = time.perf_counter_ns() - at
    found, true = {h.key for h in sketch.top(10)}, {key for key, _ in count.most_common(10)}
    print(
        f"heavy hitters: {sketched / len(keys) / 1e3:.2f} us an arrival in 64 places, "
        f"{counted / len(keys) / 1e3:.2f} us in a count of {len(count):,}; {len(found & true)} of the top 10 found"
    )


if __name__ == "__main__":
    main()
