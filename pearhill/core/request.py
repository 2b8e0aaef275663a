"""A request from its arrival to its final answer, and each attempt at it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pearhill.core.deadlines import Key
from pearhill.core.ports import Client
from pearhill.routing.events import AdmissionStatus
from pearhill.routing.outcomes import Outcome
from pearhill.routing.permissions import Ran
from pearhill.routing.topology import Endpoint

if TYPE_CHECKING:
    from pearhill.core.dispatcher import Dispatcher


@dataclass(frozen=True, slots=True)
class Ask:
    """What a front has read off a request: the fields of `Arrived` that describe it."""

    cls: int
    ttl: int
    prompt: int
    max_out: int
    session: int = 0
    prefix: int = 0
    prefix_len: int = 0
    tenant: int = 0
    repeat: bool = False
    resumed: bool = False
    kinds: tuple[int, ...] = ()
    standing: AdmissionStatus = AdmissionStatus.NO_BUDGET
    away: int = 0
    id: str = ""  # the client's, for the log


class Request:
    """One request from its arrival to its final answer and the end of its last attempt."""

    __slots__ = (
        "number",
        "cls",
        "client",
        "payload",
        "end",
        "sends",
        "current",
        "answered",
        "holders",
        "interrupted",
        "id",
        "ran",
        "left",
        "outcome",
        "reader",
        "backstop",
    )

    def __init__(self, number: int, cls: int, client: Client, payload: Any, end: int, id: str = "") -> None:
        self.number, self.cls, self.client, self.payload, self.end = number, cls, client, payload, end
        self.id = id
        self.ran: Ran | None = None  # the first attempt that may have had the request's effect
        self.left = False  # its client has gone
        self.sends = 0
        self.outcome = ""  # of its last attempt
        self.current: Attempt | None = None
        self.answered = False  # nothing more is owed: answered, broken after its start, or the client has gone
        self.holders: set[int] = set()  # engines that may hold a state for it
        self.interrupted = False  # an attempt was closed under way: its replica sees that later, and may hold a state
        self.reader = 0  # the one that has read it last
        self.backstop: Key | None = None


class Attempt:
    """One send of a request to one engine. The backend reports through `begin` and `end`."""

    __slots__ = (
        "request",
        "index",
        "engine",
        "sent_at",
        "deadline",
        "by",
        "entry",
        "began",
        "over",
        "passed_at",
        "_owner",
        "_expiry",
        "_confirmation",
    )

    def __init__(
        self,
        owner: Dispatcher,
        request: Request,
        index: int,
        engine: int,
        sent_at: int,
        deadline: int,
        by: int = 0,
        held_until: int = 0,
        entry: Endpoint | None = None,
    ) -> None:
        self.request, self.index, self.engine = request, index, engine
        self.sent_at, self.deadline = sent_at, deadline
        self.by = by  # its last byte has to be written by then; 0: whenever
        self.entry = entry  # as the list had the replica then
        self.began = self.over = False
        self.passed_at = 0  # when a piece of its answer was last passed on to the client; 0: never
        self._owner = owner
        self._expiry: Key | None = owner.deadlines.at(deadline, lambda: owner.expire(self))
        self._confirmation: Key | None = None
        if held_until:
            self._confirmation = owner.deadlines.at(held_until, lambda: owner.release_unless_fetched(self))

    @property
    def patience(self) -> int:
        return self.deadline - self.sent_at

    def may_begin(self) -> bool:
        """The last look, right before the first byte. False: the attempt is over, and nothing of it goes out."""
        return self._owner.may_begin(self)

    def withdraw(self) -> None:
        """It has not been written whole, and no longer may be."""
        self._owner.withdraw(self)

    def begin(self) -> bool:
        """The first event of the answer is here. False: the attempt is over, the event must not be passed on."""
        return self._owner.begin(self)

    def end(self, outcome: Outcome, kept: int = 0, may_hold: bool = False, rest: int = 0, said: Any = None) -> None:
        """The attempt is over. `may_hold`: the engine may hold a state for the request, however it ended. `rest`: for
        how long, in microseconds, it wants nothing more. `said`: words of the engine that are the client's final
        answer; what they are is a matter between the backend's dialect and the front."""
        self._owner.end(self, outcome, kept, may_hold, rest, said)

    def stop_clock(self) -> None:
        for key in (self._expiry, self._confirmation):
            self._owner.deadlines.cancel(key)
        self._expiry = self._confirmation = None
