"""Between the chat front and the budgets: what a request is asked to reserve, what it is seen to use, and where its
charge goes."""

from __future__ import annotations

import asyncio
import pathlib
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from pearhill.budgets import AdmissionDecision, AdmissionStatus, Budgets, Plan, Reservation, Usage
from pearhill.budgets import charges as c
from pearhill.chat.answers import Answer
from pearhill.chat.errors import RATE, ApiError, Said
from pearhill.chat.meter import Meter
from pearhill.chat.records import Record
from pearhill.chat.schema.answers import RequestsUsed, TokensUsed, UsageReport
from pearhill.core.deadlines import Deadlines, Key
from pearhill.durable.journal import Journal
from pearhill.durable.recovery import CorruptJournalError, recover
from pearhill.http1.messages import Headers

SNAPSHOT_EVERY = 10_000  # charges
REFUSALS_EVERY = 1_000_000  # microseconds over which refusals are summed up


@dataclass(frozen=True, slots=True)
class SpendingSetup:
    """`folder`: where charges are kept; none: they last as long as the process. `uncounted`: tokens that are served
    while the disk fails; 0: none, everything is refused then."""

    plan: Plan
    folder: pathlib.Path | None = None
    uncounted: int = 0


class Spender:
    """The core's client for one request with a budget: settles it, then passes the answer on. Settles once, however
    the request ends."""

    def __init__(
        self,
        desk: Desk,
        held: Reservation,
        meter: Meter,
        prompt: int,
        id: str,
        model: str,
        path: str,
        inner: Answer | Record,
    ) -> None:
        self._desk, self._held, self._meter, self._prompt = desk, held, meter, prompt
        self._id, self._model, self._path, self.inner = id, model, path, inner

    def settle(self, outcome: str) -> None:
        meter = self._meter
        if meter.told:
            used: Usage | None = Usage(meter.prompt, meter.cached, meter.answer)
        elif meter.events:  # broken before its usage came: by what was seen, an event a token
            used = Usage(self._prompt, 0, meter.events)
        else:
            used = Usage() if outcome != c.REJECTED else None
        self._desk.settle(self._held, used, outcome, self._id, self._model, self._path)

    def reject(self, stay_away: int) -> None:
        self.settle(c.REJECTED)
        self.inner.reject(stay_away)

    def fail(self) -> None:
        self.settle(c.FAILED)
        self.inner.fail()

    def decline(self, said: Said) -> None:
        self.settle(c.DECLINED)
        self.inner.decline(said)

    async def forward(self, data: bytes) -> None:
        await self.inner.forward(data)

    def finish(self) -> None:
        self.settle(c.ANSWERED)
        self.inner.finish()

    def abort(self) -> None:
        self.settle(c.TRUNCATED)
        self.inner.abort()

    def has_disconnected(self) -> bool:
        return self.inner.has_disconnected()

    def left(self) -> None:
        """Its client has gone, and nobody sees it through."""
        self.settle(c.DISCONNECTED)


def duration(micros: int) -> str:
    """As the rate-limit headers have it: `12ms`, `1.5s`, `6m0s`."""
    if micros < 1_000_000:
        return f"{-(-micros // 1000)}ms"
    minutes, left = divmod(micros, 60_000_000)
    seconds = f"{left / 1e6:.3f}".rstrip("0").rstrip(".")
    return f"{minutes}m{seconds}s" if minutes else f"{seconds}s"


