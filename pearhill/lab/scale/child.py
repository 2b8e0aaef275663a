"""A process of the scale run that executes commands: it reads and writes one JSON object per line.

The process exits at the end of its input, so it never outlives the `pearhill lab scale` command, however that ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import uvloop

from pearhill.net.log import LogThread

MAX_LINE_BYTES = 64 << 20
REPLY_TIMEOUT_S = 300.0
EXIT_TIMEOUT_S = 10.0

# Executes one command, an object with the command's name under "order" and its arguments, and returns the reply.
CommandHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class ProcessFailedError(Exception):
    """A process of the run did not start or could not execute a command. The message names process and cause."""


class Child:
    """The parent's handle of one child process. `log` is the file that receives the child's standard error."""

    def __init__(self, name: str, log: pathlib.Path, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.log = log
        self.process = process
        self._call_lock = asyncio.Lock()

    @property
    def pid(self) -> int:
        """The process ID."""
        return self.process.pid

    @classmethod
    async def start(cls, name: str, module: str, folder: pathlib.Path) -> Child:
        """Start `python -m module` with its log file in `folder`."""
        log = folder / f"{name}.log"
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=file,
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )
        return cls(name, log, process)

    async def call(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Send a command and return its reply.

        Raises ProcessFailedError if no reply arrives within `REPLY_TIMEOUT_S` or if the reply reports an error.
        """
        assert self.process.stdin
        assert self.process.stdout
        async with self._call_lock:
            try:
                self.process.stdin.write(json.dumps({"order": command, **arguments}).encode() + b"\n")
                line = await asyncio.wait_for(self.process.stdout.readline(), REPLY_TIMEOUT_S)
                reply: dict[str, Any] = json.loads(line)
            except (OSError, ValueError, TimeoutError) as e:
                raise ProcessFailedError(f"{self.name}: {command}: {last_line(self.log) or repr(e)}") from None
        if "failed" in reply:
            raise ProcessFailedError(f"{self.name}: {command}: {reply['failed']}")
        return reply

    async def close(self) -> None:
        """End the process by closing its input, and send SIGKILL if it still runs after `EXIT_TIMEOUT_S`."""
        if self.process.stdin:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def last_line(log: pathlib.Path) -> str:
    """Returns the last non-blank line of a log, or an empty string if there is none."""
    lines = log.read_text(errors="replace").split("\n") if log.exists() else []
    return next((line for line in reversed(lines) if line.strip()), "")


async def _serve(new_handler: Callable[[], CommandHandler]) -> None:
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    handle = new_handler()
    while line := await reader.readline():
        try:
            reply = await handle(json.loads(line))
        except Exception as e:  # every error is sent as the reply, and the parent then reports the failure
            reply = {"failed": f"{type(e).__name__}: {e}"}
        sys.stdout.write(json.dumps(reply) + "\n")
        sys.stdout.flush()


def run(new_handler: Callable[[], CommandHandler]) -> None:
    """Run the child's side until its input ends. `new_handler` is called within the event loop."""
    log = LogThread(os.environ.get("PEARHILL_LOG", "INFO"))
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(new_handler))
    finally:
        log.close()
