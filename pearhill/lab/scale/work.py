"""What a hollow dispatcher has under way: gauges drawn anew, or requests that engines answer by a clock alone."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Sequence
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

SETS = 24  # of drawn gauges, of which each beat takes one, turned by a drawn number of engines
READ_S = 0.45  # a read's time at the size that is planned for, with what it waits
LIGHT_READ_S = 0.15  # the same of an engine that answers by a clock, whatever others ask of it
STREAM_TOKENS, PROMPT = 2_400, 2_000  # tokens of a stream at its writer, and of a prompt at its reader
TOKEN_S, ANSWER = 0.025, 231  # between tokens; tokens of an answer: 260 streams at 45 requests a second
REPORT = ReportedLoad(memory_used=0.5, queued_ktokens=1.0)  # of every engine, whatever it has to do
Gauges = list[list[tuple[int, int]]]  # by set, by engine: tokens to be read there, under way there


class Drawn:
    """Gauges of one dispatcher at the size that is planned for: `streams` open at writers, `rate_per_s` reads."""

    def __init__(self, readers: int, writers: int, rate_per_s: float, streams: float, seed: int) -> None:
        rng = numpy.random.default_rng(seed)
        self.writers = self._sets(rng, writers, streams, STREAM_TOKENS, False)
        self.readers = self._sets(rng, readers, rate_per_s * READ_S, PROMPT, True)

    @staticmethod
    def _sets(rng: numpy.random.Generator, engines: int, mean: float, tokens: int, reads: bool) -> Gauges:
        if not engines:
            return [[] for _ in range(SETS)]
        counts = rng.poisson(mean / engines, (SETS, engines))
        loads = (counts * tokens * rng.uniform(0.6, 1.4, counts.shape)).astype(int)
        return [[(load if reads else 0, load) for load in row] for row in loads.tolist()]

    def apply(self, router: Router, rng: random.Random) -> None:
        """To the Router's own books of its work, where the talk and the reports take it from."""
        self._set(router.ready[Role.DECODE], rng.choice(self.writers), rng)
        self._set(router.ready[Role.PREFILL], rng.choice(self.readers), rng)

    @staticmethod
    def _set(engines: Sequence[ReplicaState], gauges: list[tuple[int, int]], rng: random.Random) -> None:
        if not gauges:
            return
        turn = rng.randrange(len(gauges))
        turned = gauges[turn:] + gauges[:turn]
        while len(turned) < len(engines):
            turned = turned + turned
        for engine, (queue, load) in zip(engines, turned, strict=False):
            engine.tokens_queued, engine.tokens_in_flight = queue, load


class NoClient:
    """A client of a hollow dispatcher: whatever it is told is counted."""

    def __init__(self, ended: Callable[[str], None]) -> None:
        self._ended = ended

    def reject(self, retry_after: int) -> None:
        self._ended("refused")

    def fail(self) -> None:
        self._ended("failed")

    def decline(self, said: Any) -> None:
        self._ended("failed")

    async def forward(self, data: bytes) -> None:
        pass

    def finish(self) -> None:
        self._ended("served")

    def abort(self) -> None:
        self._ended("failed")

    def has_disconnected(self) -> bool:
        return False


class NoEngines:
    """A backend whose engines answer by a clock: a reader after the read, a writer a token after another, at once
    begun and ended when the answer is out. Nothing goes over a socket."""

    def __init__(self, dispatcher: Dispatcher, deadlines: Deadlines, rng: random.Random) -> None:
        self.dispatcher, self.deadlines, self.rng = dispatcher, deadlines, rng

    def send(self, attempt: Attempt) -> None:
        if not attempt.may_start():
            return
        kinds = self.dispatcher.deployment.router.kinds
        entry = self.dispatcher.endpoints[attempt.replica]
        if kinds[entry.kind].role == Role.PREFILL:
            wait = int(self.rng.expovariate(1 / LIGHT_READ_S) * 1e6)
            self.deadlines.after(wait, lambda: attempt.end(Outcome.PREFILLED, PROMPT // 2, may_hold=True))
            return

        def begun() -> None:
            if attempt.start_response():
                answer = int(self.rng.expovariate(1 / (ANSWER * TOKEN_S)) * 1e6)
                self.deadlines.after(answer, lambda: attempt.end(Outcome.ANSWERED, PROMPT // 2))

        self.deadlines.after(int(TOKEN_S * 1e6), begun)

    def cancel(self, attempt: Attempt) -> bool:
        return True

    def has_started(self, attempt: Attempt) -> bool:
        return True

    def check_health(self, engine: int) -> None:
        self.deadlines.after(1_000, lambda: self.dispatcher.health_check_ended(engine, Outcome.ANSWERED, REPORT))

    def release(self, request: Request, engines: Collection[int]) -> None:
        pass

    def release_unless_fetched(self, request: Request, engines: Collection[int]) -> None:
        pass


class Arrivals:
    """Requests at a hollow dispatcher by an event clock of its own: a Poisson stream, openings and talks drawn."""

    def __init__(self, dispatcher: Dispatcher, deadlines: Deadlines, rate_per_s: float, rng: random.Random) -> None:
        self.dispatcher, self.deadlines, self.rate, self.rng = dispatcher, deadlines, rate_per_s, rng
        self.ended: dict[str, int] = {"served": 0, "refused": 0, "failed": 0}
        dispatcher.backend = NoEngines(dispatcher, deadlines, rng)
        self._stopped = False
        self._due = deadlines.clock()
        self._next()

    def _next(self) -> None:
        self._due += int(self.rng.expovariate(self.rate) * 1e6)
        self.deadlines.at(self._due, self._arrive)

    def _arrive(self) -> None:
        if self._stopped:
            return
        rng = self.rng
        ask = RequestSpec(
            0,
            8_000_000,
            max(64, int(rng.expovariate(1 / PROMPT))),
            2 * ANSWER,
            rng.randrange(1, 1 << 30),
            rng.randrange(1, 512),
            PROMPT // 2,
            rng.randrange(760),
        )
        self.dispatcher.accept(ask, NoClient(self._count), None)
        self._next()

    def _count(self, how: str) -> None:
        self.ended[how] += 1

    def stop(self) -> None:
        self._stopped = True
