"""Rows of the page's tables about troubles that runs have played."""

from __future__ import annotations

import re
from typing import Any

from pearhill.lab.capacity.formatting import (
    NOT_MEASURED,
    format_byte_rate,
    format_cores,
    format_duration,
    format_number,
    table_cell,
)
from pearhill.lab.capacity.results import (
    PlayedFault,
)


def format_figure(name: str, value: Any) -> str:
    """One of a trouble's figures; its name tells the unit."""
    if isinstance(value, bool):
        return "yes" if value else "**no**"
    if not isinstance(value, int | float):
        return NOT_MEASURED if value is None else str(value)
    if name.startswith("bytes_") or name.startswith("cpu_cores"):
        return format_byte_rate(value) if name.startswith("bytes_") else format_cores(value)
    return f"{format_number(value)}{' ms' if '_ms' in name else ' s' if name.endswith('_s') else ''}"


def fault_columns(trouble: PlayedFault) -> list[str]:
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
        f"{re.sub('_(ms|s)(?=_|$)', '', name).replace('_', ' ')} {format_figure(name, value)}"
        for name, value in f.items()
        if name not in own + first
    )
    row = [
        trouble.kind,
        f"{f.get('way', '')} {f.get('dispatchers', '?')} x {f.get('replicas', '?')}",
        "no" if trouble.factor == 1 else f"{format_number(trouble.factor)} times",
        format_figure("lasted_s", f.get("lasted_s")),
        *(format_figure(name, f.get(name)) for name in first),
        rest,
    ]
    return [table_cell(text) for text in row]


def fault_summary(trouble: PlayedFault) -> str:
    """In a few words: the fleet, and for how long its counts or sums were wrong."""
    _, fleet, fast, lasted, *_ = fault_columns(trouble)
    wrong = (
        "no time told"
        if trouble.for_s is None
        else "counts and sums right at every look"
        if (trouble.for_s == 0)
        else f"counts or sums wrong for {format_duration(trouble.for_s)}"
    )
    return f"{fleet}, {lasted}{'' if trouble.factor == 1 else f', sped up {fast}'}: {wrong}"
