"""The types between a node and `pearhill.rules`: settings, events and actions.

Times are integer microseconds, sizes are tokens. Nothing here decides anything. A *reader* reads prompts
(prefill), a *writer* streams answers (decode), a *mixed* server does both.
"""

from __future__ import annotations

from dataclasses import dataclass

READER, WRITER, MIXED = "reader", "writer", "mixed"
SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"
READY, DRAINING, GONE = "ready", "draining", "gone"

# How an attempt ends. READ: the prompt is read and its state waits at the reader; nothing was answered.
ANSWERED, READ, ERROR, TIMEOUT, BROKEN, CANCELLED = ("answered", "read", "error", "timeout", "broken", "cancelled")
# How a request stands with its budget: guaranteed, out of what is spare, or not to be let in.
WITHIN, SPARE, OVER, DEBT = "within", "spare", "over", "debt"
# DECLINED: the server found fault with the request itself; its words are the answer, and tell nothing of its health.
DECLINED = "declined"
# These, and READ, prove that the request never ran. NO_STATE: there was no state left to fetch.
# WITHDRAWN: the list took the engine away before the first byte was written; nobody is to blame, nothing is spent.
FULL, NO_STATE, UNREACHABLE, MOOT, WITHDRAWN = "full", "no-state", "unreachable", "moot", "withdrawn"
NEVER_RAN = frozenset((READ, FULL, NO_STATE, UNREACHABLE, MOOT, WITHDRAWN))


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of request. `group` and `window` bound the repeats of a keyed class."""

    aim: int
    aim_per_1000: float
    deadline: int
    worth: float
    late_worth: float
    effect: str
    group: str
    window: int
    token_aim: float


@dataclass(frozen=True, slots=True)
class KindSpec:
    """One machine kind: what it does and how many tokens its memory takes."""

    role: str
    memory: int


@dataclass(frozen=True, slots=True)
class Settings:
    """What a node is told once, at its start."""

    instances: int
    zone: int
    classes: tuple[ClassSpec, ...]
    kinds: tuple[KindSpec, ...]
    quotas: tuple[float, ...]
    over_share_worth: float
    release_within: int
    local_read: bool
    may_cancel: bool
    second_copies: bool
    may_move: bool
    retry_hints: bool
    max_retry_after: int
    max_attempts: int
    cold: int
    cold_from: float
    fall: int
    fall_multiple: float
    tick: int
    probing: bool = False  # engines tell their load to whoever asks
    probe_price: float = 0.0  # of the worth asked for, for one probe a request

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class is needed")
        if not self.kinds:
            raise ValueError("kinds: at least one machine kind is needed")
        for i, spec in enumerate(self.classes):
            if spec.effect not in (SAFE, KEYED, UNSAFE):
                raise ValueError(f"classes[{i}].effect: unknown effect {spec.effect!r}")
            if spec.group not in ("all", "zone", "cell"):
                raise ValueError(f"classes[{i}].group: unknown group {spec.group!r}")
            if spec.aim <= 0 or spec.deadline <= 0:
                raise ValueError(f"classes[{i}].aim: aim and deadline must be above 0")
        for i, kind in enumerate(self.kinds):
            if kind.role not in (READER, WRITER, MIXED):
                raise ValueError(f"kinds[{i}].role: unknown role {kind.role!r}")
        for name in ("instances", "max_attempts", "tick", "release_within"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be above 0")


@dataclass(frozen=True, slots=True)
class Entry:
    """One engine in the list. `started` is 0 where its last start is long past."""

    engine: int
    zone: int
    kind: int
    cell: int
    phase: str
    weight: float
    started: int


# Events: what a node tells the router.


@dataclass(frozen=True, slots=True)
class Listed:
    """The list of engines: all of it (`full`), or the entries that changed."""

    full: bool
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Arrived:
    """A client's request. `session` and `prefix` are 0 where there is none."""

    request: int
    cls: int
    tenant: int
    session: int
    prefix: int
    prefix_len: int
    prompt: int
    max_out: int
    ttl: int
    repeat: bool
    resumed: bool
    kinds: tuple[int, ...] = ()  # of machines that may serve it; none named: all
    standing: str = ""  # of its budget, where there is one
    away: int = 0  # microseconds until its budget would let it in


@dataclass(frozen=True, slots=True)
class Began:
    """The answer of this attempt has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    engine: int
    rtt: int


@dataclass(frozen=True, slots=True)
class Ended:
    """One attempt is over. `load` is the engine's load report as (memory share, thousands to read); `rest` is for how
    long, in microseconds, the engine has asked to be sent nothing more."""

    request: int
    attempt: int
    engine: int
    outcome: str
    settled: bool
    kept: int
    rtt: int
    load: tuple[float, float] | None
    rest: int = 0


@dataclass(frozen=True, slots=True)
class Left:
    """The client has gone; nothing is owed to it any more."""

    request: int


@dataclass(frozen=True, slots=True)
class Due:
    """A timer has run out."""

    timer: int


@dataclass(frozen=True, slots=True)
class Probed:
    """How a probe has ended: ANSWERED, whatever was said; MOOT, where it was never sent; else no answer came. `load` is
    the engine's report as (memory share, thousands of tokens to read or fetch), None where it told none."""

    engine: int
    outcome: str
    rtt: int
    load: tuple[float, float] | None


@dataclass(frozen=True, slots=True)
class Told:
    """What is known of one engine from its own word: its memory share and the tokens it has yet to read or fetch,
    both faded with `sure` (1: as fresh as it can be, 0: nothing is known). `ejected_until`: it answers no
    probe, and is left alone until then, in microseconds of the clock; 0 where it answers."""

    engine: int
    held: float
    waiting: float
    sure: float
    ejected_until: int


@dataclass(frozen=True, slots=True)
class Looked:
    """The answer to a Look: one Told for each engine it named, in its order."""

    request: int
    told: tuple[Told, ...]


Event = Listed | Arrived | Began | Ended | Left | Due | Probed | Looked


# Actions: what the router asks of the node.


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an engine; the attempt ends as TIMEOUT after `patience`. Where the whole of it has not been
    written by the time `by`, it is WITHDRAWN; 0: whenever. `held_until`: it fetches a state, which has to be let go of
    at this time if the attempt has not arrived; 0: it fetches none."""

    request: int
    engine: int
    patience: int
    by: int = 0
    held_until: int = 0


@dataclass(frozen=True, slots=True)
class CallOff:
    """Stop waiting for an attempt; its Ended still comes."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless (after `stay_away`, where above 0). `why`: for the log."""

    request: int
    stay_away: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised. `why`: for the log."""

    request: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Release:
    """Let go of whatever is held for the request."""

    request: int


@dataclass(frozen=True, slots=True)
class Move:
    """Close a running stream in order; its client comes again and the stream goes on elsewhere."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Due event."""

    timer: int
    wait: int


@dataclass(frozen=True, slots=True)
class Report:
    """A line for the log."""

    text: str


@dataclass(frozen=True, slots=True)
class Look:
    """The choice for this request lies between these engines. A Looked follows, at once or soon."""

    request: int
    engines: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an engine for its load; a Probed follows."""

    engine: int


Action = Send | CallOff | Refuse | Fail | Release | Move | SetTimer | Report | Look | Probe
