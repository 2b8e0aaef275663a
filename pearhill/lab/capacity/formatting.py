"""Figures with their units, as the capacity page writes them."""

from __future__ import annotations

import re
from collections.abc import Callable

from pearhill.lab.capacity.results import (
    Spread,
)

NOT_MEASURED = "not measured"


def number(value: float) -> str:
    """Three figures, or whole where it is large."""
    if abs(value) >= 100 or value == round(value, 0):
        return f"{value:,.0f}"
    return f"{value:.1f}" if abs(value) >= 10 else f"{value:.2f}" if abs(value) >= 1 else f"{value:.3g}"


def amount(value: float) -> str:
    for unit, size in (("TB", 1e12), ("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if abs(value) >= size:
            return f"{number(value / size)} {unit}"
    return f"{value:.0f} B"


def rate(value: float) -> str:
    return f"{amount(value)}/s"


def core(value: float) -> str:
    return (
        f"{number(value)} cores"
        if value >= 2
        else f"{value * 100:.2g}% of a core"
        if value < 0.995
        else (f"{value:.2g} core")
    )


def seconds(value: float) -> str:
    return (
        f"{value * 1000:.0f} ms"
        if value < 0.995
        else f"{number(value)} s"
        if value < 120
        else (f"{number(value / 60)} min")
    )


UNITS: dict[str, Callable[[float], str]] = {
    "cpu_cores": core,
    "bytes_s": rate,
    "memory_bytes": amount,
    "messages_s": lambda value: f"{number(value)}/s",
    "calls_s": lambda value: f"{number(value)}/s",
}


def show(quantity: str, value: float | None) -> str:
    if value is None:
        return NOT_MEASURED
    key = re.sub(r"_(in|out)_s$", "_s", quantity)
    return UNITS.get(key, number)(value)


def spread(value: Spread | None) -> str:
    return f"{number(value.p50)}, {number(value.p99)}, {number(value.max)}" if value else NOT_MEASURED


def cell(text: object) -> str:
    """Danger: a bar or a line's end in what a run has written would break the table."""
    return " ".join(str(text).replace("|", "/").split())
