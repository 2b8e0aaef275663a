"""The chat front, this version and an earlier one, side by side and in turn, on loopback stand-ins.

    .venv/bin/python benchmarks/chat_front.py [--before 9212b0a] [--rounds 5] [--quick]

Each round starts each version anew on core 1; the stand-in server runs on core 2 and the clients on cores 3 and up.
CPU is what the system books to the daemon. Figures are medians over the rounds, with the least and the most.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pathlib
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import uvloop

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
PATH = "/v1/chat/completions"
EVENT = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":7,"model":"m","choices":'
    b'[{"index":0,"delta":{"content":"hello "},"finish_reason":null}]}\n\n'
)
END = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":7,"model":"m","choices":'
    b'[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}\n\ndata: [DONE]\n\n'
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
TICKS = os.sysconf("SC_CLK_TCK")


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


# The stand-in server: streams what a request's own fields ask for.


class Server(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.buffer = b""
        self.task: asyncio.Task[None] | None = None
        self.room = asyncio.Event()
        self.room.set()

    def pause_writing(self) -> None:
        self.room.clear()

    def resume_writing(self) -> None:
        self.room.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.room.set()
        if self.task:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, found, body = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        lines = head.lower().split(b"\r\n")
        length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
        if len(body) < length:
            return
        self.buffer = body[length:]
        asked = json.loads(body[:length])
        self.task = asyncio.ensure_future(
            self.answer(asked.get("x_events", 2), asked.get("x_gap", 0.0), asked.get("x_pad", 0))
        )

    async def answer(self, events: int, gap: float, pad: int) -> None:
        event = chunk(EVENT.replace(b"hello ", b"x" * pad) if pad else EVENT)
        if not gap:
            self.transport.write(HEAD + event)
            for _ in range(0, events - 1, 8):
                await self.room.wait()
                self.transport.write(event * 8)
        else:
            self.transport.write(HEAD)
            for _ in range(events):
                await self.room.wait()
                self.transport.write(event)
                await asyncio.sleep(gap)
        self.transport.write(chunk(END) + b"0\r\n\r\n")


async def serve() -> None:
    server = await asyncio.get_running_loop().create_server(Server, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


# The clients.


def request_bytes(**more: Any) -> bytes:
    body = json.dumps(
        {
            "model": "help",
            "messages": [
                {"role": "system", "content": "You help with printers."},
                {"role": "user", "content": "How long does it take?"},
            ],
            **more,
        }
    ).encode()
    return b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
        PATH.encode(),
        len(body),
        body,
    )


class Client(asyncio.Protocol):
    """One connection, one request after the other. `ended` gets (time of the first body byte, time of the end)."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.ended: asyncio.Future[tuple[float, float]] | None = None

    def ask(self, data: bytes, whole: bool) -> asyncio.Future[tuple[float, float]]:
        self.tail, self.first, self.whole = b"", 0.0, whole
        self.ended = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.ended

    def data_received(self, data: bytes) -> None:
        if not self.first:
            if not data.startswith(b"HTTP/1.1 200") and not self.tail:
                self.ended.set_exception(RuntimeError(data[:300].decode()))  # type: ignore[union-attr]
                return
            if self.whole or b"data:" in self.tail + data:
                self.first = time.perf_counter()
        self.tail = (self.tail + data)[-4096:]
        if self.tail.endswith(b"0\r\n\r\n") or (self.whole and self.tail.endswith(b"}")):
            assert self.ended
            if not self.ended.done():
                self.ended.set_result((self.first, time.perf_counter()))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.ended and not self.ended.done():
            self.ended.set_exception(RuntimeError("closed"))


async def connect(port: int) -> Client:
    _, client = await asyncio.get_running_loop().create_connection(Client, "127.0.0.1", port)
    return client


async def burst(port: int, clients: int, each: int, data: bytes, whole: bool) -> float:
    """Seconds that `clients` take for `each` requests, one behind the other."""

    async def one() -> None:
        client = await connect(port)
        for _ in range(each):
            await client.ask(data, whole)
        client.transport.close()

    started = time.perf_counter()
    await asyncio.gather(*(one() for _ in range(clients)))
    return time.perf_counter() - started


