"""How a cost grows with dispatchers (D) and replicas (R): forms fitted to measured points.

Each form is judged by its error at points that it was not fitted to (leave-one-out). Of those within some standard
errors of the best one, or as near as a run repeats itself, that with the fewest coefficients is taken (Breiman and
others, Classification and Regression Trees, 1984, section 3.4.3). Each term of a form has to be significant.
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

import numpy

Terms = Callable[[float, float], list[float]]


@dataclass(frozen=True, slots=True)
class Form:
    """A linear model. `terms`: what each coefficient is multiplied by, from D and R; the first is the constant's 1.

    `is_curved`: it is curved in D, and two counts of dispatchers do not distinguish that from a line.
    """

    coefficients: str
    terms: Terms
    is_curved: bool = False


FORMS: dict[str, Form] = {
    "a": Form("a", lambda d, r: [1]),
    "a + b*D": Form("ab", lambda d, r: [1, d]),
    "a + c*R": Form("ac", lambda d, r: [1, r]),
    "a + g*ln(D)": Form("ag", lambda d, r: [1, math.log(d)], is_curved=True),
    "a + b*D + c*R": Form("abc", lambda d, r: [1, d, r]),
    "a + g*ln(D) + c*R": Form("agc", lambda d, r: [1, math.log(d), r], is_curved=True),
    "a + e*D*R": Form("ae", lambda d, r: [1, d * r]),
    "a + f*D^2": Form("af", lambda d, r: [1, d * d], is_curved=True),
    "a + b*D + f*D^2": Form("abf", lambda d, r: [1, d, d * d], is_curved=True),
    "a + b*D + c*R + e*D*R": Form("abce", lambda d, r: [1, d, r, d * r]),
    "a + b*D + c*R + f*D^2": Form("abcf", lambda d, r: [1, d, r, d * d], is_curved=True),
}
MIN_POINTS = 4  # fewer show no growth, whatever there is
MIN_CURVED_COUNTS = 3  # of dispatchers, for a curved form
SIGNIFICANT_ERRORS = 3.0  # standard errors that a coefficient has to be away from 0
# Standard errors from the best form within which a simpler one is taken; with one, a term that is not there is found in
# one of ten draws of made data.
TOLERATED_ERRORS = 2
REPEATABILITY = 0.02  # bytes are measured to a thousandth, but a run repeats itself less well than that
MIN_WEIGHED_SHARE = 0.05  # of the largest value: what is smaller weighs no more than this would
EXTRAPOLATION_STEPS = 8
MIN_STEP_RATIO = 0.999  # of a value to the one before it: what is not below is rounding, not a fall
# Student's t, 95% two-sided, by degrees of freedom; past the last one it hardly changes.
T95 = (12.7, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10)


@dataclass(frozen=True, slots=True)
class Point:
    """A measured value at so many dispatchers and replicas."""

    dispatchers: float
    replicas: float
    value: float


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a fleet for which a cost is extrapolated."""

    dispatchers: float
    replicas: float


@dataclass(frozen=True, slots=True)
class Fit:
    """The form that was chosen, and the value that it gives at the size.

    `error`: the mean share by which a point is missed when the others alone are fitted. `low` and `high`: the 95%
    interval of `at_size`, on the assumption that the form holds beyond what was measured.
    """

    form: str
    coefficients: dict[str, float]
    error: float
    at_size: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class _LeastSquares:
    """A solution of `_solve`: coefficients, weighted rows of terms, weighted residuals."""

    coefficients: Any
    rows: Any
    residuals: Any

    def value(self, terms: Terms, dispatchers: float, replicas: float) -> float:
        """The fitted value there."""
        return float(numpy.dot(self.coefficients, terms(dispatchers, replicas)))

    def inverse(self) -> Any:
        """Of the normal equations' matrix: the coefficients' covariance over the residuals' variance."""
        return numpy.linalg.pinv(self.rows.T @ self.rows)

    def variance(self, freedom: int) -> float:
        """Of the residuals, with so many degrees of freedom."""
        return float(self.residuals @ self.residuals) / freedom


@dataclass(frozen=True, slots=True, order=True)
class _Candidate:
    """A form that may be taken. The order is that of preference: fewer coefficients, then the smaller error."""

    coefficient_count: int
    mean_error: float
    standard_error: float
    form: str


def _least_weighed(points: Sequence[Point]) -> float:
    largest = max(abs(p.value) for p in points) or 1.0
    return MIN_WEIGHED_SHARE * largest


