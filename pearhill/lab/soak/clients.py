"""Clients of the platform, good and bad, on raw connections; what each saw goes to the oracle."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from pearhill.http1.client import ClientConnection, Data, End, Event, Head, Lost
from pearhill.lab.soak.oracle import KEYED, SECOND, Oracle

PATH = "/v1/chat/completions"
BEHAVIOURS = ("plain", "kept", "leaves", "pipelined", "half", "silent", "late-first", "resting", "slow-writer")
SHARES = (46, 16, 14, 4, 3, 3, 5, 6, 3)
BAD_WITHIN_S = 3.0
NEVER_S = 30.0  # an answer that has not come by then never comes
PIPELINED = 3
STREAM_STALL_S = 6.0


@dataclass(frozen=True, slots=True)
class ClassOfRequests:
    name: str
    effect: str
    window: int
    ttl_ms: int


class Closed(Exception):
    """The connection ended before the answer was whole."""


@dataclass(slots=True)
class Door:
    """Where a dispatcher listens now."""

    name: str
    host: str
    port: int


class Exchange:
    """One connection to a dispatcher."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._machine = ClientConnection()
        self._events: list[Event] = []

    @classmethod
    async def open(cls, door: Door) -> Exchange:
        return cls(*await asyncio.wait_for(asyncio.open_connection(door.host, door.port), 5))

    def expect(self) -> None:
        self._machine.expect()

    async def next(self, within_s: float) -> Event:
        """Closed or TimeoutError: nothing more comes, or not in time."""
        while not self._events:
            data = await asyncio.wait_for(self.reader.read(1 << 16), within_s)
            self._events = self._machine.feed(data) if data else [Lost("closed")]
        event = self._events.pop(0)
        if isinstance(event, Lost):
            raise Closed(event.why)
        return event

    def close(self) -> None:
        self._machine.close()
        self.writer.transport.abort()


