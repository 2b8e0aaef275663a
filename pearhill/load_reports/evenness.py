"""How evenly work lies on replicas: peak over mean, the Gini coefficient, and which replicas are idle."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

MIN_WEIGHT = 1e-9  # of a replica, so that nothing is divided by 0


@dataclass(frozen=True, slots=True)
class Evenness:
    """`peak`: the busiest replica's work over the mean; 1 is even.

    `gini`: 0 is even, near 1 is all at one. `idle`: the replicas without any work, in order.
    """

    peak: float
    gini: float
    idle: tuple[str, ...]


def evenness(work: Mapping[str, float], weights: Mapping[str, float] | None = None) -> Evenness:
    """The evenness of tokens in flight by replica.

    `weights` are the replicas' sizes, 1 where not given. Without any work at all it is even, and none is called idle.
    """
    sizes = weights or {}
    shares = sorted(tokens / max(MIN_WEIGHT, sizes.get(name, 1.0)) for name, tokens in work.items())
    total = sum(shares)
    count = len(shares)
    if total <= 0:
        return Evenness(1.0, 0.0, ())
    ranked = sum((2 * rank - count - 1) * share for rank, share in enumerate(shares, 1))
    idle = sorted(name for name, tokens in work.items() if tokens <= 0)
    return Evenness(shares[-1] * count / total, ranked / (count * total), tuple(idle))
