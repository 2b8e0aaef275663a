"""An operator's file brought to life on one machine: stand-in engines where it says servers are, and the dispatcher
before them. The fleet runner's smallest case, and a newcomer's first minute."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import signal
import subprocess
import sys
from collections.abc import Callable

import msgspec

from pearhill.chat.setup import ChatSetup
from pearhill.config import ConfigError
from pearhill.lab.scenario import ServerTable

SHUTDOWN_TIMEOUT_S = 30  # for the dispatcher, once it is told to end: what it has taken is answered first


class NotStartedError(Exception):
    """Something did not come up; the text says what."""


def stand_in_tables(setup: ChatSetup) -> list[ServerTable]:
    """A stand-in for each server of the file. ConfigError: one is elsewhere, and might be real."""
    tables = []
    for entry in setup.endpoints:
        host, port = setup.addresses[entry.replica]
        try:
            here = ipaddress.ip_address("127.0.0.1" if host == "localhost" else host).is_loopback
        except ValueError:
            here = False
        if not here:
            raise ConfigError(
                f"server: found one at {host}:{port}; allowed: addresses of this machine alone "
                "(127.0.0.1), for stand-ins listen there"
            )
        tables.append(ServerTable(setup.deployment.kind_names[entry.kind], listen=f"{host}:{port}"))
    if not tables:
        raise ConfigError("server: found none; allowed: one or more, for each of which a stand-in listens")
    return tables


async def serve_with_stand_ins(file: str, setup: ChatSetup, report_line: Callable[[str], None]) -> int:
    """Both, until SIGINT or SIGTERM or until one of them ends; the dispatcher's exit code. `told` gets what is worth
    showing. NotUp: a port is taken."""
    tables = stand_in_tables(setup)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    # Danger: Ctrl-C reaches every process of the terminal. The engines must outlive what the dispatcher has taken.
    models = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pearhill.lab.servers",
        start_new_session=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert models.stdin
    assert models.stdout
    front: asyncio.subprocess.Process | None = None
    try:
        models.stdin.write(json.dumps({"servers": msgspec.to_builtins(tables), "seed": 1}).encode() + b"\n")
        for table in tables:
            line = (await models.stdout.readline()).decode().strip()
            if line != table.listen.replace("localhost", "127.0.0.1"):
                raise NotStartedError(f"stand-in engine: {line or 'ended at once'}")
            report_line(f"stand-in engine, {table.kind}, on {line}")
        front = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "pearhill", "--chat", file, start_new_session=True
        )
        ended, stopped = asyncio.ensure_future(front.wait()), asyncio.ensure_future(stop.wait())
        await asyncio.wait((ended, stopped), return_when=asyncio.FIRST_COMPLETED)
        stopped.cancel()
        if not ended.done():
            report_line("ending: what was taken is answered first")
            with contextlib.suppress(ProcessLookupError):
                front.terminate()
        return await asyncio.wait_for(ended, SHUTDOWN_TIMEOUT_S)
    finally:
        if front and front.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                front.kill()
            await front.wait()
        models.stdin.close()
        await models.wait()
