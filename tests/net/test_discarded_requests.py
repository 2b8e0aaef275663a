"""Requests that are discarded for lack of memory, at any moment, are answered like all others: once, and in order."""

from __future__ import annotations

import asyncio
import random
from collections import deque

import pytest

from pearhill.core.deadlines import Deadlines
from pearhill.http1.handler import Reply
from pearhill.http1.messages import RequestMessage
from pearhill.net.accepted import AcceptedConnection
from pearhill.net.request_intake import MAX_PIPELINED_REQUESTS
from tests.net.test_accepted import LargeAnswers, loop, only_connection, open_listener
from tests.virtual import VirtualLoop

__all__ = ["loop"]

BATCHES = 20
MAX_BODY_BYTES = 300
MAX_PIECE_BYTES = 400


class HeldAnswers(LargeAnswers):
    """A handler that answers when the test asks for it, with the request's target and the length of its body."""

    def __init__(self) -> None:
        self.open: deque[tuple[Reply, bytes]] = deque()

    def handle(self, message: RequestMessage, reply: Reply) -> None:
        self.open.append((reply, b"%b %d" % (message.target.encode(), len(message.body))))

    async def answer_until(self, received: asyncio.Task[bytes]) -> bytes:
        """Answer requests until the client has received an answer, and return that."""
        while not received.done():
            if self.open:
                reply, body = self.open.popleft()
                reply.answer(200, (), body)
            await asyncio.sleep(0)
        return received.result()


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return an answer's body, or its status if it is not 200."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0])
    body = await reader.readexactly(length)
    status = head.split()[1]
    return body if status == b"200" else status


def has_whole_head(connection: AcceptedConnection) -> bool:
    """Whether the incomplete request, if there is one, can be discarded without losing the requests behind it."""
    parser = connection.intake._parser
    return not parser.in_message or parser._head_complete


def draw_requests(rng: random.Random, first: int) -> tuple[list[bytes], bytes]:
    """Return the answers to some requests, if none is discarded, and the requests."""
    sizes = [rng.randint(0, MAX_BODY_BYTES) for _ in range(MAX_PIPELINED_REQUESTS)]
    head = b"POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    requests = [head % (number, size) + b"x" * size for number, size in enumerate(sizes, first)]
    return [b"/%d %d" % (number, size) for number, size in enumerate(sizes, first)], b"".join(requests)


@pytest.mark.parametrize("seed", range(10))
def test_every_request_is_answered_once_and_in_order(loop: VirtualLoop, seed: int) -> None:  # noqa: F811
    """Guards the mend of review/1: requests behind one that is discarded are read and answered as without it."""
    rng = random.Random(seed)
    handler = HeldAnswers()

    async def discarded_requests() -> int:
        """Send requests in pieces, discard some of them, check the answers, and return how many were discarded."""
        discarded = rejected = 0
        async with open_listener(Deadlines(loop.micros), handler=handler) as listener:
            reader, writer = await asyncio.open_connection(*listener.listen(("127.0.0.1", 0)))
            connection = await only_connection(listener)
            for first in range(0, BATCHES * MAX_PIPELINED_REQUESTS, MAX_PIPELINED_REQUESTS):
                expected, data = draw_requests(rng, first)
                while data:
                    size = rng.randint(1, MAX_PIECE_BYTES)
                    writer.write(data[:size])
                    data = data[size:]
                    for _ in range(rng.randint(0, 4)):
                        await asyncio.sleep(0)
                    if has_whole_head(connection) and connection.discardable_bytes and rng.random() < 0.7:
                        connection.discard_newest()
                        discarded += 1
                for answer in expected:
                    received = await handler.answer_until(asyncio.create_task(read_answer(reader)))
                    assert received in (answer, b"503")
                    rejected += received == b"503"
            writer.close()
        assert rejected == discarded
        return discarded

    assert loop.run_until_complete(discarded_requests()) > BATCHES / 2
