"""How a cost grows with dispatchers (D) and replicas (R): forms fitted to measured points.

Each is judged by what it says of a point that it was not shown (leave-one-out). Of those within some standard errors of
the best one, or as near as a run repeats itself, that with the fewest coefficients is taken (Breiman and others,
Classification and Regression Trees, 1984, section 3.4.3). A form has to show each of its terms.
"""

from __future__ import annotations

import math
import re
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import numpy

Terms = Callable[[float, float], list[float]]
FORMS: dict[str, tuple[str, Terms]] = {
    "a": ("a", lambda d, r: [1]),
    "a + b*D": ("ab", lambda d, r: [1, d]),
    "a + c*R": ("ac", lambda d, r: [1, r]),
    "a + g*ln(D)": ("ag", lambda d, r: [1, math.log(d)]),
    "a + b*D + c*R": ("abc", lambda d, r: [1, d, r]),
    "a + g*ln(D) + c*R": ("agc", lambda d, r: [1, math.log(d), r]),
    "a + e*D*R": ("ae", lambda d, r: [1, d * r]),
    "a + f*D^2": ("af", lambda d, r: [1, d * d]),
    "a + b*D + f*D^2": ("abf", lambda d, r: [1, d, d * d]),
    "a + b*D + c*R + e*D*R": ("abce", lambda d, r: [1, d, r, d * r]),
    "a + b*D + c*R + f*D^2": ("abcf", lambda d, r: [1, d, r, d * d]),
}
CURVED = re.compile(r"D\^2|ln")  # two counts of dispatchers don't tell a curve from a line
SURE = 3.0  # standard errors that a coefficient has to be away from nothing
LEAST_POINTS = 4  # fewer show no growth, whatever there is
ERRORS = 2  # standard errors; with one, a term that is not there is found in one of ten draws of made data
REPEATS = 0.02  # Danger: bytes are measured to a thousandth, and a run repeats itself less well than that
LEAST_WEIGHED = 0.05  # of the largest value: what is smaller weighs no more than this would
# Student's t, 95% two-sided, by degrees of freedom; past the last one it hardly changes.
T95 = (12.7, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10)


@dataclass(frozen=True, slots=True)
class Point:
    dispatchers: float
    replicas: float
    value: float


@dataclass(frozen=True, slots=True)
class Fit:
    """`error`: mean share by which each point is missed when the others alone are fitted. `low`, `high`: within which
    the value at the size lies with 95%, if the form holds beyond what was measured; that it does is an assumption."""

    form: str
    coefficients: dict[str, float]
    error: float
    at_size: float
    low: float
    high: float


def _solve(points: Sequence[Point], terms: Terms) -> tuple[Any, Any, Any]:
    """Least squares, each point weighed by its own value, so that the error is a share. The coefficients, weighed rows
    and weighed rests."""
    top = max(abs(p.value) for p in points) or 1.0
    weights = numpy.array([1 / max(abs(p.value), LEAST_WEIGHED * top) for p in points])
    rows = numpy.array([terms(p.dispatchers, p.replicas) for p in points], dtype=float) * weights[:, None]
    values = numpy.array([p.value for p in points]) * weights
    found, *_ = numpy.linalg.lstsq(rows, values, rcond=None)
    return found, rows, values - rows @ found


def _left_out(points: Sequence[Point], terms: Terms) -> list[float]:
    """The share by which each point is missed. Empty: without one of them, the rest does not tell the coefficients."""
    top = max(abs(p.value) for p in points) or 1.0
    missed = []
    for k, p in enumerate(points):
        rest = [*points[:k], *points[k + 1 :]]
        found, rows, _ = _solve(rest, terms)
        if numpy.linalg.matrix_rank(rows) < rows.shape[1]:
            return []
        said = float(numpy.dot(found, terms(p.dispatchers, p.replicas)))
        missed.append(abs(said - p.value) / max(abs(p.value), LEAST_WEIGHED * top))
    return missed


def _sinks(found: Any, terms: Terms, points: Sequence[Point], size: tuple[float, float]) -> bool:
    """Danger: a square fitted to what flattens turns back beyond what was measured, and would end below nothing."""
    from_d = max(p.dispatchers for p in points)
    steps = [from_d + (size[0] - from_d) * k / 8 for k in range(9)] if size[0] > from_d else []
    said = [float(numpy.dot(found, terms(d, size[1]))) for d in steps]
    return any(b < a * 0.999 - 1e-12 for a, b in pairwise(said)) or float(numpy.dot(found, terms(*size))) < 0


def _growth_shows(points: Sequence[Point], terms: Terms) -> bool:
    """Whether each coefficient but the first is surely not nothing. Danger: one that only bends to the noise is small
    over what was measured, and large where it is stretched to."""
    found, rows, rests = _solve(points, terms)
    variance = float(rests @ rests) / max(1, len(points) - len(found))
    errors = numpy.sqrt(numpy.maximum(0.0, variance * numpy.diag(numpy.linalg.pinv(rows.T @ rows))))
    return bool(numpy.all(abs(found[1:]) > SURE * errors[1:]))


def fit(points: Sequence[Point], size: tuple[float, float], carried: float = 0.0) -> Fit | None:
    """`size`: dispatchers and replicas to stretch to. `carried`: a share by which the points may be off all alike; the
    interval is wider by it. None: there are too few points."""
    if len(points) < LEAST_POINTS:
        return None
    judged = list[tuple[int, float, float, str]]()  # coefficients, mean error, its standard error, form
    for form, (_, terms) in FORMS.items():
        if len(points) <= len(terms(1, 1)) + 1 or (CURVED.search(form) and len({p.dispatchers for p in points}) < 3):
            continue
        missed = _left_out(points, terms)
        found, _, _ = _solve(points, terms)
        if missed and (len(found) == 1 or _growth_shows(points, terms) and not _sinks(found, terms, points, size)):
            judged.append(
                (len(terms(1, 1)), statistics.mean(missed), statistics.stdev(missed) / math.sqrt(len(missed)), form)
            )
    if not judged:
        return None
    best = min(judged, key=lambda one: one[1])
    _, error, _, form = min(one for one in judged if one[1] <= best[1] + max(REPEATS, ERRORS * best[2]))
    names, terms = FORMS[form]
    found, rows, rests = _solve(points, terms)
    free = len(points) - len(names)
    row = numpy.array(terms(*size), dtype=float)
    at = float(row @ found)
    variance = float(rests @ rests) / free
    spread = math.sqrt(max(0.0, variance * float(row @ numpy.linalg.pinv(rows.T @ rows) @ row)))
    half = T95[min(free, len(T95)) - 1] * spread
    return Fit(
        form,
        {n: float(f"{c:.6g}") for n, c in zip(names, found.tolist(), strict=True)},
        error,
        at,
        max(0.0, at - half) * (1 - min(1.0, carried)),
        (at + half) * (1 + carried),
    )
