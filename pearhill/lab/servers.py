"""Model servers of the laboratory: slots, a queue, memory, two speeds, and faults. They answer by time, not by thought.

python -m pearhill.lab.servers < JSON        prints one address a line, and serves until its input ends
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


class Model:
    """One server. Whatever is asked beyond its slots, queue and memory is refused as never started."""

    def __init__(self, table: ServerTable, seed: int, began: float) -> None:
        self.table, self.rng, self.began = table, random.Random(seed), began
        self.free_slots = asyncio.Semaphore(table.slots)
        self.waiting = self.held = 0
        self.work: list[tuple[float, float]] = []  # when each request came and went

    def _fault(self) -> FaultTable | None:
        now = time.monotonic() - self.began
        return next((f for f in self.table.fault if f.from_s <= now < f.to_s and self.rng.random() < f.share), None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        machine = ServerConnection(max_body=16 << 20)
        try:
            while data := await reader.read(1 << 16):
                for message in machine.feed(data):
                    if isinstance(message, RequestMessage) and not await self._answer(message, writer):
                        return
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            machine.close()
            writer.transport.abort()

    async def _answer(self, message: RequestMessage, writer: asyncio.StreamWriter) -> bool:
        if message.method == "DELETE":
            writer.write(answer(204))
            return True
        asked, fault = json.loads(message.body), self._fault()
        prompt = asked.get("x_prompt_tokens", 100)
        if (
            (fault and fault.kind == "refuse")
            or self.waiting >= self.table.queue + self.table.slots
            or (self.held + prompt > self.table.memory_tokens)
        ):
            writer.write(answer(503, (("Not-Started", "1"),)))
            return True
        self.waiting += 1
        self.held += prompt
        came = time.monotonic()
        try:
            async with self.free_slots:
                await asyncio.sleep(prompt / self.table.read_tokens_per_s)
                if fault and fault.kind == "reset":
                    return False
                return await self._write(asked, prompt, fault, writer)
        finally:
            self.waiting -= 1
            self.held -= prompt
            self.work.append((came, time.monotonic()))

    async def _write(
        self,
        asked: dict[str, Any],
        prompt: int,
        fault: FaultTable | None,
        writer: asyncio.StreamWriter,
    ) -> bool:
        most = asked.get("max_completion_tokens") or asked.get("max_tokens") or 10**9
        tokens = min(asked.get("x_answer_tokens", 20), most)
        writer.write(stream_head(200, (("Content-Type", "text/event-stream"),)))
        for k in range(tokens):
            if writer.is_closing():  # its dispatcher has died: to write on would be an error of this loop's
                return False
            writer.write(chunk(EVENT))
            await writer.drain()
            if fault and k == 2:
                if fault.kind == "garble":
                    writer.write(chunk(GARBLED))
                    return False
                await asyncio.sleep(60)
            await asyncio.sleep(1 / self.table.write_tokens_per_s)
        usage = {
            "choices": [],
            "usage": {"prompt_tokens": prompt, "completion_tokens": tokens, "total_tokens": prompt + tokens},
        }
        writer.write(chunk(END + b"data: %b\n\ndata: [DONE]\n\n" % msgspec.json.encode(usage)) + b"0\r\n\r\n")
        await writer.drain()
        return True


async def serve(tables: list[ServerTable], seed: int) -> None:
    began = time.monotonic()
    every = [table for table in tables for _ in range(table.count)]
    models = []
    for k, one in enumerate(every):
        address, _, port = (one.listen or "127.0.0.1:0").rpartition(":")
        models.append(Model(one, seed + k, began))
        try:
            server = await asyncio.start_server(models[-1].serve, address, int(port), backlog=1024)
        except OSError as e:
            print(f"cannot listen on {address}:{port}: {e.strerror or e}", flush=True)
            return
        host, port = server.sockets[0].getsockname()[:2]
        print(f"{host}:{port}", flush=True)
    reader = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    await reader.read()
    print(json.dumps([model.work for model in models]), flush=True)


def main() -> None:
    told = json.loads(sys.stdin.readline())
    uvloop.run(serve(msgspec.convert(told["servers"], list[ServerTable]), told["seed"]))


if __name__ == "__main__":
    main()
