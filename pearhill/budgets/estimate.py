"""Estimates the length of a tenant's answers from the mean and mean deviation of its recent ones."""

from __future__ import annotations

MIN_MEAN_WEIGHT = 1 / 16  # weight of a new answer in the moving averages; answer n of the first 16 has weight 1/n
MIN_HISTORY = 8  # number of answers from which the estimate alone counts, without the limit of the answer


class AnswerLengths:
    """Exponentially weighted mean and mean deviation of the lengths of answers, in tokens.

    Without a history the expected length is the limit of the answer; with one, it is the mean plus two mean deviations,
    at most the limit. With few answers it is interpolated between the two.
    """

    __slots__ = ("count", "mean", "mean_deviation", "estimate")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.mean_deviation = 0.0
        self.estimate = 0  # from the history alone; cached because it is read far more often than updated

    def add(self, answer: int) -> None:
        """Update the averages with the length of one answer."""
        self.count += 1
        weight = max(MIN_MEAN_WEIGHT, 1 / self.count)
        if self.count > 1:
            self.mean_deviation += (abs(answer - self.mean) - self.mean_deviation) * weight
        self.mean += (answer - self.mean) * weight
        self.update_estimate()

    def update_estimate(self) -> None:
        """Recompute the estimate after a change of the averages."""
        self.estimate = max(1, round(self.mean + 2 * self.mean_deviation))

    def expected_length(self, limit: int) -> int:
        """Returns the expected length of an answer that is limited to `limit` tokens."""
        if not self.count:
            return limit
        if self.count < MIN_HISTORY:
            confidence = self.count / MIN_HISTORY
            return max(1, min(limit, round(self.estimate * confidence + limit * (1 - confidence))))
        return self.estimate if self.estimate < limit else limit
