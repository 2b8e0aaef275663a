"""What work each dispatcher says that it has at each engine, and the sum of it over the fleet.

A digest is one dispatcher's gauge: tokens that it has under way at each engine now. A newer one replaces the older one
whole, so that a digest that comes twice, late, or out of order counts nothing twice. One that grows old fades, not to
nothing but to what the others have there on the mean: who cannot be heard still sends, as far as anybody knows.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

FADE = 750_000  # microseconds after which half of a digest still holds: some beats, and the life of a read
MAX_ROWS = 48  # engines of a digest; those with the most work
MOST = 1 << 40  # tokens; a row that says more is not believed


@dataclass(frozen=True, slots=True)
class ReplicaLoad:
    """One dispatcher's tokens at one engine: yet to be read there, and under way there in all."""

    replica: int
    queued_tokens: int
    total_tokens: int


@dataclass(frozen=True, slots=True)
class SummedLoad:
    """Others' tokens at one engine, and how much of it is fresh word (1) or assumption (0)."""

    queued_tokens: float
    total_tokens: float
    confidence: float


def largest_loads(rows: Iterable[ReplicaLoad]) -> list[ReplicaLoad]:
    """The rows of a digest that has room for `ROWS`."""
    return sorted(rows, key=lambda r: (-r.total_tokens, r.replica))[:MAX_ROWS]


class PeerLoads:
    def __init__(self) -> None:
        self._last: dict[str, tuple[tuple[int, int], int, dict[int, ReplicaLoad]]] = {}
        # Danger: a choice that walks through all peers takes the longer the more there are. By engine there are few.
        self._by_engine: dict[int, dict[str, ReplicaLoad]] = {}
        self._counted: Collection[str] = ()
        self._weights: dict[str, float] = {}  # of those counted, as of the last reckoning, and 1 when heard since
        self._worth = 1.0  # their sum, and 1 for me

    def receive(self, now: int, name: str, version: tuple[int, int], rows: Iterable[ReplicaLoad]) -> bool:
        """A digest of a peer, by incarnation and sequence. False: it is no newer than what is known."""
        known = self._last.get(name)
        if known and version <= known[0]:
            return False
        good = {r.replica: r for r in rows if 0 <= r.queued_tokens <= MOST and 0 <= r.total_tokens <= MOST}
        self._forget(name)
        self._last[name] = version, now, good
        for engine, row in good.items():
            self._by_engine.setdefault(engine, {})[name] = row
        if name in self._weights:
            self._worth += 1 - self._weights[name]
            self._weights[name] = 1.0
        return True

    def _forget(self, name: str) -> None:
        for engine in self._last[name][2] if name in self._last else ():
            rows = self._by_engine[engine]
            del rows[name]
            if not rows:
                del self._by_engine[engine]

    def weigh(self, now: int, counted: Collection[str]) -> None:
        """Reckon anew who counts, and for how much: at every beat, between which hardly anything fades, and not at a
        choice, which would take the longer the more peers there are."""
        if self._counted is not counted:
            self._counted = counted
            self._weights = {name: self._sure(now, name) for name in counted}
            self._worth = 1 + sum(self._weights.values())

    def others(self, now: int, engine: int, counted: Collection[str], mine: ReplicaLoad) -> SummedLoad:
        """The sum over the peers that are `counted`, whether they can be heard or not. The same object as at the last
        call is taken for the same peers."""
        self.weigh(now, counted)
        fresh, worth = self._weights, self._worth  # I am one whose work is known
        waiting, load = float(mine.queued_tokens), float(mine.total_tokens)
        for name, row in self._by_engine.get(engine, {}).items():
            if name in fresh:
                sure = self._sure(now, name)
                waiting, load = waiting + sure * row.queued_tokens, load + sure * row.total_tokens
        # Each of whom nothing is known counts as the mean of all of whom something is.
        missing = len(fresh) + 1 - worth
        scale = 1 + missing / worth
        sure = (worth - 1) / len(fresh) if fresh else 1.0
        return SummedLoad(
            max(0.0, waiting * scale - mine.queued_tokens), max(0.0, load * scale - mine.total_tokens), sure
        )

    def _sure(self, now: int, name: str) -> float:
        known = self._last.get(name)
        age = max(0, now - known[1]) if known else 0
        return 0.5 ** (age / FADE) if known and age < 8 * FADE else 0.0

    def keep(self, names: Collection[str]) -> None:
        for gone in self._last.keys() - set(names):
            self._forget(gone)
            del self._last[gone]
