"""Implements `pearhill lab scale --page`, which writes the page and the tables of the design note."""

from __future__ import annotations

from pathlib import Path

from pearhill.lab.capacity.design_note import NOTE_PATH, update_note
from pearhill.lab.capacity.page import render_page
from pearhill.lab.capacity.results import RESULTS_FOLDER, read_results

PAGE_PATH = "docs/CAPACITY.md"


def write_pages(root: Path) -> str:
    """Write the page, and the tables of the design note if that file exists, below the repository's root.

    Returns a line that names the results. Raises ConfigError if a result cannot be read or if the note has no place for
    a table, and OSError if a page cannot be written.
    """
    results = read_results(root / RESULTS_FOLDER)
    (root / PAGE_PATH).write_text(render_page(results), encoding="utf-8")
    note = root / NOTE_PATH
    if note.exists():
        note.write_text(update_note(note.read_text(encoding="utf-8")), encoding="utf-8")
    return f"{PAGE_PATH} is made from {len(results)} results: {', '.join(results) or 'none'}"
