"""One client's connection: its requests are answered one after the other, and it ends when it has to."""

from __future__ import annotations

import socket

from loguru import logger

from pearhill.http1 import messages
from pearhill.http1.handler import Pending
from pearhill.http1.messages import Headers, RequestMessage
from pearhill.http1.server import Rejected
from pearhill.net.client_socket import ClientSocket, ConnectionOwner
from pearhill.net.unread_input import UnreadInput, peek_unread_input
from pearhill.routing.permissions import ConnectionState, may_close

REQUEST_TIMEOUT_US = 2_000_000  # a request is complete by then, from its first byte
# The first one's time begins so long after its accept at the latest. Bad clients have to be ended within 3 s.
MAX_FIRST_REQUEST_DELAY_US = 800_000
IDLE_TIMEOUT_US = 5_000_000  # between two requests
RECHECK_INTERVAL_US = 20_000  # after a look for unread input that failed


class AcceptedConnection(ClientSocket):
    """One client's connection, and the Reply to the request that is being answered on it."""

    def __init__(self, owner: ConnectionOwner, sock: socket.socket, peer: str, delayed_accept: bool = False) -> None:
        self.pending: Pending | None = None
        self.answering = False  # a request has its turn
        self.since = owner.deadlines.clock()  # its accept, the first byte of what is being read, the last answer
        self._keep_alive = True  # its client lets it live on, and nothing on it has gone wrong
        self._close_after_next = False  # the next answer ends it, whatever its request's headers
        self._announced_close = False  # the client was notified that this answer is the last one
        super().__init__(owner, sock, peer, delayed_accept)
        self._set_timer()

    # What it is good for.

    @property
    def idle(self) -> bool:
        """Nothing is being read, answered or written."""
        return self.idle_but_reading and not self.intake.in_message

    @property
    def idle_but_reading(self) -> bool:
        """Nothing is being answered or written; a request may have begun."""
        return not (self.answering or self.intake.waiting or self.output.unsent or self._is_writing)

    @property
    def state(self) -> ConnectionState:
        """What it is good for now."""
        if self.closed or not self.idle_but_reading:
            return ConnectionState.ANSWERING
        if self.ending:
            return ConnectionState.FINISHED
        if self.intake.in_message:
            return ConnectionState.PARTIAL_REQUEST
        return ConnectionState.IDLE if self.requests else ConnectionState.UNUSED

    @property
    def may_close(self) -> bool:
        """Whether it may be ended so that another can be accepted."""
        state = self.state
        unread = False
        # A system call: only where it can matter.
        if state not in (ConnectionState.FINISHED, ConnectionState.ANSWERING):
            unread = peek_unread_input(self.sock) != UnreadInput.NONE
        return may_close(state, unread, self.owner.deadlines.clock() - self.since)

    @property
    def owes_a_request(self) -> bool:
        """No request was ever received on it, or a request has begun and is not complete."""
        return self.intake.in_message or not self.requests

    # Reply.

    def answer(self, status: int, headers: Headers = (), body: bytes = b"") -> None:
        """Send a complete answer."""
        self._put(messages.answer(status, headers, body, close=not self._stays_open()))
        self._answered()

    def reject(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer bad input and end the connection: what follows may be a part of that input."""
        self._keep_alive = False
        self._reason = f"rejected-{status}"
        self.answer(status, headers, body)

    def start(self, status: int, headers: Headers = ()) -> None:
        """Begin an answer in pieces; its head goes out with the first of them."""
        self.output.append(messages.stream_head(status, headers, close=not self._stays_open()))

    async def write(self, data: bytes) -> None:
        """Send a piece of the answer, and wait while too much of it is unsent."""
        self._put(messages.chunk(data))
        await self.output.has_capacity.wait()

    def finish(self, last: bytes = b"") -> None:
        """Send these last bytes and the end of the answer."""
        last_piece = messages.chunk(last) if last else b""
        self._put(last_piece + messages.LAST_CHUNK)
        self._answered()

    def abort(self, last: bytes = b"") -> None:
        """Send these last bytes and end the connection without the answer's last chunk."""
        if last:
            self._put(messages.chunk(last))
        self._keep_alive = False
        self._reason = "answer-broken"
        self._answered()  # what came of the answer still goes out

    def _stays_open(self) -> bool:
        """Whether the connection outlives this answer. The client is notified of it, hence it is settled once.
        Requests that were read behind it still get their answers, whatever requires the connection to end."""
        asked_to_end = (self.owner.draining or self._close_after_next) and not self.intake.waiting
        self._announced_close = not self._keep_alive or asked_to_end
        return not self._announced_close

    def _answered(self) -> None:
        """The request that had its turn has its answer: end the connection, or go on to the next request."""
        self.answering = False
        self.pending = None
        asked_to_end = (self._announced_close or self.owner.closing) and not self.intake.waiting
        if not self._keep_alive or asked_to_end:
            self.ending = True
            self._start_writer()
            return
        self._advance()

    # Requests, one after the other.

    def _advance(self) -> None:
        """Take up the next request, unless one is being answered."""
        while self.intake.waiting and not (self.answering or self.ending or self.closed):
            message = self.intake.waiting.popleft()
            self.answering = True
            if isinstance(message, Rejected):
                self._reject(message)
                break
            self._handle(message)
        if not self.answering:
            self.since = self.owner.deadlines.clock()
        self._set_timer()

    def _handle(self, message: RequestMessage) -> None:
        """Give one request to the handler, which answers it now or later."""
        self.requests += 1
        self._keep_alive = message.keep_alive
        self._announced_close = False
        number = self.requests
        try:
            pending = self.owner.handler.handle(message, self)
        except Exception:
            # A fault in a handler must not leave its client without an answer.
            logger.exception("a handler failed on {method} {path}", method=message.method, path=message.path)
            if self._is_answering(number):
                self._keep_alive = False
                self.answer(500)
            return
        if self.closed and pending:  # the client's end was seen while the request was handled
            pending.handle_disconnect()
        elif self._is_answering(number):
            self.pending = pending

    def _is_answering(self, number: int) -> bool:
        """Whether the request of this number still waits for its answer."""
        return self.answering and self.requests == number

    def _reject(self, message: Rejected) -> None:
        self.owner.counters.rejected += 1
        headers, body = self.owner.handler.rejected(message.status, message.why)
        self.reject(message.status, headers, body)

    def reject_partial_request(self) -> None:
        """The process ends before the rest of the request can be waited for. Nothing of it was executed."""
        self.intake.waiting.append(Rejected(503, "this process ends: trying again elsewhere is harmless"))
        self._advance()

    # Deadlines.

    def _set_timer(self) -> None:
        """One deadline a connection: for a half-sent request, or for the next one to begin. Were it set anew
        by each byte, or only by the first, a client that trickles or sends nothing would keep its place for good."""
        deadlines = self.owner.deadlines
        deadlines.cancel(self._timer)
        self._timer = None
        if self.closed or self.answering or self.ending:
            return
        if self.owes_a_request:
            self._timer = deadlines.schedule_at(self.since + REQUEST_TIMEOUT_US, self._request_overdue)
        else:
            self._timer = deadlines.schedule_at(self.since + IDLE_TIMEOUT_US, lambda: self.close_unless_unread("idle"))

    def _request_overdue(self) -> None:
        """The time for a request is over: its client has sent a part of it, or nothing at all."""
        if not self.intake.in_message:
            return self.close_unless_unread("silent")
        self.intake.waiting.append(Rejected(408, "the request did not arrive in time"))
        self._advance()

    # Requests that come, and the end.

    def _feed(self, data: memoryview) -> None:
        """Parse bytes, and take up the requests that they complete. No name of a request stands in the reader's own
        frame: that would keep the last one in memory for as long as its client stays."""
        was_in_message = self.intake.in_message
        self.intake.feed(data, self.answering, self._send_continue)
        if self.intake.waiting:
            self._advance()
        elif self.intake.in_message != was_in_message:
            now = self.owner.deadlines.clock()
            self.since = now if self.requests else min(now, self.since + MAX_FIRST_REQUEST_DELAY_US)
            self._set_timer()

    def _send_continue(self) -> None:
        self._put(b"HTTP/1.1 100 Continue\r\n\r\n")

    def close_unless_unread(self, reason: str) -> None:
        """End an idle connection, unless a request has come that was not read yet: its answer ends it then."""
        match peek_unread_input(self.sock):
            case UnreadInput.NONE:
                self.close(reason)
            case UnreadInput.SOME:
                self._close_after_next = True
                self.since = self.owner.deadlines.clock()
                self._set_timer()  # what came may be no request
            case UnreadInput.UNKNOWN:
                deadlines = self.owner.deadlines
                deadlines.cancel(self._timer)
                self._timer = deadlines.schedule_after(RECHECK_INTERVAL_US, lambda: self.close_unless_unread(reason))

    def _on_closed(self) -> None:
        """Notify the handler that the client of the request being answered has disconnected."""
        pending = self.pending
        self.pending = None
        if pending:
            pending.handle_disconnect()
