"""The regression check: the bench's panels one at a time, each by name, and the last figure of each beside the new one.

    .venv/bin/python benchmarks/panels.py KIT SITE [SITE ...] --why "..." [--full] [--panel service] ...
    .venv/bin/python benchmarks/panels.py KIT SITE [SITE ...] --due | --table SINCE | --again --why "..."

KIT is the folder of the bench, where each panel has its own program; SITE a site file. Of several sites each panel is
played on the one that is due: the one whose last score of it in `journal/` is the oldest. `--due` only prints which,
and when each kind of day was last played on each site, the oldest first; `--again` plays the days of
`failed_seeds.toml`, on which a rule was ever broken; `--table` prints all days played since a time, as the journal has
them.
`service` is the service days, `later` and `real` the earlier days on real sockets by the two programs that know them,
`size` the days at size, `gate` the standing test of every version (quick: three of its kinds), `brink` its narrow
moments with few dispatchers.
A day is 0 where a rule was broken or a dispatcher crashed: that, a gate that is not passed, and a panel that lost more
than 0.03 against the last figure of the same kind that passed (kept in `build/panels.json`, never committed), ends with
exit code 1. Days are drawn anew for each score: replay the seeds that it prints on both versions before a loss is
believed. Not for CI: it takes minutes, and every core.
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
MAX_LOSS = 0.03  # against the last score that passed
MAX_WHY = 120  # characters; the journal takes no more
NOTHING_AGAINST = "nothing speaks against landing"


@dataclass(frozen=True)
class Panel:
    """A panel of the bench."""

    program: str  # its path in the kit
    played: re.Pattern[str]  # found in what the journal says was played, if it was this panel
    options: tuple[str, ...] = ()  # of the program


PANELS = {
    "service": Panel("more/ops/bin/lbreal", re.compile("scrape")),
    "later": Panel("more/ops/bin/lbreal", re.compile("churn"), ("--panel", "later")),
    "real": Panel("real/bin/lbreal", re.compile("churn")),
    "size": Panel("more/bin/lbreal", re.compile(r"\+vast")),
    "gate": Panel("more/mass/bin/lbreal", re.compile(r"(?<!brink)\+mass")),
    "brink": Panel("more/mass/bin/lbreal", re.compile(r"\+brink"), ("--panel", "brink")),
}
GATED_PANELS = ("gate", "brink")  # their reports say whether the gate was passed
ALL_KINDS = (
    [f"{kind}+mass" for kind in ("calm", "roll", "herd", "zone", "split", "join")]
    + ["soak"]
    + [f"{kind}+brink" for kind in ("roll", "calm", "join", "herd", "split")]
)
_DAY = re.compile(r"^(\S+)\s+G [\d.]+ .*\bscore (-?[\d.]+)(?:  BROKEN: \S+)?$", re.MULTILINE)
_GATE = re.compile(r"^GATE (.*)$", re.MULTILINE)
_SCORE = re.compile(r"^score of the real nodes (-?[\d.]+)", re.MULTILINE)


class PanelReport(NamedTuple):
    """The figures of what the bench printed."""

    score: float  # of the panel
    days: dict[str, float]  # the score of each day, by its name


class FailedDay(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A day on which a rule was broken once."""

    site: str
    kind: str
    seed: int
    rule: str
    seen: str  # the journal's entry
    cause: str
    mended: str = ""  # by which commit; empty: not yet


class FailedDays(msgspec.Struct, forbid_unknown_fields=True):
    """The file `failed_seeds.toml`."""

    day: list[FailedDay]


class PlayedDay(NamedTuple):
    """A day that the journal has to its end."""

    at: str  # when its entry began, as in 2026-12-02T01:00:00
    entry: str  # the id of its entry
    site: str
    kind: str  # one of ALL_KINDS, as a rule
    figures: dict[str, Any]  # as the bench wrote them


class LastPlay(NamedTuple):
    """When a kind of day was last played on a site."""

    at: str  # empty: never
    site: str
    kind: str


def read(report: str) -> PanelReport:
    """The figures of a report. ValueError: the bench printed no score, or no day."""
    score = _SCORE.search(report)
    if not score:
        raise ValueError(f"no score in what the bench printed:\n{report[-2000:]}")
    days = {name: float(figure) for name, figure in _DAY.findall(report)}  # a kind's second day is named KIND-2
    if not days:
        raise ValueError(f"no day in what the bench printed:\n{report[-2000:]}")
    return PanelReport(float(score[1]), days)


