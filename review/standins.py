"""Stand-ins for the cases of the review: the platform, replicas and clients, after the pages PROTOCOL and WIRE.

All of them run in one process, on loopback and on ports that the system picks. The dispatcher itself is a process of
its own, started by the `run` command of deploy/balancer.toml. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

ROOT = pathlib.Path(__file__).parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
READY_LIMIT_S = 20.0
SLACK_S = 0.5  # STANDING.md: an answer up to half a second after its time only earns nothing; later it is lost
PASSED_SOCKET = 7  # the descriptor of the clients' listening socket, where the platform holds it


def settings(**allowed: Any) -> dict[str, Any]:
    """Return settings like those of the first deployment; `allowed` replaces values of the key of that name."""
    return {
        "allowed": {
            "conn-idle": 15_000_000,
            "connect-timeout": 250_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 655_008,
            "max-attempts": 5,
            "max-retry-after": 500_000,
            "max-streams": 32,
            "may-cancel": True,
            "most-held": 26_200,
            "peers": False,
            "probing": True,
            "retry-after": True,
            "second-copies": False,
            **allowed,
        },
        "callers": {"marks-retry": False},
        "classes": [
            _request_class("advice", "read_like", aim=1_500_000, deadline=6_000_000, worth=1.0),
            _request_class("job-booking", "non_idempotent", aim=2_500_000, deadline=10_000_000, worth=3.0),
        ],
        "discovery": "pushed",
        "extra": {
            "aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0],
            "far-price": 0.04,
            "holds-allowed": True,
            "local-read": True,
            "release-within": 300_000,
            "resume": False,
            "role-by-kind": ["read", "write", "write", "both"],
            "token-aim": [70_000.0, 80_000.0],
            "tokens-by-kind": [197_071, 135_141, 164_993, 231_678],
        },
        "me": 0,
        "models": ["prompt-reader", "writer-a", "writer-b", "all-in-one"],
        "n-instances": 1,
        "over-share-worth": 0.1,
        "prices": {"probe": 0.0024, "cross-zone": 0.02, "waste": 0.03},
        "report": {"columns": [], "via": "off"},
        "rules": {
            "answer-slack": 8_000,
            "ask-within": 10_000_000,
            "cold": 13_000_000,
            "cold-from": 0.28,
            "drain-grace": 500_000,
            "fall": 1_500_000,
            "fall-multiple": 2.5,
        },
        "tenants": [],
        "tick": 2_000,
        "weight-source": "rough",
        "zone": 0,
        "zones": ["agadir-centre", "inezgane", "ait-melloul"],
    }


def _request_class(name: str, effect: str, **values: Any) -> dict[str, Any]:
    return {"name": name, "effect": effect, "group": "all", "window": 5_000_000, "stream": True, **values}


class Record:
    """Writes `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()


# HTTP/1.1, as little of it as the pages need.


@dataclass
class Message:
    """A request or a response. Header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with a Content-Length or without a body, or None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message without its body, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = head.split("\r\n")[:-2]
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Message(start, headers)


def response(status: int, body: bytes = b"", **headers: str) -> bytes:
    """Return a response with Content-Length. An `_` in a header's name stands for `-`."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


# The platform: discovery's agent and the dispatcher's process.


class Server:
    """A server on loopback. Each connection is served by `serve` until it ends."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on a port that the system picks."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                await self.serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0.05)


class Agent(Server):
    """Discovery's agent: answers `GET /v1/endpoints` and its watches."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 1
        self.replicas: list[Replica] = []

    def list(self) -> bytes:
        """Return the complete list."""
        targets = [replica.target() for replica in self.replicas]
        return json.dumps({"rev": self.revision, "all": True, "targets": targets}).encode()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls on one connection."""
        while (message := await read_message(reader)) is not None:
            query = message.start.split(" ")[1].partition("?")[2]
            values = dict(part.split("=") for part in query.split("&") if "=" in part)
            body = self.list()
            if "after" in values:
                until = time.monotonic() + int(values.get("wait_ms", "0")) / 1000
                while self.revision <= int(values["after"]) and time.monotonic() < until:
                    await asyncio.sleep(0.01)
                newer = self.revision > int(values["after"])
                body = (
                    self.list() if newer else json.dumps({"rev": self.revision, "all": False, "targets": []}).encode()
                )
            writer.write(response(200, body, Content_Type="application/json"))
            await writer.drain()


class Dispatcher:
    """One dispatcher, started as the platform starts it."""

    def __init__(self, record: Record, name: str, config: dict[str, Any], folder: pathlib.Path) -> None:
        self.record = record
        self.name = name
        self.folder = folder
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        self.log = bytearray()
        self._log_task: asyncio.Task[None] | None = None

    @property
    def listen(self) -> tuple[str, int]:
        """The address of its clients."""
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    @property
    def pid(self) -> int:
        """The process's id."""
        assert self.process is not None
        return self.process.pid

    async def start(self, passed: int | None = None, **environ: str) -> None:
        """Start the `run` command of the deploy file. `passed` is a listening socket that it inherits."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment |= {
            "RELAY_CONFIG": str(path),
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.folder / "tmp"),
            **environ,
        }
        (self.folder / "tmp").mkdir(exist_ok=True)
        if passed is not None:
            environment["RELAY_PASSED_SOCKET"] = str(PASSED_SOCKET)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            pass_fds=() if passed is None else (PASSED_SOCKET,),
            preexec_fn=None if passed is None else partial(os.dup2, passed, PASSED_SOCKET),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._log_task = asyncio.create_task(self._read_log())
        self.record(f"platform: {self.name} started, pid {self.pid}")

    async def _read_log(self) -> None:
        assert self.process is not None
        assert self.process.stderr is not None
        while data := await self.process.stderr.read(65536):
            self.log += data

    async def wait_ready(self) -> None:
        """Wait until `GET /ready` answers 200. Raises TimeoutError."""
        async with asyncio.timeout(READY_LIMIT_S):
            while True:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    if await get(self.listen, "/ready") == 200:
                        break
                await asyncio.sleep(0.05)
        self.record(f"platform: {self.name} is ready")

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.running:
            assert self.process is not None
            self.record(f"platform: {number.name} to {self.name}")
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process, and write its log beside the record's temporary files."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        if self._log_task is not None:
            await self._log_task


async def get(address: tuple[str, int], target: str, method: str = "GET") -> int:
    """Return the status of one call without a body, on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".encode())
        message = await read_head(reader)
        return int(message.start.split(" ")[1]) if message else 0
    finally:
        writer.close()


# Replicas.


@dataclass
class World:
    """What all replicas share: the read states that wait at readers, by request id, and the attempts that are out."""

    record: Record
    states: dict[str, Replica] = field(default_factory=dict)
    out: dict[str, list[str]] = field(default_factory=dict)  # by request id: the replicas that have an open attempt
    runs: dict[str, int] = field(default_factory=dict)  # by request id: the streams that writers have begun
    second_copies: list[str] = field(default_factory=list)


class Replica(Server):
    """A reader or a writer. A writer reads a prompt by itself where there is no state, as `local-read` allows.

    `frame` returns the chunks in which an event is written.
    """

    def __init__(self, world: World, uid: str, model: str, cell: int = 0) -> None:
        super().__init__()
        self.world = world
        self.uid = uid
        self.model = model
        self.cell = cell
        self.reads = model == "prompt-reader"
        self.read_s = 0.08  # to read a prompt
        self.event_s = 0.07  # between two events
        self.events = 20  # in an answer
        self.frame: Callable[[bytes], list[bytes]] = lambda event: [event]
        self.cut: dict[str, str] = {}  # by request id: when the dispatcher ended its connection
        self.finished: dict[str, bytes] = {}  # by request id: the events of a stream that was written to its end

    def target(self) -> dict[str, Any]:
        """Return its line in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "agadir-centre",
            "model": self.model,
            "pod_group": self.cell,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests on one connection."""
        while (message := await read_message(reader)) is not None:
            method, target, _ = message.start.split(" ")
            if method == "DELETE":
                number = target.rpartition("/")[2]
                if self.world.states.get(number) is self:
                    del self.world.states[number]
                self.world.record(f"{self.uid}: DELETE {number}")
                writer.write(response(204))
                continue
            if method != "POST" or not message.headers.get("request-id"):
                writer.write(response(404))
                continue
            if not await self._attempt(message, reader, writer):
                return

    async def _attempt(self, message: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer an attempt. Returns False if its connection has ended."""
        number = message.headers["request-id"]
        world = self.world
        out = world.out.setdefault(number, [])
        if out:
            world.second_copies.append(number)
        out.append(self.uid)
        world.record(f"{self.uid}: attempt for {number}, {len(message.body)} bytes; out before: {out[:-1] or 'none'}")
        gone = asyncio.ensure_future(_ended(reader))
        work = asyncio.ensure_future(self._read(number, writer) if self.reads else self._write(number, writer))
        try:
            await asyncio.wait((gone, work), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self.cut[number] = f"{world.record.now():.3f}"
                world.record(f"{self.uid}: the dispatcher has ended the connection of {number} before the answer's end")
                return False
            await work
            return True
        finally:
            out.remove(self.uid)
            gone.cancel()
            work.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)

    async def _read(self, number: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.read_s)
        self.world.states[number] = self
        self.world.record(f"{self.uid}: has read {number}")
        writer.write(response(202, b'{"cached_tokens":0}', Content_Type="application/json"))
        await writer.drain()

    async def _write(self, number: str, writer: asyncio.StreamWriter) -> None:
        fetched = self.world.states.pop(number, None)
        await asyncio.sleep(0.01 if fetched else self.read_s)
        self.world.runs[number] = self.world.runs.get(number, 0) + 1
        self.world.record(f"{self.uid}: stream of {number} begins, {self.events} events; run {self.world.runs[number]}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        sent = bytearray()
        for event in answer_events(number, self.events):
            writer.write(b"".join(chunk(piece) for piece in self.frame(event)))
            sent += event
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.finished[number] = bytes(sent)
        self.world.record(f"{self.uid}: stream of {number} written to its last chunk, {len(sent)} bytes")


async def _ended(reader: asyncio.StreamReader) -> None:
    """Wait for the end of a connection, without reading a byte of what may come behind the request."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.005)


def answer_events(number: str, count: int) -> list[bytes]:
    """Return the events of an answer, in the form that the protocol page shows."""
    events = [
        _event({"choices": [{"index": 0, "delta": {"content": f"{number[-4:]} {k} "}, "finish_reason": None}]})
        for k in range(count)
    ]
    events.append(_event({"choices": [{"index": 0, "delta": {"content": "."}, "finish_reason": "stop"}]}))
    usage = {"prompt_tokens": 512, "completion_tokens": count, "prompt_tokens_details": {"cached_tokens": 0}}
    return [*events, _event({"choices": [], "usage": usage}), b"data: [DONE]\n\n"]


def _event(fields: dict[str, Any]) -> bytes:
    return b"data: %b\n\n" % json.dumps(fields, separators=(",", ":")).encode()


# Clients.


@dataclass
class Answer:
    """What a client has received for one request. `seconds` runs from the request's last byte."""

    number: str
    status: int = 0
    body: bytes = b""
    complete: bool = False  # up to the last chunk, or the length
    first_s: float = 0.0  # until the first byte
    seconds: float = 0.0
    why: str = ""


def chat_request(
    number: str,
    timeout_ms: int,
    request_class: str = "advice",
    max_out: int = 320,
    text: str = "x" * 200,
    stated_tokens: int = 0,
) -> bytes:
    """Return a request of the platform's protocol. `stated_tokens`: the stated length of the prompt, 0 for the true
    one."""
    body = json.dumps(
        {"model": "chat", "stream": True, "max_tokens": max_out, "messages": [{"role": "user", "content": text}]}
    ).encode()
    tokens = stated_tokens or max(1, len(text) // 4)
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {number}\r\n"
        f"Request-Class: {request_class}\r\nAffinity-Key: {number}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
        f"Request-Info: prompt_len={tokens},max_out={max_out}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def ask(address: tuple[str, int], number: str, data: bytes, first_byte_s: float) -> Answer:
    """Send a request on a new connection, and return its answer. The client leaves after `first_byte_s` seconds without
    a first byte."""
    answer = Answer(number)
    try:
        reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    except OSError as error:
        answer.why = f"connect: {error}"
        return answer
    start = time.monotonic()
    try:
        writer.write(data)
        await writer.drain()
        start = time.monotonic()
        async with asyncio.timeout(first_byte_s):
            head = await read_head(reader)
        answer.first_s = time.monotonic() - start
        if head is None:
            answer.why = "the connection has ended without an answer"
            return answer
        answer.status = int(head.start.split(" ")[1])
        await _read_body(reader, head, answer)
    except TimeoutError:
        answer.why = f"no byte of an answer within {first_byte_s:.2f} s"
    except OSError as error:
        answer.why = f"{type(error).__name__}: {error}"
    finally:
        answer.seconds = time.monotonic() - start
        writer.close()
    return answer


async def _read_body(reader: asyncio.StreamReader, head: Message, answer: Answer) -> None:
    body = bytearray()
    try:
        if head.headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body += await reader.readexactly(int(head.headers.get("content-length", "0")))
        answer.complete = True
    except asyncio.IncompleteReadError as error:
        body += error.partial
        answer.why = "the connection has ended before the last chunk"
    answer.body = bytes(body)


def describe(answer: Answer) -> str:
    """Return one line on an answer."""
    state = "complete" if answer.complete else f"NOT complete: {answer.why}"
    return (
        f"client: {answer.number}: status {answer.status}, {len(answer.body)} bytes, {state}, "
        f"first byte after {answer.first_s:.3f} s, end after {answer.seconds:.3f} s"
    )


# Running a case.

Case = Callable[[Record, pathlib.Path], Awaitable[int]]


def run(folder: pathlib.Path, case: Case) -> None:
    """Run a case within its time limit, and exit with its result."""
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = asyncio.run(_limited(case, record, pathlib.Path(temporary)))
        except Exception as error:
            record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            result = NOT_RUN
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "could not run"}
    record(f"result: {words[result]}")
    print(words[result])
    sys.exit(result)


async def _limited(case: Case, record: Record, temporary: pathlib.Path) -> int:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case(record, temporary)


def free_address() -> str:
    """Return a loopback address whose port is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def configuration(agent: Agent, **changes: Any) -> dict[str, Any]:
    """Return a dispatcher's configuration; `changes` replaces keys."""
    return {
        "name": "n1",
        "listen": free_address(),
        "discovery": agent.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": json.loads(agent.list()),
        "settings": settings(),
        **changes,
    }
