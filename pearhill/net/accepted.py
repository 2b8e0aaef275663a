"""A client's connection: answers its requests in order, and closes on a timeout, an error or a drain."""

from __future__ import annotations

import socket

from loguru import logger

from pearhill.http1 import messages
from pearhill.http1.handler import Pending
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.http1.response_writer import ResponseWriter
from pearhill.http1.server import Discarded, Rejected
from pearhill.net.client_socket import ClientSocket, ConnectionOwner
from pearhill.net.memory_limit import MEMORY
from pearhill.net.unread_input import UnreadInput, peek_unread_input
from pearhill.routing.permissions import ConnectionState, may_close

REQUEST_TIMEOUT_US = 2_000_000  # from a request's first byte until it has to be complete
# The timeout of the first request starts at most this long after the accept, so that the connection of a client that
# never completes a request is closed within the required 3 s.
MAX_FIRST_REQUEST_DELAY_US = 800_000
IDLE_TIMEOUT_US = 5_000_000  # between two requests
RECHECK_INTERVAL_US = 20_000  # between checks for unread input, after one failed


class AcceptedConnection(ClientSocket):
    """One client's connection. Each request gets a `ResponseWriter`, which uses it as its `Reply` until its end."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, peer: str, delayed_accept: bool = False) -> None:
        self.pending: Pending | None = None
        self.answering = False  # a request is being answered
        # Time of the accept, a partial request's first byte, or the last answer.
        self.state_since = owner.deadlines.clock()
        self._keep_alive = True  # the client allows reuse, and no error occurred
        self._close_after_next = False  # close after the next answer, whatever its request's headers say
        self._announced_close = False  # the current answer's headers announce the close
        super().__init__(owner, sock, peer, delayed_accept)
        self._set_timer()

    # State.

    @property
    def idle(self) -> bool:
        """Whether nothing is being read, answered or written."""
        return self.idle_or_reading and not self.intake.in_message

    @property
    def idle_or_reading(self) -> bool:
        """Whether nothing is being answered or written. A request may be partly read."""
        return not (self.answering or self.intake.waiting or self.output.unsent or self._is_writing)

    @property
    def state(self) -> ConnectionState:
        """The connection's current state."""
        if self.closed or not self.idle_or_reading:
            return ConnectionState.ANSWERING
        if self.last_answer_given:
            return ConnectionState.FINISHED
        if self.intake.in_message:
            return ConnectionState.FRAGMENTED_REQUEST if self.intake.fragmented else ConnectionState.PARTIAL_REQUEST
        return ConnectionState.IDLE if self.requests else ConnectionState.UNUSED

    @property
    def may_close(self) -> bool:
        """Whether the connection may be closed so that another can be accepted."""
        state = self.state
        unread = False
        if state in (ConnectionState.UNUSED, ConnectionState.IDLE, ConnectionState.PARTIAL_REQUEST):
            unread = peek_unread_input(self.sock) != UnreadInput.NONE
        return may_close(state, unread, self.owner.deadlines.clock() - self.state_since)

    @property
    def awaits_request(self) -> bool:
        """Whether the first request was not received yet, or a request is incomplete."""
        return self.intake.in_message or not self.requests

    # Memory of requests.

    @property
    def held_bytes(self) -> int:
        """The memory of the requests that were read, even in part, and are not answered."""
        return 0 if self.closed else self.intake.unanswered_bytes

    @property
    def discardable_bytes(self) -> int:
        """The memory of those that have not begun."""
        return 0 if self.closed else self.intake.discardable_bytes

    def discard_newest(self) -> None:
        """Discard the last request that has not begun, and reject it when its turn comes."""
        self.intake.discard_newest()
        if self.intake.waiting:  # else the timeout of an incomplete request would begin anew
            self._schedule_advance()

    # Reply.

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a complete answer."""
        self._send(messages.answer(status, headers, body, close=not self._stays_open()))
        self._answered()

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Reject input and close the connection, because the bytes that follow may belong to the rejected input."""
        self._keep_alive = False
        self._reason = f"rejected-{status}"
        self.answer(status, headers, body)

    def start(self, status: int, headers: Headers = ()) -> None:
        """Start a chunked answer. Its head is sent together with the first chunk."""
        self.output.append(messages.stream_head(status, headers, close=not self._stays_open()))

    async def write(self, data: bytes) -> None:
        """Send a chunk of the answer, and wait while too many bytes are unsent."""
        self._send(messages.chunk(data))
        await self.output.has_capacity.wait()

    def finish(self, last: bytes = b"") -> None:
        """Send these last bytes and the last chunk, which completes the answer."""
        last_piece = messages.chunk(last) if last else b""
        self._send(last_piece + messages.LAST_CHUNK)
        self._answered()

    def abort(self, last: bytes = b"") -> None:
        """Send these last bytes, and close the connection without sending the answer's last chunk."""
        if last:
            self._send(messages.chunk(last))
        self._keep_alive = False
        self._reason = "answer-broken"
        self._answered()  # the part of the answer that is already buffered is still sent

    def _stays_open(self) -> bool:
        """Whether the connection stays open after this answer. The answer's headers announce it to the client, so it is
        determined once for each answer. Requests that were already read behind this one are still answered in a drain
        or shutdown."""
        asked_to_end = (self.owner.draining or self._close_after_next) and not self.intake.waiting
        self._announced_close = not self._keep_alive or asked_to_end
        return not self._announced_close

    def _answered(self) -> None:
        """Handle the end of an answer: close the connection, or continue with the next request."""
        self.answering = False
        self.pending = None
        self.intake.end_answer()
        self.owner.request_memory.update(self)
        asked_to_end = (self._announced_close or self.owner.closing) and not self.intake.waiting
        if not self._keep_alive or asked_to_end:
            self.last_answer_given = True
            self._start_writer()
        elif self.intake.waiting:
            self._schedule_advance()
        else:
            self._advance()

    # Request handling.

    @property
    def _may_start_request(self) -> bool:
        """Whether a waiting request may be answered now. While too many bytes are unsent it has to wait: otherwise the
        answers to a client that sends requests and reads nothing would fill memory."""
        return not (self.answering or self.last_answer_given or self.closed) and self.output.has_capacity.is_set()

    def _advance(self) -> None:
        while self.intake.waiting and self._may_start_request:
            message = self.intake.take()
            self.answering = True
            if isinstance(message, Rejected):
                self._reject(message)
                break
            if isinstance(message, Discarded):
                self._reject_discarded(message)
            else:
                self._handle(message)
        if not self.answering:
            self.state_since = self.owner.deadlines.clock()
        self._set_timer()

    def _handle(self, message: RequestMessage) -> None:
        """Pass a request to the handler, which answers it now or later."""
        self.requests += 1
        self._keep_alive = message.keep_alive
        self._announced_close = False
        response = ResponseWriter(self)
        try:
            pending = self.owner.handler.handle(message, response)
        except Exception:
            # The client must get an answer even if the handler fails.
            logger.exception("a handler failed on {method} {path}", method=message.method, path=message.path)
            self.owner.counters.faults += 1
            if not response.ended:
                self._keep_alive = False
                response.answer(500)
            return
        if self.closed and pending:  # the client disconnected while the request was handled
            self._report_disconnect(pending)
        elif not response.ended:
            self.pending = pending

    def _reject_discarded(self, message: Discarded) -> None:
        self.requests += 1
        self._keep_alive = message.keep_alive
        self._announced_close = False
        self._reason = "rejected-503"
        self.owner.counters.record_refusal(MEMORY)
        self.answer(503, *self.owner.handler.overload_response())

    def _reject(self, message: Rejected) -> None:
        self.owner.counters.rejected += 1
        headers, body = self.owner.handler.rejection_response(message.status, message.reason)
        self.reject(message.status, headers, body)

    def reject_partial_request(self, reason: str) -> None:
        """Reject a partly read request, whose rest is not waited for. It was not executed."""
        self.intake.waiting.append(Rejected(503, reason))
        self._advance()

    def close_for_room(self) -> None:
        """Close the connection so that another can be accepted. `may_close` has to hold."""
        if self.state == ConnectionState.FRAGMENTED_REQUEST:
            self.reject_partial_request("too many open: trying again is harmless")
        self.close("room-needed")

    # Timeouts.

    def _set_timer(self) -> None:
        """Set the connection's only timer: for the rest of a partial request, or for the start of the next one. If each
        byte reset the timer, or only the first byte started it, a client that sends slowly or sends nothing would keep
        its connection for ever."""
        deadlines = self.owner.deadlines
        deadlines.cancel(self._timer)
        self._timer = None
        if self.closed or self.answering or self.last_answer_given or self.intake.waiting:
            return
        if self.awaits_request:
            self._timer = deadlines.schedule_at(
                self.state_since + REQUEST_TIMEOUT_US, self._request_overdue, self._close_after_fault
            )
        else:
            self._timer = deadlines.schedule_at(
                self.state_since + IDLE_TIMEOUT_US, lambda: self.close_unless_unread("idle"), self._close_after_fault
            )

    def _request_overdue(self) -> None:
        """Handle the request timeout: reject a partial request, or close the connection if no request was started."""
        if not self.intake.in_message:
            return self.close_unless_unread("silent")
        self.intake.waiting.append(Rejected(408, "the request did not arrive in time"))
        self._advance()

    # Input and close.

    def _feed(self, data: memoryview) -> None:
        """Parse bytes, and start the requests that they complete. The reader's own frame must not refer to a request:
        it would keep the last one in memory for as long as the client stays connected."""
        was_in_message = self.intake.in_message
        self.intake.feed(data, self.answering, self._send_continue)
        memory = self.owner.request_memory
        memory.update(self)
        memory.reclaim()
        if self.intake.fragmented and self.owner.full:
            self.close_for_room()
        elif self.intake.waiting:
            self._advance()
        elif self.intake.in_message != was_in_message:
            now = self.owner.deadlines.clock()
            self.state_since = now if self.requests else min(now, self.state_since + MAX_FIRST_REQUEST_DELAY_US)
            self._set_timer()

    def _send_continue(self) -> None:
        self._send(b"HTTP/1.1 100 Continue\r\n\r\n")

    def close_unless_unread(self, reason: str) -> None:
        """Close an idle connection, unless it has unread input: the answer to that request then closes it."""
        match peek_unread_input(self.sock):
            case UnreadInput.NONE:
                self.close(reason)
            case UnreadInput.SOME:
                self._close_after_next = True
                self.state_since = self.owner.deadlines.clock()
                self._set_timer()  # the unread bytes may not be a request
            case UnreadInput.UNKNOWN:
                deadlines = self.owner.deadlines
                deadlines.cancel(self._timer)
                self._timer = deadlines.schedule_after(
                    RECHECK_INTERVAL_US, lambda: self.close_unless_unread(reason), self._close_after_fault
                )

    def _on_closed(self) -> None:
        """Notify the handler that the client of the request being answered has disconnected."""
        self.owner.request_memory.update(self)
        pending = self.pending
        self.pending = None
        if pending:
            self._report_disconnect(pending)

    def _report_disconnect(self, pending: Pending) -> None:
        try:
            pending.handle_disconnect()
        except Exception:
            # The request ends at its next step, or at its deadline.
            logger.exception("a handler failed on the disconnect of a client")
            self.owner.counters.faults += 1
