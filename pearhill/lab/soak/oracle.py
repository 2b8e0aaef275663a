"""The rules of the platform as an oracle over what clients, replicas and agents saw. Free of I/O.

Times are passed in: microseconds of one monotonic clock, that of the soak's own process. A limit that was passed is a
violation unless this machine is known to have run that late just then (`Lateness`).
"""

from __future__ import annotations

from collections import Counter

from pearhill.lab.soak.endings import MAX_CROSSING_US, ProcessEnds
from pearhill.lab.soak.lateness import Lateness
from pearhill.lab.soak.records import (
    KEYED,
    NON_IDEMPOTENT,
    SECOND,
    AttemptRecord,
    HeldState,
    RequestRecord,
    SentRequest,
    Violation,
)
from pearhill.lab.soak.slow_start import ColdReplicas, PlatformLimits

MAX_START_DELAY_US = (
    100_000  # an attempt may begin so long after its client closed, or after its request had its answer
)
MAX_EXCESS_TIMEOUT_US = 150_000  # a replica may be told so much more time than the client has left
MAX_ANSWER_DELAY_US = 500_000  # an answer so long after the client's time earns nothing, a later one is lost
MAX_RELEASE_DELAY_US = 300_000  # beyond `release-within`
MAX_END_DELAY_US = SECOND  # the end of a stream is passed on by then
MIN_SILENCE_US = (
    4 * SECOND
)  # a stream that is silent for so long may be given up: its client may not wait 5 s for nothing
MAX_BAD_CLIENT_US = 3 * SECOND  # a client that stops in the middle of a request gets its error or its end
REJECTION_STATUSES = (429, 503)


