"""Extracts the files that the capacity page names as implementing each duty, so that a test can check them."""

from __future__ import annotations

import re
from collections.abc import Iterator

IMPLEMENTATION_HEADING = "carried by"


def find_implementations(text: str) -> Iterator[tuple[str, list[str]]]:
    """Yields a pair for each row of the tables whose last column is headed `carried by`.

    The pair holds the row's first cell, and the files and packages that its last cell names in backticks. If the last
    cell names none, the list holds the text of the cell, or is empty if the text contains `missing`.
    """
    inside_table = False
    for line in text.splitlines():
        cells = _cells(line)
        if inside_table and cells and not set("".join(cells)) <= {"-"}:
            yield cells[0], _named_files(cells[-1])
        inside_table = bool(cells) and (inside_table or cells[-1] == IMPLEMENTATION_HEADING)


def _cells(line: str) -> list[str]:
    if not line.startswith("|"):
        return []
    return [cell.strip() for cell in line[1:].removesuffix("|").split("|")]


def _named_files(cell: str) -> list[str]:
    files = re.findall(r"`([^`]+)`", cell)
    if files:
        return files
    return [] if "missing" in cell else [cell]
