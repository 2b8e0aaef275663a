"""Applies KNOWN-RED.txt to every run of the tests."""

import pathlib
from typing import Any

import pytest

from tests.known_red import mark_expected_failures, parse_entries

KNOWN_RED_FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    all_collected = (
        not config.option.keyword and not config.option.markexpr and list(config.args) == config.getini("testpaths")
    )
    mark_expected_failures(parse_entries(KNOWN_RED_FILE.read_text()), items, KNOWN_RED_FILE.parent, all_collected)


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
