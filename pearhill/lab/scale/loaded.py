"""Real dispatchers under load, beside hollow ones whose Routers are fed as many requests by their event clock."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any

from pearhill.lab import load
from pearhill.lab.scale.files import MODEL_NAMES, tenant_api_key
from pearhill.lab.scale.fleet import RunningFleet
from pearhill.lab.scenario import LabTable, Scenario, ServerTable, TenantTable


async def under_load(fleet: RunningFleet, rate_per_s: float) -> dict[str, Any]:
    """The point of the real ones, each with so many requests a second on the mean; their streams are short, as the
    replicas are one process. The load tool runs in this one."""
    scale, fronts = fleet.scale, list[load.Front]()
    for daemon in fleet.real:
        host, _, port = daemon.front.rpartition(":")
        fronts.append((host, int(port)))
    tenant = TenantTable(
        "tenant-0", rate_per_s * len(fronts), MODEL_NAMES[0], prompt_tokens=400, answer_tokens=8, prefixes=64
    )
    scenario = Scenario(LabTable("", seconds=scale.seconds, seed=scale.seed), [ServerTable("writer")], [tenant])
    turns = itertools.cycle(random.Random(scale.seed).sample(fronts, len(fronts)))
    work = asyncio.create_task(
        load.run(scenario, lambda: next(turns), {"tenant-0": tenant_api_key(scale.seed)}, lambda done, total: None)
    )
    try:
        point: dict[str, Any] = (await fleet.measure())["real"]
        rows = await work
    finally:
        work.cancel()
    served = sum(row.outcome == load.SERVED for row in rows) / max(1, len(rows))
    fleet.told(f"    under load: {len(rows)} requests, {served:.1%} served")
    return {**point, "work": "router", "rate_per_dispatcher": rate_per_s}
