"""Well-behaved and misbehaving clients of the platform on raw connections. They report what they see to the oracle.

Some clients arrive one by one, as an open-loop load. The others are regular clients: each keeps a connection to one
dispatcher and sends requests on it repeatedly. After SIGTERM to that dispatcher it sends them without pauses, until the
connection ends.
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
from pearhill.lab.soak.connection import ConnectionEndedError, DispatcherConnection, ListenAddress
from pearhill.lab.soak.oracle import Oracle
from pearhill.lab.soak.records import KEYED, SECOND

PATH = "/v1/chat/completions"
# The number of clients with each behaviour, of a hundred open-loop clients.
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
MAX_THINK_S = 0.3  # pause of a regular client between requests; it makes none after SIGTERM to its dispatcher
RECONNECT_S = 0.02  # after which a regular client whose connection has ended connects again
MAX_REST_S = 8.0  # for which a resting client waits for SIGTERM to its dispatcher
ANSWER_TIMEOUT_S = 30.0  # an answer that has not started by then counts as missing
PIPELINED_REQUESTS = 3
STREAM_STALL_S = 6.0


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A request class of the settings. `idempotency_window`: the window of its idempotency keys, in microseconds."""

    name: str
    idempotency: str
    idempotency_window: int
    ttl_ms: int


