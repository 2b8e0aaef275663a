"""The command behind `pearhill lab scale --page`: page and design note are written anew."""

from __future__ import annotations

from pathlib import Path

from pearhill.lab.capacity.design_note import NOTE, note
from pearhill.lab.capacity.page import page
from pearhill.lab.capacity.results import (
    RESULTS,
    read,
)

PAGE = "docs/CAPACITY.md"


def write(root: Path) -> str:
    """Make the page anew, and the note's tables, from the results under this root of the repository; what was done, in
    words. ConfigError: a result cannot be read. OSError: the page cannot be written."""
    results = read(root / RESULTS)
    (root / PAGE).write_text(page(results), encoding="utf-8")
    path = root / NOTE
    if path.exists():
        path.write_text(note(path.read_text(encoding="utf-8")), encoding="utf-8")
    return f"{PAGE} is made from {len(results)} results: {', '.join(results) or 'none'}"
