"""One drain, whatever began it: operators, who may end it again, the signal that ends the process, or another process
that has come to take this one's clients."""

from __future__ import annotations

from enum import Enum, auto

from pearhill.lifecycle.shutdown_times import IDLE_GRACE_US, MAX_KILL_DEADLINE_US, ShutdownTimes


class DrainStage(Enum):
    """What a drain does to clients' connections."""

    OPEN = auto()  # nothing: there is no drain
    CLOSE_AFTER_ANSWER = auto()  # each answer ends its connection
    CLOSE_IDLE = auto()  # idle connections are closed too


class Drain:
    """The state of the drain. Times are the dispatcher's clock, in microseconds; None: this did not begin a drain."""

    def __init__(self) -> None:
        self.requested_at: int | None = None  # by operators
        self.ending_since: int | None = None  # when the shutdown of the process was requested
        self.yielding_since: int | None = None  # another process takes the clients
        self.times = ShutdownTimes.for_deadline(MAX_KILL_DEADLINE_US)  # of the shutdown, once it has begun

    def request(self, now: int, on: bool) -> None:
        """Operators' call. Requested twice, it is one drain; ended without a beginning, it is none."""
        if not on:
            self.requested_at = None
        elif self.requested_at is None:
            self.requested_at = now

    def end_process(self, now: int, longest_deadline: int) -> None:
        """Record that the process shuts down. Requested again, or with other settings later, it ends as early as
        any of them requires; an end of the operators' drain does not keep it."""
        times = ShutdownTimes.for_deadline(longest_deadline)
        if self.ending_since is None:
            self.ending_since = now
            self.times = times
        elif times.end_by < self.times.end_by:
            self.times = times

    def yield_to_successor(self, now: int, on: bool) -> None:
        """Another process takes the clients, or, having gone, no longer does."""
        if not on:
            self.yielding_since = None
        elif self.yielding_since is None:
            self.yielding_since = now

    @property
    def out_of_rotation(self) -> bool:
        """Whether clients are to go to other dispatchers. A process with a successor is still this dispatcher: if it
        reported itself out of rotation, the load balancer would leave its successor too."""
        if self.requested_at is not None:
            return True
        return self.ending_since is not None and self.yielding_since is None

    def rejects(self, arrived: int) -> bool:
        """Whether a request that was read then comes too late: the process is shutting down, and the platform kills it
        before a long answer would be complete."""
        return self.ending_since is not None and arrived >= self.ending_since + self.times.reject_after

    @property
    def active(self) -> bool:
        """Whether there is a drain."""
        return self._close_idle_at is not None

    def stage(self, now: int) -> DrainStage:
        """What is to be done to clients' connections at this time."""
        close_idle_at = self._close_idle_at
        if close_idle_at is None:
            return DrainStage.OPEN
        if now >= close_idle_at:
            return DrainStage.CLOSE_IDLE
        return DrainStage.CLOSE_AFTER_ANSWER

    def tick(self, now: int) -> int | None:
        """When the next stage begins; None: no time will change it."""
        if self.stage(now) is DrainStage.CLOSE_AFTER_ANSWER:
            return self._close_idle_at
        return None

    def closes_all(self, now: int) -> bool:
        """Whether what is still connected, and waits for no answer, is to be closed now."""
        return self.ending_since is not None and now >= self.ending_since + self.times.end_by

    @property
    def _close_idle_at(self) -> int | None:
        """When idle connections are closed; None: there is no drain."""
        spans = (
            (self.requested_at, IDLE_GRACE_US),
            (self.yielding_since, IDLE_GRACE_US),
            (self.ending_since, self.times.close_idle_after),
        )
        return min((since + span for since, span in spans if since is not None), default=None)