class Clients:
    """The open-loop and the regular clients. `addresses`: the dispatchers that get new connections now."""

    def __init__(self, seed: int, classes: list[RequestClass], oracle: Oracle, clock: Callable[[], int]) -> None:
        self.rng, self.classes, self.oracle, self.clock = random.Random(seed), classes, oracle, clock
        self.addresses: dict[str, ListenAddress] = {}
        self.outcomes: Counter[str] = Counter()
        self.shutdown_begun: dict[str, asyncio.Event] = {}  # set when a dispatcher is sent SIGTERM
        self.kill_after_s = 0.0  # for which clients may still send requests to a dispatcher after SIGTERM
        self._count = 0
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._behaviours: dict[str, Callable[[DispatcherConnection, ListenAddress], Awaitable[None]]] = {
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
        """Start open-loop clients at `rate` per second for `seconds`; `finish` waits for the open ones."""
        end = self.clock() + int(seconds * SECOND)
        while self.clock() < end:
            await asyncio.sleep(self.rng.expovariate(rate))
            if self.addresses:
                behaviour = self.rng.choices(list(BEHAVIOUR_SHARES), list(BEHAVIOUR_SHARES.values()))[0]
                self._spawn(self._run_one(behaviour, self.rng.choice(list(self.addresses.values()))))

    async def finish(self) -> None:
        """Wait for all open clients; the regular ones stop after their next answer."""
        self._stopping = True
        for shutdown in self.shutdown_begun.values():
            shutdown.set()
        for result in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:  # an exception of the soak itself is kept for `finish`
            self._tasks.discard(task)

    def add_dispatcher(self, address: ListenAddress) -> None:
        """Open new connections to this dispatcher from now on, as the front's balancer would."""
        self.addresses[address.name] = address
        if address.name not in self.shutdown_begun:
            for _ in range(REGULAR_CLIENTS):
                self._spawn(self._run_regular(address.name))
        self.shutdown_begun[address.name] = asyncio.Event()

    def dispatcher_terminated(self, name: str) -> None:
        """Record SIGTERM to a dispatcher: its regular clients send requests without a pause from now on."""
        self.shutdown_begun[name].set()

    async def _run_regular(self, name: str) -> None:
        while not self._stopping:
            address = self.addresses.get(name)
            if address is None:
                await asyncio.sleep(0.05)
                continue
            shutdown = self.shutdown_begun[name]
            try:
                connection = await DispatcherConnection.open(address)
            except (OSError, TimeoutError):
                self.outcomes["unreachable"] += 1
                await asyncio.sleep(0.05)
                continue
            try:
                while not self._stopping and not connection.ended and await self._request(connection, address):
                    await self._pause_until_shutdown(shutdown, self.rng.uniform(0, MAX_THINK_S))
                await asyncio.sleep(RECONNECT_S)
            except (OSError, TimeoutError):
                self.outcomes["regular: cut off"] += 1
            finally:
                connection.close()

    @staticmethod
    async def _pause_until_shutdown(shutdown: asyncio.Event, seconds: float) -> None:
        """Pause for so many seconds; the pause ends early if the dispatcher is sent SIGTERM."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(shutdown.wait(), seconds)

    async def _run_one(self, behaviour: str, address: ListenAddress) -> None:
        try:
            connection = await DispatcherConnection.open(address)
        except (OSError, TimeoutError):
            self.outcomes["unreachable"] += 1
            return
        try:
            await self._behaviours[behaviour](connection, address)
        except (OSError, TimeoutError, ConnectionEndedError) as error:
            self.outcomes[f"{behaviour}: {type(error).__name__}"] += 1
        finally:
            connection.close()

    # The behaviours.

    async def _plain(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        await self._request(connection, address)

    async def _kept(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        for _ in range(3):
            if connection.ended or not await self._request(connection, address):
                return
            await asyncio.sleep(self.rng.uniform(0, 1.0))

    async def _resting(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        """Send a second request at about the time at which the dispatcher may close an idle connection."""
        if await self._request(connection, address):
            await asyncio.sleep(self.rng.choice((4.95, 4.99, 5.0, 5.01)))
            if not connection.ended:
                await self._request(connection, address)

    async def _rests(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        """Send one request, and a second one at a random time between SIGTERM to the dispatcher and SIGKILL."""
        if not await self._request(connection, address):
            return
        await self._pause_until_shutdown(self.shutdown_begun[address.name], MAX_REST_S)
        await asyncio.sleep(self.rng.uniform(0, self.kill_after_s))
        if connection.ended:
            self.outcomes["ended at rest"] += 1
        else:
            await self._request(connection, address)

    async def _late_first(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        await asyncio.sleep(self.rng.uniform(0, 1.9))
        if connection.ended:
            self.outcomes["ended unused"] += 1
        else:
            connection.used = True  # it has been idle: a close may cross the request on the network
            await self._request(connection, address)

    async def _slow_writer(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        await self._request(connection, address, pieces=8)

    async def _leaves(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        request_class = self.rng.choice(self.classes)
        request, data = self._message(request_class)
        self._record_sent(request, request_class, address)
        connection.writer.write(data)
        await asyncio.sleep(self.rng.uniform(0, 0.6))
        self.oracle.clients.client_closed(self.clock(), request)
        self.outcomes["left"] += 1

    async def _pipelined(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        sent: list[str] = []
        for _ in range(PIPELINED_REQUESTS):
            request_class = self.rng.choice(self.classes)
            request, data = self._message(request_class)
            self._record_sent(request, request_class, address)
            connection.writer.write(data)
            if sent:
                self.oracle.clients.pipelined(request, sent[-1])
            sent.append(request)
        for request in sent:
            if not await self._read_answer(connection, request, None):
                break
        for request in sent:
            self.oracle.clients.client_closed(self.clock(), request)

    async def _half(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        """Send a part of a request, and keep the connection open."""
        _, data = self._message(self.classes[0])
        connection.writer.write(data[: self.rng.randrange(1, len(data))])
        await self._wait_until_ended(connection, address)

    async def _silent(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        await self._wait_until_ended(connection, address)

    async def _wait_until_ended(self, connection: DispatcherConnection, address: ListenAddress) -> None:
        since = self.clock()
        try:
            await asyncio.wait_for(connection.reader.read(1), ANSWER_TIMEOUT_S)
            self.outcomes["sent away"] += 1
        except TimeoutError:
            self.outcomes["never sent away"] += 1
        self.oracle.clients.bad_client_ended(self.clock(), address.name, since)

    # Sending one request.

    def _message(self, request_class: RequestClass, request: str = "") -> tuple[str, bytes]:
        self._count += 1
        request = request or f"soak-{self._count:06x}"
        prompt = self.rng.choice((300, 900, 3000, 8000))
        body = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "w" * 400}]})
        key = f"Idempotency-Key: {request}\r\n" if request_class.idempotency == KEYED else ""
        head = (
            f"POST {PATH} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {request}\r\nRequest-Class: {request_class.name}\r\n"
            f"Affinity-Key: {self.rng.randrange(40):x}\r\nRequest-Timeout-Ms: {request_class.ttl_ms}\r\n"
            f"Request-Info: prompt_len={prompt},max_out=100\r\n{key}Content-Length: {len(body)}\r\n\r\n"
        )
        return request, (head + body).encode()

    def _record_sent(self, request: str, request_class: RequestClass, address: ListenAddress) -> None:
        self.oracle.clients.request_sent(
            self.clock(),
            request,
            address.name,
            request_class.idempotency,
            request_class.idempotency_window,
            request_class.ttl_ms * 1000,
        )

    async def _request(self, connection: DispatcherConnection, address: ListenAddress, pieces: int = 1) -> bool:
        """Send one request and read its answer, and return whether it was complete and the connection is reusable."""
        request_class = self.rng.choice(self.classes)
        request, data = self._message(request_class)
        size = len(data) // pieces + 1
        for at in range(0, len(data), size):
            if at:
                await asyncio.sleep(0.05)
                if connection.ended:  # the request was never written completely, so that no dispatcher has accepted it
                    self.outcomes["ended half-written"] += 1
                    return False
            connection.writer.write(data[at : at + size])
        self._record_sent(request, request_class, address)
        self.oracle.clients.note(self.clock(), request, f"written to {address.name} on {connection.description}")
        return await self._read_answer(connection, request, (request_class, address))

    async def _read_answer(
        self,
        connection: DispatcherConnection,
        request: str,
        resend_arguments: tuple[RequestClass, ListenAddress] | None,
    ) -> bool:
        """Read an answer, and return whether it was complete and the connection is reusable.

        `again`: the class and the dispatcher with which the request is sent again if its connection was closed before
        the request was read; None if it is not to be sent again.
        """
        connection.expect_response()
        used, connection.used = connection.used, True
        status, began = 0, False
        try:
            while True:
                event = await connection.next_event(STREAM_STALL_S if began else ANSWER_TIMEOUT_S)
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
                self.oracle.clients.answer_broken(self.clock(), request, connection.port)
                self.outcomes["broken"] += 1
                return False
            may_resend = self.oracle.clients.connection_ended(
                self.clock(), request, connection.port, used, connection.connecting_since
            )
            if may_resend and resend_arguments:
                return await self._resend(request, *resend_arguments)
        except TimeoutError:
            self.oracle.clients.answer_missing(
                self.clock(), request, "no data on a started stream for 6 s" if began else "no answer within 30 s"
            )
        self.oracle.clients.client_closed(self.clock(), request)
        return False

    async def _resend(self, request: str, request_class: RequestClass, address: ListenAddress) -> bool:
        """Send a request again, on a new connection to a random dispatcher, another one if there is any."""
        addresses = [each for each in self.addresses.values() if each.name != address.name] or list(
            self.addresses.values()
        )
        self.outcomes["sent once more"] += 1
        try:
            fresh = await DispatcherConnection.open(self.rng.choice(addresses))
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
    def _address_of(connection: DispatcherConnection, addresses: list[ListenAddress]) -> ListenAddress:
        port = connection.writer.get_extra_info("peername")[1]
        return next(address for address in addresses if address.port == port)
