"""A process of the scale run that takes orders: one JSON object a line in, one a line out. It ends with its input, so
that none outlives the command, however that ends."""

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

MOST_LINE = 64 << 20
ANSWER_WITHIN_S = 300.0
END_WITHIN_S = 10.0

Handle = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class Failed(Exception):
    """A process of the run did not come up, or could not do what it was told; the text says which and why."""


class Child:
    """The command's side. Its log is a file in `folder`."""

    def __init__(self, name: str, log: pathlib.Path, process: asyncio.subprocess.Process) -> None:
        self.name, self.log, self.process = name, log, process
        self._turn = asyncio.Lock()

    @property
    def pid(self) -> int:
        return self.process.pid

    @classmethod
    async def start(cls, name: str, module: str, folder: pathlib.Path) -> Child:
        log = folder / f"{name}.log"
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=file,
                limit=MOST_LINE,
                start_new_session=True,
            )
        return cls(name, log, process)

    async def ask(self, order: str, **told: Any) -> dict[str, Any]:
        assert self.process.stdin
        assert self.process.stdout
        async with self._turn:
            try:
                self.process.stdin.write(json.dumps({"order": order, **told}).encode() + b"\n")
                line = await asyncio.wait_for(self.process.stdout.readline(), ANSWER_WITHIN_S)
                answer: dict[str, Any] = json.loads(line)
            except (OSError, ValueError, TimeoutError) as e:
                raise Failed(f"{self.name}: {order}: {last_line(self.log) or repr(e)}") from None
        if "failed" in answer:
            raise Failed(f"{self.name}: {order}: {answer['failed']}")
        return answer

    async def close(self) -> None:
        if self.process.stdin:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), END_WITHIN_S)
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def last_line(log: pathlib.Path) -> str:
    lines = log.read_text(errors="replace").split("\n") if log.exists() else []
    return next((line for line in reversed(lines) if line.strip()), "")


async def _serve(make: Callable[[], Handle]) -> None:
    reader = asyncio.StreamReader(limit=MOST_LINE)
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    handle = make()
    while line := await reader.readline():
        try:
            answer = await handle(json.loads(line))
        except Exception as e:  # whatever it is, it is the answer, and the command ends the run
            answer = {"failed": f"{type(e).__name__}: {e}"}
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()


def run(make: Callable[[], Handle]) -> None:
    """The process's side: `make` is called within its loop, what it returns with every order."""
    log = LogThread(os.environ.get("PEARHILL_LOG", "INFO"))
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_serve(make))
    finally:
        log.close()
