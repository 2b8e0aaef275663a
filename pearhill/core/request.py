"""A request from its arrival to its final answer, and each attempt at it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pearhill.core.deadlines import Key
from pearhill.core.ports import Client
from pearhill.routing.events import AdmissionStatus
from pearhill.routing.outcomes import Outcome
from pearhill.routing.permissions import Execution
from pearhill.routing.topology import Endpoint

if TYPE_CHECKING:
    from pearhill.core.dispatcher import Dispatcher


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What a front has read off a request: the fields of `Arrived` that describe it."""

    request_class: int
    timeout: int
    prompt_tokens: int
    max_output_tokens: int
    session: int = 0
    prefix: int = 0
    prefix_tokens: int = 0
    tenant: int = 0
    is_retry: bool = False
    resumed: bool = False
    allowed_kinds: tuple[int, ...] = ()
    admission: AdmissionStatus = AdmissionStatus.NO_BUDGET
    retry_after: int = 0
    id: str = ""  # the client's, for the log


class Request:
    """One request from its arrival to its final answer and the end of its last attempt."""

    __slots__ = (
        "number",
        "request_class",
        "client",
        "payload",
        "deadline",
        "attempts",
        "current_attempt",
        "answered",
        "state_holders",
        "interrupted",
        "id",
        "execution",
        "client_disconnected",
        "last_outcome",
        "prefill_replica",
        "deadline_timer",
    )

    def __init__(
        self, number: int, request_class: int, client: Client, payload: Any, deadline: int, id: str = ""
    ) -> None:
        self.number, self.request_class, self.client, self.payload, self.deadline = (
            number,
            request_class,
            client,
            payload,
            deadline,
        )
        self.id = id
        self.execution: Execution | None = None  # the first attempt that may have had the request's effect
        self.client_disconnected = False  # its client has gone
        self.attempts = 0
        self.last_outcome = ""  # of its last attempt
        self.current_attempt: Attempt | None = None
        self.answered = False  # nothing more is owed: answered, broken after its start, or the client has gone
        self.state_holders: set[int] = set()  # engines that may hold a state for it
        self.interrupted = False  # an attempt was closed under way: its replica sees that later, and may hold a state
        self.prefill_replica = 0  # the one that has read it last
        self.deadline_timer: Key | None = None


class Attempt:
    """One send of a request to one engine. The backend reports through `begin` and `end`."""

    __slots__ = (
        "request",
        "index",
        "replica",
        "sent_at",
        "deadline",
        "send_before",
        "endpoint",
        "response_started",
        "ended",
        "last_forwarded_at",
        "_owner",
        "_timeout_timer",
        "_release_timer",
    )

    def __init__(
        self,
        owner: Dispatcher,
        request: Request,
        index: int,
        replica: int,
        sent_at: int,
        deadline: int,
        send_before: int = 0,
        release_at: int = 0,
        endpoint: Endpoint | None = None,
    ) -> None:
        self.request, self.index, self.replica = request, index, replica
        self.sent_at, self.deadline = sent_at, deadline
        self.send_before = send_before  # its last byte has to be written by then; 0: whenever
        self.endpoint = endpoint  # as the list had the replica then
        self.response_started = self.ended = False
        self.last_forwarded_at = 0  # when a piece of its answer was last passed on to the client; 0: never
        self._owner = owner
        self._timeout_timer: Key | None = owner.deadlines.at(deadline, lambda: owner.expire(self))
        self._release_timer: Key | None = None
        if release_at:
            self._release_timer = owner.deadlines.at(release_at, lambda: owner.release_unless_fetched(self))

    @property
    def timeout(self) -> int:
        return self.deadline - self.sent_at

    def may_start(self) -> bool:
        """The last look, right before the first byte. False: the attempt is over, and nothing of it goes out."""
        return self._owner.may_start(self)

    def withdraw(self) -> None:
        """It has not been written whole, and no longer may be."""
        self._owner.withdraw(self)

    def start_response(self) -> bool:
        """The first event of the answer is here. False: the attempt is over, the event must not be passed on."""
        return self._owner.start_response(self)

    def end(
        self,
        outcome: Outcome,
        cached_tokens: int = 0,
        may_hold: bool = False,
        retry_after: int = 0,
        replica_error: Any = None,
    ) -> None:
        """The attempt is over. `may_hold`: the engine may hold a state for the request, however it ended. `rest`: for
        how long, in microseconds, it wants nothing more. `said`: words of the engine that are the client's final
        answer; what they are is a matter between the backend's dialect and the front."""
        self._owner.end(self, outcome, cached_tokens, may_hold, retry_after, replica_error)

    def cancel_timers(self) -> None:
        for key in (self._timeout_timer, self._release_timer):
            self._owner.deadlines.cancel(key)
        self._timeout_timer = self._release_timer = None
