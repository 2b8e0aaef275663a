"""Fits how a cost grows with the numbers of dispatchers (D) and replicas (R) to measured points.

Each form is rated by its leave-one-out error, the error at points to which it was not fitted. Of the forms within
`TOLERATED_STANDARD_ERRORS` standard errors of the best one, or within `REPEATABILITY` of it, the one with the fewest
coefficients is chosen (Breiman and others, Classification and Regression Trees, 1984, section 3.4.3). Each term of a
form has to be significant.
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
    """A linear model. `terms` returns the factor of each coefficient for D and R; the first is 1, for the constant.

    If `is_curved`, the form is curved in D. Two counts of dispatchers do not distinguish such a curve from a line.
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
MIN_POINTS = 4  # fewer points do not show how a cost grows
MIN_CURVED_COUNTS = 3  # distinct counts of dispatchers that a curved form requires
SIGNIFICANT_STANDARD_ERRORS = 3.0  # a coefficient has to differ from 0 by so many standard errors
# A simpler form is chosen if its error is within so many standard errors of the best form's. With 1, one of ten sets of
# generated data yields a term that the data does not have.
TOLERATED_STANDARD_ERRORS = 2
REPEATABILITY = 0.02  # relative; bytes are measured to a thousandth, but repeated runs differ by more than that
MIN_WEIGHED_FRACTION = 0.05  # fraction of the largest value; smaller values get the weight of a value of this size
EXTRAPOLATION_STEPS = 8
MIN_STEP_RATIO = 0.999  # of a value to the previous one; a decrease within this ratio is a rounding error
# Student's t, 95% two-sided, by degrees of freedom. Beyond the last entry it hardly changes.
T95 = (12.7, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10)


@dataclass(frozen=True, slots=True)
class Point:
    """A value that was measured with these numbers of dispatchers and replicas."""

    dispatchers: float
    replicas: float
    value: float


@dataclass(frozen=True, slots=True)
class Size:
    """The fleet size to which a cost is extrapolated."""

    dispatchers: float
    replicas: float


@dataclass(frozen=True, slots=True)
class Fit:
    """The chosen form, and the value `at_size` that it predicts for the planned size.

    `error` is the mean relative leave-one-out error. `low` and `high` are the 95% interval of `at_size`, on the
    assumption that the form holds beyond the measured sizes.
    """

    form: str
    coefficients: dict[str, float]
    error: float
    at_size: float
    low: float
    high: float


@dataclass(frozen=True, slots=True)
class _LeastSquares:
    """A solution of a weighted fit: coefficients, weighted rows of terms, and weighted residuals."""

    coefficients: Any
    rows: Any
    residuals: Any

    def value(self, terms: Terms, dispatchers: float, replicas: float) -> float:
        """Returns the fitted value for these numbers of dispatchers and replicas."""
        return float(numpy.dot(self.coefficients, terms(dispatchers, replicas)))

    def inverse(self) -> Any:
        """Returns the inverse of the normal equations' matrix.

        It is the covariance of the coefficients divided by the variance of the residuals.
        """
        return numpy.linalg.pinv(self.rows.T @ self.rows)

    def variance(self, degrees_of_freedom: int) -> float:
        """Returns the variance of the residuals with `degrees_of_freedom` degrees of freedom."""
        return float(self.residuals @ self.residuals) / degrees_of_freedom


@dataclass(frozen=True, slots=True, order=True)
class _Candidate:
    """A form that may be chosen. Candidates sort by preference: fewer coefficients first, then the smaller error."""

    coefficient_count: int
    mean_error: float
    standard_error: float
    form: str


def _min_weighed_value(points: Sequence[Point]) -> float:
    largest = max(abs(p.value) for p in points) or 1.0
    return MIN_WEIGHED_FRACTION * largest


def _solve(points: Sequence[Point], terms: Terms) -> _LeastSquares:
    """Solve the least squares problem with each point weighted by the inverse of its value: residuals are relative."""
    min_value = _min_weighed_value(points)
    weights = numpy.array([1 / max(abs(p.value), min_value) for p in points])
    rows = numpy.array([terms(p.dispatchers, p.replicas) for p in points], dtype=float) * weights[:, None]
    values = numpy.array([p.value for p in points]) * weights
    coefficients, *_ = numpy.linalg.lstsq(rows, values, rcond=None)
    return _LeastSquares(coefficients, rows, values - rows @ coefficients)


