"""Regression check: runs the panels of the bench one at a time, and compares each score with the last one.

    .venv/bin/python benchmarks/panels.py KIT SITE [SITE ...] --why "..." [--full] [--panel service] ...
    .venv/bin/python benchmarks/panels.py KIT SITE [SITE ...] --due | --table SINCE | --again --why "..."

KIT is the folder of the bench, which has a program for each panel. SITE is a site file. A panel is a set of simulated
days. If several sites are given, each panel runs on the site whose last score of that panel in `journal/` is the
oldest. `--due` only prints those sites, and when each kind of day last ran on each site, the oldest first. `--again`
replays the days of `failed_seeds.toml`, on which a rule was violated once. `--table` prints all days since a time, from
the journal.

    service      the service days
    later, real  the earlier days on real sockets, with the two programs that support them
    size         the days at full size
    gate         the test that every version must pass (quick: three of its kinds)
    brink        the gate's critical situations, with few dispatchers

A day scores 0 if a rule was violated or a dispatcher crashed. The exit code is 1 if a day scores 0, if a gate is not
passed, or if a panel scores more than 0.03 below the last score of the same kind that passed. Those scores are stored
in `build/panels.json`, which is never committed. Each run draws new days: before a loss counts as a regression, replay
the printed seeds on both versions. Not for CI, because it takes minutes and uses every core.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import re
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from pearhill.config import ConfigError
from pearhill.config.typed import load

ROOT = pathlib.Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
LAST_SCORES = ROOT / "build" / "panels.json"
FAILED_DAYS = pathlib.Path(__file__).with_name("failed_seeds.toml")
MAX_LOSS = 0.03  # accepted loss relative to the last score that passed
MAX_REASON_LENGTH = 120  # characters; the journal rejects longer texts
NO_FAILURES = "nothing speaks against landing"


@dataclass(frozen=True)
class Panel:
    """A panel of the bench: a set of simulated days, and the program that runs it."""

    program: str  # path of the program in the kit
    entry_pattern: re.Pattern[str]  # matches the field `panel` of this panel's journal entries
    options: tuple[str, ...] = ()  # options of the program


PANELS = {
    "service": Panel("more/ops/bin/lbreal", re.compile("scrape")),
    "later": Panel("more/ops/bin/lbreal", re.compile("churn"), ("--panel", "later")),
    "real": Panel("real/bin/lbreal", re.compile("churn")),
    "size": Panel("more/bin/lbreal", re.compile(r"\+vast")),
    "gate": Panel("more/mass/bin/lbreal", re.compile(r"(?<!brink)\+mass")),
    "brink": Panel("more/mass/bin/lbreal", re.compile(r"\+brink"), ("--panel", "brink")),
}
GATED_PANELS = ("gate", "brink")  # panels whose reports have a GATE line
ALL_KINDS = (
    [f"{kind}+mass" for kind in ("calm", "roll", "herd", "zone", "split", "join")]
    + ["soak"]
    + [f"{kind}+brink" for kind in ("roll", "calm", "join", "herd", "split")]
)
_DAY = re.compile(r"^(\S+)\s+G [\d.]+ .*\bscore (-?[\d.]+)(?:  BROKEN: \S+)?$", re.MULTILINE)
_GATE = re.compile(r"^GATE (.*)$", re.MULTILINE)
_SCORE = re.compile(r"^score of the real nodes (-?[\d.]+)", re.MULTILINE)


class PanelReport(NamedTuple):
    """The scores in the output of the bench."""

    score: float  # score of the panel
    days: dict[str, float]  # score of each day, by its name


class FailedDay(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A simulated day on which a rule was violated once."""

    site: str
    kind: str
    seed: int
    rule: str
    seen: str  # id of the journal entry
    cause: str
    mended: str = ""  # words from the title of the commit that fixed it; empty if it is not fixed


class FailedDays(msgspec.Struct, forbid_unknown_fields=True):
    """The file `failed_seeds.toml`."""

    day: list[FailedDay]


class CompletedDay(NamedTuple):
    """A day that the journal records as complete."""

    at: str  # start time of its entry, such as 2026-12-02T01:00:00
    entry: str  # id of its entry
    site: str
    kind: str  # usually one of ALL_KINDS
    figures: dict[str, Any]  # as written by the bench


class LastRun(NamedTuple):
    """When a kind of day last ran on a site."""

    at: str  # empty if it never ran
    site: str
    kind: str


