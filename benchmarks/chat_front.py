"""Compares the chat front end of this version with that of an earlier one, on loopback with a simulated replica.

    .venv/bin/python benchmarks/chat_front.py [--before 9212b0a] [--rounds 5] [--quick]

Each round starts a new daemon of each version on core 1. The replica runs on core 2 and the clients on cores 3 and up.
CPU time is what the operating system accounts to the daemon. Figures are medians over the rounds, with minimum and
maximum.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
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
from collections.abc import AsyncIterator, Iterator
from typing import Any

import uvloop

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
PATH = "/v1/chat/completions"
EVENT = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":7,"model":"m","choices":'
    b'[{"index":0,"delta":{"content":"hello "},"finish_reason":null}]}\n\n'
)
STREAM_END = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":7,"model":"m","choices":'
    b'[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}\n\ndata: [DONE]\n\n'
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
DAEMON_CORE = 1
REPLICA_CORE = 2
FIRST_CLIENT_CORE = 3
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
EVENTS_PER_WRITE = 8  # where the replica sends events without pauses
STALLED_STREAMS = 300
QUICK_DIVISOR = 4  # `--quick` divides the load by this


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


# The replica.


class Replica(asyncio.Protocol):
    """Streams a response according to the request's fields: `x_events` events, `x_gap` seconds apart, with `x_pad`
    bytes of text each."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialises the connection. The event loop calls this and all other methods but `answer`."""
        self.transport: Any = transport
        self.buffer = b""
        self.task: asyncio.Task[None] | None = None
        self.may_write = asyncio.Event()
        self.may_write.set()

    def pause_writing(self) -> None:
        """Pauses the answer, because the transport's buffer is full."""
        self.may_write.clear()

    def resume_writing(self) -> None:
        """Resumes the answer, because the transport's buffer has been written."""
        self.may_write.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the answer in progress."""
        self.may_write.set()
        if self.task:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        """Answer once the request is complete; requests are not pipelined."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.lower().split(b"\r\n")
        length = next((int(line[15:]) for line in lines if line.startswith(b"content-length:")), 0)
        if len(body) < length:
            return
        self.buffer = body[length:]
        request = json.loads(body[:length])
        self.task = asyncio.ensure_future(
            self.answer(request.get("x_events", 2), request.get("x_gap", 0.0), request.get("x_pad", 0))
        )

    async def answer(self, events: int, gap: float, pad: int) -> None:
        """Stream events. Without a gap, the first event is sent with the head and the others several per write."""
        event = chunk(EVENT.replace(b"hello ", b"x" * pad) if pad else EVENT)
        if not gap:
            self.transport.write(HEAD + event)
            for _ in range(0, events - 1, EVENTS_PER_WRITE):
                await self.may_write.wait()
                self.transport.write(event * EVENTS_PER_WRITE)
        else:
            self.transport.write(HEAD)
            for _ in range(events):
                await self.may_write.wait()
                self.transport.write(event)
                await asyncio.sleep(gap)
        self.transport.write(chunk(STREAM_END) + b"0\r\n\r\n")


async def serve() -> None:
    """Run the replica, and print its port as the first line of output."""
    server = await asyncio.get_running_loop().create_server(Replica, "127.0.0.1", 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


# The clients.


def request_bytes(**fields: Any) -> bytes:
    """Returns a chat request with these fields in addition to its messages."""
    body = json.dumps(
        {
            "model": "help",
            "messages": [
                {"role": "system", "content": "You help with printers."},
                {"role": "user", "content": "How long does it take?"},
            ],
            **fields,
        }
    ).encode()
    return b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b" % (
        PATH.encode(),
        len(body),
        body,
    )


