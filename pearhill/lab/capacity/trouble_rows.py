"""Rows of the page's tables about troubles that runs have played."""

from __future__ import annotations

import re
from typing import Any

from pearhill.lab.capacity.formatting import (
    NOT_MEASURED,
    cell,
    core,
    number,
    rate,
    seconds,
)
from pearhill.lab.capacity.results import (
    Trouble,
)


def named(name: str, value: Any) -> str:
    """One of a trouble's figures; its name tells the unit."""
    if isinstance(value, bool):
        return "yes" if value else "**no**"
    if not isinstance(value, int | float):
        return NOT_MEASURED if value is None else str(value)
    if name.startswith("bytes_") or name.startswith("cpu_cores"):
        return rate(value) if name.startswith("bytes_") else core(value)
    return f"{number(value)}{' ms' if '_ms' in name else ' s' if name.endswith('_s') else ''}"


def columns(trouble: Trouble) -> list[str]:
    """A trouble's row: what it was, what is told of all, and the rest by name."""
    f = trouble.figures
    own = ("way", "dispatchers", "replicas", "lasted_s")
    first = (
        "count_wrong_s",
        "sums_wrong_s",
        "list_wrong_s",
        "sums_least",
        "sums_most",
        "right_at_the_end",
        "worst_beat_ms",
    )
    rest = "; ".join(
        f"{re.sub('_(ms|s)(?=_|$)', '', name).replace('_', ' ')} {named(name, value)}"
        for name, value in f.items()
        if name not in own + first
    )
    row = [
        trouble.kind,
        f"{f.get('way', '')} {f.get('dispatchers', '?')} x {f.get('replicas', '?')}",
        "no" if trouble.factor == 1 else f"{number(trouble.factor)} times",
        named("lasted_s", f.get("lasted_s")),
        *(named(name, f.get(name)) for name in first),
        rest,
    ]
    return [cell(text) for text in row]


def shown(trouble: Trouble) -> str:
    """In a few words: the fleet, and for how long its counts or sums were wrong."""
    _, fleet, fast, lasted, *_ = columns(trouble)
    wrong = (
        "no time told"
        if trouble.for_s is None
        else "counts and sums right at every look"
        if (trouble.for_s == 0)
        else f"counts or sums wrong for {seconds(trouble.for_s)}"
    )
    return f"{fleet}, {lasted}{'' if trouble.factor == 1 else f', sped up {fast}'}: {wrong}"
