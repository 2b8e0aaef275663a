"""Applies KNOWN-RED.txt to every run of the tests."""

import pathlib
from typing import Any

import pytest

from tests.known_red import mark, read

FILE = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    whole = not config.option.keyword and not config.option.markexpr and list(config.args) == config.getini("testpaths")
    mark(read(FILE.read_text()), items, FILE.parent, whole)


def pytest_terminal_summary(terminalreporter: Any) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