class Client(asyncio.Protocol):
    """One connection that sends one request after the other."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialises the connection. The event loop calls this and all other methods but `send`."""
        self.transport: Any = transport
        self.ended: asyncio.Future[tuple[float, float]] | None = None

    def send(self, data: bytes, expects_json: bool) -> asyncio.Future[tuple[float, float]]:
        """Send a request, and return a future for the times of the first event and of the end, from
        `time.perf_counter`.

        `expects_json` means that the answer is one JSON object instead of a stream.
        """
        self.last_bytes = b""
        self.first_event_at = 0.0
        self.expects_json = expects_json
        self.ended = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.ended

    def data_received(self, data: bytes) -> None:
        """Record the time of the first event. Resolve the request's future at the end of the answer, or fail it at a
        status other than 200."""
        assert self.ended
        if not self.first_event_at:
            if not data.startswith(b"HTTP/1.1 200") and not self.last_bytes:
                self.ended.set_exception(RuntimeError(data[:300].decode()))
                return
            if self.expects_json or b"data:" in self.last_bytes + data:
                self.first_event_at = time.perf_counter()
        self.last_bytes = (self.last_bytes + data)[-4096:]
        has_ended = self.last_bytes.endswith(b"0\r\n\r\n") or (self.expects_json and self.last_bytes.endswith(b"}"))
        if has_ended and not self.ended.done():
            self.ended.set_result((self.first_event_at, time.perf_counter()))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request in progress."""
        if self.ended and not self.ended.done():
            self.ended.set_exception(RuntimeError("connection closed before the end of the response"))


async def connect(port: int) -> Client:
    """Returns a client with a new connection to a port on loopback."""
    _, client = await asyncio.get_running_loop().create_connection(Client, "127.0.0.1", port)
    return client


async def run_clients(
    port: int, clients: int, requests_per_client: int, data: bytes, expects_json: bool = False
) -> float:
    """Returns the seconds in which `clients` concurrent clients send `requests_per_client` requests each, in
    sequence."""

    async def run_client() -> None:
        client = await connect(port)
        for _ in range(requests_per_client):
            await client.send(data, expects_json)
        client.transport.close()

    started = time.perf_counter()
    await asyncio.gather(*(run_client() for _ in range(clients)))
    return time.perf_counter() - started


async def first_events(port: int, count: int) -> list[float]:
    """Returns the times from sending to the first event, in microseconds, for one request at a time.

    The first tenth of the requests warms up and is left out.
    """
    client = await connect(port)
    data = request_bytes(stream=True)
    times: list[float] = []
    for _ in range(count):
        sent = time.perf_counter()
        first_event_at, _ = await client.send(data, False)
        times.append((first_event_at - sent) * 1e6)
    client.transport.close()
    return times[count // 10 :]


# The daemon.


def cpu_time(pid: int) -> float:
    """Returns the seconds of user and system CPU time that a process has used (proc(5), `stat`)."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def operator_file(port: int) -> str:
    """Returns the operator's file of a daemon for the replica at a port, with limits above the load of the
    benchmark."""
    from tests.chat.test_front import operator_file as small_file

    text = small_file([f"127.0.0.1:{port}"]).replace("[chat]\n", "[chat]\nsockets = 4096\n")
    return (
        text.replace('"most-held" = 1000', '"most-held" = 9000')
        .replace('"tokens-by-kind" = [200000, 200000, 200000]', '"tokens-by-kind" = [90000000, 90000000, 90000000]')
        .replace('"aim" = 1500000', '"aim" = 30000000')
        .replace('"deadline" = 6000000', '"deadline" = 60000000')
    )


class Daemon:
    """The daemon of one version, as a child process."""

    def __init__(self, tree: pathlib.Path, path: str, port: int) -> None:
        self.port = port  # the port that the file at `path` configures
        self.process = subprocess.Popen(
            [sys.executable, "-m", "pearhill", "--chat", path],
            cwd=tree,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PEARHILL_LOG": "WARNING", "PYTHONPATH": str(tree)},
            preexec_fn=lambda: os.sched_setaffinity(0, {DAEMON_CORE}),
        )

    async def wait_until_up(self) -> None:
        """Wait until the daemon accepts connections, by connecting, because the log level hides its message about the
        start.

        Raises RuntimeError if the daemon does not start.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                client = await connect(self.port)
                client.transport.close()
                return
            except OSError:
                if time.monotonic() > end or self.process.poll() is not None:
                    raise RuntimeError(f"the daemon did not start: {self.process.communicate()[1]}") from None
                await asyncio.sleep(0.02)

    def stop(self) -> None:
        """Send SIGTERM to the daemon, and wait until it exits."""
        self.process.terminate()
        self.process.communicate(timeout=STOP_TIMEOUT_S)


@contextlib.asynccontextmanager
async def running_daemon(tree: pathlib.Path, replica_port: int) -> AsyncIterator[Daemon]:
    """Runs the daemon of the version at `tree` in front of the replica, on a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(operator_file(replica_port).replace("127.0.0.1:0", f"127.0.0.1:{port}"))
        file.flush()
        daemon = Daemon(tree, file.name, port)
        try:
            await daemon.wait_until_up()
            yield daemon
        finally:
            daemon.stop()


# The measurements. Each returns its figures by the name under which they are printed.


