"""The budgets without a dispatcher: cases on a virtual clock, and a state machine against a model in fractions."""

import datetime
import random
from fractions import Fraction

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from pearhill.budgets import AdmissionStatus, Budgets, Limit, Plan, Prices, TenantPlan, Usage
from pearhill.budgets.charges import Charge, encode_charge, encode_state, rebuild
from pearhill.budgets.limits import GRAINS_PER_MILLI, MILLI_PER_TOKEN
from pearhill.budgets.periods import DAY_S, month_name, month_of, periods
from pearhill.budgets.reservation import AdmissionDecision, Reservation

S = 1_000_000
T0, WALL = 10**15, 1_796_083_200  # WALL is 2026-12-01 00:00 UTC in seconds


def budgets(now: int = T0, **tenants: TenantPlan) -> Budgets:
    return Budgets(Plan(tenants), now)


NO_LIMIT = Limit()


def reservation(decision: AdmissionDecision) -> Reservation:
    """Returns the reservation of a request, which must have been admitted."""
    assert decision.reservation is not None
    return decision.reservation


def plan(weight: float = 0.0, account: str = "", key: Limit = NO_LIMIT, **limit: int) -> TenantPlan:
    return TenantPlan(Limit(**limit), account, weight, key)


@pytest.mark.parametrize(
    "wall", [0, DAY_S - 1, DAY_S, 951_782_400, 951_868_800, 1_796_083_199, 1_796_083_200, 4_102_444_799]
)
def test_periods_against_the_calendar(wall: int) -> None:
    date = datetime.datetime.fromtimestamp(wall, datetime.UTC)
    day, month = periods(wall)
    assert (day, month_name(month)) == (wall // DAY_S, f"{date.year}-{date.month:02}")
    assert month_of(month_name(month)) == month


@pytest.mark.parametrize("invalid", ["2026", "2026-13", "2026-00", "26-12", "2026-1", "x-12", "1969-01"])
def test_an_invalid_month_raises_value_error(invalid: str) -> None:
    with pytest.raises(ValueError, match=f"'{invalid}' is no month as in 2026-12"):
        month_of(invalid)


class TestAdmission:
    def test_a_bucket_admits_its_burst_and_then_its_rate(self) -> None:
        b = budgets(a=plan(tokens_per_min=600, burst=1_000))
        first = b.admit(T0, WALL, "a", "", 500, 500)
        assert first.status == AdmissionStatus.WITHIN_LIMIT
        second = b.admit(T0, WALL, "a", "", 50, 50)
        assert (second.status, second.retry_after, second.reservation) == (AdmissionStatus.OVER_LIMIT, 10 * S, None)
        assert b.admit(T0 + 10 * S - 1, WALL, "a", "", 50, 50).retry_after == 1
        assert b.admit(T0 + 10 * S, WALL, "a", "", 50, 50).status == AdmissionStatus.WITHIN_LIMIT

    def test_settling_returns_unused_tokens_and_books_excess_as_debt(self) -> None:
        b = budgets(a=plan(tokens_per_min=60, burst=1_000, debt=2_000))
        b.answer_lengths.clear()
        held = reservation(b.admit(T0, WALL, "a", "", 100, 100, hint=50))
        assert b.settle(T0, held, Usage(100, 0, 10)) == 110 * MILLI_PER_TOKEN
        assert b.balance(T0, WALL, "a")["remaining_tokens"] == 890
        held = reservation(b.admit(T0, WALL, "a", "", 90, 2_400, hint=800))
        assert held.amount == 890 * MILLI_PER_TOKEN
        b.settle(T0, held, Usage(90, 0, 2_400))  # three times as long as reserved, and not cut off
        assert b.balance(T0, WALL, "a")["debt_tokens"] == 1_600
        decision = b.admit(T0, WALL, "a", "", 1, 1)
        assert (decision.status, decision.retry_after) == (AdmissionStatus.OVERDRAWN, 1_602 * S)
        assert b.admit(T0 + 1_602 * S, WALL, "a", "", 1, 1).status == AdmissionStatus.WITHIN_LIMIT

    def test_a_request_that_never_ran_costs_nothing_and_settles_once(self) -> None:
        b = budgets(a=plan(tokens_per_min=60, burst=1_000, day=5_000, open=1))
        held = reservation(b.admit(T0, WALL, "a", "", 500, 100))
        assert b.admit(T0, WALL, "a", "", 1, 1).reason == "a: requests open at once"
        assert (b.settle(T0, held, None), b.settle(T0, held, Usage(9, 0, 9))) == (0, 0)
        balance = b.balance(T0, WALL, "a")
        assert (balance["remaining_tokens"], balance["day_tokens"], balance["open_requests"]) == (1_000, 0, 0)

    def test_cached_tokens_have_their_own_price(self) -> None:
        b = Budgets(Plan({"a": plan(tokens_per_min=60, burst=10_000)}, prices=Prices(cached=100, answer=4_000)), T0)
        held = reservation(b.admit(T0, WALL, "a", "", 1_000, 10))
        assert held.amount == 1_040 * MILLI_PER_TOKEN
        assert b.settle(T0, held, Usage(1_000, 800, 5)) == (200 + 80 + 20) * MILLI_PER_TOKEN

    @pytest.mark.parametrize(
        ("name", "limits", "reason"),
        [
            ("account", Plan({"a": plan(account="x")}, {"x": Limit(tokens_per_min=60, burst=100)}), "x: tokens a"),
            ("key", Plan({"a": plan(key=Limit(tokens_per_min=60, burst=100))}), "k1: tokens a minute"),
            ("open", Plan({"a": plan(key=Limit(open=1))}), "k1: requests open"),
            ("day", Plan({"a": plan(day=100)}), "a: tokens a day"),
            ("month", Plan({"a": plan(month=100)}), "a: tokens a month"),
        ],
    )
    def test_a_request_is_rejected_by_the_limit_of_any_level(self, name: str, limits: Plan, reason: str) -> None:
        b = Budgets(limits, T0)
        assert b.admit(T0, WALL, "a", "k1", 50, 30).reservation is not None
        decision = b.admit(T0, WALL, "a", "k1", 50, 30)
        assert (decision.status, decision.reason[: len(reason)]) == (AdmissionStatus.OVER_LIMIT, reason)
        assert decision.quota_exhausted == (name in ("day", "month"))

    def test_a_request_larger_than_the_burst_needs_a_full_bucket_and_debt(self) -> None:
        b = budgets(a=plan(tokens_per_min=60, burst=100, debt=50))
        assert b.admit(T0, WALL, "a", "", 100, 50).reservation is not None
        assert b.admit(T0, WALL, "a", "", 1, 1).status == AdmissionStatus.OVERDRAWN
        b = budgets(a=plan(tokens_per_min=60, burst=100, debt=50))
        assert b.admit(T0, WALL, "a", "", 100, 51).quota_exhausted

    def test_the_reserved_answer_length_follows_the_history(self) -> None:
        b = budgets(a=plan(tokens_per_min=10**6, burst=10**6, debt=10**6))
        for _ in range(20):
            held = reservation(b.admit(T0, WALL, "a", "", 10, 1_000))
            b.settle(T0, held, Usage(10, 0, 100))
        assert reservation(b.admit(T0, WALL, "a", "", 10, 1_000)).amount == 110 * MILLI_PER_TOKEN
        assert reservation(b.admit(T0, WALL, "a", "", 10, 50)).amount == 60 * MILLI_PER_TOKEN

    def test_a_charge_counts_in_the_period_of_its_admission(self) -> None:
        b = budgets(a=plan(day=1_000))
        end = (WALL // DAY_S + 1) * DAY_S
        held = reservation(b.admit(T0, end - 1, "a", "", 900, 100))
        after = b.admit(T0 + S, end, "a", "", 800, 100)
        assert after.reservation is not None
        b.settle(T0 + 2 * S, held, Usage(900, 0, 100))  # the charge belongs to yesterday: today's count does not change
        assert b.balance(T0, end, "a")["day_tokens"] == 900
        assert (held.day, reservation(after).day) == (end // DAY_S - 1, end // DAY_S)
        stepped = b.admit(T0 + 3 * S, end - 5, "a", "", 50, 10)  # the calendar steps back over midnight
        assert reservation(stepped).day == end // DAY_S
        assert b.admit(T0 + 3 * S, end, "a", "", 90, 10).reason == "a: tokens a day"

    def test_a_clock_that_goes_back_changes_no_balance(self) -> None:
        b = budgets(a=plan(tokens_per_min=60, burst=100))
        b.admit(T0, WALL, "a", "", 90, 10)
        for now in (T0 - 50 * S, T0, T0 - 1, T0):
            assert b.balance(now, WALL, "a")["remaining_tokens"] == 0
        assert b.balance(T0 + S, WALL, "a")["remaining_tokens"] == 1

    def test_reservations_survive_a_reload_with_lower_limits(self) -> None:
        b = budgets(a=plan(tokens_per_min=60, burst=1_000))
        held = reservation(b.admit(T0, WALL, "a", "", 600, 100))
        b.reconfigure(Plan({"a": plan(tokens_per_min=60, burst=100)}), T0)
        assert b.balance(T0, WALL, "a")["remaining_tokens"] == 100
        b.settle(T0, held, Usage(600, 0, 350))
        assert b.balance(T0, WALL, "a")["debt_tokens"] == 150

    def test_a_reservation_of_a_moved_key_settles_at_its_original_tenant(self) -> None:
        limit = Limit(tokens_per_min=60, burst=1_000)
        b = budgets(a=plan(key=limit), b=plan(key=limit))
        held = reservation(b.admit(T0, WALL, "a", "k", 500, 100))
        moved = b.admit(T0, WALL, "b", "k", 900, 100)
        assert moved.reservation is not None
        b.settle(T0, held, Usage(100))
        assert [
            level.balance // (MILLI_PER_TOKEN * GRAINS_PER_MILLI) for level in (b.keys["a", "k"], b.keys["b", "k"])
        ] == [900, 0]


class TestBurstCapacityShares:
    def run_load(
        self,
        rates: dict[str, float],
        plans: dict[str, TenantPlan],
        capacity: int,
        seconds: int = 120,
    ) -> tuple[dict[str, float], float, dict[str, int]]:
        """Offer `rates` tokens a minute of each tenant.

        Returns the tokens a minute served to each tenant and the fraction of capacity used, both without the first
        30 s, and the number of rejections of each tenant.
        """
        rng, b = random.Random(7), Budgets(Plan(plans, capacity=capacity, capacity_burst=capacity // 6), T0)
        events = sorted(
            (T0 + int(rng.random() * seconds * S), name)
            for name, rate in rates.items()
            for _ in range(int(rate * seconds / 60 / 100))
        )
        served, rejected, warm_up_end = dict.fromkeys(rates, 0), dict.fromkeys(rates, 0), T0 + 30 * S
        for now, name in events:
            decision = b.admit(now, WALL, name, "", 90, 10)
            if decision.reservation:
                b.settle(now, decision.reservation, Usage(90, 0, 10))
                served[name] += 100 if now > warm_up_end else 0
            else:
                rejected[name] += 1
        minutes = (seconds - 30) / 60
        return ({name: n / minutes for name, n in served.items()}, sum(served.values()) / minutes / capacity, rejected)

    def test_three_tenants_at_five_times_their_rate_cause_no_rejection_of_a_fourth(self) -> None:
        plans = {name: plan(weight=1, tokens_per_min=60_000, burst=20_000) for name in "abcd"}
        served, utilization, rejected = self.run_load(
            {"a": 300_000, "b": 300_000, "c": 300_000, "d": 50_000}, plans, 300_000
        )
        assert rejected["d"] == 0
        assert served["d"] == pytest.approx(50_000, abs=5_000)
        for name in "abc":
            assert served[name] == pytest.approx(250_000 / 3, abs=5_000)
        assert utilization > 0.95

    @pytest.mark.parametrize(
        ("weights", "rates", "expected"),
        [
            ({"a": 1.0, "b": 3.0}, {"a": 400_000, "b": 400_000}, {"a": 50_000, "b": 150_000}),
            ({"a": 1.0, "b": 3.0}, {"a": 400_000, "b": 60_000}, {"a": 140_000, "b": 60_000}),
            (
                {"a": 1.0, "b": 1.0, "c": 2.0},
                {"a": 20_000, "b": 400_000, "c": 400_000},
                {"a": 20_000, "b": 60_000, "c": 120_000},
            ),
        ],
    )
    def test_burst_capacity_is_shared_by_weight_and_unused_shares_go_to_others(
        self, weights: dict[str, float], rates: dict[str, float], expected: dict[str, int]
    ) -> None:
        plans = {name: plan(weight=w, tokens_per_min=1, burst=100) for name, w in weights.items()}
        served, utilization, _ = self.run_load(rates, plans, 200_000)
        assert utilization > 0.95
        for name, share in expected.items():
            assert served[name] == pytest.approx(share, abs=0.12 * share)

    def test_a_tenant_of_weight_zero_gets_no_burst_capacity(self) -> None:
        plans = {"a": plan(weight=0, tokens_per_min=6_000, burst=1_000)}
        served, _, rejected = self.run_load({"a": 60_000}, plans, 600_000)
        assert served["a"] == pytest.approx(6_000, abs=700)
        assert rejected["a"] > 500

    def test_ten_thousand_new_tenants_in_one_second_are_admitted(self) -> None:
        b = Budgets(
            Plan(default=plan(weight=1, tokens_per_min=600, burst=200), capacity=600_000, capacity_burst=100_000), T0
        )
        for k in range(10_000):
            decision = b.admit(T0 + k * 100, WALL, f"t{k}", "", 90, 10)
            assert decision.status == AdmissionStatus.WITHIN_LIMIT
            b.settle(T0 + k * 100, reservation(decision), Usage(90, 0, 10))
        assert (
            b.admit(T0 + S, WALL, "t1", "", 190, 10).status == AdmissionStatus.OVER_LIMIT
        )  # guaranteed requests have used all capacity
        now = T0 + 30 * S
        for _ in range(1_000):
            now = b.tick(now)
        assert len(b.tenants) == 10_000  # a level keeps the use of a period until its end

    def test_levels_of_tenants_without_use_are_removed(self) -> None:
        b = budgets(a=plan(tokens_per_min=60, burst=100))
        for k in range(5_000):
            b.settle(T0, reservation(b.admit(T0, WALL, f"t{k}", "", 90, 10)), None)
        now = T0 + 30 * S
        for _ in range(60):
            now = b.tick(now)
        assert len(b.tenants) == 0


class TestRebuiltFromTheJournal:
    def test_a_snapshot_and_later_charges_rebuild_the_same_balances(self) -> None:
        rng = random.Random(3)
        plans = Plan(
            {
                "a": plan(tokens_per_min=600, burst=5_000, debt=500, day=10**6, month=10**7, account="x"),
                "b": plan(tokens_per_min=60, burst=500, weight=2.0, key=Limit(tokens_per_min=6_000, burst=900)),
            },
            {"x": Limit(tokens_per_min=6_000, burst=50_000)},
            capacity=60_000,
            capacity_burst=10_000,
        )
        for cut in range(0, 60, 7):
            live = Budgets(plans, T0)
            journal: list[bytes] = []
            state: bytes | None = None
            now = T0
            for step in range(60):
                if step == cut:
                    state, journal = encode_state(live), []
                now += rng.randrange(3 * S)
                tenant = rng.choice("ab")
                if held := live.admit(now, WALL, tenant, "k", rng.randrange(1, 200), 50).reservation:
                    used = Usage(rng.randrange(200), 0, rng.randrange(50))
                    milli = live.settle(now, held, used)
                    journal.append(
                        encode_charge(
                            Charge(
                                now,
                                WALL,
                                "",
                                tenant,
                                "k",
                                held.account,
                                "",
                                "",
                                "answered",
                                used.prompt,
                                0,
                                used.answer,
                                milli,
                                held.is_burst,
                                held.day,
                                held.month,
                            )
                        )
                    )
            left_open = live.admit(now, WALL, "a", "k", 10, 10)  # open at the crash: its reservation is dropped
            rebuilt = Budgets(plans, T0)
            rebuild(rebuilt, state, journal, now)
            live.settle(now, left_open.reservation, None) if left_open.reservation else None
            for tenant in "ab":
                assert rebuilt.balance(now + S, WALL, tenant) == live.balance(now + S, WALL, tenant)
                assert (rebuilt.admit(now, WALL, tenant, "k", 1, 50).reservation is None) == (
                    live.admit(now, WALL, tenant, "k", 1, 50).reservation is None
                )

    def test_a_state_of_another_version_is_rejected(self) -> None:
        fresh = budgets()
        with pytest.raises(ValueError, match="balances of version 2 cannot be read"):
            fresh.restore({"version": 2}, T0)


class BudgetMachine(RuleBasedStateMachine):
    """Compares balances with exact fractions over random sequences of arrivals, settlements, ticks and restarts."""

    LIMIT = Limit(tokens_per_min=600, burst=300, debt=120, day=100_000)

    def __init__(self) -> None:
        super().__init__()
        self.now, self.start = T0, T0
        self.plan = Plan({"a": TenantPlan(self.LIMIT, weight=0.0)})
        self.budgets = Budgets(self.plan, T0)
        self.held: list[tuple[Reservation, int, int]] = []
        self.model_balance, self.model_refilled_at = Fraction(300), T0
        self.charged = Fraction(0)
        self.used = 0

    def refill_model(self) -> Fraction:
        self.model_balance = min(
            Fraction(300), self.model_balance + Fraction(10 * (self.now - self.model_refilled_at), S)
        )
        self.model_refilled_at = self.now
        return self.model_balance

    @rule(prompt=st.integers(0, 150), max_answer=st.integers(1, 120), hint=st.integers(0, 120))
    def arrive(self, prompt: int, max_answer: int, hint: int) -> None:
        decision = self.budgets.admit(self.now, WALL, "a", "", prompt, max_answer, hint)
        level = self.refill_model()
        if decision.reservation:
            amount = Fraction(decision.reservation.amount, MILLI_PER_TOKEN)
            assert level >= min(amount, Fraction(300)), (level, amount)
            self.model_balance -= amount
            self.held.append((decision.reservation, prompt, max_answer))
        else:
            assert decision.retry_after >= 0
            assert decision.status in (
                AdmissionStatus.OVER_LIMIT,
                AdmissionStatus.OVERDRAWN,
            )
            assert (decision.status == AdmissionStatus.OVERDRAWN) == (
                level < 0 and decision.reason.endswith("paid off")
            )

    @precondition(lambda self: self.held)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        held, prompt, max_answer = self.held.pop(data.draw(st.integers(0, len(self.held) - 1)))
        ran = data.draw(st.booleans())
        answer = data.draw(st.integers(0, max_answer))
        charge = self.budgets.settle(self.now, held, Usage(prompt, 0, answer) if ran else None)
        assert charge == ((prompt + answer) * MILLI_PER_TOKEN if ran else 0)
        self.refill_model()
        self.model_balance = min(Fraction(300), self.model_balance + Fraction(held.amount - charge, MILLI_PER_TOKEN))
        self.charged += Fraction(charge, MILLI_PER_TOKEN)
        assert self.budgets.settle(self.now, held, Usage(1, 0, 1)) == 0

    @rule(micros=st.integers(-5 * S, 20 * S))
    def wait(self, micros: int) -> None:
        self.budgets.balance(self.now + min(0, micros), WALL, "a")  # a read at an earlier time changes nothing
        self.now += max(0, micros)

    @rule()
    def tick(self) -> None:
        self.budgets.tick(self.now)

    @precondition(lambda self: not self.held)
    @rule()
    def crash(self) -> None:
        fresh = Budgets(self.plan, self.now)
        rebuild(fresh, encode_state(self.budgets), [], self.now)
        self.budgets = fresh

    @invariant()
    def balances_equal_the_model(self) -> None:
        level = self.budgets.tenants.get("a")
        if level:
            level.refill(self.now)
            assert Fraction(level.balance, MILLI_PER_TOKEN * GRAINS_PER_MILLI) == self.refill_model()
            assert level.open_requests == len(self.held)
            assert level.exposure == sum(h.max_cost - h.amount for h, _, _ in self.held) <= 120 * MILLI_PER_TOKEN
        else:
            assert self.refill_model() == 300
            assert not self.held

    @invariant()
    def charges_stay_within_burst_rate_and_one_debt(self) -> None:
        assert self.charged <= 300 + Fraction(10 * (self.now - self.start), S) + 120


TestMachine = BudgetMachine.TestCase
TestMachine.settings = hypothesis_settings(max_examples=60, stateful_step_count=40, deadline=None)
