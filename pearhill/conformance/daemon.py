"""Runs the daemon of this version in a separate process, as the front end under test."""

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

CONFIG_PATH = pathlib.Path(__file__).parent / "front.toml"
CONFIG_REPLICA_ADDRESS = "127.0.0.1:8199"  # the address of the replica in `front.toml`
START_TIMEOUT_S = 20


def config_text(address: str) -> str:
    """Returns the text of a configuration file for a front end whose only replica is at `address` (HOST:PORT)."""
    return CONFIG_PATH.read_text(encoding="utf-8").replace(CONFIG_REPLICA_ADDRESS, address)


@contextlib.asynccontextmanager
async def run_daemon(text: str) -> AsyncIterator[str]:
    """Run the daemon of this version with a configuration file of this text, and yield its base URL.

    At the end of the context the daemon receives SIGTERM and is awaited. If the context ends with an exception, the
    daemon is killed. Raises ConformanceRunError if the daemon exits before it listens, and TimeoutError if it does not
    listen within `START_TIMEOUT_S`.
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
            # The log is read until the end, because the daemon would block on its log once the pipe was full.
            drain = asyncio.create_task(process.stderr.read())
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
    """Read the daemon's log up to the line with its listening address, and return the base URL."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while line := await log.readline():
            if b" listens on " in line:
                return f"http://{line.decode().rpartition(' ')[2].strip()}"
    raise ConformanceRunError("the daemon exited before it listened")
