"""What a hollow dispatcher has in flight: gauges drawn anew, or requests that replicas answer by a clock alone."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
from enum import StrEnum
from typing import Any

import numpy

from pearhill.core.deadlines import Deadlines
from pearhill.core.dispatcher import Dispatcher
from pearhill.core.request import Attempt, Request, RequestSpec
from pearhill.routing.events import ReportedLoad
from pearhill.routing.outcomes import Outcome
from pearhill.routing.replica_state import ReplicaState
from pearhill.routing.router import Router
from pearhill.routing.topology import Role

GAUGE_SETS = 24  # drawn ahead; each time one of them is taken, rotated by a drawn number of replicas
PREFILL_S = 0.45  # a prefill's mean time at the size that is planned for, its wait included
CLOCK_PREFILL_S = 0.15  # the same of a replica that answers by a clock, whatever its load
STREAM_TOKENS = 2_400  # of a stream at its decode replica
PROMPT_TOKENS = 2_000  # of a prompt at its prefill replica
MIN_PROMPT_TOKENS = 64
TOKEN_INTERVAL_S = 0.025
ANSWER_TOKENS = 231  # 260 open streams at 45 requests a second
LOAD_SPREAD = (0.6, 1.4)  # of a request's tokens, over their mean
TIMEOUT_US = 8_000_000
SESSIONS = 1 << 30
PREFIXES = 512
TENANTS = 760
HEALTH_CHECK_US = 1_000  # until a replica that answers by a clock answers a health check
REPLICA_LOAD = ReportedLoad(memory_used=0.5, queued_ktokens=1.0)  # of each replica, whatever it has to do
US_PER_S = 1e6

# By set, by replica: tokens queued there, tokens in flight there.
GaugeSets = list[list[tuple[int, int]]]


class RequestResult(StrEnum):
    """What became of a request. The values stand in results."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class DrawnGauges:
    """Gauges of one dispatcher at the size that is planned for.

    It has `streams` open streams at decode replicas and prefills `rate_per_s` prompts a second, in all.
    """

    def __init__(
        self, prefill_replicas: int, decode_replicas: int, rate_per_s: float, streams: float, seed: int
    ) -> None:
        rng = numpy.random.default_rng(seed)
        self._decode = self._draw_sets(rng, decode_replicas, streams, STREAM_TOKENS, is_prefill=False)
        self._prefill = self._draw_sets(rng, prefill_replicas, rate_per_s * PREFILL_S, PROMPT_TOKENS, is_prefill=True)

    @staticmethod
    def _draw_sets(
        rng: numpy.random.Generator, replicas: int, mean_requests: float, tokens: int, is_prefill: bool
    ) -> GaugeSets:
        if not replicas:
            return [[] for _ in range(GAUGE_SETS)]
        counts = rng.poisson(mean_requests / replicas, (GAUGE_SETS, replicas))
        loads = (counts * tokens * rng.uniform(*LOAD_SPREAD, counts.shape)).astype(int)
        return [[(load if is_prefill else 0, load) for load in gauges] for gauges in loads.tolist()]

    def apply(self, router: Router, rng: random.Random) -> None:
        """Write a set into the Router's own record of its load, which gossip and load reports are made of."""
        self._set(router.ready[Role.DECODE], rng.choice(self._decode), rng)
        self._set(router.ready[Role.PREFILL], rng.choice(self._prefill), rng)

    @staticmethod
    def _set(replicas: Sequence[ReplicaState], gauges: list[tuple[int, int]], rng: random.Random) -> None:
        if not gauges:
            return
        first = rng.randrange(len(gauges))
        rotated = gauges[first:] + gauges[:first]
        while len(rotated) < len(replicas):
            rotated = rotated + rotated
        for replica, (queued, in_flight) in zip(replicas, rotated, strict=False):
            replica.tokens_queued = queued
            replica.tokens_in_flight = in_flight


class CountingClient:
    """The client of a request at a hollow dispatcher: it reports the final result, and takes no answer."""

    def __init__(self, on_result: Callable[[RequestResult], None]) -> None:
        self._on_result = on_result

    def reject(self, retry_after: int) -> None:
        """Final: not executed."""
        self._on_result(RequestResult.REJECTED)

    def fail(self) -> None:
        """Final: failed."""
        self._on_result(RequestResult.FAILED)

    def decline(self, replica_error: Any) -> None:
        """Final: a replica found fault with the request; counted as failed."""
        self._on_result(RequestResult.FAILED)

    async def forward(self, data: bytes) -> None:
        """A piece of the answer, which is dropped."""

    def finish(self) -> None:
        """Final: the answer is complete."""
        self._on_result(RequestResult.SERVED)

    def abort(self) -> None:
        """Final: the answer is truncated; counted as failed."""
        self._on_result(RequestResult.FAILED)

    def has_disconnected(self) -> bool:
        """It never does."""
        return False


