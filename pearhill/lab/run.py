"""One run: servers, the dispatcher with its operator's file, the load, and the rows that come of it."""

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
from pearhill.conformance.runner import own_daemon
from pearhill.lab import load
from pearhill.lab.scenario import Scenario


@contextlib.asynccontextmanager
async def running_replicas(
    scenario: Scenario, work: list[list[tuple[float, float]]] | None = None
) -> AsyncIterator[list[str]]:
    """Their addresses. `work` gets, at the end, when each began and ended each request, of the monotonic clock."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "pearhill.lab.servers", stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert process.stdin
    assert process.stdout
    try:
        told = {"servers": msgspec.to_builtins(scenario.server), "seed": scenario.lab.seed}
        process.stdin.write(json.dumps(told).encode() + b"\n")
        yield [(await process.stdout.readline()).decode().strip() for _ in range(sum(s.count for s in scenario.server))]
    finally:
        process.stdin.close()
        told_last = await process.stdout.read()
        if work is not None and told_last:
            work += json.loads(told_last)
        await process.wait()


def operator_file(scenario: Scenario, addresses: list[str], keys: dict[str, str]) -> str:
    """The scenario's operator's file, with its servers and its tenants' keys."""
    text = (scenario.base / scenario.lab.operator_file).read_text(encoding="utf-8")
    kinds = [table.kind for table in scenario.server for _ in range(table.count)]
    for k, (kind, address) in enumerate(zip(kinds, addresses, strict=True)):
        text += f'\n[[server]]\nuid = "lab-{k}"\naddress = "{address}"\nkind = {json.dumps(kind)}\n'
    for name, key in keys.items():
        text += f"\n[[chat.tenant]]\nname = {json.dumps(name)}\nkeys = [{json.dumps(record_of(key))}]\n"
    return text


async def run(scenario: Scenario, progress: load.Progress = lambda done, total: None) -> list[load.Row]:
    """OSError, Unreachable: the dispatcher or a server did not come up."""
    keys = {tenant.name: new_key() for tenant in scenario.tenant}
    async with running_replicas(scenario) as addresses, own_daemon(operator_file(scenario, addresses, keys)) as url:
        host, _, port = url.removeprefix("http://").rpartition(":")
        return await load.run(scenario, lambda: (host, int(port)), keys, progress)


def write_rows(rows: list[load.Row], scenario: Scenario, path: pathlib.Path) -> None:
    table = pyarrow.Table.from_pylist([asdict(row) for row in rows])
    told = {"seconds": str(scenario.lab.seconds), "warm_s": str(scenario.lab.warm_s), "seed": str(scenario.lab.seed)}
    pyarrow.parquet.write_table(table.replace_schema_metadata(told), path, compression="zstd")


def read_rows(path: pathlib.Path) -> tuple[list[load.Row], dict[str, float]]:
    """The rows of a run, and what it was. ValueError, OSError: the file is none of ours."""
    table = pyarrow.parquet.read_table(path)
    if set(table.column_names) != set(load.Row.__dataclass_fields__):
        raise ValueError(f"{path}: is no result of `pearhill lab run`")
    told = {k.decode(): float(v) for k, v in (table.schema.metadata or {}).items() if k in (b"seconds", b"warm_s")}
    return [load.Row(**row) for row in table.to_pylist()], told
