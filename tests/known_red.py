"""Tests that stand for real faults which are not mended yet, named in KNOWN-RED.txt: just these may fail.

A line is `test | cause | issue`, the test as pytest names it. Three at most. A run ends with an error where there is a
fourth, where one is unknown, or where one passes: then its line goes in the commit that mends it.
"""

from __future__ import annotations

import pathlib
from dataclasses import dataclass

import pytest

MOST = 3


@dataclass(frozen=True)
class Red:
    test: str
    cause: str
    issue: str


def read(text: str) -> list[Red]:
    """pytest.UsageError: a line is no such line, or there are too many."""
    reds = []
    for number, line in enumerate(text.splitlines(), 1):
        if line.strip() and not line.startswith("#"):
            parts = [part.strip() for part in line.split("|")]
            if len(parts) != 3 or not all(parts):
                raise pytest.UsageError(f"KNOWN-RED.txt, line {number}: {line!r}; wanted: test | cause | issue")
            reds.append(Red(*parts))
    if len(reds) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(reds)} tests, {MOST} are allowed")
    return reds


def mark(reds: list[Red], items: list[pytest.Item], root: pathlib.Path, whole: bool) -> None:
    """Let these fail, and have them fail the run if they pass. `whole`: all tests are there, so that one that is not
    is unknown. pytest.UsageError: there is no such test."""
    found = {item.nodeid: item for item in items}
    for red in reds:
        if item := found.get(red.test):
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {red.cause} (issue {red.issue})"))
        elif whole or not (root / red.test.partition("::")[0]).is_file():
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {red.test}")
