"""The stages of a shutdown, within the time between the platform's SIGTERM and its SIGKILL.

The earliest time of SIGKILL after SIGTERM is the longest deadline, at most 3 s, plus 0.7 s. Until then clients send
requests on every connection that stays open, and new connections arrive for 0.2 to 0.4 s. A request that arrived more
than 0.7 s after SIGTERM and is unanswered at SIGKILL is lost.
"""

from __future__ import annotations

from dataclasses import dataclass

# The platform's times, counted from the moment at which it sends SIGTERM.
MAX_KILL_DEADLINE_US = 3_000_000  # a longer deadline does not delay SIGKILL any further
KILL_AFTER_DEADLINE_US = 700_000
NEW_CONNECTIONS_US = 420_000  # for how long new connections arrive

# The dispatcher's times.
MAX_SIGNAL_DELAY_US = 150_000  # the process may notice the signal, or any other event, this much later
LAST_ANSWERS_RESERVE_US = 100_000  # for the transfer of the last answers, and for clients to close
MAX_ACCEPT_US = 1_000_000  # longer than NEW_CONNECTIONS_US, for clients that are delayed
IDLE_GRACE_US = 500_000  # for clients that still use their connections or open new ones


@dataclass(frozen=True, slots=True)
class ShutdownTimes:
    """The stages of a shutdown, in microseconds since the process noticed SIGTERM."""

    close_idle_after: int  # idle connections are closed
    reject_after: int  # requests read from then on are rejected: they might be unfinished at SIGKILL
    accept_for: int  # afterwards no connection is accepted
    end_by: int  # connections that wait for an answer or have sent a partial request are closed with a rejection
    kill_after: int  # the earliest time of SIGKILL

    @classmethod
    def for_deadline(cls, longest: int) -> ShutdownTimes:
        """Returns the stages for `longest`, the longest deadline in the settings, in microseconds."""
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
