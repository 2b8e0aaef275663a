"""The command `pearhill`: serve, aggregator, check, schema, key, conform, bill, lab, fleet, version."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Coroutine
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, NoReturn

import msgspec
import typer

import pearhill
from pearhill.aggregator import daemon as aggregator_daemon
from pearhill.aggregator import setup as aggregator_setup
from pearhill.chat import keys, service, setup
from pearhill.chat.file import OperatorFile
from pearhill.cli import lab
from pearhill.config import ConfigError
from pearhill.node.process import run

app = typer.Typer(
    name="pearhill",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A dispatcher for language-model replicas.",
)
app.add_typer(lab.app, name="lab")
File = Annotated[Path, typer.Argument(help="the operator's file (TOML)", show_default=False)]


class LogFormat(str, Enum):
    """The formats of the log: the values of `--log-format`."""

    text = "text"
    json = "json"


def _fail(reason: str, code: int = 2) -> NoReturn:
    print(f"pearhill: {reason}", file=sys.stderr)
    raise typer.Exit(code)


@app.command()
def serve(
    file: File,
    log_level: Annotated[str, typer.Option(help="least level that is logged", envvar="PEARHILL_LOG")] = "INFO",
    log_format: Annotated[LogFormat, typer.Option(help="text, or one JSON object a line")] = LogFormat.text,
) -> None:
    """Serve the chat API with the settings of the operator's file, until SIGTERM."""
    path = str(file)

    def start() -> Coroutine[Any, Any, None]:
        return service.serve(setup.load(path), lambda: setup.load(path))

    raise typer.Exit(run(start, log_level, log_format.value))


@app.command()
def aggregator(
    file: Annotated[Path, typer.Argument(help="the aggregator's file (TOML)", show_default=False)],
    check_only: Annotated[bool, typer.Option("--check", help="check the file, print a summary, and exit")] = False,
    log_level: Annotated[str, typer.Option(help="least level that is logged", envvar="PEARHILL_LOG")] = "INFO",
    log_format: Annotated[LogFormat, typer.Option(help="text, or one JSON object a line")] = LogFormat.text,
) -> None:
    """Sum up the loads of dispatchers, with the settings of FILE, until SIGTERM. Exits with 2 if FILE is invalid."""
    path = str(file)

    def start() -> Coroutine[Any, Any, None]:
        return aggregator_daemon.serve(aggregator_setup.load(path), lambda: aggregator_setup.load(path))

    if not check_only:
        raise typer.Exit(run(start, log_level, log_format.value))
    try:
        loaded = aggregator_setup.load(path)
    except ConfigError as e:
        _fail(str(e))
    print(
        f"{file}: good. {loaded.name} listens on {loaded.listen[0]}:{loaded.listen[1]}, "
        f"{len(loaded.peers)} other aggregators"
    )


@app.command()
def check(file: File) -> None:
    """Check the operator's file, and print a summary or the error. Exits with 2 if the file is invalid."""
    try:
        loaded = setup.load(str(file))
    except ConfigError as e:
        _fail(str(e))
    models = {model.name for model in loaded.request_rules.models.values()}
    print(f"{file}: good. {_summary(loaded, len(models))}")
    if not loaded.keyring:
        print("  note: no tenants are declared, so every client that can connect is served")
    if not models:
        print("  note: no models are declared, so requests for any model name are forwarded")


def _summary(loaded: setup.ChatSetup, models: int) -> str:
    """Summarizes an operator's file in one line."""
    parts = [
        f"{len(loaded.endpoints)} servers{', eureka' if loaded.eureka else ''}",
        f"{models} models",
        f"{len(loaded.keyring.tenants)} tenants",
        f"{len(loaded.request_rules.rules)} rules",
        f"classes {', '.join(loaded.deployment.class_names)}",
    ]
    if fleet_setup := loaded.fleet:
        parts.append(
            f"talks to {len(fleet_setup.peers)} dispatchers and {len(fleet_setup.sites)} aggregators as "
            f"{fleet_setup.name}"
        )
    return ", ".join(parts)


@app.command()
def schema() -> None:
    """Print the JSON Schema of the operator's file."""
    file_schema = msgspec.json.schema(OperatorFile)
    print(
        msgspec.json.format(
            msgspec.json.encode({"$schema": "https://json-schema.org/draft/2020-12/schema", **file_schema}), indent=2
        ).decode()
    )


