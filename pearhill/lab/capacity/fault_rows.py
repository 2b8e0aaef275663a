"""Formats the rows and cells of the page's tables of injected faults."""

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
from pearhill.lab.capacity.results import InjectedFault

FLEET_FIGURES = ("way", "dispatchers", "replicas", "lasted_s")
COLUMN_FIGURES = (
    "count_wrong_s",
    "sums_wrong_s",
    "list_wrong_s",
    "sums_least",
    "sums_most",
    "right_at_the_end",
    "worst_beat_ms",
)


def format_figure(name: str, value: Any) -> str:
    """Returns one of a fault's figures as text, in the unit given by the suffix or prefix of its name."""
    if isinstance(value, bool):
        return "yes" if value else "**no**"
    if value is None:
        return NOT_MEASURED
    if not isinstance(value, int | float):
        return str(value)
    if name.startswith("bytes_"):
        return format_byte_rate(value)
    if name.startswith("cpu_cores"):
        return format_cores(value)
    return f"{format_number(value)}{_time_unit(name)}"


def _time_unit(name: str) -> str:
    if "_ms" in name:
        return " ms"
    return " s" if name.endswith("_s") else ""


def fault_columns(fault: InjectedFault) -> list[str]:
    """Returns the cells of a fault's row: kind, fleet, speed-up, duration, the figures with a column of their own, and
    the other figures by name."""
    figures = fault.figures
    others = "; ".join(
        f"{re.sub('_(ms|s)(?=_|$)', '', name).replace('_', ' ')} {format_figure(name, value)}"
        for name, value in figures.items()
        if name not in FLEET_FIGURES + COLUMN_FIGURES
    )
    row = [
        fault.kind,
        f"{figures.get('way', '')} {figures.get('dispatchers', '?')} x {figures.get('replicas', '?')}",
        "no" if fault.factor == 1 else f"{format_number(fault.factor)} times",
        format_figure("lasted_s", figures.get("lasted_s")),
        *(format_figure(name, figures.get(name)) for name in COLUMN_FIGURES),
        others,
    ]
    return [table_cell(text) for text in row]


def fault_summary(fault: InjectedFault) -> str:
    """Returns the fleet, the duration, and for how long counts or sums were wrong, in one line."""
    _, fleet, speed_up, lasted, *_ = fault_columns(fault)
    sped_up = "" if fault.factor == 1 else f", sped up {speed_up}"
    return f"{fleet}, {lasted}{sped_up}: {_format_error_duration(fault.for_s)}"


def _format_error_duration(wrong_s: float | None) -> str:
    if wrong_s is None:
        return "no time told"
    if wrong_s == 0:
        return "counts and sums right at every look"
    return f"counts or sums wrong for {format_duration(wrong_s)}"
