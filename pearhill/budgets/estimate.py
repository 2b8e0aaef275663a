"""How long a tenant's answers are likely to be: mean and deviation of its latest ones."""

from __future__ import annotations

MIN_MEAN_WEIGHT = 1 / 16  # of each new answer in the moving averages; the first ones weigh more
MIN_HISTORY = 8  # answers until a tenant's own history counts alone


class AnswerLengths:
    """Exponentially weighted mean and mean deviation of answers, in tokens.

    Without a history the limit of the answer counts; with one, the mean and two deviations, up to the limit.
    """

    __slots__ = ("count", "mean", "spread", "estimate")

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.spread = 0.0
        self.estimate = 0  # by the history alone; kept up to date, since it is asked for far more often

    def add(self, answer: int) -> None:
        """Take in the length of one more answer."""
        self.count += 1
        weight = max(MIN_MEAN_WEIGHT, 1 / self.count)
        if self.count > 1:
            self.spread += (abs(answer - self.mean) - self.spread) * weight
        self.mean += (answer - self.mean) * weight
        self.update_estimate()

    def update_estimate(self) -> None:
        """Work the estimate out anew, after a change of the averages."""
        self.estimate = max(1, round(self.mean + 2 * self.spread))

    def expected(self, limit: int) -> int:
        """The length to expect of an answer that may have `limit` tokens."""
        if not self.count:
            return limit
        if self.count < MIN_HISTORY:
            confidence = self.count / MIN_HISTORY
            return max(1, min(limit, round(self.estimate * confidence + limit * (1 - confidence))))
        return self.estimate if self.estimate < limit else limit