def verdict(name: str, score: float, days: dict[str, float], before: float | None) -> list[str]:
    """What speaks against landing; empty where nothing does."""
    against = [
        f"{name}: {day} is 0: a crash, a broken rule, or nothing kept" for day, figure in days.items() if figure <= 0
    ]
    if before is not None and score < before - MAX_LOSS:
        against.append(f"{name}: {score:.3f} after {before:.3f}: replay its seeds on both versions")
    return against


def gate(name: str, report: str) -> list[str]:
    """What the gate has against this version. A report of a gated panel that has no line for it counts as failed."""
    found = _GATE.search(report)
    if name not in GATED_PANELS and not found:
        return []
    result = found[1] if found else "said nothing"
    return [] if result == "passed" else [f"{name}: GATE {result}"]


def due(panel: str, sites: list[pathlib.Path], journal: pathlib.Path) -> pathlib.Path:
    """The site that this panel was not played on for longest; of sites never played, the first named."""
    last: dict[str, str] = {}
    for path in journal.glob("*.json"):
        entry = json.loads(path.read_text())
        if entry.get("cmd") == "real-score" and PANELS[panel].played.search(entry.get("panel") or ""):
            last[entry["site"]] = max(last.get(entry["site"], ""), entry["at"][0])
    return min(sites, key=lambda site: last.get(site.stem, ""))


def played(journal: pathlib.Path) -> Iterator[PlayedDay]:
    """Every day at full size or on the brink that the journal has to its end."""
    for path in sorted(journal.glob("*.json")):
        entry = json.loads(path.read_text())
        if not entry.get("ok"):
            continue
        for figures in entry.get("days") or ():
            kind = _kind(figures.get("rough") or [])
            if kind:
                yield PlayedDay(entry["at"][0], entry["id"], entry["site"], kind, figures)


def _kind(rough: list[str]) -> str:
    """The kind of a day by what was rough on it; empty: neither at full size nor on the brink."""
    if "mass" not in rough and rough[:1] != ["soak"]:
        return ""
    if "brink" in rough:
        return f"{rough[0]}+brink"
    return rough[0] if rough[0] == "soak" else f"{rough[0]}+mass"


