"""The platform's SIGKILL comes as early as the longest deadline (3 s at most) plus 0.7 s after SIGTERM. One node on a
virtual clock, its clients and a replica on loopback: all of it is over by then, whatever the deadlines.

Time passes only while everybody waits, so the bounds are exact and do not depend on the machine."""

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
from pearhill.platform.front import PlatformFront
from pearhill.platform.replica import ReplicaDialect
from pearhill.routing.topology import Endpoint, Phase
from pearhill.settings import parse
from tests.platform.test_owed import request
from tests.standins import LAST, SETTINGS, TOKENS
from tests.virtual import VirtualLoop

LONGEST_S, AFTER_LONGEST_S = 3.0, 0.7
HELD_UP_S = 0.15  # by so much the program may hear of SIGTERM late
NEWS_S = 0.4  # for so long new connections come
CROSSING_S = 0.03  # a close and a request that meet on the way
ANSWER_S = 0.05
PIECE_S = 0.3  # between the pieces of a request that is written slowly
SERVED = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (*TOKENS, LAST)) + b"0\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"


class Replica:
    """Reads and writes; the requests named `hang..` are never answered."""

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
    """Whether something comes on the connection meanwhile, or its end does; nothing is taken off it."""
    until = asyncio.get_running_loop().time() + seconds
    while not reader._buffer and not reader.at_eof():  # type: ignore[attr-defined]
        if asyncio.get_running_loop().time() >= until:
            return False
        await asyncio.sleep(0.005)
    return True


@dataclass
class Seen:
    """What one client saw on one connection; times in seconds since SIGTERM."""

    name: str
    answered: int = 0
    refused: int = 0
    unanswered_since: float | None = None
    ended: float | None = None


@dataclass
class Day:
    loop: VirtualLoop
    address: Address
    deadline_ms: int
    term_at: float
    seen: list[Seen] = field(default_factory=list)

    def now(self) -> float:
        return self.loop.time() - self.term_at

    async def ask_until_the_end(self, name: str, first_after: float, pause: float, pieces: int = 1) -> None:
        """Ask on one connection, over and over, until it ends."""
        seen = Seen(name)
        self.seen.append(seen)
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            seen.ended = self.now()
            return
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if first_after and await ends_within(reader, first_after):
                seen.ended = self.now()
            while seen.ended is None:
                data = request(f"{name}-{seen.answered}", "advice", self.deadline_ms)
                size = len(data) // pieces + 1
                for at in range(0, len(data), size):
                    writer.write(data[at : at + size])
                    if at + size < len(data) and await ends_within(reader, PIECE_S):
                        break
                seen.unanswered_since = self.now()
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readuntil(b"0\r\n\r\n" if b"chunked" in head else b"\n")
                seen.unanswered_since = None
                seen.answered += b" 200 " in head
                seen.refused += b" 503 " in head
                await asyncio.sleep(pause)
        with contextlib.suppress(OSError):
            await reader.read()
        seen.ended = seen.ended or self.now()
        writer.close()

    async def rest(self, name: str, data: bytes) -> None:
        """Say so much, and then nothing more."""
        seen = Seen(name)
        self.seen.append(seen)
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(data)
        while await reader.read(65_536):
            pass
        seen.ended = self.now()
        writer.close()


async def play(loop: VirtualLoop, deadline_s: float, hang: bool) -> tuple[Day, float | None]:
    """A shutdown under way. The time at which the node had ended, None: not by the earliest SIGKILL."""
    classes = [{**each, "deadline": int(deadline_s * 1e6)} for each in SETTINGS["classes"]]
    node = Node(parse({**SETTINGS, "classes": classes}), ReplicaDialect(), Limits(256, 7))
    server = await asyncio.start_server(Replica().serve, "127.0.0.1", 0)
    place = server.sockets[0].getsockname()[:2]
    node.update_endpoints(True, (Endpoint(1, 0, 2, 0, Phase.READY, 1.0, 0),), {1: place})
    listening: asyncio.Future[Address] = loop.create_future()
    front = PlatformFront(node.dispatcher, lambda: True, node.drain.rejects)
    serving = asyncio.create_task(node.serve(("127.0.0.1", 0), front, "t", lambda: "", listening.set_result))
    day = Day(loop, await listening, int(deadline_s * 1000), 0.0)
    day.term_at = loop.time() + 1.0
    clients = [asyncio.create_task(day.ask_until_the_end(f"busy{n}", 0.0, n / 100)) for n in range(6)]
    clients += [asyncio.create_task(day.ask_until_the_end(f"late{n}", 1.0 + n / 10, 0.0)) for n in range(12)]
    clients += [asyncio.create_task(day.rest("rests", request("rests", "advice")))]
    clients += [asyncio.create_task(day.rest("half", request("half", "advice")[:100]))]
    if hang:
        clients.append(asyncio.create_task(day.rest("hangs", request("hang-1", "advice", day.deadline_ms))))
    await asyncio.sleep(1.0)
    os.kill(os.getpid(), signal.SIGTERM)
    for number in range(8):
        clients.append(asyncio.create_task(day.ask_until_the_end(f"new{number}", number / 20, 0.01)))
        clients.append(asyncio.create_task(day.ask_until_the_end(f"slow{number}", 0.0, 0.01, pieces=4)))
        await asyncio.sleep(NEWS_S / 8)
    kill_at = min(LONGEST_S, deadline_s) + AFTER_LONGEST_S - HELD_UP_S
    await asyncio.sleep(max(0.0, kill_at - day.now()))
    ended = day.now() if serving.done() else None
    serving.cancel()
    for client in clients:
        client.cancel()
    await asyncio.gather(serving, *clients, return_exceptions=True)
    assert node.listener
    await node.listener.close()
    node.close()
    server.close()
    return day, ended


@pytest.fixture
def loop(monkeypatch: pytest.MonkeyPatch) -> Any:
    made = VirtualLoop()
    asyncio.set_event_loop(made)
    monkeypatch.setattr(pearhill.node.node, "start_clock", lambda: made.micros)
    yield made
    for task in (left := asyncio.all_tasks(made)):  # releases that are still being tried
        task.cancel()
    made.run_until_complete(asyncio.gather(*left, return_exceptions=True))
    made.close()
    asyncio.set_event_loop(None)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP, signal.SIGUSR1})


@pytest.mark.parametrize("deadline_s", [0.05, 0.1, 0.25, 0.4, 1.0, 3.0, 10.0])
def test_a_shutdown_is_over_by_the_earliest_kill_and_every_request_in_it_is_answered(loop, deadline_s):
    day, ended = loop.run_until_complete(play(loop, deadline_s, hang=False))
    open_still = [seen.name for seen in day.seen if seen.ended is None]
    lost = [
        (seen.name, seen.unanswered_since, seen.ended)
        for seen in day.seen
        if seen.unanswered_since is not None and (seen.ended or 99.0) > seen.unanswered_since + CROSSING_S
    ]
    assert (open_still, lost) == ([], [])
    assert ended is not None
    assert sum(seen.answered + seen.refused for seen in day.seen) > 20


@pytest.mark.parametrize("deadline_s", [0.25, 3.0, 10.0])
def test_a_replica_that_hangs_keeps_no_connection_open_but_its_own_requests(loop, deadline_s):
    """That one is answered at its deadline; where this is later than the kill, it came long enough before it."""
    day, ended = loop.run_until_complete(play(loop, deadline_s, hang=True))
    open_still = [seen.name for seen in day.seen if seen.ended is None]
    assert open_still == (["hangs"] if deadline_s > LONGEST_S + AFTER_LONGEST_S else [])
