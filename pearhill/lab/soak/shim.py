"""A dispatcher whose clock, sockets and files fail on command: `python -m pearhill.lab.soak.shim`.

Commands are read from standard input, one per line:

    wall SECONDS              steps the wall clock; the monotonic clock is not changed
    fail CALL ERRNO SHARE     CALL (accept, socket, connect, recv, send, write-file, write-log) fails with this error in
                              this share of cases. recv-server and send-server fail only on connections to replicas and
                              discovery, recv-client and send-client only on connections of clients
    pieces BYTES              limits each read and write on a socket to so many bytes; 0 removes the limit

Each command is confirmed on standard error by `shim: applied` and the command. `SOAK_COMMANDS` holds commands,
separated by `;`, that are applied before the program starts. Functions of Python's library are replaced before the
program is imported, so that the program itself runs unchanged.
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

STANDARD_ERROR = 2  # the file descriptor
_real_time_ns = time.time_ns
_RealSocket = socket.socket


class Faults:
    """The active faults. The command thread writes them, the program's calls read them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.wall_ns = 0
        self.max_io_bytes = 0
        self.failing: dict[str, tuple[int, float]] = {}

    def command(self, line: str) -> None:
        """Apply a command line, in the form that the module's docstring gives; other lines are ignored.

        Raises ValueError if a number is invalid, AttributeError if there is no errno of this name.
        """
        match line.split():
            case ["wall", seconds]:
                self.wall_ns += int(float(seconds) * 1e9)
            case ["fail", call, name, share]:
                self.failing[call] = getattr(errno, name), float(share)
            case ["pieces", size]:
                self.max_io_bytes = int(size)

    def check(self, call: str) -> None:
        """Raises OSError if this call is to fail now."""
        number, share = self.failing.get(call, (0, 0.0))
        if share and self.rng.random() < share:
            raise OSError(number, os.strerror(number))


class FaultySocket(_RealSocket):
    """A socket whose calls fail, and whose reads and writes are limited in size, as `faults` says."""

    faults: ClassVar[Faults]

    def __init__(self, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None) -> None:
        if fileno is None:
            self.faults.check("socket")
        super().__init__(family, type, proto, fileno)
        self.side = "server" if fileno is None else "client"

    def accept(self) -> tuple[socket.socket, Any]:
        """Accepts a connection like `socket.accept`, unless `accept` is to fail now."""
        self.faults.check("accept")
        return super().accept()

    def connect(self, address: Any) -> None:
        """Connects like `socket.connect`, unless `connect` is to fail now."""
        self.faults.check("connect")
        super().connect(address)

    def check_bytes(self, call: str) -> None:
        """Raises OSError if this call is to fail now.

        An error that breaks the connection of a client is printed on standard error, with the client's address. The
        socket pair with which the event loop wakes itself never fails: the loop would read again by itself and log a
        trace.
        """
        if self.family not in (socket.AF_INET, socket.AF_INET6):
            return
        self.faults.check(call)
        try:
            self.faults.check(f"{call}-{self.side}")
        except OSError:
            if self.side == "client":
                host, port = self.getpeername()[:2]
                # In one call: the program's log thread writes to the same pipe.
                os.write(STANDARD_ERROR, f"shim: broke the connection of {host}:{port}\n".encode())
            raise

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Reads like `socket.recv`, unless `recv` is to fail now."""
        self.check_bytes("recv")
        return super().recv(bufsize, flags)

    def send(self, data: Any, flags: int = 0) -> int:
        """Sends like `socket.send`, at most `max_io_bytes` bytes, unless `send` is to fail now."""
        self.check_bytes("send")
        return super().send(memoryview(data)[: self.faults.max_io_bytes] if self.faults.max_io_bytes else data, flags)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Reads like `socket.recv_into`, at most `max_io_bytes` bytes, unless `recv` is to fail now."""
        self.check_bytes("recv")
        view = memoryview(buffer)
        return super().recv_into(view[: self.faults.max_io_bytes] if self.faults.max_io_bytes else view, nbytes, flags)


def install(faults: Faults) -> None:
    """Replace calls of the standard library with versions that may fail."""
    time.time_ns = lambda: _real_time_ns() + faults.wall_ns
    time.time = lambda: time.time_ns() / 1e9
    FaultySocket.faults = faults
    socket.socket = FaultySocket  # type: ignore[misc]
    write_bytes, write_log = pathlib.Path.write_bytes, sys.stderr.write

    def checked_write_bytes(path: pathlib.Path, data: Any) -> int:
        """Writes like `Path.write_bytes`, unless `write-file` is to fail now."""
        faults.check("write-file")
        return write_bytes(path, data)

    def checked_write_log(text: str) -> int:
        """Writes like `sys.stderr.write`, unless `write-log` is to fail now."""
        faults.check("write-log")
        return write_log(text)

    pathlib.Path.write_bytes = checked_write_bytes  # type: ignore[method-assign, assignment]
    sys.stderr.write = checked_write_log  # type: ignore[method-assign]


def read_commands(faults: Faults) -> None:
    """Apply each command of standard input, and confirm it."""
    for line in sys.stdin:
        faults.command(line)
        os.write(STANDARD_ERROR, f"shim: applied {line}".encode())


def main() -> int:
    """Install the faults, read commands from standard input in a thread, and run the program."""
    faults = Faults(int(os.environ.get("SOAK_SEED", "0")))
    for line in os.environ.get("SOAK_COMMANDS", "").split(";"):
        faults.command(line)
    install(faults)
    threading.Thread(target=read_commands, args=(faults,), daemon=True).start()
    sys.argv = sys.argv[:1]
    runpy.run_module("pearhill", run_name="__main__", alter_sys=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
