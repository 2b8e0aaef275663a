"""One drain, whoever asked for it: operators, who may end it again, the signal that ends the process, or another
process that has come to take this one's clients. And the stages of a shutdown, within what the platform leaves it.

The platform sends SIGKILL as early as the longest deadline, 3 s at most, plus 0.7 s after SIGTERM. Until then clients
send on every connection that stays open; new connections come for 0.2 to 0.4 s. What arrived more than 0.7 s after
SIGTERM and is unanswered at SIGKILL is lost."""

from __future__ import annotations

from dataclasses import dataclass

OPEN, LAST_ANSWERS, NO_IDLE = range(3)  # each answer ends its connection; idle connections end too
KEEP_OPEN = 500_000  # clients still use the connections they have, and new ones still come

# The platform's, in microseconds after it has sent SIGTERM.
LONGEST_DEADLINE = 3_000_000  # a longer one does not put the kill off any further
KILL_AFTER_DEADLINE = 700_000
NEW_CONNECTIONS_FOR = 420_000
# The process may hear of the signal, or of anything else, so much later than it came.
HELD_UP = 150_000
LAST_ANSWERS_TAKE = 100_000  # kept back for the way of the last answers, and for clients to close
ACCEPT_FOR = 1_000_000  # at most: longer than clients come, for whatever is held up on their side


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The stages of a shutdown, in microseconds since the process heard SIGTERM."""

    close_idle_after: int  # idle connections end
    refuse_after: int  # what is read from then on is refused: it might still be under way at SIGKILL
    accept_for: int  # then nobody is taken any more
    end_by: int  # whatever connection still owes its request, or half of one, ends with a refusal
    kill_after: int  # SIGKILL is to be reckoned with

    @classmethod
    def for_deadline(cls, longest: int) -> ShutdownTimes:
        """`longest`: the longest deadline of the settings, in microseconds."""
        kill_after = min(longest, LONGEST_DEADLINE) + KILL_AFTER_DEADLINE
        end_by = kill_after - HELD_UP - LAST_ANSWERS_TAKE
        accept_for = min(ACCEPT_FOR, max(NEW_CONNECTIONS_FOR, end_by - LAST_ANSWERS_TAKE))
        refuse_after = KILL_AFTER_DEADLINE - HELD_UP - LAST_ANSWERS_TAKE
        return cls(min(KEEP_OPEN, accept_for), refuse_after, accept_for, end_by, kill_after)


class Drain:
    def __init__(self) -> None:
        self.by_hand: int | None = None  # since when; microseconds
        self.ending: int | None = None
        self.yielding: int | None = None
        self.times = ShutdownTimes.for_deadline(LONGEST_DEADLINE)  # of the shutdown, once it has begun

    def request(self, now: int, on: bool) -> None:
        """Operators' call. Asked for twice, it is one drain; ended without a beginning, it is none."""
        if not on:
            self.by_hand = None
        elif self.by_hand is None:
            self.by_hand = now

    def end_process(self, now: int, longest_deadline: int) -> None:
        """The process has been told to end. Said again, or with other settings later, it ends as early as any of them
        asks for; an end of the operators' drain does not keep it."""
        times = ShutdownTimes.for_deadline(longest_deadline)
        if self.ending is None:
            self.ending, self.times = now, times
        elif times.end_by < self.times.end_by:
            self.times = times

    def yield_to_successor(self, now: int, on: bool) -> None:
        """Another process takes the clients, or, having gone, no longer does."""
        self.yielding = None if not on else now if self.yielding is None else self.yielding

    @property
    def away(self) -> bool:
        """Clients are to go to other dispatchers. The one whose place is taken is still this dispatcher; said
        of it, the front would leave its successor too."""
        return self.by_hand is not None or (self.ending is not None and self.yielding is None)

    def refuses(self, arrived: int) -> bool:
        """Whether a request that was read then comes too late: the process has been told to end, and the platform kills
        it before a long answer would be whole."""
        return self.ending is not None and arrived >= self.ending + self.times.refuse_after

    @property
    def on(self) -> bool:
        return self._no_idle_from is not None

    @property
    def _no_idle_from(self) -> int | None:
        """When idle connections end; None: there is no drain."""
        spans = (
            (self.by_hand, KEEP_OPEN),
            (self.yielding, KEEP_OPEN),
            (self.ending, self.times.close_idle_after),
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

    def ends_all(self, now: int) -> bool:
        """Whether what is still connected, and owed nothing, is to be sent away now."""
        return self.ending is not None and now >= self.ending + self.times.end_by
