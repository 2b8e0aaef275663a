"""The command behind `pearhill lab scale --page`: page and design note are written anew."""

from __future__ import annotations

from pathlib import Path

from pearhill.lab.capacity.design_note import NOTE_PATH, update_note
from pearhill.lab.capacity.page import render_page
from pearhill.lab.capacity.results import RESULTS_FOLDER, read_results

PAGE_PATH = "docs/CAPACITY.md"


def write_pages(root: Path) -> str:
    """Make the page anew, and the note's tables, from the results under this root of the repository; what was done, in
    words. ConfigError: a result cannot be read. OSError: the page cannot be written."""
    results = read_results(root / RESULTS_FOLDER)
    (root / PAGE_PATH).write_text(render_page(results), encoding="utf-8")
    path = root / NOTE_PATH
    if path.exists():
        path.write_text(update_note(path.read_text(encoding="utf-8")), encoding="utf-8")
    return f"{PAGE_PATH} is made from {len(results)} results: {', '.join(results) or 'none'}"
