"""Which bytes of a server belong to which exchange, over random orders of what exchanges and servers do.

The server names the request in each response, and may send a response twice, the second one within the reuse delay.
"""

import asyncio
import socket
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from pearhill.core.deadlines import Deadlines
from pearhill.net.exchange import CollectedResponse
from pearhill.net.pool import REUSE_DELAY_US, ConnectionPurpose
from pearhill.net.pooled_connection import PooledConnection
from tests.net.test_pool import make_pool, run

INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
MAX_CONNECTIONS = 3
MIN_STEPS = 15  # of each order; with fewer, most orders have no second response after a new exchange has begun


@dataclass(frozen=True)
class Send:
    """Begin an exchange on a connection of the pool."""

    purpose: ConnectionPurpose


@dataclass(frozen=True)
class Respond:
    """The server responds to an open exchange, and `second_after` microseconds later once more, unless it is None."""

    number: int
    interim: bool
    second_after: int | None


@dataclass(frozen=True)
class Close:
    """An open exchange is cancelled, or its server closes the connection."""

    number: int
    by_server: bool


@dataclass(frozen=True)
class Wait:
    """Time passes."""

    microseconds: int


numbers = st.integers(0, 9)
steps = st.one_of(
    st.builds(Send, st.sampled_from(ConnectionPurpose)),
    st.builds(Respond, numbers, st.booleans(), st.none() | st.integers(0, REUSE_DELAY_US - 1)),
    st.builds(Close, numbers, st.booleans()),
    st.builds(Wait, st.sampled_from((1, REUSE_DELAY_US // 3, REUSE_DELAY_US))),
)


@dataclass
class OpenExchange:
    name: bytes
    connection: PooledConnection
    response: CollectedResponse


class Model:
    """A pool, and a server whose sockets the test writes to. Only an exchange's own response may reach it."""

    def __init__(self) -> None:
        self.now = 0
        self.pool = make_pool(Deadlines(lambda: self.now), max_connections=MAX_CONNECTIONS, idle_timeout=10**9)
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.peers: dict[tuple[str, int], socket.socket] = {}  # by the address of the client's socket
        self.open: list[OpenExchange] = []
        self.seconds: list[tuple[int, PooledConnection, bytes]] = []  # second responses: when, where and what
        self.begun = 0

    async def take(self, step: Send | Respond | Close | Wait) -> None:
        match step:
            case Send(purpose):
                await self.send(purpose)
            case Respond(number, interim, second_after) if self.open:
                await self.respond(self.open.pop(number % len(self.open)), interim, second_after)
            case Close(number, by_server) if self.open:
                await self.close_exchange(self.open.pop(number % len(self.open)), by_server)
            case Wait(microseconds):
                await self.wait(microseconds)

    async def send(self, purpose: ConnectionPurpose) -> None:
        if len(self.open) == MAX_CONNECTIONS:
            return
        connection = await self.pool.acquire(self.server.getsockname(), purpose)
        if connection.exchanges == 0:
            peer, address = self.server.accept()
            self.peers[address] = peer
        self.begun += 1
        exchange = OpenExchange(b"r%d" % self.begun, connection, CollectedResponse(self.pool.loop, 1000))
        await connection.send(exchange.response, lambda: b"GET / HTTP/1.1\r\n\r\n")
        self.open.append(exchange)

    async def respond(self, exchange: OpenExchange, interim: bool, second_after: int | None) -> None:
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(exchange.name), exchange.name)
        self.write(exchange.connection, INTERIM * interim + data)
        assert await exchange.response.done is None
        assert exchange.response.body == exchange.name
        if second_after is not None:
            self.seconds.append((self.now + second_after, exchange.connection, data))

    async def close_exchange(self, exchange: OpenExchange, by_server: bool) -> None:
        if by_server:
            self.peers[exchange.connection.sock.getsockname()].shutdown(socket.SHUT_RDWR)
        else:
            exchange.connection.close("called-off")
            exchange.response.done.cancel()
        while not exchange.response.done.done():
            await asyncio.sleep(0)
        assert not exchange.response.body

    async def wait(self, microseconds: int) -> None:
        self.now += microseconds
        due = [second for second in self.seconds if second[0] <= self.now]
        self.seconds = [second for second in self.seconds if second[0] > self.now]
        for _, connection, data in due:
            await self.send_second_response(connection, data)
        self.pool.deadlines.run_due()

    async def send_second_response(self, connection: PooledConnection, data: bytes) -> None:
        """The connection is idle and is closed, or it has been closed before."""
        if connection.closed:
            return
        assert all(exchange.connection is not connection for exchange in self.open)
        self.write(connection, data)
        while not connection.closed:
            await asyncio.sleep(0)

    def write(self, connection: PooledConnection, data: bytes) -> None:
        self.peers[connection.sock.getsockname()].sendall(data)

    async def end(self) -> None:
        self.pool.close()
        await asyncio.sleep(0)
        for sock in (self.server, *self.peers.values()):
            sock.close()


@given(st.lists(steps, min_size=MIN_STEPS, max_size=4 * MIN_STEPS))
@settings(max_examples=150, deadline=None)
def test_no_exchange_gets_a_byte_that_belongs_to_another(script: list[Send | Respond | Close | Wait]) -> None:
    async def scenario() -> None:
        model = Model()
        try:
            for step in script:
                await model.take(step)
            for exchange in model.open:
                await model.respond(exchange, False, None)
        finally:
            await model.end()

    run(scenario())