def parse_report(report: str) -> PanelReport:
    """Returns the scores in a report. Raises ValueError if the report has no panel score or no day."""
    score = _SCORE.search(report)
    if not score:
        raise ValueError(f"no score in what the bench printed:\n{report[-2000:]}")
    days = {name: float(figure) for name, figure in _DAY.findall(report)}  # a kind's second day is named KIND-2
    if not days:
        raise ValueError(f"no day in what the bench printed:\n{report[-2000:]}")
    return PanelReport(float(score[1]), days)


def panel_failures(name: str, score: float, days: dict[str, float], before: float | None) -> list[str]:
    """Returns the failures that speak against a merge; the list is empty if there are none."""
    failures = [
        f"{name}: {day} is 0: a crash, a broken rule, or nothing kept" for day, figure in days.items() if figure <= 0
    ]
    if before is not None and score < before - MAX_LOSS:
        failures.append(f"{name}: {score:.3f} after {before:.3f}: replay its seeds on both versions")
    return failures


def gate_failures(name: str, report: str) -> list[str]:
    """Returns the failure that the gate reports, if any. A report of a gated panel without a GATE line is a failure."""
    match = _GATE.search(report)
    if name not in GATED_PANELS and not match:
        return []
    result = match[1] if match else "said nothing"
    return [] if result == "passed" else [f"{name}: GATE {result}"]


def least_recent_site(panel: str, sites: list[pathlib.Path], journal: pathlib.Path) -> pathlib.Path:
    """Returns the site on which this panel ran least recently, or the first site on which it never ran."""
    last_runs: dict[str, str] = {}
    for path in journal.glob("*.json"):
        entry = json.loads(path.read_text())
        if entry.get("cmd") == "real-score" and PANELS[panel].entry_pattern.search(entry.get("panel") or ""):
            last_runs[entry["site"]] = max(last_runs.get(entry["site"], ""), entry["at"][0])
    return min(sites, key=lambda site: last_runs.get(site.stem, ""))


def completed_days(journal: pathlib.Path) -> Iterator[CompletedDay]:
    """Yields every soak and every day at full size (`mass`) that the journal records as complete."""
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        if not entry.get("ok"):
            continue
        for figures in entry.get("days") or ():
            kind = _day_kind(figures.get("rough") or [])
            if kind:
                yield CompletedDay(entry["at"][0], entry["id"], entry["site"], kind, figures)


def _day_kind(disturbances: list[str]) -> str:
    """Returns the kind of a day from its disturbances, or "" if it is neither a soak nor at full size (`mass`)."""
    if "mass" not in disturbances and disturbances[:1] != ["soak"]:
        return ""
    if "brink" in disturbances:
        return f"{disturbances[0]}+brink"
    return disturbances[0] if disturbances[0] == "soak" else f"{disturbances[0]}+mass"


