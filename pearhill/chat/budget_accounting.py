"""Connects the chat front end to the budgets: reserves tokens for a request, measures its usage and charges for it.

Times are microseconds of the dispatcher's clock, except calendar times (`wall`), which are seconds since 1970.
"""

from __future__ import annotations

import pathlib
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from pearhill.budgets import AdmissionDecision, AdmissionStatus, Budgets, Plan, Reservation, Usage, charges
from pearhill.chat.answers import Answer
from pearhill.chat.budget_answers import rate_limit_headers, usage_report
from pearhill.chat.charge_journal import ChargeJournal
from pearhill.chat.errors import ReplicaErrorResponse
from pearhill.chat.meter import UsageMeter
from pearhill.chat.records import RunRecord
from pearhill.chat.schema.answers import UsageReport
from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.http1.messages import Headers

REJECTIONS_INTERVAL_US = 1_000_000  # a tenant and key get one charge for all rejections of an interval
JOURNAL_RETRY_AFTER_US = 1_000_000  # sent to clients while the journal cannot be written


@dataclass(frozen=True, slots=True)
class AccountingSettings:
    """Settings of one process's budgets.

    `folder` holds the journal of charges; with None, charges last only as long as the process. `uncounted_tokens` is
    the number of tokens that are served while the disk fails; with 0, every request is rejected during that time.
    """

    plan: Plan
    folder: pathlib.Path | None = None
    uncounted_tokens: int = 0


class SettlingClient:
    """The core's client for one request with a reservation: settles it, then forwards the outcome to the inner client.

    The reservation is settled exactly once, whatever the outcome.
    """

    def __init__(
        self,
        accounting: BudgetAccounting,
        reservation: Reservation,
        meter: UsageMeter,
        prompt_tokens: int,
        id: str,
        model: str,
        path: str,
        inner: Answer | RunRecord,
    ) -> None:
        self._accounting = accounting
        self._reservation = reservation
        self._meter = meter
        self._prompt_tokens = prompt_tokens
        self._id = id
        self._model = model
        self._path = path
        self._inner = inner

    def reject(self, retry_after: int) -> None:
        """Settle a request for which no attempt was made. `retry_after` is in microseconds."""
        try:
            self._settle(charges.REJECTED)
        finally:
            self._inner.reject(retry_after)

    def fail(self) -> None:
        """Settle a request that failed or reached its deadline."""
        try:
            self._settle(charges.FAILED)
        finally:
            self._inner.fail()

    def decline(self, response: ReplicaErrorResponse) -> None:
        """Settle a request whose replica answered that the request itself is at fault."""
        try:
            self._settle(charges.DECLINED)
        finally:
            self._inner.decline(response)

    async def forward(self, data: bytes) -> None:
        """Forward events of the replica's stream."""
        await self._inner.forward(data)

    def finish(self) -> None:
        """Settle a request whose answer is complete."""
        try:
            self._settle(charges.ANSWERED)
        finally:
            self._inner.finish()

    def abort(self) -> None:
        """Settle a request whose answer was truncated."""
        try:
            self._settle(charges.TRUNCATED)
        finally:
            self._inner.abort()

    def abandon(self) -> None:
        """Settle a request on whose way an exception was raised, unless that was done before."""
        try:
            self._settle(charges.FAILED)
        finally:
            self._inner.abandon()

    def has_disconnected(self) -> bool:
        """Returns whether the client has disconnected and no other client can request the answer."""
        return self._inner.has_disconnected()

    def has_unread_input(self) -> bool:
        """Returns whether bytes from the client wait to be read."""
        return self._inner.has_unread_input()

    def handle_disconnect(self) -> None:
        """Settle a request that ends because its client has disconnected."""
        self._settle(charges.DISCONNECTED)

    def _settle(self, outcome: str) -> None:
        usage = self._usage(outcome)
        self._accounting.settle(self._reservation, usage, outcome, self._id, self._model, self._path)

    def _usage(self, outcome: str) -> Usage | None:
        """Returns the tokens to charge, or None if the request was rejected before any part of it was executed."""
        meter = self._meter
        if meter.is_reported:
            return Usage(meter.prompt_tokens, meter.cached_tokens, meter.output_tokens)
        if meter.event_count:
            # The stream ended before the replica reported its usage, so that each event counts as one token.
            return Usage(self._prompt_tokens, 0, meter.event_count)
        return None if outcome == charges.REJECTED else Usage()


