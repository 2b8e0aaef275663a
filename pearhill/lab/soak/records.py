"""What the oracle keeps of each request: who was asked, what arrived where, what was written and what was read."""

from __future__ import annotations

from dataclasses import dataclass, field

SECOND = 1_000_000
IDEMPOTENT, KEYED, NON_IDEMPOTENT = "read_like", "idempotency_key", "non_idempotent"


@dataclass(frozen=True, slots=True)
class Violation:
    """`excess`: by how many microseconds a limit was passed; None: no lateness of a machine explains it. `since`: from
    when on a lateness would count."""

    at: int
    rule: str
    request: str
    detail: str
    excess: int | None = None
    since: int = 0


@dataclass(slots=True)
class AttemptRecord:
    """One request that arrived whole at a replica."""

    replica: str
    at: int
    writes_answer: bool  # the replica writes the answer; a reader's run has no effect
    ended: int = 0
    may_have_executed: bool = True
    closed_by_dispatcher: bool = False
    written: bytearray = field(default_factory=bytearray)  # whole events of its stream
    written_at: int = 0  # the last of them
    finished: bool = False  # the last chunk too
    broken_at: int = 0  # the replica, or the network, ended its connection before that, or spoilt its stream


@dataclass(slots=True)
class HeldState:
    """A state that waits at a reader; `since`: the last moment at which an attempt was out for it."""

    replica: str
    since: int
    reported: bool = False


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One writing of a request to a dispatcher: its last byte."""

    dispatcher: str
    at: int


@dataclass(slots=True)
class RequestRecord:
    """One request of a client, known by its id; sent once more, it is the same one."""

    idempotency: str
    idempotency_window: int
    timeout: int
    sent: list[SentRequest]
    closed: int = 0  # its client has gone
    answered: int = 0  # the final answer's first byte
    status: int = 0
    ended: int = 0  # nothing more of an answer comes: it was whole, it broke, or the client has gone
    late_end_reported: bool = False
    received: bytearray = field(default_factory=bytearray)  # of a stream
    attempts: list[AttemptRecord] = field(default_factory=list)
    held: HeldState | None = None
    trace: list[str] = field(default_factory=list)

    @property
    def dispatcher(self) -> str:
        """The dispatcher that it was last sent to."""
        return self.sent[-1].dispatcher

    @property
    def at(self) -> int:
        """Its client's time runs from here."""
        return self.sent[-1].at

    def note(self, at: int, what: str) -> None:
        """One step in the life of the request, in milliseconds since it was first sent."""
        self.trace.append(f"{(at - self.sent[0].at) / 1000:+.0f} {what}")

    @property
    def streaming(self) -> AttemptRecord | None:
        """The attempt whose events the client has begun to get."""
        return (
            next((a for a in self.attempts if a.written and a.written.startswith(self.received)), None)
            if self.received
            else None
        )
