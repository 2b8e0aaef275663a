"""Dispatcher processes that run under the shim: their start, commands, signals, logs and end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from pearhill.lab.soak.connection import ListenAddress
from pearhill.lab.soak.oracle import Oracle

START_TIMEOUT_S = 30.0
MAX_LOG_LINES = 400
_LISTENING = re.compile(r"listens on ([\d.]+):(\d+)")
_BROKEN_CONNECTION = re.compile(r"shim: broke the connection of [\d.]+:(\d+)")
_CLOSED_CONNECTION = re.compile(r"connection side=client peer=[\d.]+:(\d+) reason=(\S+)")
_FAULT_LINES = re.compile(r"Traceback|task failed|failed on|reached its deadline without an answer|violation rule=")


@dataclass(frozen=True, slots=True)
class DelayedSignal:
    """A signal to send `after_s` after the signal before it."""

    number: signal.Signals
    after_s: float


class Dispatcher:
    """One dispatcher. Its name and configuration stay the same after a restart, its process and port change."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        settings: dict[str, Any],
        discovery: str,
        oracle: Oracle,
        clock: Callable[[], int],
        seed: int,
        sockets: int = 512,
    ) -> None:
        self.sockets = sockets
        self.name, self.settings, self.discovery = name, settings, discovery
        self.oracle, self.clock, self.seed = oracle, clock, seed
        self.path = folder / f"{name}.json"
        self.log: list[str] = []
        self.address: ListenAddress | None = None
        self.starts = 0
        self.shutting_down = False
        self.commands: list[str] = []  # sent to each new process too
        self._listening = asyncio.Event()
        self.process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None

    def write_config(self) -> None:
        """Write the configuration that the next start or reload reads."""
        self.path.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": "127.0.0.1:0",
                    "discovery": self.discovery,
                    "seed": f"{self.seed + self.starts:x}",
                    "settings": self.settings,
                    "limits": {"sockets": self.sockets},
                    "known": {"rev": 0, "all": True, "targets": []},
                }
            )
        )

    async def start(self) -> None:
        """Start a process and wait until it listens. Raises TimeoutError if it does not listen within 30 s."""
        self.starts += 1
        self.shutting_down = False
        self.write_config()
        environ = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environ |= {"RELAY_CONFIG": str(self.path), "SOAK_SEED": str(self.seed), "TMPDIR": str(self.path.parent)}
        self._listening.clear()
        process = self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pearhill.lab.soak.shim",
            stdin=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environ,
        )
        for line in self.commands:
            self._send_command(line)
        self._log_reader = asyncio.ensure_future(self._read_log(process))
        await asyncio.wait_for(self._listening.wait(), START_TIMEOUT_S)

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        while raw := await process.stderr.readline():
            line = raw.decode(errors="replace").rstrip()
            self.log.append(line)
            del self.log[:-MAX_LOG_LINES]
            if found := _LISTENING.search(line):
                self.address = ListenAddress(self.name, found[1], int(found[2]))
                self._listening.set()
            if found := _BROKEN_CONNECTION.search(line):
                self.oracle.client_connection_broken(self.name, int(found[1]))
            if found := _CLOSED_CONNECTION.search(line):
                self.oracle.client_connection_closed(self.name, int(found[1]), found[2])
            if _FAULT_LINES.search(line):
                self.oracle.process_fault(self.clock(), self.name, line)
        code = await process.wait()
        if self.shutting_down:
            if code not in (0, -signal.SIGKILL):
                self.oracle.process_fault(self.clock(), self.name, f"exit code {code} after SIGTERM")
        else:
            self.oracle.process_fault(self.clock(), self.name, f"exited without SIGTERM or SIGKILL, exit code {code}")

    def _send_command(self, line: str) -> None:
        if self.process and self.process.stdin and self.process.returncode is None:
            self.process.stdin.write(line.encode() + b"\n")

    def command(self, line: str, lasting: bool = False) -> None:
        """Send a command line to the shim. `lasting`: it is also sent to processes that are started later."""
        if lasting:
            self.commands.append(line)
        self._send_command(line)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process:
            _send_signal(self.process, number)

    def reload(self, discovery: str) -> None:
        """Write the configuration with this discovery address, and send SIGHUP."""
        self.discovery = discovery
        self.write_config()
        self.signal(signal.SIGHUP)

    async def terminate(self, within_s: float, further_signals: Sequence[DelayedSignal] = ()) -> bool:
        """Send SIGTERM, and SIGKILL if the process still runs after `within_s`.

        `further_signals`: signals to send in the meantime. Returns True if the process exited before SIGKILL.
        """
        process = self.process
        assert process
        self.shutting_down = True
        self.oracle.terminated(self.clock(), self.name)
        self.signal(signal.SIGTERM)
        later = asyncio.ensure_future(self._send_signals(process, further_signals))
        try:
            await asyncio.wait_for(process.wait(), within_s)
            self.oracle.exited(self.clock(), self.name)
            return True
        except TimeoutError:
            self.oracle.killed(self.clock(), self.name)
            _send_signal(process, signal.SIGKILL)  # it may have exited just now, which is too late as well
            await process.wait()
            return False
        finally:
            later.cancel()
            await self._wait_for_follower()

    async def _wait_for_follower(self) -> None:
        """Wait until the process's last log lines and exit code are read, before the next process is started."""
        if self._log_reader:
            await self._log_reader

    async def _send_signals(
        self, process: asyncio.subprocess.Process, further_signals: Sequence[DelayedSignal]
    ) -> None:
        for each in further_signals:
            await asyncio.sleep(each.after_s)
            _send_signal(process, each.number)

    async def kill(self) -> None:
        """Send SIGKILL if the process still runs, and wait for its end."""
        process = self.process
        if process and process.returncode is None:
            self.shutting_down = True
            _send_signal(process, signal.SIGKILL)
            self.oracle.killed(self.clock(), self.name)
            await process.wait()
        await self._wait_for_follower()


def _send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal, if the process still runs.

    `Process.send_signal` and `Process.kill` are not used: they poll the process first and may reap it, so that the
    event loop finds no exit code and reports 255.
    """
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, number)
