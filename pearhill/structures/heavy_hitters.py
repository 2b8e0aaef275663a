"""Finds the heaviest keys of a stream in bounded memory.

The algorithm is Space-Saving with weights, of Metwally, Agrawal, El Abbadi, "Efficient computation of frequent and
top-k elements in data streams" (2005). Every key whose true weight is above total / size is retained, and no count is
too high by more than its own stated error.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)


class HeavyHitter(NamedTuple, Generic[K]):
    """A retained key. Its true weight is at most `weight`, and at least `weight - error`."""

    key: K
    weight: int
    error: int


class HeavyHitters(Generic[K]):
    """Retains the heaviest keys, at most `size` of them. `total` is the weight of all that was added.

    `add` costs a dictionary look-up for a retained key, and a heap operation for any other.
    """

    def __init__(self, size: int) -> None:
        if size < 1:
            raise ValueError("size must be at least 1")
        self.size = size
        self.total = 0
        self._counts: dict[K, list[int]] = {}  # count and error, changed in place by each `add`
        self._heap: list[tuple[int, int, K]] = []  # by a count that may be out of date, but never too high
        self._insertions = 0  # orders keys of equal counts, which need not be comparable

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key: K, weight: int = 1) -> None:
        """Add weight to a key. If `size` keys are retained, a new one replaces the lightest and inherits its count."""
        self.total += weight
        entry = self._counts.get(key)
        if entry is not None:
            entry[0] += weight
            return
        if len(self._counts) < self.size:
            self._put(key, weight, 0)
            return
        least_count = self._pop_lightest()
        self._put(key, least_count + weight, least_count)

    def _put(self, key: K, count: int, error: int) -> None:
        self._counts[key] = [count, error]
        self._insertions += 1
        heapq.heappush(self._heap, (count, self._insertions, key))

    def _pop_lightest(self) -> int:
        """Remove the key with the least count, and return the count. Outdated counts in the heap are updated here."""
        while True:
            old_count, insertion, key = self._heap[0]
            count = self._counts[key][0]
            if count == old_count:
                heapq.heappop(self._heap)
                del self._counts[key]
                return count
            heapq.heapreplace(self._heap, (count, insertion, key))

    def halve(self) -> None:
        """Halve every weight, so that recent weight outweighs old weight."""
        self.total //= 2
        halved = {key: (count // 2, error // 2) for key, (count, error) in self._counts.items() if count > 1}
        self._counts = {}
        self._heap = []
        for key, (count, error) in halved.items():
            self._put(key, count, error)

    def top(self, limit: int) -> list[HeavyHitter[K]]:
        """Return the `limit` heaviest keys, the heaviest first."""
        ranked = heapq.nlargest(limit, self._counts.items(), key=lambda item: item[1][0])
        return [HeavyHitter(key, count, error) for key, (count, error) in ranked]
