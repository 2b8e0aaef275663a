"""Checks the handling of KNOWN-RED.txt by pytest runs on generated tests."""

import pathlib
import subprocess
import sys

import pytest

from tests.known_red import ENTRY_FORMAT

INVALID_LINE = "'tests/test_it.py::test_red: it waits'"
ROOT = pathlib.Path(__file__).parent.parent
TEST_FILE = (
    "def test_red():\n    assert False\n\ndef test_green():\n    pass\n\ndef test_other():\n    assert {other}\n"
)
RED_ENTRY = "tests/test_it.py::test_red | pytest -k red, seed 7 | it waits | 31\n"
GREEN_ENTRY = "tests/test_it.py::test_green | pytest -k green | it waited | 31\n"


@pytest.mark.parametrize(
    ("text", "other", "code", "words"),
    [
        (
            RED_ENTRY,
            True,
            0,
            "KNOWN RED tests/test_it.py::test_red: known red: it waits (issue 31; pytest -k red, seed 7)",
        ),
        (RED_ENTRY, False, 1, "1 failed, 1 passed, 1 xfailed"),
        (RED_ENTRY + GREEN_ENTRY, True, 1, "[XPASS(strict)] known red: it waited"),
        ("# none\n", True, 1, "FAILED tests/test_it.py::test_red"),
        (RED_ENTRY.replace("test_red", "test_blue"), True, 4, "there is no test tests/test_it.py::test_blue"),
        (RED_ENTRY.replace("test_it", "test_gone"), True, 4, "there is no test tests/test_gone.py::test_red"),
        (RED_ENTRY * 2, True, 4, "line 2: a second entry for tests/test_it.py::test_red"),
        ("tests/test_it.py::test_red: it waits\n", True, 4, f"line 1: {INVALID_LINE}; wanted: {ENTRY_FORMAT}"),
        (RED_ENTRY.replace("pytest -k red, seed 7", ""), True, 4, f"wanted: {ENTRY_FORMAT}"),
        (RED_ENTRY.replace("it waits", " "), True, 4, f"wanted: {ENTRY_FORMAT}"),
        (RED_ENTRY.replace("31", ""), True, 4, f"wanted: {ENTRY_FORMAT}"),
        (RED_ENTRY.replace("31", "soon"), True, 4, f"wanted: {ENTRY_FORMAT}"),
    ],
    ids=[
        "red",
        "another fails",
        "one passes",
        "none named",
        "unknown",
        "unknown file",
        "twice",
        "no such line",
        "no command",
        "nothing seen",
        "no issue",
        "no issue's number",
    ],
)
def test_only_listed_tests_may_fail(tmp_path: pathlib.Path, text: str, other: bool, code: int, words: str) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "test_it.py").write_text(TEST_FILE.format(other=other))
    (tmp_path / "KNOWN-RED.txt").write_text(text)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    run = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider"],
        cwd=tmp_path,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=60,
    )
    assert run.returncode == code, run.stdout
    assert words in run.stdout
