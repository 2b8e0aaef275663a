"""An open-loop load. Every request is sent at a planned time, drawn in advance, regardless of the other requests.

Times are measured from the planned time, so that lateness of the load tool is part of the measured latency.
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

SERVED, REFUSED, FAILED = "served", "refused", "failed"  # outcomes, as stored in result files
REQUEST_TIMEOUT_S = 60.0
START_DELAY_S = 0.1
REJECTING_STATUSES = (429, 503)
STREAM_END = b"data: [DONE]\n\n"
PROMPT_HEAD_WORDS = 8  # words of the prompt without the repeated word
Progress = Callable[[int, int], None]
Front = tuple[str, int]


@dataclass(slots=True)
class Row:
    """One request. `planned_s` counts from the load's start, `first_s` and `end_s` from the planned time."""

    tenant: str
    planned_s: float
    late_s: float
    status: int
    outcome: str
    first_s: float
    end_s: float
    tokens: int


def draw_arrivals(tenant: TenantTable, seconds: float, seed: numpy.random.SeedSequence) -> list[float]:
    """Returns the planned times of a tenant's requests: a Poisson process with a higher rate within its burst."""
    rng = numpy.random.default_rng(seed)
    peak = tenant.rate_per_s * max(1.0, tenant.times)
    times = numpy.sort(rng.uniform(0, seconds, rng.poisson(peak * seconds)))
    in_burst = (times >= tenant.from_s) & (times < tenant.to_s)
    rate = numpy.where(in_burst, tenant.rate_per_s * tenant.times, tenant.rate_per_s)
    return [float(t) for t in times[rng.uniform(0, peak, len(times)) < rate]]


def _request_body(tenant: TenantTable, prefix: int) -> dict[str, Any]:
    words = max(1, tenant.prompt_tokens * 4 // 5 - PROMPT_HEAD_WORDS)
    body: dict[str, Any] = {
        "model": tenant.model,
        "stream": True,
        "messages": [
            {"role": "system", "content": f"You help the members of {tenant.name}, group {prefix}."},
            {"role": "user", "content": "word " * words},
        ],
        "x_prompt_tokens": tenant.prompt_tokens,
        "x_answer_tokens": tenant.answer_tokens,
    }
    if tenant.max_tokens:
        body["max_tokens"] = tenant.max_tokens
    return body


async def _send_request(tenant: TenantTable, planned: float, began: float, front: Front, key: str, prefix: int) -> Row:
    """Send one request now and wait for its end. `planned`: seconds after `began`, by the monotonic clock."""

    def since_planned() -> float:
        return time.monotonic() - began - planned

    row = Row(tenant.name, planned, since_planned(), status=0, outcome=FAILED, first_s=0.0, end_s=0.0, tokens=0)
    headers = {"Authorization": f"Bearer {key}"}
    body = msgspec.json.encode(_request_body(tenant, prefix))
    first_s = 0.0

    def on_first_body() -> bool:
        nonlocal first_s
        first_s = since_planned()
        return False

    connection = ClientConnection(*front)
    try:
        await connection.open()
        response = await connection.exchange(
            "POST", "/v1/chat/completions", headers, body, REQUEST_TIMEOUT_S, on_first_body
        )
        row.status = response.status
        row.tokens = response.body.count(b'"content"')
        row.outcome = _outcome(response.status, response.complete and response.body.endswith(STREAM_END))
    except (OSError, TimeoutError):
        pass
    finally:
        connection.close()
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
    """Send all tenants' requests, and return their rows in the order of the plan.

    `fronts` returns the address for the next request, `keys` has each tenant's API key. `progress` is called with the
    counts of sent and of all requests, `on_start` with the load's start by the monotonic clock.
    """
    lab = scenario.lab
    prefix_rng = random.Random(lab.seed)
    planned = _planned_requests(scenario)
    began = time.monotonic() + START_DELAY_S
    tasks: list[asyncio.Task[Row]] = []
    on_start(began)
    for done, (at, k) in enumerate(planned):
        if (wait := began + at - time.monotonic()) > 0:
            await asyncio.sleep(wait)
        tenant = scenario.tenant[k]
        prefix = prefix_rng.randrange(tenant.prefixes)
        tasks.append(asyncio.create_task(_send_request(tenant, at, began, fronts(), keys[tenant.name], prefix)))
        progress(done + 1, len(planned))
    return list(await asyncio.gather(*tasks))


def _planned_requests(scenario: Scenario) -> list[tuple[float, int]]:
    """Returns the planned time and the tenant's index of each request, in order of time."""
    seeds = numpy.random.SeedSequence(scenario.lab.seed).spawn(len(scenario.tenant))
    return sorted(
        (at, k)
        for k, tenant in enumerate(scenario.tenant)
        for at in draw_arrivals(tenant, scenario.lab.seconds, seeds[k])
    )
