"""KNOWN-RED.txt, by runs of pytest on tests of their own."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n\ndef test_other():\n    assert {other}\n"
RED, GREEN = "tests/test_it.py::test_red | it waits | 31\n", "tests/test_it.py::test_green | it waited | 31\n"


@pytest.mark.parametrize(
    ("text", "other", "code", "words"),
    [
        (RED, True, 0, "KNOWN RED tests/test_it.py::test_red: known red: it waits (issue 31)"),
        (RED, False, 1, "1 failed, 1 passed, 1 xfailed"),
        (RED + GREEN, True, 1, "[XPASS(strict)] known red: it waited"),
        ("# none\n", True, 1, "FAILED tests/test_it.py::test_red"),
        (RED.replace("test_red", "test_blue"), True, 4, "there is no test tests/test_it.py::test_blue"),
        (RED.replace("test_it", "test_gone"), True, 4, "there is no test tests/test_gone.py::test_red"),
        (RED * 4, True, 4, "4 tests, 3 are allowed"),
        ("tests/test_it.py::test_red: it waits\n", True, 4, "wanted: test | cause | issue"),
    ],
    ids=["red", "another fails", "one passes", "none named", "unknown", "unknown file", "a fourth", "no such line"],
)
def test_just_the_tests_that_are_named_may_fail(
    tmp_path: pathlib.Path, text: str, other: bool, code: int, words: str
) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "test_it.py").write_text(TESTS.format(other=other))
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