class Oracle:
    """`exposure` counts how often each rule could have been broken: nothing found is not nothing tried."""

    def __init__(self, rules: PlatformLimits, lateness: Lateness | None = None) -> None:
        self.rules, self.lateness = rules, lateness or Lateness(lambda: 0)
        self.requests: dict[str, RequestRecord] = {}
        self.endings = ProcessEnds()
        self.exposure: Counter[str] = Counter()
        self._found_violations: list[Violation] = []
        self._open_requests: set[str] = set()  # requests that have not ended
        self._draining_since: dict[tuple[str, str], int] = {}  # since when a dispatcher knows that a replica leaves
        self._unreachable: dict[str, list[list[int]]] = {}  # replicas, and the spans in which they were cut off
        self._failing: dict[
            str, list[list[int]]
        ] = {}  # dispatchers, and the spans in which their reads and writes fail
        self._flooded: dict[str, list[list[int]]] = {}  # dispatchers, and the spans in which a crowd filled them
        self._broken_clients: set[tuple[str, int]] = set()  # clients' ports whose connections the system broke
        self._cold_replicas = ColdReplicas(rules)

    def _add_violation(
        self, at: int, rule: str, request: str, detail: str, excess: int | None = None, since: int | None = None
    ) -> None:
        self._found_violations.append(Violation(at, rule, request, detail, excess, at if since is None else since))

    @property
    def violations(self) -> list[Violation]:
        """What no lateness explains. Asked at the end, since a lateness is known only when it is over."""
        return [
            v for v in self._found_violations if v.excess is None or v.excess > self.lateness.between(v.since, v.at)
        ]

    # What clients saw.

    def request_sent(self, at: int, request: str, dispatcher: str, effect: str, window: int, timeout: int) -> None:
        """The request's last byte was written; once more, if its id is known: then it is the same request."""
        if record := self.requests.get(request):
            self.exposure["sent once more"] += 1
            record.sent.append(SentRequest(dispatcher, at))
            record.note(at, f"sent once more, to {dispatcher}")
        else:
            self.requests[request] = RequestRecord(effect, window, timeout, [SentRequest(dispatcher, at)])
        self._open_requests.add(request)
        if self.is_ending(dispatcher):
            self.exposure["written after SIGTERM"] += 1

    def is_ending(self, dispatcher: str) -> bool:
        last = self.endings.last(dispatcher)
        return last is not None and bool(last.terminated) and not last.killed

    def client_closed(self, at: int, request: str) -> None:
        """The client gave up, or left."""
        record = self.requests[request]
        if not record.answered:
            self.exposure["clients that left before an answer"] += 1
        record.closed = record.closed or at
        self._request_ended(at, request)
        record.note(at, "client closed")

    def _request_ended(self, at: int, request: str) -> None:
        record = self.requests[request]
        record.ended = record.ended or at
        self._open_requests.discard(request)

    def answer_started(self, at: int, request: str, status: int) -> None:
        """The final answer's first byte."""
        record = self.requests[request]
        record.answered, record.status = at, status
        record.note(at, f"answered {status}")
        limit = record.at + record.timeout + MAX_ANSWER_DELAY_US
        if at > limit and not self.endings.excuses(record, at):
            detail = f"answered {(at - record.at) // 1000} ms after it was asked, ttl {record.timeout // 1000} ms"
            self._add_violation(at, "late", request, detail, at - limit, record.at)
        ran = any(a.may_have_executed and a.writes_answer for a in record.attempts)
        if status in REJECTION_STATUSES and ran and record.idempotency == NON_IDEMPOTENT:
            self._add_violation(at, "refused", request, "refused as harmless to repeat, though an attempt may have run")

    def answer_received(self, request: str, data: bytes) -> None:
        """Bytes of a stream."""
        self.requests[request].received += data
        self.exposure["bytes compared"] += len(data)

    def answer_completed(self, at: int, request: str) -> None:
        """The answer was ended in good order."""
        record = self.requests[request]
        self._request_ended(at, request)
        record.note(at, "whole")
        if record.status != 200:
            return
        if self._check_bytes(at, request) and not any(
            a.finished and a.written == record.received for a in record.attempts
        ):
            self._add_violation(
                at, "incomplete", request, f"ended as whole after {len(record.received)} bytes that are no whole answer"
            )

    def answer_broken(self, at: int, request: str, peer: int) -> None:
        """The connection ended in the middle of an answer that had begun with 200. `peer`: the client's port."""
        record = self.requests[request]
        self._request_ended(at, request)
        record.note(at, "stream broke")
        self.exposure["streams that broke"] += 1
        if self._check_bytes(at, request) and not self._may_break(at, record, peer):
            self._add_violation(
                at, "broken", request, "its stream was ended while a replica was writing it, or had finished"
            )

    def _may_break(self, at: int, record: RequestRecord, peer: int) -> bool:
        if self.endings.excuses(record, at) or (record.dispatcher, peer) in self._broken_clients:
            return True
        if self._was(self._failing, record.dispatcher, record.at, at):
            return True
        attempt = record.streaming
        if attempt is None:  # its first event is on its way: whichever replica was asked last writes it
            attempt = next((a for a in reversed(record.attempts) if a.writes_answer), None)
        if attempt is None:
            return False
        if self._was_cut_off(attempt.replica, attempt.at, at):
            return True
        silent = not attempt.finished and at >= (attempt.written_at or attempt.at) + MIN_SILENCE_US
        return silent or bool(attempt.broken_at)

    def _check_bytes(self, at: int, request: str) -> bool:
        """Whether what came of a stream was written so, for this request, by some one replica."""
        record = self.requests[request]
        if not record.received or any(a.written.startswith(record.received) for a in record.attempts):
            return True
        self._add_violation(
            at, "bytes", request, f"{len(record.received)} bytes came that no replica wrote so for this request"
        )
        return False

    def answer_missing(self, at: int, request: str, why: str) -> None:
        """The connection ended, or the client waited too long, with no answer."""
        record = self.requests[request]
        record.note(at, f"lost: {why}")
        if not self.endings.excuses(record, at):
            self._add_violation(at, "lost", request, why)

    def connection_ended(self, at: int, request: str, peer: int, used: bool) -> bool:
        """Its connection ended with no answer. `used`: the connection had carried a request before. Whether its client
        may send it once more, since a close may have crossed it: that takes a moment and not a second."""
        record = self.requests[request]
        record.note(at, "ended with no answer")
        if self.endings.excuses(record, at) or (record.dispatcher, peer) in self._broken_clients:
            return False
        if not used and not self._may_cross_first_request(record, at):
            self._add_violation(at, "lost", request, "its connection ended with no answer")
            return False
        limit = record.at + MAX_CROSSING_US
        if at > limit:
            detail = f"its connection ended with no answer {(at - record.at) // 1000} ms after it was written"
            self._add_violation(at, "lost", request, detail, at - limit, record.at)
        return True

    def _may_cross_first_request(self, record: RequestRecord, at: int) -> bool:
        """Whether a close may cross the first request of a connection, for a moment. Where a crowd fills the
        descriptors a new connection may be shut unread; a dispatcher that ends shuts those on which no client asks in
        time."""
        crowded = self._was(self._flooded, record.dispatcher, record.at, at)
        return crowded or self.endings.first_request_was_late(record.sent[-1])

    def bad_client_ended(self, at: int, dispatcher: str, since: int) -> None:
        """A client that stopped half-way, or said nothing, got its error or its end."""
        self.exposure["bad clients"] += 1
        if at > since + MAX_BAD_CLIENT_US:
            detail = f"a client that stopped half-way was sent away after {(at - since) // 1000} ms"
            self._add_violation(at, "bad-client", dispatcher, detail, at - since - MAX_BAD_CLIENT_US, since)

    # What replicas saw.

    def attempt_arrived(
        self, at: int, request: str, replica: str, writes_answer: bool, timeout_ms: int, role: str = ""
    ) -> AttemptRecord:
        """The last byte of an attempt has reached a running replica. `answers`: it writes the answer."""
        attempt = AttemptRecord(replica, at, writes_answer)
        record = self.requests.get(request)
        if record is None:
            self._add_violation(at, "unknown", request, f"no client sent this id, seen at {replica}")
            return attempt
        record.note(at, f"arrived at {replica}, told {timeout_ms} ms")
        self._check_still_wanted(at, request, record, replica)
        self._check_time_left(at, request, record, replica, timeout_ms)
        self._check_not_draining(at, request, record, replica)
        self._check_repeat(at, record, request, attempt)
        if record.attempts:
            self.exposure["further attempts"] += 1
        record.attempts.append(attempt)
        if self._cold_replicas.is_cold(replica):
            self.exposure["arrivals at cold replicas"] += 1
        if wrong := self._cold_replicas.attempt_arrived(at, replica, role):
            self._add_violation(at, "slow-start", request, wrong)
        return attempt

    def _check_still_wanted(self, at: int, request: str, record: RequestRecord, replica: str) -> None:
        for rule, since, what in (
            ("cancelled", record.closed, "its client closed"),
            ("after-answer", record.answered, "its final answer had begun"),
        ):
            if since and at > since + MAX_START_DELAY_US:
                detail = f"begun at {replica} {(at - since) // 1000} ms after {what}"
                self._add_violation(at, rule, request, detail, at - since - MAX_START_DELAY_US, since)

    def _check_time_left(self, at: int, request: str, record: RequestRecord, replica: str, timeout_ms: int) -> None:
        left = max(0, record.at + record.timeout - at)
        excess = timeout_ms * 1000 - left - MAX_EXCESS_TIMEOUT_US
        if excess > 0:
            detail = f"{replica} was told {timeout_ms} ms, {left // 1000} ms are left"
            self._add_violation(at, "deadline", request, detail, excess, record.at)

    def _check_not_draining(self, at: int, request: str, record: RequestRecord, replica: str) -> None:
        draining_since = self._draining_since.get((record.dispatcher, replica))
        if draining_since is None:
            return
        self.exposure["arrivals at replicas that leave"] += 1
        excess = at - draining_since - self.rules.drain_grace
        if excess > 0:
            late_ms = (at - draining_since) // 1000
            detail = f"{record.dispatcher} sent to {replica} {late_ms} ms after it was told that it leaves"
            self._add_violation(at, "drain", request, detail, excess, at - SECOND // 2)

    def _check_repeat(self, at: int, record: RequestRecord, request: str, attempt: AttemptRecord) -> None:
        ran = [a for a in record.attempts if a.writes_answer and a.may_have_executed]
        if not attempt.writes_answer or not ran:
            return
        if record.idempotency == NON_IDEMPOTENT:
            self._add_violation(
                at, "duplicate", request, f"at {attempt.replica} after {ran[0].replica}, may have run twice"
            )
        elif record.idempotency == KEYED and at > ran[0].at + record.idempotency_window:
            detail = f"repeated {(at - ran[0].at) // 1000} ms after its first attempt"
            self._add_violation(at, "window", request, detail, at - ran[0].at - record.idempotency_window, ran[0].at)

    def attempt_ended(self, at: int, request: str, attempt: AttemptRecord, never_ran: bool = False) -> None:
        """It was answered, turned away (`never_ran`), or its connection has ended."""
        attempt.ended = at
        attempt.may_have_executed = attempt.may_have_executed and not never_ran
        record = self.requests.get(request)
        if record is None:
            return
        record.note(at, f"over at {attempt.replica}{', never ran' if never_ran else ''}")
        if record.held and attempt.writes_answer:
            record.held.since = at
        later = [a for a in record.attempts if a.at > attempt.at and at > a.at + MAX_START_DELAY_US]
        if later and not self._was_cut_off(attempt.replica, attempt.at, at):
            detail = (
                f"still out at {attempt.replica} {(at - later[0].at) // 1000} ms after it arrived at {later[0].replica}"
            )
            self._add_violation(at, "second-copy", request, detail, at - later[0].at - MAX_START_DELAY_US, later[0].at)

    def attempt_wrote(self, at: int, attempt: AttemptRecord, data: bytes) -> None:
        """Whole events of an attempt's stream, written by its replica."""
        attempt.written += data
        attempt.written_at = at

    def attempt_stream_broken(self, at: int, request: str, attempt: AttemptRecord | None = None) -> None:
        """The replica or the network ended or spoilt the stream of an attempt; without one: of the request's last."""
        record = self.requests.get(request)
        if attempt is None and record:
            attempt = next((a for a in reversed(record.attempts) if a.writes_answer), None)
        if attempt:
            attempt.broken_at = attempt.broken_at or at
        if record and attempt:
            record.note(at, f"stream of {attempt.replica} spoilt")

    # What is held.

    def prompt_prefilled(self, at: int, request: str, replica: str) -> None:
        """A reader has read the prompt and holds its state."""
        if record := self.requests.get(request):
            record.held = HeldState(replica, at)
            record.note(at, f"held at {replica}")

    def release_arrived(self, at: int, request: str, replica: str) -> None:
        """A DELETE has arrived. It lets go of nothing while an attempt waits for the state."""
        record = self.requests.get(request)
        if record:
            record.note(at, f"release at {replica}")
        if record and record.held and record.held.replica == replica and not self._has_attempt_out(record):
            record.held = None

    def state_fetched(self, request: str) -> bool:
        """A writer's first event: the state is gone. False: there was none."""
        record = self.requests.get(request)
        if record is None or record.held is None:
            return False
        record.held = None
        return True

    def holds_state(self, request: str) -> bool:
        record = self.requests.get(request)
        return record is not None and record.held is not None

    @staticmethod
    def _has_attempt_out(record: RequestRecord) -> bool:
        return any(a.writes_answer and not a.ended for a in record.attempts)

    def prefill_replica_restarted(self, replica: str) -> None:
        for record in self.requests.values():
            if record.held and record.held.replica == replica:
                record.held = None

    def scan(self, at: int) -> None:
        """Look for what is held too long while no attempt is out for it, and for ends that were not passed on."""
        self._scan_held(at)
        for request in list(self._open_requests):
            self._scan_end(at, request)

    def _scan_held(self, at: int) -> None:
        limit = self.rules.release_within + MAX_RELEASE_DELAY_US
        for request, record in self.requests.items():
            held = record.held
            if (
                held is None
                or held.reported
                or self._has_attempt_out(record)
                or at <= held.since + limit + self.lateness.base
            ):
                continue
            if self.endings.excuses_any(record, at) or self._was_cut_off(held.replica, held.since, at):
                continue
            excess = at - held.since - limit
            if excess <= self.lateness.between(held.since, at):  # looked at again: it may be let go of by then
                continue
            held.reported = True
            detail = f"held at {held.replica} for {(at - held.since) // 1000} ms with no attempt out"
            self._add_violation(at, "pinned", request, detail)

    def _scan_end(self, at: int, request: str) -> None:
        """A stream that its replica has ended, in whatever way, and whose client was told nothing for a second."""
        record = self.requests[request]
        if record.late_end_reported or record.status != 200 or not (attempt := record.streaming):
            return
        over = attempt.broken_at or (attempt.finished and attempt.written_at)
        if not over or at <= over + MAX_END_DELAY_US:
            return
        if self.endings.excuses(record, at) or self._was_cut_off(attempt.replica, attempt.at, at):
            return
        excess = at - over - MAX_END_DELAY_US
        if excess > self.lateness.between(over, at):
            record.late_end_reported = True
            detail = f"{attempt.replica} ended its stream {(at - over) // 1000} ms ago, and its client was not told"
            self._add_violation(at, "end-not-passed-on", request, detail)

    # What discovery, the network and the dispatchers' machines did.

    def endpoint_published(self, at: int, dispatcher: str, replica: str, ready: bool) -> None:
        """What discovery has for this dispatcher."""
        if ready:
            self._draining_since.pop((dispatcher, replica), None)
        else:
            self._draining_since.setdefault((dispatcher, replica), at)

    def endpoint_retracted(self, dispatcher: str, replica: str) -> None:
        """Its discovery fell silent before the dispatcher could ask."""
        self._draining_since.pop((dispatcher, replica), None)

    def replica_started(self, at: int, replica: str) -> None:
        """A cold start that discovery has told everybody."""
        self._cold_replicas.replica_started(at, replica)

    def replica_cut_off(self, at: int, replica: str, on: bool) -> None:
        self._span(self._unreachable, at, replica, on)

    def system_calls_fail(self, at: int, dispatcher: str, on: bool) -> None:
        """Reads and writes on the dispatcher's connections to replicas break them."""
        self._span(self._failing, at, dispatcher, on)

    def dispatcher_flooded(self, at: int, dispatcher: str, on: bool) -> None:
        self._span(self._flooded, at, dispatcher, on)

    @staticmethod
    def _span(spans: dict[str, list[list[int]]], at: int, name: str, on: bool) -> None:
        if on:
            spans.setdefault(name, []).append([at, at + 10**12])
        elif name in spans:
            spans[name][-1][1] = at

    @staticmethod
    def _was(spans: dict[str, list[list[int]]], name: str, since: int, until: int, after: int = 0) -> bool:
        return any(a <= until and b + after >= since for a, b in spans.get(name, ()))

    def _was_cut_off(self, replica: str, since: int, until: int) -> bool:
        """After a cut connections have to be made anew."""
        return self._was(self._unreachable, replica, since, until, after=SECOND)

    def client_connection_broken(self, dispatcher: str, port: int) -> None:
        """The system broke the dispatcher's connection to this client."""
        self._broken_clients.add((dispatcher, port))

    def terminated(self, at: int, dispatcher: str) -> None:
        self.endings.terminated(at, dispatcher)
        self.exposure["under way at a SIGTERM"] += self._under_way(dispatcher)

    def killed(self, at: int, dispatcher: str) -> None:
        self.endings.killed(at, dispatcher)
        self.exposure["under way at a kill"] += self._under_way(dispatcher)

    def exited(self, at: int, dispatcher: str) -> None:
        self.endings.exited(at, dispatcher)

    def _under_way(self, dispatcher: str) -> int:
        return sum(self.requests[request].dispatcher == dispatcher for request in self._open_requests)

    def process_fault(self, at: int, dispatcher: str, detail: str) -> None:
        self._add_violation(at, "process", dispatcher, detail)