def table(journal: pathlib.Path, since: str) -> list[str]:
    """The days played since a time, in the rows of a page."""
    rows = [
        "| site | day | seed | score | served (gate) | broken or failed | memory, descriptors of | entry |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    return rows + [_row(day) for day in played(journal) if day.at >= since]


def _row(day: PlayedDay) -> str:
    figures = day.figures
    against = figures["fault"] or figures["gate"] or ""
    return (
        f"| {day.site} | {day.kind} | {figures['seed']} | {figures['score']:.2f} | {figures['served']:.3f} "
        f"({figures['served_least']:.3f}) | {against} | {figures['memory_mb']} of {figures['caps'][0]} MB, "
        f"{figures['files']} of {figures['caps'][1]} | {day.entry} |"
    )


def oldest(journal: pathlib.Path, sites: list[str]) -> list[LastPlay]:
    """Each kind of day on each site by its last play, the oldest first."""
    last = {(site, kind): "" for site in sites for kind in ALL_KINDS}
    for day in played(journal):
        if (day.site, day.kind) in last:
            last[day.site, day.kind] = max(last[day.site, day.kind], day.at)
    return sorted(LastPlay(at, site, kind) for (site, kind), at in last.items())


def again_verdict(name: str, report: str) -> list[str]:
    """What a day played anew has against landing. A play that came to no end has broken no rule, and counts as well."""
    if not _DAY.search(report):
        return [f"{name}: the bench told no score"]
    return [f"{name}: {line}" for line in report.splitlines() if line.startswith(("RULE BROKEN", "FAULT"))]


def run_bench(*command: str | pathlib.Path) -> str:
    """Run a program of the kit, print what it printed, and return its standard output."""
    done = subprocess.run(
        [str(part.resolve()) if isinstance(part, pathlib.Path) else part for part in command],
        cwd=ROOT,
        text=True,
        capture_output=True,
    )
    print(done.stdout, done.stderr, sep="", flush=True)
    return done.stdout


def play_again(kit: pathlib.Path, sites: list[pathlib.Path], days: list[FailedDay], why: str) -> list[str]:
    """Play days anew; what speaks against landing."""
    paths = {site.stem: site for site in sites}
    program = kit / PANELS["gate"].program
    against = []
    for day in days:
        name = f"{day.site} {day.kind} seed {day.seed}"
        if day.site not in paths:
            against.append(f"{name}: its site was not named, so it was not played")
            continue
        report = run_bench(program, paths[day.site], "--rough", day.kind, "--seed", str(day.seed), "--why", why)
        against += again_verdict(name, report)
    return against


def play_panels(
    kit: pathlib.Path, panels: list[str], turns: dict[str, pathlib.Path], why: str, full: bool
) -> list[str]:
    """Play each panel on its site, and keep the scores of those that passed; what speaks against landing."""
    scores: dict[str, float] = json.loads(LAST_SCORES.read_text()) if LAST_SCORES.exists() else {}
    against: list[str] = []
    size = "full" if full else "quick"
    for name in panels:
        panel = PANELS[name]
        site = turns[name]
        more = () if full else ("--quick",)
        report = run_bench(kit / panel.program, "score", site, *panel.options, "--why", why, *more)
        kind = f"{site.stem} {name} {size}"
        try:
            score, days = read(report)
        except ValueError as e:
            against.append(f"{kind}: {e}")
            continue
        found = verdict(kind, score, days, scores.get(kind)) + gate(name, report)
        against += found
        if not found:  # a loss that is kept would be what the next run is measured against, and never be named
            scores[kind] = score
    LAST_SCORES.parent.mkdir(exist_ok=True)
    LAST_SCORES.write_text(json.dumps(scores, indent=1) + "\n")
    return against


def print_due(turns: dict[str, pathlib.Path], sites: list[pathlib.Path]) -> None:
    """Print which site is due for each panel, and when each kind of day was last played."""
    print("\n".join(f"{name}: {site.stem}" for name, site in turns.items()))
    for play in oldest(JOURNAL, [site.stem for site in sites]):
        print(f"{play.at or 'never':20} {play.kind} on {play.site}")


def make_parser() -> argparse.ArgumentParser:
    """The command line."""
    parser = argparse.ArgumentParser(description="The bench's panels, one at a time.")
    parser.add_argument("kit", type=pathlib.Path)
    parser.add_argument("sites", type=pathlib.Path, nargs="+", metavar="SITE")
    parser.add_argument("--why", default="", help="one plain sentence under 120 characters, for the journal")
    parser.add_argument("--due", action="store_true", help="say what is due where, and play nothing")
    parser.add_argument("--table", metavar="SINCE", help="the days played since a time (2026-12-02T01), as rows")
    parser.add_argument("--again", action="store_true", help="play the days on which a rule was ever broken")
    parser.add_argument("--full", action="store_true", help="all days of a panel, not the quick ones")
    parser.add_argument("--panel", action="append", choices=sorted(PANELS), help="only this one; may be repeated")
    return parser


def load_failed_days(parser: argparse.ArgumentParser, options: argparse.Namespace, panels: list[str]) -> FailedDays:
    """Check what was given, and read the days on which a rule was ever broken; faults end the process."""
    if len(options.why) >= MAX_WHY:
        parser.error(f"--why: {len(options.why)} characters, under {MAX_WHY} are allowed")
    try:
        failed, _ = load(str(FAILED_DAYS), FailedDays)
    except ConfigError as e:
        parser.error(str(e))
    for path in (*options.sites, *(options.kit / PANELS[name].program for name in panels)):
        if not path.is_file():
            parser.error(f"{path}: no such file")
    return failed


def main() -> int:
    """Run the command; the process's exit code."""
    parser = make_parser()
    options = parser.parse_args()
    panels = options.panel or list(PANELS)
    failed = load_failed_days(parser, options, panels)
    if options.table:
        print("\n".join(table(JOURNAL, options.table)))
        return 0
    turns = {name: due(name, options.sites, JOURNAL) for name in panels}
    if options.due:
        print_due(turns, options.sites)
        return 0
    if not options.why:
        parser.error("--why is needed to play")
    if options.again:
        against = play_again(options.kit, options.sites, failed.day, options.why)
    else:
        against = play_panels(options.kit, panels, turns, options.why, options.full)
    print("\n".join(against) or NOTHING_AGAINST)
    return 1 if against else 0


if __name__ == "__main__":
    sys.exit(main())
