"""Runs a scenario: starts stand-in replicas and a dispatcher with its operator's file, and sends the load."""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import subprocess
import sys
from collections.abc import AsyncIterator
from dataclasses import asdict

import msgspec
import pyarrow
import pyarrow.parquet

from pearhill.chat.keys import new_key, record_of
from pearhill.conformance.daemon import run_daemon
from pearhill.lab import load
from pearhill.lab.scenario import Scenario

BusySpans = list[tuple[float, float]]  # when each request began and ended at one replica, by the monotonic clock
METADATA_KEYS = (b"seconds", b"warm_s")  # the metadata of a result's Parquet file that reports use


@contextlib.asynccontextmanager
async def running_replicas(scenario: Scenario, work: list[BusySpans] | None = None) -> AsyncIterator[list[str]]:
    """Run the scenario's replicas in one process of their own within the context, and yield their addresses.

    At the end each replica's spans are appended to `work`, in the order of the addresses.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "pearhill.lab.servers", stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdin
    assert process.stdout
    try:
        order = {"servers": msgspec.to_builtins(scenario.server), "seed": scenario.lab.seed}
        process.stdin.write(json.dumps(order).encode() + b"\n")
        count = sum(table.count for table in scenario.server)
        yield [(await process.stdout.readline()).decode().strip() for _ in range(count)]
    finally:
        process.stdin.close()
        last_output = await process.stdout.read()
        if work is not None and last_output:
            work += json.loads(last_output)
        await process.wait()


def operator_file(scenario: Scenario, addresses: list[str], keys: dict[str, str]) -> str:
    """Returns the content of the scenario's operator's file with the replicas and the tenants' keys added."""
    text = (scenario.base / scenario.lab.operator_file).read_text(encoding="utf-8")
    kinds = [table.kind for table in scenario.server for _ in range(table.count)]
    for k, (kind, address) in enumerate(zip(kinds, addresses, strict=True)):
        text += f'\n[[server]]\nuid = "lab-{k}"\naddress = "{address}"\nkind = {json.dumps(kind)}\n'
    for name, key in keys.items():
        text += f"\n[[chat.tenant]]\nname = {json.dumps(name)}\nkeys = [{json.dumps(record_of(key))}]\n"
    return text


async def run(scenario: Scenario, progress: load.Progress = lambda done, total: None) -> list[load.Row]:
    """Run a scenario with one dispatcher, and return its rows.

    Raises OSError or ConformanceRunError if the dispatcher or a replica does not start.
    """
    keys = {tenant.name: new_key() for tenant in scenario.tenant}
    async with running_replicas(scenario) as addresses, run_daemon(operator_file(scenario, addresses, keys)) as url:
        host, _, port = url.removeprefix("http://").rpartition(":")
        return await load.run(scenario, lambda: (host, int(port)), keys, progress)


def write_rows(rows: list[load.Row], scenario: Scenario, path: pathlib.Path) -> None:
    """Write a run's rows as Parquet, with the scenario's seconds, warm-up and seed as metadata."""
    table = pyarrow.Table.from_pylist([asdict(row) for row in rows])
    lab = scenario.lab
    metadata = {"seconds": str(lab.seconds), "warm_s": str(lab.warm_s), "seed": str(lab.seed)}
    pyarrow.parquet.write_table(table.replace_schema_metadata(metadata), path, compression="zstd")


def read_rows(path: pathlib.Path) -> tuple[list[load.Row], dict[str, float]]:
    """Returns a run's rows and its parameters `seconds` and `warm_s`.

    Raises OSError if the file cannot be read, ValueError if it is not the result of a run.
    """
    table = pyarrow.parquet.read_table(path)
    if set(table.column_names) != set(load.Row.__dataclass_fields__):
        raise ValueError(f"{path}: is not a result of `pearhill lab run`")
    metadata = table.schema.metadata or {}
    parameters = {key.decode(): float(value) for key, value in metadata.items() if key in METADATA_KEYS}
    return [load.Row(**row) for row in table.to_pylist()], parameters
