"""The code of the README's quick start runs, and prints what the README says."""

import pathlib
import re

import pytest


def test_the_quick_start_prints_the_documented_output(capsys: pytest.CaptureFixture[str]) -> None:
    text = (pathlib.Path(__file__).parent.parent / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
    assert capsys.readouterr().out == "[1, 2]\n"
