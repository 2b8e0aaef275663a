"""How dispatchers' processes ended, and which failed requests such an end excuses.

SIGKILL without a SIGTERM before it excuses the requests in flight. SIGKILL after SIGTERM excuses only requests that
arrived within 0.7 s of SIGTERM. A dispatcher that exits by itself excuses no failed request."""

from __future__ import annotations

from dataclasses import dataclass

from pearhill.lab.soak.records import RequestRecord, SentRequest

EXCUSED_AFTER_SIGTERM_US = 700_000
MAX_CROSSING_US = 100_000  # for a close and a request to cross on the network, which takes milliseconds
# The platform's clients open connections until 0.4 s after SIGTERM at the latest and send a request at once. From 0.5 s
# after SIGTERM a dispatcher may close connections on which no request has arrived.
FIRST_REQUESTS_AFTER_SIGTERM_US = 500_000


@dataclass(slots=True)
class ProcessEnd:
    """The times of one process's end, in microseconds; 0 if it did not happen."""

    terminated_at: int = 0
    killed_at: int = 0
    exited_at: int = 0  # without SIGKILL


class ProcessEnds:
    """The ends of each dispatcher's processes, in order of time. Times are in microseconds."""

    def __init__(self) -> None:
        self._by_dispatcher: dict[str, list[ProcessEnd]] = {}

    def terminated(self, at: int, dispatcher: str) -> None:
        """Record that the running process was sent SIGTERM; a second SIGTERM has no effect."""
        last = self.last(dispatcher)
        if last is None or last.killed_at or not last.terminated_at:
            self._by_dispatcher.setdefault(dispatcher, []).append(ProcessEnd(terminated_at=at))

    def killed(self, at: int, dispatcher: str) -> None:
        """Record that the running process was sent SIGKILL."""
        last = self.last(dispatcher)
        if last and last.terminated_at and not last.killed_at:
            last.killed_at = at
        else:
            self._by_dispatcher.setdefault(dispatcher, []).append(ProcessEnd(killed_at=at))

    def exited(self, at: int, dispatcher: str) -> None:
        """Record that the process exited by itself: a later signal is for the dispatcher's next process."""
        if last := self.last(dispatcher):
            last.exited_at = at
        self._by_dispatcher.setdefault(dispatcher, []).append(ProcessEnd())

    def last(self, dispatcher: str) -> ProcessEnd | None:
        """Returns the end of the last process that was sent a signal.

        It is empty once that process has exited by itself, and None before the first signal.
        """
        process_ends = self._by_dispatcher.get(dispatcher)
        return process_ends[-1] if process_ends else None

    def first_request_was_late(self, sent: SentRequest) -> bool:
        """Returns whether a first request was sent to a dispatcher that shuts down, later than a client may send it.

        A client of the platform does not send its first request that late: this machine has delayed the client.
        """
        for process_end in self._by_dispatcher.get(sent.dispatcher, ()):
            over = process_end.killed_at or process_end.exited_at
            still_there = not over or sent.at <= over + MAX_CROSSING_US
            if (
                process_end.terminated_at
                and still_there
                and sent.at > process_end.terminated_at + FIRST_REQUESTS_AFTER_SIGTERM_US
            ):
                return True
        return False

    def excuses(self, request: RequestRecord, at: int) -> bool:
        """Returns whether a SIGKILL excuses the outcome of the request at `at`."""
        return self._excuses(request.sent[-1], at)

    def excuses_any(self, request: RequestRecord, at: int) -> bool:
        """Returns whether a SIGKILL of any dispatcher that received the request excuses its state at `at`."""
        return any(self._excuses(sent, at) for sent in request.sent)

    def _excuses(self, sent: SentRequest, at: int) -> bool:
        return any(
            process_end.killed_at
            and sent.at <= process_end.killed_at + MAX_CROSSING_US
            and process_end.killed_at <= at + MAX_CROSSING_US
            and (not process_end.terminated_at or sent.at <= process_end.terminated_at + EXCUSED_AFTER_SIGTERM_US)
            for process_end in self._by_dispatcher.get(sent.dispatcher, ())
        )
