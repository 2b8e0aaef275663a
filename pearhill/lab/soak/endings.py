"""How dispatchers ended, and which requests that excuses.

SIGKILL by itself excuses what is under way then. After SIGTERM it excuses only what arrived within 0.7 s of it. A
dispatcher that exits by itself excuses nothing."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.lab.soak.records import RequestRecord, SentRequest

EXCUSED_AFTER_SIGTERM_US = 700_000
MAX_CROSSING_US = 100_000  # for a close and a request that meet on the way: moments, and not a second
# The platform's clients open connections until 0.4 s after SIGTERM at the latest and ask at once; from 0.5 s on a
# dispatcher may end those on which nothing was asked.
FIRST_REQUESTS_AFTER_SIGTERM_US = 500_000


@dataclass(slots=True)
class ProcessEnd:
    """One process's end, in microseconds; 0: not so."""

    terminated: int = 0
    killed: int = 0
    exited: int = 0  # by itself


class ProcessEnds:
    """The ends of each dispatcher's processes, in their order. Times are microseconds."""

    def __init__(self) -> None:
        self._by_dispatcher: dict[str, list[ProcessEnd]] = {}

    def terminated(self, at: int, dispatcher: str) -> None:
        """The running process was sent SIGTERM; a second one changes nothing."""
        last = self.last(dispatcher)
        if last is None or last.killed or not last.terminated:
            self._by_dispatcher.setdefault(dispatcher, []).append(ProcessEnd(terminated=at))

    def killed(self, at: int, dispatcher: str) -> None:
        """The running process was sent SIGKILL."""
        last = self.last(dispatcher)
        if last and last.terminated and not last.killed:
            last.killed = at
        else:
            self._by_dispatcher.setdefault(dispatcher, []).append(ProcessEnd(killed=at))

    def exited(self, at: int, dispatcher: str) -> None:
        """It ended by itself: a later signal is another process's."""
        if last := self.last(dispatcher):
            last.exited = at
        self._by_dispatcher.setdefault(dispatcher, []).append(ProcessEnd())

    def last(self, dispatcher: str) -> ProcessEnd | None:
        """The end of the last process that was told to end; empty once it has exited by itself, None before any."""
        endings = self._by_dispatcher.get(dispatcher)
        return endings[-1] if endings else None

    def first_request_was_late(self, sent: SentRequest) -> bool:
        """Whether a connection's first request was written when its dispatcher was ending, and later than any client of
        the platform writes one: this machine kept its client back."""
        for ending in self._by_dispatcher.get(sent.dispatcher, ()):
            over = ending.killed or ending.exited
            still_there = not over or sent.at <= over + MAX_CROSSING_US
            if ending.terminated and still_there and sent.at > ending.terminated + FIRST_REQUESTS_AFTER_SIGTERM_US:
                return True
        return False

    def excuses(self, request: RequestRecord, at: int) -> bool:
        """Whether a kill excuses what became of the request by `at`."""
        return self._excuses(request.sent[-1], at)

    def excuses_any(self, request: RequestRecord, at: int) -> bool:
        """The same for what any dispatcher that was asked may have left behind."""
        return any(self._excuses(sent, at) for sent in request.sent)

    def _excuses(self, sent: SentRequest, at: int) -> bool:
        return any(
            ending.killed
            and sent.at <= ending.killed + MAX_CROSSING_US
            and ending.killed <= at + MAX_CROSSING_US
            and (not ending.terminated or sent.at <= ending.terminated + EXCUSED_AFTER_SIGTERM_US)
            for ending in self._by_dispatcher.get(sent.dispatcher, ())
        )
