"""One attempt on its connection: connects, writes the request in time, forwards the response, determines the outcome.

The dialect defines what is sent and when a response is complete. Whether the attempt may have executed, and whether the
replica may hold state for it, is determined here for all dialects.
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
from pearhill.net.memory_limit import MEMORY, MemoryLimit
from pearhill.net.partial_response import PartialResponse
from pearhill.net.pool import MAX_CONNECT_US, Pool
from pearhill.net.pooled_connection import PooledConnection
from pearhill.net.releases import Releases
from pearhill.net.ticks import pause
from pearhill.routing.outcomes import NOT_EXECUTED, Outcome

STALL_TIMEOUT_US = 4_500_000  # of a stream without output, which is then aborted: no client may wait 5 s for output
# Connect timeout while replicas hold state. The router starts no connect after the time limit of that state, and a
# connect may end at most 350 ms after the limit.
HELD_CONNECT_TIMEOUT_US = 250_000
SHORTAGE_RETRY_US = 20_000  # between two tries to connect while the system lacks a resource
UNREAD_INPUT_RECHECK_US = 5_000  # between two checks whether the client's input is read
LAST_CHUNK_TIMEOUT_US = 1_000_000  # for the last chunk of a response that is complete without it
MAX_BODY_BYTES = 64 * 1024  # of a response that is not a stream


class ExchangeOwner(Protocol):
    """The part of a backend that its attempts use."""

    pool: Pool
    dialect: Dialect
    addresses: dict[int, Address]
    releases: Releases
    response_memory: MemoryLimit

    def forget(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended."""

    def record_malformed_response(self, replica: int, why: str) -> None:
        """Count a response that makes no sense, and log the first one of each replica."""


