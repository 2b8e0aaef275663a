"""One drain, whoever asked for it: operators, who may end it again, the signal that ends the process, or another
process that has come to take this one's clients. And the stages of a shutdown, within what the platform leaves it.

The platform sends SIGKILL as early as the longest deadline, 3 s at most, plus 0.7 s after SIGTERM. Until then clients
send on every connection that stays open; new connections come for 0.2 to 0.4 s. What arrived more than 0.7 s after
SIGTERM and is unanswered at SIGKILL is lost."""

from __future__ import annotations

from dataclasses import dataclass

OPEN, LAST_ANSWERS, NO_IDLE = range(3)  # each answer ends its connection; idle connections end too
IDLE_GRACE_US = 500_000  # clients still use the connections they have, and new ones still come

# The platform's, in microseconds after it has sent SIGTERM.
MAX_KILL_DEADLINE_US = 3_000_000  # a longer one does not put the kill off any further
KILL_AFTER_DEADLINE_US = 700_000
NEW_CONNECTIONS_US = 420_000
# The process may hear of the signal, or of anything else, so much later than it came.
MAX_SIGNAL_DELAY_US = 150_000
LAST_ANSWERS_RESERVE_US = 100_000  # kept back for the way of the last answers, and for clients to close
MAX_ACCEPT_US = 1_000_000  # at most: longer than clients come, for whatever is held up on their side


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The stages of a shutdown, in microseconds since the process heard SIGTERM."""

    close_idle_after: int  # idle connections end
    reject_after: int  # what is read from then on is refused: it might still be under way at SIGKILL
    accept_for: int  # then nobody is taken any more
    end_by: int  # whatever connection still owes its request, or half of one, ends with a refusal
    kill_after: int  # SIGKILL is to be reckoned with

    @classmethod
    def for_deadline(cls, longest: int) -> ShutdownTimes:
        """`longest`: the longest deadline of the settings, in microseconds."""
        kill_after = min(longest, MAX_KILL_DEADLINE_US) + KILL_AFTER_DEADLINE_US
        end_by = kill_after - MAX_SIGNAL_DELAY_US - LAST_ANSWERS_RESERVE_US
        accept_for = min(MAX_ACCEPT_US, max(NEW_CONNECTIONS_US, end_by - LAST_ANSWERS_RESERVE_US))
        refuse_after = KILL_AFTER_DEADLINE_US - MAX_SIGNAL_DELAY_US - LAST_ANSWERS_RESERVE_US
        return cls(min(IDLE_GRACE_US, accept_for), refuse_after, accept_for, end_by, kill_after)


class Drain:
    def __init__(self) -> None:
        self.requested_at: int | None = None  # since when; microseconds
        self.ending_since: int | None = None
        self.yielding_since: int | None = None
        self.times = ShutdownTimes.for_deadline(MAX_KILL_DEADLINE_US)  # of the shutdown, once it has begun

    def request(self, now: int, on: bool) -> None:
        """Operators' call. Asked for twice, it is one drain; ended without a beginning, it is none."""
        if not on:
            self.requested_at = None
        elif self.requested_at is None:
            self.requested_at = now

    def end_process(self, now: int, longest_deadline: int) -> None:
        """The process has been told to end. Said again, or with other settings later, it ends as early as any of them
        asks for; an end of the operators' drain does not keep it."""
        times = ShutdownTimes.for_deadline(longest_deadline)
        if self.ending_since is None:
            self.ending_since, self.times = now, times
        elif times.end_by < self.times.end_by:
            self.times = times

    def yield_to_successor(self, now: int, on: bool) -> None:
        """Another process takes the clients, or, having gone, no longer does."""
        self.yielding_since = None if not on else now if self.yielding_since is None else self.yielding_since

    @property
    def out_of_rotation(self) -> bool:
        """Clients are to go to other dispatchers. The one whose place is taken is still this dispatcher; said
        of it, the front would leave its successor too."""
        return self.requested_at is not None or (self.ending_since is not None and self.yielding_since is None)

    def rejects(self, arrived: int) -> bool:
        """Whether a request that was read then comes too late: the process has been told to end, and the platform kills
        it before a long answer would be whole."""
        return self.ending_since is not None and arrived >= self.ending_since + self.times.reject_after

    @property
    def active(self) -> bool:
        return self._no_idle_from is not None

    @property
    def _no_idle_from(self) -> int | None:
        """When idle connections end; None: there is no drain."""
        spans = (
            (self.requested_at, IDLE_GRACE_US),
            (self.yielding_since, IDLE_GRACE_US),
            (self.ending_since, self.times.close_idle_after),
        )
        return min((since + span for since, span in spans if since is not None), default=None)

    def stage(self, now: int) -> int:
        begins = self._no_idle_from
        if begins is None:
            return OPEN
        return NO_IDLE if now >= begins else LAST_ANSWERS

    def tick(self, now: int) -> int | None:
        """When the next stage begins; None: no time will change it."""
        return self._no_idle_from if self.stage(now) == LAST_ANSWERS else None

    def closes_all(self, now: int) -> bool:
        """Whether what is still connected, and owed nothing, is to be sent away now."""
        return self.ending_since is not None and now >= self.ending_since + self.times.end_by
