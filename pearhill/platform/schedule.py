"""When discovery is called: for what, and how soon again. Free of I/O; times are microseconds."""

from __future__ import annotations

import random

SHARE = 150_000  # of one service's time for each dispatcher: by so much are their calls spread
# Where all call one service. What it has and can be had from it counts as told 6 s later, whatever became of the calls
# before; and a call may stand in line for 2 s. So the next call begins so long after the last one at most.
BETWEEN, IN_LINE = 3_500_000, 2_000_000
WAIT, SHARED_WAIT = 1_000_000, 3_000_000  # of a watch
LATE, SHARED_LATE = 500_000, 300_000  # an answer may come so long after its wait, or its turn, before it is given up
MOST_OUT = 8  # calls at a silent agent, each on a connection of its own; the oldest goes for the next
# Of the time in which a change must be heeded one part goes by until the next call. Danger: an answer or two may be
# nonsense, and there is the parse, the books and whatever the loop is busy with.
PARTS, LONGEST_OWN = 5, 100_000


class CallSchedule:
    """`shared`: discovery is one service that all dispatchers call in turn (`on_request`), not a push to each.

    Danger: called at once after every failure, such a service answers nobody. Forty dispatchers that started together
    and came back every 100 ms kept it full, and none of them heard of a change for as long as the day lasted. So each
    draws its first call from a span that all have room in, and after failures backs off with jitter, twice as far each
    time, up to what the age of its news allows.

    An agent of one's own costs nobody anything, and what it has counts as told from the moment it has it. Danger: it
    falls silent and comes back with news that must be heeded within `grace`. So while it answers nothing it is called
    again several times in that, whatever became of the calls before."""

    def __init__(self, shared: bool, instances: int, grace: int, rng: random.Random) -> None:
        self.rng, self.failures = rng, 0
        self.reconfigure(shared, instances, grace)

    def reconfigure(self, shared: bool, instances: int, grace: int) -> None:
        """In force from the next call on."""
        self.shared, self.span = shared, SHARE * max(1, instances)
        self.every = min(LONGEST_OWN, max(1_000, grace // PARTS))

    @property
    def most_out(self) -> int:
        """Calls at a time."""
        return 1 if self.shared else MOST_OUT

    def first(self) -> int:
        """How long after the start, or after discovery has moved, the first call is made."""
        return int(self.rng.uniform(0, min(self.span, BETWEEN))) if self.shared else 0

    def moved(self, since_call: int) -> int:
        """How long after discovery has moved the first call there is made, so long after the last call anywhere. News
        grow old whoever has them: moves in a row must not put the call off."""
        return min(self.first(), max(0, BETWEEN - since_call))

    def wait(self, listed: bool) -> int:
        """How long the next call lets discovery wait for news. `listed`: there is a list to which news applies."""
        # Danger: a call that may wait cannot show that an agent which was silent is back.
        return (SHARED_WAIT if self.shared else 0 if self.failures else WAIT) if listed else 0

    def patience(self, wait: int) -> int:
        """How long the answer to a call that may wait so long can take before it is given up."""
        if self.shared:
            # Danger: one that is given up just before its turn costs as much as one that is answered.
            return max(wait, IN_LINE) + SHARED_LATE
        return wait + LATE + MOST_OUT * self.every

    def unanswered(self, wait: int) -> int:
        """After how long the next call goes out although this one is not answered; 0: not before it has failed."""
        return 0 if self.shared else wait + LATE if wait else self.every

    def answered(self, early: bool = False) -> int:
        """How long to wait after a call that was answered. `early`: without news, and long before its wait was over.
        Danger: a discovery that lets no call wait would be called as fast as it answers."""
        self.failures = 0
        return 0 if not early else self._spread(BETWEEN) if self.shared else self.every

    def _spread(self, longest: int) -> int:
        most = max(0, min(longest, self.span * 2 ** min(self.failures, 16)))
        return int(self.rng.uniform(most / 2, most))

    def failed(self, took: int) -> int:
        """How long to wait after a call that failed, so long after it began."""
        self.failures += 1
        if not self.shared:
            return 0 if self.failures == 1 else self.every
        return self._spread(BETWEEN - took)
