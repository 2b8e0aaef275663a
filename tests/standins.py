"""Stand-ins for the tests of the network code: the real program as a process, servers that count every run, and
the registries that name them. All on loopback, all on ports that the system picks."""

from __future__ import annotations

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
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

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
TOKENS = [
    b'data: {"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":null}]}\n\n' % word
    for word in (b"one ", b"two")
]
LAST = (
    b'data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}\n\n'
    b'data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11,'
    b'"prompt_tokens_details":{"cached_tokens":4}}}\n\ndata: [DONE]\n\n'
)


class Standin:
    """A server whose `respond(handler, body)` a test may replace. `calls` lists (method, path), `runs` counts POSTs
    that came in whole on each path."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []
        self.bodies: list[bytes] = []
        self.headers: list[dict[str, str]] = []
        self.seen = threading.Condition()
        self.go = threading.Event()  # for answers that wait for the test

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            standin: Standin = self

            def serve(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                with self.standin.seen:
                    self.standin.calls.append((self.command, self.path))
                    self.standin.bodies.append(body)
                    self.standin.headers.append(dict(self.headers))
                    self.standin.seen.notify_all()
                try:
                    self.standin.respond(self, body)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_PUT = do_DELETE = serve

            def log_message(self, *args: Any) -> None:
                pass

            def plain(self, status: int, body: bytes = b"", **headers: str) -> None:
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name.replace("_", "-"), value)
                if status != 204:
                    self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def chunks(self, *parts: bytes, last: bool = True) -> None:
                self.send_response(200)
                self.send_header("Content-Type", "text/event-stream")
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                for part in parts:
                    self.more(part)
                if last:
                    self.wfile.write(b"0\r\n\r\n")

            def more(self, part: bytes) -> None:
                self.wfile.write(b"%x\r\n%b\r\n" % (len(part), part))
                self.wfile.flush()

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *args: Any) -> None:
                pass  # a dispatcher that gives an attempt up closes its connection

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()

    def respond(self, handler: Any, body: bytes) -> None:
        handler.plain(204) if handler.command == "DELETE" else handler.chunks(*TOKENS, LAST)

    @property
    def runs(self) -> int:
        return sum(method == "POST" for method, _ in self.calls)

    def wait_for(self, method: str, path: str = "", count: int = 1) -> None:
        def found() -> bool:
            return sum(m == method and p.startswith(path) for m, p in self.calls) >= count

        with self.seen:
            assert self.seen.wait_for(found, 20), f"no {method} {path} among {self.calls}"

    def close(self) -> None:
        self.go.set()
        self.server.shutdown()
        self.server.server_close()


def dead_address() -> str:
    """Where nothing listens any more."""
    standin = Standin()
    standin.close()
    return standin.address


class Discovery(Standin):
    """Lists (uid, address, kind) as ready, or as leaving."""

    def __init__(self, *targets: tuple[str, str, str]) -> None:
        self.targets, self.rev, self.changed = list(targets), 1, threading.Condition()
        self.leaving: set[str] = set()
        super().__init__()

    def answer(self) -> dict[str, Any]:
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
        with self.changed:
            self.targets, self.rev = list(targets), self.rev + 1
            self.changed.notify_all()

    def respond(self, handler: Any, body: bytes) -> None:
        after = re.search(r"after=(\d+)(?:&wait_ms=(\d+))?", handler.path)
        if after:
            with self.changed:
                self.changed.wait_for(lambda: self.rev > int(after[1]), int(after[2] or 0) / 1000)
        handler.plain(200, json.dumps(self.answer()).encode())


class Program:
    """The program as a process. Its log lines are kept; the address is read off the line that tells it."""

    LAUNCH: tuple[str, ...] = ("-m", "pearhill")
    config = pathlib.Path()  # the file that it was started with
    folder: tempfile.TemporaryDirectory[str] | None = None  # where that file was made for it alone

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
        self.host, _, port = self.wait_line(r"listens on ([\w.:]+)")[1].rpartition(":")
        self.port = int(port)

    def follow_log(self) -> None:
        self.lines: list[str] = []
        self.heard = threading.Condition()
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self.process.stderr
        for line in self.process.stderr:
            with self.heard:
                self.lines.append(line)
                self.heard.notify_all()

    def wait_line(self, pattern: str, after: int = 0) -> re.Match[str]:
        def find() -> re.Match[str] | None:
            return next(filter(None, (re.search(pattern, line) for line in self.lines[after:])), None)

        with self.heard:
            found = self.heard.wait_for(find, 20)
        assert found, f"no line with {pattern!r} in:\n{''.join(self.lines)}"
        return found

    def connect(self, timeout: float = 20) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(self.host, self.port, timeout=timeout)

    def ask(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        connection = self.connect()
        try:
            connection.request(method, path, body, headers or {})
            response = connection.getresponse()
            return response.status, {k.lower(): v for k, v in response.getheaders()}, response.read()
        finally:
            connection.close()

    def counters(self) -> dict[str, Any]:
        return json.loads(self.ask("GET", "/counters")[2])

    def wait_ready(self, status: int = 200) -> None:
        end = time.monotonic() + 20
        while self.ask("GET", "/ready")[0] != status:
            assert time.monotonic() < end, f"never {status}:\n{''.join(self.lines)}"

    def kill(self) -> None:
        """For what a test leaves behind."""
        self.process.kill()
        self.stop()
        if self.folder:
            self.folder.cleanup()

    def reload(self, text: str, line: str = "reload: done") -> None:
        """Another text for the file that it was started with; returns once a new line tells what came of it."""
        self.config.write_text(text)
        known = len(self.lines)
        self.process.send_signal(signal.SIGHUP)
        self.wait_line(line, known)

    def stop(self) -> int:
        if self.process.poll() is None:
            self.process.terminate()
        code = self.process.wait(20)
        self._reader.join(20)
        assert self.process.stderr
        self.process.stderr.close()
        return code


def platform_file(discovery: str, known: list[dict[str, Any]] | None = None, **changes: Any) -> str:
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
    """A dispatcher of the platform. Its environment names discovery too, as the deployment's does."""
    folder = tempfile.TemporaryDirectory()
    path = pathlib.Path(folder.name) / "config.json"
    path.write_text(platform_file(discovery, known, **changes))
    program = Program(files=files, RELAY_CONFIG=str(path), RELAY_DISCOVERY=discovery)
    program.config, program.folder = path, folder
    return program