class Desk:
    """The budgets of one process, their journal and their clock."""

    def __init__(
        self,
        setup: SpendingSetup,
        deadlines: Deadlines,
        wall: Callable[[], int] = lambda: int(time.time()),
    ) -> None:
        self.setup, self._deadlines, self._wall = setup, deadlines, wall
        self.budgets = Budgets(setup.plan, deadlines.clock())
        self.journal: Journal | None = None
        self.failing, self.uncounted = False, 0  # the disk fails; milli served meanwhile
        self._refused: Counter[tuple[str, str]] = Counter()
        self._since_snapshot = 0
        self._timers: dict[str, Key] = {}

    def open(self) -> None:
        """Balances from the journal. Corrupt, OSError, ValueError: they cannot be had."""
        if folder := self.setup.folder:
            found = recover(folder)
            count = c.rebuild(self.budgets, found.state, (f.body for f in found.frames), self._deadlines.clock())
            logger.info(
                "budgets: {count} charges replayed behind snapshot {snapshot}, {cut} torn bytes cut",
                count=count,
                snapshot=found.state_seq,
                cut=found.torn_bytes,
            )
            loop = asyncio.get_running_loop()

            def told(error: OSError | None) -> None:
                loop.call_soon_threadsafe(self._disk, error)

            self.journal = Journal(folder, found.seq, lambda seq: None, told)
        self._tick()
        self._sum_up()

    def _disk(self, error: OSError | None) -> None:
        self.failing = error is not None
        if error is not None:
            logger.error(
                "budgets: the journal cannot be written: {error}; {mode}",
                error=str(error),
                mode=f"{self.setup.uncounted} tokens are served uncounted"
                if self.setup.uncounted
                else "requests are refused",
            )
        else:
            logger.warning(
                "budgets: the journal works again; {milli} thousandths of a token waited for it", milli=self.uncounted
            )
            self.uncounted = 0

    def _tick(self) -> None:
        self._timer("tick", self.budgets.tick(self._deadlines.clock()), self._tick)

    def _timer(self, name: str, at: int, callback: Callable[[], None]) -> None:
        self._timers[name] = self._deadlines.at(at, callback)

    def _sum_up(self) -> None:
        self._put_refused()
        self._timer("refusals", self._deadlines.clock() + REFUSALS_EVERY, self._sum_up)

    def _put_refused(self) -> None:
        """Danger: a tenant that hammers would fill the disk with its refusals, one by one."""
        for (tenant, key), count in self._refused.items():
            now, wall = self._deadlines.clock(), self._wall()
            day, month = self.budgets.current_period(wall)
            self._put(
                c.Charge(
                    now,
                    wall,
                    "",
                    tenant,
                    key,
                    self.setup.plan.tenant(tenant).account,
                    "",
                    "",
                    c.REJECTED,
                    0,
                    0,
                    0,
                    0,
                    False,
                    day,
                    month,
                    0,
                    count,
                )
            )
        self._refused.clear()

    # For the front.

    def admit(self, tenant: str, key: str, prompt: int, most: int, hint: int = 0) -> AdmissionDecision:
        if self.failing and self.uncounted >= self.setup.uncounted * 1000:
            return AdmissionDecision(AdmissionStatus.OVER_LIMIT, 1_000_000, "the journal cannot be written")
        return self.budgets.admit(self._deadlines.clock(), self._wall(), tenant, key, prompt, most, hint)

    def refused(self, tenant: str, key: str) -> None:
        self._refused[tenant, key] += 1

    def spender(
        self, held: Reservation, meter: Meter, prompt: int, id: str, model: str, path: str, inner: Answer | Record
    ) -> Spender:
        return Spender(self, held, meter, prompt, id, model, path, inner)

    def settle(self, held: Reservation, used: Usage | None, outcome: str, id: str, model: str, path: str) -> None:
        if held.settled:
            return
        now = self._deadlines.clock()
        milli = self.budgets.settle(now, held, used)
        used = used or Usage()
        if self.failing:
            self.uncounted += milli
        self._put(
            c.Charge(
                now,
                self._wall(),
                id,
                held.tenant,
                held.key,
                held.account,
                model,
                path,
                outcome,
                used.prompt,
                used.cached,
                used.answer,
                milli,
                held.is_burst,
                held.day,
                held.month,
                max(0, milli - held.amount) // 1000,
            )
        )

    def _put(self, charge: c.Charge) -> None:
        if self.journal is None:
            return
        try:
            self.journal.append(c.encode_charge(charge))
        except BufferError:
            # Nothing is lost without a word: what the journal cannot take stands in the log.
            logger.error("budgets: a charge could not be kept: {charge}", charge=repr(charge))
            return
        self._since_snapshot += 1
        if self._since_snapshot >= SNAPSHOT_EVERY:
            self._since_snapshot = 0
            self.journal.snapshot(c.encode_state(self.budgets))

    def headers(self, tenant: str) -> Headers:
        """What every answer tells a client of its budget."""
        told = self.budgets.balance(self._deadlines.clock(), self._wall(), tenant)
        made = []
        if told["limit_requests"]:
            made += [
                ("x-ratelimit-limit-requests", str(told["limit_requests"])),
                ("x-ratelimit-remaining-requests", str(told["remaining_requests"])),
                ("x-ratelimit-reset-requests", duration(1_000_000 if not told["remaining_requests"] else 0)),
            ]
        if told["limit_tokens"]:
            made += [
                ("x-ratelimit-limit-tokens", str(told["limit_tokens"])),
                ("x-ratelimit-remaining-tokens", str(told["remaining_tokens"])),
                ("x-ratelimit-reset-tokens", duration(told["reset_us"])),
            ]
        return made

    def usage(self, tenant: str) -> UsageReport:
        """The answer to GET /v1/usage."""
        told = self.budgets.balance(self._deadlines.clock(), self._wall(), tenant)
        return UsageReport(
            tenant,
            TokensUsed(
                told["day_tokens"],
                told["month_tokens"],
                told["day_limit"] or None,
                told["month_limit"] or None,
                told["debt_tokens"],
                told["remaining_tokens"] if told["limit_tokens"] else None,
            ),
            RequestsUsed(told["open_requests"], told["limit_requests"] or None),
        )

    def report(self) -> None:
        """Who hammers, for on-call."""
        top = {hitter.key: hitter.weight // 1000 for hitter in self.budgets.top_tenants()}
        logger.bind(top=top).info("budgets: top tenants {}", top)

    def reconfigure(self, setup: SpendingSetup) -> None:
        """Other limits; the folder stays until the next start."""
        self.setup = SpendingSetup(setup.plan, self.setup.folder, setup.uncounted)
        self.budgets.reconfigure(setup.plan, self._deadlines.clock())

    def close(self) -> None:
        for key in self._timers.values():
            self._deadlines.cancel(key)
        self._timers = {}
        if self.journal:
            self._put_refused()
            if self._since_snapshot:
                self.journal.snapshot(c.encode_state(self.budgets))
            if not self.journal.close():
                logger.error("budgets: not every charge could be written before the end")


def turned_away(standing: AdmissionDecision, headers: Headers = ()) -> ApiError:
    """The answer to a request that its budget does not let in."""
    if standing.quota_exhausted:
        return ApiError(
            429,
            f"The quota is used up ({standing.reason}); nothing was done.",
            "insufficient_quota",
            type="insufficient_quota",
            headers=headers,
        )
    return ApiError(
        429,
        f"The rate limit is reached ({standing.reason}); nothing was done.",
        "rate_limit_exceeded",
        type=RATE,
        headers=headers,
    )


__all__ = ["CorruptJournalError", "Desk", "Meter", "Spender", "SpendingSetup", "turned_away"]