class ClockBackend:
    """A backend whose replicas answer by a clock, whatever their load. Nothing goes over a socket.

    A prefill takes an exponential time. A decode starts after one token's time and ends after an exponential time.
    """

    def __init__(self, dispatcher: Dispatcher, deadlines: Deadlines, rng: random.Random) -> None:
        self._dispatcher = dispatcher
        self._deadlines = deadlines
        self._rng = rng

    def send(self, attempt: Attempt) -> None:
        """Answer the attempt in its time, if it may start."""
        if not attempt.may_start():
            return
        kinds = self._dispatcher.deployment.router.kinds
        endpoint = self._dispatcher.endpoints[attempt.replica]
        if kinds[endpoint.kind].role == Role.PREFILL:
            self._prefill(attempt)
        else:
            self._decode(attempt)

    def _prefill(self, attempt: Attempt) -> None:
        wait = self._exponential_us(CLOCK_PREFILL_S)
        self._deadlines.schedule_after(
            wait, lambda: attempt.end(Outcome.PREFILLED, PROMPT_TOKENS // 2, may_hold_state=True)
        )

    def _decode(self, attempt: Attempt) -> None:
        def start() -> None:
            """Start the response, unless the attempt is over, and end it in its time."""
            if attempt.start_response():
                wait = self._exponential_us(ANSWER_TOKENS * TOKEN_INTERVAL_S)
                self._deadlines.schedule_after(wait, lambda: attempt.end(Outcome.ANSWERED, PROMPT_TOKENS // 2))

        self._deadlines.schedule_after(int(TOKEN_INTERVAL_S * US_PER_S), start)

    def _exponential_us(self, mean_s: float) -> int:
        return int(self._rng.expovariate(1 / mean_s) * US_PER_S)

    def cancel(self, attempt: Attempt) -> bool:
        """There is no connection to close."""
        return True

    def may_have_been_sent(self, attempt: Attempt) -> bool:
        """An attempt starts as it is sent."""
        return True

    def check_health(self, replica: int) -> None:
        """Every replica answers, with the same load."""
        self._deadlines.schedule_after(
            HEALTH_CHECK_US, lambda: self._dispatcher.health_check_ended(replica, Outcome.ANSWERED, REPLICA_LOAD)
        )

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Replicas hold nothing."""

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Replicas hold nothing."""


class PoissonArrivals:
    """Requests at a hollow dispatcher as a Poisson process, and what became of them since it began."""

    def __init__(self, dispatcher: Dispatcher, deadlines: Deadlines, rate_per_s: float, rng: random.Random) -> None:
        self._dispatcher = dispatcher
        self._deadlines = deadlines
        self._rate_per_s = rate_per_s
        self._rng = rng
        self.results: dict[str, int] = dict.fromkeys(RequestResult, 0)
        dispatcher.backend = ClockBackend(dispatcher, deadlines, rng)
        self._stopped = False
        self._next_at = deadlines.clock()
        self._schedule()

    def _schedule(self) -> None:
        self._next_at += int(self._rng.expovariate(self._rate_per_s) * US_PER_S)
        self._deadlines.schedule_at(self._next_at, self._arrive)

    def _arrive(self) -> None:
        if self._stopped:
            return
        spec = RequestSpec(
            request_class=0,
            timeout=TIMEOUT_US,
            prompt_tokens=max(MIN_PROMPT_TOKENS, int(self._rng.expovariate(1 / PROMPT_TOKENS))),
            max_output_tokens=2 * ANSWER_TOKENS,
            session=self._rng.randrange(1, SESSIONS),
            prefix=self._rng.randrange(1, PREFIXES),
            prefix_tokens=PROMPT_TOKENS // 2,
            tenant=self._rng.randrange(TENANTS),
        )
        self._dispatcher.accept(spec, CountingClient(self._count), None)
        self._schedule()

    def _count(self, result: RequestResult) -> None:
        self.results[result] += 1

    def stop(self) -> None:
        """From now on no request arrives."""
        self._stopped = True
