"""How evenly load is distributed over replicas: peak over mean, the Gini coefficient, and the idle replicas."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MIN_WEIGHT = 1e-9  # lower bound of a replica's weight, to avoid a division by 0


@dataclass(frozen=True, slots=True)
class Evenness:
    """How evenly work is distributed over replicas.

    `peak`: the busiest replica's work divided by the mean; 1 is even. `gini`: the Gini coefficient; 0 is even, and near
    1 a single replica has all the work. `idle`: the replicas without any work, sorted.
    """

    peak: float
    gini: float
    idle: tuple[str, ...]


def evenness(work: Mapping[str, float], weights: Mapping[str, float] | None = None) -> Evenness:
    """Return the evenness of tokens in flight by replica.

    `weights` are the replicas' capacities; a missing one counts as 1. Without any work at all, the distribution is
    even and no replica counts as idle.
    """
    capacities = weights or {}
    loads = sorted(tokens / max(MIN_WEIGHT, capacities.get(name, 1.0)) for name, tokens in work.items())
    total = sum(loads)
    count = len(loads)
    if total <= 0:
        return Evenness(1.0, 0.0, ())
    ranked_sum = sum((2 * rank - count - 1) * load for rank, load in enumerate(loads, 1))
    idle = sorted(name for name, tokens in work.items() if tokens <= 0)
    return Evenness(loads[-1] * count / total, ranked_sum / (count * total), tuple(idle))
