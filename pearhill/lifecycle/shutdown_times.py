"""The stages of a shutdown, within what the platform leaves it.

The platform sends SIGKILL as early as the longest deadline, 3 s at most, plus 0.7 s after SIGTERM. Until then clients
send on every connection that stays open; new connections come for 0.2 to 0.4 s. What arrived more than 0.7 s after
SIGTERM and is unanswered at SIGKILL is lost."""

from __future__ import annotations

from dataclasses import dataclass

# The platform's times, counted from the moment at which it sends SIGTERM.
MAX_KILL_DEADLINE_US = 3_000_000  # a longer deadline does not put the kill off any further
KILL_AFTER_DEADLINE_US = 700_000
NEW_CONNECTIONS_US = 420_000  # new connections come for so long

# The dispatcher's times.
MAX_SIGNAL_DELAY_US = 150_000  # the process may notice the signal, or anything else, so much later than it came
LAST_ANSWERS_RESERVE_US = 100_000  # for the way of the last answers, and for clients to close
MAX_ACCEPT_US = 1_000_000  # longer than clients come, for whatever is delayed on their side
IDLE_GRACE_US = 500_000  # clients still use the connections they have, and new ones still come


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The stages of a shutdown, in microseconds since the process noticed SIGTERM."""

    close_idle_after: int  # idle connections are closed
    reject_after: int  # what is read from then on is rejected: it might still be under way at SIGKILL
    accept_for: int  # then no client is accepted any more
    end_by: int  # a connection that still waits for its answer, or has sent half a request, is closed with a rejection
    kill_after: int  # SIGKILL is to be reckoned with

    @classmethod
    def for_deadline(cls, longest: int) -> ShutdownTimes:
        """`longest`: the longest deadline of the settings, in microseconds."""
        kill_after = min(longest, MAX_KILL_DEADLINE_US) + KILL_AFTER_DEADLINE_US
        end_by = kill_after - MAX_SIGNAL_DELAY_US - LAST_ANSWERS_RESERVE_US
        accept_for = min(MAX_ACCEPT_US, max(NEW_CONNECTIONS_US, end_by - LAST_ANSWERS_RESERVE_US))
        return cls(
            close_idle_after=min(IDLE_GRACE_US, accept_for),
            reject_after=KILL_AFTER_DEADLINE_US - MAX_SIGNAL_DELAY_US - LAST_ANSWERS_RESERVE_US,
            accept_for=accept_for,
            end_by=end_by,
            kill_after=kill_after,
        )
