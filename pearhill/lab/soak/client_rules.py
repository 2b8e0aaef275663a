"""The rules for answers, by what clients saw of them. Times are microseconds."""

from __future__ import annotations

from pearhill.lab.soak.endings import MAX_CROSSING_US
from pearhill.lab.soak.oracle_state import OracleState
from pearhill.lab.soak.records import NON_IDEMPOTENT, SECOND, RequestRecord, SentRequest

MAX_ANSWER_DELAY_US = 500_000  # an answer so long after the client's time earns nothing, a later one is lost
MAX_END_DELAY_US = SECOND  # the end of a stream is passed on by then
MIN_SILENCE_US = (
    4 * SECOND
)  # a stream that is silent for so long may be given up: its client may not wait 5 s for nothing
MAX_BAD_CLIENT_US = 3 * SECOND  # a client that stops in the middle of a request gets its error or its end
REJECTION_STATUSES = (429, 503)


class ClientRules:
    """What a client must get for what it sent."""

    def __init__(self, state: OracleState) -> None:
        self._state = state

    def request_sent(self, at: int, request: str, dispatcher: str, effect: str, window: int, timeout: int) -> None:
        """The request's last byte was written; once more, if its id is known: then it is the same request."""
        if record := self._state.requests.get(request):
            self._state.exposure["sent once more"] += 1
            record.sent.append(SentRequest(dispatcher, at))
            record.note(at, f"sent once more, to {dispatcher}")
        else:
            self._state.requests[request] = RequestRecord(effect, window, timeout, [SentRequest(dispatcher, at)])
        self._state.open_requests.add(request)
        if self.is_ending(dispatcher):
            self._state.exposure["written after SIGTERM"] += 1

    def is_ending(self, dispatcher: str) -> bool:
        """Whether the dispatcher has had SIGTERM and was not killed yet."""
        last = self._state.process_ends.last(dispatcher)
        return last is not None and bool(last.terminated) and not last.killed

    def client_closed(self, at: int, request: str) -> None:
        """The client gave up, or left."""
        record = self._state.requests[request]
        if not record.answered:
            self._state.exposure["clients that left before an answer"] += 1
        record.closed = record.closed or at
        self._request_ended(at, request)
        record.note(at, "client closed")

    def _request_ended(self, at: int, request: str) -> None:
        record = self._state.requests[request]
        record.ended = record.ended or at
        self._state.open_requests.discard(request)

    def note(self, at: int, request: str, what: str) -> None:
        """For the request's trace alone."""
        self._state.requests[request].note(at, what)

    def answer_started(self, at: int, request: str, status: int) -> None:
        """The final answer's first byte."""
        record = self._state.requests[request]
        record.answered, record.status = at, status
        self._state.exposure["answers"] += 1
        if status in REJECTION_STATUSES:
            self._state.exposure[f"rejections, {record.idempotency}"] += 1
        record.note(at, f"answered {status}")
        limit = record.at + record.timeout + MAX_ANSWER_DELAY_US
        if at > limit and not self._state.process_ends.excuses(record, at):
            detail = f"answered {(at - record.at) // 1000} ms after it was asked, ttl {record.timeout // 1000} ms"
            self._state.add_violation(at, "late", request, detail, at - limit, record.at)
        ran = any(a.may_have_executed and a.writes_answer for a in record.attempts)
        if status in REJECTION_STATUSES and ran and record.idempotency == NON_IDEMPOTENT:
            self._state.add_violation(
                at, "refused", request, "refused as harmless to repeat, though an attempt may have run"
            )

    def answer_received(self, request: str, data: bytes) -> None:
        """Bytes of a stream."""
        self._state.requests[request].received += data
        self._state.exposure["bytes compared"] += len(data)

    def answer_completed(self, at: int, request: str) -> None:
        """The answer was ended in good order."""
        record = self._state.requests[request]
        self._request_ended(at, request)
        record.note(at, "whole")
        if record.status != 200:
            return
        if self._check_bytes(at, request) and not any(
            a.finished and a.written == record.received for a in record.attempts
        ):
            self._state.add_violation(
                at, "incomplete", request, f"ended as whole after {len(record.received)} bytes that are no whole answer"
            )

    def answer_broken(self, at: int, request: str, peer: int) -> None:
        """The connection ended in the middle of an answer that had begun with 200. `peer`: the client's port."""
        record = self._state.requests[request]
        self._request_ended(at, request)
        record.note(at, "stream broke")
        self._state.exposure["streams that broke"] += 1
        if self._check_bytes(at, request) and not self._may_break(at, record, peer):
            self._state.add_violation(
                at, "broken", request, "its stream was ended while a replica was writing it, or had finished"
            )

    def _may_break(self, at: int, record: RequestRecord, peer: int) -> bool:
        if self._state.process_ends.excuses(record, at) or (record.dispatcher, peer) in self._state.broken_clients:
            return True
        if self._state.failing.overlap(record.dispatcher, record.at, at):
            return True
        attempt = record.streaming
        if attempt is None:  # its first event is on its way: whichever replica was asked last writes it
            attempt = next((a for a in reversed(record.attempts) if a.writes_answer), None)
        if attempt is None:
            return False
        if self._state.was_cut_off(attempt.replica, attempt.at, at):
            return True
        silent = not attempt.finished and at >= (attempt.written_at or attempt.at) + MIN_SILENCE_US
        return silent or bool(attempt.broken_at)

    def _check_bytes(self, at: int, request: str) -> bool:
        """Whether what came of a stream was written so, for this request, by some one replica."""
        record = self._state.requests[request]
        if not record.received or any(a.written.startswith(record.received) for a in record.attempts):
            return True
        self._state.add_violation(
            at, "bytes", request, f"{len(record.received)} bytes came that no replica wrote so for this request"
        )
        return False

    def answer_missing(self, at: int, request: str, why: str) -> None:
        """The connection ended, or the client waited too long, with no answer."""
        record = self._state.requests[request]
        record.note(at, f"lost: {why}")
        if not self._state.process_ends.excuses(record, at):
            self._state.add_violation(at, "lost", request, why)

    def connection_ended(self, at: int, request: str, peer: int, used: bool) -> bool:
        """Its connection ended with no answer. `used`: the connection had carried a request before. Whether its client
        may send it once more, since a close may have crossed it: that takes a moment and not a second."""
        record = self._state.requests[request]
        record.note(at, "ended with no answer")
        if self._state.process_ends.excuses(record, at) or (record.dispatcher, peer) in self._state.broken_clients:
            return False
        if not used and not self._may_cross_first_request(record, at):
            self._state.add_violation(at, "lost", request, "its connection ended with no answer")
            return False
        limit = record.at + MAX_CROSSING_US
        if at > limit:
            detail = f"its connection ended with no answer {(at - record.at) // 1000} ms after it was written"
            self._state.add_violation(at, "lost", request, detail, at - limit, record.at)
        return True

    def _may_cross_first_request(self, record: RequestRecord, at: int) -> bool:
        """Whether a close may cross the first request of a connection, for a moment. Where a crowd fills the
        descriptors a new connection may be shut unread; a dispatcher that ends shuts those on which no client asks in
        time."""
        crowded = self._state.flooded.overlap(record.dispatcher, record.at, at)
        return crowded or self._state.process_ends.first_request_was_late(record.sent[-1])

    def bad_client_ended(self, at: int, dispatcher: str, since: int) -> None:
        """A client that stopped half-way, or said nothing, got its error or its end."""
        self._state.exposure["bad clients"] += 1
        if at > since + MAX_BAD_CLIENT_US:
            detail = f"a client that stopped half-way was sent away after {(at - since) // 1000} ms"
            self._state.add_violation(at, "bad-client", dispatcher, detail, at - since - MAX_BAD_CLIENT_US, since)

    def scan(self, at: int) -> None:
        """Look for streams whose end was not passed on."""
        for request in list(self._state.open_requests):
            self._scan_end(at, request)

    def _scan_end(self, at: int, request: str) -> None:
        """A stream that its replica has ended, in whatever way, and whose client was told nothing for a second."""
        record = self._state.requests[request]
        if record.late_end_reported or record.status != 200 or not (attempt := record.streaming):
            return
        over = attempt.broken_at or (attempt.finished and attempt.written_at)
        if not over or at <= over + MAX_END_DELAY_US:
            return
        if self._state.process_ends.excuses(record, at) or self._state.was_cut_off(attempt.replica, attempt.at, at):
            return
        excess = at - over - MAX_END_DELAY_US
        if excess > self._state.lateness.between(over, at):
            record.late_end_reported = True
            detail = f"{attempt.replica} ended its stream {(at - over) // 1000} ms ago, and its client was not told"
            self._state.add_violation(at, "end-not-passed-on", request, detail)
