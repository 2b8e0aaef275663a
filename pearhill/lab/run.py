"""One run: stand-in replicas, the dispatcher with its operator's file, the load, and the rows that come of it."""

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

BusySpans = list[tuple[float, float]]  # when each request began and ended at one replica, of the monotonic clock
METADATA_KEYS = (b"seconds", b"warm_s")  # of a result's Parquet file, as far as reports use them


@contextlib.asynccontextmanager
async def running_replicas(scenario: Scenario, work: list[BusySpans] | None = None) -> AsyncIterator[list[str]]:
    """The addresses of the scenario's replicas, which run in one process of their own until the context is left.

    `work` is extended at the end by each replica's spans, in the order of the addresses.
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
    """The scenario's operator's file, with its replicas and its tenants' keys."""
    text = (scenario.base / scenario.lab.operator_file).read_text(encoding="utf-8")
    kinds = [table.kind for table in scenario.server for _ in range(table.count)]
    for k, (kind, address) in enumerate(zip(kinds, addresses, strict=True)):
        text += f'\n[[server]]\nuid = "lab-{k}"\naddress = "{address}"\nkind = {json.dumps(kind)}\n'
    for name, key in keys.items():
        text += f"\n[[chat.tenant]]\nname = {json.dumps(name)}\nkeys = [{json.dumps(record_of(key))}]\n"
    return text


async def run(scenario: Scenario, progress: load.Progress = lambda done, total: None) -> list[load.Row]:
    """The rows of a scenario with one dispatcher. OSError, ConformanceRunError: it or a replica did not start."""
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
    """A run's rows and its parameters `seconds` and `warm_s`. ValueError, OSError: the file is no result of a run."""
    table = pyarrow.parquet.read_table(path)
    if set(table.column_names) != set(load.Row.__dataclass_fields__):
        raise ValueError(f"{path}: is no result of `pearhill lab run`")
    metadata = table.schema.metadata or {}
    parameters = {key.decode(): float(value) for key, value in metadata.items() if key in METADATA_KEYS}
    return [load.Row(**row) for row in table.to_pylist()], parameters
