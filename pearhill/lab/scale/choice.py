"""Measures the Router's choice of replicas alone: CPU time per request, and memory per remembered request.

A request has two choices: one at its arrival and one at the end of its prefill.

python -m pearhill.lab.scale.choice        reads and writes one JSON object per line
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
import tomllib
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from pearhill import settings
from pearhill.lab.scale.child import CommandHandler, run
from pearhill.lab.scale.files import SETTINGS_TEMPLATE, ZONE_PLACEHOLDER
from pearhill.routing.actions import Action, SendAttempt
from pearhill.routing.events import AttemptEnded, EndpointsUpdated, Event, RequestArrived, ResponseStarted
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import Router
from pearhill.routing.topology import Endpoint, Phase, Role

ARRIVAL_INTERVAL_US = 22_000  # 45 requests a second
WARM_UP_REQUESTS = 60
REMEMBERED_REQUESTS = 1_500  # at most so many requests are measured for memory
PREFILL_FRACTION = 0.29  # of the replicas
ZONES = 6
MIN_PROMPT_TOKENS = 2_500  # long enough for a prefill replica, so that each request has two choices
MEAN_PROMPT_TOKENS = 4_000
MAX_OUTPUT_TOKENS = 400
TIMEOUT_US = 8_000_000
# Microseconds from the request's arrival; the `ELAPSED` times are counted from the start of the attempt.
PREFILL_ENDED_US = 60_000
RESPONSE_STARTED_US = 70_000
RESPONSE_ENDED_US = 80_000
FIRST_TOKEN_ELAPSED_US = 10_000
RESPONSE_ELAPSED_US = 20_000


def new_router(replicas: int, dispatchers: int, seed: int) -> Router:
    """Returns the Router of one of `dispatchers`, with `replicas` that have long been ready (none is warming up)."""
    zones = json.dumps([f"z{k}" for k in range(ZONES)])
    text = SETTINGS_TEMPLATE.format(instances=dispatchers, zones=zones).replace(ZONE_PLACEHOLDER, "0")
    router = Router(settings.parse(tomllib.loads(text)["settings"]).router, seed)
    prefill_replicas = max(2, round(replicas * PREFILL_FRACTION))
    endpoints = tuple(
        Endpoint(
            replica=k + 1,
            zone=k % ZONES,
            kind=int(k >= prefill_replicas),
            cell=k % ZONES,
            phase=Phase.READY,
            weight=1.0,
            started_at=0,
        )
        for k in range(replicas)
    )
    router.handle(1, EndpointsUpdated(True, endpoints))
    return router


@dataclass(frozen=True, slots=True)
class _TimedActions:
    """The actions that the Router returned for an event, and the CPU seconds that it took."""

    actions: Sequence[Action]
    cpu_s: float

    def first_attempt(self) -> SendAttempt | None:
        """Returns the first attempt among the actions, or None if there is none."""
        return next((action for action in self.actions if isinstance(action, SendAttempt)), None)


class RequestStream:
    """Requests through one Router, each from arrival to the end of its response, with a new session and prefix."""

    def __init__(self, router: Router, seed: int) -> None:
        self._router = router
        self._rng = random.Random(seed)
        self._now = 1_000_000
        self._request = 0

    def run_one(self) -> float:
        """Run one request. Returns the CPU seconds of its two choices: at arrival, and at the end of the prefill."""
        self._now += ARRIVAL_INTERVAL_US
        self._request += 1
        timed_actions = self._handle_timed(self._now, self._arrival())
        cpu_s = timed_actions.cpu_s
        attempt = 0
        sent_attempt = timed_actions.first_attempt()
        if sent_attempt and self._router.replicas[sent_attempt.replica].role == Role.PREFILL:
            timed_actions = self._handle_timed(self._now + PREFILL_ENDED_US, self._prefill_ended(sent_attempt))
            cpu_s += timed_actions.cpu_s
            attempt = 1
            sent_attempt = timed_actions.first_attempt()
        if sent_attempt:
            self._end_response(attempt, sent_attempt.replica)
        return cpu_s

    def _arrival(self) -> RequestArrived:
        prompt_tokens = max(MIN_PROMPT_TOKENS, int(self._rng.expovariate(1 / MEAN_PROMPT_TOKENS)))
        session = self._rng.getrandbits(40) + 1
        prefix = self._rng.getrandbits(40) + 1
        return RequestArrived(
            request=self._request,
            request_class=0,
            tenant=0,
            session=session,
            prefix=prefix,
            prefix_tokens=prompt_tokens // 2,
            prompt_tokens=prompt_tokens,
            max_output_tokens=MAX_OUTPUT_TOKENS,
            timeout=TIMEOUT_US,
            is_retry=False,
            resumed=False,
        )

    def _prefill_ended(self, sent_attempt: SendAttempt) -> AttemptEnded:
        return AttemptEnded(self._request, 0, sent_attempt.replica, Outcome.PREFILLED, False, 0, PREFILL_ENDED_US, None)

    def _handle_timed(self, now: int, event: Event) -> _TimedActions:
        began = time.thread_time()
        actions = self._router.handle(now, event)
        return _TimedActions(actions, time.thread_time() - began)

    def _end_response(self, attempt: int, replica: int) -> None:
        started = ResponseStarted(self._request, attempt, replica, FIRST_TOKEN_ELAPSED_US)
        self._router.handle(self._now + RESPONSE_STARTED_US, started)
        ended = AttemptEnded(self._request, attempt, replica, Outcome.ANSWERED, True, 0, RESPONSE_ELAPSED_US, None)
        self._router.handle(self._now + RESPONSE_ENDED_US, ended)


def measure_choice(replicas: int, arrivals: int, dispatchers: int, seed: int) -> dict[str, Any]:
    """Returns the median CPU milliseconds of `arrivals` requests, and the bytes of memory per remembered request.

    The dictionary has the form of the results file.
    """
    stream = RequestStream(new_router(replicas, dispatchers, seed), seed)
    for _ in range(WARM_UP_REQUESTS):
        stream.run_one()
    times_s = [stream.run_one() for _ in range(arrivals)]
    remembered = min(REMEMBERED_REQUESTS, arrivals)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(remembered):
        stream.run_one()
    grown_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "replicas": replicas,
        "ms": round(statistics.median(times_s) * 1000, 4),
        "remembered_bytes": round(grown_bytes / remembered),
    }


def new_handler() -> CommandHandler:
    """Returns the handler of this process's only command, "choice"."""

    async def handle(command: dict[str, Any]) -> dict[str, Any]:
        """Measure the choice among the given number of replicas, over the given number of arrivals."""
        return measure_choice(command["replicas"], command["arrivals"], command["instances"], command["seed"])

    return handle


if __name__ == "__main__":
    run(new_handler)
    sys.exit(0)