def table_rows(journal: pathlib.Path, since: str) -> list[str]:
    """Returns the days since a time as rows of a Markdown table."""
    rows = [
        "| site | day | seed | score | served (gate) | broken or failed | memory, descriptors of | entry |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    return rows + [_row(day) for day in completed_days(journal) if day.at >= since]


def _row(day: CompletedDay) -> str:
    figures = day.figures
    failures = figures["fault"] or figures["gate"] or ""
    return (
        f"| {day.site} | {day.kind} | {figures['seed']} | {figures['score']:.2f} | {figures['served']:.3f} "
        f"({figures['served_least']:.3f}) | {failures} | {figures['memory_mb']} of {figures['caps'][0]} MB, "
        f"{figures['files']} of {figures['caps'][1]} | {day.entry} |"
    )


def last_runs_by_age(journal: pathlib.Path, sites: list[str]) -> list[LastRun]:
    """Returns the last run of each kind of day on each site, the oldest first."""
    last_runs = {(site, kind): "" for site in sites for kind in ALL_KINDS}
    for day in completed_days(journal):
        if (day.site, day.kind) in last_runs:
            last_runs[day.site, day.kind] = max(last_runs[day.site, day.kind], day.at)
    return sorted(LastRun(at, site, kind) for (site, kind), at in last_runs.items())


def replay_failures(name: str, report: str) -> list[str]:
    """Returns the failures of a replayed day. A replay without a score is a failure too, although it reports no
    violated rule, because it did not finish."""
    if not _DAY.search(report):
        return [f"{name}: the output of the bench has no score"]
    return [f"{name}: {line}" for line in report.splitlines() if line.startswith(("RULE BROKEN", "FAULT"))]


def run_bench(*command: str | pathlib.Path) -> str:
    """Run a program of the kit, print its output, and return its standard output."""
    done = subprocess.run(
        [str(part.resolve()) if isinstance(part, pathlib.Path) else part for part in command],
        cwd=ROOT,
        text=True,
        capture_output=True,
    )
    print(done.stdout, done.stderr, sep="", flush=True)
    return done.stdout


def replay_days(kit: pathlib.Path, sites: list[pathlib.Path], days: list[FailedDay], reason: str) -> list[str]:
    """Replay days, and return the failures."""
    paths = {site.stem: site for site in sites}
    program = kit / PANELS["gate"].program
    failures = []
    for day in days:
        name = f"{day.site} {day.kind} seed {day.seed}"
        if day.site not in paths:
            failures.append(f"{name}: not replayed, because its site was not given")
            continue
        report = run_bench(program, paths[day.site], "--rough", day.kind, "--seed", str(day.seed), "--why", reason)
        failures += replay_failures(name, report)
    return failures


def run_panels(
    kit: pathlib.Path, panels: list[str], next_sites: dict[str, pathlib.Path], reason: str, full: bool
) -> list[str]:
    """Run each panel on its site, store the scores of those that passed, and return the failures."""
    scores: dict[str, float] = json.loads(LAST_SCORES.read_text()) if LAST_SCORES.exists() else {}
    failures: list[str] = []
    size = "full" if full else "quick"
    for name in panels:
        panel = PANELS[name]
        site = next_sites[name]
        mode_options = () if full else ("--quick",)
        report = run_bench(kit / panel.program, "score", site, *panel.options, "--why", reason, *mode_options)
        kind = f"{site.stem} {name} {size}"
        try:
            score, days = parse_report(report)
        except ValueError as e:
            failures.append(f"{kind}: {e}")
            continue
        found_failures = panel_failures(kind, score, days, scores.get(kind)) + gate_failures(name, report)
        failures += found_failures
        if not found_failures:  # a stored loss would become the baseline of the next run and hide the regression
            scores[kind] = score
    LAST_SCORES.parent.mkdir(exist_ok=True)
    LAST_SCORES.write_text(json.dumps(scores, indent=1) + "\n")
    return failures


def print_due(next_sites: dict[str, pathlib.Path], sites: list[pathlib.Path]) -> None:
    """Print the next site of each panel, and when each kind of day last ran."""
    print("\n".join(f"{name}: {site.stem}" for name, site in next_sites.items()))
    for play in last_runs_by_age(JOURNAL, [site.stem for site in sites]):
        print(f"{play.at or 'never':20} {play.kind} on {play.site}")


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(description="Run the panels of the bench one at a time.")
    parser.add_argument("kit", type=pathlib.Path)
    parser.add_argument("sites", type=pathlib.Path, nargs="+", metavar="SITE")
    parser.add_argument("--why", default="", help="one plain sentence under 120 characters, for the journal")
    parser.add_argument("--due", action="store_true", help="print the next site of each panel, and run nothing")
    parser.add_argument("--table", metavar="SINCE", help="print the days since a time (2026-12-02T01) as table rows")
    parser.add_argument("--again", action="store_true", help="replay the days on which a rule was violated once")
    parser.add_argument("--full", action="store_true", help="run all days of a panel instead of the quick ones")
    parser.add_argument("--panel", action="append", choices=sorted(PANELS), help="run only this panel; may be repeated")
    return parser


def load_failed_days(parser: argparse.ArgumentParser, options: argparse.Namespace, panels: list[str]) -> FailedDays:
    """Validate the arguments, and return the days on which a rule was violated once. Exits the process at an error."""
    if len(options.why) >= MAX_REASON_LENGTH:
        parser.error(f"--why: {len(options.why)} characters, under {MAX_REASON_LENGTH} are allowed")
    try:
        failed, _ = load(str(FAILED_DAYS), FailedDays)
    except ConfigError as e:
        parser.error(str(e))
    for path in (*options.sites, *(options.kit / PANELS[name].program for name in panels)):
        if not path.is_file():
            parser.error(f"{path}: no such file")
    return failed


def main() -> int:
    """Run the command, and return the exit code of the process."""
    parser = make_parser()
    options = parser.parse_args()
    panels = options.panel or list(PANELS)
    failed = load_failed_days(parser, options, panels)
    if options.table:
        print("\n".join(table_rows(JOURNAL, options.table)))
        return 0
    next_sites = {name: least_recent_site(name, options.sites, JOURNAL) for name in panels}
    if options.due:
        print_due(next_sites, options.sites)
        return 0
    if not options.why:
        parser.error("--why is required to run panels")
    if options.again:
        failures = replay_days(options.kit, options.sites, failed.day, options.why)
    else:
        failures = run_panels(options.kit, panels, next_sites, options.why, options.full)
    print("\n".join(failures) or NO_FAILURES)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
