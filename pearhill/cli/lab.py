"""`pearhill lab`: run a scenario, compare two runs, measure the fleet's control."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

app = typer.Typer(no_args_is_help=True, help="The laboratory: scenarios on loopback stand-ins.")


def _fail(why: object) -> NoReturn:
    print(f"pearhill: {why}", file=sys.stderr)
    raise typer.Exit(2)


def _parts() -> Any:
    """The modules that need the extra."""
    try:
        from pearhill.lab import report, run, scenario
    except ImportError as e:
        _fail(f"{e.name} is needed for the laboratory: pip install 'pearhill[lab]'")
    return report, run, scenario


@app.command("run")
def run_scenario(
    file: Annotated[Path, typer.Argument(help="the scenario (TOML)", show_default=False)],
    out: Annotated[Path, typer.Option(help="where the results go, as Parquet and HTML")] = Path("."),
) -> None:
    """Run a scenario and write its results: FILE.parquet and FILE.html."""
    from pearhill.config import ConfigError
    from pearhill.conformance.runner import Unreachable

    report, run, scenario = _parts()
    try:
        made = scenario.load(str(file))
        with typer.progressbar(length=1000, label=file.stem, file=sys.stderr) as bar:
            rows = asyncio.run(run.run(made, lambda done, total: bar.update(1000 * done // total - bar.pos)))
    except (ConfigError, Unreachable, OSError) as e:
        _fail(e)
    out.mkdir(parents=True, exist_ok=True)
    target = out / f"{file.stem}.parquet"
    run.write_rows(rows, made, target)
    again, told = run.read_rows(target)
    target.with_suffix(".html").write_text(report.page(file.stem, {file.stem: (again, told)}), encoding="utf-8")
    print(report.figures_text(report.tenant_figures(again, told)))
    print(f"{target}\n{target.with_suffix('.html')}")


@app.command("fleet")
def run_fleet(
    file: Annotated[Path, typer.Argument(help="the scenario (TOML), with [fleet]", show_default=False)],
    out: Annotated[Path, typer.Option(help="where the results go, as Parquet and HTML")] = Path("."),
) -> None:
    """Run many dispatchers before the same engines, with faults, and say how even the work was."""
    from pearhill.config import ConfigError

    report, run, scenario = _parts()
    from pearhill.lab import fleet

    try:
        made = scenario.load(str(file))
        result = asyncio.run(fleet.run(made, lambda line: print(line, file=sys.stderr)))
    except (ConfigError, fleet.NotStartedError, OSError, ValueError) as e:
        _fail(e)
    out.mkdir(parents=True, exist_ok=True)
    target = out / f"{file.stem}.parquet"
    run.write_rows(result.rows, made, target)
    again, told = run.read_rows(target)
    target.with_suffix(".html").write_text(report.page(file.stem, {file.stem: (again, told)}, result), encoding="utf-8")
    print(result.summary(made.lab.warm_s))
    print(f"{target}\n{target.with_suffix('.html')}")


@app.command("scale")
def run_scale(
    file: Annotated[Path | None, typer.Argument(help="the plan (TOML)", show_default=False)] = None,
    json_file: Annotated[Path | None, typer.Option("--json", help="write the results to this file")] = None,
    report_file: Annotated[Path | None, typer.Option("--report", help="write the page to this file")] = None,
    page: Annotated[
        bool,
        typer.Option(
            "--page", help="no run: make docs/CAPACITY.md anew from docs/capacity/*.json, " "in the project's folder"
        ),
    ] = False,
) -> None:
    """Measure what the fleet's control costs over a grid of sizes, with hollow dispatchers beside real ones."""
    from pearhill.config import ConfigError

    _parts()
    if page:
        if file or json_file or report_file:
            _fail("--page: found a plan or a file to write beside it; allowed: --page alone")
        from pearhill.lab import capacity

        try:
            return print(capacity.write_pages(Path(".")))
        except (ConfigError, OSError) as e:
            _fail(e)
    if file is None:
        _fail("FILE: found none; allowed: a plan, or --page")
    from pearhill.lab.scale import plan, report, run

    stopped: Exception | None = None
    try:
        made = plan.load(str(file))
        results = asyncio.run(run.run(made, file.name, lambda line: print(line, file=sys.stderr, flush=True)))
    except ConfigError as e:
        _fail(e)
    except run.Stopped as e:
        results, stopped = e.results, e
    written = (json_file, json.dumps(results, indent=1) + "\n"), (report_file, report.page(file.stem, results))
    for path, text in written:
        if path:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
            print(path)
    for slope in results["slopes"]:
        over = f", {slope['need_over_bound']:.2f} of its bound" if slope["bound"] else ""
        print(
            f"{slope['way']}, {slope['role']}, {slope['quantity']}: {slope['at_size']:.4g} at the size{over} "
            f"({slope['form']}, stretched {slope['stretched']} times)"
        )
    if stopped:
        _fail(stopped)


@app.command("up")
def bring_up(
    file: Annotated[Path, typer.Argument(help="the operator's file (TOML)", show_default=False)],
) -> None:
    """Serve an operator's file before stand-in engines, where it says that servers are, until Ctrl-C."""
    from pearhill.chat import setup
    from pearhill.config import ConfigError

    _parts()
    from pearhill.lab import up

    try:
        code = asyncio.run(
            up.serve_with_stand_ins(str(file), setup.load(str(file)), lambda line: print(line, file=sys.stderr))
        )
    except (ConfigError, up.NotStartedError) as e:
        _fail(e)
    raise typer.Exit(code)


@app.command()
def compare(
    before: Annotated[Path, typer.Argument(help="a run's Parquet file", show_default=False)],
    after: Annotated[Path, typer.Argument(help="another's", show_default=False)],
    out: Annotated[Path, typer.Option(help="the page")] = Path("compare.html"),
) -> None:
    """Put two runs side by side."""
    report, run, _ = _parts()
    try:
        runs = {f"{side}: {path.stem}": run.read_rows(path) for side, path in (("A", before), ("B", after))}
    except (OSError, ValueError) as e:
        _fail(e)
    out.write_text(report.page(f"{before.stem} and {after.stem}", runs), encoding="utf-8")
    for name, (rows, told) in runs.items():
        print(f"{name}\n{report.figures_text(report.tenant_figures(rows, told))}\n")
    print(out)


@app.command("soak")
def run_soak(
    seeds: Annotated[int, typer.Option(help="how many seeds to play")] = 10,
    first: Annotated[int, typer.Option(help="the first seed")] = 1,
    seconds: Annotated[float, typer.Option(help="of load for each seed")] = 12.0,
    dispatchers: Annotated[int, typer.Option(help="real processes, 10 to 40", min=10, max=40)] = 10,
    logs: Annotated[Path | None, typer.Option(help="a folder for the log lines behind each violation")] = None,
) -> None:
    """Randomized fault soak: real dispatchers, overlapping faults, the rules as oracle. Exit code 1: a violation."""
    from pearhill.lab.soak import run

    broken = 0
    for seed in range(first, first + seeds):
        report = run.play(seed, seconds, dispatchers)
        print(report.text(), flush=True)
        broken += bool(report.violations)
        if logs and report.violations:
            logs.mkdir(parents=True, exist_ok=True)
            for name, lines in report.logs.items():
                (logs / f"{seed}-{name}.log").write_text("\n".join(lines) + "\n", encoding="utf-8")
    print(f"{seeds} seeds from {first}, {broken} with violations")
    raise typer.Exit(1 if broken else 0)
