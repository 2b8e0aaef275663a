"""The rules for answers, checked against what clients observed. Times are in microseconds."""

from __future__ import annotations

from pearhill.lab.soak.endings import MAX_CROSSING_US
from pearhill.lab.soak.oracle_state import OracleState
from pearhill.lab.soak.records import NON_IDEMPOTENT, SECOND, RequestRecord, SentRequest

MAX_ANSWER_DELAY_US = 500_000  # after the client's deadline: an answer within it is worthless, a later one is lost
MAX_END_DELAY_US = SECOND  # within which the end of a stream is forwarded to the client
MIN_SILENCE_US = 4 * SECOND  # a dispatcher may end a stream after this silence: its client must not wait 5 s in vain
MAX_BAD_CLIENT_US = 3 * SECOND  # within which a client that sends a partial request gets an error or a close
# For which a dispatcher waits for the first complete request of a connection. Afterwards it may close the connection.
FIRST_REQUEST_WAIT_US = 1_900_000
REJECTION_STATUSES = (429, 503)


class ClientRules:
    """Checks what clients receive for the requests that they sent."""

    def __init__(self, state: OracleState) -> None:
        self._state = state

    def request_sent(
        self, at: int, request: str, dispatcher: str, idempotency: str, idempotency_window: int, timeout: int
    ) -> None:
        """Record that the last byte of a request was written.

        A request whose id is known already is the same request, sent again.
        """
        if record := self._state.requests.get(request):
            self._state.exposure["sent once more"] += 1
            record.sent.append(SentRequest(dispatcher, at))
            record.note(at, f"sent again, to {dispatcher}")
        else:
            self._state.requests[request] = RequestRecord(
                idempotency, idempotency_window, timeout, [SentRequest(dispatcher, at)]
            )
        self._state.open_requests.add(request)
        if self.is_shutting_down(dispatcher):
            self._state.exposure["written after SIGTERM"] += 1

    def is_shutting_down(self, dispatcher: str) -> bool:
        """Returns whether the dispatcher was sent SIGTERM and was not killed yet."""
        last = self._state.process_ends.last(dispatcher)
        return last is not None and bool(last.terminated_at) and not last.killed_at

    def client_closed(self, at: int, request: str) -> None:
        """Record that the client has closed its connection or no longer waits for the answer."""
        record = self._state.requests[request]
        if not record.answered_at:
            self._state.exposure["clients that left before an answer"] += 1
        record.closed_at = record.closed_at or at
        self._request_ended(at, request)
        record.note(at, "client closed")

    def _request_ended(self, at: int, request: str) -> None:
        record = self._state.requests[request]
        record.ended_at = record.ended_at or at
        self._state.open_requests.discard(request)

    def pipelined(self, request: str, previous: str) -> None:
        """Record that a request was sent behind another one on the same connection, whose answer comes first."""
        self._state.requests[request].pipelined_behind = previous

    def note(self, at: int, request: str, what: str) -> None:
        """Add a line to the request's trace; no rule uses it."""
        self._state.requests[request].note(at, what)

    def answer_started(self, at: int, request: str, status: int) -> None:
        """Record the first byte of the final answer, and check when and with which status it came."""
        record = self._state.requests[request]
        record.answered_at, record.status = at, status
        self._state.exposure["answers"] += 1
        if status in REJECTION_STATUSES:
            self._state.exposure[f"rejections, {record.idempotency}"] += 1
        record.note(at, f"answered {status}")
        limit = record.at + record.timeout + MAX_ANSWER_DELAY_US
        if previous := self._state.requests.get(record.pipelined_behind):
            record.note(at, f"behind {record.pipelined_behind}, ended {(at - previous.ended_at) // 1000} ms before")
            # Answers on one connection come in the order of their requests (RFC 9112, 9.3.2), and an answer that has
            # started has no deadline.
            limit = max(limit, previous.ended_at + MAX_CROSSING_US)
        if at > limit and not self._state.process_ends.excuses(record, at):
            detail = f"answered {(at - record.at) // 1000} ms after it was sent, ttl {record.timeout // 1000} ms"
            self._state.add_violation(at, "late", request, detail, at - limit, record.at)
        ran = any(a.may_have_executed and a.writes_answer for a in record.attempts)
        if status in REJECTION_STATUSES and ran and record.idempotency == NON_IDEMPOTENT:
            self._state.add_violation(
                at, "refused", request, "rejected as safe to repeat, although an attempt may have run"
            )

    def answer_received(self, request: str, data: bytes) -> None:
        """Record bytes that a client has received of a stream."""
        self._state.requests[request].received += data
        self._state.exposure["bytes compared"] += len(data)

    def answer_completed(self, at: int, request: str) -> None:
        """Record the regular end of an answer, and check that the answer is complete."""
        record = self._state.requests[request]
        self._request_ended(at, request)
        record.note(at, "whole")
        if record.status != 200:
            return
        if self._check_bytes(at, request) and not any(
            a.finished and a.written == record.received for a in record.attempts
        ):
            self._state.add_violation(
                at, "incomplete", request, f"ended as complete after {len(record.received)} bytes, a partial answer"
            )

    def answer_broken(self, at: int, request: str, peer: int) -> None:
        """Record that the connection ended within an answer that had started with 200. `peer`: the client's port."""
        record = self._state.requests[request]
        self._request_ended(at, request)
        record.note(at, "stream broke")
        self._state.exposure["streams that broke"] += 1
        if self._check_bytes(at, request) and not self._is_break_allowed(at, record, peer):
            self._state.add_violation(
                at, "broken", request, "its stream broke while a replica was writing it, or had finished it"
            )

    def _is_break_allowed(self, at: int, record: RequestRecord, peer: int) -> bool:
        if self._state.process_ends.excuses(record, at) or (record.dispatcher, peer) in self._state.broken_clients:
            return True
        if self._state.failing.overlap(record.dispatcher, record.at, at):
            return True
        attempt = record.streaming
        if attempt is None:  # its first event has not reached the client: the replica that was called last writes it
            attempt = next((a for a in reversed(record.attempts) if a.writes_answer), None)
        if attempt is None:
            return False
        if self._state.was_cut_off(attempt.replica, attempt.at, at):
            return True
        silent = not attempt.finished and at >= (attempt.written_at or attempt.at) + MIN_SILENCE_US
        return silent or bool(attempt.broken_at)

    def _check_bytes(self, at: int, request: str) -> bool:
        """Returns whether the received bytes of a stream were written in this order by a single replica."""
        record = self._state.requests[request]
        if not record.received or any(a.written.startswith(record.received) for a in record.attempts):
            return True
        self._state.add_violation(
            at, "bytes", request, f"received {len(record.received)} bytes that no single replica wrote for this request"
        )
        return False

    def answer_missing(self, at: int, request: str, why: str) -> None:
        """Record that the connection ended, or the client's wait timed out, without an answer."""
        record = self._state.requests[request]
        record.note(at, f"lost: {why}")
        if not self._state.process_ends.excuses(record, at):
            self._state.add_violation(at, "lost", request, why)

    def connection_ended(
        self, at: int, request: str, peer: int, used: bool, connecting_since: int | None = None
    ) -> bool:
        """Record that the connection of a request ended without an answer.

        `used`: the connection had carried a request before. `connecting_since`: when its client began to connect, if
        that was before the request was sent. Returns whether the client may send the request again,
        because the dispatcher may have closed the connection while the request was on its way to it. Such a crossing
        takes milliseconds; a close that comes later counts as a lost request.
        """
        record = self._state.requests[request]
        record.unanswered_on_port = peer
        record.note(at, "ended with no answer")
        if self._state.process_ends.excuses(record, at) or (record.dispatcher, peer) in self._state.broken_clients:
            return False
        waited = 0 if connecting_since is None else record.at - connecting_since
        if not used and waited < FIRST_REQUEST_WAIT_US and not self._may_cross_first_request(record, at):
            self._state.add_violation(at, "lost", request, "its connection ended with no answer")
            return False
        limit = record.at + MAX_CROSSING_US
        if at > limit:
            detail = f"its connection ended without an answer {(at - record.at) // 1000} ms after the request was sent"
            self._state.add_violation(at, "lost", request, detail, at - limit, record.at)
        return True

    def _may_cross_first_request(self, record: RequestRecord, at: int) -> bool:
        """Returns whether a dispatcher may close a connection while its first request is on its way.

        A dispatcher whose file descriptors are used up by a flood may close a new connection unread. A dispatcher that
        shuts down closes connections on which no request arrives in time.
        """
        is_flooded = self._state.flooded.overlap(record.dispatcher, record.at, at)
        return is_flooded or self._state.process_ends.first_request_was_late(record.sent[-1])

    def bad_client_ended(self, at: int, dispatcher: str, since: int) -> None:
        """Record that a client that sent a partial request or nothing got an error or the end of its connection."""
        self._state.exposure["bad clients"] += 1
        if at > since + MAX_BAD_CLIENT_US:
            detail = f"a client that sent a partial request was disconnected after {(at - since) // 1000} ms"
            self._state.add_violation(at, "bad-client", dispatcher, detail, at - since - MAX_BAD_CLIENT_US, since)

    def scan(self, at: int) -> None:
        """Check all open requests for streams whose end was not forwarded to the client."""
        for request in list(self._state.open_requests):
            self._scan_end(at, request)

    def _scan_end(self, at: int, request: str) -> None:
        """Report a stream that its replica has completed or broken off, if its client sees no end within a second."""
        record = self._state.requests[request]
        if record.status != 200 or self._state.is_settled(record.late_end) or not (attempt := record.streaming):
            return
        end_at = attempt.broken_at or (attempt.finished and attempt.written_at)
        if not end_at or at <= end_at + MAX_END_DELAY_US:
            return
        if self._state.process_ends.excuses(record, at) or self._state.was_cut_off(attempt.replica, attempt.at, at):
            return
        excess = at - end_at - MAX_END_DELAY_US
        if excess > self._state.lateness.between(end_at, at):
            detail = f"{attempt.replica} ended its stream {(at - end_at) // 1000} ms ago, its client received no end"
            record.late_end = self._state.add_violation(at, "end-not-passed-on", request, detail, excess, end_at)
