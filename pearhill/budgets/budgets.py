"""Admission and settlement: reserves tokens when a request is admitted, and charges the tokens used when it ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pearhill.budgets.admission import LevelPath, find_rejection, rate_rejection, refill_and_size
from pearhill.budgets.burst import BurstCapacity
from pearhill.budgets.estimate import AnswerLengths
from pearhill.budgets.level import BudgetLevel
from pearhill.budgets.limits import GRAINS_PER_MILLI, MILLI_PER_TOKEN, NO_LIMIT, Limit, Plan, TenantPlan
from pearhill.budgets.periods import periods
from pearhill.budgets.reservation import AdmissionDecision, Reservation, Usage
from pearhill.routing.events import AdmissionStatus
from pearhill.structures.heavy_hitters import HeavyHitter, HeavyHitters

TICK_INTERVAL_US = 10_000_000  # pause between two sweeps for unused levels; one sweep covers one index
BUSY_TICK_INTERVAL_US = 100_000  # interval of ticks during a sweep
MAX_LEVELS_PER_TICK = 500  # bounds the work of one tick, whatever the number of levels
MAX_CACHE_ENTRIES = 4_096
SKETCH_SIZE = 64  # number of keys in the heavy-hitter sketch
MAX_TOP_TENANTS = 10  # number of tenants in the log line of the heaviest users
SAMPLE_MASK = 7  # the sketch counts one arrival in eight, with eight times its amount
STATE_VERSION = 1
GRAINS_PER_TOKEN = MILLI_PER_TOKEN * GRAINS_PER_MILLI

Index = dict[Any, BudgetLevel]


class Budgets:
    """All balances of one dispatcher.

    `now` is a time in microseconds that never goes back by much; `wall_s` is calendar time in seconds since 1970. Every
    call does a bounded amount of work, except `reconfigure`, `state` and `restore`, which iterate over all levels.
    """

    def __init__(self, plan: Plan, now: int) -> None:
        self.plan = plan
        self.accounts: Index = {}
        self.tenants: Index = {}
        self.keys: Index = {}  # by (tenant, key), so that a key that moves to another tenant starts with a new level
        self.answer_lengths: dict[str, AnswerLengths] = {}
        self.reservations: dict[int, Reservation] = {}
        self.burst_capacity = BurstCapacity(plan.capacity, plan.capacity_burst, now)
        self.heavy_hitters: HeavyHitters[str] = HeavyHitters(SKETCH_SIZE)
        self._level_cache: dict[tuple[str, str], tuple[TenantPlan, LevelPath]] = {}  # cache by tenant and key
        self._next_number = 1
        self._arrivals = 0
        self._tick_due = now + TICK_INTERVAL_US
        self._sweep_keys: list[Any] = []  # keys that are still to be visited in the current sweep
        self._swept_index = 0  # the index that is swept: 0 tenants, 1 accounts, 2 keys
        self._period = (0, 0)  # the latest day and month that was in force
        self._period_wall = -1  # the calendar time for which `_period` was computed

    # Levels.

    def _level(self, index: Index, key: Any, limit: Limit, now: int) -> BudgetLevel:
        level = index.get(key)
        if level is None:
            level = index[key] = BudgetLevel(key if isinstance(key, str) else key[1], limit, now)
        return level

    def _look_up(self, tenant: str, key: str, now: int) -> tuple[TenantPlan, LevelPath]:
        """Look up the plan and the levels of a key, and cache them."""
        plan = self.plan.tenants.get(tenant) or self.plan.default
        if len(self._level_cache) >= MAX_CACHE_ENTRIES:
            self._level_cache.clear()
        entry = self._level_cache[tenant, key] = plan, self._levels_of(tenant, key, plan, now)
        return entry

    def _levels_of(self, tenant: str, key: str, plan: TenantPlan, now: int) -> LevelPath:
        """Returns the levels that limit a request: the tenant's, then those of its account and its key if limited."""
        levels = [self._level(self.tenants, tenant, plan.limit, now)]
        if plan.account:
            levels.append(self._level(self.accounts, plan.account, self.plan.accounts[plan.account], now))
        if key and plan.key_limit != NO_LIMIT:
            levels.append(self._level(self.keys, (tenant, key), plan.key_limit, now))
        return tuple(levels)

    def _indexes(self, plan: Plan) -> tuple[tuple[str, Index, Callable[[Any], Limit]], ...]:
        """For each kind of level: its name in the state, its index, and the function from a key to its limit."""
        return (
            ("tenants", self.tenants, lambda name: plan.tenant(name).limit),
            ("accounts", self.accounts, lambda name: plan.accounts.get(name, NO_LIMIT)),
            ("keys", self.keys, lambda key: plan.tenant(key[0]).key_limit),
        )

    # Admission.

    def admit(
        self, now: int, wall_s: int, tenant: str, key: str, prompt: int, max_answer: int, hint: int = 0
    ) -> AdmissionDecision:
        """Decide whether a request is admitted, and reserve its tokens if so.

        `prompt` and `max_answer` (the limit of the answer) are in tokens; `hint` is the expected length of the answer
        in tokens, 0 if unknown.
        """
        plan, path = self._level_cache.get((tenant, key)) or self._look_up(tenant, key, now)
        answer_price = self.plan.prices.answer
        prompt_cost = prompt * MILLI_PER_TOKEN
        max_cost = prompt_cost + max_answer * answer_price
        day, month = self._period if wall_s == self._period_wall else self.current_period(wall_s)
        expected = prompt_cost + self._expected_answer(tenant, max_answer, hint) * answer_price
        amount = refill_and_size(path, now, day, month, expected, max_cost)
        self._arrivals += 1
        if self._arrivals & SAMPLE_MASK == 0:
            self.heavy_hitters.add(tenant, amount * (SAMPLE_MASK + 1))
        rejection = find_rejection(path, amount, max_cost, wall_s, day)
        if rejection:
            return rejection
        own = path[0]
        wait = own.time_until_available(amount) if own.rate and own.balance < amount * GRAINS_PER_MILLI else 0
        if wait:
            rejection = self._borrow(now, tenant, plan.weight, amount, own, wait)
            if rejection:
                return rejection
        elif self.burst_capacity.rate:
            self.burst_capacity.refill(now)
            self.burst_capacity.consume_guaranteed(amount)
        status = AdmissionStatus.BURST if wait else AdmissionStatus.WITHIN_LIMIT
        reservation = self._reserve(tenant, key, plan.account, amount, max_cost, wait > 0, path)
        return AdmissionDecision(status, reservation=reservation)

    def _expected_answer(self, tenant: str, max_answer: int, hint: int) -> int:
        """Returns the tokens to reserve for the answer: the hint, an estimate from the history, or `max_answer`."""
        if hint:
            return hint if hint < max_answer else max_answer
        history = self.answer_lengths.get(tenant)
        return history.expected_length(max_answer) if history else max_answer

    def _borrow(
        self, now: int, tenant: str, weight: float, amount: int, own: BudgetLevel, wait: int
    ) -> AdmissionDecision | None:
        """Borrow `amount` from burst capacity, since the tenant's own bucket will hold it only after `wait`.

        Returns the rejection, or None if the amount has been borrowed.
        """
        if not (weight and self.burst_capacity.rate):
            return rate_rejection(own, wait)
        self.burst_capacity.refill(now)
        burst_wait = self.burst_capacity.borrow(now, tenant, weight, amount)
        if burst_wait:
            return rate_rejection(own, min(wait, burst_wait), "tokens a minute, and nothing is spare")
        return None

    def _reserve(
        self, tenant: str, key: str, account: str, amount: int, max_cost: int, is_burst: bool, path: LevelPath
    ) -> Reservation:
        """Subtract an amount from all levels, in the current period, and record the reservation."""
        number = self._next_number
        self._next_number = number + 1
        day, month = self._period
        reservation = Reservation(number, tenant, key, account, amount, max_cost, is_burst, day, month, path)
        self.reservations[number] = reservation
        grains = amount * GRAINS_PER_MILLI
        excess = max_cost - amount
        own = path[0]
        for level in path:
            if level.rate and not (is_burst and level is own):  # borrowed tokens do not come from the tenant's bucket
                level.balance -= grains
            level.exposure += excess
            level.open_requests += 1
            level.day_used += amount
            level.month_used += amount
        return reservation

    # Settlement.

    def settle(self, now: int, reservation: Reservation, used: Usage | None) -> int:
        """Replace a reservation by what its request used; returns the charge in milli.

        `used` is None if the request never ran, which costs nothing. A reservation settles once: further calls change
        nothing and return 0.
        """
        if reservation.settled:
            return 0
        reservation.settled = True
        del self.reservations[reservation.number]
        charge = self.plan.prices.cost(used.prompt, used.cached, used.answer) if used else 0
        for position, level in enumerate(reservation.levels):
            level.refill(now)
            balance = level.balance
            level.settle(reservation.amount, reservation.max_cost, charge, reservation.day, reservation.month)
            if reservation.is_burst and not position:  # nothing was subtracted from the tenant's own bucket
                level.balance = balance
        if self.burst_capacity.rate:
            weight = self.plan.tenant(reservation.tenant).weight or 1.0
            self.burst_capacity.refill(now)
            self.burst_capacity.settle(
                reservation.tenant if reservation.is_burst else "", weight, reservation.amount, charge
            )
        if used and used.answer:
            self.answer_lengths.setdefault(reservation.tenant, AnswerLengths()).add(used.answer)
        return charge

    # Queries.

    def balance(self, now: int, wall_s: int, tenant: str) -> dict[str, int]:
        """Returns the state of a tenant's budget, as its own clients may see it.

        The keys give the limits and remaining amounts of tokens and open requests, the microseconds until the bucket is
        full, and the tokens used in the current day and month.
        """
        plan = self.plan.tenant(tenant)
        level = self.tenants.get(tenant)
        if level is None:
            level = BudgetLevel(tenant, plan.limit, now)
        level.refill(now)
        level.enter_period(*self.current_period(wall_s))
        lacking = level.max_balance - level.balance
        return {
            "limit_tokens": plan.limit.burst,
            "remaining_tokens": max(0, level.balance // GRAINS_PER_TOKEN),
            "reset_us": -(-lacking // level.rate) if level.rate else 0,
            "limit_requests": plan.limit.open,
            "remaining_requests": max(0, plan.limit.open - level.open_requests),
            "open_requests": level.open_requests,
            "debt_tokens": max(0, -level.balance // GRAINS_PER_TOKEN),
            "day_tokens": level.day_used // MILLI_PER_TOKEN,
            "month_tokens": level.month_used // MILLI_PER_TOKEN,
            "day_limit": plan.limit.day,
            "month_limit": plan.limit.month,
        }

    def top_tenants(self) -> list[HeavyHitter[str]]:
        """Returns the tenants whose recent requests had the highest expected cost, in milli."""
        return self.heavy_hitters.top(MAX_TOP_TENANTS)

    # Time and change.

    def tick(self, now: int) -> int:
        """Remove levels whose state equals that of a new one; returns the time of the next call.

        Without it the levels of hundreds of thousands of inactive tenants would stay in memory for ever.
        """
        if now < self._tick_due:
            return self._tick_due
        indexes = (self.tenants, self.accounts, self.keys)
        if not self._sweep_keys:  # each sweep covers one index, so that only that index's keys are copied
            self._swept_index = (self._swept_index + 1) % len(indexes)
            self._sweep_keys = list(indexes[self._swept_index])
            if not self._swept_index:
                self.burst_capacity.forget_idle()
                self.heavy_hitters.halve()
        index = indexes[self._swept_index]
        for _ in range(min(MAX_LEVELS_PER_TICK, len(self._sweep_keys))):
            self._forget_if_unused(index, self._sweep_keys.pop(), now)
        self._tick_due = now + (BUSY_TICK_INTERVAL_US if self._sweep_keys else TICK_INTERVAL_US)
        return self._tick_due

    def _forget_if_unused(self, index: Index, key: Any, now: int) -> None:
        level = index.get(key)
        if level is None or level.open_requests:
            return
        level.refill(now)
        if not level.is_unused:
            return
        del index[key]
        # A cached path could still refer to the removed level: charges to it would have no effect on the new level.
        self._level_cache.clear()
        if index is self.tenants:
            self.answer_lengths.pop(key, None)

    def reconfigure(self, plan: Plan, now: int) -> None:
        """Apply the limits of a new plan. A reservation settles with the levels that it was subtracted from."""
        for _, index, limit_of in self._indexes(plan):
            for key, level in index.items():
                level.refill(now)
                level.set_limit(limit_of(key))
        self.burst_capacity.refill(now)
        self.burst_capacity.set_capacity(plan.capacity, plan.capacity_burst)
        self.plan = plan
        self._level_cache.clear()

    def current_period(self, wall_s: int) -> tuple[int, int]:
        """Returns the current day and month, which never go back when the calendar clock does."""
        if wall_s != self._period_wall:
            self._period = max(self._period, periods(wall_s))
            self._period_wall = wall_s
        return self._period

    def _observe_period(self, day: int, month: int) -> None:
        """Enter a period that was in force before this process started, so that the clock cannot go behind it."""
        self._period = max(self._period, (day, month))
        self._period_wall = -1

    # Snapshots.

    def state(self) -> dict[str, Any]:
        """Returns all balances as plain values, with the amounts of open reservations added back."""
        reserved = self._reserved_by_level()
        rows = {
            name: [_level_row(key, level, reserved.get(id(level), (0, 0, 0))) for key, level in index.items()]
            for name, index, _ in self._indexes(self.plan)
        }
        lengths = {name: [each.count, each.mean, each.mean_deviation] for name, each in self.answer_lengths.items()}
        return {"version": STATE_VERSION, **rows, "answers": lengths}

    def _reserved_by_level(self) -> dict[int, tuple[int, int, int]]:
        """Returns the amounts reserved at each level (by `id`) of its bucket, its day and its month, in milli."""
        reserved: dict[int, tuple[int, int, int]] = {}
        for reservation in self.reservations.values():
            for position, level in enumerate(reservation.levels):
                in_bucket, in_day, in_month = reserved.get(id(level), (0, 0, 0))
                is_borrowed = reservation.is_burst and not position
                reserved[id(level)] = (
                    in_bucket + (0 if is_borrowed else reservation.amount),
                    in_day + (reservation.amount if reservation.day == level.day else 0),
                    in_month + (reservation.amount if reservation.month == level.month else 0),
                )
        return reserved

    def restore(self, state: dict[str, Any], now: int) -> None:
        """Load balances that `state` returned, into a new object. Raises ValueError if they are of another version."""
        if state.get("version") != STATE_VERSION:
            raise ValueError(f"balances of version {state.get('version')!r} cannot be read")
        for name, index, limit_of in self._indexes(self.plan):
            for key, balance, refilled_at, day, day_used, month, month_used in state[name]:
                key = tuple(key) if isinstance(key, list) else key
                level = self._level(index, key, limit_of(key), now)
                level.balance = min(balance, level.max_balance)
                level.refilled_at = min(refilled_at, now)
                level.day = day
                level.day_used = day_used
                level.month = month
                level.month_used = month_used
                self._observe_period(day, month)
        for name, (count, mean, mean_deviation) in state["answers"].items():
            lengths = self.answer_lengths[name] = AnswerLengths()
            lengths.count = count
            lengths.mean = mean
            lengths.mean_deviation = mean_deviation
            lengths.update_estimate()

    def replay(
        self,
        now: int,
        tenant: str,
        key: str,
        account: str,
        charge: int,
        is_burst: bool,
        day: int,
        month: int,
        answer: int,
    ) -> None:
        """Apply a charge of the journal, made before a crash, as if it had been reserved and settled at its time."""
        plan = replace(self.plan.tenant(tenant), account=account if account in self.plan.accounts else "")
        for position, level in enumerate(self._levels_of(tenant, key, plan, now)):
            level.refill(now)
            level.enter_period(day, month)
            if level.rate and not (is_burst and not position):
                level.balance -= charge * GRAINS_PER_MILLI
            if level.day == day:
                level.day_used += charge
            if level.month == month:
                level.month_used += charge
        self._observe_period(day, month)
        if answer:
            self.answer_lengths.setdefault(tenant, AnswerLengths()).add(answer)


def _level_row(key: Any, level: BudgetLevel, reserved: tuple[int, int, int]) -> list[Any]:
    """Returns a level as plain values, with the amounts of open reservations added back."""
    in_bucket, in_day, in_month = reserved
    balance = level.balance
    if level.rate:
        balance = min(level.max_balance, balance + in_bucket * GRAINS_PER_MILLI)
    return [
        list(key) if isinstance(key, tuple) else key,
        balance,
        level.refilled_at,
        level.day,
        level.day_used - in_day,
        level.month,
        level.month_used - in_month,
    ]
