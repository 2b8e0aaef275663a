"""The drain of a process and its stages.

A drain is begun by operators, who may also end it, by the signal that ends the process, or by a successor that accepts
this process's clients.
"""

from __future__ import annotations

from enum import Enum, auto

from pearhill.lifecycle.shutdown_times import IDLE_GRACE_US, MAX_KILL_DEADLINE_US, ShutdownTimes


class DrainStage(Enum):
    """What is done to clients' connections."""

    OPEN = auto()  # nothing: no drain is in progress
    CLOSE_AFTER_ANSWER = auto()  # each connection is closed after its answer
    CLOSE_IDLE = auto()  # idle connections are closed too


class Drain:
    """The state of the drain. Times are microseconds of the dispatcher's clock; None: this has not begun a drain."""

    def __init__(self) -> None:
        self.requested_at: int | None = None  # when operators requested a drain
        self.ending_since: int | None = None  # when the shutdown of the process was requested
        self.yielding_since: int | None = None  # when a successor began to accept the clients
        self.times = ShutdownTimes.for_deadline(MAX_KILL_DEADLINE_US)  # of the shutdown, once it has begun

    def request(self, now: int, on: bool) -> None:
        """Begin or end the drain that operators request. Repeated calls have no effect."""
        if not on:
            self.requested_at = None
        elif self.requested_at is None:
            self.requested_at = now

    def end_process(self, now: int, longest_deadline: int) -> None:
        """Record that the process shuts down.

        If this is called again, possibly with other settings, the shutdown ends at the earliest of the required times.
        The end of the operators' drain does not cancel the shutdown.
        """
        times = ShutdownTimes.for_deadline(longest_deadline)
        if self.ending_since is None:
            self.ending_since = now
            self.times = times
        elif times.end_by < self.times.end_by:
            self.times = times

    def yield_to_successor(self, now: int, on: bool) -> None:
        """Record that a successor accepts the clients (`on`), or that it has exited and no longer does."""
        if not on:
            self.yielding_since = None
        elif self.yielding_since is None:
            self.yielding_since = now

    @property
    def out_of_rotation(self) -> bool:
        """Whether load balancers should send clients to other dispatchers.

        A process with a successor stays in rotation: both are the same dispatcher to the load balancer, which would
        otherwise stop sending clients to the successor too.
        """
        if self.requested_at is not None:
            return True
        return self.ending_since is not None and self.yielding_since is None

    def rejects(self, arrived: int) -> bool:
        """Whether a request that was read at `arrived` is rejected.

        Late in a shutdown, the platform would kill the process before a long answer is complete.
        """
        return self.ending_since is not None and arrived >= self.ending_since + self.times.reject_after

    @property
    def active(self) -> bool:
        """Whether a drain is in progress."""
        return self._close_idle_at is not None

    def stage(self, now: int) -> DrainStage:
        """Returns the stage of the drain at this time."""
        close_idle_at = self._close_idle_at
        if close_idle_at is None:
            return DrainStage.OPEN
        if now >= close_idle_at:
            return DrainStage.CLOSE_IDLE
        return DrainStage.CLOSE_AFTER_ANSWER

    def tick(self, now: int) -> int | None:
        """Returns when the next stage begins, or None if no further stage is scheduled."""
        if self.stage(now) is DrainStage.CLOSE_AFTER_ANSWER:
            return self._close_idle_at
        return None

    def closes_all(self, now: int) -> bool:
        """Whether every connection that waits for no answer is closed now, even after a partly received request."""
        return self.ending_since is not None and now >= self.ending_since + self.times.end_by

    @property
    def _close_idle_at(self) -> int | None:
        """When idle connections are closed, or None if no drain is in progress."""
        spans = (
            (self.requested_at, IDLE_GRACE_US),
            (self.yielding_since, IDLE_GRACE_US),
            (self.ending_since, self.times.close_idle_after),
        )
        return min((since + span for since, span in spans if since is not None), default=None)
