"""Measures the ticks of a dispatcher's event loop by shape of input and number of clients that send it at full speed.

    .venv/bin/python benchmarks/loop_ticks.py [--clients 50 200] [--shapes one-string ...] [--seconds 6] [--json FILE]

For each pair a new dispatcher runs on loopback with one stand-in replica. Bad clients send one request of the shape
each, on a new connection, again as soon as it is answered. Beside them a usual client sends requests at a steady rate.
A row has the longest tick that `GET /counters` reports, and how long usual requests took; those without an answer half
a second after their time are lost.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import http.client
import json
import pathlib
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests.standins import Discovery, Program, Standin, platform  # noqa: E402

PATH = "/v1/chat/completions"
BODY_BYTES = 250_000  # of the 256 KiB that a body may have
DEPTH = 400
CHUNK_FRAMING_BYTES = 5  # of a chunk of one digit, beside its data
MANY_REQUESTS = 2_000  # that a client sends at once
HEADERS = 4_000  # that fit into one head
USUAL_INTERVAL_S = 0.1
USUAL_TIMEOUT_MS = 3_000
SLACK_S = 0.5
USUAL_BODY = json.dumps({"model": "chat", "stream": True, "messages": [{"role": "user", "content": "word " * 200}]})


def _head(request_id: str, *fields: str) -> bytes:
    lines = (
        f"POST {PATH} HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {request_id}",
        "Request-Class: advice",
        f"Request-Timeout-Ms: {USUAL_TIMEOUT_MS}",
        *fields,
        "\r\n",
    )
    return "\r\n".join(lines).encode()


def _with_body(body: bytes) -> Callable[[str], bytes]:
    return lambda request_id: _head(request_id, f"Content-Length: {len(body)}") + body


def _in_chunks(size: int) -> Callable[[str], bytes]:
    part = b"%x\r\n%b\r\n" % (size, b"[" * size)
    body = part * (BODY_BYTES // size) + b"0\r\n\r\n"
    return lambda request_id: _head(request_id, "Transfer-Encoding: chunked") + body


def _repeated(part: bytes) -> bytes:
    """Return a JSON object with an array of these parts, whose last byte is missing."""
    return b'{"model":"chat","messages":[' + part * (BODY_BYTES // len(part)) + b"0]"


def _many_headers(request_id: str) -> bytes:
    return _head(request_id, *(f"h{number:x}:" for number in range(HEADERS)), "Content-Length: 0")


def _many_requests(request_id: str) -> bytes:
    return b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" * MANY_REQUESTS


SHAPES: dict[str, Callable[[str], bytes]] = {
    "nested-brackets": _with_body(_repeated(b"[" * DEPTH + b"]" * DEPTH + b",")),
    "empty-lists": _with_body(_repeated(b"[],")),
    "small-numbers": _with_body(_repeated(b"1,")),
    "one-string": _with_body(b'{"model":"' + b"x" * BODY_BYTES),
    "escapes": _with_body(b'{"model":"' + b"\\n" * (BODY_BYTES // 2)),
    "chunks-of-1": _in_chunks(1),
    "chunks-of-8": _in_chunks(8),
    "many-headers": _many_headers,
    "many-requests": _many_requests,
    "garbage": lambda request_id: b"\x00" * 1_000,
}


@dataclass(frozen=True)
class Row:
    """What was measured for one shape and number of clients. Times are in milliseconds."""

    shape: str
    clients: int
    longest_tick_ms: float
    usual: int
    lost: int
    median_ms: float
    longest_ms: float
    bad_per_s: float


async def _bad_client(address: tuple[str, int], shape: str, number: int, until: float, answers: Counter[str]) -> None:
    make = SHAPES[shape]
    tries = 0
    while time.monotonic() < until:
        tries += 1
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(make(f"bad{number}-{tries}"))
                answer = await reader.read(65_536)
                answers[answer[9:12].decode("latin-1")] += 1
                while answer:
                    answer = await reader.read(65_536)
            finally:
                writer.close()


async def _run_bad_clients(address: tuple[str, int], shape: str, clients: int, seconds: float) -> None:
    answers: Counter[str] = Counter()
    until = time.monotonic() + seconds
    work = [asyncio.create_task(_bad_client(address, shape, number, until, answers)) for number in range(clients)]
    await asyncio.wait(work, timeout=seconds + 1)
    for task in work:
        task.cancel()
    print(json.dumps(answers), flush=True)


def _ask(program: Program, number: int, times: list[float]) -> None:
    """Send a usual request, and append how long it took, or infinity if it was lost."""
    start = time.monotonic()
    limit_s = USUAL_TIMEOUT_MS / 1000 + SLACK_S
    connection = http.client.HTTPConnection(program.host, program.port, timeout=limit_s)
    headers = {
        "Request-Id": f"usual{number}",
        "Request-Class": "advice",
        "Request-Timeout-Ms": str(USUAL_TIMEOUT_MS),
    }
    elapsed = float("inf")
    try:
        connection.request("POST", PATH, USUAL_BODY, headers)
        connection.getresponse().read()
        elapsed = time.monotonic() - start
    except (OSError, http.client.HTTPException):
        pass
    finally:
        connection.close()
    times.append(elapsed if elapsed < limit_s else float("inf"))


def measure(shape: str, clients: int, seconds: float) -> Row:
    """Run one dispatcher with bad and usual clients."""
    replica = Standin()
    discovery = Discovery(("s-0", replica.address, "all-in-one"))
    program = platform(discovery.address, limits={"sockets": 1024, "memory_mb": 192})
    times: list[float] = []
    try:
        program.wait_ready()
        arguments = ("--load", program.host, str(program.port), shape, str(clients), str(seconds))
        load = subprocess.Popen([sys.executable, __file__, *arguments], stdout=subprocess.PIPE, text=True)
        usual: list[threading.Thread] = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            usual.append(threading.Thread(target=_ask, args=(program, len(usual), times)))
            usual[-1].start()
            time.sleep(USUAL_INTERVAL_S)
        for thread in usual:
            thread.join()
        answers: dict[str, int] = json.loads(load.communicate()[0])
        counters = program.counters()
    finally:
        program.kill()
        discovery.close()
        replica.close()
    in_order = sorted(times)
    return Row(
        shape,
        clients,
        counters["longest_tick_us"] / 1000,
        len(times),
        times.count(float("inf")),
        1000 * in_order[len(in_order) // 2],
        1000 * in_order[-1],
        sum(answers.values()) / seconds,
    )


def main() -> None:
    """Read the arguments and print a row for each measurement."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--clients", type=int, nargs="*", default=[50, 200])
    parser.add_argument("--shapes", nargs="*", default=list(SHAPES), choices=list(SHAPES))
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--load", nargs=5, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.load:
        host, port, shape, clients, seconds = options.load
        asyncio.run(_run_bad_clients((host, int(port)), shape, int(clients), float(seconds)))
        return
    rows = []
    print("shape             clients  longest tick ms  lost of usual  median ms  longest ms  bad/s")
    for shape in options.shapes:
        for clients in options.clients:
            row = measure(shape, clients, options.seconds)
            rows.append(asdict(row))
            print(
                f"{row.shape:17} {row.clients:7} {row.longest_tick_ms:16.1f} {row.lost:6} of {row.usual:4} "
                f"{row.median_ms:10.1f} {row.longest_ms:11.1f} {row.bad_per_s:6.0f}",
                flush=True,
            )
    if options.json:
        options.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
