"""Burst capacity: shares the fleet's capacity beyond the guaranteed rates among tenants by weight.

The method is start-time fair queueing without the queue. Source: Goyal, Vin, Cheng, "Start-time fair queuing" (1996).
Each borrower has a virtual time that grows by the amount it receives divided by its weight. The fleet's virtual time
is the lowest one among the recently rejected borrowers. During a shortage only borrowers that are at most one lead
ahead of the fleet's virtual time receive capacity. When those request less than the rate, the balance rises above the
shortage level and the others receive the rest, so that no capacity stays unused while a tenant requests it.
"""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from pearhill.budgets.limits import GRAINS_PER_MILLI, MILLI_PER_TOKEN

SHORTAGE_LEVEL = 0.5  # fraction of the burst; a balance below it is a shortage
# How far a borrower may be ahead of the fleet's virtual time during a shortage: this fraction of the burst, divided by
# the borrower's weight.
MAX_LEAD = 0.05
REJECTION_MEMORY_US = 1_000_000  # a rejected borrower that has not asked for so long no longer counts as rejected


class BurstBorrower:
    """One tenant that has requested burst capacity.

    `virtual_time` is grains divided by weight. `requested_at` is the time of its latest request in microseconds.
    `was_rejected` is true while a recent request of it was rejected.
    """

    __slots__ = ("tenant", "virtual_time", "requested_at", "was_rejected")

    def __init__(self, tenant: str) -> None:
        self.tenant = tenant
        self.virtual_time = 0.0
        self.requested_at = 0
        self.was_rejected = False


def _by_virtual_time(borrower: BurstBorrower) -> tuple[float, str]:
    return borrower.virtual_time, borrower.tenant


class BurstCapacity:
    """The fleet's token bucket, in grains. Guaranteed requests may lower its balance to minus one burst."""

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
        """Set the capacity: `capacity` is in tokens a minute, `burst` in tokens."""
        self.rate = capacity * MILLI_PER_TOKEN
        self.max_balance = burst * MILLI_PER_TOKEN * GRAINS_PER_MILLI
        self.balance = min(self.balance, self.max_balance)

    def refill(self, now: int) -> None:
        """Add the tokens accrued since the last refill; a `now` before it changes nothing."""
        if now > self.refilled_at:
            self.balance = min(self.max_balance, self.balance + self.rate * (now - self.refilled_at))
            self.refilled_at = now

    def consume_guaranteed(self, amount: int) -> None:
        """Subtract `amount` milli for a guaranteed request, also where the balance does not cover them."""
        self.balance = max(-self.max_balance, self.balance - amount * GRAINS_PER_MILLI)

    def borrow(self, now: int, tenant: str, weight: float, amount: int) -> int:
        """Borrow `amount` milli for a tenant. Returns 0 on success, else the microseconds after which to retry."""
        # An amount larger than the burst is granted once the bucket is full.
        grains = min(amount * GRAINS_PER_MILLI, self.max_balance)
        max_lead = self.max_balance * MAX_LEAD / weight
        borrower = self.borrowers.get(tenant) or BurstBorrower(tenant)
        self.borrowers[tenant] = borrower
        self._advance_virtual_time(now)
        if not borrower.was_rejected:
            # A tenant that requested nothing, or little, accumulates a claim of at most `max_lead`.
            borrower.virtual_time = max(borrower.virtual_time, self.virtual_time - max_lead)
        borrower.requested_at = now
        wait = self._wait_time(grains, borrower.virtual_time > self.virtual_time + max_lead)
        if wait is None:
            self._charge(borrower, amount * GRAINS_PER_MILLI / weight)
            self.balance -= amount * GRAINS_PER_MILLI
            return 0
        if not borrower.was_rejected:
            borrower.was_rejected = True
            self._rejected.add(borrower)
        return wait

    def _advance_virtual_time(self, now: int) -> None:
        """Advance the fleet's virtual time to the lowest one among borrowers that were rejected recently."""
        while self._rejected and self._rejected[0].requested_at < now - REJECTION_MEMORY_US:
            self._rejected.pop(0).was_rejected = False
        if self._rejected:
            self.virtual_time = max(self.virtual_time, self._rejected[0].virtual_time)

    def _wait_time(self, grains: int, is_ahead: bool) -> int | None:
        """Returns the microseconds until `grains` may be available to a borrower, or None if they are now."""
        if self.balance < grains:
            return -(-(grains - self.balance) // self.rate)
        shortage = int(self.max_balance * SHORTAGE_LEVEL)
        if self.balance < shortage and is_ahead:
            return max(1, (shortage - self.balance) // self.rate)
        return None

    def _charge(self, borrower: BurstBorrower, virtual_time: float) -> None:
        """Add to a borrower's virtual time, and keep the rejected borrowers sorted."""
        if borrower.was_rejected:
            self._rejected.remove(borrower)
        borrower.virtual_time += virtual_time
        if borrower.was_rejected:
            self._rejected.add(borrower)

    def settle(self, tenant: str, weight: float, amount: int, used: int) -> None:
        """Replace a reservation by what was used, both in milli.

        `tenant` is the borrower; it is empty if the reservation was guaranteed.
        """
        balance = self.balance + (amount - used) * GRAINS_PER_MILLI
        self.balance = max(-self.max_balance, min(self.max_balance, balance))
        borrower = self.borrowers.get(tenant)
        if borrower:
            self._charge(borrower, (used - amount) * GRAINS_PER_MILLI / weight)

    def forget_idle(self) -> None:
        """Remove borrowers that do not differ from new ones: not rejected, and not ahead of the virtual time."""
        self.borrowers = {
            tenant: borrower
            for tenant, borrower in self.borrowers.items()
            if borrower.was_rejected or borrower.virtual_time > self.virtual_time
        }
