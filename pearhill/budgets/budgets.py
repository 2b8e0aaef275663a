"""Admission and settlement: reserve before, settle after."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from pearhill.budgets.burst import BurstCapacity
from pearhill.budgets.estimate import Answers
from pearhill.budgets.level import BudgetLevel
from pearhill.budgets.limits import (
    DAY,
    GRAINS,
    MILLI,
    AdmissionDecision,
    AdmissionStatus,
    Limit,
    Plan,
    Reservation,
    TenantPlan,
    Usage,
    periods,
)
from pearhill.structures.heavy_hitters import HeavyHitter, HeavyHitters

TICK = 10_000_000  # microseconds between looks for what may be forgotten
LOOK = 500  # nodes that one tick looks at: bounded work, whatever their number
PATHS = 4_096  # look-ups that are remembered
OPEN_WAIT = 1_000_000  # after which an open request may have ended
HITTERS, SAMPLED = 64, 7  # places of the sketch; it is shown one arrival in eight

Index = dict[Any, BudgetLevel]


class Budgets:
    """All balances of one instance. Times: `now` in microseconds that never go back by much, `wall` in seconds of the
    calendar. Every call does a bounded amount of work."""

    def __init__(self, plan: Plan, now: int) -> None:
        self.plan = plan
        self.accounts: Index = {}
        self.tenants: Index = {}
        self.keys: Index = {}  # by (tenant, key): a key that moves to another tenant begins anew there
        self.answers: dict[str, Answers] = {}
        self.open: dict[int, Reservation] = {}
        self.spare = BurstCapacity(plan.capacity, plan.capacity_burst, now)
        self.hitters: HeavyHitters[str] = HeavyHitters(HITTERS)
        self._paths: dict[
            tuple[str, str], tuple[TenantPlan, tuple[BudgetLevel, ...]]
        ] = {}  # what was looked up of late
        self._next, self._due, self._asked = 1, now + TICK, 0
        self._sweep: list[Any] = []  # keys of the index that is being looked through
        self._swept = 0  # which of the three that is
        self._last, self._wall = (0, 0), -1  # the latest period seen, and when it was looked for

    # Levels.

    def _node(self, index: Index, key: Any, limit: Limit, now: int) -> BudgetLevel:
        node = index.get(key)
        if node is None:
            node = index[key] = BudgetLevel(key if isinstance(key, str) else key[1], limit, now)
        return node

    def _find(self, tenant: str, key: str, now: int) -> tuple[TenantPlan, tuple[BudgetLevel, ...]]:
        plan = self.plan.tenants.get(tenant) or self.plan.default
        if len(self._paths) >= PATHS:
            self._paths.clear()
        found = self._paths[tenant, key] = plan, self._path(tenant, key, plan, now)
        return found

    def _path(self, tenant: str, key: str, plan: TenantPlan, now: int) -> tuple[BudgetLevel, ...]:
        """The tenant first, then whatever else bounds it."""
        nodes = [self._node(self.tenants, tenant, plan.limit, now)]
        if plan.account:
            nodes.append(self._node(self.accounts, plan.account, self.plan.accounts[plan.account], now))
        if key and plan.key_limit != _NONE:
            nodes.append(self._node(self.keys, (tenant, key), plan.key_limit, now))
        return tuple(nodes)

    # Admission.

    def admit(
        self, now: int, wall: int, tenant: str, key: str, prompt: int, most: int, hint: int = 0
    ) -> AdmissionDecision:
        """How a request stands, and its reservation where it may be sent. `prompt` and `most` (its longest answer) are
        tokens; `hint` is how long its answer is likely to be, where somebody knows."""
        plan, path = self._paths.get((tenant, key)) or self._find(tenant, key, now)
        prices, history = self.plan.prices, self.answers.get(tenant)
        likely = (hint if hint < most else most) if hint else history.likely(most) if history else most
        amount, worst = prompt * MILLI + likely * prices.answer, prompt * MILLI + most * prices.answer
        day, month = self._last if wall == self._wall else self.period(wall)
        for node in path:  # written out: at this place a call costs as much as what it does
            if now > node.at:
                if node.rate:
                    level = node.level + node.rate * (now - node.at)
                    node.level = level if level < node.cap else node.cap
                node.at = now
            if day != node.day:
                node.turn(day, month)
            if node.rate and worst - amount > node.debt - node.exposure:
                amount = worst - max(0, node.debt - node.exposure)
        self._asked += 1
        if self._asked & SAMPLED == 0:
            self.hitters.add(tenant, amount * (SAMPLED + 1))
        grains, wait = amount * GRAINS, 0
        for node in path:
            short = node.rate and node.level < grains
            if (
                short
                or node.open >= node.max_open
                or node.day_used + amount > node.day_cap
                or node.month_used + amount > node.month_cap
            ) and (standing := _spent(node, amount, worst, wall, day)):
                return standing
            if short and (later := node.wait_for(amount)):
                if node is not path[0]:
                    return AdmissionDecision(AdmissionStatus.OVER_LIMIT, later, f"{node.name}: tokens a minute")
                wait = later
        borrows = False
        if wait:
            if not (plan.weight and self.spare.rate):
                return AdmissionDecision(AdmissionStatus.OVER_LIMIT, wait, f"{path[0].name}: tokens a minute")
            self.spare.refill(now)
            if later := self.spare.borrow(now, tenant, plan.weight, amount):
                return AdmissionDecision(
                    AdmissionStatus.OVER_LIMIT,
                    min(wait, later),
                    f"{path[0].name}: tokens a minute, and nothing is spare",
                )
            borrows = True
        elif self.spare.rate:
            self.spare.refill(now)
            self.spare.guaranteed(amount)
        number = self._next
        self._next = number + 1
        made = self.open[number] = Reservation(
            number, tenant, key, plan.account, amount, worst, borrows, day, month, path
        )
        beyond = worst - amount
        for node in path:
            if node.rate and not (borrows and node is path[0]):  # spare capacity is not out of its own bucket
                node.level -= grains
            node.exposure += beyond
            node.open += 1
            node.day_used += amount
            node.month_used += amount
        return AdmissionDecision(AdmissionStatus.BURST if borrows else AdmissionStatus.WITHIN_LIMIT, reservation=made)

    # Settlement.

    def settle(self, now: int, held: Reservation, used: Usage | None) -> int:
        """A request is over; what it is charged, in milli. None: it never ran. A reservation settles once."""
        if held.settled:
            return 0
        held.settled = True
        del self.open[held.number]
        charge = self.plan.prices.of(used.prompt, used.cached, used.answer) if used else 0
        plan = self.plan.tenant(held.tenant)
        for k, node in enumerate(held.nodes):
            assert isinstance(node, BudgetLevel)
            node.refill(now)
            borrowed = held.spare and not k
            level = node.level
            node.give_back(held.amount, held.worst, charge, held.day, held.month)
            if borrowed:
                node.level = level
        if self.spare.rate:
            self.spare.refill(now)
            self.spare.give_back(held.tenant if held.spare else "", plan.weight or 1.0, held.amount, charge)
        if used and used.answer:
            self.answers.setdefault(held.tenant, Answers()).add(used.answer)
        return charge

    # Looks.

    def balance(self, now: int, wall: int, tenant: str) -> dict[str, int]:
        """What a tenant may be told: limit and what remains of tokens and requests, microseconds until the bucket is
        full, and what it has used in the day and the month, in tokens."""
        plan = self.plan.tenant(tenant)
        node = self.tenants.get(tenant)
        if node is None:
            node = BudgetLevel(tenant, plan.limit, now)
        node.refill(now)
        node.turn(*self.period(wall))
        lacking = node.cap - node.level
        return {
            "limit_tokens": plan.limit.burst,
            "remaining_tokens": max(0, node.level // (MILLI * GRAINS)),
            "reset_us": -(-lacking // node.rate) if node.rate else 0,
            "limit_requests": plan.limit.open,
            "remaining_requests": max(0, plan.limit.open - node.open),
            "open_requests": node.open,
            "debt_tokens": max(0, -node.level // (MILLI * GRAINS)),
            "day_tokens": node.day_used // MILLI,
            "month_tokens": node.month_used // MILLI,
            "day_limit": plan.limit.day,
            "month_limit": plan.limit.month,
        }

    def top(self, most: int = 10) -> list[HeavyHitter[str]]:
        """The tenants that have asked for most of late, in milli."""
        return self.hitters.top(most)

    # Time and change.

    def tick(self, now: int) -> int:
        """Forget what is as good as new; when to be called next. Danger: tenants by the hundred thousand would each
        leave their levels behind for ever."""
        if now < self._due:
            return self._due
        indexes = (self.tenants, self.accounts, self.keys)
        if not self._sweep:  # one index after the other: a list of its keys is all that is copied
            self._swept = (self._swept + 1) % len(indexes)
            self._sweep = list(indexes[self._swept])
            if not self._swept:
                self.spare.forget()
                self.hitters.halve()
        index = indexes[self._swept]
        for _ in range(min(LOOK, len(self._sweep))):
            key = self._sweep.pop()
            node = index.get(key)
            if node is not None and not node.open:
                node.refill(now)
                if node.neutral:
                    del index[key]
                    self._paths.clear()  # danger: one that is found there would be charged and never looked at again
                    if index is self.tenants:
                        self.answers.pop(key, None)
        self._due = now + (TICK if not self._sweep else TICK // 100)
        return self._due

    def reconfigure(self, plan: Plan, now: int) -> None:
        """Other limits. Danger: what is reserved belongs to those that it was taken from; it settles there."""
        for index, limit in (
            (self.tenants, self._tenant_limit(plan)),
            (self.accounts, self._account_limit(plan)),
            (self.keys, self._key_limit(plan)),
        ):
            for key, node in index.items():
                node.refill(now)
                node.set_limit(limit(key))
        self.spare.refill(now)
        self.spare.set_capacity(plan.capacity, plan.capacity_burst)
        self.plan = plan
        self._paths.clear()

    @staticmethod
    def _tenant_limit(plan: Plan) -> Callable[[Any], Limit]:
        return lambda key: plan.tenant(key).limit

    @staticmethod
    def _account_limit(plan: Plan) -> Callable[[Any], Limit]:
        return lambda key: plan.accounts.get(key, _NONE)

    @staticmethod
    def _key_limit(plan: Plan) -> Callable[[Any], Limit]:
        return lambda key: plan.tenant(key[0]).key_limit

    def period(self, wall: int) -> tuple[int, int]:
        """The day and the month in force: never before one that was in force already."""
        if wall != self._wall:
            self._last, self._wall = max(self._last, periods(wall)), wall
        return self._last

    def state(self) -> dict[str, Any]:
        """All balances in plain values. Reservations are not among them: what they hold counts as given back."""
        told: dict[str, list[list[Any]]] = {}
        held: dict[int, list[int]] = {}  # by node: what is reserved out of its bucket, its day and its month
        for one in self.open.values():
            for k, node in enumerate(one.nodes):
                assert isinstance(node, BudgetLevel)
                sums = held.setdefault(id(node), [0, 0, 0])
                sums[0] += 0 if one.spare and not k else one.amount
                sums[1] += one.amount if one.day == node.day else 0
                sums[2] += one.amount if one.month == node.month else 0
        for name, index in (("tenants", self.tenants), ("accounts", self.accounts), ("keys", self.keys)):
            rows = told[name] = []
            for key, node in index.items():
                own, of_day, of_month = held.get(id(node), (0, 0, 0))
                level = min(node.cap, node.level + own * GRAINS) if node.rate else node.level
                rows.append(
                    [
                        list(key) if isinstance(key, tuple) else key,
                        level,
                        node.at,
                        node.day,
                        node.day_used - of_day,
                        node.month,
                        node.month_used - of_month,
                    ]
                )
        return {
            "version": 1,
            **told,
            "answers": {name: [a.count, a.mean, a.spread] for name, a in self.answers.items()},
        }

    def restore(self, told: dict[str, Any], now: int) -> None:
        """Balances as `state` told them, for a new object. ValueError: they are not of this version."""
        if told.get("version") != 1:
            raise ValueError(f"balances of version {told.get('version')!r} cannot be read")
        limits = {
            "tenants": self._tenant_limit(self.plan),
            "accounts": self._account_limit(self.plan),
            "keys": self._key_limit(self.plan),
        }
        for name, index in (("tenants", self.tenants), ("accounts", self.accounts), ("keys", self.keys)):
            for key, level, at, day, day_used, month, month_used in told[name]:
                key = tuple(key) if isinstance(key, list) else key
                node = self._node(index, key, limits[name](key), now)
                node.level, node.at = min(level, node.cap), min(at, now)
                node.day, node.day_used, node.month, node.month_used = day, day_used, month, month_used
                self._last, self._wall = max(self._last, (day, month)), -1
        for name, (count, mean, spread) in told["answers"].items():
            answers = self.answers[name] = Answers()
            answers.count, answers.mean, answers.spread = count, mean, spread
            answers.settle()

    def replay(
        self, now: int, tenant: str, key: str, account: str, charge: int, spare: bool, day: int, month: int, answer: int
    ) -> None:
        """A charge out of the journal, made before a crash: as if it had been reserved and settled at its time."""
        plan = replace(self.plan.tenant(tenant), account=account if account in self.plan.accounts else "")
        for k, node in enumerate(self._path(tenant, key, plan, now)):
            node.refill(now)
            node.turn(day, month)
            if node.rate and not (spare and not k):
                node.level -= charge * GRAINS
            node.day_used += charge if node.day == day else 0
            node.month_used += charge if node.month == month else 0
        self._last, self._wall = max(self._last, (day, month)), -1
        if answer:
            self.answers.setdefault(tenant, Answers()).add(answer)


_NONE = Limit()


def _spent(node: BudgetLevel, amount: int, worst: int, wall: int, day: int) -> AdmissionDecision | None:
    """Why a level lets nothing more in, whatever is spare."""
    limit = node.limit
    if limit.open and node.open >= limit.open:
        return AdmissionDecision(AdmissionStatus.OVER_LIMIT, OPEN_WAIT, f"{node.name}: requests open at once")
    if node.rate and node.level < 0:
        return AdmissionDecision(
            AdmissionStatus.OVERDRAWN, node.wait_for(amount), f"{node.name}: a debt is to be paid off"
        )
    if limit.day and node.day_used + amount > limit.day * MILLI:
        return AdmissionDecision(
            AdmissionStatus.OVER_LIMIT, max(1, (day + 1) * DAY - wall) * 1_000_000, f"{node.name}: tokens a day", True
        )
    if limit.month and node.month_used + amount > limit.month * MILLI:
        return AdmissionDecision(
            AdmissionStatus.OVER_LIMIT, max(1, (day + 1) * DAY - wall) * 1_000_000, f"{node.name}: tokens a month", True
        )
    # What is larger than the burst is let in on a full bucket, as far as the debt allows.
    if node.rate and amount * GRAINS > node.cap and worst + node.exposure > limit.burst * MILLI + node.debt:
        return AdmissionDecision(
            AdmissionStatus.OVER_LIMIT,
            OPEN_WAIT if node.exposure else 0,
            f"{node.name}: more than the burst and the debt allow",
            not node.exposure,
        )
    return None
