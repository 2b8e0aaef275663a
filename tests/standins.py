"""Helpers of the tests with real sockets: the program as a process, stand-in replicas that record every request, and a
discovery service that lists them. All listen on loopback, on ports that the system chooses."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import re
import resource
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import pytest

ROOT = pathlib.Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "allowed": {
        "conn-idle": 15000000,
        "connect-timeout": 250000,
        "max-attempts": 5,
        "max-retry-after": 500000,
        "may-cancel": True,
        "most-held": 1000,
        "retry-after": True,
        "second-copies": False,
    },
    "classes": [
        {"name": "advice", "aim": 1500000, "deadline": 6000000, "effect": "read_like", "worth": 1.0},
        {"name": "job-booking", "aim": 2500000, "deadline": 10000000, "effect": "non_idempotent", "worth": 3.0},
    ],
    "extra": {
        "aim-us-per-1000-prompt-tokens": [40000, 40000],
        "local-read": False,
        "release-within": 300000,
        "role-by-kind": ["read", "write", "both"],
        "tokens-by-kind": [200000, 200000, 200000],
        "token-aim": [70000, 80000],
    },
    "models": ["reader", "writer", "all-in-one"],
    "n-instances": 1,
    "zone": 0,
    "zones": ["north", "south"],
    "rules": {"cold": 13000000, "cold-from": 0.28, "fall": 1500000, "fall-multiple": 2.5},
    "tick": 2000,
}
STREAM_CHUNKS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n' % word
    for word in (b"one ", b"two")
]
STREAM_END = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\ndata: [DONE]\n\n'
)


HTTP_METHODS = ("GET", "POST", "PUT", "DELETE")


class CleanupCase:
    """Base class of tests that start processes or servers; each test closes the `ExitStack` `cleanup` at its end."""

    @pytest.fixture(autouse=True)
    def clean_up(self) -> Iterator[None]:
        """Create `cleanup` for one test, and close it afterwards."""
        with contextlib.ExitStack() as self.cleanup:
            yield


class StandinHandler(BaseHTTPRequestHandler):
    """Records each complete request at its stand-in, whose `respond` answers by means of the other methods."""

    protocol_version = "HTTP/1.1"
    server: StandinServer

    @property
    def standin(self) -> Standin:
        """The stand-in that received this request."""
        return self.server.standin

    def serve(self) -> None:
        """Read a request of any method, record it, and let the stand-in respond."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        with self.standin.recorded:
            self.standin.calls.append((self.command, self.path))
            self.standin.bodies.append(body)
            self.standin.headers.append(dict(self.headers))
            self.standin.recorded.notify_all()
        try:
            self.standin.respond(self, body)
        except OSError:
            self.close_connection = True

    def log_message(self, *args: Any) -> None:
        """Suppresses the log of http.server."""

    def send_response_body(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a response with Content-Length. An `_` in a header's name stands for `-`."""
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def chunks(self, *parts: bytes, last: bool = True) -> None:
        """Send an event stream with one chunk for each part. The body is terminated unless `last` is False."""
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for part in parts:
            self.send_chunk(part)
        if last:
            self.wfile.write(b"0\r\n\r\n")

    def send_chunk(self, part: bytes) -> None:
        """Send another chunk of a body that is not terminated yet."""
        self.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
        self.wfile.flush()


for _method in HTTP_METHODS:
    setattr(StandinHandler, f"do_{_method}", StandinHandler.serve)  # the names that http.server calls


class StandinServer(ThreadingHTTPServer):
    """The HTTP server of a stand-in, on loopback and on a port that the system chooses."""

    daemon_threads = True

    def __init__(self, standin: Standin) -> None:
        self.standin = standin
        super().__init__(("127.0.0.1", 0), StandinHandler)

    def handle_error(self, *args: Any) -> None:
        """Prints nothing: a dispatcher that cancels an attempt closes its connection, which is no error here."""


class Standin:
    """A stand-in replica. A test may replace its `respond(handler, body)`."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []  # method and path of each complete request
        self.bodies: list[bytes] = []  # the body of each of `calls`
        self.headers: list[dict[str, str]] = []  # the headers of each of `calls`
        self.recorded = threading.Condition()  # guards the three lists
        self.release_answers = threading.Event()  # set by a test to release answers that wait for it
        self.server = StandinServer(self)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()

    def respond(self, handler: Any, body: bytes, /) -> Any:
        """Answer a DELETE (the release of a held state) with 204, other requests with STREAM_CHUNKS and STREAM_END."""
        if handler.command == "DELETE":
            handler.send_response_body(204)
        else:
            handler.chunks(*STREAM_CHUNKS, STREAM_END)

    @property
    def post_count(self) -> int:
        """The number of complete POST requests."""
        return sum(method == "POST" for method, _ in self.calls)

    def wait_for(self, method: str, path: str = "", count: int = 1) -> None:
        """Wait for `count` requests of a method with paths that begin with `path`; fails after 20 s."""

        def found() -> bool:
            return sum(m == method and p.startswith(path) for m, p in self.calls) >= count

        with self.recorded:
            assert self.recorded.wait_for(found, 20), f"no {method} {path} among {self.calls}"

    def close(self) -> None:
        """Release the answers that wait for `release_answers`, and stop the server."""
        self.release_answers.set()
        self.server.shutdown()
        self.server.server_close()


def dead_address() -> str:
    """Returns an address where no socket listens."""
    standin = Standin()
    standin.close()
    return standin.address


class Discovery(Standin):
    """A discovery service that lists each (uid, address, kind) as active, or as leaving if its uid is in `leaving`."""

    def __init__(self, *targets: tuple[str, str, str]) -> None:
        self.targets = list(targets)
        self.rev = 1
        self.changed = threading.Condition()  # guards `targets` and `rev`
        self.leaving: set[str] = set()  # uids of draining replicas
        super().__init__()

    def answer(self) -> dict[str, Any]:
        """Returns the endpoint list in the form of the protocol."""
        return {
            "rev": self.rev,
            "all": True,
            "targets": [
                {
                    "uid": uid,
                    "endpoint": address,
                    "az": "north",
                    "model": kind,
                    "pod_group": 1,
                    "state": "leaving" if uid in self.leaving else "active",
                    "capacity_hint": 1.0,
                    "boot_ms": 0,
                }
                for uid, address, kind in self.targets
            ],
        }

    def update(self, *targets: tuple[str, str, str]) -> None:
        """Replace the list, and increment its revision."""
        with self.changed:
            self.targets = list(targets)
            self.rev += 1
            self.changed.notify_all()

    def respond(self, handler: Any, body: bytes, /) -> Any:
        """Answer with the list; a watch (parameter `after`) waits at most `wait_ms` for a newer revision."""
        after = re.search(r"after=(\d+)(?:&wait_ms=(\d+))?", handler.path)
        if after:
            with self.changed:
                self.changed.wait_for(lambda: self.rev > int(after[1]), int(after[2] or 0) / 1000)
        handler.send_response_body(200, json.dumps(self.answer()).encode())


class Program:
    """The program as a process, with its log lines and the address that it logs at its start.

    `files` is the limit of its file descriptors, 0 for that of this process. `passed` are descriptors that it inherits.
    """

    LAUNCH: tuple[str, ...] = ("-m", "pearhill")
    config = pathlib.Path()  # the configuration file
    folder: tempfile.TemporaryDirectory[str] | None = None  # holds that file if it was created for this process

    def __init__(self, *arguments: str, files: int = 0, passed: tuple[int, ...] = (), **environ: str) -> None:
        def limit() -> None:
            if files:
                resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))

        inherited = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        self.process = subprocess.Popen(
            [sys.executable, *self.LAUNCH, *arguments],
            stderr=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            preexec_fn=limit,
            pass_fds=passed,
            env={**inherited, **environ},
        )
        self.follow_log()
        address: str = self.wait_line(r"listens on ([\w.:]+)")[1]
        self.host, _, port = address.rpartition(":")
        self.port = int(port)

    def follow_log(self) -> None:
        """Start a thread that collects the log lines of the process."""
        self.lines: list[str] = []
        self.line_read = threading.Condition()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stderr
        for line in self.process.stderr:
            with self.line_read:
                self.lines.append(line)
                self.line_read.notify_all()

    def wait_line(self, pattern: str, after: int = 0) -> re.Match[str]:
        """Wait for a log line that matches, skipping the first `after` lines; fails after 20 s."""

        def find() -> re.Match[str] | None:
            return next(filter(None, (re.search(pattern, line) for line in self.lines[after:])), None)

        with self.line_read:
            found = self.line_read.wait_for(find, 20)
        assert found, f"no line with {pattern!r} in:\n{''.join(self.lines)}"
        return found

    def connect(self, timeout: float = 20) -> http.client.HTTPConnection:
        """Returns a new connection; `timeout` is in seconds."""
        return http.client.HTTPConnection(self.host, self.port, timeout=timeout)

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request on its own connection; returns status, headers (lower-case names) and body of the response."""
        connection = self.connect()
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
        finally:
            connection.close()

    def counters(self) -> dict[str, Any]:
        """Returns the response to `GET /counters`."""
        counters: dict[str, Any] = json.loads(self.request("GET", "/counters")[2])
        return counters

    def wait_ready(self, status: int = 200) -> None:
        """Wait until `GET /ready` answers with the status; fails after 20 s."""
        end = time.monotonic() + 20
        while self.request("GET", "/ready")[0] != status:
            assert time.monotonic() < end, f"never {status}:\n{''.join(self.lines)}"

    def kill(self) -> None:
        """Kill the process and remove its files, as the clean-up of a test."""
        self.process.kill()
        self.stop()
        if self.folder:
            self.folder.cleanup()

    def reload(self, text: str, line: str = "reload: done") -> None:
        """Replace the configuration file and send SIGHUP; returns once a new log line matches `line`."""
        self.config.write_text(text)
        known = len(self.lines)
        self.process.send_signal(signal.SIGHUP)
        self.wait_line(line, known)

    def stop(self) -> int:
        """Terminate the process by SIGTERM if it runs; returns its exit code."""
        if self.process.poll() is None:
            self.process.terminate()
        code = self.process.wait(20)
        self._reader.join(20)
        assert self.process.stderr
        self.process.stderr.close()
        return code


def platform_file(discovery: str, known: list[dict[str, Any]] | None = None, **changes: Any) -> str:
    """Returns the platform's configuration as JSON; `changes` replace values of its keys."""
    return json.dumps(
        {
            "name": "t1",
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "seed": "1f",
            "settings": SETTINGS,
            "limits": {"sockets": 256},
            "known": {"rev": 0, "all": True, "targets": known or []},
            **changes,
        }
    )


def platform(
    discovery: str,
    known: list[dict[str, Any]] | None = None,
    files: int = 0,
    **changes: Any,
) -> Program:
    """Start a dispatcher of the platform. RELAY_DISCOVERY is set too, as in the deployment."""
    folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(folder.name) / "config.json"
    path.write_text(platform_file(discovery, known, **changes))
    program = Program(files=files, RELAY_CONFIG=str(path), RELAY_DISCOVERY=discovery)
    program.config, program.folder = path, folder
    return program
