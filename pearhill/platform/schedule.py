"""When discovery is called: for what, and how soon again. Free of I/O; times and delays are microseconds."""

from __future__ import annotations

import random
from collections.abc import Sequence

# A shared discovery service spends this much of its time on each dispatcher: by so much are their calls spread.
SERVICE_TIME_PER_DISPATCHER_US = 150_000
# At a shared service the next call begins at most this long after the last one. What can be had from the service counts
# as received 6 s later, whatever became of the calls before; and a call may wait in the service's queue for 2 s.
MAX_CALL_INTERVAL_US = 3_500_000
MAX_QUEUE_WAIT_US = 2_000_000
# How long a watch lets discovery wait for an event.
WATCH_WAIT_US = 1_000_000
SHARED_WATCH_WAIT_US = 3_000_000
# An agent is called again so long after the end of an unanswered call's wait.
SILENCE_TIMEOUT_US = 500_000
# A call at a shared service is given up so long after its turn in the queue.
SHARED_ANSWER_ALLOWANCE_US = 300_000
# How long a slow agent may take for an answer beyond the wait of its call.
AGENT_ANSWER_ALLOWANCE_US = 5_000_000
# Calls at an agent that does not answer, each on a connection of its own; beyond that a new one replaces an open one.
MAX_CONCURRENT_CALLS = 8
# An agent that does not answer is called so many times within the drain grace: an answer or two may be nonsense, and
# the parse, the update of the endpoints and other work of the event loop take time as well.
CALLS_PER_GRACE = 5
MIN_RETRY_INTERVAL_US = 1_000
MAX_RETRY_INTERVAL_US = 100_000
# Bounds the exponent of the backoff, so that it stays a small number through long outages.
MAX_BACKOFF_DOUBLINGS = 16


class CallSchedule:
    """The times of the calls to discovery: a service that all dispatchers share, or an agent of this one's own.

    `shared`: discovery is one service that all dispatchers poll (`on_request`), not a push to each. Called at once
    after every failure, such a service answers nobody: forty dispatchers that started together and came back every
    100 ms kept it full, and none of them learned of a change as long as the day lasted. So each draws its first call
    from a span in which all have room, and after failures it backs off exponentially with jitter, up to what the
    allowed age of the endpoint list permits.

    An agent of this dispatcher's own may be called freely, and what it has counts as received from the moment it has
    it. It may fall silent and come back with an event that must be in force within `grace`. So while it does not answer
    it is called several times in that span, whatever became of the calls before. Nor does a new call end the one that
    has waited longest: an agent may be slow without being silent.
    """

    def __init__(self, shared: bool, instances: int, grace: int, rng: random.Random) -> None:
        self.rng = rng
        self.failures = 0  # in a row, since the last answer
        self.reconfigure(shared, instances, grace)

    def reconfigure(self, shared: bool, instances: int, grace: int) -> None:
        """Take other settings, in force from the next call on. `instances`: dispatchers that share the service."""
        self.shared = shared
        self.span = SERVICE_TIME_PER_DISPATCHER_US * max(1, instances)
        self.retry_interval = min(MAX_RETRY_INTERVAL_US, max(MIN_RETRY_INTERVAL_US, grace // CALLS_PER_GRACE))

    @property
    def max_concurrent_calls(self) -> int:
        """How many calls may be open at a time."""
        return 1 if self.shared else MAX_CONCURRENT_CALLS

    def first_call_delay(self) -> int:
        """How long after the start, or after discovery has moved, the first call is made."""
        if not self.shared:
            return 0
        return int(self.rng.uniform(0, min(self.span, MAX_CALL_INTERVAL_US)))

    def delay_after_move(self, since_last_call: int) -> int:
        """How long after discovery has moved the first call there is made; `since_last_call`: to any address.

        The endpoint list grows old whatever its source: moves in a row must not put the call off.
        """
        return min(self.first_call_delay(), max(0, MAX_CALL_INTERVAL_US - since_last_call))

    def watch_wait(self, has_list: bool) -> int:
        """How long the next call lets discovery wait for an event. `has_list`: there is a list that events apply to."""
        if not has_list:
            return 0
        if self.shared:
            return SHARED_WATCH_WAIT_US
        # A call that may wait cannot show that an agent which was silent is back.
        return 0 if self.failures else WATCH_WAIT_US

    def answer_timeout(self, wait: int) -> int:
        """How long the answer to a call that may wait `wait` can take before the call is given up."""
        if self.shared:
            # A call that is given up just before its turn costs the service as much as one that is answered.
            return max(wait, MAX_QUEUE_WAIT_US) + SHARED_ANSWER_ALLOWANCE_US
        return wait + AGENT_ANSWER_ALLOWANCE_US

    def overlap_delay(self, wait: int) -> int:
        """After how long the next call goes out beside an unanswered one; 0: not before that one has failed."""
        if self.shared:
            return 0
        return wait + SILENCE_TIMEOUT_US if wait else self.retry_interval

    def call_to_replace(self, now: int, begun: Sequence[int]) -> int:
        """Which open call the next one replaces. `begun`: when each of them began, the oldest first; not empty.

        An agent that was silent answers new calls only; one that is slow answers only calls that stay open for as long
        as it takes. So the oldest call stays, and of the others the one goes whose two neighbours' ages have the
        smallest ratio: the ages of the open calls grow geometrically up to the timeout of the oldest.
        """
        ages = [now - began + self.retry_interval for began in (*begun, now)]
        replaceable = range(1, len(begun))
        return min(replaceable, key=lambda index: ages[index - 1] / ages[index + 1], default=0)

    def delay_after_answer(self, early: bool = False) -> int:
        """How long to wait after a call that was answered. `early`: without an event, long before its wait was over.

        Without a delay after early answers, a discovery that lets no call wait would be called as fast as it answers.
        """
        self.failures = 0
        if not early:
            return 0
        return self._backoff(MAX_CALL_INTERVAL_US) if self.shared else self.retry_interval

    def delay_after_failure(self, elapsed: int) -> int:
        """How long to wait after a call that failed `elapsed` after it began."""
        self.failures += 1
        if self.shared:
            return self._backoff(MAX_CALL_INTERVAL_US - elapsed)
        return 0 if self.failures == 1 else self.retry_interval

    def _backoff(self, longest: int) -> int:
        """Exponential backoff with jitter over its upper half, `longest` at most."""
        doublings = min(self.failures, MAX_BACKOFF_DOUBLINGS)
        ceiling = max(0, min(longest, self.span * 2**doublings))
        return int(self.rng.uniform(ceiling / 2, ceiling))
