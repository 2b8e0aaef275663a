"""A request from its arrival to its final answer, and each attempt at it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from pearhill.core.client import Client
from pearhill.core.deadlines import Deadlines, TimerKey
from pearhill.routing.events import AdmissionStatus
from pearhill.routing.outcomes import Outcome
from pearhill.routing.permissions import Execution
from pearhill.routing.topology import Endpoint


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """What a front end has read from a request: the fields of `RequestArrived` that describe it.

    `timeout` and `retry_after` are microseconds; `id` is the client's own name for the request, for the log.
    """

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
    id: str = ""


@dataclass(slots=True, eq=False, repr=False)
class Request:
    """One request from its arrival to its final answer and the end of its last attempt.

    `answered`: nothing more is owed, since the final answer is out, the answer was cut, or the client has gone.
    `state_holders`: the replicas that may hold a state for it. `interrupted`: an attempt was closed under way; its
    replica sees that later, and may hold a state. `execution`: the first attempt that may have had the request's
    effect. `prefill_replica`: the replica that has prefilled it last, 0 before that. `last_outcome`: of its last
    attempt, empty before the first has ended.
    """

    number: int
    request_class: int
    client: Client
    payload: Any
    deadline: int
    id: str = ""
    attempts: int = 0
    current_attempt: Attempt | None = None
    answered: bool = False
    client_disconnected: bool = False
    state_holders: set[int] = field(default_factory=set)
    interrupted: bool = False
    execution: Execution | None = None
    prefill_replica: int = 0
    last_outcome: str = ""
    deadline_timer: TimerKey | None = None


class AttemptOwner(Protocol):
    """What an attempt passes the backend's reports on to."""

    deadlines: Deadlines

    def may_start(self, attempt: Attempt) -> bool:
        """See `Attempt.may_start`."""

    def withdraw(self, attempt: Attempt) -> None:
        """See `Attempt.withdraw`."""

    def cancel(self, attempt: Attempt) -> None:
        """See `Attempt.cancel`."""

    def start_response(self, attempt: Attempt) -> bool:
        """See `Attempt.start_response`."""

    def end(
        self,
        attempt: Attempt,
        outcome: Outcome,
        cached_tokens: int,
        may_hold_state: bool,
        retry_after: int,
        replica_error: Any,
    ) -> None:
        """See `Attempt.end`."""

    def expire(self, attempt: Attempt) -> None:
        """The attempt's deadline has passed."""

    def release_unless_fetched(self, attempt: Attempt) -> None:
        """The state that the attempt fetches has to be released now if the attempt has not arrived."""


class Attempt:
    """One send of a request to one replica. The backend reports through `start_response` and `end`.

    Times are microseconds of the clock. `send_before`: its last byte has to be written by then; 0: whenever.
    `endpoint`: the replica's entry in the endpoint list when the attempt was made. `last_forwarded_at`: when a piece
    of its answer was last passed on to the client; 0: never.
    """

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
        owner: AttemptOwner,
        request: Request,
        index: int,
        replica: int,
        sent_at: int,
        deadline: int,
        send_before: int = 0,
        release_at: int = 0,
        endpoint: Endpoint | None = None,
    ) -> None:
        self.request = request
        self.index = index
        self.replica = replica
        self.sent_at = sent_at
        self.deadline = deadline
        self.send_before = send_before
        self.endpoint = endpoint
        self.response_started = False
        self.ended = False
        self.last_forwarded_at = 0
        self._owner = owner
        self._timeout_timer: TimerKey | None = owner.deadlines.schedule_at(deadline, lambda: owner.expire(self))
        self._release_timer: TimerKey | None = None
        if release_at:
            self._release_timer = owner.deadlines.schedule_at(release_at, lambda: owner.release_unless_fetched(self))

    @property
    def timeout(self) -> int:
        """The time that the attempt has in all, in microseconds."""
        return self.deadline - self.sent_at

    def may_start(self) -> bool:
        """The last check, right before the first byte. False: the attempt is over, and nothing of it may be written."""
        return self._owner.may_start(self)

    def withdraw(self) -> None:
        """End an attempt that is not written completely and no longer may be."""
        self._owner.withdraw(self)

    def cancel(self) -> None:
        """Close the attempt's connection and end it: its answer is not wanted any more."""
        self._owner.cancel(self)

    def start_response(self) -> bool:
        """The first event of the answer is here. False: the attempt is over, and the event must not be forwarded."""
        return self._owner.start_response(self)

    def end(
        self,
        outcome: Outcome,
        cached_tokens: int = 0,
        may_hold_state: bool = False,
        retry_after: int = 0,
        replica_error: Any = None,
    ) -> None:
        """The attempt is over.

        `may_hold_state`: the replica may hold a state for the request, however the attempt ended. `retry_after`: for
        how long, in microseconds, the replica wants nothing more. `replica_error`: the replica's error that is the
        client's final answer; its form is agreed between the backend's dialect and the front end.
        """
        self._owner.end(self, outcome, cached_tokens, may_hold_state, retry_after, replica_error)

    def cancel_timers(self) -> None:
        """Cancel the attempt's deadline and the release of what it fetches."""
        for key in (self._timeout_timer, self._release_timer):
            self._owner.deadlines.cancel(key)
        self._timeout_timer = None
        self._release_timer = None
