"""An open-loop load: every request has its planned time, drawn ahead, and is sent then whatever became of the others.

Times are measured from the plan, so that a load tool that is late shows it as the client would feel it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy

from pearhill.conformance.client import ClientConnection
from pearhill.lab.scenario import Scenario, TenantTable

SERVED, REFUSED, FAILED = "served", "refused", "failed"  # outcomes, as the results' files have them
REQUEST_TIMEOUT_S = 60.0
START_DELAY_S = 0.1
REJECTING_STATUSES = (429, 503)
STREAM_END = b"data: [DONE]\n\n"
PROMPT_HEAD_WORDS = 8  # of the prompt besides the repeated word
Progress = Callable[[int, int], None]
Front = tuple[str, int]


@dataclass(slots=True)
class Row:
    """One request. `planned_s`: since the load's start; `first_s` and `end_s`: since the planned time."""

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
    in_burst = (times >= tenant.from_s) & (times < tenant.to_s)
    rate = numpy.where(in_burst, tenant.rate_per_s * tenant.times, tenant.rate_per_s)
    return [float(t) for t in times[rng.uniform(0, peak, len(times)) < rate]]


def _request_body(tenant: TenantTable, opening: int) -> dict[str, Any]:
    words = max(1, tenant.prompt_tokens * 4 // 5 - PROMPT_HEAD_WORDS)
    body: dict[str, Any] = {
        "model": tenant.model,
        "stream": True,
        "messages": [
            {"role": "system", "content": f"You help the members of {tenant.name}, group {opening}."},
            {"role": "user", "content": "word " * words},
        ],
        "x_prompt_tokens": tenant.prompt_tokens,
        "x_answer_tokens": tenant.answer_tokens,
    }
    if tenant.max_tokens:
        body["max_tokens"] = tenant.max_tokens
    return body


async def _send_request(tenant: TenantTable, planned: float, began: float, front: Front, key: str, opening: int) -> Row:
    """Send one request now and wait for its end. `planned`: seconds after `began`, of the monotonic clock."""

    def since_planned() -> float:
        return time.monotonic() - began - planned

    row = Row(tenant.name, planned, since_planned(), status=0, outcome=FAILED, first_s=0.0, end_s=0.0, tokens=0)
    headers = {"Authorization": f"Bearer {key}"}
    body = msgspec.json.encode(_request_body(tenant, opening))
    first_s = 0.0

    def on_first_body() -> bool:
        nonlocal first_s
        first_s = since_planned()
        return False

    wire = ClientConnection(*front)
    try:
        await wire.open()
        got = await wire.exchange("POST", "/v1/chat/completions", headers, body, REQUEST_TIMEOUT_S, on_first_body)
        row.status = got.status
        row.tokens = got.body.count(b'"content"')
        row.outcome = _outcome(got.status, got.complete and got.body.endswith(STREAM_END))
    except (OSError, TimeoutError):
        pass
    finally:
        wire.close()
    row.end_s = since_planned()
    if row.outcome == SERVED:
        row.first_s = first_s
    return row


def _outcome(status: int, is_complete: bool) -> str:
    if status == 200 and is_complete:
        return SERVED
    return REFUSED if status in REJECTING_STATUSES else FAILED


async def run(
    scenario: Scenario,
    fronts: Callable[[], Front],
    keys: dict[str, str],
    progress: Progress,
    on_start: Callable[[float], None] = lambda began: None,
) -> list[Row]:
    """Send all tenants' requests; their rows in the order of the plan.

    `fronts` says where the next request goes, `keys` has each tenant's API key; `progress` gets the count of requests
    sent and of all, `on_start` the load's beginning, of the monotonic clock.
    """
    lab = scenario.lab
    openings = random.Random(lab.seed)
    planned = _planned_requests(scenario)
    began = time.monotonic() + START_DELAY_S
    tasks: list[asyncio.Task[Row]] = []
    on_start(began)
    for done, (at, k) in enumerate(planned):
        if (wait := began + at - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        tenant = scenario.tenant[k]
        opening = openings.randrange(tenant.prefixes)
        tasks.append(asyncio.create_task(_send_request(tenant, at, began, fronts(), keys[tenant.name], opening)))
        progress(done + 1, len(planned))
    return list(await asyncio.gather(*tasks))


def _planned_requests(scenario: Scenario) -> list[tuple[float, int]]:
    """Planned time and tenant's number of all requests, in their order."""
    seeds = numpy.random.SeedSequence(scenario.lab.seed).spawn(len(scenario.tenant))
    return sorted(
        (at, k)
        for k, tenant in enumerate(scenario.tenant)
        for at in draw_arrivals(tenant, scenario.lab.seconds, seeds[k])
    )
