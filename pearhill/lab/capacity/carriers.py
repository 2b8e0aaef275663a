"""What the tables of the capacity page name as carrying each duty, for the test that checks them."""

from __future__ import annotations

import re
from collections.abc import Iterable


def duty_carriers(text: str) -> Iterable[tuple[str, list[str]]]:
    """Of each row of the tables that say what carries it: its first cell, and the files and packages that its last cell
    names; none named: it must say that it is missing."""
    inside = False
    for line in text.splitlines():
        cells = [c.strip() for c in line[1:].removesuffix("|").split("|")] if line.startswith("|") else []
        if inside and cells and not set("".join(cells)) <= {"-"}:
            yield cells[0], re.findall(r"`([^`]+)`", cells[-1]) or ([] if "missing" in cells[-1] else [cells[-1]])
        inside = bool(cells) and (inside or cells[-1] == "carried by")
