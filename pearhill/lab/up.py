"""An operator's file served on one machine: stand-in replicas where it names some, and the dispatcher before them."""

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

SHUTDOWN_TIMEOUT_S = 30  # for the dispatcher, which answers what it has accepted first


class NotStartedError(Exception):
    """A stand-in replica did not start; the text says why."""


def stand_in_tables(setup: ChatSetup) -> list[ServerTable]:
    """A stand-in for each replica of the file. ConfigError: none, or one elsewhere, which might be real."""
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
    """Run both until SIGINT, SIGTERM or the dispatcher's end; returns the dispatcher's exit code.

    `report_line` gets what is worth showing. ConfigError: the file has no replicas that stand-ins can serve;
    NotStartedError: a port is taken.
    """
    tables = stand_in_tables(setup)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    async with _stand_ins(tables, report_line):
        # In a session of its own, as Ctrl-C reaches every process of the terminal's session.
        dispatcher = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "pearhill", "--chat", file, start_new_session=True
        )
        try:
            return await _exit_code(dispatcher, stop, report_line)
        finally:
            await _kill(dispatcher)


@contextlib.asynccontextmanager
async def _stand_ins(tables: list[ServerTable], report_line: Callable[[str], None]) -> AsyncIterator[None]:
    """The stand-ins run until the context is left, so that they outlive what the dispatcher has accepted."""
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
                raise NotStartedError(f"stand-in engine: {line or 'ended at once'}")
            report_line(f"stand-in engine, {table.kind}, on {line}")
        yield
    finally:
        process.stdin.close()
        await process.wait()


async def _exit_code(
    dispatcher: asyncio.subprocess.Process, stop: asyncio.Event, report_line: Callable[[str], None]
) -> int:
    """Wait for the dispatcher's end, and ask for it once `stop` is set. TimeoutError: it does not end then."""
    ended, stopped = asyncio.ensure_future(dispatcher.wait()), asyncio.ensure_future(stop.wait())
    await asyncio.wait((ended, stopped), return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if not ended.done():
        report_line("ending: what was taken is answered first")
        with contextlib.suppress(ProcessLookupError):
            dispatcher.terminate()
    return await asyncio.wait_for(ended, SHUTDOWN_TIMEOUT_S)


async def _kill(dispatcher: asyncio.subprocess.Process) -> None:
    if dispatcher.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        dispatcher.kill()
    await dispatcher.wait()
