"""The rules for attempts, checked against what replicas and discovery agents observed. Times are in microseconds."""

from __future__ import annotations

from pearhill.lab.soak.oracle_state import OracleState
from pearhill.lab.soak.records import KEYED, NON_IDEMPOTENT, SECOND, AttemptRecord, RequestRecord
from pearhill.lab.soak.slow_start import ColdReplicas

MAX_START_DELAY_US = 100_000  # an attempt may start this long after its client closed or its request was answered
MAX_EXCESS_TIMEOUT_US = 150_000  # by which a replica's timeout may exceed the time that its client has left


class AttemptRules:
    """Checks what dispatchers send to replicas, when, and how often."""

    def __init__(self, state: OracleState) -> None:
        self._state = state
        self._draining_since: dict[tuple[str, str], int] = {}  # by dispatcher and replica
        self._cold_replicas = ColdReplicas(state.limits)

    def arrived(
        self, at: int, request: str, replica: str, writes_answer: bool, timeout_ms: int, role: str = ""
    ) -> AttemptRecord:
        """Record that the last byte of an attempt has reached a running replica, and check the rules for its start.

        `writes_answer`: the replica writes the answer of this attempt. Returns the attempt's record.
        """
        attempt = AttemptRecord(replica, at, writes_answer)
        record = self._state.requests.get(request)
        if record is None:
            self._state.add_violation(at, "unknown", request, f"no client sent this id, seen at {replica}")
            return attempt
        record.note(at, f"arrived at {replica}, timeout {timeout_ms} ms")
        self._state.exposure["arrivals at replicas"] += 1
        self._check_request_open(at, request, record, replica)
        self._check_time_left(at, request, record, replica, timeout_ms)
        self._check_not_draining(at, request, record, replica)
        self._check_repeat(at, record, request, attempt)
        if record.attempts:
            self._state.exposure["further attempts"] += 1
        record.attempts.append(attempt)
        if self._cold_replicas.is_cold(replica):
            self._state.exposure["arrivals at cold replicas"] += 1
        if violation := self._cold_replicas.attempt_arrived(at, replica, role):
            self._state.add_violation(at, "slow-start", request, violation)
        return attempt

    def _check_request_open(self, at: int, request: str, record: RequestRecord, replica: str) -> None:
        for rule, since, what in (
            ("cancelled", record.closed_at, "its client closed"),
            ("after-answer", record.answered_at, "its final answer had started"),
        ):
            if since and at > since + MAX_START_DELAY_US:
                detail = f"started at {replica} {(at - since) // 1000} ms after {what}"
                self._state.add_violation(at, rule, request, detail, at - since - MAX_START_DELAY_US, since)

    def _check_time_left(self, at: int, request: str, record: RequestRecord, replica: str, timeout_ms: int) -> None:
        left = max(0, record.at + record.timeout - at)
        excess = timeout_ms * 1000 - left - MAX_EXCESS_TIMEOUT_US
        if excess > 0:
            detail = f"{replica} received a timeout of {timeout_ms} ms, the client has {left // 1000} ms left"
            self._state.add_violation(at, "deadline", request, detail, excess, record.at)

    def _check_not_draining(self, at: int, request: str, record: RequestRecord, replica: str) -> None:
        draining_since = self._draining_since.get((record.dispatcher, replica))
        if draining_since is None:
            return
        self._state.exposure["arrivals at replicas that leave"] += 1
        # The agents run in the event loop of the soak itself: a delay of that loop also delayed the published endpoint.
        news_late = self._state.lateness.between(draining_since, draining_since + SECOND)
        excess = at - draining_since - self._state.limits.drain_grace - news_late
        if excess > 0:
            late_ms = (at - draining_since) // 1000
            detail = f"{record.dispatcher} sent to {replica} {late_ms} ms after the replica was published as draining"
            self._state.add_violation(at, "drain", request, detail, excess, at - SECOND // 2)

    def _check_repeat(self, at: int, record: RequestRecord, request: str, attempt: AttemptRecord) -> None:
        executed = [a for a in record.attempts if a.writes_answer and a.may_have_executed]
        if not attempt.writes_answer:
            return
        if record.attempts:
            self._state.exposure[f"further attempts at an answer, {record.idempotency}"] += 1
        if not executed:
            return
        if record.idempotency == NON_IDEMPOTENT:
            self._state.add_violation(
                at,
                "duplicate",
                request,
                f"attempt at {attempt.replica} after {executed[0].replica}, may have run twice",
            )
        elif record.idempotency == KEYED and at > executed[0].at + record.idempotency_window:
            detail = f"repeated {(at - executed[0].at) // 1000} ms after its first attempt"
            self._state.add_violation(
                at, "window", request, detail, at - executed[0].at - record.idempotency_window, executed[0].at
            )

    def ended(self, at: int, request: str, attempt: AttemptRecord, never_ran: bool = False) -> None:
        """Record that an attempt was answered or rejected (`never_ran`), or that its connection has ended."""
        attempt.ended_at = at
        self._state.exposure["attempts that ended"] += 1
        attempt.may_have_executed = attempt.may_have_executed and not never_ran
        record = self._state.requests.get(request)
        if record is None:
            return
        record.note(at, f"ended at {attempt.replica}{', never ran' if never_ran else ''}")
        if record.held and attempt.writes_answer:
            record.held.since = at
        later = [a for a in record.attempts if a.at > attempt.at and at > a.at + MAX_START_DELAY_US]
        was_unaware = self._state.was_cut_off(attempt.replica, attempt.at, at) or self._state.stopped.overlap(
            attempt.replica, attempt.at, at
        )
        if later and not was_unaware:
            detail = (
                f"in flight at {attempt.replica} {(at - later[0].at) // 1000} ms after it arrived at {later[0].replica}"
            )
            self._state.add_violation(
                at, "second-copy", request, detail, at - later[0].at - MAX_START_DELAY_US, later[0].at
            )

    def wrote(self, at: int, attempt: AttemptRecord, data: bytes) -> None:
        """Record complete events that a replica has written to the stream of an attempt."""
        attempt.written += data
        attempt.written_at = at

    def connection_reset(self, at: int, request: str, replica: str) -> None:
        """Record that the network reset the connection on which a request was sent to this replica.

        After a prefill such a connection carries releases; its reset breaks no stream of another replica.
        """
        record = self._state.requests.get(request)
        if record is None:
            return
        attempt = next((a for a in reversed(record.attempts) if a.replica == replica and a.writes_answer), None)
        if attempt:
            self.stream_broken(at, request, attempt)

    def stream_broken(self, at: int, request: str, attempt: AttemptRecord) -> None:
        """Record that the replica or the network ended or corrupted the stream of an attempt."""
        attempt.broken_at = attempt.broken_at or at
        self._state.exposure["streams that replicas broke"] += 1
        if record := self._state.requests.get(request):
            record.note(at, f"stream of {attempt.replica} broken")

    def endpoint_published(self, at: int, dispatcher: str, replica: str, ready: bool) -> None:
        """Record that the discovery agent of a dispatcher serves this replica as active (`ready`) or as draining."""
        if ready:
            self._draining_since.pop((dispatcher, replica), None)
        else:
            self._draining_since.setdefault((dispatcher, replica), at)

    def endpoint_retracted(self, dispatcher: str, replica: str) -> None:
        """Record that the discovery agent fell silent before the dispatcher could poll the replica's last state."""
        self._draining_since.pop((dispatcher, replica), None)

    def replica_started(self, at: int, replica: str) -> None:
        """Record a cold start that discovery has published to all dispatchers."""
        self._cold_replicas.replica_started(at, replica)