def _leave_one_out_errors(points: Sequence[Point], terms: Terms) -> list[float]:
    """Returns the relative error at each point of a fit to the other points.

    The list is empty if the other points do not determine the coefficients for one of the points.
    """
    min_value = _min_weighed_value(points)
    errors = []
    for k, point in enumerate(points):
        others = [*points[:k], *points[k + 1 :]]
        solution = _solve(others, terms)
        if numpy.linalg.matrix_rank(solution.rows) < solution.rows.shape[1]:
            return []
        predicted = solution.value(terms, point.dispatchers, point.replicas)
        errors.append(abs(predicted - point.value) / max(abs(point.value), min_value))
    return errors


def _decreases_beyond(solution: _LeastSquares, terms: Terms, points: Sequence[Point], size: Size) -> bool:
    """Returns whether the form decreases from the largest measured count of dispatchers to the size, or is negative.

    A parabola that is fitted to a cost that flattens has its maximum beyond the measured points, and would end below 0.
    """
    last = max(p.dispatchers for p in points)
    if size.dispatchers > last:
        step = (size.dispatchers - last) / EXTRAPOLATION_STEPS
        values = [solution.value(terms, last + step * k, size.replicas) for k in range(EXTRAPOLATION_STEPS + 1)]
        if any(after < before * MIN_STEP_RATIO - 1e-12 for before, after in pairwise(values)):
            return True
    return solution.value(terms, size.dispatchers, size.replicas) < 0


def _is_significant(solution: _LeastSquares) -> bool:
    """Returns whether each coefficient except the constant differs significantly from 0.

    A term that only fits noise is small over the measured points, but large at the planned size.
    """
    coefficients = solution.coefficients
    variance = solution.variance(max(1, len(solution.residuals) - len(coefficients)))
    errors = numpy.sqrt(numpy.maximum(0.0, variance * numpy.diag(solution.inverse())))
    return bool(numpy.all(abs(coefficients[1:]) > SIGNIFICANT_STANDARD_ERRORS * errors[1:]))


def _candidate(name: str, points: Sequence[Point], size: Size) -> _Candidate | None:
    """Returns the form as a candidate, or None if the points do not determine it or it must not be extrapolated."""
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
    if count > 1 and (not _is_significant(solution) or _decreases_beyond(solution, form.terms, points, size)):
        return None
    return _Candidate(count, statistics.mean(errors), statistics.stdev(errors) / math.sqrt(len(errors)), name)


def fit(points: Sequence[Point], size: Size, carried_error: float = 0.0) -> Fit | None:
    """Returns the simplest form that fits the points, with its value at the size, or None if there are too few points.

    `carried_error` is a relative error that may affect all points equally. It widens the interval.
    """
    if len(points) < MIN_POINTS:
        return None
    candidates = [found for name in FORMS if (found := _candidate(name, points, size)) is not None]
    if not candidates:
        return None
    best = min(candidates, key=lambda candidate: candidate.mean_error)
    max_error = best.mean_error + max(REPEATABILITY, TOLERATED_STANDARD_ERRORS * best.standard_error)
    return _extrapolated(min(c for c in candidates if c.mean_error <= max_error), points, size, carried_error)


def _extrapolated(chosen: _Candidate, points: Sequence[Point], size: Size, carried_error: float) -> Fit:
    form = FORMS[chosen.form]
    solution = _solve(points, form.terms)
    degrees_of_freedom = len(points) - len(form.coefficients)
    row = numpy.array(form.terms(size.dispatchers, size.replicas), dtype=float)
    at_size = float(row @ solution.coefficients)
    variance_at_size = solution.variance(degrees_of_freedom) * float(row @ solution.inverse() @ row)
    half_width = T95[min(degrees_of_freedom, len(T95)) - 1] * math.sqrt(max(0.0, variance_at_size))
    coefficients = zip(form.coefficients, solution.coefficients.tolist(), strict=True)
    return Fit(
        form=chosen.form,
        coefficients={name: float(f"{value:.6g}") for name, value in coefficients},
        error=chosen.mean_error,
        at_size=at_size,
        low=max(0.0, at_size - half_width) * (1 - min(1.0, carried_error)),
        high=(at_size + half_width) * (1 + carried_error),
    )