class BudgetAccounting:
    """Keeps the budgets of one process, with their journal, clock and timers."""

    def __init__(
        self,
        settings: AccountingSettings,
        deadlines: Deadlines,
        wall: Callable[[], int] = lambda: int(time.time()),
    ) -> None:
        self._settings = settings
        self._deadlines = deadlines
        self._wall = wall
        self._budgets = Budgets(settings.plan, deadlines.clock())
        self._journal = ChargeJournal(self._budgets, settings.uncounted_tokens)
        self._rejections: Counter[tuple[str, str]] = Counter()  # by tenant and key, not yet charged
        self._timers: dict[str, TimerKey] = {}

    def open(self) -> None:
        """Recover the balances and start the timers.

        Raises CorruptJournalError, OSError or ValueError if the balances cannot be recovered.
        """
        if self._settings.folder:
            self._journal.open(self._settings.folder, self._deadlines.clock())
        self._tick()
        self._charge_rejections_each_interval()

    def reconfigure(self, settings: AccountingSettings) -> None:
        """Apply new limits. A change of the folder takes effect at the next start."""
        self._settings = AccountingSettings(settings.plan, self._settings.folder, settings.uncounted_tokens)
        self._journal.uncounted_tokens = settings.uncounted_tokens
        self._budgets.reconfigure(settings.plan, self._deadlines.clock())

    def close(self) -> None:
        """Stop the timers, and write the charges that are not yet in the journal."""
        for key in self._timers.values():
            self._deadlines.cancel(key)
        self._timers = {}
        self._charge_rejections()
        self._journal.close()

    def admit(
        self, tenant: str, key: str, prompt_tokens: int, max_output_tokens: int, expected_tokens: int = 0
    ) -> AdmissionDecision:
        """Admit or reject a request, and reserve its tokens.

        `expected_tokens` is the number of output tokens that the client expects, or 0 if it is unknown.
        """
        if self._journal.rejects_requests:
            return AdmissionDecision(
                AdmissionStatus.OVER_LIMIT, JOURNAL_RETRY_AFTER_US, "the journal cannot be written"
            )
        now = self._deadlines.clock()
        return self._budgets.admit(now, self._wall(), tenant, key, prompt_tokens, max_output_tokens, expected_tokens)

    def record_rejection(self, tenant: str, key: str) -> None:
        """Count a request that was not admitted."""
        self._rejections[tenant, key] += 1

    def settle(
        self, reservation: Reservation, usage: Usage | None, outcome: str, id: str, model: str, path: str
    ) -> None:
        """Replace a reservation by a charge for the tokens used. Further calls for the same reservation do nothing."""
        if reservation.settled:
            return
        now = self._deadlines.clock()
        milli = self._budgets.settle(now, reservation, usage)
        usage = usage or Usage()
        self._journal.count_if_failing(milli)
        charge = charges.Charge(
            at=now,
            wall=self._wall(),
            id=id,
            tenant=reservation.tenant,
            key=reservation.key,
            account=reservation.account,
            model=model,
            path=path,
            outcome=outcome,
            prompt=usage.prompt,
            cached=usage.cached,
            answer=usage.answer,
            milli=milli,
            spare=reservation.is_burst,
            day=reservation.day,
            month=reservation.month,
            debt=max(0, milli - reservation.amount) // 1000,
        )
        self._journal.append(charge)

    def rate_limit_headers(self, tenant: str) -> Headers:
        """Returns the `x-ratelimit-*` headers of an answer to this tenant, from its current budget."""
        return rate_limit_headers(self._balance(tenant))

    def usage_report(self, tenant: str) -> UsageReport:
        """Returns the answer to `GET /v1/usage`."""
        return usage_report(tenant, self._balance(tenant))

    def log_top_tenants(self) -> None:
        """Log the tenants with the highest usage, for the operators on call."""
        top = {hitter.key: hitter.weight // 1000 for hitter in self._budgets.top_tenants()}
        logger.bind(top=top).info("budgets: top tenants {}", top)

    def _balance(self, tenant: str) -> dict[str, int]:
        return self._budgets.balance(self._deadlines.clock(), self._wall(), tenant)

    def _tick(self) -> None:
        next_due = self._budgets.tick(self._deadlines.clock())
        self._timers["tick"] = self._deadlines.schedule_at(next_due, self._tick)

    def _charge_rejections_each_interval(self) -> None:
        self._charge_rejections()
        next_due = self._deadlines.clock() + REJECTIONS_INTERVAL_US
        self._timers["rejections"] = self._deadlines.schedule_at(next_due, self._charge_rejections_each_interval)

    def _charge_rejections(self) -> None:
        """Append one charge for all rejections of a tenant and key.

        With one charge for each rejection, a tenant that sends requests without pause would fill the disk.
        """
        for (tenant, key), count in self._rejections.items():
            self._journal.append(self._rejections_charge(tenant, key, count))
        self._rejections.clear()

    def _rejections_charge(self, tenant: str, key: str, count: int) -> charges.Charge:
        now = self._deadlines.clock()
        wall = self._wall()
        day, month = self._budgets.current_period(wall)
        return charges.Charge(
            at=now,
            wall=wall,
            id="",
            tenant=tenant,
            key=key,
            account=self._settings.plan.tenant(tenant).account,
            model="",
            path="",
            outcome=charges.REJECTED,
            prompt=0,
            cached=0,
            answer=0,
            milli=0,
            spare=False,
            day=day,
            month=month,
            count=count,
        )
