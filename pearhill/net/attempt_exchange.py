"""One attempt on its connection: opened, written within its time, its response forwarded, and its outcome settled.

What is sent and what makes a response complete is the dialect's matter; whether the attempt may have executed and what
it left behind is settled here for all dialects.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Protocol

from loguru import logger

from pearhill.core.deadlines import TimerKey
from pearhill.core.request import Attempt
from pearhill.http1.client import MAX_CHUNK, Data, End, Event, Head, Lost
from pearhill.net.address import Address
from pearhill.net.dialect import Dialect
from pearhill.net.errors import ConnectError, MalformedResponseError, PoolExhaustedError, SystemResourceError
from pearhill.net.pool import MAX_CONNECT_US, Pool
from pearhill.net.pooled_connection import PooledConnection
from pearhill.net.releases import Releases
from pearhill.net.ticks import pause
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome

STALL_TIMEOUT_US = 4_500_000  # a stream that is silent for so long is given up: its client may not wait 5 s for nothing
# For a connection while a state is held: the Router begins none after its time, and 350 ms more are allowed.
HELD_CONNECT_TIMEOUT_US = 250_000
SHORTAGE_RETRY_US = 20_000  # between two tries of a connection while the system is short of something
LAST_CHUNK_TIMEOUT_US = 1_000_000  # for the last chunk of a response that is complete without it
MAX_BODY_BYTES = 64 * 1024  # of a response that is no stream


class ExchangeOwner(Protocol):
    """What makes attempts, as far as each of them needs it."""

    pool: Pool
    dialect: Dialect
    addresses: dict[int, Address]
    releases: Releases

    def forget(self, attempt: Attempt) -> None:
        """The attempt has ended."""


class AttemptExchange:
    """One attempt on its connection."""

    max_chunk = MAX_CHUNK

    def __init__(self, owner: ExchangeOwner, attempt: Attempt) -> None:
        self.owner = owner
        self.attempt = attempt
        self.request_id = attempt.request.id
        self.connection: PooledConnection | None = None
        self.may_have_sent = False  # from here on the replica may have the whole request
        self.status = 0
        self.not_started = False  # the replica has reported that it did not execute the request
        self.headers: Mapping[str, str] = {}
        self.forwarding = False  # events wait for a slow client
        self.body = bytearray()
        self.stream = owner.dialect.stream(attempt.request.payload)
        self._stall_timer: TimerKey | None = None
        self._send_timer: TimerKey | None = None
        if attempt.send_before:
            self._send_timer = owner.pool.deadlines.schedule_at(attempt.send_before, self._send_overdue)
        self.task: asyncio.Task[None] | None = owner.pool.spawn(self._run())

    # The request.

    async def _run(self) -> None:
        """Get a connection and write the request on it."""
        attempt = self.attempt
        address = self.owner.addresses.get(attempt.replica)
        try:
            if address is None:
                raise ConnectError("the replica has no address")
            if not await self.owner.releases.may_replace(attempt.request):
                return self._finish(Outcome.NOT_SENT)
            connection = self.connection = await self._connect(address)
        except PoolExhaustedError:  # Taken for the replica's failure, a flood here would eject every replica in turn.
            return self._finish(Outcome.NOT_SENT)
        except ConnectError:
            return self._finish(Outcome.UNREACHABLE)
        if not attempt.may_start():
            return
        self.owner.releases.close_discarded(attempt.request)  # else two attempts would be in flight
        self.may_have_sent = True
        try:
            await connection.send(self, self._build_request)
        except OSError:  # its last byte was never written
            connection.close("send-failed")
            return self._finish(Outcome.UNREACHABLE)
        self.owner.pool.counters.written += 1
        if connection.closed:
            self._finish(Outcome.TRUNCATED, may_hold_state=True)

    def _build_request(self) -> bytes:
        """What is written, with the time that is left now."""
        attempt = self.attempt
        remaining_ms = max(1, (attempt.deadline - self.owner.pool.deadlines.clock()) // 1000)
        return self.owner.dialect.request(attempt.request.payload, attempt.replica, remaining_ms)

    async def _connect(self, address: Address) -> PooledConnection:
        """A connection to the replica. A shortage of the system may be over in a moment: what is spent on it is time,
        as on a connection that comes up late, and not an attempt. ConnectError: none came up in that time."""
        pool = self.owner.pool
        give_up_at = pool.deadlines.clock() + pool.connect_timeout
        while True:
            connect_within = HELD_CONNECT_TIMEOUT_US if self.attempt.request.state_holders else MAX_CONNECT_US
            try:
                return await pool.acquire(address, connect_within=connect_within)
            except SystemResourceError:
                if pool.deadlines.clock() >= give_up_at:
                    raise
            await pause(pool.deadlines, SHORTAGE_RETRY_US)

    def _send_overdue(self) -> None:
        """Withdraw an attempt that was not written in time. Its connection may come up long after the choice, and a
        replica that reads slowly has the last byte long after the first, and executes the request only then."""
        if not (self.connection and self.connection.sent):
            self.attempt.withdraw()

    # The response.

    async def handle(self, event: Event) -> None:
        """Take one piece of the response."""
        if type(event) is Data and self.status == 200:  # nearly all events
            return await self._forward(event.data)
        match event:
            case Head(status, headers):
                self._started(status, headers)
            case Data(data):
                self.body += data[: MAX_BODY_BYTES - len(self.body)]
            case End(_, clean):
                self._response_ended(clean)
            case Lost():
                # While the request is being written only the writer knows whether its last byte went out.
                if self.connection and not self.connection.writing:
                    self._finish(Outcome.TRUNCATED, may_hold_state=True)

    def _started(self, status: int, headers: Mapping[str, str]) -> None:
        self.status = status
        self.not_started = headers.get("not-started") == "1"
        self.headers = headers
        if status == 200 and not self.owner.dialect.is_stream(headers):
            self._give_up("no-stream", Outcome.ERROR, f"an answer of type {headers.get('content-type')}")

    async def _forward(self, data: bytes) -> None:
        """Forward what of the stream is complete, and end the attempt with the stream."""
        deadlines = self.owner.pool.deadlines
        attempt = self.attempt
        try:
            ready = self.stream.feed(data)
        except MalformedResponseError as error:
            return self._give_up("malformed", self._broken_outcome(), str(error))
        if ready and not attempt.ended:
            # Only what is forwarded shows progress; bytes that never make an event could trickle for ever.
            if not attempt.start_response():
                return
            self.forwarding = True
            await attempt.request.client.forward(ready)
            # Counted from here, so a slow client is not taken for a silent replica.
            self.forwarding = False
            attempt.last_forwarded_at = deadlines.clock()
            if self._stall_timer is None and not attempt.ended:
                self._stall_timer = deadlines.schedule_at(
                    attempt.last_forwarded_at + STALL_TIMEOUT_US, self._check_stall
                )
        if self.stream.complete and not attempt.ended:
            self._finish(Outcome.ANSWERED, self.stream.cached_tokens)
            deadlines.schedule_after(LAST_CHUNK_TIMEOUT_US, self._last_chunk_overdue)

    def _check_stall(self) -> None:
        """One deadline a stream, moved on when it is due: moved by each event it would cost more than the event."""
        self._stall_timer = None
        if self.attempt.ended or self.forwarding:
            return
        deadlines = self.owner.pool.deadlines
        stalled_at = self.attempt.last_forwarded_at + STALL_TIMEOUT_US
        if deadlines.clock() >= stalled_at:
            return self._give_up("stalled", Outcome.TRUNCATED)
        self._stall_timer = deadlines.schedule_at(stalled_at, self._check_stall)

    def _last_chunk_overdue(self) -> None:
        """A replica that never sends the last chunk would occupy this connection for good."""
        if self.connection and self.connection.exchange is self:
            self.connection.close("no-last-chunk")

    def _response_ended(self, clean: bool) -> None:
        """Settle the outcome. A response that another one follows, or of another length than announced, is not `clean`:
        nothing in it can be believed."""
        if clean and self.status not in (200, 202):
            verdict = self.owner.dialect.verdict(self.status, self.headers, bytes(self.body))
            if verdict:
                return self._finish(
                    verdict.outcome,
                    may_hold_state=verdict.outcome not in NOT_EXECUTED,
                    retry_after=verdict.retry_after,
                    replica_error=verdict.replica_error,
                )
        if self.status == 200:
            self._stream_ended()
        elif self.status == 202:
            self._finish(Outcome.PREFILLED, self._prefill_cached_tokens(), may_hold_state=True)
        elif clean and self.status in (503, 504) and self.not_started:
            self._finish(Outcome.FULL)
        elif clean and self.status == 410 and self.not_started:
            self._finish(Outcome.STATE_LOST)
        else:
            self._finish(Outcome.ERROR, may_hold_state=True)

    def _stream_ended(self) -> None:
        complete = self.attempt.response_started and self.stream.may_end()
        self._finish(Outcome.ANSWERED if complete else self._broken_outcome(), self.stream.cached_tokens)

    def _broken_outcome(self) -> Outcome:
        """The outcome of a stream that is not complete and will not be."""
        return Outcome.TRUNCATED if self.attempt.response_started else Outcome.ERROR

    def _prefill_cached_tokens(self) -> int:
        """Prompt tokens found cached, as the body of a 202 reports them; 0 where it does not."""
        try:
            return int(json.loads(self.body)["cached_tokens"])
        except (ValueError, KeyError, TypeError):
            return 0

    # The end.

    def _give_up(self, reason: str, outcome: Outcome, detail: str = "") -> None:
        """Close the connection and end the attempt. A machine that vanished in mid-stream sends nothing, and its client
        would wait for ever; one that sends nonsense may go on for as long."""
        if detail:
            replica = self.attempt.replica
            logger.warning("replica {replica}: {reason}: {why}", replica=replica, reason=reason, why=detail)
        if self.connection:
            self.connection.close(reason)
        self._finish(outcome)

    def _finish(
        self,
        outcome: Outcome,
        cached_tokens: int = 0,
        may_hold_state: bool = False,
        retry_after: int = 0,
        replica_error: Any = None,
    ) -> None:
        """End the attempt with this outcome. `may_hold_state`: the replica may hold state for the request."""
        self._cancel_timers()
        self.owner.forget(self.attempt)
        self.attempt.end(outcome, cached_tokens, may_hold_state, retry_after, replica_error)

    def _cancel_timers(self) -> None:
        deadlines = self.owner.pool.deadlines
        deadlines.cancel(self._stall_timer)
        deadlines.cancel(self._send_timer)

    def cancel(self) -> bool:
        """Give the attempt up. Returns whether the replica may have the whole request."""
        self._cancel_timers()
        if self.task:
            self.task.cancel()
            self.task = None  # Cancelled, it holds this exchange and its request's body until the collector comes.
        connection = self.connection
        if connection and not connection.closed:
            if self._fetches_held_state(connection):
                self.owner.releases.keep_open(self.attempt.request, connection)
            else:
                connection.close("called-off")
        return self.may_have_sent

    def _fetches_held_state(self, connection: PooledConnection) -> bool:
        """Whether the attempt was sent for state that replicas hold. Once it ends, the time to release that state runs,
        and the replicas that hold it may be cut off: no release would reach them in time. While the connection is open
        the attempt is in flight. A prefill, before which nothing is held, has to be over: its request may be rejected,
        and nothing that may be executed may be in flight then."""
        return bool(
            self.attempt.request.state_holders
            and connection.sent
            and connection.exchange is self
            and not self.attempt.response_started
        )
