"""The oracle's records of requests: where each was sent, where its attempts arrived, and the data written and read."""

from __future__ import annotations

from dataclasses import dataclass, field

SECOND = 1_000_000
IDEMPOTENT, KEYED, NON_IDEMPOTENT = "read_like", "idempotency_key", "non_idempotent"


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule.

    `excess`: by how many microseconds a limit was exceeded, or None if lateness of the machine cannot explain the
    violation. `since`: the time from which on lateness counts.
    """

    at: int
    rule: str
    request: str
    detail: str
    excess: int | None = None
    since: int = 0


@dataclass(slots=True)
class AttemptRecord:
    """A request that has arrived completely at a replica."""

    replica: str
    at: int
    writes_answer: bool  # the replica writes the answer; a prefill alone has no effect
    ended_at: int = 0
    may_have_executed: bool = True
    closed_by_dispatcher: bool = False
    written: bytearray = field(default_factory=bytearray)  # complete events of its stream
    written_at: int = 0  # when the last of them was written
    finished: bool = False  # whether the last chunk was written
    broken_at: int = 0  # when the replica or the network ended the connection before that, or corrupted the stream


@dataclass(slots=True)
class HeldState:
    """A state that a prefill replica holds; `since`: the last time at which an attempt for it was in flight."""

    replica: str
    since: int
    violation: Violation | None = None  # the last time that it was found to be held too long


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One transmission of a request to a dispatcher; `at`: when its last byte was written."""

    dispatcher: str
    at: int


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, identified by its id. A request that is sent again is the same request."""

    idempotency: str
    idempotency_window: int
    timeout: int
    sent: list[SentRequest]
    pipelined_behind: str = ""  # the request before it on its connection, whose answer comes first
    closed_at: int = 0  # when its client closed the connection
    answered_at: int = 0  # when the first byte of the final answer arrived
    status: int = 0
    ended_at: int = 0  # when the answer was complete or broken off, or the client closed the connection
    late_end: Violation | None = None  # the last time that the end of its stream was found missing
    received: bytearray = field(default_factory=bytearray)  # the bytes of its stream
    attempts: list[AttemptRecord] = field(default_factory=list)
    held: HeldState | None = None
    unanswered_on_port: int = 0  # the client's port of a connection that ended without an answer
    trace: list[str] = field(default_factory=list)

    @property
    def dispatcher(self) -> str:
        """The dispatcher to which the request was last sent."""
        return self.sent[-1].dispatcher

    @property
    def at(self) -> int:
        """When the request was last sent; its deadline counts from there."""
        return self.sent[-1].at

    def note(self, at: int, what: str) -> None:
        """Add an event to the request's trace, with its time in milliseconds since the request was first sent."""
        self.trace.append(f"{(at - self.sent[0].at) / 1000:+.0f} {what}")

    @property
    def streaming(self) -> AttemptRecord | None:
        """The attempt whose stream the client is receiving, or None if no attempt's stream fits the received bytes."""
        return (
            next((a for a in self.attempts if a.written and a.written.startswith(self.received)), None)
            if self.received
            else None
        )
