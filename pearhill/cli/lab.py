"""`pearhill lab`: run scenarios, compare two runs, measure the overhead of fleet membership and load exchange, soak."""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

app = typer.Typer(no_args_is_help=True, help="Load tests and simulations with stand-in replicas on loopback.")


def _fail(reason: object) -> NoReturn:
    print(f"pearhill: {reason}", file=sys.stderr)
    raise typer.Exit(2)


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def _require_extra() -> None:
    """Exit with one line if the packages of the extra `[lab]` are missing. Commands call it before such imports."""
    try:
        from pearhill.lab import report, run, scenario  # noqa: F401
    except ImportError as e:
        _fail(f"{e.name} is required by `pearhill lab`: pip install 'pearhill[lab]'")


@app.command("run")
def run_scenario(
    file: Annotated[Path, typer.Argument(help="scenario file (TOML)", show_default=False)],
    out: Annotated[Path, typer.Option(help="folder for the results (Parquet and HTML)")] = Path("."),
) -> None:
    """Run a scenario and write its results: FILE.parquet and FILE.html."""
    from pearhill.config import ConfigError
    from pearhill.conformance.errors import ConformanceRunError

    _require_extra()
    from pearhill.lab import report, run, scenario

    try:
        loaded = scenario.load(str(file))
        with typer.progressbar(length=1000, label=file.stem, file=sys.stderr) as bar:
            rows = asyncio.run(run.run(loaded, lambda done, total: bar.update(1000 * done // total - bar.pos)))
    except (ConfigError, ConformanceRunError, OSError) as e:
        _fail(e)
    target = _result_file(out, file)
    run.write_rows(rows, loaded, target)
    rows, parameters = run.read_rows(target)
    page = target.with_suffix(".html")
    page.write_text(report.render_page(file.stem, {file.stem: (rows, parameters)}), encoding="utf-8")
    print(report.figures_text(report.tenant_figures(rows, parameters)))
    print(f"{target}\n{page}")


def _result_file(folder: Path, scenario_file: Path) -> Path:
    """Returns the path of a scenario's Parquet file; creates the folder if it is missing."""
    folder.mkdir(parents=True, exist_ok=True)
    return folder / f"{scenario_file.stem}.parquet"


@app.command("fleet")
def run_fleet(
    file: Annotated[Path, typer.Argument(help="scenario file (TOML) with a [fleet] table", show_default=False)],
    out: Annotated[Path, typer.Option(help="folder for the results (Parquet and HTML)")] = Path("."),
) -> None:
    """Run many dispatchers with the same replicas and with faults, and print how evenly the load was spread."""
    from pearhill.config import ConfigError

    _require_extra()
    from pearhill.lab import fleet, report, run, scenario

    try:
        loaded = scenario.load(str(file))
        result = asyncio.run(fleet.run(loaded, _print_progress))
    except (ConfigError, fleet.NotStartedError, OSError, ValueError) as e:
        _fail(e)
    target = _result_file(out, file)
    run.write_rows(result.rows, loaded, target)
    rows, parameters = run.read_rows(target)
    page = target.with_suffix(".html")
    page.write_text(report.render_page(file.stem, {file.stem: (rows, parameters)}, result), encoding="utf-8")
    print(result.summary(loaded.lab.warm_s))
    print(f"{target}\n{page}")


@app.command("scale")
def run_scale(
    file: Annotated[Path | None, typer.Argument(help="scale plan (TOML)", show_default=False)] = None,
    json_file: Annotated[Path | None, typer.Option("--json", help="write the results to this file")] = None,
    report_file: Annotated[Path | None, typer.Option("--report", help="write the HTML report to this file")] = None,
    page: Annotated[
        bool,
        typer.Option(
            "--page",
            help="run nothing: write docs/CAPACITY.md from docs/capacity/*.json, " "in the root of the repository",
        ),
    ] = False,
) -> None:
    """Measure the cost of gossip and aggregation over a grid of fleet sizes, with simulated and real dispatchers."""
    _require_extra()
    if page:
        if file or json_file or report_file:
            _fail("--page: found a plan or an output file with it; allowed: --page alone")
        return _write_capacity_pages()
    if file is None:
        _fail("FILE: missing; allowed: a plan, or --page")
    _run_plan(file, json_file, report_file)


def _write_capacity_pages() -> None:
    from pearhill.config import ConfigError
    from pearhill.lab import capacity

    try:
        print(capacity.write_pages(Path(".")))
    except (ConfigError, OSError) as e:
        _fail(e)


def _run_plan(file: Path, json_file: Path | None, report_file: Path | None) -> None:
    """Run a scale plan, write its results (also those of a run that stopped early), and print its slopes."""
    from pearhill.config import ConfigError
    from pearhill.lab.scale import plan, report, run

    stopped: Exception | None = None
    try:
        loaded = plan.load(str(file))
        results = asyncio.run(run.run(loaded, file.name, _print_progress))
    except ConfigError as e:
        _fail(e)
    except run.RunStoppedError as e:
        results, stopped = e.results, e
    outputs = (json_file, json.dumps(results, indent=1) + "\n"), (report_file, report.render_page(file.stem, results))
    for path, text in outputs:
        if path:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
            print(path)
    for slope in results["slopes"]:
        print(_slope_line(slope))
    if stopped:
        _fail(stopped)


def _slope_line(slope: dict[str, Any]) -> str:
    over = f", {slope['need_over_bound']:.2f} of its bound" if slope["bound"] else ""
    return (
        f"{slope['way']}, {slope['role']}, {slope['quantity']}: {slope['at_size']:.4g} at the size{over} "
        f"({slope['form']}, stretched {slope['stretched']} times)"
    )


@app.command("up")
def bring_up(
    file: Annotated[Path, typer.Argument(help="the operator's file (TOML)", show_default=False)],
) -> None:
    """Serve an operator's file, with stand-in replicas at the server addresses that it lists, until Ctrl-C."""
    from pearhill.chat import setup
    from pearhill.config import ConfigError

    _require_extra()
    from pearhill.lab import up

    try:
        code = asyncio.run(up.serve_with_stand_ins(str(file), setup.load(str(file)), _print_progress))
    except (ConfigError, up.NotStartedError) as e:
        _fail(e)
    raise typer.Exit(code)


@app.command()
def compare(
    before: Annotated[Path, typer.Argument(help="Parquet file of the first run", show_default=False)],
    after: Annotated[Path, typer.Argument(help="Parquet file of the second run", show_default=False)],
    out: Annotated[Path, typer.Option(help="HTML report to write")] = Path("compare.html"),
) -> None:
    """Compare the results of two runs."""
    _require_extra()
    from pearhill.lab import report, run

    try:
        runs = {f"{side}: {path.stem}": run.read_rows(path) for side, path in (("A", before), ("B", after))}
    except (OSError, ValueError) as e:
        _fail(e)
    out.write_text(report.render_page(f"{before.stem} and {after.stem}", runs), encoding="utf-8")
    for name, (rows, parameters) in runs.items():
        print(f"{name}\n{report.figures_text(report.tenant_figures(rows, parameters))}\n")
    print(out)


@app.command("soak")
def run_soak(
    seeds: Annotated[int, typer.Option(help="number of seeds to run")] = 10,
    first: Annotated[int, typer.Option(help="the first seed")] = 1,
    seconds: Annotated[float, typer.Option(help="seconds of load for each seed")] = 12.0,
    dispatchers: Annotated[int, typer.Option(help="number of dispatcher processes, 10 to 40", min=10, max=40)] = 10,
    logs: Annotated[Path | None, typer.Option(help="folder for the log lines around each violation")] = None,
) -> None:
    """Soak test: real dispatchers under random overlapping faults, checked by rules. Exits with 1 on a violation."""
    from pearhill.lab.soak import run

    seeds_with_violations = 0
    exposure = Counter[str]()
    for seed in range(first, first + seeds):
        report = run.run_seed(seed, seconds, dispatchers)
        print(report.text(), flush=True)
        seeds_with_violations += bool(report.violations)
        exposure += report.exposure
        if logs and report.violations:
            logs.mkdir(parents=True, exist_ok=True)
            for name, lines in report.logs.items():
                (logs / f"{seed}-{name}.log").write_text("\n".join(lines) + "\n", encoding="utf-8")
    print(f"could have been broken, in all: {dict(sorted(exposure.items()))}")
    print(f"{seeds} seeds from {first}, {seeds_with_violations} with violations")
    raise typer.Exit(1 if seeds_with_violations else 0)
