"""How dispatchers ended, and which requests that excuses.

SIGKILL by itself excuses what is under way then. After SIGTERM it excuses only what arrived within 0.7 s of it. A
dispatcher that exits by itself excuses nothing."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.lab.soak.records import Request, Sent

EXCUSED_AFTER_TERM = 700_000
CROSSING = 100_000  # for a close and a request that meet on the way: moments, and not a second


@dataclass(slots=True)
class Ending:
    """One process's end, in microseconds; 0: not so."""

    terminated: int = 0
    killed: int = 0


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

    def exited(self, dispatcher: str) -> None:
        """It ended by itself: a later signal is another process's."""
        self._of.setdefault(dispatcher, []).append(Ending())

    def last(self, dispatcher: str) -> Ending | None:
        endings = self._of.get(dispatcher)
        return endings[-1] if endings else None

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