@app.command()
def key(
    known: Annotated[bool, typer.Option("--known", help="read an existing key from standard input")] = False,
) -> None:
    """Generate an API key, and print it with its record for the operator's file."""
    api_key = sys.stdin.readline().strip() if known else keys.new_key()
    try:
        record = keys.record_of(api_key)
    except keys.InvalidKeyError as e:
        _fail(str(e))
    if not known:
        print(f"key     {api_key}")
        print("        (shown once; give it to its tenant)", file=sys.stderr)
    print(f"record  {record}")


@app.command()
def conform(
    url: Annotated[str, typer.Argument(help="base URL of the front end; without it, the daemon of this version")] = "",
    listen: Annotated[
        str,
        typer.Option(help="address of the scripted replica, which must be the only replica of the " "front end"),
    ] = "127.0.0.1:0",
    key: Annotated[str, typer.Option(help="an API key for the front end", envvar="PEARHILL_KEY")] = "",
    only: Annotated[str, typer.Option(help="run only cases whose name contains this text")] = "",
    write: Annotated[str, typer.Option(help="write the report to this Markdown file")] = "",
) -> None:
    """Run the conformance suite. Exits with 1 if a case fails."""
    from pearhill.conformance.errors import ConformanceRunError
    from pearhill.conformance.runner import run_against_own_daemon, run_against_url

    try:
        report = asyncio.run(run_against_url(url, listen, key, only) if url else run_against_own_daemon(only))
    except (ConformanceRunError, ValueError, OSError) as e:
        _fail(str(e))
    for result in report.failed:
        print(f"FAIL {result.case.name}: {result.failure}")
    print(f"{len(report.passed)} of {len(report.results)} cases hold")
    if write:
        Path(write).write_text(report.markdown(), encoding="utf-8")
    raise typer.Exit(1 if report.failed or not report.results else 0)


@app.command()
def bill(
    folder: Annotated[Path, typer.Argument(help="folder of the journal of budgets", show_default=False)],
    period: Annotated[str, typer.Option(help="the month, for example 2026-12")],
    tenant: Annotated[str, typer.Option(help="only this tenant")] = "",
    out: Annotated[Path, typer.Option(help="folder for the files")] = Path("."),
) -> None:
    """Write the bill of a month: every charge as Parquet, statements as HTML and CSV."""
    from pearhill.bill import statement
    from pearhill.durable.recovery import CorruptJournalError

    if not folder.is_dir():
        _fail(f"{folder}: is no folder")
    try:
        period_bill = statement.sum_up(statement.read_folder(folder), period, tenant)
    except (CorruptJournalError, OSError, ValueError) as e:
        _fail(str(e))
    try:
        from pearhill.bill import files
    except ImportError as e:
        _fail(f"{e.name} is required to write the files: pip install 'pearhill[lab]'")
    for path in files.write(period_bill, out):
        print(path)
    total = period_bill.total
    print(f"{len(period_bill.lines)} tenants, {total.requests} requests, {total.milli / 1000:,.3f} tokens charged")


@app.command()
def fleet(
    doors: Annotated[
        list[str],
        typer.Argument(help="admin addresses of dispatchers and aggregators, HOST:PORT", show_default=False),
    ],
    as_json: Annotated[bool, typer.Option("--json", help="print one JSON object")] = False,
    wait_s: Annotated[float, typer.Option(help="time-out of each query in seconds", min=0.1, max=60)] = 2.0,
) -> None:
    """Query dispatchers and aggregators for their load, and sum it up. Exits with 1 if a query fails."""
    from pearhill.cli.fleet import fleet_status, status_lines

    status = fleet_status(doors, wait_s)
    if as_json:
        print(json.dumps(status, indent=2))
    else:
        for line in status_lines(status):
            print(line)
        for address, reason in status["silent"].items():
            print(f"NO ANSWER from {address}: {reason}", file=sys.stderr)
    raise typer.Exit(1 if status["silent"] else 0)


@app.command()
def version() -> None:
    """Print the version."""
    print(pearhill.__version__)


def main() -> None:
    """The entry point of the command `pearhill`."""
    app()
