"""What follows from the points of a run: hollow against real dispatchers, and how costs grow with the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from pearhill.lab.scale import fit
from pearhill.lab.scale.plan import SizeTable

COMPARISON_TOLERANCE = 0.2  # the share by which hollow and real dispatchers may differ
AGGREGATOR_CPU_CORES = 1.0  # bounds of an aggregator
AGGREGATOR_MEMORY_BYTES = 1e9
COMPARED_QUANTITIES = ("cpu_cores", "bytes_s", "memory_bytes")
QUANTITIES = {
    "dispatcher": ("cpu_cores", "bytes_s", "memory_bytes"),
    "aggregator": ("cpu_cores", "bytes_s", "memory_bytes"),
    "discovery": ("calls_s", "bytes_s"),
}

# In the results' form.
Point = dict[str, Any]
Figures = dict[str, Any]
Check = dict[str, Any]
Slope = dict[str, Any]


def figure_of(figures: Figures, quantity: str) -> float | None:
    """One quantity; `bytes_s` is that of both directions. None: it was not measured."""
    if quantity == "bytes_s" and "bytes_s" not in figures:
        return float(figures["bytes_in_s"] + figures["bytes_out_s"])
    value = figures[quantity]
    return None if value is None else float(value)


def compare(hollow: Point, real: Point, alone: Point | None) -> list[Check]:
    """Hollow against real dispatchers. What differs by more than the tolerance is carried into the fits as an error.

    `alone`: hollow dispatchers that have a process each show how much of a difference comes of sharing one. Nothing is
    fitted to them, so nothing is carried.
    """
    fleet = f"{hollow['way']}, {hollow['dispatchers']} dispatchers before {hollow['replicas']} replicas"
    checks = [
        _check(f"hollow against real, {fleet}", quantity, real, hollow, is_fitted=True)
        for quantity in COMPARED_QUANTITIES
    ]
    if alone:
        what = f"hollow with a process each against real, {fleet}"
        checks += [_check(what, quantity, real, alone, is_fitted=False) for quantity in COMPARED_QUANTITIES]
    return [check for check in checks if check is not None]


def _check(what: str, quantity: str, real: Point, hollow: Point, is_fitted: bool) -> Check | None:
    """None: the quantity was not measured at one of them."""
    real_value = figure_of(real["dispatcher"], quantity)
    hollow_value = figure_of(hollow["dispatcher"], quantity)
    if not real_value or not hollow_value:
        return None
    difference = hollow_value / real_value - 1
    is_within = abs(difference) <= COMPARISON_TOLERANCE
    carried = 0.0 if is_within or not is_fitted else abs(real_value / hollow_value - 1)
    return {
        "what": what,
        "quantity": quantity,
        "real": real_value,
        "hollow": hollow_value,
        "difference": round(difference, 4),
        "within": is_within,
        "carried_as_error": round(carried, 4),
    }


def slopes(points: Iterable[Point], checks: Sequence[Check], size: SizeTable) -> list[Slope]:
    """Each quantity of each role fitted over the grid; points of a busy machine are left out."""
    fitted = [p for p in points if p["kind"] == "hollow" and p["work"] == "drawn" and not p["busy"]]
    found = []
    for way in sorted({p["way"] for p in fitted}):
        of_way = [p for p in fitted if p["way"] == way]
        errors = _carried_errors(way, checks)
        for role, quantities in QUANTITIES.items():
            for quantity in quantities:
                carried = errors.get(quantity, 0.0) if role == "dispatcher" else 0.0
                slope = _slope(of_way, role, quantity, size, carried)
                if slope is not None:
                    found.append({"way": way, **slope})
    return found


def _carried_errors(way: str, checks: Sequence[Check]) -> dict[str, float]:
    """The errors of hollow dispatchers by quantity, from the checks with this load exchange."""
    what = f"hollow against real, {way},"
    return {check["quantity"]: check["carried_as_error"] for check in checks if check["what"].startswith(what)}


def _slope(points: Sequence[Point], role: str, quantity: str, size: SizeTable, carried: float) -> Slope | None:
    """None: there are too few points, or no form fits them."""
    rows = [
        fit.Point(point["dispatchers"], point["replicas"], value)
        for point in points
        if point[role] and (value := figure_of(point[role], quantity)) is not None
    ]
    found = fit.fit(rows, fit.Size(size.dispatchers, size.replicas), carried)
    if found is None:
        return None
    dispatchers = [row.dispatchers for row in rows]
    replicas = [row.replicas for row in rows]
    bound = _bound(role, quantity, size)
    return {
        "role": role,
        "quantity": quantity,
        "form": found.form,
        "coefficients": found.coefficients,
        "low": found.low,
        "high": found.high,
        "fitted_over": {
            "dispatchers": [min(dispatchers), max(dispatchers)],
            "replicas": [min(replicas), max(replicas)],
        },
        "stretched": round(max(1.0, size.dispatchers / max(dispatchers), size.replicas / max(replicas)), 2),
        "at_size": found.at_size,
        "bound": bound,
        "need_over_bound": round(found.at_size / bound, 4) if bound else None,
    }


def _bound(role: str, quantity: str, size: SizeTable) -> float | None:
    """What the quantity may be at the size; None: it has no bound."""
    bounds = {
        ("dispatcher", "cpu_cores"): size.cpu_cores,
        ("dispatcher", "bytes_s"): size.bytes_s,
        ("dispatcher", "memory_bytes"): size.memory_bytes,
        ("aggregator", "cpu_cores"): AGGREGATOR_CPU_CORES,
        ("aggregator", "memory_bytes"): AGGREGATOR_MEMORY_BYTES,
    }
    return bounds.get((role, quantity))
