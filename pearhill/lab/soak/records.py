"""What the oracle keeps of each request: who was asked, what arrived where, what was written and what was read."""

from __future__ import annotations

from dataclasses import dataclass, field

SECOND = 1_000_000
SAFE, KEYED, UNSAFE = "read_like", "idempotency_key", "non_idempotent"


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
class Attempt:
    """One request that arrived whole at a replica."""

    replica: str
    at: int
    answers: bool  # the replica writes the answer; a reader's run has no effect
    ended: int = 0
    may_have_run: bool = True
    closed_by_dispatcher: bool = False
    wrote: bytearray = field(default_factory=bytearray)  # whole events of its stream
    wrote_at: int = 0  # the last of them
    finished: bool = False  # the last chunk too
    broken_at: int = 0  # the replica, or the network, ended its connection before that, or spoilt its stream


@dataclass(slots=True)
class Held:
    """A state that waits at a reader; `since`: the last moment at which an attempt was out for it."""

    reader: str
    since: int
    reported: bool = False


@dataclass(frozen=True, slots=True)
class Sent:
    """One writing of a request to a dispatcher: its last byte."""

    dispatcher: str
    at: int


@dataclass(slots=True)
class Request:
    """One request of a client, known by its id; sent once more, it is the same one."""

    effect: str
    window: int
    ttl: int
    sent: list[Sent]
    closed: int = 0  # its client has gone
    answered: int = 0  # the final answer's first byte
    status: int = 0
    ended: int = 0  # nothing more of an answer comes: it was whole, it broke, or the client has gone
    late_end_reported: bool = False
    got: bytearray = field(default_factory=bytearray)  # of a stream
    attempts: list[Attempt] = field(default_factory=list)
    held: Held | None = None
    trace: list[str] = field(default_factory=list)

    @property
    def dispatcher(self) -> str:
        return self.sent[-1].dispatcher

    @property
    def at(self) -> int:
        """Its client's time runs from here."""
        return self.sent[-1].at

    def note(self, at: int, what: str) -> None:
        """One step in the life of the request, in milliseconds since it was first sent."""
        self.trace.append(f"{(at - self.sent[0].at) / 1000:+.0f} {what}")

    @property
    def streaming(self) -> Attempt | None:
        """The attempt whose events the client has begun to get."""
        return next((a for a in self.attempts if a.wrote and a.wrote.startswith(self.got)), None) if self.got else None
