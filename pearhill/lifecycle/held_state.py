"""What replicas may hold for one request, and when it has to be released, until the end of every attempt is known.

A replica releases nothing while an attempt of the request is in progress there, and an attempt may leave state when it
ends, however long before that it was given up here. So releases are repeated until the last attempt has certainly ended
and a release sent after that is answered. While another attempt of the request is in flight, nothing is released that
it may use: no state at all if it fetches one, else none at its own replica.
"""

from __future__ import annotations

# The first repeat of a release, after an attempt was given up: within the minimum of 300 ms for `release-within`.
FIRST_REPEAT_US = 150_000
REPEAT_INTERVAL_US = 350_000  # a state may be held for 300 ms beyond that minimum
# Releases slow down after so long without an end of an attempt: hundreds of requests may wait for one replica.
LONG_SILENCE_US = 10_000_000
LONG_SILENCE_INTERVAL_US = 1_000_000
# An attempt whose connection has ended without a response may go on at its replica for this much longer than the
# timeout that the replica was given, and than the first answer of the replica to a release after that end.
UNCERTAIN_END_US = 1_500_000
# How long a lost attempt of an open request is remembered, whose replica has been sent no release yet.
LOST_ATTEMPT_RETENTION_US = 60_000_000


class HeldState:
    """What one request may have left at replicas. Times are in microseconds.

    `unreleased`: the replicas that may hold something.
    """

    def __init__(self) -> None:
        self.unreleased: set[int] = set()
        self._in_flight_at: int | None = None  # the replica of the request's attempt that is in flight
        self._is_fetching = False  # that attempt fetches held state
        self._fetched_until = 0  # when the last attempt that fetched held state was over
        self._attempt_until: dict[int, int] = {}  # by replica: when the last attempt there was over
        self._open_attempts: set[object] = set()  # given up, and not ended
        self._lost_at: dict[int, int] = {}  # replica of a lost attempt that has answered no release since: when
        self._given_up_at = 0
        self._timeout_at = 0  # the latest timeout that the replica of a lost attempt was given for it
        self._ended_at = 0  # when the last given-up attempt ended
        self._may_end_until = 0  # until when an attempt may end whose connection does not show it

    def may_hold(self, replica: int) -> None:
        """Add a replica that has to release what it holds."""
        self.unreleased.add(replica)

    def return_to_request(self, replicas: set[int]) -> None:
        """Take replicas out whose state the request uses again."""
        self.unreleased -= replicas

    def attempt_starts(self, replica: int, is_fetch: bool) -> None:
        """Record that an attempt of the request is in flight. `is_fetch`: it fetches state that is held."""
        self._in_flight_at = replica
        self._is_fetching = is_fetch

    def attempt_over(self, now: int) -> None:
        """Record that no attempt of the request is in flight."""
        if self._in_flight_at is None:
            return
        self._attempt_until[self._in_flight_at] = now
        if self._is_fetching:
            self._fetched_until = now
        self._in_flight_at = None
        self._is_fetching = False

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt of the request is in flight."""
        return self._in_flight_at is not None

    def needs_release(self, replica: int) -> bool:
        """Return whether a replica has to release what it holds, and no attempt in flight may use it."""
        return replica in self.unreleased and not self._is_fetching and replica != self._in_flight_at

    def attempt_given_up(self, now: int, attempt: object) -> None:
        """Record that an attempt was given up. Its connection shows when it ends, and `attempt_ended` follows."""
        self._given_up_at = now
        self._open_attempts.add(attempt)

    def attempt_ended(self, now: int, attempt: object) -> None:
        """Record the end of a given-up attempt: its response, or the end of its connection, which does not show that
        the replica has noticed it, so that `attempt_lost` follows."""
        self._open_attempts.discard(attempt)
        self._ended_at = now

    def attempt_lost(self, now: int, replica: int, timeout_at: int) -> None:
        """Record that the connection of an attempt has ended without a response. The replica may be unreachable, or not
        notice it, and end the attempt only after that. `timeout_at`: the end of the time that it was given."""
        self._given_up_at = now
        self._lost_at[replica] = now
        self._timeout_at = max(self._timeout_at, timeout_at)

    def release_answered(self, now: int, replica: int, sent_at: int) -> None:
        """Record that a release, sent at `sent_at`, was answered."""
        if self._lost_at.pop(replica, None) is not None:
            self._may_end_until = max(now, self._timeout_at) + UNCERTAIN_END_US
        if self._has_unknown_end() or sent_at < max(self._ended_at, self._may_end_until):
            return
        if not self._may_have_been_ignored(replica, sent_at):
            self.unreleased.discard(replica)

    def _may_have_been_ignored(self, replica: int, sent_at: int) -> bool:
        """Return whether an attempt that may use the state was in flight since a release was sent.

        While its connection came up, or while it was on its way, the attempt may have started.
        """
        if self._is_fetching or replica == self._in_flight_at:
            return True
        return sent_at < max(self._fetched_until, self._attempt_until.get(replica, 0))

    def _has_unknown_end(self) -> bool:
        # A replica that has nothing to release is sent no release, whose answer could end the wait for it.
        return bool(self._open_attempts) or not self.unreleased.isdisjoint(self._lost_at)

    def abandon(self, replica: int) -> None:
        """Record that a replica could not be reached for as long as its release is repeated."""
        self.unreleased.discard(replica)

    def next_release_at(self, now: int, sent_at: int) -> int:
        """Return when the next release is due at a replica that has just answered one, sent at `sent_at`."""
        if now < self._given_up_at + FIRST_REPEAT_US:
            return self._given_up_at + FIRST_REPEAT_US
        if self._has_unknown_end():
            is_long = now >= self._given_up_at + LONG_SILENCE_US
            return max(now, sent_at + (LONG_SILENCE_INTERVAL_US if is_long else REPEAT_INTERVAL_US))
        return max(now, min(sent_at + REPEAT_INTERVAL_US, self._may_end_until))

    def is_settled(self, now: int) -> bool:
        """Return whether nothing is left to release, and no attempt can leave anything any more."""
        lost_until = max(self._lost_at.values(), default=-LOST_ATTEMPT_RETENTION_US) + LOST_ATTEMPT_RETENTION_US
        return not self.unreleased and not self._open_attempts and now >= max(self._may_end_until, lost_until)
