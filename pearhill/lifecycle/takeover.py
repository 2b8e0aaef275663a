"""Two processes of one dispatcher, one taking the other's place: what each tells the other, and what follows.

Each keeps a note of its own and reads the other's. Nothing here touches a file; times are microseconds of Unix time."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, replace

from pearhill.lifecycle.overrides import MAX_OVERRIDES, OperatorOverrides, Override

MESSAGE_VERSION = 1
MESSAGE_MARK = f"pearhill-note {MESSAGE_VERSION} ".encode()
ALIVE_WITHIN_US = 1_500_000  # a note that was not written anew for so long: its process has gone
MESSAGE_RETENTION_US = 600_000_000  # left behind for longer than this it tells nothing
REWRITE_INTERVAL_US = 300_000  # between two writings of a note that says nothing new
# A successor has 6 s from its start to its yes, and soon after the yes the elder is ended with all that it still
# answers. Until this age it takes the clients, but leaves the elder the time.
READY_WITHIN_US = 5_200_000


class TakeoverMessageError(ValueError):
    """Not a note, or none that can be believed; the text says why."""


@dataclass(frozen=True, slots=True)
class TakeoverMessage:
    """`start`: of its process, which tells the two apart; `at`: when it was written; `serving`: it takes clients'
    connections; `quiet`: it answers nobody any more; `ended`: it will not be written again."""

    name: str
    started_at: int
    written_at: int
    serving: bool
    quiet: bool
    ended: bool
    down: dict[int, Override]
    drain: Override | None
    origin: int = 0  # how far its writer's clock is ahead of the monotonic clock that all processes of a boot share
    boot: str = ""  # which boot; empty: the writer could not tell

    def aligned(self, origin: int, boot: str) -> TakeoverMessage:
        """Its times by the reader's clock. The wall clock may have been stepped between the starts of the two."""
        by = origin - self.origin
        if not boot or boot != self.boot or not by:
            return self
        return replace(
            self,
            started_at=self.started_at + by,
            written_at=self.written_at + by,
            down={engine: wish.shifted(by) for engine, wish in self.down.items()},
            drain=self.drain and self.drain.shifted(by),
            origin=origin,
        )

    def encode(self) -> bytes:
        told = {
            "name": self.name,
            "start": self.started_at,
            "at": self.written_at,
            "serving": self.serving,
            "quiet": self.quiet,
            "ended": self.ended,
            "out": {f"{engine:x}": [w.set_at, w.on, w.since] for engine, w in self.down.items()},
            "drain": self.drain and [self.drain.set_at, self.drain.on, self.drain.since],
            "origin": self.origin,
            "boot": self.boot,
        }
        body = json.dumps(told).encode()
        return MESSAGE_MARK + b"%08x\n" % zlib.crc32(body) + body


def _decode_override(told: object) -> Override:
    match told:
        case [int(at), bool(on), int(since)] if at >= 0 and since >= 0:
            return Override(at, on, since)
    raise TakeoverMessageError("a wish that is none")


def decode(data: bytes, name: str) -> TakeoverMessage:
    """BadNote: torn, of another version, of another dispatcher, or nonsense. Nothing of it is taken then."""
    head, newline, body = data.partition(b"\n")
    if not head.startswith(MESSAGE_MARK):
        raise TakeoverMessageError("of another version" if head.startswith(b"pearhill-note ") else "no note")
    if not newline or head[len(MESSAGE_MARK) :] != b"%08x" % zlib.crc32(body):
        raise TakeoverMessageError("torn")
    try:
        told = json.loads(body)
        out = {int(engine, 16): _decode_override(wish) for engine, wish in told["out"].items()}
        drain = told["drain"] and _decode_override(told["drain"])
        note = TakeoverMessage(
            str(told["name"]),
            int(told["start"]),
            int(told["at"]),
            told["serving"] is True,
            told["quiet"] is True,
            told["ended"] is True,
            out,
            drain or None,
            int(told.get("origin", 0)),  # notes of versions before 0.3 lack both
            str(told.get("boot", "")),
        )
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError, OverflowError) as e:
        raise TakeoverMessageError(f"unreadable: {e!r}") from None
    if note.name != name:
        raise TakeoverMessageError("of another dispatcher")
    if len(out) > MAX_OVERRIDES:
        raise TakeoverMessageError("too many wishes")
    return note


class Takeover:
    """One process's side. `parts`: how many processes share the limits now; `succeeded`: another one that started
    later takes clients' connections, so that none need be taken here; `elder`: an earlier one still lives, `awaited`:
    and still answers."""

    def __init__(
        self, name: str, started_at: int, overrides: OperatorOverrides, origin: int = 0, boot: str = ""
    ) -> None:
        self.name, self.started_at, self.overrides, self.origin, self.boot = name, started_at, overrides, origin, boot
        self.process_count, self.succeeded, self.predecessor_alive, self.predecessor_serving = 1, False, False, False
        self._written: TakeoverMessage | None = None

    def alive(self, note: TakeoverMessage, now: int) -> bool:
        return not note.ended and abs(now - note.written_at) < ALIVE_WITHIN_US

    def expired(self, note: TakeoverMessage, now: int) -> bool:
        """Nobody will need it any more: all that it tells is taken over here, or too old."""
        return abs(now - note.written_at) > MESSAGE_RETENTION_US or (
            note.started_at < self.started_at and not self.alive(note, now)
        )

    def receive(self, now: int, notes: Iterable[TakeoverMessage]) -> tuple[set[int], bool]:
        """The others' notes as they stand: the engines whose wishes have changed, and whether the drain's has."""
        engines, drain = set[int](), False
        living = [note for note in notes if note.started_at != self.started_at and self.alive(note, now)]
        self.process_count = 1 + min(1, len(living))
        self.predecessor_alive = any(note.started_at < self.started_at for note in living)
        self.predecessor_serving = any(note.started_at < self.started_at and not note.quiet for note in living)
        self.succeeded = any(note.started_at > self.started_at and note.serving for note in living)
        for note in notes:
            if note.started_at == self.started_at or abs(now - note.written_at) > MESSAGE_RETENTION_US:
                continue
            # Danger: what is out stays out over any restart, but a drain that outlived its process would keep the
            # next one from ever being ready, long after whoever asked for it has gone.
            changed, later = self.overrides.merge(note.down, note.drain if note in living else None)
            engines, drain = engines | changed, drain or later
        self.overrides.forget(now)
        return engines, drain

    def reports_ready(self, age: int) -> bool:
        """Whether a process of this age, which serves, lets the platform go on: that ends the elder."""
        return not self.predecessor_serving or age >= READY_WITHIN_US

    def write_failed(self) -> None:
        """The last note did not reach the folder: the next one has to be written whatever it says."""
        self._written = None

    def message(self, now: int, serving: bool, quiet: bool, ended: bool = False) -> TakeoverMessage | None:
        """What to write now; None: what was last written will do."""
        out, drain = dict(self.overrides.down), self.overrides.drain
        note = TakeoverMessage(
            self.name, self.started_at, now, serving, quiet, ended, out, drain, self.origin, self.boot
        )
        last = self._written
        if last and now - last.written_at < REWRITE_INTERVAL_US and replace(note, written_at=last.written_at) == last:
            return None
        self._written = note
        return note
