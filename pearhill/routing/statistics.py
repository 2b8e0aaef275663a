"""Running means whose evidence decays with age, and the interval at which the router updates its estimates."""

from __future__ import annotations

STEP_INTERVAL_US = 2_000_000  # between two periodic updates of the router's estimates


class DecayingMean:
    """A running mean whose evidence halves every `half_life` microseconds and weighs at most `max_weight` samples.

    A dispatcher may see only one request in two hundred, so each statistic has to return to a prior as it ages.
    """

    def __init__(self, half_life: float, max_weight: float, value: float = 0.0) -> None:
        self.half_life = half_life
        self.max_weight = max_weight
        self.value = value
        self.weight = 0.0
        self.updated_at = 0

    def weight_at(self, now: int) -> float:
        """Return the weight of the evidence at this time, in samples."""
        return self.weight * 0.5 ** ((now - self.updated_at) / self.half_life) if self.weight else 0.0

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        """Add a value that counts as `weight` samples."""
        earlier_weight = self.weight_at(now)
        self.value += (value - self.value) * weight / (earlier_weight + weight)
        self.weight = min(self.max_weight, earlier_weight + weight)
        self.updated_at = now

    def value_with_prior(self, now: int, prior: float, prior_weight: float = 1.0) -> float:
        """Return the mean of the evidence at this time and a prior that counts as `prior_weight` samples."""
        weight = self.weight_at(now)
        return (weight * self.value + prior_weight * prior) / (weight + prior_weight)