class Clients:
    """Open-loop arrivals. `doors` are the dispatchers that the front gives connections to now."""

    def __init__(self, seed: int, classes: list[ClassOfRequests], oracle: Oracle, clock: Callable[[], int]) -> None:
        self.rng, self.classes, self.oracle, self.clock = random.Random(seed), classes, oracle, clock
        self.doors: dict[str, Door] = {}
        self.outcomes: Counter[str] = Counter()
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, rate: float, seconds: float) -> None:
        """Requests for so long, and then the wait for all that are still open."""
        end = self.clock() + int(seconds * SECOND)
        while self.clock() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.doors:
                how = self.rng.choices(BEHAVIOURS, SHARES)[0]
                task = asyncio.ensure_future(self._one(how, self.rng.choice(list(self.doors.values()))))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _one(self, how: str, door: Door) -> None:
        try:
            exchange = await Exchange.open(door)
        except (OSError, TimeoutError):
            self.outcomes["unreachable"] += 1
            return
        try:
            await getattr(self, "_" + how.replace("-", "_"))(exchange, door)
        except (OSError, TimeoutError, Closed) as error:
            self.outcomes[f"{how}: {type(error).__name__}"] += 1
        finally:
            exchange.close()

    # What they do.

    async def _plain(self, exchange: Exchange, door: Door) -> None:
        await self._ask(exchange, door)

    async def _kept(self, exchange: Exchange, door: Door) -> None:
        for number in range(3):
            if not await self._ask(exchange, door, fresh=number == 0):
                return
            await asyncio.sleep(self.rng.uniform(0, 1.0))

    async def _resting(self, exchange: Exchange, door: Door) -> None:
        """Asks again just as the dispatcher may end an idle connection."""
        if await self._ask(exchange, door):
            await asyncio.sleep(self.rng.choice((4.95, 4.99, 5.0, 5.01)))
            await self._ask(exchange, door, fresh=False)

    async def _late_first(self, exchange: Exchange, door: Door) -> None:
        await asyncio.sleep(self.rng.uniform(0, 1.9))
        if exchange.reader.at_eof() or exchange.reader.exception():  # it has ended: a client sees that
            self.outcomes["ended unused"] += 1
        else:
            await self._ask(exchange, door)

    async def _slow_writer(self, exchange: Exchange, door: Door) -> None:
        await self._ask(exchange, door, pieces=8)

    async def _leaves(self, exchange: Exchange, door: Door) -> None:
        kind = self.rng.choice(self.classes)
        request, data = self._message(kind)
        self._asked(request, kind, door)
        exchange.writer.write(data)
        await asyncio.sleep(self.rng.uniform(0, 0.6))
        self.oracle.client_closed(self.clock(), request)
        self.outcomes["left"] += 1

    async def _pipelined(self, exchange: Exchange, door: Door) -> None:
        sent = []
        for _ in range(PIPELINED):
            kind = self.rng.choice(self.classes)
            request, data = self._message(kind)
            self._asked(request, kind, door)
            exchange.writer.write(data)
            sent.append(request)
        for request in sent:
            if not await self._answer(exchange, request, again=None):
                break
        for request in sent:
            self.oracle.client_closed(self.clock(), request)

    async def _half(self, exchange: Exchange, door: Door) -> None:
        """Stops in the middle of its request, and stays."""
        _, data = self._message(self.classes[0])
        exchange.writer.write(data[: self.rng.randrange(1, len(data))])
        await self._is_sent_away(exchange, door)

    async def _silent(self, exchange: Exchange, door: Door) -> None:
        await self._is_sent_away(exchange, door)

    async def _is_sent_away(self, exchange: Exchange, door: Door) -> None:
        slack = self.oracle.rules.slack / SECOND
        try:
            await asyncio.wait_for(exchange.reader.read(1), BAD_WITHIN_S + slack)
            self.outcomes["sent away"] += 1
        except TimeoutError:
            self.oracle.process_fault(self.clock(), door.name, "a client that stopped half-way had no answer in 3 s")

    # One request.

    def _message(self, kind: ClassOfRequests, request: str = "") -> tuple[str, bytes]:
        self._count += 1
        request = request or f"soak-{self._count:06x}"
        prompt = self.rng.choice((300, 900, 3000, 8000))
        body = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "w" * 400}]})
        key = f"Idempotency-Key: {request}\r\n" if kind.effect == KEYED else ""
        head = (
            f"POST {PATH} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {request}\r\nRequest-Class: {kind.name}\r\n"
            f"Affinity-Key: {self.rng.randrange(40):x}\r\nRequest-Timeout-Ms: {kind.ttl_ms}\r\n"
            f"Request-Info: prompt_len={prompt},max_out=100\r\n{key}Content-Length: {len(body)}\r\n\r\n"
        )
        return request, (head + body).encode()

    def _asked(self, request: str, kind: ClassOfRequests, door: Door) -> None:
        self.oracle.asked(self.clock(), request, door.name, kind.effect, kind.window, kind.ttl_ms * 1000)

    async def _ask(self, exchange: Exchange, door: Door, fresh: bool = True, pieces: int = 1) -> bool:
        """True: the answer was whole, and the connection may be used again."""
        kind = self.rng.choice(self.classes)
        request, data = self._message(kind)
        size = len(data) // pieces + 1
        for at in range(0, len(data), size):
            if at:
                await asyncio.sleep(0.05)
            exchange.writer.write(data[at : at + size])
        self._asked(request, kind, door)
        return await self._answer(exchange, request, None if fresh else (kind, door))

    async def _answer(self, exchange: Exchange, request: str, again: tuple[ClassOfRequests, Door] | None) -> bool:
        """`again`: the connection may have been closed before the request was read, and it is sent once more."""
        exchange.expect()
        status, began = 0, False
        try:
            while True:
                event = await exchange.next(STREAM_STALL_S if began else NEVER_S)
                match event:
                    case Head(code):
                        status = code
                        self.oracle.answered(self.clock(), request, refused=code in (429, 503))
                    case Data():
                        began = status == 200
                    case End(reusable):
                        self.outcomes[str(status)] += 1
                        return reusable and status == 200
        except (OSError, Closed):
            if status == 200:
                self.outcomes["broken"] += 1
            elif again:
                return await self._once_more(request, *again)
            else:
                self.oracle.lost(self.clock(), request, "its connection ended with no answer")
        except TimeoutError:
            self.oracle.lost(self.clock(), request, "a stream stood still for 6 s" if began else "never answered")
        self.oracle.client_closed(self.clock(), request)
        return False

    async def _once_more(self, request: str, kind: ClassOfRequests, door: Door) -> bool:
        now = self.doors.get(door.name)
        if now is None:  # it is being restarted: its front knows of no other here
            self.oracle.client_closed(self.clock(), request)
            return False
        try:
            fresh = await Exchange.open(now)
        except (OSError, TimeoutError):
            self.oracle.client_closed(self.clock(), request)
            return False
        try:
            self._asked(request, kind, now)
            fresh.writer.write(self._message(kind, request)[1])
            await self._answer(fresh, request, None)
        finally:
            fresh.close()
        return False
