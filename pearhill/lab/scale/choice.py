"""The Router's choice by itself: one arrival through its two choices, and what each remembered request takes.

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
from typing import Any

from pearhill import settings
from pearhill.lab.scale.child import Handle, run
from pearhill.lab.scale.files import SETTINGS_TEMPLATE, ZONE_MARK
from pearhill.routing.actions import SendAttempt
from pearhill.routing.events import AttemptEnded, EndpointsUpdated, RequestArrived, ResponseStarted
from pearhill.routing.outcomes import Outcome
from pearhill.routing.router import Router
from pearhill.routing.topology import Endpoint, Phase, Role

STEP = 22_000  # microseconds between two arrivals: 45 a second
WARM, REMEMBERED = 60, 1_500
READERS = 0.29


def router(replicas: int, instances: int, seed: int) -> Router:
    text = SETTINGS_TEMPLATE.format(instances=instances, zones=json.dumps([f"z{k}" for k in range(6)])).replace(
        ZONE_MARK, "0"
    )
    made = Router(settings.parse(tomllib.loads(text)["settings"]).router, seed)
    readers = max(2, round(replicas * READERS))
    made.handle(
        1,
        EndpointsUpdated(
            True,
            tuple(Endpoint(k + 1, k % 6, int(k >= readers), k % 6, Phase.READY, 1.0, 0) for k in range(replicas)),
        ),
    )
    return made


class Requests:
    """Requests through one Router: arrived, read, written, each with a talk and an opening of its own."""

    def __init__(self, made: Router, seed: int) -> None:
        self.router, self.rng, self.now, self.number = made, random.Random(seed), 1_000_000, 0

    def one(self) -> float:
        """The processor seconds of its two choices: the arrival, and the end of its read."""
        self.now, self.number, rng = self.now + STEP, self.number + 1, self.rng
        prompt = max(2_500, int(rng.expovariate(1 / 4_000)))  # read at a reader: two choices
        session, prefix = rng.getrandbits(40) + 1, rng.getrandbits(40) + 1
        arrived = RequestArrived(self.number, 0, 0, session, prefix, prompt // 2, prompt, 400, 8_000_000, False, False)
        began = time.thread_time()
        actions = self.router.handle(self.now, arrived)
        spent = time.thread_time() - began
        send = next((a for a in actions if isinstance(a, SendAttempt)), None)
        if send and self.router.replicas[send.replica].role == Role.PREFILL:
            ended = AttemptEnded(self.number, 0, send.replica, Outcome.PREFILLED, False, 0, 60_000, None)
            began = time.thread_time()
            actions = self.router.handle(self.now + 60_000, ended)
            spent += time.thread_time() - began
            send = next((a for a in actions if isinstance(a, SendAttempt)), None)
            attempt = 1
        else:
            attempt = 0
        if send:
            self.router.handle(self.now + 70_000, ResponseStarted(self.number, attempt, send.replica, 10_000))
            ended = AttemptEnded(self.number, attempt, send.replica, Outcome.ANSWERED, True, 0, 20_000, None)
            self.router.handle(self.now + 80_000, ended)
        return spent


def measured(replicas: int, arrivals: int, instances: int, seed: int) -> dict[str, Any]:
    requests = Requests(router(replicas, instances, seed), seed)
    for _ in range(WARM):
        requests.one()
    spent = [requests.one() for _ in range(arrivals)]
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(min(REMEMBERED, arrivals)):
        requests.one()
    grown = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "replicas": replicas,
        "ms": round(statistics.median(spent) * 1000, 4),
        "remembered_bytes": round(grown / min(REMEMBERED, arrivals)),
    }


def make() -> Handle:
    async def handle(told: dict[str, Any]) -> dict[str, Any]:
        return measured(told["replicas"], told["arrivals"], told["instances"], told["seed"])

    return handle


if __name__ == "__main__":
    run(make)
    sys.exit(0)
