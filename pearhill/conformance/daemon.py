"""This version's daemon as a process of its own, as the front under test."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator

from pearhill.conformance.errors import ConformanceRunError

FRONT_FILE = pathlib.Path(__file__).parent / "front.toml"
REPLICA_IN_FILE = "127.0.0.1:8199"  # the address of the replica in that file
START_TIMEOUT_S = 20


def front_file(address: str) -> str:
    """The text of an operator's file for a front whose only replica is at HOST:PORT."""
    return FRONT_FILE.read_text(encoding="utf-8").replace(REPLICA_IN_FILE, address)


@contextlib.asynccontextmanager
async def own_daemon(text: str) -> AsyncIterator[str]:
    """Run this version's daemon with the text of an operator's file; yields its base URL.

    It is sent SIGTERM at the end and waited for, or killed if an exception is on its way. ConformanceRunError: it did
    not start. TimeoutError: it did not listen within `START_TIMEOUT_S`.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "front.toml"
        path.write_text(text, encoding="utf-8")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pearhill",
            "--chat",
            str(path),
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PEARHILL_LOG": "INFO"},
        )
        assert process.stderr
        try:
            url = await _wait_for_url(process.stderr)
            drain = asyncio.create_task(process.stderr.read())  # a full pipe would block the daemon's log
            yield url
            process.send_signal(signal.SIGTERM)
            await drain
            await process.wait()
        finally:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()


async def _wait_for_url(log: asyncio.StreamReader) -> str:
    """Read the log up to the line that names the listening address."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while line := await log.readline():
            if b" listens on " in line:
                return f"http://{line.decode().rpartition(' ')[2].strip()}"
    raise ConformanceRunError("the daemon did not start")
