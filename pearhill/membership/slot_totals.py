"""Sums of tokens by slot, which stay exact through any additions and subtractions."""

from __future__ import annotations

from itertools import compress

from pearhill.membership.gauges import TOKENS


class SlotTotals:
    """Tokens by slot over all counted dispatchers: all tokens (loads) and the queued ones (waits)."""

    def __init__(self) -> None:
        self.loads: list[float] = []
        self.waits: list[float] = []

    def append_slot(self) -> None:
        """Adds a slot without work."""
        self.loads.append(0.0)
        self.waits.append(0.0)

    def has_work(self, slot: int) -> bool:
        """Returns whether any counted dispatcher has work at the slot."""
        return bool(self.loads[slot] or self.waits[slot])

    def replace(self, old_loads: bytes, old_waits: bytes, new_loads: bytes, new_waits: bytes) -> None:
        """Counts a dispatcher's new codes by slot in place of its old ones."""
        _replace(self.loads, old_loads, new_loads)
        _replace(self.waits, old_waits, new_waits)


def _replace(totals: list[float], old: bytes, new: bytes) -> None:
    """Updates `totals`. Visits only slots whose code differs, because most do not change between two reports."""
    length = max(len(old), len(new))
    old = old.ljust(length, b"\0")
    new = new.ljust(length, b"\0")
    differs = (int.from_bytes(old, "little") ^ int.from_bytes(new, "little")).to_bytes(length, "little")
    for slot in compress(range(length), differs):
        totals[slot] += TOKENS[new[slot]] - TOKENS[old[slot]]
