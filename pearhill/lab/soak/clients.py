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
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from pearhill.http1.client import Data, End, Head
from pearhill.lab.soak.connection import ConnectionEndedError, Exchange, ListenAddress
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.records import KEYED, SECOND

PATH = "/v1/chat/completions"
# Of a hundred clients, how many behave so.
BEHAVIOUR_SHARES = {
    "plain": 42,
    "kept": 12,
    "leaves": 16,
    "pipelined": 4,
    "half": 3,
    "silent": 3,
    "late-first": 5,
    "resting": 4,
    "slow-writer": 3,
    "rests": 8,
}
REGULAR_CLIENTS = 3  # of each dispatcher
MAX_THINK_S = 0.3  # of a regular client; none once its dispatcher is to end
RECONNECT_S = 0.02  # after which a regular client whose connection has ended comes again
MAX_REST_S = 8.0  # for so long a resting client waits for its dispatcher's end
ANSWER_TIMEOUT_S = 30.0  # an answer that has not come by then never comes
PIPELINED_REQUESTS = 3
STREAM_STALL_S = 6.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests of the settings. `window`: of its idempotency keys, in microseconds."""

    name: str
    effect: str
    window: int
    ttl_ms: int


class Clients:
    """Open-loop arrivals. `addresses`: of the dispatchers to which new connections go now."""

    def __init__(self, seed: int, classes: list[RequestClass], oracle: Oracle, clock: Callable[[], int]) -> None:
        self.rng, self.classes, self.oracle, self.clock = random.Random(seed), classes, oracle, clock
        self.addresses: dict[str, ListenAddress] = {}
        self.outcomes: Counter[str] = Counter()
        self.shutdown_begun: dict[str, asyncio.Event] = {}  # set once a dispatcher has been told to end
        self.kill_after_s = 0.0  # for so long clients may still ask of a dispatcher that is to end
        self._count = 0
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._behaviours: dict[str, Callable[[Exchange, ListenAddress], Awaitable[None]]] = {
            "plain": self._plain,
            "kept": self._kept,
            "leaves": self._leaves,
            "pipelined": self._pipelined,
            "half": self._half,
            "silent": self._silent,
            "late-first": self._late_first,
            "resting": self._resting,
            "slow-writer": self._slow_writer,
            "rests": self._rests,
        }

    async def run(self, rate: float, seconds: float) -> None:
        """Requests for so long, and then the wait for all that are still open."""
        end = self.clock() + int(seconds * SECOND)
        while self.clock() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.addresses:
                behaviour = self.rng.choices(list(BEHAVIOUR_SHARES), list(BEHAVIOUR_SHARES.values()))[0]
                self._spawn(self._run_one(behaviour, self.rng.choice(list(self.addresses.values()))))

    async def finish(self) -> None:
        """Wait for all that are still open; the regulars stop with their next answer."""
        self._stopping = True
        for ending in self.shutdown_begun.values():
            ending.set()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:  # a fault of the soak itself is kept for `finish`
            self._tasks.discard(task)

    def add_dispatcher(self, address: ListenAddress) -> None:
        """The front gives out connections to this dispatcher from now on."""
        self.addresses[address.name] = address
        if address.name not in self.shutdown_begun:
            for _ in range(REGULAR_CLIENTS):
                self._spawn(self._run_regular(address.name))
        self.shutdown_begun[address.name] = asyncio.Event()

    def dispatcher_terminated(self, name: str) -> None:
        """The dispatcher was sent SIGTERM: its regular clients ask without a pause from now on."""
        self.shutdown_begun[name].set()

    async def _run_regular(self, name: str) -> None:
        while not self._stopping:
            address = self.addresses.get(name)
            if address is None:
                await asyncio.sleep(0.05)
                continue
            ending = self.shutdown_begun[name]
            try:
                exchange = await Exchange.open(address)
            except (OSError, TimeoutError):
                self.outcomes["unreachable"] += 1
                await asyncio.sleep(0.05)
                continue
            try:
                while not self._stopping and not exchange.ended and await self._request(exchange, address):
                    await self._pause_until_shutdown(ending, self.rng.uniform(0, MAX_THINK_S))
                await asyncio.sleep(RECONNECT_S)
            except (OSError, TimeoutError):
                self.outcomes["regular: cut off"] += 1
            finally:
                exchange.close()

    @staticmethod
    async def _pause_until_shutdown(ending: asyncio.Event, seconds: float) -> None:
        """Cut short by the dispatcher's end."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(ending.wait(), seconds)

    async def _run_one(self, behaviour: str, address: ListenAddress) -> None:
        try:
            exchange = await Exchange.open(address)
        except (OSError, TimeoutError):
            self.outcomes["unreachable"] += 1
            return
        try:
            await self._behaviours[behaviour](exchange, address)
        except (OSError, TimeoutError, ConnectionEndedError) as error:
            self.outcomes[f"{behaviour}: {type(error).__name__}"] += 1
        finally:
            exchange.close()

    # What they do.

    async def _plain(self, exchange: Exchange, address: ListenAddress) -> None:
        await self._request(exchange, address)

    async def _kept(self, exchange: Exchange, address: ListenAddress) -> None:
        for _ in range(3):
            if exchange.ended or not await self._request(exchange, address):
                return
            await asyncio.sleep(self.rng.uniform(0, 1.0))

    async def _resting(self, exchange: Exchange, address: ListenAddress) -> None:
        """Asks again just as the dispatcher may end an idle connection."""
        if await self._request(exchange, address):
            await asyncio.sleep(self.rng.choice((4.95, 4.99, 5.0, 5.01)))
            if not exchange.ended:
                await self._request(exchange, address)

    async def _rests(self, exchange: Exchange, address: ListenAddress) -> None:
        """Asks once, and again somewhere between its dispatcher's signal to end and the kill."""
        if not await self._request(exchange, address):
            return
        await self._pause_until_shutdown(self.shutdown_begun[address.name], MAX_REST_S)
        await asyncio.sleep(self.rng.uniform(0, self.kill_after_s))
        if exchange.ended:
            self.outcomes["ended at rest"] += 1
        else:
            await self._request(exchange, address)

    async def _late_first(self, exchange: Exchange, address: ListenAddress) -> None:
        await asyncio.sleep(self.rng.uniform(0, 1.9))
        if exchange.ended:
            self.outcomes["ended unused"] += 1
        else:
            exchange.used = True  # it has been idle: a close may cross what comes now
            await self._request(exchange, address)

    async def _slow_writer(self, exchange: Exchange, address: ListenAddress) -> None:
        await self._request(exchange, address, pieces=8)

    async def _leaves(self, exchange: Exchange, address: ListenAddress) -> None:
        request_class = self.rng.choice(self.classes)
        request, data = self._message(request_class)
        self._record_sent(request, request_class, address)
        exchange.writer.write(data)
        await asyncio.sleep(self.rng.uniform(0, 0.6))
        self.oracle.clients.client_closed(self.clock(), request)
        self.outcomes["left"] += 1

    async def _pipelined(self, exchange: Exchange, address: ListenAddress) -> None:
        sent = []
        for _ in range(PIPELINED_REQUESTS):
            request_class = self.rng.choice(self.classes)
            request, data = self._message(request_class)
            self._record_sent(request, request_class, address)
            exchange.writer.write(data)
            sent.append(request)
        for request in sent:
            if not await self._read_answer(exchange, request, None):
                break
        for request in sent:
            self.oracle.clients.client_closed(self.clock(), request)

    async def _half(self, exchange: Exchange, address: ListenAddress) -> None:
        """Stops in the middle of its request, and stays."""
        _, data = self._message(self.classes[0])
        exchange.writer.write(data[: self.rng.randrange(1, len(data))])
        await self._wait_until_ended(exchange, address)

    async def _silent(self, exchange: Exchange, address: ListenAddress) -> None:
        await self._wait_until_ended(exchange, address)

    async def _wait_until_ended(self, exchange: Exchange, address: ListenAddress) -> None:
        since = self.clock()
        try:
            await asyncio.wait_for(exchange.reader.read(1), ANSWER_TIMEOUT_S)
            self.outcomes["sent away"] += 1
        except TimeoutError:
            self.outcomes["never sent away"] += 1
        self.oracle.clients.bad_client_ended(self.clock(), address.name, since)

    # One request.

    def _message(self, request_class: RequestClass, request: str = "") -> tuple[str, bytes]:
        self._count += 1
        request = request or f"soak-{self._count:06x}"
        prompt = self.rng.choice((300, 900, 3000, 8000))
        body = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "w" * 400}]})
        key = f"Idempotency-Key: {request}\r\n" if request_class.effect == KEYED else ""
        head = (
            f"POST {PATH} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {request}\r\nRequest-Class: {request_class.name}\r\n"
            f"Affinity-Key: {self.rng.randrange(40):x}\r\nRequest-Timeout-Ms: {request_class.ttl_ms}\r\n"
            f"Request-Info: prompt_len={prompt},max_out=100\r\n{key}Content-Length: {len(body)}\r\n\r\n"
        )
        return request, (head + body).encode()

    def _record_sent(self, request: str, request_class: RequestClass, address: ListenAddress) -> None:
        self.oracle.clients.request_sent(
            self.clock(), request, address.name, request_class.effect, request_class.window, request_class.ttl_ms * 1000
        )

    async def _request(self, exchange: Exchange, address: ListenAddress, pieces: int = 1) -> bool:
        """True: the answer was whole, and the connection may be used again."""
        request_class = self.rng.choice(self.classes)
        request, data = self._message(request_class)
        size = len(data) // pieces + 1
        for at in range(0, len(data), size):
            if at:
                await asyncio.sleep(0.05)
                if exchange.ended:  # it was never written whole, so that nobody has taken it
                    self.outcomes["ended half-written"] += 1
                    return False
            exchange.writer.write(data[at : at + size])
        self._record_sent(request, request_class, address)
        self.oracle.clients.note(self.clock(), request, f"written to {address.name} on {exchange.description}")
        return await self._read_answer(exchange, request, (request_class, address))

    async def _read_answer(
        self, exchange: Exchange, request: str, again: tuple[RequestClass, ListenAddress] | None
    ) -> bool:
        """True: it was whole, and the connection may be used again. `again`: how the request is sent once more, if its
        connection was closed before it was read; None: it is not."""
        exchange.expect_response()
        used, exchange.used = exchange.used, True
        status, began = 0, False
        try:
            while True:
                event = await exchange.next_event(STREAM_STALL_S if began else ANSWER_TIMEOUT_S)
                match event:
                    case Head(code):
                        status = code
                        self.oracle.clients.answer_started(self.clock(), request, code)
                    case Data(data):
                        if began := status == 200:
                            self.oracle.clients.answer_received(request, data)
                    case End(reusable):
                        self.oracle.clients.answer_completed(self.clock(), request)
                        self.outcomes[str(status)] += 1
                        return reusable and status == 200
        except (OSError, ConnectionEndedError):
            if status:
                self.oracle.clients.answer_broken(self.clock(), request, exchange.port)
                self.outcomes["broken"] += 1
                return False
            if self.oracle.clients.connection_ended(self.clock(), request, exchange.port, used) and again:
                return await self._resend(request, *again)
        except TimeoutError:
            self.oracle.clients.answer_missing(
                self.clock(), request, "a stream stood still for 6 s" if began else "never answered"
            )
        self.oracle.clients.client_closed(self.clock(), request)
        return False

    async def _resend(self, request: str, request_class: RequestClass, address: ListenAddress) -> bool:
        """On a new connection, to whichever dispatcher the front gives it."""
        addresses = [each for each in self.addresses.values() if each.name != address.name] or list(
            self.addresses.values()
        )
        self.outcomes["sent once more"] += 1
        try:
            fresh = await Exchange.open(self.rng.choice(addresses))
        except (OSError, TimeoutError, IndexError):
            self.oracle.clients.client_closed(self.clock(), request)
            return False
        try:
            self._record_sent(request, request_class, self._address_of(fresh, addresses))
            fresh.writer.write(self._message(request_class, request)[1])
            await self._read_answer(fresh, request, None)
        finally:
            fresh.close()
        return False

    @staticmethod
    def _address_of(exchange: Exchange, addresses: list[ListenAddress]) -> ListenAddress:
        port = exchange.writer.get_extra_info("peername")[1]
        return next(address for address in addresses if address.port == port)
