"""Figures with their units, as the capacity page writes them."""

from __future__ import annotations

import re
from collections.abc import Callable

from pearhill.lab.capacity.results import (
    Percentiles,
)

NOT_MEASURED = "not measured"


def format_number(value: float) -> str:
    """Three figures, or whole where it is large."""
    if abs(value) >= 100 or value == round(value, 0):
        return f"{value:,.0f}"
    return f"{value:.1f}" if abs(value) >= 10 else f"{value:.2f}" if abs(value) >= 1 else f"{value:.3g}"


def format_bytes(value: float) -> str:
    for unit, size in (("TB", 1e12), ("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if abs(value) >= size:
            return f"{format_number(value / size)} {unit}"
    return f"{value:.0f} B"


def format_byte_rate(value: float) -> str:
    return f"{format_bytes(value)}/s"


def format_cores(value: float) -> str:
    return (
        f"{format_number(value)} cores"
        if value >= 2
        else f"{value * 100:.2g}% of a core"
        if value < 0.995
        else (f"{value:.2g} core")
    )


def format_duration(value: float) -> str:
    return (
        f"{value * 1000:.0f} ms"
        if value < 0.995
        else f"{format_number(value)} s"
        if value < 120
        else (f"{format_number(value / 60)} min")
    )


FORMATS: dict[str, Callable[[float], str]] = {
    "cpu_cores": format_cores,
    "bytes_s": format_byte_rate,
    "memory_bytes": format_bytes,
    "messages_s": lambda value: f"{format_number(value)}/s",
    "calls_s": lambda value: f"{format_number(value)}/s",
}


def format_quantity(quantity: str, value: float | None) -> str:
    if value is None:
        return NOT_MEASURED
    key = re.sub(r"_(in|out)_s$", "_s", quantity)
    return FORMATS.get(key, format_number)(value)


def format_percentiles(value: Percentiles | None) -> str:
    return (
        f"{format_number(value.p50)}, {format_number(value.p99)}, {format_number(value.max)}" if value else NOT_MEASURED
    )


def table_cell(text: object) -> str:
    """Danger: a bar or a line's end in what a run has written would break the table."""
    return " ".join(str(text).replace("|", "/").split())
