"""The prompt states that prefill replicas hold, and the limit on how long they hold them. Times are in microseconds."""

from __future__ import annotations

from pearhill.lab.soak.oracle_state import OracleState
from pearhill.lab.soak.records import HeldState, RequestRecord

MAX_RELEASE_DELAY_US = 300_000  # beyond `release-within`


class HeldStates:
    """Records the held states, and reports those that are held too long while no attempt for them is in flight."""

    def __init__(self, state: OracleState) -> None:
        self._state = state

    def prefilled(self, at: int, request: str, replica: str) -> None:
        """Record that a prefill replica has processed the prompt and holds its state."""
        if record := self._state.requests.get(request):
            record.held = HeldState(replica, at)
            self._state.exposure["states held"] += 1
            record.note(at, f"held at {replica}")

    def release_arrived(self, at: int, request: str, replica: str) -> None:
        """Record that a DELETE has arrived. The replica keeps the state while an attempt for it is in flight."""
        record = self._state.requests.get(request)
        self._state.exposure["releases"] += 1
        if record:
            record.note(at, f"release at {replica}")
        if record and record.held and record.held.replica == replica and not self._has_attempt_in_flight(record):
            record.held = None

    def fetched(self, request: str) -> bool:
        """Record that a decode replica has fetched the state, which ends the hold. Returns False if there was none."""
        record = self._state.requests.get(request)
        if record is None or record.held is None:
            return False
        record.held = None
        return True

    def exists(self, request: str) -> bool:
        """Returns whether a prefill replica holds a state for the request."""
        record = self._state.requests.get(request)
        return record is not None and record.held is not None

    def replica_restarted(self, replica: str) -> None:
        """Drop the states that the replica held; they were lost with its process."""
        for record in self._state.requests.values():
            if record.held and record.held.replica == replica:
                record.held = None

    def replica_resumed(self, at: int, replica: str) -> None:
        """Count the time of the states that a stopped replica holds from now on: no release could reach it before."""
        for record in self._state.requests.values():
            if record.held and record.held.replica == replica:
                record.held.since = at

    @staticmethod
    def _has_attempt_in_flight(record: RequestRecord) -> bool:
        return any(a.writes_answer and not a.ended_at for a in record.attempts)

    def scan(self, at: int) -> None:
        """Report states that are held too long while no attempt for them is in flight."""
        limit = self._state.limits.release_within + MAX_RELEASE_DELAY_US
        for request, record in self._state.requests.items():
            held = record.held
            if (
                held is None
                or self._state.is_settled(held.violation)
                or self._state.stopped.is_active(held.replica, at)
                or self._has_attempt_in_flight(record)
                or at <= held.since + limit + self._state.lateness.base
            ):
                continue
            if self._state.process_ends.excuses_any(record, at) or self._state.was_cut_off(
                held.replica, held.since, at
            ):
                continue
            excess = at - held.since - limit
            if excess <= self._state.lateness.between(held.since, at):  # may be released by the next scan
                continue
            detail = f"held at {held.replica} for {(at - held.since) // 1000} ms with no attempt in flight"
            held.violation = self._state.add_violation(at, "pinned", request, detail, excess, held.since)
