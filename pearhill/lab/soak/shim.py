"""A dispatcher whose clock, sockets and files fail on command: `python -m pearhill.lab.soak.shim`.

Commands come one a line on standard input:

    wall SECONDS              the wall clock is stepped; the monotonic clock runs on
    fail CALL ERRNO SHARE     CALL (accept, socket, connect, recv, send, write-file, write-log) fails so in this share
                              of cases; recv-server, send-server, recv-client, send-client: on connections to replicas
                              and discovery, or of clients, alone
    pieces BYTES              reads and writes on sockets are cut to at most so many bytes; 0: whole again

`SOAK_COMMANDS` holds commands, divided by `;`, that count before the program starts. Python's own functions are
replaced before the program is imported, so that the program itself is the real one.
"""

from __future__ import annotations

import errno
import os
import pathlib
import random
import runpy
import socket
import sys
import threading
import time
from typing import Any, ClassVar

_real_time_ns = time.time_ns
_RealSocket = socket.socket


class Faults:
    """What fails now. Written by the command thread, read by the program."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.wall_ns = 0
        self.pieces = 0
        self.failing: dict[str, tuple[int, float]] = {}

    def command(self, line: str) -> None:
        """Take one line, as the module's docstring has them; any other is ignored. ValueError or AttributeError: a
        number, or the name of an errno, that is none."""
        match line.split():
            case ["wall", seconds]:
                self.wall_ns += int(float(seconds) * 1e9)
            case ["fail", call, name, share]:
                self.failing[call] = getattr(errno, name), float(share)
            case ["pieces", size]:
                self.pieces = int(size)

    def check(self, call: str) -> None:
        """OSError: this call fails now."""
        number, share = self.failing.get(call, (0, 0.0))
        if share and self.rng.random() < share:
            raise OSError(number, os.strerror(number))


class FaultySocket(_RealSocket):
    """A socket whose calls fail, and whose bytes are cut in pieces, as `faults` has it."""

    faults: ClassVar[Faults]

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None:
            self.faults.check("socket")
        super().__init__(family, type, proto, fileno)
        self.side = "server" if fileno is None else "client"

    def accept(self) -> tuple[socket.socket, Any]:
        """As of a socket, unless `accept` fails now."""
        self.faults.check("accept")
        return super().accept()

    def connect(self, address: Any) -> None:
        """As of a socket, unless `connect` fails now."""
        self.faults.check("connect")
        super().connect(address)

    def check_bytes(self, call: str) -> None:
        """OSError: this call fails now. An error by which the system ends a connection is printed on standard error,
        with the client's address. The pair by which the event loop wakes itself is left alone: it reads again by
        itself, and logs a trace."""
        if self.family not in (socket.AF_INET, socket.AF_INET6):
            return
        self.faults.check(call)
        try:
            self.faults.check(f"{call}-{self.side}")
        except OSError:
            if self.side == "client":
                host, port = self.getpeername()[:2]
                print(f"shim: broke the connection of {host}:{port}", file=sys.stderr, flush=True)
            raise

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """As of a socket, unless `recv` fails now."""
        self.check_bytes("recv")
        return super().recv(bufsize, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        """As of a socket, unless `send` fails now; no more than a piece is sent."""
        self.check_bytes("send")
        return super().send(memoryview(data)[: self.faults.pieces] if self.faults.pieces else data, flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """As of a socket, unless `recv` fails now; no more than a piece is read."""
        self.check_bytes("recv")
        view = memoryview(buffer)
        return super().recv_into(view[: self.faults.pieces] if self.faults.pieces else view, nbytes, flags)


def install(faults: Faults) -> None:
    """Replace the standard library's calls by those that may fail."""
    time.time_ns = lambda: _real_time_ns() + faults.wall_ns
    time.time = lambda: time.time_ns() / 1e9
    FaultySocket.faults = faults
    socket.socket = FaultySocket  # type: ignore[misc]
    write_bytes, write_log = pathlib.Path.write_bytes, sys.stderr.write

    def checked_write_bytes(path: pathlib.Path, data: Any) -> int:
        """`Path.write_bytes`, unless files cannot be written now."""
        faults.check("write-file")
        return write_bytes(path, data)

    def checked_write_log(text: str) -> int:
        """`sys.stderr.write`, unless the log cannot be written now."""
        faults.check("write-log")
        return write_log(text)

    pathlib.Path.write_bytes = checked_write_bytes  # type: ignore[method-assign, assignment]
    sys.stderr.write = checked_write_log  # type: ignore[method-assign]


def _follow(faults: Faults) -> None:
    for line in sys.stdin:
        faults.command(line)


def main() -> int:
    """Install the faults, follow standard input, and run the real program."""
    faults = Faults(int(os.environ.get("SOAK_SEED", "0")))
    for line in os.environ.get("SOAK_COMMANDS", "").split(";"):
        faults.command(line)
    install(faults)
    threading.Thread(target=_follow, args=(faults,), daemon=True).start()
    sys.argv = sys.argv[:1]
    runpy.run_module("pearhill", run_name="__main__", alter_sys=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