def _solve(points: Sequence[Point], terms: Terms) -> _LeastSquares:
    """Least squares, each point weighted by its own value, so that residuals are shares."""
    least = _least_weighed(points)
    weights = numpy.array([1 / max(abs(p.value), least) for p in points])
    rows = numpy.array([terms(p.dispatchers, p.replicas) for p in points], dtype=float) * weights[:, None]
    values = numpy.array([p.value for p in points]) * weights
    coefficients, *_ = numpy.linalg.lstsq(rows, values, rcond=None)
    return _LeastSquares(coefficients, rows, values - rows @ coefficients)


def _leave_one_out_errors(points: Sequence[Point], terms: Terms) -> list[float]:
    """The share by which each point is missed when the others are fitted.

    Empty: without one of the points, the rest does not determine the coefficients.
    """
    least = _least_weighed(points)
    errors = []
    for k, point in enumerate(points):
        others = [*points[:k], *points[k + 1 :]]
        solution = _solve(others, terms)
        if numpy.linalg.matrix_rank(solution.rows) < solution.rows.shape[1]:
            return []
        predicted = solution.value(terms, point.dispatchers, point.replicas)
        errors.append(abs(predicted - point.value) / max(abs(point.value), least))
    return errors


def _falls_beyond(solution: _LeastSquares, terms: Terms, points: Sequence[Point], size: Size) -> bool:
    """Whether the form falls between the last measured count of dispatchers and the size, or is below 0 there.

    A square that is fitted to what flattens turns back beyond what was measured, and would end below 0.
    """
    last = max(p.dispatchers for p in points)
    if size.dispatchers > last:
        step = (size.dispatchers - last) / EXTRAPOLATION_STEPS
        values = [solution.value(terms, last + step * k, size.replicas) for k in range(EXTRAPOLATION_STEPS + 1)]
        if any(after < before * MIN_STEP_RATIO - 1e-12 for before, after in pairwise(values)):
            return True
    return solution.value(terms, size.dispatchers, size.replicas) < 0


def _is_significant(solution: _LeastSquares) -> bool:
    """Whether each coefficient but the constant is surely not 0.

    One that only follows the noise is small over what was measured, and large at the size.
    """
    coefficients = solution.coefficients
    variance = solution.variance(max(1, len(solution.residuals) - len(coefficients)))
    errors = numpy.sqrt(numpy.maximum(0.0, variance * numpy.diag(solution.inverse())))
    return bool(numpy.all(abs(coefficients[1:]) > SIGNIFICANT_ERRORS * errors[1:]))


def _candidate(name: str, points: Sequence[Point], size: Size) -> _Candidate | None:
    """None: the points do not determine this form, or it is not one that may be extrapolated."""
    form = FORMS[name]
    count = len(form.coefficients)
    if len(points) <= count + 1:
        return None
    if form.is_curved and len({p.dispatchers for p in points}) < MIN_CURVED_COUNTS:
        return None
    errors = _leave_one_out_errors(points, form.terms)
    if not errors:
        return None
    solution = _solve(points, form.terms)
    if count > 1 and (not _is_significant(solution) or _falls_beyond(solution, form.terms, points, size)):
        return None
    return _Candidate(count, statistics.mean(errors), statistics.stdev(errors) / math.sqrt(len(errors)), name)


def fit(points: Sequence[Point], size: Size, carried: float = 0.0) -> Fit | None:
    """The simplest form that the points allow, and its value at the size. None: there are too few points.

    `carried`: a share by which all points alike may be off; the interval is wider by it.
    """
    if len(points) < MIN_POINTS:
        return None
    candidates = [found for name in FORMS if (found := _candidate(name, points, size)) is not None]
    if not candidates:
        return None
    best = min(candidates, key=lambda candidate: candidate.mean_error)
    tolerated = best.mean_error + max(REPEATABILITY, TOLERATED_ERRORS * best.standard_error)
    return _extrapolated(min(c for c in candidates if c.mean_error <= tolerated), points, size, carried)


def _extrapolated(chosen: _Candidate, points: Sequence[Point], size: Size, carried: float) -> Fit:
    form = FORMS[chosen.form]
    solution = _solve(points, form.terms)
    freedom = len(points) - len(form.coefficients)
    row = numpy.array(form.terms(size.dispatchers, size.replicas), dtype=float)
    at_size = float(row @ solution.coefficients)
    variance_at_size = solution.variance(freedom) * float(row @ solution.inverse() @ row)
    half_width = T95[min(freedom, len(T95)) - 1] * math.sqrt(max(0.0, variance_at_size))
    coefficients = zip(form.coefficients, solution.coefficients.tolist(), strict=True)
    return Fit(
        form=chosen.form,
        coefficients={name: float(f"{value:.6g}") for name, value in coefficients},
        error=chosen.mean_error,
        at_size=at_size,
        low=max(0.0, at_size - half_width) * (1 - min(1.0, carried)),
        high=(at_size + half_width) * (1 + carried),
    )
