"""Requests, from arrival to final answer, and the attempts made for them."""

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

    `timeout` and `retry_after` are in microseconds. `id` is the client's own identifier of the request, for the log.
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

    `answered`: no answer is pending any more, because the final answer was sent, the answer was cut short, or the
    client disconnected. `state_holders`: the replicas that may hold state for the request. `execution`: the first
    attempt that may have executed the request. `prefill_replica`: the replica that last prefilled it, or 0.
    `last_outcome`: the outcome of its last attempt, empty until the first one has ended.
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
    execution: Execution | None = None
    prefill_replica: int = 0
    last_outcome: str = ""
    deadline_timer: TimerKey | None = None


class AttemptOwner(Protocol):
    """The receiver of what the backend reports through an `Attempt`."""

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
        """Handle the passing of the attempt's deadline."""

    def abandon(self, attempt: Attempt, error: Exception) -> None:
        """See `Attempt.abandon`."""

    def release_unless_fetched(self, attempt: Attempt) -> None:
        """Release the state that the attempt fetches, if the attempt has not arrived by the time of the release."""


class Attempt:
    """One sending of a request to one replica. The backend reports through `start_response` and `end`.

    Times are microseconds of the clock. `send_before`: the time by which the last byte has to be written, or 0 for no
    limit. `endpoint`: the replica's entry in the endpoint list when the attempt was created. `last_forwarded_at`: when
    a piece of the answer was last forwarded to the client, or 0 if none was.
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
        self._timeout_timer: TimerKey | None = owner.deadlines.schedule_at(
            deadline, lambda: owner.expire(self), self.abandon
        )
        self._release_timer: TimerKey | None = None
        if release_at:
            self._release_timer = owner.deadlines.schedule_at(
                release_at, lambda: owner.release_unless_fetched(self), self.abandon
            )

    @property
    def timeout(self) -> int:
        """The total time allowed for the attempt, in microseconds."""
        return self.deadline - self.sent_at

    def may_start(self) -> bool:
        """Check for the last time, right before the first byte, whether the attempt may be sent.

        Returns False if the attempt has ended; no byte of it may be written then.
        """
        return self._owner.may_start(self)

    def is_input_read(self) -> bool:
        """Check whether all that the client has sent is read: the end of its connection may be behind the rest."""
        return not self.request.client.has_unread_input()

    def withdraw(self) -> None:
        """End an attempt that is not completely written and may no longer be."""
        self._owner.withdraw(self)

    def cancel(self) -> None:
        """Close the attempt's connection and end the attempt, because its answer is no longer needed."""
        self._owner.cancel(self)

    def abandon(self, error: Exception) -> None:
        """End the attempt and its request, because an exception was raised on the way of the attempt."""
        self._owner.abandon(self, error)

    def start_response(self) -> bool:
        """Report the first event of the answer.

        Returns False if the attempt has ended; the event must not be forwarded then.
        """
        return self._owner.start_response(self)

    def end(
        self,
        outcome: Outcome,
        cached_tokens: int = 0,
        may_hold_state: bool = False,
        retry_after: int = 0,
        replica_error: Any = None,
    ) -> None:
        """Report the end of the attempt.

        `may_hold_state`: the replica may hold state for the request, however the attempt ended. `retry_after`: for how
        many microseconds the replica asks to be sent no further requests. `replica_error`: the replica's error that is
        the client's final answer; its form is agreed between the backend's dialect and the front end.
        """
        self._owner.end(self, outcome, cached_tokens, may_hold_state, retry_after, replica_error)

    def cancel_timers(self) -> None:
        """Cancel the attempt's deadline and the scheduled release of the state that it fetches."""
        for key in (self._timeout_timer, self._release_timer):
            self._owner.deadlines.cancel(key)
        self._timeout_timer = None
        self._release_timer = None
