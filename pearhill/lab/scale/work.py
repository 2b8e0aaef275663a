"""Workloads of hollow dispatchers: randomly drawn gauges, or requests to replicas that a clock simulates."""

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

GAUGE_SETS = 24  # sets that are drawn in advance; each turn uses one of them, rotated by a random number of replicas
PREFILL_S = 0.45  # mean time of a prefill, including its wait, at the planned size
SIMULATED_PREFILL_S = 0.15  # mean time of a prefill at a simulated replica, at any load
STREAM_TOKENS = 2_400  # load of a stream at its decode replica
PROMPT_TOKENS = 2_000  # load of a prompt at its prefill replica
MIN_PROMPT_TOKENS = 64
TOKEN_INTERVAL_S = 0.025
OUTPUT_TOKENS = 231  # yields 260 open streams at 45 requests per second
LOAD_RANGE = (0.6, 1.4)  # range of the ratio of a request's tokens to the mean
TIMEOUT_US = 8_000_000
SESSIONS = 1 << 30
PREFIXES = 512
TENANTS = 760
HEALTH_CHECK_US = 1_000  # response time of a simulated replica to a health check
REPLICA_LOAD = ReportedLoad(memory_used=0.5, queued_ktokens=1.0)  # reported by each simulated replica, at any load
US_PER_S = 1e6

# Index: set, then replica; value: tokens queued and tokens in flight at the replica.
GaugeSets = list[list[tuple[int, int]]]


class RequestResult(StrEnum):
    """The result of a request. The values are used in the results file."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class DrawnGauges:
    """Gauges of one dispatcher at the planned size.

    In total, it has `streams` open streams at decode replicas and prefills `rate_per_s` prompts per second.
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
        loads = (counts * tokens * rng.uniform(*LOAD_RANGE, counts.shape)).astype(int)
        return [[(load if is_prefill else 0, load) for load in gauges] for gauges in loads.tolist()]

    def apply(self, router: Router, rng: random.Random) -> None:
        """Write a set into the Router's own load state, from which gossip messages and load reports are built."""
        self._write_gauges(router.ready[Role.DECODE], rng.choice(self._decode), rng)
        self._write_gauges(router.ready[Role.PREFILL], rng.choice(self._prefill), rng)

    @staticmethod
    def _write_gauges(replicas: Sequence[ReplicaState], gauges: list[tuple[int, int]], rng: random.Random) -> None:
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
    """The client of a request at a hollow dispatcher. It reports the final result and discards the response."""

    def __init__(self, on_result: Callable[[RequestResult], None]) -> None:
        self._on_result = on_result

    def reject(self, retry_after: int) -> None:
        """Final result: the request was rejected without being executed."""
        self._on_result(RequestResult.REJECTED)

    def fail(self) -> None:
        """Final result: the request failed."""
        self._on_result(RequestResult.FAILED)

    def decline(self, replica_error: Any) -> None:
        """Final result: a replica rejected the request as invalid, which counts as failed."""
        self._on_result(RequestResult.FAILED)

    async def forward(self, data: bytes) -> None:
        """Discard a part of the response."""

    def finish(self) -> None:
        """Final result: the response is complete."""
        self._on_result(RequestResult.SERVED)

    def abort(self) -> None:
        """Final result: the response is truncated, which counts as failed."""
        self._on_result(RequestResult.FAILED)

    def abandon(self) -> None:
        """Final result: the request failed, because an exception was raised on its way."""
        self._on_result(RequestResult.FAILED)

    def has_disconnected(self) -> bool:
        """Returns False: a simulated client never disconnects."""
        return False

    def has_unread_input(self) -> bool:
        """Returns False: a simulated client has no connection."""
        return False


class SimulatedBackend:
    """A backend without sockets. Its simulated replicas respond after drawn times that do not depend on their load.

    A prefill takes an exponentially distributed time. The response of a decode starts after the interval of one token
    and ends after an exponentially distributed time.
    """

    def __init__(self, dispatcher: Dispatcher, deadlines: Deadlines, rng: random.Random) -> None:
        self._dispatcher = dispatcher
        self._deadlines = deadlines
        self._rng = rng

    def send(self, attempt: Attempt) -> None:
        """Simulate the attempt, if it may start."""
        if not attempt.may_start():
            return
        kinds = self._dispatcher.deployment.router.kinds
        endpoint = self._dispatcher.endpoints[attempt.replica]
        if kinds[endpoint.kind].role == Role.PREFILL:
            self._prefill(attempt)
        else:
            self._decode(attempt)

    def _prefill(self, attempt: Attempt) -> None:
        wait = self._exponential_us(SIMULATED_PREFILL_S)
        self._deadlines.schedule_after(
            wait, lambda: attempt.end(Outcome.PREFILLED, PROMPT_TOKENS // 2, may_hold_state=True)
        )

    def _decode(self, attempt: Attempt) -> None:
        def start() -> None:
            """Start the response, unless the attempt has ended, and schedule its end."""
            if attempt.start_response():
                wait = self._exponential_us(OUTPUT_TOKENS * TOKEN_INTERVAL_S)
                self._deadlines.schedule_after(wait, lambda: attempt.end(Outcome.ANSWERED, PROMPT_TOKENS // 2))

        self._deadlines.schedule_after(int(TOKEN_INTERVAL_S * US_PER_S), start)

    def _exponential_us(self, mean_s: float) -> int:
        return int(self._rng.expovariate(1 / mean_s) * US_PER_S)

    def cancel(self, attempt: Attempt) -> bool:
        """Returns True. There is no connection to close."""
        return True

    def may_have_been_sent(self, attempt: Attempt) -> bool:
        """Returns True: an attempt starts when it is sent."""
        return True

    def check_health(self, replica: int) -> None:
        """Schedule a successful health check. Every replica reports the same load."""
        self._deadlines.schedule_after(
            HEALTH_CHECK_US, lambda: self._dispatcher.health_check_ended(replica, Outcome.ANSWERED, REPLICA_LOAD)
        )

    def release(self, request: Request, replicas: Collection[int]) -> None:
        """Replicas hold nothing."""

    def release_unless_fetched(self, request: Request, replicas: Collection[int]) -> None:
        """Replicas hold nothing."""


class PoissonArrivals:
    """Requests at a hollow dispatcher as a Poisson process, and their number by result since its start."""

    def __init__(self, dispatcher: Dispatcher, deadlines: Deadlines, rate_per_s: float, rng: random.Random) -> None:
        self._dispatcher = dispatcher
        self._deadlines = deadlines
        self._rate_per_s = rate_per_s
        self._rng = rng
        self.results: dict[str, int] = dict.fromkeys(RequestResult, 0)
        dispatcher.backend = SimulatedBackend(dispatcher, deadlines, rng)
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
            max_output_tokens=2 * OUTPUT_TOKENS,
            session=self._rng.randrange(1, SESSIONS),
            prefix=self._rng.randrange(1, PREFIXES),
            prefix_tokens=PROMPT_TOKENS // 2,
            tenant=self._rng.randrange(TENANTS),
        )
        self._dispatcher.accept(spec, CountingClient(self._count_result), None)
        self._schedule()

    def _count_result(self, result: RequestResult) -> None:
        self.results[result] += 1

    def stop(self) -> None:
        """Stop the arrivals of requests."""
        self._stopped = True
