"""The rules of the platform as an oracle over what clients, replicas and agents saw. Free of I/O.

Times are passed in: microseconds of one monotonic clock, that of the soak's own process. `Rules.slack` is added to
every limit: it covers the scheduling delay of a busy machine, so that a violation is a fault and not a late timer.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

SECOND = 1_000_000
CANCEL_WITHIN = 100_000  # an attempt may begin so long after its client closed
TIMEOUT_SLACK = 150_000  # a replica may be told so much more time than the client has left
ANSWER_SLACK = 500_000  # an answer so long after the client's time earns nothing, a later one is lost
HELD_SLACK = 300_000  # beyond `release-within`
SAFE, KEYED, UNSAFE = "read_like", "idempotency_key", "non_idempotent"


@dataclass(frozen=True, slots=True)
class Rules:
    """The limits that the settings name, in microseconds; `warm_rate`: requests a second that a warm replica bears."""

    release_within: int
    drain_grace: int
    cold: int
    cold_from: float
    fall: int
    fall_multiple: float
    warm_rate: float
    slack: int

    def slow_start_limit(self, age: int) -> float:
        """Requests that a replica started so long ago bears within one window."""
        share = min(1.0, self.cold_from + (1 - self.cold_from) * max(0, age) / self.cold)
        calls = self.fall_multiple * share * self.warm_rate * self.fall / SECOND
        root = math.sqrt(calls)
        return calls + (3 * root + 3 if calls < 30 else 2 * root + 2)


@dataclass(frozen=True, slots=True)
class Violation:
    at: int
    rule: str
    request: str
    detail: str


@dataclass(slots=True)
class Attempt:
    """One request that arrived whole at a replica."""

    replica: str
    at: int
    answers: bool  # the replica writes the answer; a reader's run has no effect
    ended: int = 0
    may_have_run: bool = True
    closed_by_dispatcher: bool = False


@dataclass(slots=True)
class Held:
    """A state that waits at a reader; `since`: the last moment at which an attempt was out for it."""

    reader: str
    since: int
    reported: bool = False


@dataclass(slots=True)
class Asked:
    """One request of a client."""

    dispatcher: str
    effect: str
    window: int
    at: int
    ttl: int
    closed: int = 0
    answered: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    held: Held | None = None
    trace: list[str] = field(default_factory=list)

    def note(self, at: int, what: str) -> None:
        """One step in the life of the request, in milliseconds since it was asked."""
        self.trace.append(f"{(at - self.at) / 1000:+.0f} {what}")


@dataclass(slots=True)
class Cold:
    started: int
    arrivals: deque[int] = field(default_factory=deque)


class Oracle:
    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.requests: dict[str, Asked] = {}
        self.violations: list[Violation] = []
        self.excused: dict[str, int] = {}  # dispatchers that were killed, and when
        self._told_away: dict[tuple[str, str], int] = {}  # since when a dispatcher knows that a replica leaves
        self._unreachable: dict[str, list[list[int]]] = {}  # replicas, and the spans in which they were cut off
        self._cold: dict[str, Cold] = {}

    def _broken(self, at: int, rule: str, request: str, detail: str) -> None:
        self.violations.append(Violation(at, rule, request, detail))

    # What clients saw.

    def asked(self, at: int, request: str, dispatcher: str, effect: str, window: int, ttl: int) -> None:
        self.requests[request] = Asked(dispatcher, effect, window, at, ttl)

    def client_closed(self, at: int, request: str) -> None:
        """The client gave up, or its connection has ended."""
        asked = self.requests[request]
        asked.closed = asked.closed or at
        asked.note(at, "client closed")

    def answered(self, at: int, request: str, refused: bool) -> None:
        """The final answer's first byte."""
        asked = self.requests[request]
        asked.answered = at
        asked.note(at, "refused" if refused else "answered")
        limit = asked.at + asked.ttl + ANSWER_SLACK + self.rules.slack
        if at > limit and not self._was_killed(asked):
            self._broken(
                at,
                "late",
                request,
                f"answered {(at - asked.at) // 1000} ms after it was asked, ttl " f"{asked.ttl // 1000} ms",
            )
        ran = any(a.may_have_run and a.answers for a in asked.attempts)
        if refused and ran and asked.effect == UNSAFE:
            self._broken(at, "refused", request, "refused as harmless to repeat, though an attempt may have run")

    def lost(self, at: int, request: str, why: str) -> None:
        """The connection ended, or the client waited too long, with no answer."""
        if not self._was_killed(self.requests[request]):
            self._broken(at, "lost", request, why)

    def _was_killed(self, asked: Asked) -> bool:
        return self.excused.get(asked.dispatcher, -1) >= asked.at

    # What replicas saw.

    def arrived(self, at: int, request: str, replica: str, answers: bool, told_ms: int) -> Attempt:
        """The last byte of an attempt has reached a running replica."""
        attempt = Attempt(replica, at, answers)
        asked = self.requests.get(request)
        if asked is None:
            self._broken(at, "unknown", request, f"no client sent this id, seen at {replica}")
            return attempt
        asked.note(at, f"arrived at {replica}, told {told_ms} ms")
        slack = self.rules.slack
        if asked.closed and at > asked.closed + CANCEL_WITHIN + slack:
            self._broken(
                at, "cancelled", request, f"begun at {replica} {(at - asked.closed) // 1000} ms after its client closed"
            )
        left = asked.at + asked.ttl - at
        if told_ms * 1000 > max(0, left) + TIMEOUT_SLACK + slack:
            self._broken(at, "deadline", request, f"{replica} was told {told_ms} ms, {left // 1000} ms are left")
        away = self._told_away.get((asked.dispatcher, replica))
        if away is not None and at > away + self.rules.drain_grace + slack:
            self._broken(
                at,
                "drain",
                request,
                f"{asked.dispatcher} sent to {replica} {(at - away) // 1000} ms after " f"it was told that it leaves",
            )
        self._repeated(at, asked, request, attempt)
        asked.attempts.append(attempt)
        self._slow_start(at, request, replica)
        return attempt

    def _repeated(self, at: int, asked: Asked, request: str, attempt: Attempt) -> None:
        if not attempt.answers:
            return
        ran = [a for a in asked.attempts if a.answers and a.may_have_run]
        if ran and asked.effect == UNSAFE:
            self._broken(at, "duplicate", request, f"at {attempt.replica} after {ran[0].replica}, may have run twice")
        elif ran and asked.effect == KEYED and at > ran[0].at + asked.window + self.rules.slack:
            self._broken(at, "window", request, f"repeated {(at - ran[0].at) // 1000} ms after its first attempt")

    def _slow_start(self, at: int, request: str, replica: str) -> None:
        cold = self._cold.get(replica)
        if cold is None:
            return
        if at > cold.started + self.rules.cold + self.rules.fall:
            del self._cold[replica]
            return
        cold.arrivals.append(at)
        while cold.arrivals[0] < at - self.rules.fall:
            cold.arrivals.popleft()
        limit = self.rules.slow_start_limit(at - cold.started)
        if len(cold.arrivals) > limit:
            self._broken(
                at,
                "slow-start",
                request,
                f"{len(cold.arrivals)} requests in a window at {replica}, "
                f"{(at - cold.started) // 1000} ms old, which bears {limit:.1f}",
            )
            cold.arrivals.clear()

    def attempt_over(self, at: int, request: str, attempt: Attempt, never_ran: bool = False) -> None:
        """It was answered, turned away (`never_ran`), or its connection has ended."""
        attempt.ended = at
        attempt.may_have_run = attempt.may_have_run and not never_ran
        asked = self.requests.get(request)
        if asked is None:
            return
        asked.note(at, f"over at {attempt.replica}{', never ran' if never_ran else ''}")
        if asked.held and attempt.answers:
            asked.held.since = at
        late = [a for a in asked.attempts if a.at > attempt.at and at > a.at + CANCEL_WITHIN + self.rules.slack]
        if late and not self._was_cut(attempt.replica, attempt.at, at):
            self._broken(
                at,
                "second-copy",
                request,
                f"still out at {attempt.replica} {(at - late[0].at) // 1000} ms "
                f"after it arrived at {late[0].replica}",
            )

    # What is held.

    def read(self, at: int, request: str, reader: str) -> None:
        """A reader has read the prompt and holds its state."""
        if asked := self.requests.get(request):
            asked.held = Held(reader, at)
            asked.note(at, f"held at {reader}")

    def released(self, at: int, request: str, reader: str) -> None:
        """A DELETE has arrived. It lets go of nothing while an attempt waits for the state."""
        asked = self.requests.get(request)
        if asked:
            asked.note(at, f"release at {reader}")
        if asked and asked.held and asked.held.reader == reader and not self._out(asked):
            asked.held = None

    def fetched(self, request: str) -> bool:
        """A writer's first event: the state is gone. False: there was none."""
        asked = self.requests.get(request)
        if asked is None or asked.held is None:
            return False
        asked.held = None
        return True

    def holds(self, request: str) -> bool:
        asked = self.requests.get(request)
        return asked is not None and asked.held is not None

    @staticmethod
    def _out(asked: Asked) -> bool:
        return any(a.answers and not a.ended for a in asked.attempts)

    def reader_restarted(self, reader: str) -> None:
        for asked in self.requests.values():
            if asked.held and asked.held.reader == reader:
                asked.held = None

    def scan(self, at: int) -> None:
        """Look for states that are held too long while no attempt is out for them."""
        limit = self.rules.release_within + HELD_SLACK + self.rules.slack
        for request, asked in self.requests.items():
            held = asked.held
            if held is None or held.reported or self._out(asked) or at <= held.since + limit:
                continue
            if self._was_killed(asked) or self._was_cut(held.reader, held.since, at):
                continue
            held.reported = True
            self._broken(
                at,
                "pinned",
                request,
                f"held at {held.reader} for {(at - held.since) // 1000} ms with no " f"attempt out",
            )

    # What discovery and the network did.

    def told(self, at: int, dispatcher: str, replica: str, ready: bool) -> None:
        """What discovery has for this dispatcher."""
        if ready:
            self._told_away.pop((dispatcher, replica), None)
        else:
            self._told_away.setdefault((dispatcher, replica), at)

    def started(self, at: int, replica: str) -> None:
        """A cold start that discovery has told everybody."""
        self._cold[replica] = Cold(at)

    def cut(self, at: int, replica: str, on: bool) -> None:
        spans = self._unreachable.setdefault(replica, [])
        if on:
            spans.append([at, at + 10**12])
        elif spans:
            spans[-1][1] = at

    def _was_cut(self, replica: str, since: int, until: int) -> bool:
        grace = SECOND  # after a cut connections have to be made anew
        return any(a <= until and b + grace >= since for a, b in self._unreachable.get(replica, ()))

    def killed(self, at: int, dispatcher: str) -> None:
        self.excused[dispatcher] = at

    def process_fault(self, at: int, dispatcher: str, detail: str) -> None:
        self._broken(at, "process", dispatcher, detail)
