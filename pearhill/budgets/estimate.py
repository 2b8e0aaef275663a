"""How long a tenant's answers are likely to be: mean and spread of its latest ones."""

from __future__ import annotations

FADE = 1 / 16  # of each new answer in the mean
SURE = 8  # answers until a tenant's own history counts alone


class Answers:
    """Without a history the limit of the answer counts; with one, the mean and two spreads, up to the limit."""

    __slots__ = ("count", "mean", "spread", "own")

    def __init__(self) -> None:
        self.count, self.mean, self.spread = 0, 0.0, 0.0
        self.own = 0  # what the history alone says; worked out as it changes, since it is asked for far more often

    def add(self, answer: int) -> None:
        self.count += 1
        fade = max(FADE, 1 / self.count)
        self.spread += (abs(answer - self.mean) - self.spread) * fade if self.count > 1 else 0.0
        self.mean += (answer - self.mean) * fade
        self.settle()

    def settle(self) -> None:
        self.own = max(1, round(self.mean + 2 * self.spread))

    def likely(self, most: int) -> int:
        if not self.count:
            return most
        if self.count < SURE:
            sure = self.count / SURE
            return max(1, min(most, round(self.own * sure + most * (1 - sure))))
        return self.own if self.own < most else most
