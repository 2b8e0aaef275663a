"""The keys that come most often, in bounded memory.

Source: Metwally, Agrawal, El Abbadi, "Efficient computation of frequent and top-k elements in data streams" (2005),
Space-Saving with weights. Any key whose true weight is above total / size is surely kept, and no count is too high by
more than its own stated error.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)


class HeavyHitter(NamedTuple, Generic[K]):
    key: K
    weight: int  # never less than the true weight
    error: int  # the true weight is at least weight - error


class HeavyHitters(Generic[K]):
    """`size` keys at most. `add` is a look-up for a key that is kept, a step of a heap for one that is not."""

    def __init__(self, size: int) -> None:
        if size < 1:
            raise ValueError("size must be at least 1")
        self.size, self.total = size, 0
        self._counts: dict[K, list[int]] = {}  # count, error
        self._heap: list[tuple[int, int, K]] = []  # by a count that may be out of date, never too high
        self._tie = 0

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key: K, weight: int = 1) -> None:
        self.total += weight
        if entry := self._counts.get(key):
            entry[0] += weight
            return
        if len(self._counts) < self.size:
            self._put(key, weight, 0)
            return
        least = self._pop_least()
        self._put(key, least + weight, least)

    def _put(self, key: K, count: int, error: int) -> None:
        self._counts[key] = [count, error]
        self._tie += 1
        heapq.heappush(self._heap, (count, self._tie, key))

    def _pop_least(self) -> int:
        """Let go of the key with the least count. Counts in the heap lag behind: they are set right as they come up."""
        while True:
            told, tie, key = self._heap[0]
            count = self._counts[key][0]
            if count == told:
                heapq.heappop(self._heap)
                del self._counts[key]
                return count
            heapq.heapreplace(self._heap, (count, tie, key))

    def halve(self) -> None:
        """Forget half of what was, so that old weight gives way to new."""
        self.total //= 2
        kept = {key: (count // 2, error // 2) for key, (count, error) in self._counts.items() if count > 1}
        self._counts, self._heap = {}, []
        for key, (count, error) in kept.items():
            self._put(key, count, error)

    def top(self, most: int) -> list[HeavyHitter[K]]:
        ranked = heapq.nlargest(most, self._counts.items(), key=lambda item: item[1][0])
        return [HeavyHitter(key, count, error) for key, (count, error) in ranked]
