"""Clients of the platform, good and bad, on raw connections; what each saw goes to the oracle.

Some come one by one, as an open load. Others are regulars: each keeps its connection to one dispatcher and asks on it
again and again, and once that dispatcher has been told to end, without a pause, for as long as the connection stays.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from pearhill.http1.client import ClientConnection, Data, End, Event, Head, Lost
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.records import KEYED, SECOND

PATH = "/v1/chat/completions"
BEHAVIOURS = ("plain", "kept", "leaves", "pipelined", "half", "silent", "late-first", "resting", "slow-writer", "rests")
SHARES = (42, 12, 16, 4, 3, 3, 5, 4, 3, 8)
REGULARS = 3  # to each dispatcher
THINK_S = 0.3  # of a regular, at most; none once its dispatcher is to end
RETRY_S = 0.02  # of a regular whose connection has ended
RESTS_S = 8.0  # for so long a resting client waits for its dispatcher's end
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
        self.used = False  # it has carried a request
        self.port: int = writer.get_extra_info("sockname")[1]

    @classmethod
    async def open(cls, door: Door) -> Exchange:
        return cls(*await asyncio.wait_for(asyncio.open_connection(door.host, door.port), 5))

    @property
    def over(self) -> bool:
        """Its end is there already: a client sees that, and does not ask on it."""
        return self.reader.at_eof() or self.reader.exception() is not None

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
        self.ending: dict[str, asyncio.Event] = {}  # set once a dispatcher has been told to end
        self.last_request_s = 0.0  # for so long clients may still ask of a dispatcher that is to end
        self._count = 0
        self._over = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, rate: float, seconds: float) -> None:
        """Requests for so long, and then the wait for all that are still open."""
        end = self.clock() + int(seconds * SECOND)
        while self.clock() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.doors:
                how = self.rng.choices(BEHAVIOURS, SHARES)[0]
                self._spawn(self._one(how, self.rng.choice(list(self.doors.values()))))

    async def finish(self) -> None:
        """Wait for all that are still open; the regulars stop with their next answer."""
        self._over = True
        for ending in self.ending.values():
            ending.set()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:  # a fault of the soak itself is kept for `finish`
            self._tasks.discard(task)

    def opened(self, door: Door) -> None:
        """The front gives out connections to this dispatcher from now on."""
        self.doors[door.name] = door
        if door.name not in self.ending:
            for _ in range(REGULARS):
                self._spawn(self._regular(door.name))
        self.ending[door.name] = asyncio.Event()

    def told_to_end(self, name: str) -> None:
        self.ending[name].set()

    async def _regular(self, name: str) -> None:
        while not self._over:
            door = self.doors.get(name)
            if door is None:
                await asyncio.sleep(0.05)
                continue
            ending = self.ending[name]
            try:
                exchange = await Exchange.open(door)
            except (OSError, TimeoutError):
                self.outcomes["unreachable"] += 1
                await asyncio.sleep(0.05)
                continue
            try:
                while not self._over and not exchange.over and await self._ask(exchange, door):
                    await self._pause(ending, self.rng.uniform(0, THINK_S))
                await asyncio.sleep(RETRY_S)
            except (OSError, TimeoutError):
                self.outcomes["regular: cut off"] += 1
            finally:
                exchange.close()

    @staticmethod
    async def _pause(ending: asyncio.Event, seconds: float) -> None:
        """Cut short by the dispatcher's end."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(ending.wait(), seconds)

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
        for _ in range(3):
            if exchange.over or not await self._ask(exchange, door):
                return
            await asyncio.sleep(self.rng.uniform(0, 1.0))

    async def _resting(self, exchange: Exchange, door: Door) -> None:
        """Asks again just as the dispatcher may end an idle connection."""
        if await self._ask(exchange, door):
            await asyncio.sleep(self.rng.choice((4.95, 4.99, 5.0, 5.01)))
            if not exchange.over:
                await self._ask(exchange, door)

    async def _rests(self, exchange: Exchange, door: Door) -> None:
        """Asks once, and again somewhere between its dispatcher's signal to end and the kill."""
        if not await self._ask(exchange, door):
            return
        await self._pause(self.ending[door.name], RESTS_S)
        await asyncio.sleep(self.rng.uniform(0, self.last_request_s))
        if exchange.over:
            self.outcomes["ended at rest"] += 1
        else:
            await self._ask(exchange, door)

    async def _late_first(self, exchange: Exchange, door: Door) -> None:
        await asyncio.sleep(self.rng.uniform(0, 1.9))
        if exchange.over:
            self.outcomes["ended unused"] += 1
        else:
            exchange.used = True  # it has been idle: a close may cross what comes now
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
            if not await self._answer(exchange, request, None):
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
        since = self.clock()
        try:
            await asyncio.wait_for(exchange.reader.read(1), NEVER_S)
            self.outcomes["sent away"] += 1
        except TimeoutError:
            self.outcomes["never sent away"] += 1
        self.oracle.sent_away(self.clock(), door.name, since)

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

    async def _ask(self, exchange: Exchange, door: Door, pieces: int = 1) -> bool:
        """True: the answer was whole, and the connection may be used again."""
        kind = self.rng.choice(self.classes)
        request, data = self._message(kind)
        size = len(data) // pieces + 1
        for at in range(0, len(data), size):
            if at:
                await asyncio.sleep(0.05)
                if exchange.over:  # it was never written whole, so that nobody has taken it
                    self.outcomes["ended half-written"] += 1
                    return False
            exchange.writer.write(data[at : at + size])
        self._asked(request, kind, door)
        return await self._answer(exchange, request, (kind, door))

    async def _answer(self, exchange: Exchange, request: str, again: tuple[ClassOfRequests, Door] | None) -> bool:
        """True: it was whole, and the connection may be used again. `again`: how the request is sent once more, if its
        connection was closed before it was read; None: it is not."""
        exchange.expect()
        used, exchange.used = exchange.used, True
        status, began = 0, False
        try:
            while True:
                event = await exchange.next(STREAM_STALL_S if began else NEVER_S)
                match event:
                    case Head(code):
                        status = code
                        self.oracle.answered(self.clock(), request, code)
                    case Data(data):
                        if began := status == 200:
                            self.oracle.received(request, data)
                    case End(reusable):
                        self.oracle.finished(self.clock(), request)
                        self.outcomes[str(status)] += 1
                        return reusable and status == 200
        except (OSError, Closed):
            if status:
                self.oracle.stream_broke(self.clock(), request, exchange.port)
                self.outcomes["broken"] += 1
                return False
            if self.oracle.ended_unanswered(self.clock(), request, exchange.port, used) and again:
                return await self._once_more(request, *again)
        except TimeoutError:
            self.oracle.lost(self.clock(), request, "a stream stood still for 6 s" if began else "never answered")
        self.oracle.client_closed(self.clock(), request)
        return False

    async def _once_more(self, request: str, kind: ClassOfRequests, door: Door) -> bool:
        """On a new connection, to whichever dispatcher the front gives it."""
        doors = [each for each in self.doors.values() if each.name != door.name] or list(self.doors.values())
        self.outcomes["sent once more"] += 1
        try:
            fresh = await Exchange.open(self.rng.choice(doors))
        except (OSError, TimeoutError, IndexError):
            self.oracle.client_closed(self.clock(), request)
            return False
        try:
            self._asked(request, kind, self._door_of(fresh, doors))
            fresh.writer.write(self._message(kind, request)[1])
            await self._answer(fresh, request, None)
        finally:
            fresh.close()
        return False

    @staticmethod
    def _door_of(exchange: Exchange, doors: list[Door]) -> Door:
        port = exchange.writer.get_extra_info("peername")[1]
        return next(door for door in doors if door.port == port)


class Crowd:
    """Clients that connect to one dispatcher, ask for nothing, and come again when they are sent away."""

    def __init__(self, door: Door, size: int) -> None:
        self.door, self.size = door, size
        self._tasks: list[asyncio.Task[None]] = []

    def gather(self) -> None:
        self._tasks = [asyncio.ensure_future(self._stand()) for _ in range(self.size)]

    async def _stand(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(self.door.host, self.door.port)
                try:
                    await reader.read(1)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.1)

    def disperse(self) -> None:
        for task in self._tasks:
            task.cancel()
