"""What the fleet bears beyond what is guaranteed, given out by weight.

Start-time fair queueing without the queue. Source: Goyal, Vin, Cheng, "Start-time fair queuing" (1996). Each borrower
has a virtual time that grows by what it gets over its weight; the fleet's is that of whoever has had least among those
who were refused of late. While capacity runs low only those who are not ahead of it get any; when they ask for less,
the level rises and the others get the rest, so that nothing idles while anyone asks.
"""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from pearhill.budgets.limits import GRAINS, MILLI

LOW = 0.5  # of the burst: below it, capacity is short
AHEAD = 0.05  # of the burst, over its weight: how far a borrower may be ahead of the last one while it is
LATELY = 1_000_000  # microseconds


class BurstBorrower:
    """`at`: its virtual time, grains over weight. `asked`: when it last did. `refused`: it has been, of late."""

    __slots__ = ("who", "at", "asked", "refused")

    def __init__(self, who: str) -> None:
        self.who, self.at, self.asked, self.refused = who, 0.0, 0, False


class BurstCapacity:
    """`level` is grains. Guaranteed work takes whatever it needs, down to minus one burst."""

    __slots__ = ("rate", "cap", "level", "at", "time", "borrowers", "_order")

    def __init__(self, capacity: int, burst: int, now: int) -> None:
        self.at, self.time = now, 0.0
        self.borrowers: dict[str, BurstBorrower] = {}
        self._order: SortedKeyList[BurstBorrower, tuple[float, str]] = SortedKeyList(key=lambda one: (one.at, one.who))
        self.rate = self.cap = self.level = 0
        self.set_capacity(capacity, burst)
        self.level = self.cap

    def set_capacity(self, capacity: int, burst: int) -> None:
        self.rate, self.cap = capacity * MILLI, burst * MILLI * GRAINS
        self.level = min(self.level, self.cap)

    def refill(self, now: int) -> None:
        if now > self.at:
            self.level = min(self.cap, self.level + self.rate * (now - self.at))
            self.at = now

    def guaranteed(self, amount: int) -> None:
        self.level = max(-self.cap, self.level - amount * GRAINS)

    def borrow(self, now: int, who: str, weight: float, amount: int) -> int:
        """0: it has got that much. Else the microseconds after which it may."""
        wanted = min(amount * GRAINS, self.cap)  # what is larger than the burst gets it when no more is to be had
        lead = self.cap * AHEAD / weight
        entry = self.borrowers.get(who) or BurstBorrower(who)
        self.borrowers[who] = entry
        while self._order and self._order[0].asked < now - LATELY:
            self._order.pop(0).refused = False
        if self._order:
            self.time = max(self.time, self._order[0].at)
        if not entry.refused:  # whoever stayed away, or asked for little, saves up no more than one lead
            entry.at = max(entry.at, self.time - lead)
        entry.asked = now
        if self.level < wanted:
            wait = -(-(wanted - self.level) // self.rate)
        elif self.level < (low := int(self.cap * LOW)) and entry.at > self.time + lead:
            wait = max(1, (low - self.level) // self.rate)
        else:
            self._move(entry, amount * GRAINS / weight)
            self.level -= amount * GRAINS
            return 0
        if not entry.refused:
            entry.refused = True
            self._order.add(entry)
        return wait

    def _move(self, entry: BurstBorrower, by: float) -> None:
        if entry.refused:
            self._order.remove(entry)
        entry.at += by
        if entry.refused:
            self._order.add(entry)

    def give_back(self, who: str, weight: float, amount: int, used: int) -> None:
        self.level = max(-self.cap, min(self.cap, self.level + (amount - used) * GRAINS))
        if entry := self.borrowers.get(who):
            self._move(entry, (used - amount) * GRAINS / weight)

    def forget(self) -> None:
        """Borrowers who stay away and whom virtual time has passed are as good as new ones."""
        self.borrowers = {who: one for who, one in self.borrowers.items() if one.refused or one.at > self.time}
