"""Stand-ins of the second review: replicas, discovery's agent, clients, and the dispatcher as a process.

They follow the protocol page: HTTP/1.1 on loopback, one request at a time on a connection. Each case starts them in one
event loop, and the dispatcher as a process of its own with the command of `deploy/balancer.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD = 0
BROKEN = 1
NOT_RUN = 2
STOP_LIMIT_S = 6  # from SIGTERM to SIGKILL, for a process that the case ends
CASE_LIMIT_S = 104  # a case is given up then; ending its processes may take some seconds more

Headers = dict[str, str]


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """Writes `record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Message:
    """A request or a response that was read whole. `complete` is False if the connection ended before its end."""

    first: str
    headers: Headers = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first.split(" ")[0]

    @property
    def path(self) -> str:
        """The target of a request."""
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message. Returns None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    return Message(lines[0], {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message. Returns None if the connection ends before its head is complete."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
    return message


def response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return a response with a Content-Length."""
    length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 {status} Status\r\n{headers}{length}\r\n".encode("latin-1") + body


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
DONE = b"data: [DONE]\n\n"


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(text: str, last: bool = False) -> bytes:
    """Return an event of a stream that carries a text."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": "stop" if last else None}
    return b"data: " + json.dumps({"choices": [choice]}, separators=(",", ":")).encode() + b"\n\n"


def usage(prompt: int, answer: int, cached: int = 0) -> bytes:
    """Return the usage event of a stream."""
    counts = {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "prompt_tokens_details": {"cached_tokens": cached},
    }
    return b"data: " + json.dumps({"choices": [], "usage": counts}, separators=(",", ":")).encode() + b"\n\n"


Respond = Callable[["Connection", Message], Awaitable[None]]


class Connection:
    """An accepted connection of a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def write(self, data: bytes) -> None:
        """Write bytes. A connection that has ended is ignored."""
        with contextlib.suppress(ConnectionError):
            self.writer.write(data)
            await self.writer.drain()


class Server:
    """A stand-in server: `respond` answers each whole request of its connections."""

    def __init__(self, respond: Respond) -> None:
        self.respond = respond
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen on a free port of loopback, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while (message := await read_message(reader)) and message.complete:
                await self.respond(Connection(reader, writer), message)
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()

    def stop(self) -> None:
        """Stop listening, and close all connections."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


class Agent:
    """Discovery's agent: the whole list, and watches that wait for a newer version."""

    def __init__(self) -> None:
        self.rev = 1
        self.targets: dict[str, dict[str, Any]] = {}
        self.server = Server(self._respond)
        self._changed = asyncio.Event()

    def set(self, uid: str, address: str, model: str, cell: int = 1, zone: str = "a", state: str = "active") -> None:
        """List a replica, or change its entry."""
        self.targets[uid] = {
            "uid": uid,
            "endpoint": address,
            "az": zone,
            "model": model,
            "pod_group": cell,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": self.targets.get(uid, {}).get("boot_ms", 0),
        }
        self.publish()

    def publish(self) -> None:
        """Tell the open watches that the list has changed."""
        self.rev += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def body(self) -> bytes:
        """Return the whole list."""
        return json.dumps({"rev": self.rev, "all": True, "targets": list(self.targets.values())}).encode()

    async def _respond(self, connection: Connection, message: Message) -> None:
        watch = re.search(r"after=(\d+)&wait_ms=(\d+)", message.path)
        if watch and int(watch[1]) >= self.rev:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(watch[2]) / 1000)
        if watch and int(watch[1]) >= self.rev:
            empty = json.dumps({"rev": self.rev, "all": False, "targets": []}).encode()
            return await connection.write(response(200, empty))
        await connection.write(response(200, self.body()))


class Client:
    """One connection of a client, which sends one request at a time."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(self, data: bytes) -> None:
        """Send a request, on a new connection if there is none. Raises OSError."""
        if self.writer is None:
            host, _, port = self.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.writer.write(data)
        await self.writer.drain()

    async def read(self) -> Message | None:
        """Read the answer, and close the connection if the dispatcher asks for that or the answer is not whole."""
        assert self.reader
        answer = await read_message(self.reader)
        if answer is None or not answer.complete or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
        self.reader = None
        self.writer = None


def completion(request_id: str, request_class: str, timeout_ms: int, info: str, text: str = "What?") -> bytes:
    """Return a client's request in the form of the protocol page."""
    fields = {"model": "chat", "stream": True, "messages": [{"role": "user", "content": text}]}
    body = json.dumps(fields).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\n"
        f"Request-Id: {request_id}\r\nRequest-Class: {request_class}\r\nAffinity-Key: {request_id}\r\n"
        f"Request-Timeout-Ms: {timeout_ms}\r\nRequest-Info: {info}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


class Dispatcher:
    """The platform's dispatcher as a process, started with the `run` command of the deploy file."""

    def __init__(self, discovery: str, settings: dict[str, Any], known: Any = None, environ: Any = None) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self.address = f"127.0.0.1:{free_port()}"
        self.config = self.folder / "config.json"
        self.log = self.folder / "log.txt"
        (self.folder / "tmp").mkdir()
        self.contents = {
            "name": "n1",
            "listen": self.address,
            "discovery": discovery,
            "seed": f"{time.time_ns() & 0xFFFFFFFF:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or {"rev": 0, "all": True, "targets": []},
            "settings": settings,
        }
        self.config.write_text(json.dumps(self.contents))
        self.environ = {
            **{name: value for name, value in os.environ.items() if not name.startswith("RELAY_")},
            "RELAY_CONFIG": str(self.config),
            "TMPDIR": str(self.folder / "tmp"),
            **(environ or {}),
        }
        self.process: asyncio.subprocess.Process | None = None

    @property
    def command(self) -> str:
        """The command that starts the process."""
        command: str = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        return command

    async def start(self) -> None:
        """Start the process, without waiting until it is ready."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.command, cwd=ROOT, env=self.environ, stdout=log, stderr=log
            )

    async def wait_ready(self, limit_s: float = 20) -> bool:
        """Wait until `GET /ready` answers 200. Returns False if it does not within the limit."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                client = Client(self.address)
                await client.send(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                answer = await client.read()
                client.close()
                if answer and answer.status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self) -> None:
        """End the process."""
        if self.process and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), STOP_LIMIT_S)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()

    def clean_up(self) -> None:
        """Remove the temporary folder."""
        self._folder.cleanup()


def _library_path() -> dict[str, str]:
    """Return what the chat API's process needs in its environment if the extra [chat] is not installed."""
    if importlib.util.find_spec("xxhash"):
        return {}
    return {"PYTHONPATH": str(ROOT / "review" / "fallback")}


class ChatDispatcher(Dispatcher):
    """The chat API's dispatcher as a process: the `run` command of the deploy file, with the operator's file.

    The file is `deploy/chat.toml` with other addresses and, with `budgets`, `deploy/budgets.toml` with a folder.
    """

    def __init__(self, replicas: list[str], budgets: bool = False) -> None:
        super().__init__("127.0.0.1:1", {}, environ=_library_path())
        chat = (ROOT / "deploy/chat.toml").read_text()
        chat = chat.replace('listen = "127.0.0.1:8090"', f'listen = "{self.address}"')
        for number, replica in enumerate(replicas, 1):
            chat = chat.replace(f"127.0.0.1:810{number}", replica)
        if budgets:
            tables = (ROOT / "deploy/budgets.toml").read_text()
            folder = f'folder = "{self.folder}/budgets"'
            (self.folder / "budgets.toml").write_text(tables.replace('# folder = "/var/lib/pearhill/budgets"', folder))
            named = f'budgets_file = "{self.folder}/budgets.toml"'
            chat = chat.replace('# budgets_file = "deploy/budgets.toml"', named)
        self.config = self.folder / "chat.toml"
        self.config.write_text(chat)

    @property
    def command(self) -> str:
        """The command that starts the process."""
        return f"{super().command} --chat {self.config}"


def chat_request(path: str, fields: dict[str, Any], headers: str = "") -> bytes:
    """Return a request to the chat API."""
    body = json.dumps(fields).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: chat\r\nContent-Type: application/json\r\n{headers}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of the site souss-helpdesk, for one dispatcher. `changes` replace whole tables."""
    return {
        "allowed": {
            "conn-idle": 15000000,
            "connect-timeout": 250000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 500000,
            "max-attempts": 5,
            "max-retry-after": 500000,
            "max-streams": 32,
            "may-cancel": True,
            "most-held": 26200,
            "peers": False,
            "probing": True,
            "retry-after": True,
            "second-copies": False,
        },
        "blend": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.4},
        "callers": {"marks-retry": False},
        "classes": [
            {
                "aim": 1500000,
                "deadline": 6000000,
                "effect": "read_like",
                "group": "all",
                "late-worth": 0.1,
                "name": "advice",
                "stream": True,
                "window": 5000000,
                "worth": 1.0,
            },
            {
                "aim": 2500000,
                "deadline": 10000000,
                "effect": "non_idempotent",
                "group": "all",
                "late-worth": 0.3,
                "name": "job-booking",
                "stream": True,
                "window": 5000000,
                "worth": 3.0,
            },
        ],
        "discovery": "pushed",
        "extra": {
            "aim-us-per-1000-prompt-tokens": [40000.0, 40000.0],
            "far-price": 0.04,
            "holds-allowed": True,
            "local-read": True,
            "release-within": 300000,
            "report-x0": "share of memory that is held",
            "report-x1": "thousands of prompt tokens waiting to be read or fetched",
            "resume": False,
            "role-by-kind": ["read", "write", "write", "both"],
            "token-aim": [70000.0, 80000.0],
            "tokens-by-kind": [197071, 135141, 164993, 231678],
        },
        "me": 0,
        "models": ["prompt-reader", "writer-a", "writer-b", "all-in-one"],
        "n-instances": 1,
        "over-share-worth": 0.1,
        "prices": {"cross-zone": 0.02, "late-fail": 0.08, "probe": 0.0024, "waste": 0.03},
        "report": {"columns": [], "via": "off"},
        "rules": {
            "answer-slack": 8000,
            "ask-within": 10000000,
            "cold": 13000000,
            "cold-from": 0.28,
            "drain-grace": 500000,
            "fall": 1500000,
            "fall-multiple": 2.5,
        },
        "tenants": [],
        "tick": 2000,
        "tier": 0,
        "tiers": ["model-fleet"],
        "weight-source": "rough",
        "workload": "twostage",
        "worth-by": "work",
        "zone": 0,
        "zones": ["agadir-centre", "inezgane", "ait-melloul"],
        **changes,
    }


def main(case: Callable[[Record], Awaitable[int]], file: str) -> None:
    """Run a case and exit with its result: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(pathlib.Path(file).resolve().parent)
    try:
        result = asyncio.run(asyncio.wait_for(case(record), CASE_LIMIT_S))
    except Exception as error:  # whatever prevents the run is reported as such
        record.line(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.close()
    sys.exit(result)
