"""Measures real dispatchers under load.

The point is compared with hollow dispatchers whose Routers get as many requests, with replicas simulated by a clock.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any

from pearhill.lab import load
from pearhill.lab.scale.files import MODEL_NAMES, tenant_api_key
from pearhill.lab.scale.fleet import RunningFleet
from pearhill.lab.scenario import LabTable, Scenario, ServerTable, TenantTable

TENANT = "tenant-0"
PROMPT_TOKENS = 400
ANSWER_TOKENS = 8  # streams are short, as all replicas share one process
PREFIXES = 64


async def measure_under_load(fleet: RunningFleet, rate_per_s: float) -> dict[str, Any]:
    """Returns the point of the real dispatchers, with a mean of `rate_per_s` requests per second each.

    The load generator runs in this process.
    """
    fronts = [_parse_front(daemon.front_address) for daemon in fleet.real]
    round_robin = itertools.cycle(random.Random(fleet.scale.seed).sample(fronts, len(fronts)))
    api_keys = {TENANT: tenant_api_key(fleet.scale.seed)}
    requests = asyncio.create_task(
        load.run(
            _scenario(fleet, rate_per_s * len(fronts)), lambda: next(round_robin), api_keys, lambda done, total: None
        )
    )
    try:
        point = (await fleet.measure()).real
        rows = await requests
    finally:
        requests.cancel()
    served_fraction = sum(row.outcome == load.SERVED for row in rows) / max(1, len(rows))
    fleet.print_line(f"    under load: {len(rows)} requests, {served_fraction:.1%} served")
    assert point is not None
    return {**point, "work": "router", "rate_per_dispatcher": rate_per_s}


def _parse_front(address: str) -> load.Front:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _scenario(fleet: RunningFleet, rate_per_s: float) -> Scenario:
    """Returns a scenario of one tenant with `rate_per_s` requests per second, for one window."""
    tenant = TenantTable(
        TENANT,
        rate_per_s,
        MODEL_NAMES[0],
        prompt_tokens=PROMPT_TOKENS,
        answer_tokens=ANSWER_TOKENS,
        prefixes=PREFIXES,
    )
    settings = LabTable("", seconds=fleet.scale.seconds, seed=fleet.scale.seed)
    return Scenario(settings, [ServerTable("writer")], [tenant])
