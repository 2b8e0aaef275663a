"""What the fleet bears beyond what is guaranteed, given out by weight.

Start-time fair queueing without the queue. Source: Goyal, Vin, Cheng, "Start-time fair queuing" (1996). Each borrower
has a virtual time that grows by what it gets over its weight; the fleet's is that of the borrower that has had least
among those rejected of late. While capacity is short only those that are not ahead of it get any; when they ask for
less, the balance rises and the others get the rest, so that nothing idles while anyone asks.
"""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from pearhill.budgets.limits import GRAINS_PER_MILLI, MILLI_PER_TOKEN

SHORTAGE_LEVEL = 0.5  # of the burst: below it, capacity is short
MAX_LEAD = 0.05  # of the burst, over its weight: how far a borrower may be ahead of the last one during a shortage
REJECTION_MEMORY_US = 1_000_000


class BurstBorrower:
    """One tenant that has asked for burst capacity.

    `virtual_time`: grains over weight. `asked_at`: when it last did, in microseconds. `was_rejected`: it has been, of
    late.
    """

    __slots__ = ("tenant", "virtual_time", "asked_at", "was_rejected")

    def __init__(self, tenant: str) -> None:
        self.tenant = tenant
        self.virtual_time = 0.0
        self.asked_at = 0
        self.was_rejected = False


def _by_virtual_time(borrower: BurstBorrower) -> tuple[float, str]:
    return borrower.virtual_time, borrower.tenant


class BurstCapacity:
    """The fleet's bucket, in grains. Guaranteed work takes whatever it needs, down to minus one burst."""

    __slots__ = ("rate", "max_balance", "balance", "refilled_at", "virtual_time", "borrowers", "_rejected")

    def __init__(self, capacity: int, burst: int, now: int) -> None:
        self.refilled_at = now
        self.virtual_time = 0.0
        self.borrowers: dict[str, BurstBorrower] = {}
        self._rejected: SortedKeyList[BurstBorrower, tuple[float, str]] = SortedKeyList(key=_by_virtual_time)
        self.balance = 0
        self.set_capacity(capacity, burst)
        self.balance = self.max_balance

    def set_capacity(self, capacity: int, burst: int) -> None:
        """Take another capacity: `capacity` is tokens a minute, `burst` is tokens."""
        self.rate = capacity * MILLI_PER_TOKEN
        self.max_balance = burst * MILLI_PER_TOKEN * GRAINS_PER_MILLI
        self.balance = min(self.balance, self.max_balance)

    def refill(self, now: int) -> None:
        """Add what the capacity has given since the last time; a `now` that went back changes nothing."""
        if now > self.refilled_at:
            self.balance = min(self.max_balance, self.balance + self.rate * (now - self.refilled_at))
            self.refilled_at = now

    def take_guaranteed(self, amount: int) -> None:
        """Guaranteed work takes so many milli, whether they are there or not."""
        self.balance = max(-self.max_balance, self.balance - amount * GRAINS_PER_MILLI)

    def borrow(self, now: int, tenant: str, weight: float, amount: int) -> int:
        """Take so many milli for a tenant. 0: it has got them; else the microseconds after which it may ask again."""
        # What is larger than the burst is given once the bucket is full.
        wanted = min(amount * GRAINS_PER_MILLI, self.max_balance)
        lead = self.max_balance * MAX_LEAD / weight
        borrower = self.borrowers.get(tenant) or BurstBorrower(tenant)
        self.borrowers[tenant] = borrower
        self._advance_virtual_time(now)
        if not borrower.was_rejected:
            # A tenant that stayed away, or asked for little, saves up no more than one lead.
            borrower.virtual_time = max(borrower.virtual_time, self.virtual_time - lead)
        borrower.asked_at = now
        wait = self._wait(wanted, borrower.virtual_time > self.virtual_time + lead)
        if wait is None:
            self._charge(borrower, amount * GRAINS_PER_MILLI / weight)
            self.balance -= amount * GRAINS_PER_MILLI
            return 0
        if not borrower.was_rejected:
            borrower.was_rejected = True
            self._rejected.add(borrower)
        return wait

    def _advance_virtual_time(self, now: int) -> None:
        """The fleet's virtual time is that of the last borrower among those rejected that have asked of late."""
        while self._rejected and self._rejected[0].asked_at < now - REJECTION_MEMORY_US:
            self._rejected.pop(0).was_rejected = False
        if self._rejected:
            self.virtual_time = max(self.virtual_time, self._rejected[0].virtual_time)

    def _wait(self, wanted: int, is_ahead: bool) -> int | None:
        """Microseconds after which so many grains may be there for a borrower. None: they are there now."""
        if self.balance < wanted:
            return -(-(wanted - self.balance) // self.rate)
        shortage = int(self.max_balance * SHORTAGE_LEVEL)
        if self.balance < shortage and is_ahead:
            return max(1, (shortage - self.balance) // self.rate)
        return None

    def _charge(self, borrower: BurstBorrower, virtual_time: float) -> None:
        """Move a borrower in virtual time, and keep the order of those that were rejected."""
        if borrower.was_rejected:
            self._rejected.remove(borrower)
        borrower.virtual_time += virtual_time
        if borrower.was_rejected:
            self._rejected.add(borrower)

    def settle(self, tenant: str, weight: float, amount: int, used: int) -> None:
        """A reservation becomes what was used, both in milli. `tenant`: it was borrowed; empty: it was guaranteed."""
        balance = self.balance + (amount - used) * GRAINS_PER_MILLI
        self.balance = max(-self.max_balance, min(self.max_balance, balance))
        borrower = self.borrowers.get(tenant)
        if borrower:
            self._charge(borrower, (used - amount) * GRAINS_PER_MILLI / weight)

    def forget_idle(self) -> None:
        """Borrowers that stay away and that virtual time has passed are as good as new ones."""
        self.borrowers = {
            tenant: borrower
            for tenant, borrower in self.borrowers.items()
            if borrower.was_rejected or borrower.virtual_time > self.virtual_time
        }
