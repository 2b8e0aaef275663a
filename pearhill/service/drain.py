"""One drain, whoever asked for it: operators, who may end it again, the signal that ends the process, or another
process that has come to take this one's clients."""

from __future__ import annotations

OPEN, LAST_ANSWERS, NO_IDLE = range(3)  # each answer ends its connection; idle connections end too
TAKEN_FOR = 600_000  # after the signal to end; what comes more than 0.7 s after it and is not answered is lost
KEEP_OPEN = 500_000  # clients still use the connections they have, and new ones still come


class Drain:
    def __init__(self) -> None:
        self.by_hand: int | None = None  # since when; microseconds
        self.ending: int | None = None
        self.yielding: int | None = None

    def ask(self, now: int, on: bool) -> None:
        """Operators' call. Asked for twice, it is one drain; ended without a beginning, it is none."""
        if not on:
            self.by_hand = None
        elif self.by_hand is None:
            self.by_hand = now

    def end_process(self, now: int) -> None:
        """Danger: a process that has been told to end must not be kept by an end of the operators' drain."""
        if self.ending is None:
            self.ending = now

    def give_way(self, now: int, on: bool) -> None:
        """Another process takes the clients, or, having gone, no longer does."""
        self.yielding = None if not on else now if self.yielding is None else self.yielding

    @property
    def away(self) -> bool:
        """Clients are to go to other dispatchers. Danger: the one whose place is taken is still this dispatcher; said
        of it, the front would leave its successor too."""
        return self.by_hand is not None or (self.ending is not None and self.yielding is None)

    def refuses(self, arrived: int) -> bool:
        """Whether a request that was read then comes too late: the process has been told to end, and the platform kills
        it before a long answer would be whole."""
        return self.ending is not None and arrived >= self.ending + TAKEN_FOR

    @property
    def since(self) -> int | None:
        return min((at for at in (self.by_hand, self.ending, self.yielding) if at is not None), default=None)

    @property
    def on(self) -> bool:
        return self.since is not None

    def stage(self, now: int) -> int:
        since = self.since
        if since is None:
            return OPEN
        return NO_IDLE if now >= since + KEEP_OPEN else LAST_ANSWERS

    def tick(self, now: int) -> int | None:
        """When the next stage begins; None: no time will change it."""
        return self.since + KEEP_OPEN if self.since is not None and self.stage(now) == LAST_ANSWERS else None
