"""Sums of tokens by slot, exact whatever is added and taken off again."""

from __future__ import annotations

from itertools import compress

from pearhill.membership.gauges import TOKENS


class SlotTotals:
    """Tokens by slot, over all dispatchers that are counted: all of them, and those still queued."""

    def __init__(self) -> None:
        self.loads: list[float] = []
        self.waits: list[float] = []

    def append_slot(self) -> None:
        """One more slot, where nobody has work yet."""
        self.loads.append(0.0)
        self.waits.append(0.0)

    def has_work(self, slot: int) -> bool:
        """Whether any counted dispatcher has work at the slot."""
        return bool(self.loads[slot] or self.waits[slot])

    def replace(self, old_loads: bytes, old_waits: bytes, new_loads: bytes, new_waits: bytes) -> None:
        """Count a dispatcher's new codes by slot in place of its old ones."""
        _replace(self.loads, old_loads, new_loads)
        _replace(self.waits, old_waits, new_waits)


def _replace(totals: list[float], old: bytes, new: bytes) -> None:
    """Only slots whose code differs are visited: most stay the same from one report to the next."""
    length = max(len(old), len(new))
    old = old.ljust(length, b"\0")
    new = new.ljust(length, b"\0")
    differs = (int.from_bytes(old, "little") ^ int.from_bytes(new, "little")).to_bytes(length, "little")
    for slot in compress(range(length), differs):
        totals[slot] += TOKENS[new[slot]] - TOKENS[old[slot]]
