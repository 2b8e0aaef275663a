"""A shutdown is over before the platform's SIGKILL, whatever the deadlines.

The earliest SIGKILL comes the longest deadline (3 s at most) plus 0.7 s after SIGTERM. The test runs one node on a
virtual clock, with clients and a replica on loopback. Virtual time passes only while all tasks wait, so the bounds are
exact and do not depend on the machine."""

import asyncio
import contextlib
import os
import signal
from dataclasses import dataclass, field
from typing import Any

import pytest

import pearhill.node.node
from pearhill.http1.messages import RequestMessage, answer
from pearhill.http1.server import ServerConnection
from pearhill.net.address import Address
from pearhill.node.limits import Limits
from pearhill.node.node import Node
from pearhill.platform.front import PlatformFrontEnd
from pearhill.platform.replica import ReplicaDialect
from pearhill.routing.topology import Endpoint, Phase
from pearhill.settings import parse
from tests.platform.test_owed import request
from tests.standins import SETTINGS, STREAM_CHUNKS, STREAM_END
from tests.virtual import VirtualLoop

MAX_KILL_DEADLINE_S = 3.0
KILL_AFTER_DEADLINE_S = 0.7
MAX_SIGNAL_DELAY_S = 0.15  # the longest delay with which the program notices SIGTERM
NEW_CONNECTIONS_S = 0.4  # new connections are made for so long
MAX_CROSSING_S = 0.03  # a close and a request that cross in flight
ANSWER_S = 0.05
PIECE_S = 0.3  # between the pieces of a request that is written slowly
SERVED = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (*STREAM_CHUNKS, STREAM_END)) + b"0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class Replica:
    """A mixed replica. It never answers requests whose ids begin with `hang`."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        machine = ServerConnection()
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                for message in machine.feed(data):
                    assert isinstance(message, RequestMessage)
                    if message.method == "DELETE":
                        writer.write(answer(204))
                    elif not message.headers["request-id"].startswith("hang"):
                        await asyncio.sleep(ANSWER_S)
                        writer.write(HEAD + SERVED)
        writer.close()


async def ends_within(reader: asyncio.StreamReader, seconds: float) -> bool:
    """Return whether data or the end of the connection arrives in this time. No data is consumed."""
    until = asyncio.get_running_loop().time() + seconds
    while not reader._buffer and not reader.at_eof():  # type: ignore[attr-defined]
        if asyncio.get_running_loop().time() >= until:
            return False
        await asyncio.sleep(0.005)
    return True


@dataclass
class ClientRecord:
    """What one client observed on one connection. Times are in seconds since SIGTERM."""

    name: str
    answered: int = 0
    rejected: int = 0
    unanswered_since: float | None = None
    ended: float | None = None


@dataclass
class ShutdownRun:
    """A node that is shut down, and its clients."""

    loop: VirtualLoop
    address: Address
    deadline_ms: int
    term_at: float
    records: list[ClientRecord] = field(default_factory=list)

    def now(self) -> float:
        return self.loop.time() - self.term_at

    async def ask_until_the_end(self, name: str, first_after: float, pause: float, pieces: int = 1) -> None:
        """Send requests on one connection until it ends."""
        record = ClientRecord(name)
        self.records.append(record)
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            record.ended = self.now()
            return
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if first_after and await ends_within(reader, first_after):
                record.ended = self.now()
            while record.ended is None:
                data = request(f"{name}-{record.answered}", "advice", self.deadline_ms)
                size = len(data) // pieces + 1
                for at in range(0, len(data), size):
                    writer.write(data[at : at + size])
                    if at + size < len(data) and await ends_within(reader, PIECE_S):
                        break
                record.unanswered_since = self.now()
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readuntil(b"0\r\n\r\n" if b"chunked" in head else b"\n")
                record.unanswered_since = None
                record.answered += b" 200 " in head
                record.rejected += b" 503 " in head
                await asyncio.sleep(pause)
        with contextlib.suppress(OSError):
            await reader.read()
        record.ended = record.ended or self.now()
        writer.close()

    async def send_once(self, name: str, data: bytes) -> None:
        """Send these bytes and nothing more."""
        record = ClientRecord(name)
        self.records.append(record)
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        while await reader.read(65_536):
            pass
        record.ended = self.now()
        writer.close()


async def run_shutdown(loop: VirtualLoop, deadline_s: float, hang: bool) -> tuple[ShutdownRun, float | None]:
    """Run a shutdown. Returns it with the time at which the node ended, or None if the earliest SIGKILL came first."""
    classes = [{**each, "deadline": int(deadline_s * 1e6)} for each in SETTINGS["classes"]]
    node = Node(parse({**SETTINGS, "classes": classes}), ReplicaDialect(), Limits(256, 7))
    server = await asyncio.start_server(Replica().serve, "127.0.0.1", 0)
    place = server.sockets[0].getsockname()[:2]
    node.update_endpoints(True, (Endpoint(1, 0, 2, 0, Phase.READY, 1.0, 0),), {1: place})
    listening: asyncio.Future[Address] = loop.create_future()
    front = PlatformFrontEnd(node.dispatcher, lambda: True, node.drain.rejects)
    serving = asyncio.create_task(node.serve(("127.0.0.1", 0), front, "t", lambda: "", listening.set_result))
    shutdown = ShutdownRun(loop, await listening, int(deadline_s * 1000), 0.0)
    shutdown.term_at = loop.time() + 1.0
    clients = [asyncio.create_task(shutdown.ask_until_the_end(f"busy{n}", 0.0, n / 100)) for n in range(6)]
    clients += [asyncio.create_task(shutdown.ask_until_the_end(f"late{n}", 1.0 + n / 10, 0.0)) for n in range(12)]
    clients += [asyncio.create_task(shutdown.send_once("rests", request("rests", "advice")))]
    clients += [asyncio.create_task(shutdown.send_once("half", request("half", "advice")[:100]))]
    if hang:
        clients.append(
            asyncio.create_task(shutdown.send_once("hangs", request("hang-1", "advice", shutdown.deadline_ms)))
        )
    await asyncio.sleep(1.0)
    os.kill(os.getpid(), signal.SIGTERM)
    for number in range(8):
        clients.append(asyncio.create_task(shutdown.ask_until_the_end(f"new{number}", number / 20, 0.01)))
        clients.append(asyncio.create_task(shutdown.ask_until_the_end(f"slow{number}", 0.0, 0.01, pieces=4)))
        await asyncio.sleep(NEW_CONNECTIONS_S / 8)
    kill_at = min(MAX_KILL_DEADLINE_S, deadline_s) + KILL_AFTER_DEADLINE_S - MAX_SIGNAL_DELAY_S
    await asyncio.sleep(max(0.0, kill_at - shutdown.now()))
    ended = shutdown.now() if serving.done() else None
    serving.cancel()
    for client in clients:
        client.cancel()
    await asyncio.gather(serving, *clients, return_exceptions=True)
    assert node.listener
    await node.listener.close()
    node.close()
    server.close()
    return shutdown, ended


@pytest.fixture
def loop(monkeypatch: pytest.MonkeyPatch) -> Any:
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    monkeypatch.setattr(pearhill.node.node, "start_clock", lambda: loop.micros)
    yield loop
    for task in (left := asyncio.all_tasks(loop)):  # releases that are still being retried
        task.cancel()
    loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
    loop.close()
    asyncio.set_event_loop(None)
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1):  # a node that has ended leaves them ignored
        signal.signal(number, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGUSR1})


@pytest.mark.parametrize("deadline_s", [0.05, 0.1, 0.25, 0.4, 1.0, 3.0, 10.0])
def test_a_shutdown_is_over_by_the_earliest_kill_and_every_request_in_it_is_answered(
    loop: VirtualLoop, deadline_s: float
) -> None:
    shutdown, ended = loop.run_until_complete(run_shutdown(loop, deadline_s, hang=False))
    open_still = [record.name for record in shutdown.records if record.ended is None]
    lost = [
        (record.name, record.unanswered_since, record.ended)
        for record in shutdown.records
        if record.unanswered_since is not None and (record.ended or 99.0) > record.unanswered_since + MAX_CROSSING_S
    ]
    assert (open_still, lost) == ([], [])
    assert ended is not None
    assert sum(record.answered + record.rejected for record in shutdown.records) > 20


@pytest.mark.parametrize("deadline_s", [0.25, 3.0, 10.0])
def test_a_hanging_replica_keeps_only_its_own_request_open(loop: VirtualLoop, deadline_s: float) -> None:
    """The hung request is answered at its deadline. If that is after SIGKILL, the request is still open then, which is
    accepted: it had arrived long enough before."""
    shutdown, ended = loop.run_until_complete(run_shutdown(loop, deadline_s, hang=True))
    open_still = [record.name for record in shutdown.records if record.ended is None]
    assert open_still == (["hangs"] if deadline_s > MAX_KILL_DEADLINE_S + KILL_AFTER_DEADLINE_S else [])
