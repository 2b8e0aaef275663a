"""Stand-in replicas, simulated by timing alone: they have slots, a queue, memory, two speeds, and faults.

python -m pearhill.lab.servers < JSON        prints one address per line, and serves until its input ends

The last line of the output is JSON: for each replica, when each request began and ended, by the monotonic clock.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from typing import Any

import msgspec
import uvloop

from pearhill.http1.messages import RequestMessage, answer, chunk, stream_head
from pearhill.http1.server import ServerConnection
from pearhill.lab.scenario import FaultTable, ServerTable

GARBLED = b"data: {\xff\n\n"
EVENT = (
    b'data: {"id":"lab","object":"chat.completion.chunk","created":0,"model":"lab","choices":[{"index":0,"delta":'
    b'{"content":"word "},"finish_reason":null}]}\n\n'
)
END = (
    b'data: {"id":"lab","object":"chat.completion.chunk","created":0,"model":"lab","choices":[{"index":0,"delta":{},'
    b'"finish_reason":"stop"}]}\n\n'
)
LAST_CHUNK = b"0\r\n\r\n"  # RFC 9112, section 7.1
MAX_BODY_BYTES = 16 << 20
READ_BYTES = 1 << 16
BACKLOG = 1024
DEFAULT_PROMPT_TOKENS = 100
DEFAULT_ANSWER_TOKENS = 20
UNLIMITED_TOKENS = 10**9
EVENTS_BEFORE_FAULT = 3
STALL_S = 60


class StandInReplica:
    """One replica. Requests beyond its slots and queue, or beyond its memory, are rejected as not started.

    `began`: the time of the monotonic clock from which faults are timed. `waiting`: the count of requests in slots and
    queue; `held`: the tokens of their prompts; `work`: when each request began and ended.
    """

    def __init__(self, table: ServerTable, seed: int, began: float) -> None:
        self.table = table
        self.rng = random.Random(seed)
        self.began = began
        self.free_slots = asyncio.Semaphore(table.slots)
        self.waiting = 0
        self.held = 0
        self.work: list[tuple[float, float]] = []

    def _fault(self) -> FaultTable | None:
        """Returns the fault to apply to the next request, or None."""
        now = time.monotonic() - self.began
        for fault in self.table.fault:
            if fault.from_s <= now < fault.to_s and self.rng.random() < fault.share:
                return fault
        return None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one connection's requests in their order, until it ends or a fault ends it."""
        connection = ServerConnection(max_body=MAX_BODY_BYTES)
        try:
            while data := await reader.read(READ_BYTES):
                for message in connection.feed(data):
                    if isinstance(message, RequestMessage) and not await self._answer(message, writer):
                        return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            connection.close()
            writer.transport.abort()

    async def _answer(self, message: RequestMessage, writer: asyncio.StreamWriter) -> bool:
        """Answer one request. Returns False if the connection has to end."""
        if message.method == "DELETE":
            writer.write(answer(204))
            return True
        body, fault = json.loads(message.body), self._fault()
        prompt_tokens = body.get("x_prompt_tokens", DEFAULT_PROMPT_TOKENS)
        if (fault and fault.kind == "refuse") or not self._has_capacity(prompt_tokens):
            writer.write(answer(503, (("Not-Started", "1"),)))
            return True
        self.waiting += 1
        self.held += prompt_tokens
        began = time.monotonic()
        try:
            async with self.free_slots:
                await asyncio.sleep(prompt_tokens / self.table.read_tokens_per_s)
                if fault and fault.kind == "reset":
                    return False
                return await self._stream(body, prompt_tokens, fault, writer)
        finally:
            self.waiting -= 1
            self.held -= prompt_tokens
            self.work.append((began, time.monotonic()))

    def _has_capacity(self, prompt_tokens: int) -> bool:
        if self.waiting >= self.table.queue + self.table.slots:
            return False
        return self.held + prompt_tokens <= self.table.memory_tokens

    async def _stream(
        self,
        body: dict[str, Any],
        prompt_tokens: int,
        fault: FaultTable | None,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write the answer's events. Returns False if the connection has to end."""
        limit = body.get("max_completion_tokens") or body.get("max_tokens") or UNLIMITED_TOKENS
        tokens = min(body.get("x_answer_tokens", DEFAULT_ANSWER_TOKENS), limit)
        writer.write(stream_head(200, (("Content-Type", "text/event-stream"),)))
        for sent in range(1, tokens + 1):
            if writer.is_closing():  # the dispatcher has disconnected, and a further write would log an error
                return False
            writer.write(chunk(EVENT))
            await writer.drain()
            if fault and sent == EVENTS_BEFORE_FAULT:
                if fault.kind == "garble":
                    writer.write(chunk(GARBLED))
                    return False
                await asyncio.sleep(STALL_S)
            await asyncio.sleep(1 / self.table.write_tokens_per_s)
        usage = msgspec.json.encode(_usage(prompt_tokens, tokens))
        writer.write(chunk(END + b"data: %b\n\ndata: [DONE]\n\n" % usage) + LAST_CHUNK)
        await writer.drain()
        return True


def _usage(prompt_tokens: int, answer_tokens: int) -> dict[str, Any]:
    return {
        "choices": [],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": answer_tokens,
            "total_tokens": prompt_tokens + answer_tokens,
        },
    }


async def serve(tables: list[ServerTable], seed: int) -> None:
    """Print the replicas' addresses in the tables' order, serve until standard input ends, then print their work.

    If an address cannot be listened on, an error line is printed instead, and the function returns.
    """
    began = time.monotonic()
    replicas = []
    single_tables = [table for table in tables for _ in range(table.count)]
    for k, table in enumerate(single_tables):
        replicas.append(StandInReplica(table, seed + k, began))
        host, _, port = (table.listen or "127.0.0.1:0").rpartition(":")
        try:
            server = await asyncio.start_server(replicas[-1].serve, host, int(port), backlog=BACKLOG)
        except OSError as e:
            print(f"cannot listen on {host}:{port}: {e.strerror or e}", flush=True)
            return
        bound_host, bound_port = server.sockets[0].getsockname()[:2]
        print(f"{bound_host}:{bound_port}", flush=True)
    await _standard_input_ends()
    print(json.dumps([replica.work for replica in replicas]), flush=True)


async def _standard_input_ends() -> None:
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await reader.read()


def main() -> None:
    """Serve the replicas that the first line of standard input describes: `{"servers": [..], "seed": N}`."""
    order = json.loads(sys.stdin.readline())
    uvloop.run(serve(msgspec.convert(order["servers"], list[ServerTable]), order["seed"]))


if __name__ == "__main__":
    main()