async def first_events(port: int, count: int) -> list[float]:
    """Times from sending to the first event, in microseconds, one request at a time."""
    client, times, data = await connect(port), [], request_bytes(stream=True)
    for _ in range(count):
        sent = time.perf_counter()
        first, _ = await client.ask(data, False)
        times.append((first - sent) * 1e6)
    client.transport.close()
    return times[count // 10 :]


# The daemon.


def cpu(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident(pid: int) -> int:
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def operator_file(port: int) -> str:
    from tests.chat.test_front import operator_file as made

    text = made([f"127.0.0.1:{port}"]).replace("[chat]\n", "[chat]\nsockets = 4096\n")
    return (
        text.replace('"most-held" = 1000', '"most-held" = 9000')
        .replace('"tokens-by-kind" = [200000, 200000, 200000]', '"tokens-by-kind" = [90000000, 90000000, 90000000]')
        .replace('"aim" = 1500000', '"aim" = 30000000')
        .replace('"deadline" = 6000000', '"deadline" = 60000000')
    )


class Daemon:
    def __init__(self, tree: pathlib.Path, path: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pearhill", "--chat", path],
            cwd=tree,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PEARHILL_LOG": "WARNING", "PYTHONPATH": str(tree)},
            preexec_fn=lambda: os.sched_setaffinity(0, {1}),
        )
        self.port = 0

    async def up(self, port: int) -> None:
        """Its port: PEARHILL_LOG is quiet, so it is set in the file."""
        end = time.monotonic() + 20
        while True:
            try:
                client = await connect(port)
                client.transport.close()
                self.port = port
                return
            except OSError:
                if time.monotonic() > end or self.process.poll() is not None:
                    raise RuntimeError(f"the daemon did not start: {self.process.communicate()[1]}") from None
                await asyncio.sleep(0.02)

    def stop(self) -> None:
        self.process.terminate()
        self.process.communicate(timeout=30)


async def measure(tree: pathlib.Path, server: int, quick: bool) -> dict[str, float]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(operator_file(server).replace("127.0.0.1:0", f"127.0.0.1:{port}"))
        file.flush()
        daemon = Daemon(tree, file.name)
        pid, scale = daemon.process.pid, 4 if quick else 1
        try:
            await daemon.up(port)
            await burst(port, 4, 50, request_bytes(stream=True), False)  # warm
            found: dict[str, float] = {}
            # Events that come one by one, as they do from a model.
            streams, events = 100, 400 // scale
            before = cpu(pid)
            await burst(port, streams, 1, request_bytes(stream=True, x_events=events, x_gap=0.02), False)
            found["CPU us per event, one by one"] = (cpu(pid) - before) / (streams * events) * 1e6
            # Events that come several at a time, as they do when the daemon or the network is behind.
            before = cpu(pid)
            await burst(port, 20, 2, request_bytes(stream=True, x_events=8_000 // scale), False)
            found["CPU us per event, in bursts"] = (cpu(pid) - before) / (40 * 8_000 / scale) * 1e6
            # Requests.
            for name, stream in (("whole", False), ("streamed", True)):
                count, before = 4_000 // scale, cpu(pid)
                took = await burst(port, 8, count // 8, request_bytes(stream=stream), not stream)
                found[f"CPU us per request, {name}"] = (cpu(pid) - before) / count * 1e6
                if stream:
                    found["streams a second on one core"] = count / took
            # Added time to the first event.
            direct, through = await first_events(server, 1_000 // scale), await first_events(port, 1_000 // scale)
            found["added us to the first event, median"] = statistics.median(through) - statistics.median(direct)
            found["added us to the first event, 99%"] = statistics.quantiles(through, n=100)[98] - statistics.median(
                direct
            )
            # What a stalled stream holds.
            before, stalled = resident(pid), []
            data, loop = request_bytes(stream=True, x_events=400, x_pad=8_000), asyncio.get_running_loop()
            for _ in range(300):
                sock = socket.socket()
                sock.setblocking(False)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                await loop.sock_connect(sock, ("127.0.0.1", port))
                await loop.sock_sendall(sock, data)
                await loop.sock_recv(sock, 64)
                stalled.append(sock)
            await asyncio.sleep(1)
            found["KiB that a stalled stream holds"] = (resident(pid) - before) / len(stalled) / 1024
            for sock in stalled:
                sock.close()
            return found
        finally:
            daemon.stop()


def checkout(revision: str, folder: str) -> pathlib.Path:
    """An earlier version of this program, out of its own history."""
    archive = subprocess.run(["git", "archive", revision, "pearhill"], cwd=ROOT, check=True, capture_output=True)
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    return pathlib.Path(folder)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", default="9212b0a", help="the earlier version")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--quick", action="store_true", help="a quarter of the load")
    parser.add_argument("--server", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    uvloop.install()
    if options.server:
        asyncio.run(serve())
        return
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard), hard))
    os.sched_setaffinity(0, set(range(3, os.cpu_count() or 4)) or {0})
    server = subprocess.Popen(
        [sys.executable, __file__, "--server"],
        stdout=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {2}),
    )
    assert server.stdout
    port = int(server.stdout.readline())
    found: dict[str, dict[str, list[float]]] = {"before": {}, "now": {}}
    try:
        with tempfile.TemporaryDirectory() as folder:
            trees = {"before": checkout(options.before, folder), "now": ROOT}
            for turn in range(options.rounds):
                order = list(trees) if turn % 2 == 0 else list(trees)[::-1]
                for name in order:
                    for key, value in asyncio.run(measure(trees[name], port, options.quick)).items():
                        found[name].setdefault(key, []).append(value)
    finally:
        server.terminate()
        server.wait()
    print(f"| {options.rounds} rounds, median (least to most) | before ({options.before}) | now | now / before |")
    print("| --- | --- | --- | --- |")
    for key, old in found["before"].items():
        new = found["now"][key]
        cells = [f"{statistics.median(v):,.1f} ({min(v):,.1f} to {max(v):,.1f})" for v in (old, new)]
        print(f"| {key} | {cells[0]} | {cells[1]} | {statistics.median(new) / statistics.median(old):.2f} |")


if __name__ == "__main__":
    main()
