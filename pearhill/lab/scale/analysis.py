"""Analysis of a run's points: compares hollow with real dispatchers, and fits how costs grow with the fleet."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from pearhill.lab.scale import fit
from pearhill.lab.scale.plan import SizeTable

COMPARISON_TOLERANCE = 0.2  # the relative difference that is allowed between hollow and real dispatchers
AGGREGATOR_CPU_CORES = 1.0  # upper bounds for one aggregator
AGGREGATOR_MEMORY_BYTES = 1e9
COMPARED_QUANTITIES = ("cpu_cores", "bytes_s", "memory_bytes")
QUANTITIES = {
    "dispatcher": ("cpu_cores", "bytes_s", "memory_bytes"),
    "aggregator": ("cpu_cores", "bytes_s", "memory_bytes"),
    "discovery": ("calls_s", "bytes_s"),
}

# Dictionaries as they are written to the results file.
Point = dict[str, Any]
Figures = dict[str, Any]
Check = dict[str, Any]
Slope = dict[str, Any]


def value_of(figures: Figures, quantity: str) -> float | None:
    """Returns the value of one quantity, or None if it was not measured. `bytes_s` is the sum of both directions."""
    if quantity == "bytes_s" and "bytes_s" not in figures:
        return float(figures["bytes_in_s"] + figures["bytes_out_s"])
    value = figures[quantity]
    return None if value is None else float(value)


def compare(hollow: Point, real: Point, alone: Point | None) -> list[Check]:
    """Compares hollow with real dispatchers. A difference above the tolerance is added to the fits as an error.

    `alone` is the point of the hollow dispatchers that have a process each. It shows how much of a difference is caused
    by sharing a process. No form is fitted to these dispatchers, so their checks add no error.
    """
    fleet = f"{hollow['way']}, {hollow['dispatchers']} dispatchers before {hollow['replicas']} replicas"
    checks = [
        _check(f"hollow against real, {fleet}", quantity, real, hollow, is_fitted=True)
        for quantity in COMPARED_QUANTITIES
    ]
    if alone:
        description = f"hollow with a process each against real, {fleet}"
        checks += [_check(description, quantity, real, alone, is_fitted=False) for quantity in COMPARED_QUANTITIES]
    return [check for check in checks if check is not None]


def _check(description: str, quantity: str, real: Point, hollow: Point, is_fitted: bool) -> Check | None:
    """Returns the comparison of one quantity, or None if it was not measured at both kinds of dispatcher."""
    real_value = value_of(real["dispatcher"], quantity)
    hollow_value = value_of(hollow["dispatcher"], quantity)
    if not real_value or not hollow_value:
        return None
    difference = hollow_value / real_value - 1
    is_within = abs(difference) <= COMPARISON_TOLERANCE
    carried_error = 0.0 if is_within or not is_fitted else abs(real_value / hollow_value - 1)
    return {
        "what": description,
        "quantity": quantity,
        "real": real_value,
        "hollow": hollow_value,
        "difference": round(difference, 4),
        "within": is_within,
        "carried_as_error": round(carried_error, 4),
    }


def slopes(points: Iterable[Point], checks: Sequence[Check], size: SizeTable) -> list[Slope]:
    """Fits each quantity of each role over the grid. Points that were measured on a busy machine are left out."""
    fitted = [p for p in points if p["kind"] == "hollow" and p["work"] == "drawn" and not p["busy"]]
    fits = []
    for exchange in sorted({p["way"] for p in fitted}):
        exchange_points = [p for p in fitted if p["way"] == exchange]
        errors = _carried_errors(exchange, checks)
        for role, quantities in QUANTITIES.items():
            for quantity in quantities:
                carried_error = errors.get(quantity, 0.0) if role == "dispatcher" else 0.0
                slope = _slope(exchange_points, role, quantity, size, carried_error)
                if slope is not None:
                    fits.append({"way": exchange, **slope})
    return fits


def _carried_errors(exchange: str, checks: Sequence[Check]) -> dict[str, float]:
    """Returns the error of hollow dispatchers for each quantity, from the checks with this load exchange."""
    description = f"hollow against real, {exchange},"
    return {check["quantity"]: check["carried_as_error"] for check in checks if check["what"].startswith(description)}


def _slope(points: Sequence[Point], role: str, quantity: str, size: SizeTable, carried_error: float) -> Slope | None:
    """Returns the fit of one quantity, or None if there are too few points or no form fits them."""
    rows = [
        fit.Point(point["dispatchers"], point["replicas"], value)
        for point in points
        if point[role] and (value := value_of(point[role], quantity)) is not None
    ]
    best_fit = fit.fit(rows, fit.Size(size.dispatchers, size.replicas), carried_error)
    if best_fit is None:
        return None
    dispatchers = [row.dispatchers for row in rows]
    replicas = [row.replicas for row in rows]
    bound = _bound(role, quantity, size)
    return {
        "role": role,
        "quantity": quantity,
        "form": best_fit.form,
        "coefficients": best_fit.coefficients,
        "low": best_fit.low,
        "high": best_fit.high,
        "fitted_over": {
            "dispatchers": [min(dispatchers), max(dispatchers)],
            "replicas": [min(replicas), max(replicas)],
        },
        "stretched": round(max(1.0, size.dispatchers / max(dispatchers), size.replicas / max(replicas)), 2),
        "at_size": best_fit.at_size,
        "bound": bound,
        "need_over_bound": round(best_fit.at_size / bound, 4) if bound else None,
    }


def _bound(role: str, quantity: str, size: SizeTable) -> float | None:
    """Returns the upper bound of the quantity at the planned size, or None if it has no bound."""
    bounds = {
        ("dispatcher", "cpu_cores"): size.cpu_cores,
        ("dispatcher", "bytes_s"): size.bytes_s,
        ("dispatcher", "memory_bytes"): size.memory_bytes,
        ("aggregator", "cpu_cores"): AGGREGATOR_CPU_CORES,
        ("aggregator", "memory_bytes"): AGGREGATOR_MEMORY_BYTES,
    }
    return bounds.get((role, quantity))