async def event_costs(daemon: Daemon, divisor: int) -> dict[str, float]:
    """Measures CPU time per event, for events that arrive one by one, as from a model, and several at a time, as after
    a delay."""
    pid = daemon.process.pid
    streams = 100
    events = 400 // divisor
    before = cpu_time(pid)
    await run_clients(daemon.port, streams, 1, request_bytes(stream=True, x_events=events, x_gap=0.02))
    one_by_one = (cpu_time(pid) - before) / (streams * events) * 1e6
    before = cpu_time(pid)
    await run_clients(daemon.port, 20, 2, request_bytes(stream=True, x_events=8_000 // divisor))
    in_bursts = (cpu_time(pid) - before) / (40 * 8_000 / divisor) * 1e6
    return {"CPU us per event, one by one": one_by_one, "CPU us per event, in bursts": in_bursts}


async def request_costs(daemon: Daemon, divisor: int) -> dict[str, float]:
    """Measures CPU time per request for short requests of 8 clients, with complete and with streamed answers."""
    pid = daemon.process.pid
    count = 4_000 // divisor
    figures: dict[str, float] = {}
    for name, stream in (("whole", False), ("streamed", True)):
        before = cpu_time(pid)
        elapsed = await run_clients(daemon.port, 8, count // 8, request_bytes(stream=stream), expects_json=not stream)
        figures[f"CPU us per request, {name}"] = (cpu_time(pid) - before) / count * 1e6
        if stream:
            figures["streams a second on one core"] = count / elapsed
    return figures


async def added_latency(daemon: Daemon, replica_port: int, divisor: int) -> dict[str, float]:
    """Measures the time that the daemon adds to the time to first event."""
    direct = await first_events(replica_port, 1_000 // divisor)
    through = await first_events(daemon.port, 1_000 // divisor)
    median = statistics.median(direct)
    return {
        "added us to the first event, median": statistics.median(through) - median,
        "added us to the first event, 99%": statistics.quantiles(through, n=100)[98] - median,
    }


async def stalled_memory(daemon: Daemon) -> dict[str, float]:
    """Measures the daemon's memory per stream whose client stops reading after the first bytes."""
    loop = asyncio.get_running_loop()
    data = request_bytes(stream=True, x_events=400, x_pad=8_000)
    before = resident_bytes(daemon.process.pid)
    stalled: list[socket.socket] = []
    for _ in range(STALLED_STREAMS):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        await loop.sock_connect(sock, ("127.0.0.1", daemon.port))
        await loop.sock_sendall(sock, data)
        await loop.sock_recv(sock, 64)
        stalled.append(sock)
    await asyncio.sleep(1)
    kib_per_stream = (resident_bytes(daemon.process.pid) - before) / len(stalled) / 1024
    for sock in stalled:
        sock.close()
    return {"KiB that a stalled stream holds": kib_per_stream}


async def measure(tree: pathlib.Path, replica_port: int, quick: bool) -> dict[str, float]:
    """Returns all figures of the version at `tree`, measured with a newly started daemon."""
    divisor = QUICK_DIVISOR if quick else 1
    async with running_daemon(tree, replica_port) as daemon:
        await run_clients(daemon.port, 4, 50, request_bytes(stream=True))  # to warm up
        return {
            **await event_costs(daemon, divisor),
            **await request_costs(daemon, divisor),
            **await added_latency(daemon, replica_port, divisor),
            **await stalled_memory(daemon),
        }


def checkout(revision: str, folder: str) -> pathlib.Path:
    """Extracts an earlier version of this program from the git history into a folder, and returns its path."""
    archive = subprocess.run(["git", "archive", revision, "pearhill"], cwd=ROOT, check=True, capture_output=True)
    subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    return pathlib.Path(folder)


@contextlib.contextmanager
def running_replica() -> Iterator[int]:
    """Runs the replica as a child process, and yields its port."""
    process = subprocess.Popen(
        [sys.executable, __file__, "--server"],
        stdout=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: os.sched_setaffinity(0, {REPLICA_CORE}),
    )
    assert process.stdout
    try:
        yield int(process.stdout.readline())
    finally:
        process.terminate()
        process.wait()


def measure_rounds(revision: str, rounds: int, quick: bool) -> dict[str, dict[str, list[float]]]:
    """Returns the figures of all rounds by version ("before", "now") and name. Every other round begins with "now"."""
    samples: dict[str, dict[str, list[float]]] = {"before": {}, "now": {}}
    with running_replica() as port, tempfile.TemporaryDirectory() as folder:
        trees = {"before": checkout(revision, folder), "now": ROOT}
        for round_number in range(rounds):
            order = list(trees) if round_number % 2 == 0 else list(trees)[::-1]
            for name in order:
                for key, value in asyncio.run(measure(trees[name], port, quick)).items():
                    samples[name].setdefault(key, []).append(value)
    return samples


def print_table(samples: dict[str, dict[str, list[float]]], revision: str, rounds: int) -> None:
    """Print a row for each figure."""
    print(f"| {rounds} rounds, median (least to most) | before ({revision}) | now | now / before |")
    print("| --- | --- | --- | --- |")
    for key, old in samples["before"].items():
        new = samples["now"][key]
        cells = [f"{statistics.median(v):,.1f} ({min(v):,.1f} to {max(v):,.1f})" for v in (old, new)]
        print(f"| {key} | {cells[0]} | {cells[1]} | {statistics.median(new) / statistics.median(old):.2f} |")


def main() -> None:
    """Run the benchmark, or only its replica if the hidden option `--server` is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--before", default="9212b0a", help="git revision of the earlier version")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--quick", action="store_true", help="run a quarter of the load")
    parser.add_argument("--server", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    uvloop.install()
    if options.server:
        asyncio.run(serve())
        return
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, hard_limit), hard_limit))
    os.sched_setaffinity(0, set(range(FIRST_CLIENT_CORE, os.cpu_count() or 4)) or {0})
    samples = measure_rounds(options.before, options.rounds, options.quick)
    print_table(samples, options.before, options.rounds)


if __name__ == "__main__":
    main()
