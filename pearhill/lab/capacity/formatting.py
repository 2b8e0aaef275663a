"""Formats figures with their units for the capacity page, with about three significant digits each."""

from __future__ import annotations

import re
from collections.abc import Callable

from pearhill.lab.capacity.results import Percentiles

NOT_MEASURED = "not measured"
MIN_ROUNDED_TO_ONE = 0.995  # values below are shown as a fraction of one (percent or ms); 0.995 rounds to 1.00
MIN_SHOWN_IN_MINUTES_S = 120


def format_number(value: float) -> str:
    """Returns the number with three significant digits, or with all integer digits if there are more than three."""
    if abs(value) >= 100 or value == round(value, 0):
        return f"{value:,.0f}"
    if abs(value) >= 10:
        return f"{value:.1f}"
    if abs(value) >= 1:
        return f"{value:.2f}"
    return f"{value:.3g}"


def format_bytes(value: float) -> str:
    """Returns bytes in the largest decimal unit in which the value is at least one; 1 KB is 1,000 bytes."""
    for unit, size in (("TB", 1e12), ("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if abs(value) >= size:
            return f"{format_number(value / size)} {unit}"
    return f"{value:.0f} B"


def format_byte_rate(value: float) -> str:
    """Returns bytes per second, in the units of `format_bytes`."""
    return f"{format_bytes(value)}/s"


def format_cores(value: float) -> str:
    """Returns processor time per second in cores, or in percent of a core below one core."""
    if value >= 2:
        return f"{format_number(value)} cores"
    if value < MIN_ROUNDED_TO_ONE:
        return f"{value * 100:.2g}% of a core"
    return f"{value:.2g} core"


def format_duration(value: float) -> str:
    """Returns a duration in seconds as text in milliseconds, seconds or minutes."""
    if value < MIN_ROUNDED_TO_ONE:
        return f"{value * 1000:.0f} ms"
    if value < MIN_SHOWN_IN_MINUTES_S:
        return f"{format_number(value)} s"
    return f"{format_number(value / 60)} min"


def _format_count_rate(value: float) -> str:
    return f"{format_number(value)}/s"


FORMATS: dict[str, Callable[[float], str]] = {
    "cpu_cores": format_cores,
    "bytes_s": format_byte_rate,
    "memory_bytes": format_bytes,
    "messages_s": _format_count_rate,
    "calls_s": _format_count_rate,
}


def format_quantity(quantity: str, value: float | None) -> str:
    """Returns a quantity of the result files in the unit of its key, or `NOT_MEASURED` if the value is None."""
    if value is None:
        return NOT_MEASURED
    quantity_of_both_directions = re.sub(r"_(in|out)_s$", "_s", quantity)
    return FORMATS.get(quantity_of_both_directions, format_number)(value)


def format_percentiles(value: Percentiles | None) -> str:
    """Returns median, 99th percentile and maximum without a unit, or `NOT_MEASURED` if the value is None."""
    if value is None:
        return NOT_MEASURED
    return f"{format_number(value.p50)}, {format_number(value.p99)}, {format_number(value.max)}"


def table_cell(text: object) -> str:
    """Returns the text without vertical bars and line breaks, which would break a Markdown table."""
    return " ".join(str(text).replace("|", "/").split())
