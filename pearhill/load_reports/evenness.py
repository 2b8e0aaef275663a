"""How evenly work lies on engines: peak over mean, Gini's coefficient, and who idles."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Evenness:
    """`peak`: the busiest engine's work over the mean; 1 is even. `gini`: 0 is even, near 1 is all at one. `idle`:
    engines without any work, in order."""

    peak: float
    gini: float
    idle: tuple[str, ...]


def evenness(work: Mapping[str, float], weights: Mapping[str, float] | None = None) -> Evenness:
    """Of tokens under way by engine; `weights` are the engines' sizes, 1 where not told. Without any work at all
    it is even, and nobody is called idle."""
    shares = sorted(tokens / max(1e-9, (weights or {}).get(name, 1.0)) for name, tokens in work.items())
    total, n = sum(shares), len(shares)
    if total <= 0:
        return Evenness(1.0, 0.0, ())
    ranked = sum((2 * k - n - 1) * share for k, share in enumerate(shares, 1))
    return Evenness(shares[-1] * n / total, ranked / (n * total), tuple(sorted(k for k, v in work.items() if v <= 0)))
