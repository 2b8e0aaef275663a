"""The keys that come most often, in bounded memory.

Source: Metwally, Agrawal, El Abbadi, "Efficient computation of frequent and top-k elements in data streams" (2005),
Space-Saving with weights. Every key whose true weight is above total / size is kept, and no count is too high by
more than its own stated error.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)


class HeavyHitter(NamedTuple, Generic[K]):
    """A key that is kept. Its true weight is at most `weight`, and at least `weight - error`."""

    key: K
    weight: int
    error: int


class HeavyHitters(Generic[K]):
    """The heaviest of at most `size` keys. `total` is the weight of all that was added.

    `add` costs a look-up for a key that is kept, a step of a heap for one that is not.
    """

    def __init__(self, size: int) -> None:
        if size < 1:
            raise ValueError("size must be at least 1")
        self.size = size
        self.total = 0
        self._counts: dict[K, list[int]] = {}  # count, error: changed in place at each `add`
        self._heap: list[tuple[int, int, K]] = []  # by a count that may be out of date, never too high
        self._insertions = 0  # orders keys of equal counts, which need not be comparable

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key: K, weight: int = 1) -> None:
        """Count a key; one that is not kept takes the place, and the count, of the lightest."""
        self.total += weight
        entry = self._counts.get(key)
        if entry is not None:
            entry[0] += weight
            return
        if len(self._counts) < self.size:
            self._put(key, weight, 0)
            return
        least = self._pop_least()
        self._put(key, least + weight, least)

    def _put(self, key: K, count: int, error: int) -> None:
        self._counts[key] = [count, error]
        self._insertions += 1
        heapq.heappush(self._heap, (count, self._insertions, key))

    def _pop_least(self) -> int:
        """Drop the key with the least count, and return that. Counts in the heap lag behind: they are updated here."""
        while True:
            old_count, insertion, key = self._heap[0]
            count = self._counts[key][0]
            if count == old_count:
                heapq.heappop(self._heap)
                del self._counts[key]
                return count
            heapq.heapreplace(self._heap, (count, insertion, key))

    def halve(self) -> None:
        """Halve every weight, so that old weight gives way to new."""
        self.total //= 2
        kept = {key: (count // 2, error // 2) for key, (count, error) in self._counts.items() if count > 1}
        self._counts = {}
        self._heap = []
        for key, (count, error) in kept.items():
            self._put(key, count, error)

    def top(self, most: int) -> list[HeavyHitter[K]]:
        """The `most` heaviest keys, the heaviest first."""
        ranked = heapq.nlargest(most, self._counts.items(), key=lambda item: item[1][0])
        return [HeavyHitter(key, count, error) for key, (count, error) in ranked]
