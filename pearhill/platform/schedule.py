"""When discovery is called, and with which timeouts. Performs no I/O; times and delays are in microseconds."""

from __future__ import annotations

import random
from collections.abc import Sequence

# The time that a shared discovery service has for each dispatcher. Their calls are spread over this time multiplied by
# the number of dispatchers.
SERVICE_TIME_PER_DISPATCHER_US = 150_000
# At a shared service the next call begins at most this long after the last one. What the service has published counts
# as received 6 s later, whether or not the calls succeed, and a call may wait 2 s in the service's queue.
MAX_CALL_INTERVAL_US = 3_500_000
MAX_QUEUE_WAIT_US = 2_000_000
# How long discovery may wait for an event before it answers a watch.
WATCH_WAIT_US = 1_000_000
SHARED_WATCH_WAIT_US = 3_000_000
# If a call to an agent is still unanswered so long after its wait, the next call is made.
SILENCE_TIMEOUT_US = 500_000
# A call to a shared service times out so long after its wait or the longest time in the queue, whichever is longer.
SHARED_ANSWER_ALLOWANCE_US = 300_000
# A call to an agent, which may be slow, times out so long after its wait.
AGENT_ANSWER_ALLOWANCE_US = 5_000_000
# Open calls to an agent that does not answer, each on its own connection. A further call replaces an open one.
MAX_CONCURRENT_CALLS = 8
# An agent that does not answer is called so many times within the drain grace: one or two answers may be invalid, and
# parsing, updating the endpoints and other work of the event loop take time as well.
CALLS_PER_GRACE = 5
MIN_RETRY_INTERVAL_US = 1_000
MAX_RETRY_INTERVAL_US = 100_000
# Bounds the exponent of the backoff, which would otherwise become very large in a long outage.
MAX_BACKOFF_DOUBLINGS = 16


class CallSchedule:
    """The times of the calls to discovery: a service that all dispatchers share, or an agent of this dispatcher alone.

    `shared`: discovery is one service that all dispatchers poll (`on_request`). If every failed call were repeated at
    once, such a service could be overloaded without end: forty dispatchers that started together and retried every
    100 ms kept it saturated, and none of them received any change in the whole run. So each dispatcher draws the time
    of its first call from a span that is long enough for all of them, and after failures it backs off exponentially
    with jitter, up to the limit that the allowed age of the endpoint list sets.

    An agent of this dispatcher alone may be called as often as needed, and the dispatcher is held to a change from the
    moment that the agent has it. The agent may stop answering and come back with an event that must be in force within
    `grace`. So while it does not answer, it is called several times within `grace`, whether or not earlier calls have
    ended. The oldest open call is kept when a new call replaces one: an agent may be slow without being silent.
    """

    def __init__(self, shared: bool, instances: int, grace: int, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0  # since the last answer
        self.reconfigure(shared, instances, grace)

    def reconfigure(self, shared: bool, instances: int, grace: int) -> None:
        """Apply other settings from the next call on. `instances`: the number of dispatchers that share the service."""
        self.shared = shared
        self.span = SERVICE_TIME_PER_DISPATCHER_US * max(1, instances)
        self.retry_interval = min(MAX_RETRY_INTERVAL_US, max(MIN_RETRY_INTERVAL_US, grace // CALLS_PER_GRACE))

    @property
    def max_concurrent_calls(self) -> int:
        """Return how many calls may be open at a time."""
        return 1 if self.shared else MAX_CONCURRENT_CALLS

    def first_call_delay(self) -> int:
        """Return the delay of the first call after the start, or after the address of discovery has changed."""
        if not self.shared:
            return 0
        return int(self.rng.uniform(0, min(self.span, MAX_CALL_INTERVAL_US)))

    def delay_after_move(self, since_last_call: int) -> int:
        """Return the delay of the first call after the address of discovery has changed.

        `since_last_call`: the time since the last call to any address. The endpoint list ages whatever its source, so
        repeated changes of the address must not postpone the call further.
        """
        return min(self.first_call_delay(), max(0, MAX_CALL_INTERVAL_US - since_last_call))

    def watch_wait(self, has_list: bool) -> int:
        """Return how long discovery may wait for an event before it answers the next call.

        `has_list`: there is a list that events apply to.
        """
        if not has_list:
            return 0
        if self.shared:
            return SHARED_WATCH_WAIT_US
        # A call that may wait would not show early that an agent answers again.
        return 0 if self.failures else WATCH_WAIT_US

    def answer_timeout(self, wait: int) -> int:
        """Return the timeout of a call whose answer may wait `wait` for an event."""
        if self.shared:
            # A call that is cancelled just before its turn costs the service as much as an answered one.
            return max(wait, MAX_QUEUE_WAIT_US) + SHARED_ANSWER_ALLOWANCE_US
        return wait + AGENT_ANSWER_ALLOWANCE_US

    def overlap_delay(self, wait: int) -> int:
        """Return how long after an unanswered call the next one is sent beside it, or 0 if only after its failure."""
        if self.shared:
            return 0
        return wait + SILENCE_TIMEOUT_US if wait else self.retry_interval

    def call_to_replace(self, now: int, start_times: Sequence[int]) -> int:
        """Return the index of the open call that the next one replaces.

        `start_times`: when each call began, oldest first; not empty. An agent that was silent may answer only new
        calls, and a slow agent answers only calls that stay open long enough. So the oldest call is kept, and of the
        others the one is replaced whose two neighbours' ages have the smallest ratio: this way the ages of the open
        calls grow geometrically up to the timeout of the oldest.
        """
        ages = [now - started_at + self.retry_interval for started_at in (*start_times, now)]
        replaceable = range(1, len(start_times))
        return min(replaceable, key=lambda index: ages[index - 1] / ages[index + 1], default=0)

    def delay_after_answer(self, early: bool = False) -> int:
        """Return the delay of the next call after an answer.

        `early`: the answer had no event and came long before the end of its wait. Without a delay after early answers,
        a discovery that never waits would be called as fast as it answers.
        """
        self.failures = 0
        if not early:
            return 0
        return self._backoff(MAX_CALL_INTERVAL_US) if self.shared else self.retry_interval

    def delay_after_failure(self, elapsed: int) -> int:
        """Return the delay of the next call after one that failed `elapsed` after it began."""
        self.failures += 1
        if self.shared:
            return self._backoff(MAX_CALL_INTERVAL_US - elapsed)
        return 0 if self.failures == 1 else self.retry_interval

    def _backoff(self, max_delay: int) -> int:
        """Return an exponential backoff of at most `max_delay`, with jitter over its upper half."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        ceiling = max(0, min(max_delay, self.span * 2**doublings))
        return int(self.rng.uniform(ceiling / 2, ceiling))
