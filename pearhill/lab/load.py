"""An open-loop load: every request has its planned time, drawn ahead, and goes out then whatever became of the others.
Times are measured from the plan, so that a load tool that is late shows it as the client would feel it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import numpy

from pearhill.conformance.client import Wire
from pearhill.lab.scenario import Scenario, TenantTable

SERVED, REFUSED, FAILED = "served", "refused", "failed"
REQUEST_TIMEOUT_S = 60.0  # seconds for a request
Progress = Callable[[int, int], None]
Front = tuple[str, int]


@dataclass(slots=True)
class Row:
    """One request. Seconds since the load's start; `first_s` and `end_s` are counted from the planned time."""

    tenant: str
    planned_s: float
    late_s: float
    status: int
    outcome: str
    first_s: float
    end_s: float
    tokens: int


def draw_arrivals(tenant: TenantTable, seconds: float, seed: numpy.random.SeedSequence) -> list[float]:
    """Planned times of a tenant's requests: a Poisson process, denser within its burst."""
    rng = numpy.random.default_rng(seed)
    peak = tenant.rate_per_s * max(1.0, tenant.times)
    times = numpy.sort(rng.uniform(0, seconds, rng.poisson(peak * seconds)))
    inside = (times >= tenant.from_s) & (times < tenant.to_s)
    rate = numpy.where(inside, tenant.rate_per_s * tenant.times, tenant.rate_per_s)
    return [float(t) for t in times[rng.uniform(0, peak, len(times)) < rate]]


async def _send_request(tenant: TenantTable, planned: float, began: float, front: Front, key: str, opening: int) -> Row:
    late = time.monotonic() - began - planned
    body = {
        "model": tenant.model,
        "stream": True,
        "messages": [
            {"role": "system", "content": f"You help the members of {tenant.name}, group {opening}."},
            {"role": "user", "content": "word " * max(1, tenant.prompt_tokens * 4 // 5 - 8)},
        ],
        "x_prompt_tokens": tenant.prompt_tokens,
        "x_answer_tokens": tenant.answer_tokens,
    }
    if tenant.max_tokens:
        body["max_tokens"] = tenant.max_tokens
    first = [0.0]

    def seen() -> bool:
        first[0] = time.monotonic() - began - planned
        return False

    wire, status, outcome, tokens = Wire(*front), 0, FAILED, 0
    try:
        await wire.open()
        got = await wire.ask(
            "POST",
            "/v1/chat/completions",
            {"Authorization": f"Bearer {key}"},
            msgspec.json.encode(body),
            REQUEST_TIMEOUT_S,
            seen,
        )
        status, tokens = got.status, got.body.count(b'"content"')
        if status == 200 and got.whole and got.body.endswith(b"data: [DONE]\n\n"):
            outcome = SERVED
        elif status in (429, 503):
            outcome = REFUSED
    except (OSError, TimeoutError):
        pass
    finally:
        wire.close()
    end = time.monotonic() - began - planned
    return Row(tenant.name, planned, late, status, outcome, first[0] if outcome == SERVED else 0.0, end, tokens)


async def run(
    scenario: Scenario,
    fronts: Callable[[], Front],
    keys: dict[str, str],
    progress: Progress,
    on_start: Callable[[float], None] = lambda began: None,
) -> list[Row]:
    """`fronts` says where the next request goes; `on_start` is told the load's beginning, of the monotonic clock."""
    seeds = numpy.random.SeedSequence(scenario.lab.seed).spawn(len(scenario.tenant))
    openings = random.Random(scenario.lab.seed)
    planned = sorted(
        (at, k)
        for k, tenant in enumerate(scenario.tenant)
        for at in draw_arrivals(tenant, scenario.lab.seconds, seeds[k])
    )
    began, tasks = time.monotonic() + 0.1, list[asyncio.Task[Row]]()
    on_start(began)
    for done, (at, k) in enumerate(planned):
        if (wait := began + at - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        tenant = scenario.tenant[k]
        opening = openings.randrange(tenant.prefixes)
        tasks.append(asyncio.create_task(_send_request(tenant, at, began, fronts(), keys[tenant.name], opening)))
        progress(done + 1, len(planned))
    return list(await asyncio.gather(*tasks))
