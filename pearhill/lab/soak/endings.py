"""How dispatchers ended, and which requests that excuses.

SIGKILL by itself excuses what is under way then. After SIGTERM it excuses only what arrived within 0.7 s of it. A
dispatcher that exits by itself excuses nothing."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.lab.soak.records import Request, Sent

EXCUSED_AFTER_TERM = 700_000
CROSSING = 100_000  # for a close and a request that meet on the way: moments, and not a second
# The platform's clients open connections until 0.4 s after SIGTERM at the latest and ask at once; from 0.5 s on a
# dispatcher may end those on which nothing was asked.
FIRST_REQUESTS_AFTER_TERM = 500_000


@dataclass(slots=True)
class Ending:
    """One process's end, in microseconds; 0: not so."""

    terminated: int = 0
    killed: int = 0
    exited: int = 0  # by itself


class Endings:
    def __init__(self) -> None:
        self._of: dict[str, list[Ending]] = {}

    def terminated(self, at: int, dispatcher: str) -> None:
        last = self.last(dispatcher)
        if last is None or last.killed or not last.terminated:
            self._of.setdefault(dispatcher, []).append(Ending(terminated=at))

    def killed(self, at: int, dispatcher: str) -> None:
        last = self.last(dispatcher)
        if last and last.terminated and not last.killed:
            last.killed = at
        else:
            self._of.setdefault(dispatcher, []).append(Ending(killed=at))

    def exited(self, at: int, dispatcher: str) -> None:
        """It ended by itself: a later signal is another process's."""
        if last := self.last(dispatcher):
            last.exited = at
        self._of.setdefault(dispatcher, []).append(Ending())

    def last(self, dispatcher: str) -> Ending | None:
        endings = self._of.get(dispatcher)
        return endings[-1] if endings else None

    def first_request_was_late(self, sent: Sent) -> bool:
        """Whether a connection's first request was written when its dispatcher was ending, and later than any client of
        the platform writes one: this machine kept its client back."""
        for ending in self._of.get(sent.dispatcher, ()):
            over = ending.killed or ending.exited
            still_there = not over or sent.at <= over + CROSSING
            if ending.terminated and still_there and sent.at > ending.terminated + FIRST_REQUESTS_AFTER_TERM:
                return True
        return False

    def excuse(self, request: Request, at: int) -> bool:
        """Whether a kill excuses what became of the request by `at`."""
        return self._excuses(request.sent[-1], at)

    def excuse_any(self, request: Request, at: int) -> bool:
        """The same for what any dispatcher that was asked may have left behind."""
        return any(self._excuses(sent, at) for sent in request.sent)

    def _excuses(self, sent: Sent, at: int) -> bool:
        return any(
            ending.killed
            and sent.at <= ending.killed + CROSSING
            and ending.killed <= at + CROSSING
            and (not ending.terminated or sent.at <= ending.terminated + EXCUSED_AFTER_TERM)
            for ending in self._of.get(sent.dispatcher, ())
        )
