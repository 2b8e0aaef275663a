"""The Router's choice by itself: processor time of one arrival's two choices, and memory of each remembered request.

python -m pearhill.lab.scale.choice        one JSON object a line in, one a line out
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
from pearhill.lab.scale.child import Handle, run
from pearhill.lab.scale.files import SETTINGS_TEMPLATE, ZONE_MARK
from pearhill.routing.actions import Action, SendAttempt
from pearhill.routing.events import AttemptEnded, EndpointsUpdated, Event, RequestArrived, ResponseStarted
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import Router
from pearhill.routing.topology import Endpoint, Phase, Role

ARRIVAL_INTERVAL_US = 22_000  # 45 requests a second
WARM_UP_REQUESTS = 60
REMEMBERED_REQUESTS = 1_500  # over which memory is measured, at most
PREFILL_SHARE = 0.29  # of the replicas
ZONES = 6
MIN_PROMPT_TOKENS = 2_500  # prefilled at a prefill replica, so that there are two choices
MEAN_PROMPT_TOKENS = 4_000
MAX_OUTPUT_TOKENS = 400
TIMEOUT_US = 8_000_000
# Microseconds from the arrival; `elapsed` times are counted from the attempt's start.
PREFILL_ENDED_US = 60_000
RESPONSE_STARTED_US = 70_000
RESPONSE_ENDED_US = 80_000
FIRST_TOKEN_ELAPSED_US = 10_000
ANSWER_ELAPSED_US = 20_000


def new_router(replicas: int, dispatchers: int, seed: int) -> Router:
    """A Router of one of so many dispatchers, with this many replicas that have long been ready."""
    zones = json.dumps([f"z{k}" for k in range(ZONES)])
    text = SETTINGS_TEMPLATE.format(instances=dispatchers, zones=zones).replace(ZONE_MARK, "0")
    router = Router(settings.parse(tomllib.loads(text)["settings"]).router, seed)
    prefill_replicas = max(2, round(replicas * PREFILL_SHARE))
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
    """What the Router answered to an event, and the seconds of processor time that it took."""

    actions: Sequence[Action]
    cpu_s: float

    def send(self) -> SendAttempt | None:
        """The first attempt among the actions."""
        return next((action for action in self.actions if isinstance(action, SendAttempt)), None)


class RequestStream:
    """Requests through one Router, each from its arrival to the end of its answer, with a new session and prefix."""

    def __init__(self, router: Router, seed: int) -> None:
        self._router = router
        self._rng = random.Random(seed)
        self._now = 1_000_000
        self._request = 0

    def run_one(self) -> float:
        """The processor seconds of one request's two choices: at its arrival, and at the end of its prefill."""
        self._now += ARRIVAL_INTERVAL_US
        self._request += 1
        timed = self._timed(self._now, self._arrival())
        cpu_s = timed.cpu_s
        attempt = 0
        send = timed.send()
        if send and self._router.replicas[send.replica].role == Role.PREFILL:
            timed = self._timed(self._now + PREFILL_ENDED_US, self._prefill_ended(send))
            cpu_s += timed.cpu_s
            attempt = 1
            send = timed.send()
        if send:
            self._answer(attempt, send.replica)
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

    def _prefill_ended(self, send: SendAttempt) -> AttemptEnded:
        return AttemptEnded(self._request, 0, send.replica, Outcome.PREFILLED, False, 0, PREFILL_ENDED_US, None)

    def _timed(self, now: int, event: Event) -> _TimedActions:
        began = time.thread_time()
        actions = self._router.handle(now, event)
        return _TimedActions(actions, time.thread_time() - began)

    def _answer(self, attempt: int, replica: int) -> None:
        started = ResponseStarted(self._request, attempt, replica, FIRST_TOKEN_ELAPSED_US)
        self._router.handle(self._now + RESPONSE_STARTED_US, started)
        ended = AttemptEnded(self._request, attempt, replica, Outcome.ANSWERED, True, 0, ANSWER_ELAPSED_US, None)
        self._router.handle(self._now + RESPONSE_ENDED_US, ended)


def measure_choice(replicas: int, arrivals: int, dispatchers: int, seed: int) -> dict[str, Any]:
    """The median milliseconds of `arrivals` requests, and the bytes that each remembered one takes, as in results."""
    stream = RequestStream(new_router(replicas, dispatchers, seed), seed)
    for _ in range(WARM_UP_REQUESTS):
        stream.run_one()
    times_s = [stream.run_one() for _ in range(arrivals)]
    remembered = min(REMEMBERED_REQUESTS, arrivals)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(remembered):
        stream.run_one()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "replicas": replicas,
        "ms": round(statistics.median(times_s) * 1000, 4),
        "remembered_bytes": round(grown / remembered),
    }


def new_handler() -> Handle:
    """The handler of the one order, "choice"."""

    async def handle(order: dict[str, Any]) -> dict[str, Any]:
        """Measure the choice among the order's count of replicas, over its count of arrivals."""
        return measure_choice(order["replicas"], order["arrivals"], order["instances"], order["seed"])

    return handle


if __name__ == "__main__":
    run(new_handler)
    sys.exit(0)
