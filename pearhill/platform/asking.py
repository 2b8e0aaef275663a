"""When discovery is asked: for what, and how soon again. Free of I/O; times are microseconds."""

from __future__ import annotations

import random

SHARE = 150_000  # of one service's time for each dispatcher: by so much are their calls spread
LEAST, LONGEST = 100_000, 20_000_000  # between a failed call and the next, where all ask one service
# Of a watch. What a silent one misses counts as told 6 s after it fell silent, or 2 s after its wait is over if that
# is later (FLEET.md): by then it has to be noticed, opened anew and answered, at a shared service after 2 s in line.
WAIT, SHARED_WAIT = 1_000_000, 3_000_000
LATE = 500_000  # an answer may come so long after its wait before the watch is taken for silent
# For an answer that need not wait. Danger: discovery lets a call stand in line for 2 s; given up just before its turn,
# it costs as much as one that is answered.
AT_ONCE = 3_000_000
MOST_OUT = 8  # calls at a silent agent, each on a connection of its own; the oldest goes for the next
# Of the time in which a change must be heeded one part goes by until the next call. Danger: an answer or two may be
# nonsense, and there is the parse, the books and whatever the loop is busy with.
PARTS, LONGEST_OWN = 5, 100_000


class Asking:
    """`shared`: discovery is one service that all dispatchers ask in turn (`on_request`), not a push to each.

    Danger: asked at once after every failure, such a service answers nobody. Forty dispatchers that started together
    and came back every 100 ms kept it full, and none of them heard of a change for as long as the day lasted. So each
    draws its first call and every further one at random from a span that all have room in (full jitter), twice as
    long after each failure.

    An agent of one's own costs nobody anything, and what it has counts as told from the moment it has it. Danger: it
    falls silent and comes back with news that must be heeded within `grace`. So while it answers nothing it is asked
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
        """How long after the start the first call is made."""
        return int(self.rng.uniform(0, self.span)) if self.shared else 0

    def wait(self, listed: bool) -> int:
        """How long the next call lets discovery wait for news. `listed`: there is a list to which news applies."""
        # Danger: a call that may wait cannot show that an agent which was silent is back.
        return (SHARED_WAIT if self.shared else 0 if self.failures else WAIT) if listed else 0

    def patience(self, wait: int) -> int:
        """How long the answer to a call that may wait so long can take before it is given up."""
        if self.shared:
            return wait + LATE if wait else AT_ONCE
        return wait + LATE + MOST_OUT * self.every

    def unanswered(self, wait: int) -> int:
        """After how long the next call goes out although this one is not answered; 0: not before it has failed."""
        return 0 if self.shared else wait + LATE if wait else self.every

    def answered(self) -> None:
        self.failures = 0

    def failed(self, watched: bool = False) -> int:
        """How long to wait after a call that failed. `watched`: it was a watch that had been answered before."""
        self.failures += 1
        if not self.shared:
            return 0 if self.failures == 1 else self.every
        # Danger: one watch that broke has to go on before what it missed counts as told.
        most = LATE if watched and self.failures == 1 else min(LONGEST, self.span * 2 ** min(self.failures, 16))
        return (0 if most == LATE else LEAST) + int(self.rng.uniform(0, most))
