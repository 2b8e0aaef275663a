"""Serves an operator's file on one machine: starts a stand-in for each of its replicas, and a dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable

import msgspec

from pearhill.chat.setup import ChatSetup
from pearhill.config import ConfigError
from pearhill.lab.scenario import ServerTable

SHUTDOWN_TIMEOUT_S = 30  # of the dispatcher, which first answers the requests that it has accepted


class NotStartedError(Exception):
    """A stand-in replica did not start; the message gives the reason."""


def stand_in_tables(setup: ChatSetup) -> list[ServerTable]:
    """Returns a stand-in's table for each replica of the file.

    Raises ConfigError if there are none, or if one is at an address of another machine, where it might be a real one.
    """
    tables = []
    for entry in setup.endpoints:
        host, port = setup.addresses[entry.replica]
        if not _is_loopback(host):
            raise ConfigError(
                f"server: found one at {host}:{port}; allowed: addresses of this machine alone "
                "(127.0.0.1), for stand-ins listen there"
            )
        tables.append(ServerTable(setup.deployment.kind_names[entry.kind], listen=f"{host}:{port}"))
    if not tables:
        raise ConfigError("server: found none; allowed: one or more, for each of which a stand-in listens")
    return tables


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address("127.0.0.1" if host == "localhost" else host).is_loopback
    except ValueError:
        return False


async def serve_with_stand_ins(file: str, setup: ChatSetup, report_line: Callable[[str], None]) -> int:
    """Run the stand-ins and the dispatcher until SIGINT, SIGTERM or the dispatcher's exit, and return its exit code.

    `report_line` is called with lines of progress. Raises ConfigError if the file has no replicas that stand-ins can
    serve, NotStartedError if a port is taken.
    """
    tables = stand_in_tables(setup)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    async with _stand_ins(tables, report_line):
        # In a session of its own, since Ctrl-C sends SIGINT to every process of the terminal's foreground group.
        dispatcher = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "pearhill", "--chat", file, start_new_session=True
        )
        try:
            return await _exit_code(dispatcher, stop, report_line)
        finally:
            await _kill(dispatcher)


@contextlib.asynccontextmanager
async def _stand_ins(tables: list[ServerTable], report_line: Callable[[str], None]) -> AsyncIterator[None]:
    """Run the stand-ins within the context, so that they serve the dispatcher until it has answered all requests."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "pearhill.lab.servers",
        start_new_session=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdin
    assert process.stdout
    try:
        process.stdin.write(json.dumps({"servers": msgspec.to_builtins(tables), "seed": 1}).encode() + b"\n")
        for table in tables:
            line = (await process.stdout.readline()).decode().strip()
            if line != table.listen.replace("localhost", "127.0.0.1"):
                raise NotStartedError(f"simulated replica: {line or 'ended at once'}")
            report_line(f"simulated replica, {table.kind}, on {line}")
        yield
    finally:
        process.stdin.close()
        await process.wait()


async def _exit_code(
    dispatcher: asyncio.subprocess.Process, stop: asyncio.Event, report_line: Callable[[str], None]
) -> int:
    """Wait until the dispatcher exits, and send it SIGTERM once `stop` is set.

    Returns its exit code. Raises TimeoutError if it does not exit within `SHUTDOWN_TIMEOUT_S` of SIGTERM.
    """
    ended, stopped = asyncio.ensure_future(dispatcher.wait()), asyncio.ensure_future(stop.wait())
    await asyncio.wait((ended, stopped), return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if not ended.done():
        report_line("ending: the dispatcher answers accepted requests first")
        with contextlib.suppress(ProcessLookupError):
            dispatcher.terminate()
    return await asyncio.wait_for(ended, SHUTDOWN_TIMEOUT_S)


async def _kill(dispatcher: asyncio.subprocess.Process) -> None:
    if dispatcher.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        dispatcher.kill()
    await dispatcher.wait()