class AttemptExchange:
    """One attempt and the exchange that carries it on a connection."""

    max_chunk = MAX_CHUNK

    def __init__(self, owner: ExchangeOwner, attempt: Attempt) -> None:
        self.owner = owner
        self.attempt = attempt
        self.request_id = attempt.request.id
        self.connection: PooledConnection | None = None
        self.may_have_sent = False  # the replica may have the complete request
        self.status = 0
        self.not_started = False  # the replica has reported that it did not execute the request
        self.headers: Mapping[str, str] = {}
        self._partial = PartialResponse(owner.response_memory, self._give_up_partial)
        self.forwarding = False  # an event is being forwarded, maybe to a slow client
        self.body = bytearray()
        self.stream = owner.dialect.stream(attempt.request.payload)
        self._stall_timer: TimerKey | None = None
        self._send_timer: TimerKey | None = None
        if attempt.send_before:
            self._send_timer = owner.pool.deadlines.schedule_at(attempt.send_before, self._send_overdue, self.fail)
        self.task: asyncio.Task[None] | None = owner.pool.spawn(self._run())

    # The request.

    async def _run(self) -> None:
        """Send the request. An exception ends the attempt."""
        try:
            await self._send_request()
        except Exception as error:
            logger.exception("an attempt failed while its request was sent")
            self.fail(error)

    async def _send_request(self) -> None:
        """Get a connection and write the request on it."""
        attempt = self.attempt
        address = self.owner.addresses.get(attempt.replica)
        try:
            if address is None:
                raise ConnectError("the replica has no address")
            if not await self._is_client_input_read():
                return self._finish(Outcome.WITHDRAWN)
            if not await self.owner.releases.may_replace(attempt.request):
                return self._finish(Outcome.NOT_SENT)
            connection = self.connection = await self._connect(address)
        except PoolExhaustedError:  # Counted as the replica's failure, a flood here would eject every replica in turn.
            return self._finish(Outcome.NOT_SENT)
        except ConnectError:
            return self._finish(Outcome.UNREACHABLE)
        if not attempt.may_start():
            return
        self.owner.releases.attempt_starts(attempt.request, attempt.replica)  # else two would be in flight
        self.may_have_sent = True
        try:
            await connection.send(self, self._build_request)
        except OSError:  # its last byte was never written
            connection.close("send-failed")
            return self._finish(Outcome.UNREACHABLE)
        self.owner.pool.counters.written += 1
        if connection.closed:
            self._lost()

    async def _is_client_input_read(self) -> bool:
        """Wait until the input of the client is read, for as long as a connect may take. A client that has sent more
        than the system buffers and has closed its connection counts as connected until then. Clients that send one
        request at a time have no unread input."""
        deadlines = self.owner.pool.deadlines
        wait_until = deadlines.clock() + self.owner.pool.connect_timeout
        while not self.attempt.is_input_read():
            if deadlines.clock() >= wait_until:
                return False
            await pause(deadlines, UNREAD_INPUT_RECHECK_US)
        return True

    def _build_request(self) -> bytes:
        """Build the request, with the time that is left now."""
        attempt = self.attempt
        remaining_ms = max(1, (attempt.deadline - self.owner.pool.deadlines.clock()) // 1000)
        return self.owner.dialect.request(attempt.request.payload, attempt.replica, remaining_ms)

    async def _connect(self, address: Address) -> PooledConnection:
        """Connect to the replica. A resource shortage of the system may be over soon, so it costs time, as a slow
        connect does, but no attempt. Raises ConnectError if no connection is established in time."""
        pool = self.owner.pool
        retry_until = pool.deadlines.clock() + pool.connect_timeout
        while True:
            connect_within = HELD_CONNECT_TIMEOUT_US if self.attempt.request.state_holders else MAX_CONNECT_US
            try:
                return await pool.acquire(address, connect_within=connect_within)
            except SystemResourceError:
                if pool.deadlines.clock() >= retry_until:
                    raise
            await pause(pool.deadlines, SHORTAGE_RETRY_US)

    def _send_overdue(self) -> None:
        """Withdraw an attempt that was not written in time. Its connection may be established long after the replica
        was chosen, and a replica that reads slowly receives the last byte, and executes the request, long after the
        first byte was sent."""
        if not (self.connection and self.connection.sent):
            self.attempt.withdraw()

    # The response.

    async def handle(self, event: Event) -> None:
        """Handle one event of the response."""
        if type(event) is Data and self.status == 200:  # nearly all events
            return await self._forward(event.data)
        match event:
            case Head(status, headers):
                self._head_received(status, headers)
            case Data(data):
                self.body += data[: MAX_BODY_BYTES - len(self.body)]
            case End(_, clean):
                self._response_ended(clean)
            case Lost():
                # While the request is being written, only `_run` can determine whether its last byte was sent.
                if self.connection and not self.connection.writing:
                    self._lost()

    def _lost(self) -> None:
        """End the attempt, whose connection has ended without a complete response."""
        self.owner.releases.attempt_lost(self.attempt)
        self._finish(Outcome.TRUNCATED, may_hold_state=True)

    def _head_received(self, status: int, headers: Mapping[str, str]) -> None:
        self.status = status
        self.not_started = headers.get("not-started") == "1"
        self.headers = headers
        if status == 200 and not self.owner.dialect.is_stream(headers):
            self._abort("no-stream", Outcome.ERROR, f"unexpected content type {headers.get('content-type')}")

    async def _forward(self, data: bytes) -> None:
        """Forward the complete events of the stream, and end the attempt once the stream is complete."""
        deadlines = self.owner.pool.deadlines
        attempt = self.attempt
        try:
            ready = self.stream.feed(data)
        except MalformedResponseError as error:
            self.owner.record_malformed_response(attempt.replica, str(error))
            return self._abort("malformed", self._broken_outcome())
        self._partial.record(self.stream.buffered_bytes)
        if ready and not attempt.ended:
            # Only forwarded events count as progress: bytes that never complete an event could arrive for ever.
            if not attempt.start_response():
                return
            self.forwarding = True
            await attempt.request.client.forward(ready)
            # The stall timeout starts here, so that a slow client is not mistaken for a silent replica.
            self.forwarding = False
            attempt.last_forwarded_at = deadlines.clock()
            if self._stall_timer is None and not attempt.ended:
                self._stall_timer = deadlines.schedule_at(
                    attempt.last_forwarded_at + STALL_TIMEOUT_US, self._check_stall, self.fail
                )
        if self.stream.complete and not attempt.ended:
            self._finish(Outcome.ANSWERED, self.stream.cached_tokens)
            deadlines.schedule_after(LAST_CHUNK_TIMEOUT_US, self._last_chunk_overdue)

    def _check_stall(self) -> None:
        """Abort the stream if it has stalled. The stream's one deadline is postponed only when it is due, because
        postponing it for each event would cost more than the event."""
        self._stall_timer = None
        if self.attempt.ended or self.forwarding:
            return
        deadlines = self.owner.pool.deadlines
        stalled_at = self.attempt.last_forwarded_at + STALL_TIMEOUT_US
        if deadlines.clock() >= stalled_at:
            return self._abort("stalled", Outcome.TRUNCATED)
        self._stall_timer = deadlines.schedule_at(stalled_at, self._check_stall, self.fail)

    def _last_chunk_overdue(self) -> None:
        """Close the connection if the last chunk is missing, which would otherwise occupy the connection for ever."""
        if self.connection and self.connection.exchange is self:
            self.connection.close("no-last-chunk")

    def _response_ended(self, clean: bool) -> None:
        """Determine the outcome. A response is not `clean` if another response follows it, or if its length differs
        from the announced one: its content is then not trusted."""
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
        """The outcome of a stream that cannot be completed any more."""
        return Outcome.TRUNCATED if self.attempt.response_started else Outcome.ERROR

    def _prefill_cached_tokens(self) -> int:
        """Return the cached prompt tokens that the body of a 202 reports, or 0 if it reports none."""
        try:
            return int(json.loads(self.body)["cached_tokens"])
        except (ValueError, KeyError, TypeError):
            return 0

    def record_partial_chunk(self, size: int) -> None:
        """Count `size` bytes of an incomplete chunk, beside those of an incomplete event."""
        if not self.attempt.ended:
            self._partial.record(size + self.stream.buffered_bytes)

    def _give_up_partial(self) -> None:
        detail = f"{self._partial.held_bytes} bytes of a chunk or event without its end"
        self._abort(MEMORY, self._broken_outcome(), detail)

    # End of the attempt.

    def fail(self, error: Exception) -> None:
        """End the attempt after an exception, as one whose connection was lost. If that fails too, end its request."""
        if self.connection:
            self.connection.close("fault")
        try:
            if not self.attempt.ended:
                self._lost()
        except Exception:
            logger.exception("an attempt could not be ended after an exception")
        finally:
            if not self.attempt.ended:
                self.attempt.abandon(error)

    def _abort(self, reason: str, outcome: Outcome, detail: str = "") -> None:
        """Close the connection and end the attempt. Otherwise the client would wait for ever for a machine that failed
        during the stream and sends nothing, or for one that sends malformed data without end."""
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
        """End the attempt with this outcome. `may_hold_state` is set if the replica may hold state for the request."""
        self._free_resources()
        self.owner.forget(self.attempt)
        self.attempt.end(outcome, cached_tokens, may_hold_state, retry_after, replica_error)

    def _free_resources(self) -> None:
        self._partial.release()
        deadlines = self.owner.pool.deadlines
        deadlines.cancel(self._stall_timer)
        deadlines.cancel(self._send_timer)

    def cancel(self) -> bool:
        """Cancel the attempt. Returns whether the replica may have the complete request."""
        self._free_resources()
        if self.task:
            self.task.cancel()
            # A cancelled task refers to this exchange and the request's body until the garbage collector runs.
            self.task = None
        self._give_up_connection()
        return self.may_have_sent

    def _give_up_connection(self) -> None:
        """Give up the attempt on its connection, and let the releases follow it if it may leave state at the replica.

        Once a fetch of held state is given up, the time limit for the release of that state starts, and no release
        would arrive in time if the holders are unreachable. While the connection stays open, the attempt counts as in
        flight. An attempt before which no state is held has to be given up at once: its request may be rejected, and
        nothing that may be executed may be in flight at that time."""
        connection = self.connection
        releases = self.owner.releases
        if connection is None or connection.closed:
            return
        if not connection.sent or connection.exchange is not self or self.attempt.response_started:
            connection.close("called-off")
            if self.may_have_sent and not self.attempt.response_started:
                releases.attempt_lost(self.attempt)
        elif self.attempt.request.state_holders:
            releases.keep_open(self.attempt, connection)
        else:
            releases.give_up(self.attempt, connection)
